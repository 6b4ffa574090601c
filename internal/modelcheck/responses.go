package modelcheck

import (
	"fmt"
	"net/http"
	"strings"

	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
)

// tokenEvent is a stream event that carries a token.
var tokenEvent = []byte(`{"choices":[]}`)

// responseHead returns the head of an engine's response. Rejected is the reason for a rejection, or empty.
func responseHead(status int, contentType, rejected string) *http.Response {
	h := http.Header{"Content-Type": {contentType}}
	if rejected != "" {
		h.Set(engineapi.HeaderRejected, rejected)
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

func okHead() *http.Response     { return responseHead(http.StatusOK, "application/json", "") }
func streamHead() *http.Response { return responseHead(http.StatusOK, "text/event-stream", "") }

// addResponse adds one possible reaction of an engine or the network to a request.
func addResponse(list *eventList, r *engineRequest, action Action, fault FaultKind, apply func()) {
	engine := r.connection.engineConnection.Engine
	list.add(Event{Name: r.describe() + " at " + engine + " " + actionDescriptions[action], Action: action, Engine: engine, Request: r.kind,
		fault: fault, apply: apply})
}

// addResponses adds the possible reactions of an engine or the network to a request.
func (s *simulation) addResponses(list *eventList, r *engineRequest) {
	switch {
	case !r.isAttempt():
		addResponse(list, r, AnswerControlRequest, noFault, func() {
			s.reservations.release(r)
			s.handle(func() { s.respond(r, okHead(), nil) })
		})
		addResponse(list, r, LoseConnection, FaultReset, func() { s.resetConnection(r.connection) })
	case r.kind == PrefillRequest:
		s.addPrefillResponses(list, r)
	case !r.firstTokenSent:
		s.addFirstTokenResponses(list, r)
	default:
		s.addStreamResponses(list, r)
	}
	if r.isAttempt() {
		s.addFailures(list, r)
	}
	addResponse(list, r, BecomeUnresponsive, FaultUnresponsive, func() { r.unresponsive = true })
}

// addFailures adds the failures that are possible for every attempt.
func (s *simulation) addFailures(list *eventList, r *engineRequest) {
	if !r.firstTokenSent {
		addResponse(list, r, RejectFull, FaultNoCapacity, func() {
			s.handle(func() { s.reject(r, http.StatusTooManyRequests, engineapi.RejectedFull) })
		})
		addResponse(list, r, FailWithoutReason, FaultError, func() {
			s.recordPossibleEffect(r)
			s.handle(func() { s.reject(r, http.StatusServiceUnavailable, "") })
		})
	}
	addResponse(list, r, LoseConnection, FaultReset, func() {
		s.recordPossibleEffect(r)
		s.resetConnection(r.connection)
	})
}

// recordPossibleEffect records the possible effect of a failed attempt: a run of a decode, a reservation of a prefill.
func (s *simulation) recordPossibleEffect(r *engineRequest) {
	if r.kind == DecodeRequest {
		s.recordPossibleRun(r)
	} else {
		s.reservations.add(r, s.now)
	}
}

func (s *simulation) addPrefillResponses(list *eventList, r *engineRequest) {
	c := r.connection
	addResponse(list, r, CompletePrefill, noFault, func() {
		s.reservations.add(r, s.now)
		s.handle(func() { s.respondPrefill(r, prefillResponse(c.engineConnection.Engine, r.requestID)) })
	})
	addResponse(list, r, TruncatePrefill, FaultTruncated, func() {
		s.reservations.add(r, s.now)
		s.handle(func() { s.core.ResponseHead(c.engineConnection, okHead(), nil) })
		s.resetConnection(c)
	})
	addResponse(list, r, OmitReservation, FaultGarbled, func() {
		s.reservations.add(r, s.now)
		s.handle(func() { s.respondPrefill(r, []byte("{}")) })
	})
}

func (s *simulation) addFirstTokenResponses(list *eventList, r *engineRequest) {
	c := r.connection
	addResponse(list, r, SendFirstToken, noFault, func() {
		s.recordPossibleRun(r)
		s.reservations.removeNewest(r.requestID)
		r.firstTokenSent = true
		s.handle(func() {
			s.core.ResponseHead(c.engineConnection, streamHead(), nil)
			s.core.StreamEvent(c.engineConnection, tokenEvent)
		})
	})
	addResponse(list, r, RejectNoReservation, FaultNoReservation, func() {
		s.reservations.removeNewest(r.requestID)
		s.handle(func() { s.reject(r, http.StatusConflict, engineapi.RejectedNoReservation) })
	})
	addResponse(list, r, RepeatResponseHead, FaultGarbled, func() {
		s.recordPossibleRun(r)
		s.handle(func() {
			s.core.ResponseHead(c.engineConnection, streamHead(), nil)
			s.core.ResponseHead(c.engineConnection, streamHead(), nil)
		})
	})
}

func (s *simulation) addStreamResponses(list *eventList, r *engineRequest) {
	c := r.connection
	addResponse(list, r, CompleteStream, noFault, func() {
		c.request, c.hasUnreadBytes = nil, true
		if client := s.clientOf(r.requestID); client != nil {
			client.decodeFinished = true
		}
		s.reservations.restartIdleTime(r.requestID, s.now)
		s.handle(func() { s.core.StreamEvent(c.engineConnection, []byte(chat.Done)) })
	})
	if !r.secondTokenSent {
		addResponse(list, r, SendAnotherToken, noFault, func() {
			r.secondTokenSent = true
			s.handle(func() { s.core.StreamEvent(c.engineConnection, tokenEvent) })
		})
	}
	addResponse(list, r, EndStreamEarly, FaultTruncated, func() {
		c.request = nil
		s.reservations.restartIdleTime(r.requestID, s.now)
		s.handle(func() { s.core.ResponseComplete(c.engineConnection, nil, true) })
	})
}

// respond passes a complete response to the router, which reads it at once.
func (s *simulation) respond(r *engineRequest, head *http.Response, body []byte) {
	c := r.connection
	c.request = nil
	s.reservations.restartIdleTime(r.requestID, s.now)
	s.core.ResponseHead(c.engineConnection, head, nil)
	if !c.closed {
		s.core.ResponseComplete(c.engineConnection, body, true)
	}
}

// reject passes a complete response with a failure status to the router.
func (s *simulation) reject(r *engineRequest, status int, rejected string) {
	s.respond(r, responseHead(status, "application/json", rejected), nil)
}

// respondPrefill passes the response to a prefill. The router receives its head while the request is still in flight.
func (s *simulation) respondPrefill(r *engineRequest, body []byte) {
	c := r.connection
	s.core.ResponseHead(c.engineConnection, okHead(), nil)
	c.request = nil
	s.reservations.restartIdleTime(r.requestID, s.now)
	s.core.ResponseComplete(c.engineConnection, body, true)
}

// prefillResponse returns the body of a prefill response that names a reservation.
func prefillResponse(engine, reservation string) []byte {
	host, port, _ := strings.Cut(engine, ":")
	return fmt.Appendf(nil, `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`,
		reservation, host, port)
}
