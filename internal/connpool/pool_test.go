package connpool

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For any sequence of events the limits of a pool hold, a connection carries one request at a time and is reused only after
// a clean end, and no connection is leaked.
func TestPoolLimitsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerEngine: rapid.IntRange(1, 4).Draw(t, "per engine"), ConcurrentDials: rapid.IntRange(1, 3).Draw(t, "dials"),
			IdleTimeout: 100}
		m := &model{pool: New(limits), now: 1, busy: map[int64]bool{}, dirty: map[int64]bool{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += rapid.Int64Range(0, 60).Draw(t, "time")
			if rapid.Bool().Draw(t, "acquire") {
				m.acquire(t)
			} else if ids := m.pool.IDs(); len(ids) > 0 {
				m.handle(t, rapid.SampledFrom(ids).Draw(t, "connection"))
			}
			if max(m.pool.Count("a"), m.pool.Count("b")) > limits.PerEngine+1 {
				t.Fatal("too many connections")
			}
			for _, id := range m.pool.ExpiredConnections(m.now) {
				m.pool.Handle(id, IdleExpired, m.now)
			}
		}
		for _, id := range m.pool.IDs() {
			m.pool.Handle(id, Broken, m.now)
		}
		if len(m.pool.IDs()) != 0 || m.pool.Count("a")+m.pool.Count("b") != 0 {
			t.Fatal("connections remain after all were broken")
		}
	})
}

// model is the expected state of a pool's connections.
type model struct {
	pool        *Pool
	now         int64
	busy, dirty map[int64]bool
}

func (m *model) acquire(t *rapid.T) {
	engine := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "engine")
	maxIdle := rapid.SampledFrom([]time.Duration{0, 20, 1000}).Draw(t, "max idle")
	spare := rapid.IntRange(0, 1).Draw(t, "spare")
	lease := m.pool.Acquire(engine, m.now, maxIdle, spare)
	if lease.Evict != 0 && (m.pool.State(lease.Evict) != Closed || m.busy[lease.Evict]) {
		t.Fatal("a connection in use is evicted")
	}
	if !lease.OK {
		return
	}
	if lease.Reused && (m.busy[lease.ID] || m.dirty[lease.ID] || maxIdle == 0) {
		t.Fatalf("connection %d is reused: busy %v, dirty %v", lease.ID, m.busy[lease.ID], m.dirty[lease.ID])
	}
	m.busy[lease.ID] = true
}

func (m *model) handle(t *rapid.T, id int64) {
	event := Event(rapid.IntRange(int(Dialed), int(IdleExpired)).Draw(t, "event"))
	before := m.pool.State(id)
	action := m.pool.Handle(id, event, m.now)
	if action == Close && m.pool.State(id) != Closed {
		t.Fatal("a connection with the action Close is not closed")
	}
	cleanEnd := event == Released || event == ReleasedAfterStream
	if before != Idle && m.pool.State(id) == Idle && !cleanEnd {
		t.Fatalf("connection is idle after event %v", event)
	}
	if cleanEnd && m.pool.State(id) == Idle {
		m.busy[id] = false
	}
	m.dirty[id] = m.dirty[id] || event == ReleasedDirty || event == Broken
	if m.pool.State(id) == HalfClosed { // The connection may be evicted, but not be reused.
		m.busy[id], m.dirty[id] = false, true
	}
}

func TestConnectionIdleForTooLongIsNotReused(t *testing.T) {
	p := New(Limits{PerEngine: 1, ConcurrentDials: 1, IdleTimeout: 1000})
	first := p.Acquire("a", 0, 1000, 0)
	p.Handle(first.ID, Dialed, 0)
	p.Handle(first.ID, Released, 0)
	if lease := p.Acquire("a", 500, 100, 0); !lease.OK || lease.Reused || lease.Evict != first.ID {
		t.Errorf("lease after the idle time: %+v", lease)
	}
}

// A connection that carried a stream is not reused until it has settled, even if another one must be dialed instead. After
// any other response a connection is reused at once.
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
			t.Errorf("settled connection is not reused: %+v", lease)
		}
	}
}

// At the total limit, the connection to any engine that has been idle longest is evicted; a busy connection is never
// evicted.
func TestTotalLimitEvictsLongestIdleConnection(t *testing.T) {
	p := New(Limits{PerEngine: 9, ConcurrentDials: 9, Total: 2, IdleTimeout: 1000})
	a, b := p.Acquire("a", 1, 1000, 0), p.Acquire("b", 2, 1000, 0)
	p.Handle(a.ID, Dialed, 3)
	p.Handle(b.ID, Dialed, 3)
	if p.Acquire("c", 4, 1000, 0).OK {
		t.Fatal("a third connection is granted while both are busy")
	}
	p.Handle(a.ID, Released, 5)
	if c := p.Acquire("c", 6, 1000, 0); !c.OK || c.Evict != a.ID || p.State(a.ID) != Closed {
		t.Fatalf("lease at the total limit: %+v", c)
	}
	if !p.Acquire("d", 7, 1000, 1).OK {
		t.Fatal("no spare connection is granted")
	}
}

// A half-closed connection makes room for a new one if none is idle, and is never reused.
func TestHalfClosedConnectionIsEvictedAfterIdleOnes(t *testing.T) {
	for name, limits := range map[string]Limits{"per engine": {PerEngine: 2, ConcurrentDials: 9, IdleTimeout: 1000},
		"total": {PerEngine: 9, ConcurrentDials: 9, Total: 2, IdleTimeout: 1000}} {
		p := New(limits)
		halfClosed, idle := p.Acquire("a", 1, 1000, 0), p.Acquire("a", 1, 1000, 0)
		p.Handle(halfClosed.ID, Dialed, 2)
		p.Handle(idle.ID, Dialed, 2)
		p.Handle(halfClosed.ID, SendingEnded, 3)
		p.Handle(idle.ID, Released, 4)
		for i, want := range []int64{idle.ID, halfClosed.ID} {
			if lease := p.Acquire("a", 5, 0, 0); !lease.OK || lease.Reused || lease.Evict != want {
				t.Errorf("%s: lease %d is %+v, want one that evicts %d", name, i, lease, want)
			}
		}
		if lease := p.Acquire("a", 6, 1000, 0); lease.OK {
			t.Errorf("%s: a third connection is granted: %+v", name, lease)
		}
	}
}

// After an early close of an idle connection, no connection to the same engine is reused for a while, and no connection at
// all for attempts that must not run twice. A close after a longer idle time does not count.
func TestEarlyClosePreventsReuse(t *testing.T) {
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
			t.Errorf("%+v: maximum idle time is %d", c, got)
		}
	}
}
