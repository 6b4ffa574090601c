package connpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Random days of one pool: bounds hold, a connection carries one thing at a time and is never used again
// after anything but a clean end, and nothing is forgotten.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bounds{PerEngine: rapid.IntRange(1, 4).Draw(t, "per engine"), Dials: rapid.IntRange(1, 3).Draw(t, "dials"),
			IdleNs: 100}
		p := New(b)
		carries, spoiled := map[int64]bool{}, map[int64]bool{}
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 60).Draw(t, "time")
			if rapid.Bool().Draw(t, "take") {
				engine := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
				atMost := rapid.SampledFrom([]int64{0, 20, 1000}).Draw(t, "at most")
				spare := rapid.IntRange(0, 1).Draw(t, "spare")
				l := p.Take(engine, now, atMost, spare)
				if l.Evict != 0 && (p.State(l.Evict) != Closed || carries[l.Evict]) {
					t.Fatal("evicted what was in use")
				}
				if !l.OK {
					continue
				}
				if l.Reused && (carries[l.ID] || spoiled[l.ID] || atMost == 0) {
					t.Fatalf("connection %d used again: carries %v, spoiled %v", l.ID, carries[l.ID], spoiled[l.ID])
				}
				carries[l.ID] = true
			} else if ids := p.All(); len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(t, "conn")
				in := Input(rapid.IntRange(int(Dialled), int(Aged)).Draw(t, "input"))
				before := p.State(id)
				effect := p.Happen(id, in, now)
				if effect == CloseIt && p.State(id) != Closed {
					t.Fatal("told to close what lives on")
				}
				if before != Idle && p.State(id) == Idle && in != Released && in != Streamed {
					t.Fatalf("idle by %v", in)
				}
				if (in == Released || in == Streamed) && p.State(id) == Idle {
					carries[id] = false
				}
				spoiled[id] = spoiled[id] || in == Spoiled || in == Broken
			}
			for _, engine := range []string{"a", "b"} {
				if p.Count(engine) > b.PerEngine+1 {
					t.Fatal("too many connections")
				}
			}
			for _, id := range p.Aged(now) {
				p.Happen(id, Aged, now)
			}
		}
		for _, id := range p.All() {
			p.Happen(id, Broken, now)
		}
		if len(p.All()) != 0 || p.Count("a")+p.Count("b") != 0 {
			t.Fatal("connections left behind")
		}
	})
}

func TestOldIdleIsNotUsedForWhatMustNotRunTwice(t *testing.T) {
	p := New(Bounds{PerEngine: 1, Dials: 1, IdleNs: 1000})
	first := p.Take("a", 0, 1000, 0)
	p.Happen(first.ID, Dialled, 0)
	p.Happen(first.ID, Released, 0)
	if l := p.Take("a", 500, 100, 0); !l.OK || l.Reused || l.Evict != first.ID {
		t.Errorf("%+v", l)
	}
}

// A connection that carried a stream is not used again until it has settled, also where another has to be dialled for
// it; one that carried anything else is.
func TestStreamsSettle(t *testing.T) {
	for _, in := range []Input{Released, Streamed} {
		p := New(Bounds{PerEngine: 3, Dials: 3, IdleNs: 1000, SettleNs: 20})
		first := p.Take("a", 0, 1000, 0)
		p.Happen(first.ID, Dialled, 1)
		p.Happen(first.ID, in, 5)
		if l := p.Take("a", 24, 1000, 0); !l.OK || l.Reused != (in == Released) || l.Evict != 0 {
			t.Errorf("input %d: %+v", in, l)
		}
		if l := p.Take("a", 25, 1000, 0); in == Streamed && l.ID != first.ID {
			t.Errorf("settled, and not used again: %+v", l)
		}
	}
}

// Past the bound of all, what lies idle longest at any engine makes room, and what is busy never does.
func TestBoundOfAll(t *testing.T) {
	p := New(Bounds{PerEngine: 9, Dials: 9, All: 2, IdleNs: 1000})
	a, b := p.Take("a", 1, 1000, 0), p.Take("b", 2, 1000, 0)
	p.Happen(a.ID, Dialled, 3)
	p.Happen(b.ID, Dialled, 3)
	if p.Take("c", 4, 1000, 0).OK {
		t.Fatal("a third while both are busy")
	}
	p.Happen(a.ID, Released, 5)
	if c := p.Take("c", 6, 1000, 0); !c.OK || c.Evict != a.ID || p.State(a.ID) != Closed {
		t.Fatalf("%+v", c)
	}
	if !p.Take("d", 7, 1000, 1).OK {
		t.Fatal("no spare line")
	}
}

// Kept connections that end behind an answer are not trusted for a while: none of that engine's, and for what
// must not run twice nobody's. One that ends of age tells nothing.
func TestHastyEnds(t *testing.T) {
	p := New(Bounds{PerEngine: 9, Dials: 9, IdleNs: int64(15 * time.Second)})
	idle := func(engine string, now int64) int64 {
		l := p.Take(engine, now, 0, 0)
		p.Happen(l.ID, Dialled, now)
		p.Happen(l.ID, Released, now)
		return l.ID
	}
	now, s := int64(1), int64(time.Second)
	p.Happen(idle("a", now), Broken, now+5*s)
	if p.Trust("a", now+5*s, 9, false) != 9 {
		t.Error("an end of age counts")
	}
	p.Happen(idle("a", now), Broken, now+s/100)
	for _, c := range []struct {
		engine string
		after  int64
		twice  bool
		want   int64
	}{{"a", s, true, 0}, {"a", s, false, 0}, {"b", s, true, 9}, {"b", s, false, 0}, {"a", 11 * s, false, 9}} {
		if got := p.Trust(c.engine, now+s/100+c.after, 9, c.twice); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
