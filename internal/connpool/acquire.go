package connpool

import (
	"cmp"
	"slices"
	"time"
)

// Lease is the result of Acquire. Evict is the ID of a connection that must be closed first to make room for the leased one;
// 0 if none has to be closed.
type Lease struct {
	ID     int64
	Reused bool // the connection is open; otherwise it must be dialed
	Evict  int64
	OK     bool // a connection was found or added; otherwise a limit is reached
}

// Acquire finds a connection for an attempt or a control request. An idle connection is reused only if it has been idle for
// less than maxIdle: the longer it has been idle, the more likely the other side closes it just as the request is written,
// and then the attempt may have run. The connection with the shortest idle time is reused first, so that the others can
// expire. After a stream a connection settles first: a late second response to the stream's request would otherwise be
// treated as the response to the next request.
//
// The parameter spare is the number of connections by which the limits may be exceeded, for requests that must not wait
// behind attempts, such as releases of reservations.
func (p *Pool) Acquire(engine string, now int64, maxIdle time.Duration, spare int) Lease {
	usage := p.usage(engine, now)
	if c := usage.shortestIdle; c != nil && p.withinIdleLimit(c, now, maxIdle) {
		p.Handle(c.id, Acquired, now)
		return Lease{ID: c.id, Reused: true, OK: true}
	}
	if usage.dialing >= p.limits.ConcurrentDials+spare {
		return Lease{}
	}
	evict := usage.longestIdle
	totalReached := p.limits.Total > 0 && len(p.connections) >= p.limits.Total+spare
	if totalReached {
		evict = p.longestIdle()
	}
	var lease Lease
	if totalReached || len(p.byEngine[engine]) >= p.limits.PerEngine+spare {
		if evict == nil {
			return Lease{}
		}
		lease.Evict = evict.id
		p.Handle(evict.id, IdleExpired, now)
	}
	lease.ID, lease.OK = p.open(engine, now), true
	return lease
}

// engineUsage summarizes the connections to one engine.
type engineUsage struct {
	dialing                   int
	shortestIdle, longestIdle *connection // idle connections, nil if no connection is idle; shortestIdle counts settled ones only
}

func (p *Pool) usage(engine string, now int64) (usage engineUsage) {
	for _, c := range p.byEngine[engine] {
		switch {
		case c.state == Dialing:
			usage.dialing++
		case c.state != Idle:
		default:
			if now >= c.reusableAt && (usage.shortestIdle == nil || c.stateSince > usage.shortestIdle.stateSince) {
				usage.shortestIdle = c
			}
			if usage.longestIdle == nil || c.stateSince < usage.longestIdle.stateSince {
				usage.longestIdle = c
			}
		}
	}
	return usage
}

// longestIdle returns the connection to any engine that has been idle longest; nil if no connection is idle.
func (p *Pool) longestIdle() (oldest *connection) {
	for _, c := range p.connections {
		older := oldest == nil || cmp.Or(cmp.Compare(c.stateSince, oldest.stateSince), cmp.Compare(c.id, oldest.id)) < 0
		if c.state == Idle && older {
			oldest = c
		}
	}
	return oldest
}

// open adds a connection that is to be dialed.
func (p *Pool) open(engine string, now int64) (id int64) {
	p.nextID++
	c := &connection{id: p.nextID, engine: engine, stateSince: now}
	p.connections[c.id] = c
	p.byEngine[engine] = append(p.byEngine[engine], c)
	p.Handle(c.id, Requested, now)
	return c.id
}

// ReusableEngines returns, in no particular order, the engines to which Acquire would reuse a connection.
func (p *Pool) ReusableEngines(now int64, maxIdle time.Duration) (engines []string) {
	for engine := range p.byEngine {
		if p.HasReusable(engine, now, maxIdle) {
			engines = append(engines, engine)
		}
	}
	return engines
}

// HasReusable reports whether Acquire would reuse a connection to an engine.
func (p *Pool) HasReusable(engine string, now int64, maxIdle time.Duration) bool {
	return slices.ContainsFunc(p.byEngine[engine], func(c *connection) bool {
		return c.state == Idle && now >= c.reusableAt && p.withinIdleLimit(c, now, maxIdle)
	})
}

// withinIdleLimit reports whether the idle time of an idle connection is short enough for reuse.
func (p *Pool) withinIdleLimit(c *connection, now int64, maxIdle time.Duration) bool {
	return time.Duration(now-c.stateSince) < min(maxIdle, p.limits.IdleTimeout)
}
