// Package limits decides what one node takes from its clients: how many connections, open inferences and
// bytes, how long a head and a body may take, and what is refused first when a bound is reached. It does no
// I/O.
//
// Bounds are shared fairly: who holds less than an equal part is refused last.
package admission

import (
	"cmp"
	"slices"
	"time"
)

// Bounds hold for one node.
type Bounds struct {
	Conns     int // client connections
	Open      int // inferences taken and not yet answered
	Bytes     int // of request bodies held, whole and in part
	HeadTime  time.Duration
	BodyTime  time.Duration
	IdleTime  time.Duration // between two calls of one connection
	FirstTime time.Duration // from a connection's beginning to its first whole call; 0 for any
	Retries   float64       // share of calls that may be retries; 0 for any
	DrainTime time.Duration // for a client to take the rest of an answer before its connection is closed
}

// State is where a client's connection stands.
type State uint8

const (
	Idle    State = iota
	Heading       // the first bytes of a head have come
	Bodying       // the head is whole, its body is not
	Serving       // a call is whole and not yet answered
	Parting       // its last answer is out, it will be closed
	Gone
)

// Input is what happens to a client's connection.
type Input uint8

const (
	HeadBegan Input = iota
	HeadWhole
	CallWhole
	Answered // no call is left that waits
	Part     // nothing more is taken from it
	Closed
)

type row struct {
	from []State
	in   Input
	next State
}

var table = []row{
	{[]State{Idle}, HeadBegan, Heading},
	{[]State{Idle, Heading}, HeadWhole, Bodying},
	{[]State{Idle, Heading, Bodying, Serving}, CallWhole, Serving},
	{[]State{Serving}, Answered, Idle},
	{[]State{Idle, Heading, Bodying, Serving}, Part, Parting},
	{[]State{Idle, Heading, Bodying, Serving, Parting}, Closed, Gone},
}

// Refusal says why something is not taken.
type Refusal uint8

const (
	Taken     Refusal = iota
	OwnShare          // the client holds its fair part already, and there is no more to give
	NodeFull          // the node holds all that it may
	BytesFull         // bodies held are at their bound
)

type conn struct {
	id    int64
	state State
	since int64
	bytes int
	open  int
	begun int64 // when it was opened; 0 once a call has been whole
}

// Gate is the state of one node's clients.
type Gate struct {
	bounds  Bounds
	conns   map[int64]*conn
	parties map[string]int // open inferences of each
	open    int
	bytes   int
}

// New makes a gate that holds nothing.
func New(b Bounds) *Gate {
	return &Gate{bounds: b, conns: map[int64]*conn{}, parties: map[string]int{}}
}

// Open takes a new connection. At the bound the one that has been idle longest makes room; where all are at
// work the new one is refused. TryClose closes an idle one, or says that a request is on its way on it.
func (g *Gate) Open(id, now int64, tryClose func(id int64) bool) bool {
	if len(g.conns) >= g.bounds.Conns && !g.makeRoom(now, tryClose) {
		return false
	}
	g.conns[id] = &conn{id: id, since: now, begun: now}
	return true
}

func (g *Gate) makeRoom(now int64, tryClose func(id int64) bool) bool {
	var idle []*conn
	for _, c := range g.conns {
		if c.state == Idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
	})
	for _, c := range idle {
		if tryClose(c.id) {
			g.Happen(c.id, Closed, now)
			return true
		}
	}
	return false
}

// Happen takes an input for one connection. What fits no line of the table changes nothing.
func (g *Gate) Happen(id int64, in Input, now int64) {
	c := g.conns[id]
	if c == nil {
		return
	}
	i := slices.IndexFunc(table, func(r row) bool { return r.in == in && slices.Contains(r.from, c.state) })
	if i < 0 {
		return
	}
	// Bytes that trickle in must not renew the time of a head.
	if c.state != table[i].next {
		c.state, c.since = table[i].next, now
	}
	if in == CallWhole {
		c.begun = 0
	}
	if c.state == Gone {
		g.Hold(id, -c.bytes)
		delete(g.conns, id)
	}
}

// Quiet is whether a connection has been served before and nothing is under way on it.
func (g *Gate) Quiet(id int64) bool {
	c := g.conns[id]
	return c != nil && c.state == Idle && c.begun == 0
}

// Hold notes that a connection holds more bytes, or fewer.
func (g *Gate) Hold(id int64, more int) {
	if c := g.conns[id]; c != nil {
		c.bytes += more
		g.bytes += more
	}
}

// Fattest is the connection with most bytes of an unfinished call while bytes are over their bound; it is
// closed first, as whoever sends slowly and much holds up all others. Zero for none.
func (g *Gate) Fattest() int64 {
	if g.bytes <= g.bounds.Bytes {
		return 0
	}
	var most *conn
	for _, c := range g.conns {
		unfinished := c.state == Heading || c.state == Bodying
		if unfinished && (most == nil || cmp.Or(cmp.Compare(c.bytes, most.bytes), cmp.Compare(most.id, c.id)) > 0) {
			most = c
		}
	}
	if most == nil {
		return 0
	}
	return most.id
}

// Admit takes an inference of a party, or says why not. The last quarter of the bound is kept for parties
// that hold less than their equal part of the first three, so that one that floods, even while it is alone,
// cannot keep out those that come later.
func (g *Gate) Admit(id int64, party string) Refusal {
	c, held := g.conns[id], g.parties[party]
	parts := len(g.parties)
	if held == 0 {
		parts++
	}
	switch {
	case c == nil || g.open >= g.bounds.Open:
		return NodeFull
	case g.bytes > g.bounds.Bytes:
		return BytesFull
	case 4*g.open >= 3*g.bounds.Open && held >= max(1, 3*g.bounds.Open/(4*parts)):
		return OwnShare
	}
	c.open++
	g.open++
	g.parties[party]++
	return Taken
}

// Done gives back what Admit took.
func (g *Gate) Done(id int64, party string) {
	if c := g.conns[id]; c != nil {
		c.open--
	}
	g.open--
	if g.parties[party]--; g.parties[party] <= 0 {
		delete(g.parties, party)
	}
}

// Holding is how much is held: connections, open inferences, bytes.
func (g *Gate) Holding() (conns, open, bytes int) { return len(g.conns), g.open, g.bytes }

// Overdue is one connection whose time is up, and the state in which it was too slow.
type Overdue struct {
	ID    int64
	State State
}

// Due lists, by id, the connections whose time in their state is up.
func (g *Gate) Due(now int64) []Overdue {
	var due []Overdue
	for id, c := range g.conns {
		var most time.Duration
		switch c.state {
		case Idle:
			most = g.bounds.IdleTime
		case Heading:
			most = g.bounds.HeadTime
		case Bodying:
			most = g.bounds.BodyTime
		case Parting:
			most = g.bounds.DrainTime
		default:
			continue
		}
		late := c.begun > 0 && c.state != Parting && g.bounds.FirstTime > 0 && now-c.begun > int64(g.bounds.FirstTime)
		if late || now-c.since > int64(most) {
			due = append(due, Overdue{id, c.state})
		}
	}
	slices.SortFunc(due, func(a, b Overdue) int { return cmp.Compare(a.ID, b.ID) })
	return due
}
