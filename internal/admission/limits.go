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

// Limits hold for one node.
type Limits struct {
	Connections         int // client connections
	OpenRequests        int // inferences taken and not yet answered
	BufferedBytes       int // of request bodies held, whole and in part
	HeaderTimeout       time.Duration
	BodyTimeout         time.Duration
	IdleTimeout         time.Duration // between two calls of one connection
	FirstRequestTimeout time.Duration // from a connection's beginning to its first whole call; 0 for any
	RetryShare          float64       // share of calls that may be retries; 0 for any
	DrainTimeout        time.Duration // for a client to take the rest of an answer before its connection is closed
}

// State is where a client's connection stands.
type State uint8

const (
	Idle          State = iota
	ReadingHeader       // the first bytes of a head have come
	ReadingBody         // the head is whole, its body is not
	Serving             // a call is whole and not yet answered
	Closing             // its last answer is out, it will be closed
	Terminated
)

// Event is what happens to a client's connection.
type Event uint8

const (
	HeaderStarted Event = iota
	HeaderComplete
	RequestComplete
	AllAnswered    // no call is left that waits
	CloseRequested // nothing more is taken from it
	ConnectionClosed
)

type transition struct {
	from  []State
	event Event
	next  State
}

var transitions = []transition{
	{[]State{Idle}, HeaderStarted, ReadingHeader},
	{[]State{Idle, ReadingHeader}, HeaderComplete, ReadingBody},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving}, RequestComplete, Serving},
	{[]State{Serving}, AllAnswered, Idle},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving}, CloseRequested, Closing},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving, Closing}, ConnectionClosed, Terminated},
}

// Rejection says why something is not taken.
type Rejection uint8

const (
	Admitted         Rejection = iota
	QuotaExceeded              // the client holds its fair part already, and there is no more to give
	CapacityExceeded           // the node holds all that it may
	BufferFull                 // bodies held are at their bound
)

type connection struct {
	id                int64
	state             State
	stateSince        int64
	bufferedBytes     int
	openRequests      int
	firstRequestSince int64 // when it was opened; 0 once a call has been whole
}

// Controller is the state of one node's clients.
type Controller struct {
	limits        Limits
	connections   map[int64]*connection
	openByClient  map[string]int // open inferences of each
	openRequests  int
	bufferedBytes int
}

// New makes a gate that holds nothing.
func New(b Limits) *Controller {
	return &Controller{limits: b, connections: map[int64]*connection{}, openByClient: map[string]int{}}
}

// AcceptConnection takes a new connection. At the bound the one that has been idle longest makes room; where all are at
// work the new one is refused. TryClose closes an idle one, or says that a request is on its way on it.
func (ct *Controller) AcceptConnection(id, now int64, tryClose func(id int64) bool) bool {
	if len(ct.connections) >= ct.limits.Connections && !ct.evictIdle(now, tryClose) {
		return false
	}
	ct.connections[id] = &connection{id: id, stateSince: now, firstRequestSince: now}
	return true
}

func (ct *Controller) evictIdle(now int64, tryClose func(id int64) bool) bool {
	var idle []*connection
	for _, c := range ct.connections {
		if c.state == Idle {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *connection) int {
		return cmp.Or(cmp.Compare(a.stateSince, b.stateSince), cmp.Compare(a.id, b.id))
	})
	for _, c := range idle {
		if tryClose(c.id) {
			ct.Handle(c.id, ConnectionClosed, now)
			return true
		}
	}
	return false
}

// Handle takes an input for one connection. What fits no line of the table changes nothing.
func (ct *Controller) Handle(id int64, event Event, now int64) {
	c := ct.connections[id]
	if c == nil {
		return
	}
	i := slices.IndexFunc(transitions, func(candidate transition) bool {
		return candidate.event == event && slices.Contains(candidate.from, c.state)
	})
	if i < 0 {
		return
	}
	// Bytes that trickle in must not renew the time of a head.
	if c.state != transitions[i].next {
		c.state, c.stateSince = transitions[i].next, now
	}
	if event == RequestComplete {
		c.firstRequestSince = 0
	}
	if c.state == Terminated {
		ct.AddBytes(id, -c.bufferedBytes)
		delete(ct.connections, id)
	}
}

// ServedAndIdle is whether a connection has been served before and nothing is under way on it.
func (ct *Controller) ServedAndIdle(id int64) bool {
	c := ct.connections[id]
	return c != nil && c.state == Idle && c.firstRequestSince == 0
}

// AddBytes notes that a connection holds more bytes, or fewer.
func (ct *Controller) AddBytes(id int64, more int) {
	if c := ct.connections[id]; c != nil {
		c.bufferedBytes += more
		ct.bufferedBytes += more
	}
}

// LargestUnfinished is the connection with most bytes of an unfinished call while bytes are over their bound; it is
// closed first, as whoever sends slowly and much holds up all others. Zero for none.
func (ct *Controller) LargestUnfinished() int64 {
	if ct.bufferedBytes <= ct.limits.BufferedBytes {
		return 0
	}
	var largest *connection
	for _, c := range ct.connections {
		unfinished := c.state == ReadingHeader || c.state == ReadingBody
		if unfinished && (largest == nil || cmp.Or(cmp.Compare(c.bufferedBytes, largest.bufferedBytes), cmp.Compare(largest.id, c.id)) > 0) {
			largest = c
		}
	}
	if largest == nil {
		return 0
	}
	return largest.id
}

// Admit takes an inference of a party, or says why not. The last quarter of the bound is kept for parties
// that hold less than their equal part of the first three, so that one that floods, even while it is alone,
// cannot keep out those that come later.
func (ct *Controller) Admit(id int64, client string) Rejection {
	c, held := ct.connections[id], ct.openByClient[client]
	clients := len(ct.openByClient)
	if held == 0 {
		clients++
	}
	switch {
	case c == nil || ct.openRequests >= ct.limits.OpenRequests:
		return CapacityExceeded
	case ct.bufferedBytes > ct.limits.BufferedBytes:
		return BufferFull
	case 4*ct.openRequests >= 3*ct.limits.OpenRequests && held >= max(1, 3*ct.limits.OpenRequests/(4*clients)):
		return QuotaExceeded
	}
	c.openRequests++
	ct.openRequests++
	ct.openByClient[client]++
	return Admitted
}

// Release gives back what Admit took.
func (ct *Controller) Release(id int64, client string) {
	if c := ct.connections[id]; c != nil {
		c.openRequests--
	}
	ct.openRequests--
	if ct.openByClient[client]--; ct.openByClient[client] <= 0 {
		delete(ct.openByClient, client)
	}
}

// Usage is how much is held: connections, open inferences, bytes.
func (ct *Controller) Usage() (connections, openRequests, bufferedBytes int) {
	return len(ct.connections), ct.openRequests, ct.bufferedBytes
}

// ExpiredConnection is one connection whose time is up, and the state in which it was too slow.
type ExpiredConnection struct {
	ID    int64
	State State
}

// Expired lists, by id, the connections whose time in their state is up.
func (ct *Controller) Expired(now int64) []ExpiredConnection {
	var expired []ExpiredConnection
	for id, c := range ct.connections {
		var timeout time.Duration
		switch c.state {
		case Idle:
			timeout = ct.limits.IdleTimeout
		case ReadingHeader:
			timeout = ct.limits.HeaderTimeout
		case ReadingBody:
			timeout = ct.limits.BodyTimeout
		case Closing:
			timeout = ct.limits.DrainTimeout
		default:
			continue
		}
		late := c.firstRequestSince > 0 && c.state != Closing && ct.limits.FirstRequestTimeout > 0 && now-c.firstRequestSince > int64(ct.limits.FirstRequestTimeout)
		if late || now-c.stateSince > int64(timeout) {
			expired = append(expired, ExpiredConnection{id, c.state})
		}
	}
	slices.SortFunc(expired, func(a, b ExpiredConnection) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}
