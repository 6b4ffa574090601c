// Package connpool decides on the connections to engines: when a connection is dialed, which one is reused, and when one is
// closed. It does no I/O.
package connpool

import (
	"slices"
	"time"
)

// Limits bounds the connections of one router.
type Limits struct {
	PerEngine       int           // limit on connections to one engine
	ConcurrentDials int           // limit on dials in progress to one engine, as each handshake costs the engine work
	Total           int           // limit on connections to all engines together; 0 for no limit
	IdleTimeout     time.Duration // time after which an idle connection is closed
	SettleTime      time.Duration // time for which a connection that carried a stream is not reused
}

type connection struct {
	id         int64
	engine     *engineConnections
	state      State
	stateSince int64
	reusableAt int64 // earliest time of the next reuse

	earlier, later *connection // neighbors in the list of the connection's state
}

// engineConnections are the connections to one engine.
type engineConnections struct {
	engine         string
	count, dialing int
	idle           []*connection // in the order in which they became idle
	halfClosed     []*connection // in the order in which the sending on them ended
}

// Pool holds the state of all connections of one router to engines. Times are in nanoseconds since the start of the
// caller's clock.
type Pool struct {
	limits           Limits
	connections      map[int64]*connection
	byEngine         map[string]*engineConnections
	idle, halfClosed stateList
	earlyCloses      earlyCloses
	nextID           int64
	firedTransitions uint64
}

// New returns an empty pool.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, connections: map[int64]*connection{}, byEngine: map[string]*engineConnections{},
		earlyCloses: earlyCloses{byEngine: map[string]int64{}}}
}

// Handle applies an event to one connection. An event without a transition from the current state has no effect and needs
// no action.
func (p *Pool) Handle(id int64, event Event, now int64) Action {
	c := p.connections[id]
	if c == nil {
		return NoAction
	}
	i := findTransition(c.state, event)
	if i < 0 {
		return NoAction
	}
	if event == Broken && c.state == Idle && time.Duration(now-c.stateSince) < earlyCloseMaxIdle {
		p.RecordEarlyClose(c.engine.engine, now)
	}
	p.setState(c, transitions[i].next, now)
	if event == ReleasedAfterStream {
		c.reusableAt = now + int64(p.limits.SettleTime)
	}
	p.firedTransitions |= 1 << i
	if c.state == Closed {
		p.remove(c, now)
	}
	return transitions[i].action
}

// setState changes the state of a connection, and keeps the counts and lists of connections by state.
func (p *Pool) setState(c *connection, next State, now int64) {
	switch c.state {
	case Dialing:
		c.engine.dialing--
	case Idle:
		p.idle.remove(c)
		c.engine.idle = withoutConnection(c.engine.idle, c)
	case HalfClosed:
		p.halfClosed.remove(c)
		c.engine.halfClosed = withoutConnection(c.engine.halfClosed, c)
	}
	c.state, c.stateSince = next, now
	switch next {
	case Dialing:
		c.engine.dialing++
	case Idle:
		p.idle.add(c)
		c.engine.idle = append(c.engine.idle, c)
	case HalfClosed:
		p.halfClosed.add(c)
		c.engine.halfClosed = append(c.engine.halfClosed, c)
	}
}

// withoutConnection returns a list without a connection. The connection that became idle last is reused first, so the search
// begins at the end.
func withoutConnection(list []*connection, c *connection) []*connection {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i] == c {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

func (p *Pool) remove(c *connection, now int64) {
	delete(p.connections, c.id)
	c.engine.count--
	if c.engine.count == 0 {
		delete(p.byEngine, c.engine.engine)
		p.earlyCloses.expire(now)
	}
}

// ExpiredConnections returns the connections that have been idle for too long, ordered by ID. The caller closes each by passing
// the event IdleExpired to Handle.
func (p *Pool) ExpiredConnections(now int64) []int64 {
	var ids []int64
	for c := p.idle.oldest; c != nil && time.Duration(now-c.stateSince) >= p.limits.IdleTimeout; c = c.later {
		ids = append(ids, c.id)
	}
	slices.Sort(ids)
	return ids
}

// State returns the state of a connection; Closed for an unknown one.
func (p *Pool) State(id int64) State {
	state, _ := p.StateSince(id)
	return state
}

// StateSince returns the state of a connection and when the state began; Closed and 0 for an unknown connection.
func (p *Pool) StateSince(id int64) (state State, since int64) {
	if c := p.connections[id]; c != nil {
		return c.state, c.stateSince
	}
	return Closed, 0
}

// FiredTransitions returns a bit set of the transitions that have fired so far.
func (p *Pool) FiredTransitions() uint64 { return p.firedTransitions }

// Count returns the number of connections to one engine, in any state.
func (p *Pool) Count(engine string) int { return p.connectionsTo(engine).count }

// IDs returns the IDs of all connections in ascending order.
func (p *Pool) IDs() []int64 {
	ids := make([]int64, 0, len(p.connections))
	for id := range p.connections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
