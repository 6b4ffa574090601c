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
	to := p.connectionsTo(engine)
	if c := to.shortestIdle(now); c != nil && p.withinIdleLimit(c, now, maxIdle) {
		p.Handle(c.id, Acquired, now)
		return Lease{ID: c.id, Reused: true, OK: true}
	}
	if to.dialing >= p.limits.ConcurrentDials+spare {
		return Lease{}
	}
	var lease Lease
	if full, evict := p.limitReached(to, spare); full {
		if evict == nil {
			return Lease{}
		}
		lease.Evict = evict.id
		p.Handle(evict.id, IdleExpired, now)
	}
	lease.ID, lease.OK = p.open(engine, now), true
	return lease
}

// limitReached reports whether a limit forbids a further connection to an engine, and returns the connection to close for it: of
// those that count against the limit, the one that has been idle longest, or else half-closed longest; nil without one.
func (p *Pool) limitReached(to *engineConnections, spare int) (full bool, evict *connection) {
	switch {
	case p.limits.Total > 0 && len(p.connections) >= p.limits.Total+spare:
		return true, cmp.Or(p.idle.oldest, p.halfClosed.oldest)
	case to.count >= p.limits.PerEngine+spare:
		return true, cmp.Or(first(to.idle), first(to.halfClosed))
	}
	return false, nil
}

// noConnections is the value of an engine without connections.
var noConnections = &engineConnections{}

// connectionsTo returns the connections to an engine, which must not be changed.
func (p *Pool) connectionsTo(engine string) *engineConnections {
	if e := p.byEngine[engine]; e != nil {
		return e
	}
	return noConnections
}

// shortestIdle returns the connection that has been idle for the shortest time, of those that have settled; nil without one.
func (e *engineConnections) shortestIdle(now int64) *connection {
	for _, c := range slices.Backward(e.idle) {
		if now >= c.reusableAt {
			return c
		}
	}
	return nil
}

// first returns the first connection of a list; nil if the list is empty.
func first(list []*connection) *connection {
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// open adds a connection that is to be dialed.
func (p *Pool) open(engine string, now int64) (id int64) {
	to := p.byEngine[engine]
	if to == nil {
		to = &engineConnections{engine: engine}
		p.byEngine[engine] = to
	}
	p.nextID++
	c := &connection{id: p.nextID, engine: to, stateSince: now}
	p.connections[c.id] = c
	to.count++
	p.Handle(c.id, Requested, now)
	return c.id
}

// LatestIdleEngine returns, of the accepted engines to which Acquire would reuse a connection, the one whose connection became idle
// last; empty if there is none. An engine that has just answered is likely to answer again.
func (p *Pool) LatestIdleEngine(now int64, maxIdle time.Duration, accept func(engine string) bool) string {
	for c := p.idle.newest; c != nil && p.withinIdleLimit(c, now, maxIdle); c = c.earlier {
		if now >= c.reusableAt && accept(c.engine.engine) {
			return c.engine.engine
		}
	}
	return ""
}

// HasReusable reports whether Acquire would reuse a connection to an engine.
func (p *Pool) HasReusable(engine string, now int64, maxIdle time.Duration) bool {
	c := p.connectionsTo(engine).shortestIdle(now)
	return c != nil && p.withinIdleLimit(c, now, maxIdle)
}

// withinIdleLimit reports whether the idle time of an idle connection is short enough for reuse.
func (p *Pool) withinIdleLimit(c *connection, now int64, maxIdle time.Duration) bool {
	return time.Duration(now-c.stateSince) < min(maxIdle, p.limits.IdleTimeout)
}
