package indexheap

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of random tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

type entry struct {
	id, due  int
	position Position
}

func (e *entry) Before(other *entry) bool { return compare(e, other) < 0 }
func (e *entry) Position() *Position      { return &e.position }

func compare(a, b *entry) int { return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.id, b.id)) }

// After any sequence of changes the first item is that of a scan of all items.
func TestFirstItemMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Heap[*entry]
		entries := make([]*entry, 12)
		for i := range entries {
			entries[i] = &entry{id: i}
		}
		held := map[*entry]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "changes") {
			e := rapid.SampledFrom(entries).Draw(t, "entry")
			if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
				h.Remove(e)
				delete(held, e)
			} else {
				e.due = rapid.IntRange(0, 9).Draw(t, "due")
				h.Set(e)
				held[e] = true
			}
			var all []*entry
			for e := range held {
				all = append(all, e)
			}
			first, ok := h.First()
			if h.Len() != len(all) || ok != (len(all) > 0) || ok && first != slices.MinFunc(all, compare) {
				t.Fatalf("first %v of %d, want the first of %d entries", first, h.Len(), len(all))
			}
		}
	})
}
