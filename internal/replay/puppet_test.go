package replay

import (
	"testing"

	"sandcourse/internal/modelcheck"
)

// Random paths of the smallest world, without the faults that sockets can't play, end alike on sockets.
func TestPathsEndAlikeOnSockets(t *testing.T) {
	w := modelcheck.World{Name: "small", Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 1,
		Kinds: []string{"reset", "half", "full", "error", "no-state"}}
	paths := modelcheck.Ends(w, 40)
	if len(paths) < 5 {
		t.Fatalf("only %d paths", len(paths))
	}
	for _, path := range paths {
		got, want, err := Play(w, path)
		if err != nil {
			t.Errorf("%v: %v", path, err)
			continue
		}
		if got[0].Final != want[0] || got[0].Finals != 1 {
			lines, _ := modelcheck.Story(w, path)
			t.Errorf("on sockets %s (%d answers, %s), want %s: %v", got[0].Final, got[0].Finals, got[0].Why, want[0], lines)
		}
	}
}
