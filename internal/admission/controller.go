// Package admission decides what one router accepts from its clients: how many connections, open requests and bytes, how
// long a header and a body may take, and what is rejected first when a limit is reached. It does no I/O.
//
// Limits are shared fairly: a tenant that uses less than an equal share is rejected last.
package admission

import (
	"cmp"
	"time"

	"sandcourse/internal/indexheap"
)

// Limits bounds what one router accepts from its clients.
type Limits struct {
	Connections         int
	OpenRequests        int // requests that are admitted and not answered yet
	BufferedBytes       int // memory of requests that are not answered yet, complete and partial
	HeaderTimeout       time.Duration
	BodyTimeout         time.Duration
	IdleTimeout         time.Duration // time between two requests on one connection
	FirstRequestTimeout time.Duration // time from the opening of a connection to its first complete request; 0 for no limit
	RetryShare          float64       // share of requests that may be retries; 0 for no limit
	DrainTimeout        time.Duration // time for a client to read the rest of a response before its connection is closed
}

type connection struct {
	id                int64
	state             State
	stateSince        int64
	bufferedBytes     int // including unfinishedBytes
	unfinishedBytes   int // bytes of the incomplete request
	openRequests      int
	firstRequestSince int64 // time at which the connection was opened; 0 after its first complete request
	idlePosition      indexheap.Position
}

// Before orders idle connections by the time at which they became idle.
func (c *connection) Before(other *connection) bool {
	return cmp.Or(cmp.Compare(c.stateSince, other.stateSince), cmp.Compare(c.id, other.id)) < 0
}

// Position returns where the index of idle connections stores the connection's position.
func (c *connection) Position() *indexheap.Position { return &c.idlePosition }

// Controller tracks the connections of one router's clients and the open requests of its tenants.
type Controller struct {
	limits        Limits
	connections   map[int64]*connection
	idle          indexheap.Heap[*connection]
	openByTenant  map[string]int // number of open requests, by tenant
	openRequests  int
	bufferedBytes int
}

// New returns a controller without connections.
func New(limits Limits) *Controller {
	return &Controller{limits: limits, connections: map[int64]*connection{}, openByTenant: map[string]int{}}
}

// AcceptConnection adds a new connection, and reports whether it is accepted. At the limit, the connection that has been
// idle longest is closed to make room; if none is idle, the new one is rejected. The function tryClose closes an idle
// connection, or returns false if a request is about to arrive on it.
func (ct *Controller) AcceptConnection(id, now int64, tryClose func(id int64) bool) bool {
	if len(ct.connections) >= ct.limits.Connections && !ct.evictIdle(now, tryClose) {
		return false
	}
	c := &connection{id: id, stateSince: now, firstRequestSince: now}
	ct.connections[id] = c
	ct.indexIdle(c)
	return true
}

func (ct *Controller) evictIdle(now int64, tryClose func(id int64) bool) bool {
	var busy []*connection // idle connections on which a request is about to arrive
	defer func() {
		for _, c := range busy {
			ct.indexIdle(c)
		}
	}()
	for {
		c, ok := ct.idle.First()
		if !ok {
			return false
		}
		if tryClose(c.id) {
			ct.Handle(c.id, ConnectionClosed, now)
			return true
		}
		ct.idle.Remove(c)
		busy = append(busy, c)
	}
}

// indexIdle adds a connection to the index of idle connections, or removes it if it is not idle.
func (ct *Controller) indexIdle(c *connection) {
	if c.state == Idle && ct.connections[c.id] == c {
		ct.idle.Set(c)
	} else {
		ct.idle.Remove(c)
	}
}

// Handle applies an event to one connection. An event without a transition from the current state has no effect.
func (ct *Controller) Handle(id int64, event Event, now int64) {
	c := ct.connections[id]
	if c == nil {
		return
	}
	fired := findTransition(c.state, event)
	if fired == nil {
		return
	}
	// A header that arrives slowly must not extend its own timeout.
	if c.state != fired.next {
		c.state, c.stateSince = fired.next, now
	}
	ct.indexIdle(c)
	if event == RequestComplete {
		c.firstRequestSince = 0
	}
	if c.state == Terminated {
		ct.AddBytes(id, -c.bufferedBytes)
		delete(ct.connections, id)
		ct.idle.Remove(c)
	}
}

// ServedAndIdle reports whether a connection has been served before and has no request in progress.
func (ct *Controller) ServedAndIdle(id int64) bool {
	c := ct.connections[id]
	return c != nil && c.state == Idle && c.firstRequestSince == 0
}

// AddBytes adds delta, which may be negative, to the bytes that a connection buffers.
func (ct *Controller) AddBytes(id int64, delta int) {
	if c := ct.connections[id]; c != nil {
		c.bufferedBytes += delta
		ct.bufferedBytes += delta
	}
}

// SetUnfinishedBytes sets the bytes that a connection buffers of a request that is not complete; 0 if it has none.
func (ct *Controller) SetUnfinishedBytes(id int64, bytes int) {
	if c := ct.connections[id]; c != nil {
		ct.AddBytes(id, bytes-c.unfinishedBytes)
		c.unfinishedBytes = bytes
	}
}

// Usage returns the number of connections, open requests and buffered bytes.
func (ct *Controller) Usage() (connections, openRequests, bufferedBytes int) {
	return len(ct.connections), ct.openRequests, ct.bufferedBytes
}
