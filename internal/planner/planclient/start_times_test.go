package planclient

import (
	"testing"

	"sandcourse/internal/endpoint"
)

// A plan contains an engine's uptime at the planner's last poll. Late plans and old uptimes must not look like a restart of
// the engine, as the router then drops its record of the engine's cache. A real restart must be detected.
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
			t.Errorf("estimated start time changed from %d to %d with a plan that is %d ms late", first, got, late-first)
		}
	}
	if got := estimate(130_000); got != 130_000 {
		t.Errorf("estimated start time of an engine that restarted at 130000 is %d", got)
	}
	if got := estimate(0); got != 0 {
		t.Errorf("estimated start time of an engine that started long ago is %d, not 0", got)
	}
}
