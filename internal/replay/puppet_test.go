package replay

import (
	"testing"

	"sandcourse/internal/modelcheck"
)

// Random paths of the smallest world, without the faults that sockets can't play, end alike on sockets.
func TestPathsHaveSameOutcomeOnSockets(t *testing.T) {
	w := modelcheck.World{Name: "small", PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable"}, Faults: 1,
		FaultKinds: []string{"reset", "half", "full", "error", "no-state"}}
	paths := modelcheck.ShortestEndPaths(w, 40)
	if len(paths) < 5 {
		t.Fatalf("only %d paths", len(paths))
	}
	for _, path := range paths {
		got, want, err := Play(w, path)
		if err != nil {
			t.Errorf("%v: %v", path, err)
			continue
		}
		if got[0].Outcome != want[0] || got[0].OutcomeCount != 1 {
			lines, _ := modelcheck.Describe(w, path)
			t.Errorf("on sockets %s (%d answers, %s), want %s: %v", got[0].Outcome, got[0].OutcomeCount, got[0].Reason, want[0], lines)
		}
	}
}
