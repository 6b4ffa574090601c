package connpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever happens to a pool: its limits hold, a connection carries one thing at a time and is reused only after a clean
// end, and no connection is left behind.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerEngine: rapid.IntRange(1, 4).Draw(t, "per engine"), ConcurrentDials: rapid.IntRange(1, 3).Draw(t, "dials"),
			IdleTimeout: 100}
		p := New(limits)
		carries, dirty := map[int64]bool{}, map[int64]bool{}
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 60).Draw(t, "time")
			if rapid.Bool().Draw(t, "acquire") {
				engine := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
				maxIdle := rapid.SampledFrom([]time.Duration{0, 20, 1000}).Draw(t, "max idle")
				spare := rapid.IntRange(0, 1).Draw(t, "spare")
				lease := p.Acquire(engine, now, maxIdle, spare)
				if lease.Evict != 0 && (p.State(lease.Evict) != Closed || carries[lease.Evict]) {
					t.Fatal("a connection in use is evicted")
				}
				if !lease.OK {
					continue
				}
				if lease.Reused && (carries[lease.ID] || dirty[lease.ID] || maxIdle == 0) {
					t.Fatalf("connection %d is reused: carries %v, dirty %v", lease.ID, carries[lease.ID], dirty[lease.ID])
				}
				carries[lease.ID] = true
			} else if ids := p.IDs(); len(ids) > 0 {
				id := rapid.SampledFrom(ids).Draw(t, "connection")
				event := Event(rapid.IntRange(int(Dialed), int(IdleExpired)).Draw(t, "event"))
				before := p.State(id)
				action := p.Handle(id, event, now)
				if action == Close && p.State(id) != Closed {
					t.Fatal("a connection that is to be closed lives on")
				}
				if before != Idle && p.State(id) == Idle && event != Released && event != ReleasedAfterStream {
					t.Fatalf("idle by %v", event)
				}
				if (event == Released || event == ReleasedAfterStream) && p.State(id) == Idle {
					carries[id] = false
				}
				dirty[id] = dirty[id] || event == ReleasedDirty || event == Broken
			}
			for _, engine := range []string{"a", "b"} {
				if p.Count(engine) > limits.PerEngine+1 {
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
	if lease := p.Acquire("a", 500, 100, 0); !lease.OK || lease.Reused || lease.Evict != first.ID {
		t.Errorf("%+v", lease)
	}
}

// A connection that carried a stream is not reused until it has settled, even if another has to be dialed instead; one that
// carried anything else is.
func TestConnectionSettlesAfterStream(t *testing.T) {
	for _, event := range []Event{Released, ReleasedAfterStream} {
		p := New(Limits{PerEngine: 3, ConcurrentDials: 3, IdleTimeout: 1000, SettleTime: 20})
		first := p.Acquire("a", 0, 1000, 0)
		p.Handle(first.ID, Dialed, 1)
		p.Handle(first.ID, event, 5)
		if lease := p.Acquire("a", 24, 1000, 0); !lease.OK || lease.Reused != (event == Released) || lease.Evict != 0 {
			t.Errorf("event %v: %+v", event, lease)
		}
		if lease := p.Acquire("a", 25, 1000, 0); event == ReleasedAfterStream && lease.ID != first.ID {
			t.Errorf("settled, and not reused: %+v", lease)
		}
	}
}

// At the total limit, the connection that has been idle longest at any engine is evicted, and a busy one never is.
func TestTotalLimit(t *testing.T) {
	p := New(Limits{PerEngine: 9, ConcurrentDials: 9, Total: 2, IdleTimeout: 1000})
	a, b := p.Acquire("a", 1, 1000, 0), p.Acquire("b", 2, 1000, 0)
	p.Handle(a.ID, Dialed, 3)
	p.Handle(b.ID, Dialed, 3)
	if p.Acquire("c", 4, 1000, 0).OK {
		t.Fatal("a third connection while both are busy")
	}
	p.Handle(a.ID, Released, 5)
	if c := p.Acquire("c", 6, 1000, 0); !c.OK || c.Evict != a.ID || p.State(a.ID) != Closed {
		t.Fatalf("%+v", c)
	}
	if !p.Acquire("d", 7, 1000, 1).OK {
		t.Fatal("no spare connection")
	}
}

// After an idle connection was closed early, none of that engine is reused for a while, and none of any engine for what must
// not run twice. A close after a longer idle time does not count.
func TestEarlyCloses(t *testing.T) {
	p := New(Limits{PerEngine: 9, ConcurrentDials: 9, IdleTimeout: 15 * time.Second})
	idle := func(engine string, now int64) int64 {
		lease := p.Acquire(engine, now, 0, 0)
		p.Handle(lease.ID, Dialed, now)
		p.Handle(lease.ID, Released, now)
		return lease.ID
	}
	now, s := int64(1), int64(time.Second)
	p.Handle(idle("a", now), Broken, now+5*s)
	if p.MaxReuseIdle("a", now+5*s, 9, false) != 9 {
		t.Error("a close after a long idle time counts")
	}
	p.Handle(idle("a", now), Broken, now+s/100)
	for _, c := range []struct {
		engine      string
		after       int64
		mayRunTwice bool
		want        time.Duration
	}{{"a", s, true, 0}, {"a", s, false, 0}, {"b", s, true, 9}, {"b", s, false, 0}, {"a", 11 * s, false, 9}} {
		if got := p.MaxReuseIdle(c.engine, now+s/100+c.after, 9, c.mayRunTwice); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
