package replay

import (
	"errors"
	"testing"

	"sandcourse/internal/config"
	"sandcourse/internal/modelcheck"
)

// The shortest paths of the smallest world, without the faults that sockets cannot replay, have the same outcome on sockets.
func TestPathsHaveSameOutcomeOnSockets(t *testing.T) {
	w := modelcheck.World{Name: "small", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []modelcheck.FaultKind{modelcheck.FaultReset, modelcheck.FaultTruncated, modelcheck.FaultNoCapacity, modelcheck.FaultError,
			modelcheck.FaultNoReservation}}
	paths := modelcheck.ShortestTerminalPaths(w, 40)
	if len(paths) < 5 {
		t.Fatalf("only %d paths", len(paths))
	}
	for _, path := range paths {
		got, want, err := Play(w, path)
		if err != nil {
			t.Errorf("%v: %v", path, err)
			continue
		}
		if string(got[0].Outcome) != want[0] || got[0].OutcomeCount != 1 {
			lines, _ := modelcheck.Describe(w, path)
			t.Errorf("on sockets %s (%d answers, %s), want %s: %v", got[0].Outcome, got[0].OutcomeCount, got[0].Reason, want[0], lines)
		}
	}
}

// A world or a path that cannot be replayed is refused with a sentinel error.
func TestPlayRefuses(t *testing.T) {
	w := modelcheck.World{Name: "small", PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1,
		FaultKinds: []modelcheck.FaultKind{modelcheck.FaultConnect}}
	larger := w
	larger.DecodeEngines = 2
	for _, c := range []struct {
		world modelcheck.World
		path  modelcheck.Path
		want  error
	}{
		{larger, nil, ErrWorld},
		{w, modelcheck.Path{200}, modelcheck.ErrPathMismatch},
		{w, modelcheck.Path{0, 0}, ErrAction}, // the connection hangs
	} {
		if _, _, err := Play(c.world, c.path); !errors.Is(err, c.want) {
			t.Errorf("path %v: %v, want %v", c.path, err, c.want)
		}
	}
}
