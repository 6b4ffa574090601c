package router

import (
	"errors"
	"fmt"
	"net/http"

	"sandcourse/internal/admission"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/httpframing"
)

// maxPipelined is the number of requests that may wait on one connection. Further requests are shed in their order:
// closing the connection instead would leave the requests that were read without an answer.
const maxPipelined = 4

// maxReadAhead is how many requests may be read on one connection before their turn. Once that many wait, no more are read,
// and the connection is closed after their answers.
const maxReadAhead = 64

// ReceivePartial handles a part of a request; buffered is how many bytes of the request are buffered now.
func (r *Router) ReceivePartial(client *ClientConnection, event admission.Event, buffered int) {
	if client.disconnected || client.closing || client.readingStopped {
		return // the input is dropped
	}
	client.partialEvent, client.partial = event, true
	if !client.serving {
		r.admission.Handle(client.ID, event, r.now)
	}
	r.admission.SetUnfinishedBytes(client.ID, buffered)
	if id := r.admission.LargestUnfinished(); id != 0 {
		r.observer.Rejected(RejectBytes)
		r.rejectInput(r.clients.byID[id], r.shedResponse("", shedCapacity))
	}
}

// rejectInput rejects the request that is being received, after the answers to earlier ones, and reads no more input.
func (r *Router) rejectInput(client *ClientConnection, rejection protocol.Response) {
	client.Socket.StopReading()
	client.readingStopped = true
	r.dropPartial(client)
	client.waiting = append(client.waiting, &ClientRequest{Rejection: &rejection, terminal: true})
	r.serveNext(client)
}

// dropPartial drops the part of a request that has been received.
func (r *Router) dropPartial(client *ClientConnection) {
	r.admission.SetUnfinishedBytes(client.ID, 0)
	client.partial = false
}

// RejectMessage answers input that is not a valid HTTP message. No more input is read, as the end of the message is
// unknown.
func (r *Router) RejectMessage(client *ClientConnection, err error) {
	status := http.StatusBadRequest
	var message *httpframing.MessageError
	if errors.As(err, &message) {
		status = message.Status
	}
	r.observer.Rejected(RejectMessage)
	r.rejectInput(client, r.protocol.InvalidRequestResponse(status, "bad_message", "", err.Error()))
}

// ReceiveRequest handles a complete request of a client.
func (r *Router) ReceiveRequest(client *ClientConnection, received *ClientRequest) {
	if client.disconnected || client.closing {
		return
	}
	r.dropPartial(client)
	r.admission.AddBytes(client.ID, received.Bytes)
	client.expectsContinue = false
	r.admission.Handle(client.ID, admission.RequestComplete, r.now)
	if client.serving {
		r.limitReadAhead(client, received)
	}
	client.waiting = append(client.waiting, received)
	r.serveNext(client)
}

// limitReadAhead bounds the memory of the requests that wait on connections. A request that will be shed keeps only what its
// answer needs. If waiting requests use their share of the buffered bytes, or too many wait on this connection, no more are read.
func (r *Router) limitReadAhead(client *ClientConnection, received *ClientRequest) {
	mayWait := r.admission.MayBufferWaiting()
	switch {
	case len(client.waiting) >= maxPipelined:
		r.shedAtTurn(client, received, shedPipelined)
	case !mayWait:
		r.shedAtTurn(client, received, shedCapacity)
	}
	if !mayWait || len(client.waiting)+1 >= maxReadAhead {
		client.Socket.StopReading()
		client.readingStopped = true
	}
}

// shedAtTurn marks a request to be shed when it is its turn to be answered, and frees the memory that only engines need.
func (r *Router) shedAtTurn(client *ClientConnection, received *ClientRequest, reason ShedReason) {
	received.shedReason = reason
	freed := received.discardPayload(r.protocol, r.config.RouteIndex, r.notReadyReason())
	r.admission.AddBytes(client.ID, -freed)
}

// ExpectContinue handles a request whose client waits for "100 Continue" before it sends the body. The interim response is
// sent once all earlier requests are answered, as it must not be sent in the middle of an answer.
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

// serveNext serves the waiting requests of a connection, one after the other.
func (r *Router) serveNext(client *ClientConnection) {
	for !client.serving && !client.disconnected && !client.closing && len(client.waiting) > 0 {
		received := client.waiting[0]
		client.waiting = client.waiting[1:]
		client.serving = true
		if received.Tenant == "" {
			received.Tenant = fmt.Sprintf("c%d", client.ID)
		}
		r.serve(client, received)
	}
	if !client.serving && !client.disconnected && len(client.waiting) == 0 {
		r.handleAllAnswered(client)
	}
}

// handleAllAnswered is called when all requests that were read on a connection are answered. The timeout of a request that
// was received in part in the meantime begins now.
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
	case received.Parsed != nil:
		r.admitRequest(client, received)
	default:
		r.reply(client, received, r.protocol.AuxiliaryResponse(received.Method, received.Path, r.notReadyReason()))
	}
}

// reply writes a complete answer and ends the request. If received is nil, the answer belongs to no request that was read
// completely, and the connection is closed after it.
func (r *Router) reply(client *ClientConnection, received *ClientRequest, answer protocol.Response) {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n",
		answer.Status, http.StatusText(answer.Status), answer.ContentType, len(answer.Body))
	for _, header := range answer.Headers {
		head = fmt.Appendf(head, "%s: %s\r\n", header.Name, header.Value)
	}
	keepAlive := received != nil && received.KeepAlive
	if !keepAlive {
		head = append(head, "Connection: close\r\n"...)
	}
	r.write(client, append(append(head, "\r\n"...), answer.Body...))
	r.finishReply(client, received, keepAlive)
}

// finishReply ends a request of a client and serves the next one.
func (r *Router) finishReply(client *ClientConnection, received *ClientRequest, keepAlive bool) {
	if received != nil {
		r.admission.AddBytes(client.ID, -received.Bytes)
	}
	client.serving, client.current = false, nil
	if !keepAlive || client.closing {
		// The client declared this request the last one, or no request after it can be read: later requests get no answer.
		client.waiting = nil
		r.closeAfterFlush(client)
		return
	}
	r.serveNext(client)
}

// abortResponse closes a connection whose answer was cut off, so that the client does not take a partial answer for a
// complete one.
func (r *Router) abortResponse(client *ClientConnection) {
	client.serving, client.current = false, nil
	client.aborted = true
	r.closeAfterFlush(client)
	r.closeIfFlushed(client)
}

// shedResponse returns the answer to a request or connection that is shed for lack of capacity.
func (r *Router) shedResponse(name string, reason ShedReason) protocol.Response {
	return r.protocol.ShedResponse(http.StatusServiceUnavailable, name, string(reason), r.config.MaxRetryAfter)
}
