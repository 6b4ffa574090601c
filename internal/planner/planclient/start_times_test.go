package planclient

import (
	"testing"

	"sandcourse/internal/endpoint"
)

// A plan has how long an engine had been up when the planner last polled it. Late plans and old figures must not look like a
// restart of the engine, as its router then forgets what the engine has cached; a restart must.
func TestStartTimesAreStable(t *testing.T) {
	s := startTimes{}
	estimate := func(upSince int64) int64 {
		list := endpoint.List{Entries: []endpoint.Entry{{ID: "e", StartedAtMs: upSince}}}
		s.stabilize(&list)
		return list.Entries[0].StartedAtMs
	}
	first := estimate(100_000)
	for _, late := range []int64{100_001, 100_050, 99_990, 101_500} {
		if got := estimate(late); got != first {
			t.Errorf("an engine that came up at %d comes up at %d by a later plan, %d ms late", first, got, late-first)
		}
	}
	if got := estimate(130_000); got != 130_000 {
		t.Errorf("an engine that started anew at 130000 is taken to have started at %d", got)
	}
	if got := estimate(0); got != 0 {
		t.Errorf("an engine that came up long ago is taken to have started at %d", got)
	}
}
