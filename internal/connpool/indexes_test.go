package connpool

import (
	"testing"

	"pgregory.net/rapid"
)

// The counts and lists of connections by state agree with a scan of all connections, after any sequence of events.
func TestIdleConnectionsMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerEngine: 3, ConcurrentDials: 2, Total: rapid.IntRange(0, 5).Draw(t, "total"), IdleTimeout: 100, SettleTime: 20}
		m := &model{pool: New(limits), now: 1, busy: map[int64]bool{}, dirty: map[int64]bool{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now += rapid.Int64Range(1, 40).Draw(t, "time")
			if rapid.Bool().Draw(t, "acquire") {
				m.acquire(t)
			} else if ids := m.pool.IDs(); len(ids) > 0 {
				m.handle(t, rapid.SampledFrom(ids).Draw(t, "connection"))
			}
			for _, engine := range []string{"a", "b", "c"} {
				checkEngine(t, m.pool, engine, m.now)
			}
			checkIdle(t, m.pool, m.now)
		}
	})
}

// checkEngine compares the pool's view of one engine with a scan.
func checkEngine(t *rapid.T, p *Pool, engine string, now int64) {
	count, dialing := 0, 0
	var shortest, longest, halfClosed *connection
	for _, c := range p.connections {
		if c.engine.engine != engine {
			continue
		}
		count++
		if c.state == Dialing {
			dialing++
		}
		if c.state == HalfClosed && (halfClosed == nil || c.stateSince < halfClosed.stateSince) {
			halfClosed = c
		}
		if c.state != Idle {
			continue
		}
		if now >= c.reusableAt && (shortest == nil || c.stateSince > shortest.stateSince) {
			shortest = c
		}
		if longest == nil || c.stateSince < longest.stateSince {
			longest = c
		}
	}
	to := p.connectionsTo(engine)
	if to.count != count || to.dialing != dialing || to.shortestIdle(now) != shortest || first(to.idle) != longest ||
		first(to.halfClosed) != halfClosed {
		t.Fatalf("engine %s: %d connections, %d dials, a scan finds %d, %d; or another idle connection", engine, to.count, to.dialing, count, dialing)
	}
}

// checkIdle compares the order of all idle connections with a scan.
func checkIdle(t *rapid.T, p *Pool, now int64) {
	var oldest, newest *connection
	idle := 0
	for _, c := range p.connections {
		if c.state != Idle {
			continue
		}
		idle++
		if oldest == nil || c.stateSince < oldest.stateSince {
			oldest = c
		}
		if now >= c.reusableAt && p.withinIdleLimit(c, now, p.limits.IdleTimeout) && (newest == nil || c.stateSince > newest.stateSince) {
			newest = c
		}
	}
	listed := 0
	for c := p.idle.oldest; c != nil; c = c.later {
		listed++
	}
	want := ""
	if newest != nil {
		want = newest.engine.engine
	}
	latest := p.LatestIdleEngine(now, p.limits.IdleTimeout, func(string) bool { return true })
	if p.idle.oldest != oldest || listed != idle || latest != want {
		t.Fatalf("%d idle connections in the list, the latest to %q; a scan finds %d and %q, or another oldest one", listed, latest, idle, want)
	}
}
