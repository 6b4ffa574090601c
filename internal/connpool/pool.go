// Package connpool decides about the connections to engines: when one is dialed, which one is reused, and when one is
// closed. It does no I/O.
package connpool

import (
	"slices"
	"time"
)

// Limits bound the connections of one router.
type Limits struct {
	PerEngine       int           // connections to one engine
	ConcurrentDials int           // dials in progress to one engine: many handshakes at once are work for it
	Total           int           // connections to all engines together; 0 for no limit
	IdleTimeout     time.Duration // an idle connection is closed after this
	SettleTime      time.Duration // a connection that carried a stream is not reused for this long
}

type connection struct {
	id         int64
	engine     string
	state      State
	stateSince int64
	reusableAt int64 // until when it is not reused
}

// Pool is the state of all connections of one router to engines. Points in time are in nanoseconds since the start.
type Pool struct {
	limits           Limits
	connections      map[int64]*connection
	byEngine         map[string][]*connection
	earlyCloses      earlyCloses
	nextID           int64
	firedTransitions uint64
}

// New returns an empty pool.
func New(limits Limits) *Pool {
	return &Pool{limits: limits, connections: map[int64]*connection{}, byEngine: map[string][]*connection{},
		earlyCloses: earlyCloses{byEngine: map[string]int64{}}}
}

// Handle applies an event to one connection. An event that no transition takes changes nothing and needs no action.
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
		p.RecordEarlyClose(c.engine, now)
	}
	c.state, c.stateSince = transitions[i].next, now
	if event == ReleasedAfterStream {
		c.reusableAt = now + int64(p.limits.SettleTime)
	}
	p.firedTransitions |= 1 << i
	if c.state == Closed {
		p.remove(c, now)
	}
	return transitions[i].action
}

func (p *Pool) remove(c *connection, now int64) {
	delete(p.connections, c.id)
	p.byEngine[c.engine] = slices.DeleteFunc(p.byEngine[c.engine], func(other *connection) bool { return other == c })
	if len(p.byEngine[c.engine]) == 0 {
		delete(p.byEngine, c.engine)
		p.earlyCloses.expire(now)
	}
}

// IdleExpired lists, by ID, the connections that have been idle for too long; each is closed by Handle with IdleExpired.
func (p *Pool) IdleExpired(now int64) []int64 {
	var ids []int64
	for id, c := range p.connections {
		if c.state == Idle && time.Duration(now-c.stateSince) >= p.limits.IdleTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// State is the state of a connection; Closed for one that is not known any more.
func (p *Pool) State(id int64) State {
	state, _ := p.StateSince(id)
	return state
}

// StateSince is the state of a connection and since when it has been in it; Closed and 0 for one that is not known any
// more.
func (p *Pool) StateSince(id int64) (state State, since int64) {
	if c := p.connections[id]; c != nil {
		return c.state, c.stateSince
	}
	return Closed, 0
}

// FiredTransitions has a bit set for each transition that has fired so far.
func (p *Pool) FiredTransitions() uint64 { return p.firedTransitions }

// Count is the number of connections to one engine, in any state.
func (p *Pool) Count(engine string) int { return len(p.byEngine[engine]) }

// IDs lists the IDs of all connections in order.
func (p *Pool) IDs() []int64 {
	ids := make([]int64, 0, len(p.connections))
	for id := range p.connections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
