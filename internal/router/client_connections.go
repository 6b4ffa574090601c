package router

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
)

// clientCloseTimeout is how long a client has to close the connection itself after the last answer on it.
const clientCloseTimeout = int64(500 * time.Millisecond)

// ClientConnection is a connection of a client.
type ClientConnection struct {
	ID     int64
	Socket ClientSocket

	waiting        []*ClientRequest // requests that wait behind the one being served
	serving        bool
	current        *request // the request being served, if it is forwarded to engines
	disconnected   bool
	readingStopped bool // no more requests are read; the connection is closed after the answers to those that were read
	closing        bool // the connection is closed once all output is written
	aborted        bool // an answer was cut off, so the connection is closed without waiting for the client

	partial         bool            // part of a request has been received
	partialEvent    admission.Event // progress of the partial request: HeaderStarted or HeaderComplete
	expectsContinue bool            // the client waits for "100 Continue" before it sends the body

	output      []byte // output that was not passed to the socket yet
	flushQueued bool   // the connection is in clientConnections.unflushed
}

// unansweredCount returns the number of requests that wait for their answer.
func (c *ClientConnection) unansweredCount() int {
	count := 0
	for _, received := range c.waiting {
		if !received.terminal {
			count++
		}
	}
	if c.serving {
		count++
	}
	return count
}

// closeState returns the state of the connection for the check of the invariant on closing connections.
func (c *ClientConnection) closeState() invariant.Connection {
	return invariant.Connection{
		ClientGone:     c.disconnected || c.Socket.Disconnected(),
		ResponseBroken: c.aborted,
		Unanswered:     c.unansweredCount(),
		UnreadRequest:  c.partial,
	}
}

// closeReason returns why a connection is closed after its last answer. If the answer was not flushed, the client did not
// read it in time.
func (c *ClientConnection) closeReason(flushed bool) CloseReason {
	switch {
	case c.aborted:
		return CloseStreamBroken
	case flushed:
		return CloseAnswered
	}
	return CloseUnread
}

// clientConnections holds the open connections of clients.
type clientConnections struct {
	byID         map[int64]*ClientConnection
	closingSince map[int64]int64     // start of each connection's close, by ID; the close ends once all output is written
	unflushed    []*ClientConnection // connections with output that was not passed to the socket yet
}

func newClientConnections() clientConnections {
	return clientConnections{byID: map[int64]*ClientConnection{}, closingSince: map[int64]int64{}}
}

func (c *clientConnections) ids() []int64 { return slices.Sorted(maps.Keys(c.byID)) }

// ClientOpened handles a new connection of a client.
func (r *Router) ClientOpened(client *ClientConnection) {
	ok := r.admission.AcceptConnection(client.ID, r.now, func(id int64) bool { return r.closeIfIdle(r.clients.byID[id], CloseEvicted) })
	r.clients.byID[client.ID] = client
	if !ok {
		// A request may already be in transit on the connection, and needs an answer.
		r.observer.Rejected(RejectConnections)
		r.reply(client, nil, r.shedResponse("", shedConnections))
	}
}

// ClientDisconnected handles the end of a client's connection.
func (r *Router) ClientDisconnected(client *ClientConnection) {
	if client.disconnected {
		return
	}
	client.disconnected = true
	r.admission.Handle(client.ID, admission.ConnectionClosed, r.now)
	delete(r.clients.byID, client.ID)
	client.waiting = nil
	if req := client.current; req != nil {
		r.cancelRequest(req)
	}
}

// CloseIdleClients closes each connection without a request in flight, and returns how many connections are still busy.
func (r *Router) CloseIdleClients() (busy int) {
	for _, id := range r.clients.ids() {
		client := r.clients.byID[id]
		switch {
		case client.closing:
			if !client.Socket.Flushed() {
				busy++
			}
		case client.serving || !r.closeIfIdle(client, CloseShutdown):
			busy++
		}
	}
	return busy
}

// closeIfIdle closes a connection between two requests if the kernel has accepted the last answer, and reports whether the
// connection is closed.
func (r *Router) closeIfIdle(client *ClientConnection, reason CloseReason) bool {
	if client == nil || client.disconnected {
		return true
	}
	r.flush(client)
	if invariant.MayClose(client.closeState()) != invariant.Allowed || !client.Socket.Flushed() || !client.Socket.CloseIfIdle() {
		return false
	}
	r.observer.ClientClosed(client.ID, reason)
	return true
}

// closeClient closes a connection at once, even with requests in flight. The monitor records a violation if the close
// breaks an invariant.
func (r *Router) closeClient(client *ClientConnection, reason CloseReason) {
	r.monitor.ConnectionClosing(client.closeState(), string(reason))
	r.observer.ClientClosed(client.ID, reason)
	client.Socket.Close()
}

// closeAfterFlush closes a connection once all output is written. Input that still arrives is read and dropped: closing a
// socket with unread bytes would reset the connection, and the client might lose its answer.
func (r *Router) closeAfterFlush(client *ClientConnection) {
	client.closing = true
	client.Socket.StopReading()
	r.dropPartial(client)
	r.admission.Handle(client.ID, admission.CloseRequested, r.now)
	r.clients.closingSince[client.ID] = r.now
	r.flush(client)
}

// closeFlushed closes, in the order of their IDs, the closing connections that are due.
func (r *Router) closeFlushed() {
	for _, id := range slices.Sorted(maps.Keys(r.clients.closingSince)) {
		if client := r.clients.byID[id]; client != nil {
			r.closeIfFlushed(client)
		} else {
			delete(r.clients.closingSince, id)
		}
	}
}

// closeIfFlushed closes a closing connection if it is due. If all output is written, the client has clientCloseTimeout to close
// the connection itself, unless an answer was cut off; if not, it has DrainTimeout to read.
func (r *Router) closeIfFlushed(client *ClientConnection) {
	flushed, since := client.Socket.Flushed(), r.clients.closingSince[client.ID]
	if flushed && (client.aborted || r.now-since > clientCloseTimeout) || r.now-since > int64(r.config.Limits.DrainTimeout) {
		delete(r.clients.closingSince, client.ID)
		r.closeClient(client, client.closeReason(flushed))
	}
}

// expireClient ends a connection that has exceeded the timeout of its state.
func (r *Router) expireClient(client *ClientConnection, state admission.State) {
	switch state {
	case admission.Idle:
		if !r.closeIfIdle(client, CloseIdle) {
			return // a request has just arrived
		}
	case admission.ReadingHeader, admission.ReadingBody:
		r.reply(client, nil, r.protocol.InvalidRequestResponse(http.StatusRequestTimeout, "too_slow", "",
			"the request did not come in time"))
	default:
		if client != nil {
			client.Socket.StopReading()
			r.flush(client)
			r.closeClient(client, CloseUnread)
		}
	}
	r.observer.Rejected(RejectTimeout)
}

// write queues data for a client until the next flush.
func (r *Router) write(client *ClientConnection, data []byte) {
	if client.disconnected {
		return
	}
	client.output = append(client.output, data...)
	if !client.flushQueued {
		client.flushQueued = true
		r.clients.unflushed = append(r.clients.unflushed, client)
	}
}

// flush passes the output of a client to its socket. If the client does not read and the socket's buffer is full, the
// connection is closed.
func (r *Router) flush(client *ClientConnection) {
	if len(client.output) == 0 || client.disconnected {
		client.output = nil
		return
	}
	output := client.output
	client.output = nil
	if err := client.Socket.Send(output); err != nil {
		r.observer.Rejected(RejectSlowReader)
		r.observer.ClientClosed(client.ID, CloseUnread)
		client.Socket.Close()
	}
}

func (r *Router) flushClients() {
	for _, client := range r.clients.unflushed {
		client.flushQueued = false
		r.flush(client)
		r.closeDrainingClient(client)
	}
	r.clients.unflushed = r.clients.unflushed[:0]
}
