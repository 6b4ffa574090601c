package planclient

import (
	"testing"

	"sandcourse/internal/endpoint"
)

// A plan tells for how long an engine has been up, as the planner last heard it. Late plans and old figures must not look
// like a new start of the engine, as its node then forgets all that it has kept; a new start must.
func TestStartTimesAreStable(t *testing.T) {
	s := startTimes{}
	take := func(upSince int64) int64 {
		list := endpoint.List{Entries: []endpoint.Entry{{ID: "e", StartedAtMs: upSince}}}
		s.stabilize(&list)
		return list.Entries[0].StartedAtMs
	}
	first := take(100_000)
	for _, late := range []int64{100_001, 100_050, 99_990, 101_500} {
		if got := take(late); got != first {
			t.Errorf("an engine that came up at %d comes up at %d by a later plan, %d ms late", first, got, late-first)
		}
	}
	if got := take(130_000); got != 130_000 {
		t.Errorf("an engine that started anew at 130000 is taken to have started at %d", got)
	}
	if got := take(0); got != 0 {
		t.Errorf("an engine that came up long ago is taken to have started at %d", got)
	}
}
