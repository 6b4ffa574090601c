package router

import (
	"errors"
	"fmt"
	"net/http"

	"sandcourse/internal/admission"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

// maxPipelined is how many requests of one connection wait for their turn. Those behind them are shed when their turn
// comes: to close the connection would leave all that was read without an answer.
const maxPipelined = 4

// maxReadAhead is how many requests of one connection are read before their turn. The connection is closed after their
// answers.
const maxReadAhead = 64

// ClientRequest is one complete HTTP request of a client.
type ClientRequest struct {
	Request   *http.Request
	Call      *protocol.Request  // what engines are to do; nil where the request is for the router itself
	Caller    string             // whose quota it counts for; empty for the connection's own
	Bytes     int                // its size
	Rejection *protocol.Response // the answer to an invalid request

	exceedsPipeline bool // too many wait before it
	terminal        bool // nothing behind it can be read
}

// ReceivePartial handles a part of a request, of which so many bytes are buffered now.
func (r *Router) ReceivePartial(client *ClientConnection, event admission.Event, buffered int) {
	if client.disconnected || client.closing {
		return // what comes on a connection that is closing is dropped
	}
	client.partialEvent, client.partial = event, true
	if !client.serving {
		r.admission.Handle(client.ID, event, r.now)
	}
	r.admission.AddBytes(client.ID, buffered-client.partialBytes)
	client.partialBytes = buffered
	if id := r.admission.LargestUnfinished(); id != 0 {
		r.observer.Rejected(RejectBytes)
		r.reply(r.clients.byID[id], nil, r.shedResponse("", shedCapacity))
	}
}

// RejectMessage answers what is no valid HTTP message. Nothing more is read, as it is not known where the message ends.
func (r *Router) RejectMessage(client *ClientConnection, err error) {
	status := http.StatusBadRequest
	var message *httpframing.MessageError
	if errors.As(err, &message) {
		status = message.Status
	}
	r.observer.Rejected(RejectMessage)
	// Requests before it get their answers first.
	rejection := r.protocol.InvalidRequestResponse(status, "bad_message", "", err.Error())
	client.waiting = append(client.waiting, &ClientRequest{Rejection: &rejection, terminal: true})
	r.serveNext(client)
}

// ReceiveRequest handles a complete request of a client.
func (r *Router) ReceiveRequest(client *ClientConnection, received *ClientRequest) {
	if client.disconnected || client.closing {
		return
	}
	r.admission.AddBytes(client.ID, received.Bytes-client.partialBytes)
	client.partialBytes, client.partial, client.expectsContinue = 0, false, false
	r.admission.Handle(client.ID, admission.RequestComplete, r.now)
	received.exceedsPipeline = len(client.waiting) >= maxPipelined
	client.waiting = append(client.waiting, received)
	if len(client.waiting) == maxReadAhead {
		client.Socket.StopReading()
		client.readingStopped = true
	}
	r.serveNext(client)
}

// ExpectContinue handles a request whose client waits for "100 Continue" before it sends the body. It is sent once all
// requests before are answered, as it must not come in the middle of an answer.
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

// serveNext serves the requests of a connection, one after the other.
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
		r.handleAllAnswered(client)
	}
}

// allAnswered handles that all requests read on a connection are answered. The timeout of a request that has come in part
// meanwhile begins now.
func (r *Router) handleAllAnswered(client *ClientConnection) {
	r.admission.Handle(client.ID, admission.AllAnswered, r.now)
	switch {
	case client.closing:
	case client.readingStopped:
		r.closeAfterFlush(client)
	case client.partial:
		r.admission.Handle(client.ID, client.partialEvent, r.now)
		r.sendContinue(client)
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

// reply writes a complete answer and ends the request; the connection is closed after an answer to no request.
func (r *Router) reply(client *ClientConnection, received *ClientRequest, answer protocol.Response) {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		answer.Status, http.StatusText(answer.Status), answer.ContentType, len(answer.Body))
	for _, header := range answer.Headers {
		head = fmt.Appendf(head, "%s: %s\r\n", header.Name, header.Value)
	}
	keepAlive := received != nil && !received.Request.Close && received.Request.ProtoAtLeast(1, 1)
	if !keepAlive {
		head = append(head, "Connection: close\r\n"...)
	}
	r.write(client, append(append(head, "\r\n"...), answer.Body...))
	r.finishReply(client, received, keepAlive)
}

// finishReply ends a request of a client and goes on with the next.
func (r *Router) finishReply(client *ClientConnection, received *ClientRequest, keepAlive bool) {
	if received != nil {
		r.admission.AddBytes(client.ID, -received.Bytes)
	}
	client.serving, client.current = false, nil
	if !keepAlive || client.closing {
		// Its client has said that this was the last request, or nothing behind it can be read: what follows gets no answer.
		client.waiting = nil
		r.closeAfterFlush(client)
		return
	}
	r.serveNext(client)
}

// abortResponse closes a connection whose answer broke off, so that the client does not take what it has for complete.
func (r *Router) abortResponse(client *ClientConnection) {
	client.serving, client.current = false, nil
	client.aborted = true
	r.closeAfterFlush(client)
}

// shedResponse is the answer to what is shed for lack of capacity.
func (r *Router) shedResponse(name string, reason ShedReason) protocol.Response {
	return r.protocol.ShedResponse(http.StatusServiceUnavailable, name, string(reason), r.config.MaxRetryAfter)
}
