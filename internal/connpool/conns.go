// Package conns decides about the connections to engines: when one is dialled, which is used again, and when
// one is closed. It does no I/O.
package connpool

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is where a connection stands. There is none for a half-closed one: the sockets' library ends a
// connection whole when the other side closes its half, which is the safe reading, as nothing more can be
// read from it.
type State uint8

const (
	Absent State = iota
	Dialing
	Idle
	Busy
	Closed
)

// Event is what happens to a connection.
type Event uint8

const (
	Requested           Event = iota // someone needs a connection, and none is idle
	Dialed                           // it is there, and carries who asked for it
	DialFailed                       // it will not be
	Acquired                         // idle, and now carries something
	Released                         // its answer was read to the end, nothing unread is left
	ReleasedAfterStream              // the same, and the answer was a stream
	ReleasedDirty                    // what it carried ended in any other way
	Broken                           // it is gone
	IdleExpired                      // idle for longer than is allowed
)

// Action is what is to be done with the socket.
type Action uint8

const (
	NoAction Action = iota
	Dial
	Close
)

type transition struct {
	from   []State
	event  Event
	next   State
	action Action
}

var transitions = []transition{
	{[]State{Absent}, Requested, Dialing, Dial},
	{[]State{Dialing}, Dialed, Busy, NoAction},
	{[]State{Dialing}, DialFailed, Closed, Close},
	{[]State{Idle}, Acquired, Busy, NoAction},
	{[]State{Busy}, Released, Idle, NoAction},
	{[]State{Busy}, ReleasedAfterStream, Idle, NoAction},
	{[]State{Idle}, IdleExpired, Closed, Close},
	{[]State{Dialing, Busy}, ReleasedDirty, Closed, Close},
	// A byte on an idle connection belongs to nothing that was asked: an unread rest.
	{[]State{Idle}, ReleasedDirty, Closed, Close},
	{[]State{Dialing, Idle, Busy}, Broken, Closed, Close},
}

// Limits hold for one node.
type Limits struct {
	PerEngine       int   // connections to one engine
	ConcurrentDials int   // dials under way at one engine: a herd of handshakes is work for it
	Total           int   // connections to all engines together; 0 for any
	IdleTimeout     int64 // an idle one is closed after this
	SettleTime      int64 // one that carried a stream is not used again for this long
}

type connection struct {
	id         int64
	engine     string
	state      State
	stateSince int64
	settledAt  int64 // until when it is not used again
}

// Pool is the state of all connections of one node.
type Pool struct {
	limits           Limits
	connections      map[int64]*connection
	byEngine         map[string][]*connection
	earlyCloses      map[string]int64 // when a kept connection of an engine last ended too soon
	lastEarlyClose   int64            // when one of any engine did
	nextID           int64
	firedTransitions uint64 // rows of the table taken so far, a bit each
}

// New makes an empty pool.
func New(b Limits) *Pool {
	return &Pool{limits: b, connections: map[int64]*connection{}, byEngine: map[string][]*connection{}, earlyCloses: map[string]int64{}}
}

// Lease is what Take found. Evict is a connection that must be closed to make room, 0 for none.
type Lease struct {
	ID     int64
	Reused bool // else it has to be dialled
	Evict  int64
	OK     bool // false where the engine's bounds are reached
}

// Acquire finds a connection for a send. An idle one is used only if it has been idle for less than atMost: the
// longer one lies, the likelier the other side closes it just as it is written to, and then the send may have
// run. The youngest goes first, so that the others can age. One that has just carried a stream settles first: a second
// answer that comes late behind the first would else be taken for the next request's.
//
// Spare lines are had past the engine's bounds by what must not wait behind sends: letting go of a state.
func (p *Pool) Acquire(engine string, now, maxIdle int64, spare int) (lease Lease) {
	var youngest, oldest *connection
	dials := 0
	for _, c := range p.byEngine[engine] {
		switch {
		case c.state == Dialing:
			dials++
		case c.state != Idle:
		default:
			if now >= c.settledAt && (youngest == nil || c.stateSince > youngest.stateSince) {
				youngest = c
			}
			if oldest == nil || c.stateSince < oldest.stateSince {
				oldest = c
			}
		}
	}
	if youngest != nil && p.reusable(youngest, now, maxIdle) {
		p.Handle(youngest.id, Acquired, now)
		return Lease{ID: youngest.id, Reused: true, OK: true}
	}
	if dials >= p.limits.ConcurrentDials+spare {
		return Lease{}
	}
	full := p.limits.Total > 0 && len(p.connections) >= p.limits.Total+spare
	if full { // one that lies idle at any engine makes room
		oldest = nil
		for _, c := range p.connections {
			older := oldest == nil || cmp.Or(cmp.Compare(c.stateSince, oldest.stateSince), cmp.Compare(c.id, oldest.id)) < 0
			if c.state == Idle && older {
				oldest = c
			}
		}
	}
	if full || len(p.byEngine[engine]) >= p.limits.PerEngine+spare {
		if oldest == nil {
			return Lease{}
		}
		lease.Evict = oldest.id
		p.Handle(oldest.id, IdleExpired, now)
	}
	p.nextID++
	c := &connection{id: p.nextID, engine: engine, stateSince: now}
	p.connections[c.id] = c
	p.byEngine[engine] = append(p.byEngine[engine], c)
	p.Handle(c.id, Requested, now)
	lease.ID, lease.OK = c.id, true
	return lease
}

// earlyCloseMemory is how long kept connections that end too soon are remembered. Ten seconds: trouble on the way
// lasts for that long, and a connection for each send costs an engine a millisecond of work.
const earlyCloseMemory = int64(10 * time.Second)

// earlyCloseAge is under what idle time the end of a kept connection is no matter of its age: engines keep them for
// seconds.
const earlyCloseAge = int64(time.Second)

// NoteEarlyClose notes that a kept connection ended too soon: as it was written to, or hardly idle. This guards
// against whatever closes connections behind an answer, engine or way, as what is written to such a one may
// have run. It does harm where an engine restarts often, as all of its first sends then pay for a connection
// of their own.
func (p *Pool) NoteEarlyClose(engine string, now int64) {
	p.earlyCloses[engine], p.lastEarlyClose = now, now
}

// EarlyCloseAges is, for each engine still remembered so, for how long; the empty name stands for any.
func (p *Pool) EarlyCloseAges(now int64) map[string]int64 {
	ages := map[string]int64{}
	for engine, at := range p.earlyCloses {
		if now-at < earlyCloseMemory {
			ages[engine] = now - at
		}
	}
	if p.lastEarlyClose > 0 && now-p.lastEarlyClose < earlyCloseMemory {
		ages[""] = now - p.lastEarlyClose
	}
	return ages
}

// MaxReuseIdle is for how long a connection to an engine may have been idle to be used again, atMost where nothing
// speaks against it. What must not run twice trusts no engine while any has been hasty.
func (p *Pool) MaxReuseIdle(engine string, now, maxIdle int64, mayRunTwice bool) int64 {
	if at, ok := p.earlyCloses[engine]; ok && now-at < earlyCloseMemory || !mayRunTwice && p.lastEarlyClose > 0 && now-p.lastEarlyClose < earlyCloseMemory {
		return 0
	}
	return maxIdle
}

// HasReusable is whether a connection to an engine lies idle that Take would use again.
func (p *Pool) HasReusable(engine string, now, maxIdle int64) bool {
	return slices.ContainsFunc(p.byEngine[engine], func(c *connection) bool {
		return c.state == Idle && now >= c.settledAt && p.reusable(c, now, maxIdle)
	})
}

// reusable is whether an idle connection has not lain for too long to be used again.
func (p *Pool) reusable(c *connection, now, maxIdle int64) bool {
	return now-c.stateSince < min(maxIdle, p.limits.IdleTimeout)
}

// Handle takes an input for one connection. What fits no line changes nothing and needs nothing.
func (p *Pool) Handle(id int64, event Event, now int64) Action {
	c := p.connections[id]
	if c == nil {
		return NoAction
	}
	i := slices.IndexFunc(transitions, func(candidate transition) bool {
		return candidate.event == event && slices.Contains(candidate.from, c.state)
	})
	if i < 0 {
		return NoAction
	}
	if event == Broken && c.state == Idle && now-c.stateSince < earlyCloseAge {
		p.NoteEarlyClose(c.engine, now)
	}
	c.state, c.stateSince = transitions[i].next, now
	if event == ReleasedAfterStream {
		c.settledAt = now + p.limits.SettleTime
	}
	p.firedTransitions |= 1 << i
	if c.state == Closed {
		delete(p.connections, id)
		p.byEngine[c.engine] = slices.DeleteFunc(p.byEngine[c.engine], func(other *connection) bool { return other == c })
		if len(p.byEngine[c.engine]) == 0 {
			delete(p.byEngine, c.engine)
			maps.DeleteFunc(p.earlyCloses, func(_ string, at int64) bool { return now-at >= earlyCloseMemory })
		}
	}
	return transitions[i].action
}

// IdleExpired lists, by id, the connections that have been idle too long; each is closed by Happen with Aged.
func (p *Pool) IdleExpired(now int64) []int64 {
	var ids []int64
	for id, c := range p.connections {
		if c.state == Idle && now-c.stateSince >= p.limits.IdleTimeout {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[int64])
	return ids
}

// State of a connection; Closed for one that is not known any more.
func (p *Pool) State(id int64) State {
	if c := p.connections[id]; c != nil {
		return c.state
	}
	return Closed
}

// FiredTransitions is which rows of the table were taken so far, a bit each.
func (p *Pool) FiredTransitions() uint64 { return p.firedTransitions }

// TransitionNames names the rows of the table.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, r := range transitions {
		names[i] = fmt.Sprintf("conns row %d: states %v, input %d, next %d", i+1, r.from, r.event, r.next)
	}
	return names
}

// StateSince is a connection's state and since when it is in it.
func (p *Pool) StateSince(id int64) (state State, since int64) {
	if c := p.connections[id]; c != nil {
		return c.state, c.stateSince
	}
	return Closed, 0
}

// Count of the connections to one engine, in any state.
func (p *Pool) Count(engine string) int { return len(p.byEngine[engine]) }

// IDs lists the ids of all connections in order.
func (p *Pool) IDs() []int64 {
	ids := make([]int64, 0, len(p.connections))
	for id := range p.connections {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
