package router

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

// maxPipelined is how many requests of one connection wait for their turn. Those behind them are refused when theirs comes:
// closing the connection would leave all that was read without an answer.
const maxPipelined = 4

// maxReadAhead is how many requests of one connection are read before their turn. The connection ends behind their answers.
const maxReadAhead = 64

// ClientOpened takes a new connection of a client.
func (r *Router) ClientOpened(client *ClientConnection) {
	ok := r.admission.AcceptConnection(client.ID, r.now, func(id int64) bool { return r.closeIfIdle(r.clients[id], CloseEvicted) })
	r.clients[client.ID] = client
	if !ok {
		// A request may be on its way on it already, and is owed an answer.
		r.observer.Rejected("connections")
		r.reply(client, nil, r.protocol.ShedResponse(http.StatusServiceUnavailable, "", "this node has all the connections that it may",
			r.config.MaxRetryAfter))
	}
}

func (r *Router) closeClient(client *ClientConnection, reason CloseReason) {
	if client != nil {
		client.Socket.StopReading()
		r.flush(client)
		r.closeSocket(client, reason)
	}
}

// closeSocket closes a client's connection, whatever is under way on it. What the gate of closes has against it counts.
func (r *Router) closeSocket(client *ClientConnection, reason CloseReason) {
	r.monitor.ConnectionClosing(r.connectionState(client), string(reason))
	r.observer.ClientClosed(client.ID, reason)
	client.Socket.Close()
}

// connectionState is what the gate of closes is asked about.
func (r *Router) connectionState(client *ClientConnection) invariant.Connection {
	waiting := 0
	for _, a := range client.waiting {
		if !a.terminal {
			waiting++
		}
	}
	if client.serving {
		waiting++
	}
	return invariant.Connection{ClientGone: client.disconnected || client.Socket.Disconnected(), ResponseBroken: client.aborted, Unanswered: waiting, UnreadRequest: client.partial}
}

// closeIfIdle closes a connection between two requests, once its last answer is with the kernel.
func (r *Router) closeIfIdle(client *ClientConnection, reason CloseReason) bool {
	if client == nil || client.disconnected {
		return true
	}
	r.flush(client)
	if invariant.MayClose(r.connectionState(client)) != invariant.Allowed || !client.Socket.Flushed() || !client.Socket.CloseIfIdle() {
		return false
	}
	r.observer.ClientClosed(client.ID, reason)
	return true
}

// CloseIdleClients closes each connection on which nothing is under way, and returns how many others there are.
func (r *Router) CloseIdleClients() (busy int) {
	for _, id := range slices.Sorted(maps.Keys(r.clients)) {
		client := r.clients[id]
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

// ClientDisconnected says that a connection of a client has ended.
func (r *Router) ClientDisconnected(client *ClientConnection) {
	if client.disconnected {
		return
	}
	client.disconnected = true
	r.admission.Handle(client.ID, admission.ConnectionClosed, r.now)
	delete(r.clients, client.ID)
	client.waiting = nil
	if req := client.current; req != nil {
		r.cancelRequest(req)
	}
}

// ReceivePartial says that a client sends, and how many bytes of an unfinished call are held for it.
func (r *Router) ReceivePartial(client *ClientConnection, input admission.Event, bytes int) {
	if client.disconnected || client.closing {
		return // what comes on a connection that is closing is dropped
	}
	client.partialState, client.partial = input, true
	if !client.serving {
		r.admission.Handle(client.ID, input, r.now)
	}
	r.admission.AddBytes(client.ID, bytes-client.partialBytes)
	client.partialBytes = bytes
	if id := r.admission.LargestUnfinished(); id != 0 {
		r.observer.Rejected("bytes")
		r.reply(r.clients[id], nil, r.protocol.ShedResponse(http.StatusServiceUnavailable, "", "this node holds all that it may",
			r.config.MaxRetryAfter))
	}
}

// RejectMessage answers what is no request, and reads nothing more: where one message ends is not known.
func (r *Router) RejectMessage(client *ClientConnection, err error) {
	status := http.StatusBadRequest
	var fault *httpframing.MessageError
	if errors.As(err, &fault) {
		status = fault.Status
	}
	r.observer.Rejected("message")
	// What was asked for before it gets its answers first.
	rejection := r.protocol.InvalidRequestResponse(status, "bad_message", "", err.Error())
	client.waiting = append(client.waiting, &ClientRequest{Rejection: &rejection, terminal: true})
	r.serveNext(client)
}

// ReceiveRequest takes a whole request of a client.
func (r *Router) ReceiveRequest(client *ClientConnection, received *ClientRequest) {
	if client.disconnected || client.closing {
		return
	}
	r.admission.AddBytes(client.ID, received.Bytes-client.partialBytes)
	client.partialBytes, client.partial, client.expectsContinue = 0, false, false
	r.admission.Handle(client.ID, admission.RequestComplete, r.now)
	received.excess = len(client.waiting) >= maxPipelined
	client.waiting = append(client.waiting, received)
	if len(client.waiting) == maxReadAhead {
		client.Socket.StopReading()
		client.readingStopped = true
	}
	r.serveNext(client)
}

// serveNext serves what a client has asked for, one after the other.
func (r *Router) serveNext(client *ClientConnection) {
	for !client.serving && !client.disconnected && !client.closing && len(client.waiting) > 0 {
		received := client.waiting[0]
		client.waiting = client.waiting[1:]
		client.serving = true
		if received.Caller == "" {
			received.Caller = fmt.Sprintf("c%d", client.ID)
		}
		r.serve(client, received)
	}
	if !client.serving && !client.disconnected && len(client.waiting) == 0 {
		r.becomeIdle(client)
	}
}

// becomeIdle is what a connection comes to once all that was read on it is answered. A request that has come in part meanwhile
// has its time from now on.
func (r *Router) becomeIdle(client *ClientConnection) {
	r.admission.Handle(client.ID, admission.AllAnswered, r.now)
	switch {
	case client.closing:
	case client.readingStopped:
		r.closeAfterFlush(client)
	case client.partial:
		r.admission.Handle(client.ID, client.partialState, r.now)
		r.sendContinue(client)
	}
}

// ExpectContinue says that a client waits for a word before it sends the body of its request. It gets the word once all before
// it is answered: in the middle of an answer it would spoil that.
func (r *Router) ExpectContinue(client *ClientConnection) {
	if client.disconnected || client.closing {
		return
	}
	client.expectsContinue = true
	if !client.serving && len(client.waiting) == 0 {
		r.sendContinue(client)
	}
}

func (r *Router) sendContinue(client *ClientConnection) {
	if client.expectsContinue {
		client.expectsContinue = false
		r.write(client, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

func (r *Router) serve(client *ClientConnection, received *ClientRequest) {
	switch {
	case received.terminal:
		r.reply(client, nil, *received.Rejection)
	case received.Rejection != nil:
		r.reply(client, received, *received.Rejection)
	case received.Call != nil:
		r.admitRequest(client, received)
	default:
		r.reply(client, received, r.protocol.AuxiliaryResponse(received.Request, r.notReadyReason()))
	}
}

// reply writes a whole answer and ends the request.
func (r *Router) reply(client *ClientConnection, received *ClientRequest, answer protocol.Response) {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		answer.Status, http.StatusText(answer.Status), answer.ContentType, len(answer.Body))
	for _, header := range answer.Headers {
		head = fmt.Appendf(head, "%s: %s\r\n", header.Name, header.Value)
	}
	keep := received != nil && !received.Request.Close && received.Request.ProtoAtLeast(1, 1)
	if !keep {
		head = append(head, "Connection: close\r\n"...)
	}
	r.write(client, append(append(head, "\r\n"...), answer.Body...))
	r.finishReply(client, received, keep)
}

// finishReply ends a request of a client and goes on with the next.
func (r *Router) finishReply(client *ClientConnection, received *ClientRequest, keep bool) {
	if received != nil {
		r.admission.AddBytes(client.ID, -received.Bytes)
	}
	client.serving, client.current = false, nil
	if !keep || client.closing {
		// Its client has said that this was the last one, or nothing behind it can be read: what follows is owed no answer.
		client.waiting = nil
		r.closeAfterFlush(client)
		return
	}
	r.serveNext(client)
}

// closeAfterFlush closes a connection once all is written. What still comes in is read and dropped: closing with bytes
// unread would reset the connection, and the client might lose its answer.
func (r *Router) closeAfterFlush(client *ClientConnection) {
	client.closing = true
	client.Socket.StopReading()
	r.admission.AddBytes(client.ID, -client.partialBytes) // a part of a request is dropped
	client.partialBytes, client.partial = 0, false
	r.admission.Handle(client.ID, admission.CloseRequested, r.now)
	r.closing[client.ID] = r.now
	r.flush(client)
}

func (r *Router) write(client *ClientConnection, data []byte) {
	if client.disconnected {
		return
	}
	client.output = append(client.output, data...)
	if !client.queued {
		client.queued = true
		r.unflushed = append(r.unflushed, client)
	}
}

// flush hands a client's bytes to its socket. One that does not read is closed by the socket's bound.
func (r *Router) flush(client *ClientConnection) {
	if len(client.output) == 0 || client.disconnected {
		client.output = nil
		return
	}
	output := client.output
	client.output = nil
	if err := client.Socket.Send(output); err != nil {
		r.observer.Rejected("slow client")
		r.observer.ClientClosed(client.ID, CloseUnread)
		client.Socket.Close()
	}
}

// closeFlushed closes what has written all, or has been given up: half a second for the client to hang up
// first.
func (r *Router) closeFlushed() {
	for id, at := range r.closing {
		client := r.clients[id]
		if client == nil {
			delete(r.closing, id)
			continue
		}
		written := client.Socket.Flushed()
		if written && (client.aborted || r.now-at > int64(500*time.Millisecond)) || r.now-at > int64(r.config.Limits.DrainTimeout) {
			delete(r.closing, id)
			r.closeSocket(client, closeReason(client, written))
		}
	}
}

func closeReason(client *ClientConnection, written bool) CloseReason {
	switch {
	case client.aborted:
		return CloseStreamBroken
	case written:
		return CloseAnswered
	}
	return CloseUnread
}

// abortResponse ends a connection whose answer broke: the client must not take what it has for the whole.
func (r *Router) abortResponse(client *ClientConnection) {
	client.serving, client.current = false, nil
	client.aborted = true
	r.closeAfterFlush(client)
}

// recentNames are those that clients gave to inferences. Engines know inferences by them, so that a second of the
// same name would be taken for a copy of the first. The last few thousand are kept, in two halves.
type recentNames struct{ recent, previous map[string]bool }

// namesPerGeneration: a minute's worth at a hundred a second, some hundred kilobytes.
const namesPerGeneration = 6000

func (n *recentNames) contains(name string) bool { return n.recent[name] || n.previous[name] }

// remove forgets the name of a request of which nothing was sent to an engine: its client may come again with it.
func (n *recentNames) remove(name string) {
	delete(n.recent, name)
	delete(n.previous, name)
}

// add notes a name; false where it is taken already.
func (n *recentNames) add(name string) bool {
	if n.contains(name) {
		return false
	}
	if n.recent == nil || len(n.recent) >= namesPerGeneration {
		n.recent, n.previous = map[string]bool{}, n.recent
	}
	n.recent[name] = true
	return true
}
