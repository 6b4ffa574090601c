package router

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
)

// hangUpTime is how long a client has to close the connection itself after its last answer.
const clientCloseTimeout = int64(500 * time.Millisecond)

// ClientConnection is one connection of a client.
type ClientConnection struct {
	ID     int64
	Socket ClientSocket

	waiting        []*ClientRequest // requests behind the one that is served
	serving        bool
	current        *request // that is served, where it goes to engines
	disconnected   bool
	readingStopped bool // nothing more is read, and the connection is closed after the answers to what was read
	closing        bool // to be closed once all is written
	aborted        bool // its answer broke off, so that it is closed without waiting for the client

	partial         bool            // a request has come in part
	partialEvent    admission.Event // how much of it: HeaderStarted or HeaderComplete
	partialBytes    int
	expectsContinue bool // the client waits for "100 Continue" before it sends the body

	output      []byte // not handed to the socket yet
	flushQueued bool   // it is in the list of those to flush
}

// unanswered is how many requests wait for their answer.
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

// closeState is what the invariant of closed connections looks at.
func (c *ClientConnection) closeState() invariant.Connection {
	return invariant.Connection{
		ClientGone:     c.disconnected || c.Socket.Disconnected(),
		ResponseBroken: c.aborted,
		Unanswered:     c.unansweredCount(),
		UnreadRequest:  c.partial,
	}
}

// closeReason is why a connection is closed whose last answer is flushed, or was not read in time.
func (c *ClientConnection) closeReason(flushed bool) CloseReason {
	switch {
	case c.aborted:
		return CloseStreamBroken
	case flushed:
		return CloseAnswered
	}
	return CloseUnread
}

// clientConnections are the open connections of clients.
type clientConnections struct {
	byID         map[int64]*ClientConnection
	closingSince map[int64]int64     // connections that are closed once all is written, by ID
	unflushed    []*ClientConnection // with output for their sockets
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
		// A request may be on its way on the connection already, and needs an answer.
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

// CloseIdleClients closes each connection without a request in flight, and returns how many others there are.
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

// closeIfIdle closes a connection between two requests, once its last answer is with the kernel.
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

// closeClient closes a connection at once, whatever is in flight on it. The monitor counts it if that breaks an invariant.
func (r *Router) closeClient(client *ClientConnection, reason CloseReason) {
	r.monitor.ConnectionClosing(client.closeState(), string(reason))
	r.observer.ClientClosed(client.ID, reason)
	client.Socket.Close()
}

// closeAfterFlush closes a connection once all is written. What still comes in is read and dropped: to close with bytes
// unread would reset the connection, and the client might lose its answer.
func (r *Router) closeAfterFlush(client *ClientConnection) {
	client.closing = true
	client.Socket.StopReading()
	r.admission.AddBytes(client.ID, -client.partialBytes) // a partial request is dropped
	client.partialBytes, client.partial = 0, false
	r.admission.Handle(client.ID, admission.CloseRequested, r.now)
	r.clients.closingSince[client.ID] = r.now
	r.flush(client)
}

// closeFlushed closes the connections that have written all, and those whose clients do not read in time, by ID.
func (r *Router) closeFlushed() {
	for _, id := range slices.Sorted(maps.Keys(r.clients.closingSince)) {
		client, since := r.clients.byID[id], r.clients.closingSince[id]
		if client == nil {
			delete(r.clients.closingSince, id)
			continue
		}
		flushed := client.Socket.Flushed()
		if flushed && (client.aborted || r.now-since > clientCloseTimeout) || r.now-since > int64(r.config.Limits.DrainTimeout) {
			delete(r.clients.closingSince, id)
			r.closeClient(client, client.closeReason(flushed))
		}
	}
}

// expireClient ends a connection that was for too long in its state.
func (r *Router) expireClient(client *ClientConnection, state admission.State) {
	switch state {
	case admission.Idle:
		if !r.closeIfIdle(client, CloseIdle) {
			return // a request has come in this moment
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

// flush hands the output of a client to its socket. Where the client does not read and the socket is full, it is closed.
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
