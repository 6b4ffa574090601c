package router

import (
	"net/http"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
)

// ResponseHead handles the head of an engine's response. The relay is that of the response's stream, or nil.
func (r *Router) ResponseHead(conn *EngineConnection, head *http.Response, relay Relay) {
	conn.streamed = conn.attempt != nil && conn.attempt.decode
	r.endpoints.responders.record(conn.Engine)
	switch {
	case conn.attempt != nil:
		att := conn.attempt
		att.responseHeads++
		if att.responseHeads > 1 {
			r.handleAttemptEvent(att, attempt.MalformedResponse, reasonSecondHead)
			return
		}
		att.loadReport, att.relay = r.protocol.ParseLoadReport(head, nil), relay
		r.handleAttemptEvent(att, r.protocol.ClassifyResponse(head, att.decode), AttemptReason(head.Status))
	case conn.control != nil:
		conn.control.head = head
	case conn.drainingResponseSince == 0 && conn.abandoned == nil:
		r.discardConnection(conn)
	}
}

// StreamEvent handles one event of a stream.
func (r *Router) StreamEvent(conn *EngineConnection, event []byte) {
	att := conn.attempt
	if att == nil {
		return
	}
	if r.protocol.IsFinalEvent(event) {
		r.handleAttemptEvent(att, attempt.DecodeCompleted, "")
		return
	}
	req := att.request
	if req.collector != nil {
		if err := req.collector.Add(event); err != nil {
			r.handleAttemptEvent(att, attempt.MalformedResponse, AttemptReason(err.Error()))
			return
		}
	}
	att.lastTokenAt = r.eventTime()
	att.token = event
	r.handleAttemptEvent(att, attempt.TokenReceived, "")
	if att.relay != nil && req.forwardsTokens() && att.machine.State == attempt.Streaming {
		client := req.client
		att.relay.Forwarded(client.Socket, func() { r.flush(client) })
	}
}

// StreamComment handles a comment in a stream, which may contain the engine's load report.
func (r *Router) StreamComment(conn *EngineConnection, text []byte) {
	if report := r.protocol.ParseLoadComment(text); report != nil && conn.attempt != nil {
		conn.attempt.loadReport = report
	}
}

// ResponseComplete handles the end of a response. The connection is not reusable if more bytes followed the response, or if
// the engine closes the connection after it.
func (r *Router) ResponseComplete(conn *EngineConnection, body []byte, reusable bool) {
	if att := conn.attempt; att != nil {
		r.handleAttemptResponse(att, body)
	}
	if control := conn.control; control != nil {
		conn.control = nil
		r.startResponseDrain(conn)
		r.finishControlRequest(control, control.head, body)
	}
	if r.connections.byID[conn.ID] != conn || conn.socket == nil {
		return
	}
	if conn.abandoned != nil {
		return // The response may be a late second one to an earlier request, so only the end of the connection counts.
	}
	conn.drainingResponseSince = 0
	if !reusable {
		r.discardConnection(conn)
		return
	}
	event := connpool.Released
	if conn.streamed {
		event = connpool.ReleasedAfterStream
	}
	if r.connections.Handle(conn.ID, event, r.now) == connpool.Close {
		r.closeConnection(conn.ID)
	}
}

func (r *Router) handleAttemptResponse(att *engineAttempt, body []byte) {
	if att.decode {
		event, reason := r.protocol.ClassifyStreamEnd(att.machine.FirstTokenReceived)
		r.handleAttemptEvent(att, event, AttemptReason(reason))
		return
	}
	handle, cachedTokens, err := r.protocol.ParseReservation(body)
	if err != nil {
		r.handleAttemptEvent(att, attempt.MalformedResponse, AttemptReason(err.Error()))
		return
	}
	att.cachedTokens, att.reservationHandle = float64(cachedTokens), handle
	r.handleAttemptEvent(att, attempt.PrefillCompleted, "")
}

// ResponseInvalid handles bytes that are not a valid response.
func (r *Router) ResponseInvalid(conn *EngineConnection, err error) {
	if conn.attempt != nil {
		r.handleAttemptEvent(conn.attempt, attempt.MalformedResponse, AttemptReason(err.Error()))
	}
	r.discardConnection(conn)
}
