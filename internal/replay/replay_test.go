package replay

import (
	"errors"
	"testing"

	"sandcourse/internal/config"
	"sandcourse/internal/modelcheck"
)

// The shortest paths of a small world, without the faults that cannot be replayed on sockets, have the same outcomes on
// sockets as in the model checker.
func TestPathsHaveSameOutcomeOnSockets(t *testing.T) {
	w := modelcheck.World{Name: "small", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []modelcheck.FaultKind{modelcheck.FaultReset, modelcheck.FaultTruncated, modelcheck.FaultNoCapacity, modelcheck.FaultError,
			modelcheck.FaultNoReservation}}
	paths := modelcheck.ShortestTerminalPaths(w, 40)
	if len(paths) < 5 {
		t.Fatalf("found only %d paths", len(paths))
	}
	for _, path := range paths {
		got, want, err := Play(w, path)
		if err != nil {
			t.Errorf("%v: %v", path, err)
			continue
		}
		if string(got[0].Outcome) != want[0] || got[0].OutcomeCount != 1 {
			lines, _ := modelcheck.Describe(w, path)
			t.Errorf("outcome on sockets is %s (%d answers, %s), want %s: %v", got[0].Outcome, got[0].OutcomeCount, got[0].Reason, want[0], lines)
		}
	}
}

// A world or a path that cannot be replayed on sockets is rejected with the matching error.
func TestPlayRejectsUnsupportedWorldsAndPaths(t *testing.T) {
	w := modelcheck.World{Name: "small", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []modelcheck.FaultKind{modelcheck.FaultConnect}}
	largerWorld := w
	largerWorld.DecodeEngines = 2
	for _, c := range []struct {
		world modelcheck.World
		path  modelcheck.Path
		want  error
	}{
		{largerWorld, nil, ErrUnsupportedWorld},
		{w, modelcheck.Path{200}, modelcheck.ErrPathMismatch},
		{w, modelcheck.Path{0, 0}, ErrUnsupportedAction}, // The second event is a dial that hangs.
	} {
		if _, _, err := Play(c.world, c.path); !errors.Is(err, c.want) {
			t.Errorf("path %v: %v, want %v", c.path, err, c.want)
		}
	}
}
