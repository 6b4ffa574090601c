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
		b := Limits{PerEngine: rapid.IntRange(1, 4).Draw(t, "per engine"), ConcurrentDials: rapid.IntRange(1, 3).Draw(t, "dials"),
			IdleTimeout: 100}
		p := New(b)
		carries, spoiled := map[int64]bool{}, map[int64]bool{}
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 60).Draw(t, "time")
			if rapid.Bool().Draw(t, "take") {
				engine := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
				maxIdle := rapid.SampledFrom([]int64{0, 20, 1000}).Draw(t, "at most")
				spare := rapid.IntRange(0, 1).Draw(t, "spare")
				l := p.Acquire(engine, now, maxIdle, spare)
				if l.Evict != 0 && (p.State(l.Evict) != Closed || carries[l.Evict]) {
					t.Fatal("evicted what was in use")
				}
				if !l.OK {
					continue
				}
				if l.Reused && (carries[l.ID] || spoiled[l.ID] || maxIdle == 0) {
					t.Fatalf("connection %d used again: carries %v, spoiled %v", l.ID, carries[l.ID], spoiled[l.ID])
				}
				carries[l.ID] = true
			} else if ids := p.IDs(); len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(t, "conn")
				event := Event(rapid.IntRange(int(Dialed), int(IdleExpired)).Draw(t, "input"))
				before := p.State(id)
				effect := p.Handle(id, event, now)
				if effect == Close && p.State(id) != Closed {
					t.Fatal("told to close what lives on")
				}
				if before != Idle && p.State(id) == Idle && event != Released && event != ReleasedAfterStream {
					t.Fatalf("idle by %v", event)
				}
				if (event == Released || event == ReleasedAfterStream) && p.State(id) == Idle {
					carries[id] = false
				}
				spoiled[id] = spoiled[id] || event == ReleasedDirty || event == Broken
			}
			for _, engine := range []string{"a", "b"} {
				if p.Count(engine) > b.PerEngine+1 {
					t.Fatal("too many connections")
				}
			}
			for _, id := range p.IdleExpired(now) {
				p.Handle(id, IdleExpired, now)
			}
		}
		for _, id := range p.IDs() {
			p.Handle(id, Broken, now)
		}
		if len(p.IDs()) != 0 || p.Count("a")+p.Count("b") != 0 {
			t.Fatal("connections left behind")
		}
	})
}

func TestConnectionIdleForTooLongIsNotReused(t *testing.T) {
	p := New(Limits{PerEngine: 1, ConcurrentDials: 1, IdleTimeout: 1000})
	first := p.Acquire("a", 0, 1000, 0)
	p.Handle(first.ID, Dialed, 0)
	p.Handle(first.ID, Released, 0)
	if l := p.Acquire("a", 500, 100, 0); !l.OK || l.Reused || l.Evict != first.ID {
		t.Errorf("%+v", l)
	}
}

// A connection that carried a stream is not used again until it has settled, also where another has to be dialled for
// it; one that carried anything else is.
func TestConnectionSettlesAfterStream(t *testing.T) {
	for _, event := range []Event{Released, ReleasedAfterStream} {
		p := New(Limits{PerEngine: 3, ConcurrentDials: 3, IdleTimeout: 1000, SettleTime: 20})
		first := p.Acquire("a", 0, 1000, 0)
		p.Handle(first.ID, Dialed, 1)
		p.Handle(first.ID, event, 5)
		if l := p.Acquire("a", 24, 1000, 0); !l.OK || l.Reused != (event == Released) || l.Evict != 0 {
			t.Errorf("input %d: %+v", event, l)
		}
		if l := p.Acquire("a", 25, 1000, 0); event == ReleasedAfterStream && l.ID != first.ID {
			t.Errorf("settled, and not used again: %+v", l)
		}
	}
}

// Past the bound of all, what lies idle longest at any engine makes room, and what is busy never does.
func TestTotalLimit(t *testing.T) {
	p := New(Limits{PerEngine: 9, ConcurrentDials: 9, Total: 2, IdleTimeout: 1000})
	a, b := p.Acquire("a", 1, 1000, 0), p.Acquire("b", 2, 1000, 0)
	p.Handle(a.ID, Dialed, 3)
	p.Handle(b.ID, Dialed, 3)
	if p.Acquire("c", 4, 1000, 0).OK {
		t.Fatal("a third while both are busy")
	}
	p.Handle(a.ID, Released, 5)
	if c := p.Acquire("c", 6, 1000, 0); !c.OK || c.Evict != a.ID || p.State(a.ID) != Closed {
		t.Fatalf("%+v", c)
	}
	if !p.Acquire("d", 7, 1000, 1).OK {
		t.Fatal("no spare line")
	}
}

// Kept connections that end behind an answer are not trusted for a while: none of that engine's, and for what
// must not run twice nobody's. One that ends of age tells nothing.
func TestEarlyCloses(t *testing.T) {
	p := New(Limits{PerEngine: 9, ConcurrentDials: 9, IdleTimeout: int64(15 * time.Second)})
	idle := func(engine string, now int64) int64 {
		l := p.Acquire(engine, now, 0, 0)
		p.Handle(l.ID, Dialed, now)
		p.Handle(l.ID, Released, now)
		return l.ID
	}
	now, s := int64(1), int64(time.Second)
	p.Handle(idle("a", now), Broken, now+5*s)
	if p.MaxReuseIdle("a", now+5*s, 9, false) != 9 {
		t.Error("an end of age counts")
	}
	p.Handle(idle("a", now), Broken, now+s/100)
	for _, c := range []struct {
		engine string
		after  int64
		twice  bool
		want   int64
	}{{"a", s, true, 0}, {"a", s, false, 0}, {"b", s, true, 9}, {"b", s, false, 0}, {"a", 11 * s, false, 9}} {
		if got := p.MaxReuseIdle(c.engine, now+s/100+c.after, 9, c.twice); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
