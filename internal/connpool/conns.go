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
	Dialling
	Idle
	Busy
	Closed
)

// Input is what happens to a connection.
type Input uint8

const (
	Asked      Input = iota // someone needs a connection, and none is idle
	Dialled                 // it is there, and carries who asked for it
	DialFailed              // it will not be
	Taken                   // idle, and now carries something
	Released                // its answer was read to the end, nothing unread is left
	Streamed                // the same, and the answer was a stream
	Spoiled                 // what it carried ended in any other way
	Broken                  // it is gone
	Aged                    // idle for longer than is allowed
)

// Effect is what is to be done with the socket.
type Effect uint8

const (
	None Effect = iota
	Dial
	CloseIt
)

type row struct {
	from   []State
	in     Input
	next   State
	effect Effect
}

var table = []row{
	{[]State{Absent}, Asked, Dialling, Dial},
	{[]State{Dialling}, Dialled, Busy, None},
	{[]State{Dialling}, DialFailed, Closed, CloseIt},
	{[]State{Idle}, Taken, Busy, None},
	{[]State{Busy}, Released, Idle, None},
	{[]State{Busy}, Streamed, Idle, None},
	{[]State{Idle}, Aged, Closed, CloseIt},
	{[]State{Dialling, Busy}, Spoiled, Closed, CloseIt},
	// A byte on an idle connection belongs to nothing that was asked: an unread rest.
	{[]State{Idle}, Spoiled, Closed, CloseIt},
	{[]State{Dialling, Idle, Busy}, Broken, Closed, CloseIt},
}

// Bounds hold for one node.
type Bounds struct {
	PerEngine int   // connections to one engine
	Dials     int   // dials under way at one engine: a herd of handshakes is work for it
	All       int   // connections to all engines together; 0 for any
	IdleNs    int64 // an idle one is closed after this
	SettleNs  int64 // one that carried a stream is not used again for this long
}

type conn struct {
	id     int64
	engine string
	state  State
	since  int64
	settle int64 // until when it is not used again
}

// Pool is the state of all connections of one node.
type Pool struct {
	bounds Bounds
	conns  map[int64]*conn
	of     map[string][]*conn
	hasty  map[string]int64 // when a kept connection of an engine last ended too soon
	hurry  int64            // when one of any engine did
	nextID int64
	took   uint64 // rows of the table taken so far, a bit each
}

// New makes an empty pool.
func New(b Bounds) *Pool {
	return &Pool{bounds: b, conns: map[int64]*conn{}, of: map[string][]*conn{}, hasty: map[string]int64{}}
}

// Lease is what Take found. Evict is a connection that must be closed to make room, 0 for none.
type Lease struct {
	ID     int64
	Reused bool // else it has to be dialled
	Evict  int64
	OK     bool // false where the engine's bounds are reached
}

// Take finds a connection for a send. An idle one is used only if it has been idle for less than atMost: the
// longer one lies, the likelier the other side closes it just as it is written to, and then the send may have
// run. The youngest goes first, so that the others can age. One that has just carried a stream settles first: a second
// answer that comes late behind the first would else be taken for the next request's.
//
// Spare lines are had past the engine's bounds by what must not wait behind sends: letting go of a state.
func (p *Pool) Take(engine string, now, atMost int64, spare int) (l Lease) {
	var youngest, oldest *conn
	dials := 0
	for _, c := range p.of[engine] {
		switch {
		case c.state == Dialling:
			dials++
		case c.state != Idle:
		default:
			if now >= c.settle && (youngest == nil || c.since > youngest.since) {
				youngest = c
			}
			if oldest == nil || c.since < oldest.since {
				oldest = c
			}
		}
	}
	if youngest != nil && p.young(youngest, now, atMost) {
		p.Happen(youngest.id, Taken, now)
		return Lease{ID: youngest.id, Reused: true, OK: true}
	}
	if dials >= p.bounds.Dials+spare {
		return Lease{}
	}
	full := p.bounds.All > 0 && len(p.conns) >= p.bounds.All+spare
	if full { // one that lies idle at any engine makes room
		oldest = nil
		for _, c := range p.conns {
			older := oldest == nil || cmp.Or(cmp.Compare(c.since, oldest.since), cmp.Compare(c.id, oldest.id)) < 0
			if c.state == Idle && older {
				oldest = c
			}
		}
	}
	if full || len(p.of[engine]) >= p.bounds.PerEngine+spare {
		if oldest == nil {
			return Lease{}
		}
		l.Evict = oldest.id
		p.Happen(oldest.id, Aged, now)
	}
	p.nextID++
	c := &conn{id: p.nextID, engine: engine, since: now}
	p.conns[c.id] = c
	p.of[engine] = append(p.of[engine], c)
	p.Happen(c.id, Asked, now)
	l.ID, l.OK = c.id, true
	return l
}

// hastyFor is how long kept connections that end too soon are remembered. Ten seconds: trouble on the way
// lasts for that long, and a connection for each send costs an engine a millisecond of work.
const hastyFor = int64(10 * time.Second)

// soon is under what idle time the end of a kept connection is no matter of its age: engines keep them for
// seconds.
const soon = int64(time.Second)

// Hasty notes that a kept connection ended too soon: as it was written to, or hardly idle. This guards
// against whatever closes connections behind an answer, engine or way, as what is written to such a one may
// have run. It does harm where an engine restarts often, as all of its first sends then pay for a connection
// of their own.
func (p *Pool) Hasty(engine string, now int64) { p.hasty[engine], p.hurry = now, now }

// HastyFor is, for each engine still remembered so, for how long; the empty name stands for any.
func (p *Pool) HastyFor(now int64) map[string]int64 {
	row := map[string]int64{}
	for engine, at := range p.hasty {
		if now-at < hastyFor {
			row[engine] = now - at
		}
	}
	if p.hurry > 0 && now-p.hurry < hastyFor {
		row[""] = now - p.hurry
	}
	return row
}

// Trust is for how long a connection to an engine may have been idle to be used again, atMost where nothing
// speaks against it. What must not run twice trusts no engine while any has been hasty.
func (p *Pool) Trust(engine string, now, atMost int64, twice bool) int64 {
	if at, ok := p.hasty[engine]; ok && now-at < hastyFor || !twice && p.hurry > 0 && now-p.hurry < hastyFor {
		return 0
	}
	return atMost
}

// Rests is whether a connection to an engine lies idle that Take would use again.
func (p *Pool) Rests(engine string, now, atMost int64) bool {
	return slices.ContainsFunc(p.of[engine], func(c *conn) bool {
		return c.state == Idle && now >= c.settle && p.young(c, now, atMost)
	})
}

// young is whether an idle connection has not lain for too long to be used again.
func (p *Pool) young(c *conn, now, atMost int64) bool {
	return now-c.since < min(atMost, p.bounds.IdleNs)
}

// Happen takes an input for one connection. What fits no line changes nothing and needs nothing.
func (p *Pool) Happen(id int64, in Input, now int64) Effect {
	c := p.conns[id]
	if c == nil {
		return None
	}
	i := slices.IndexFunc(table, func(r row) bool { return r.in == in && slices.Contains(r.from, c.state) })
	if i < 0 {
		return None
	}
	if in == Broken && c.state == Idle && now-c.since < soon {
		p.Hasty(c.engine, now)
	}
	c.state, c.since = table[i].next, now
	if in == Streamed {
		c.settle = now + p.bounds.SettleNs
	}
	p.took |= 1 << i
	if c.state == Closed {
		delete(p.conns, id)
		p.of[c.engine] = slices.DeleteFunc(p.of[c.engine], func(o *conn) bool { return o == c })
		if len(p.of[c.engine]) == 0 {
			delete(p.of, c.engine)
			maps.DeleteFunc(p.hasty, func(_ string, at int64) bool { return now-at >= hastyFor })
		}
	}
	return table[i].effect
}

// Aged lists, by id, the connections that have been idle too long; each is closed by Happen with Aged.
func (p *Pool) Aged(now int64) []int64 {
	var ids []int64
	for id, c := range p.conns {
		if c.state == Idle && now-c.since >= p.bounds.IdleNs {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[int64])
	return ids
}

// State of a connection; Closed for one that is not known any more.
func (p *Pool) State(id int64) State {
	if c := p.conns[id]; c != nil {
		return c.state
	}
	return Closed
}

// Took is which rows of the table were taken so far, a bit each.
func (p *Pool) Took() uint64 { return p.took }

// Rows names the rows of the table.
func Rows() []string {
	names := make([]string, len(table))
	for i, r := range table {
		names[i] = fmt.Sprintf("conns row %d: states %v, input %d, next %d", i+1, r.from, r.in, r.next)
	}
	return names
}

// Look is a connection's state and since when it is in it.
func (p *Pool) Look(id int64) (state State, since int64) {
	if c := p.conns[id]; c != nil {
		return c.state, c.since
	}
	return Closed, 0
}

// Count of the connections to one engine, in any state.
func (p *Pool) Count(engine string) int { return len(p.of[engine]) }

// All lists the ids of all connections in order.
func (p *Pool) All() []int64 {
	ids := make([]int64, 0, len(p.conns))
	for id := range p.conns {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
