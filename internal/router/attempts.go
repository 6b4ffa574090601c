package router

import (
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/indexheap"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// deadlineMargin is subtracted from the remaining time of a request to get the timeout that is sent to an engine. It covers
// the delay between reading the clock and writing the request, so that an engine is never given more time than remains. If
// little time remains, the margin is a quarter of it.
const deadlineMargin = 50 * time.Millisecond

// engineAttempt is one attempt to serve a request, or its prefill, at an engine.
type engineAttempt struct {
	request           *request
	index             int // position among the attempts of its request
	engine            string
	decode            bool // the attempt is a decode; false for a prefill
	startedAt         int64
	writtenAt         int64 // time at which the request was written; 0 if it was not written yet
	machine           attempt.Attempt
	connection        *EngineConnection
	responseHeads     int
	token             []byte             // the stream event that is being handled
	lastTokenAt       int64              // time at which the last token that the router forwarded was read
	stallCheckAt      int64              // time at which the stream is checked for a stall
	streamPosition    indexheap.Position // position among the watched streams
	relay             Relay              // relay of the attempt's stream; nil without a stream
	cachedTokens      float64
	reservationHandle protocol.ReservationHandle
	loadReport        *routing.LoadReport
	mayRunUntil       int64 // latest time at which the abandoned attempt may run, unless its engine ends it before; 0 if it is not abandoned
	verdict           routing.Verdict
	ended             bool
	staleConnection   bool // the engine had closed the connection before the request was written
	reason            AttemptReason
}

// ownsConnection reports whether the attempt's connection still carries the attempt.
func (a *engineAttempt) ownsConnection() bool {
	return a.connection != nil && a.connection.attempt == a
}

// startAttempt starts the attempt that the policy has decided on.
func (r *Router) startAttempt(action routing.Send) {
	req := r.requests.byID[action.RequestID]
	if req == nil {
		return
	}
	att := &engineAttempt{request: req, index: len(req.attempts), engine: action.Engine,
		decode: !r.isPrefill(action.Engine, req), startedAt: r.now}
	req.attempts = append(req.attempts, att)
	if req.client.Socket.Disconnected() {
		r.ClientDisconnected(req.client)
	}
	if reason := r.checkAttempt(att, nil); reason != invariant.Allowed {
		r.handleAttemptEvent(att, attempt.EngineUnavailable, AttemptReason(reason))
		return
	}
	if !r.dispatch(action.Engine, att, nil) {
		// The connection limit is the router's own, so the failure does not count against the engine.
		r.handleAttemptEvent(att, attempt.EngineUnavailable, reasonConnectionLimit)
	}
}

// checkAttempt returns why the invariants forbid an attempt, or Allowed. It is called with a nil conn when the attempt
// starts, and again with the attempt's connection before the request is written.
func (r *Router) checkAttempt(att *engineAttempt, conn *EngineConnection) invariant.Reason {
	req := att.request
	candidate := invariant.Attempt{
		Answered:        req.outcome != "",
		ClientGone:      req.client.disconnected,
		Deadline:        req.deadline,
		DrainNotifiedAt: r.endpoints.drains[att.engine],
		AddressChanged:  conn != nil && conn.Address != r.endpoints.target(att.engine).Address,
		Effect:          r.effect(req.route),
		DedupWindow:     r.config.Routes[req.route].DedupWindow,
	}
	for _, prior := range req.attempts {
		if prior != att {
			candidate.PriorAttempts = append(candidate.PriorAttempts, invariant.PriorAttempt{Decode: prior.decode, WrittenAt: prior.writtenAt,
				InFlight: !prior.ended, NeverRan: prior.ended && attempt.NeverRan(prior.verdict)})
		}
	}
	reason := invariant.MaySend(candidate, r.now, r.config.Rules.DrainGrace)
	if reason != invariant.Allowed {
		r.observer.AttemptBlocked(req.name, reason)
	}
	return reason
}

// encodeRequest encodes the request that a connection is to carry. A request is encoded when it is written, because the
// timeout that is sent to the engine must not include the time of the dial.
func (r *Router) encodeRequest(conn *EngineConnection) ([]byte, error) {
	target := r.endpoints.target(conn.Engine)
	if conn.control != nil {
		return r.encodeControlRequest(conn.control, target), nil
	}
	att := conn.attempt
	req, timeout := att.request, r.advertisedTimeout(att.request)
	if att.decode {
		return r.protocol.DecodeRequest(req.received.Parsed, req.name, target, req.reservationHandle, timeout)
	}
	return r.protocol.PrefillRequest(req.received.Parsed, req.name, target, att.index, timeout)
}

// advertisedTimeout returns the timeout that is sent to an engine.
func (r *Router) advertisedTimeout(req *request) time.Duration {
	left := time.Duration(req.deadline - r.now)
	return left - min(deadlineMargin, max(0, left/4))
}

// transition applies an event to the state machine of an attempt.
func (r *Router) transition(att *engineAttempt, event attempt.Event) attempt.Result {
	result := att.machine.Handle(event)
	r.requests.attemptTransitions |= 1 << result.Transition
	return result
}

// handleAttemptEvent applies an event to the state machine of an attempt and handles the result: it forwards a token, or
// ends the attempt and notifies the policy of the outcome.
func (r *Router) handleAttemptEvent(att *engineAttempt, event attempt.Event, reason AttemptReason) {
	if att.ended {
		return
	}
	r.detectRequestWritten(att, event)
	result := r.transition(att, event)
	if event == attempt.TokenReceived && att.machine.State == attempt.Streaming {
		r.forwardToken(att, result.FirstToken)
		return
	}
	if result.Final {
		r.endAttempt(att, event, result, reason)
	}
}

// detectRequestWritten checks whether the kernel has accepted the rest of a request since the last event. If so, an attempt
// that is cancelled or broken now may have run, although its state machine still assumes that part of the request was not
// sent.
func (r *Router) detectRequestWritten(att *engineAttempt, event attempt.Event) {
	if conn := att.connection; att.ownsConnection() && conn.socket != nil && att.machine.State == attempt.Writing {
		if event == attempt.Canceled {
			conn.socket.Close() // The socket is closed before the check, so that no bytes can be sent after it.
		}
		if conn.socket.RequestWritten() {
			r.transition(att, attempt.RequestWritten)
		}
	}
}

// endAttempt handles the end of an attempt: it releases the connection, records the reservation and notifies the policy.
func (r *Router) endAttempt(att *engineAttempt, event attempt.Event, result attempt.Result, reason AttemptReason) {
	req := att.request
	att.ended, att.verdict, att.reason = true, result.Verdict, reason
	r.streams.Remove(att)
	r.releaseConnection(att, event, result)
	r.reportAttempt(att)
	if result.Verdict == routing.PrefillDone {
		req.reservationHandle = att.reservationHandle
	}
	r.recordReservation(att, event, result)
	if result.ReservationMissing {
		// The decode engine could not fetch the reservation. The prefill engine may still hold it, and no attempt will claim it.
		r.releaseReservations(req)
	}
	r.finishAfterAttempt(att)
	r.notifyPolicy(routing.Outcome{RequestID: req.id, Attempt: att.index, Engine: att.engine, Verdict: result.Verdict,
		Latency: r.attemptLatency(att), RequestEnded: req.outcome != "", CachedTokens: att.cachedTokens,
		ReservationLost: result.ReservationMissing, Report: att.loadReport, StaleConnection: att.staleConnection})
	// A prefill that completes after its request has ended leaves a reservation that no attempt will claim.
	if req.outcome != "" {
		r.releaseReservations(req)
	}
	r.removeIfFinished(req)
}

// releaseConnection returns the connection of an attempt to the pool, closes it, or lets it drain the rest of the response.
func (r *Router) releaseConnection(att *engineAttempt, event attempt.Event, result attempt.Result) {
	if !att.ownsConnection() {
		return
	}
	conn := att.connection
	conn.attempt = nil
	switch {
	case result.Connection == attempt.MustClose:
		if !r.awaitEngineEnd(att, conn, event) {
			r.discardConnection(conn)
		}
	case event == attempt.EngineUnavailable:
		r.connections.Handle(conn.ID, connpool.Released, r.now)
	default:
		r.startResponseDrain(conn)
	}
}

// finishAfterAttempt answers a request whose decode has completed, or has broken after its first token.
func (r *Router) finishAfterAttempt(att *engineAttempt) {
	switch {
	case att.verdict == routing.Completed:
		r.finishRequest(att.request, OutcomeCompleted, "")
	case att.machine.FirstTokenReceived:
		r.finishRequest(att.request, OutcomeErrored, reasonStreamBroken+FailureReason(att.reason))
	}
}

// reportAttempt reports the end of an attempt to the monitor and the observer.
func (r *Router) reportAttempt(att *engineAttempt) {
	r.monitor.AttemptEnded(att.request.id, att.index, attempt.NeverRan(att.verdict))
	summary := AttemptSummary{Request: att.request.name, Engine: att.engine, Index: att.index, Decode: att.decode,
		Verdict: verdicts[att.verdict], Reason: att.reason, Duration: time.Duration(r.now - att.startedAt)}
	if att.writtenAt > 0 {
		summary.Connecting = time.Duration(att.writtenAt - att.startedAt)
	}
	r.observer.AttemptEnded(summary)
}

// forwardToken forwards a token to the client, and notifies the policy of the first one.
func (r *Router) forwardToken(att *engineAttempt, first bool) {
	req := att.request
	if first {
		r.watchStream(att)
		r.handleFirstToken(att)
	}
	req.tokens++
	if req.forwardsTokens() {
		r.write(req.client, r.protocol.StreamEvent(att.token))
	}
	att.token = nil
}

func (r *Router) handleFirstToken(att *engineAttempt) {
	req := att.request
	req.streaming, req.firstTokenAt = true, r.now
	r.monitor.AnswerStarted(req.id)
	r.updateReservations(req, reservation.Consumed)
	if req.forwardsTokens() {
		r.write(req.client, r.protocol.StreamHead(req.name))
	}
	r.observer.FirstToken(r.config.Routes[req.route].Name, time.Duration(r.now-req.arrivedAt), req.received.Parsed.PromptTokens)
	r.notifyPolicy(routing.FirstToken{RequestID: req.id, Attempt: att.index, Engine: att.engine,
		Latency: r.attemptLatency(att)})
}

// attemptLatency returns the time from the start of an attempt to the current event, without the time that the event waited
// in this router.
func (r *Router) attemptLatency(att *engineAttempt) time.Duration {
	return time.Duration(max(0, r.eventTime()-att.startedAt))
}
