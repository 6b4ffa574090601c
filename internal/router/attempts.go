package router

import (
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// engineAttempt is one send of an inference.
type engineAttempt struct {
	request       *request
	index         int
	engine        string
	decode        bool
	startedAt     int64
	writtenAt     int64 // when its request was written; 0 while it is not
	machine       attempt.Attempt
	connection    *EngineConnection
	responseHeads int
	token         []byte
	lastTokenAt   int64
	relay         Relay // of its stream, if it has one
	cachedTokens  float64
	transfer      protocol.ReservationHandle
	loadReport    *routing.LoadReport
	verdict       routing.Verdict
	ended         bool
	stale         bool // its line had been given up by the other side before it was written to
	reason        string
}

func (r *Router) startAttempt(action routing.Send) {
	req := r.requests[action.RequestID]
	if req == nil {
		return
	}
	att := &engineAttempt{request: req, index: len(req.attempts), engine: action.Engine, decode: !r.isPrefill(action.Engine, req), startedAt: r.now}
	req.attempts = append(req.attempts, att)
	if req.client.Socket.Disconnected() {
		r.ClientDisconnected(req.client)
	}
	if reason := r.checkAttempt(att, nil); reason != invariant.Allowed {
		r.handleAttemptEvent(att, attempt.EngineUnavailable, string(reason))
		return
	}
	maxIdle := r.config.Connections.IdleTimeout
	if att.decode && r.config.Routes[req.route].Effect != "retriable" {
		maxIdle = r.config.Connections.NonIdempotentIdleTimeout
	}
	if !r.dispatch(action.Engine, att, nil, maxIdle) {
		// The node's own bound says nothing of the engine.
		r.handleAttemptEvent(att, attempt.EngineUnavailable, "no line to it may be opened")
	}
}

// checkAttempt asks the gate of attempts, on a connection or before there is one.
func (r *Router) checkAttempt(att *engineAttempt, conn *EngineConnection) invariant.Reason {
	req := att.request
	candidate := invariant.Attempt{Answered: req.outcome != "", ClientGone: req.client.disconnected, Deadline: req.deadline, DrainNotifiedAt: r.drains[att.engine],
		AddressChanged: conn != nil && conn.Host != r.engineAddress(att.engine).Address, Effect: req.effect(r.config),
		DedupWindow: r.config.Routes[req.route].DedupWindow}
	for _, before := range req.attempts {
		if before != att {
			candidate.PriorAttempts = append(candidate.PriorAttempts, invariant.PriorAttempt{Decode: before.decode, WrittenAt: before.writtenAt, InFlight: !before.ended,
				NeverRan: before.ended && attempt.NeverRan(before.verdict)})
		}
	}
	reason := invariant.MaySend(candidate, r.now, r.config.Rules.DrainGrace)
	if reason != invariant.Allowed {
		r.observer.AttemptBlocked(req.name, reason)
	}
	return reason
}

// encodeRequest is what a line is to carry. It is made as it is written: what it says of the client's time must not
// count the time that the line took to come up.
func (r *Router) encodeRequest(conn *EngineConnection) ([]byte, error) {
	to := r.engineAddress(conn.Engine)
	if control := conn.control; control != nil {
		if control.reservation != nil {
			return r.protocol.ReleaseRequest(to, control.reservation.ID.Request, control.reservation.ID.Attempt), nil
		}
		return r.protocol.HealthCheckRequest(to), nil
	}
	att := conn.attempt
	req, left := att.request, r.advertisedTimeout(att.request)
	if att.decode {
		return r.protocol.DecodeRequest(req.received.Call, req.name, to, req.transfer, left)
	}
	return r.protocol.PrefillRequest(req.received.Call, req.name, to, att.index, left)
}

// deadlineMargin is by how much less time an engine is told than is left, so that a node which is held up between its look at
// the clock and the write does not tell too much. A request with very little time gives a quarter of it.
const deadlineMargin = 50 * time.Millisecond

// advertisedTimeout is the time that an engine is told.
func (r *Router) advertisedTimeout(req *request) time.Duration {
	left := time.Duration(req.deadline - r.now)
	return left - min(deadlineMargin, max(0, left/4))
}

// handleAttemptEvent is where all socket events of a send end up: its machine judges them, and the outcome, if there is
// one, goes to the module.
func (r *Router) handleAttemptEvent(att *engineAttempt, event attempt.Event, reason string) {
	if att.ended {
		return
	}
	req := att.request
	// The kernel may have taken the rest of a request since the last event; a send that is withdrawn or breaks
	// then may have run, though its machine still thinks that a part of it is here.
	if conn := att.connection; conn != nil && conn.attempt == att && conn.socket != nil && att.machine.State == attempt.Writing {
		if event == attempt.Canceled {
			conn.socket.Close() // before the look: nothing more can leave behind it
		}
		if conn.socket.RequestWritten() {
			r.firedTransitions |= 1 << att.machine.Handle(attempt.RequestWritten).Transition
		}
	}
	result := att.machine.Handle(event)
	r.firedTransitions |= 1 << result.Transition
	if event == attempt.TokenReceived && att.machine.State == attempt.Streaming {
		r.forwardToken(att, result.FirstToken)
		return
	}
	if !result.Final {
		return
	}
	att.ended, att.verdict, att.reason = true, result.Verdict, reason
	if conn := att.connection; conn != nil && conn.attempt == att {
		conn.attempt = nil
		switch {
		case result.Connection == attempt.MustClose:
			r.discardConnection(conn)
		case event == attempt.EngineUnavailable:
			r.pool.Handle(conn.ID, connpool.Released, r.now)
		default:
			conn.drainingSince = r.now
		}
	}
	r.reportAttempt(att)
	if result.Verdict == routing.PrefillDone {
		req.transfer = att.transfer
	}
	r.recordReservation(att, event, result)
	if result.ReservationMissing {
		// The writer could not fetch it. Its reader may still hold it, unheard, and nobody will ask for it again.
		r.releaseReservations(req)
	}
	if att.machine.FirstTokenReceived {
		if result.Verdict == routing.Completed {
			r.finishRequest(req, outcomeCompleted, "")
		} else {
			r.finishRequest(req, outcomeErrored, "the stream broke: "+reason)
		}
	} else if result.Verdict == routing.Completed {
		r.finishRequest(req, outcomeCompleted, "") // an answer without a token
	}
	r.notifyPolicy(routing.Outcome{RequestID: req.id, Attempt: att.index, Engine: att.engine, Verdict: result.Verdict, Latency: r.now - att.startedAt,
		RequestEnded: req.outcome != "", CachedTokens: att.cachedTokens,
		ReservationLost: result.ReservationMissing, Report: att.loadReport, StaleConnection: att.stale})
	// What came after the end is let go of here too: a read whose inference nobody waits for.
	if req.outcome != "" {
		r.releaseReservations(req)
	}
	r.forgetRequest(req)
}

// reportAttempt tells the monitor and the logs of an attempt's outcome.
func (r *Router) reportAttempt(att *engineAttempt) {
	r.monitor.AttemptEnded(att.request.id, att.index, attempt.NeverRan(att.verdict))
	summary := AttemptSummary{Request: att.request.name, Engine: att.engine, Index: att.index, Decode: att.decode, Verdict: verdictNames[att.verdict], Reason: att.reason,
		Duration: time.Duration(r.now - att.startedAt)}
	if att.writtenAt > 0 {
		summary.Connecting = time.Duration(att.writtenAt - att.startedAt)
	}
	r.observer.AttemptEnded(summary)
}

// forwardToken passes one on, and tells the module of the first.
func (r *Router) forwardToken(att *engineAttempt, first bool) {
	req := att.request
	if first {
		req.streaming, req.firstTokenAt = true, r.now
		r.monitor.AnswerStarted(req.id)
		r.updateReservations(req, reservation.Consumed)
		if req.collector == nil && req.outcome == "" {
			r.write(req.client, r.protocol.StreamHead(req.name))
		}
		r.observer.FirstToken(r.config.Routes[req.route].Name, time.Duration(r.now-req.arrivedAt), req.received.Call.PromptTokens)
		r.notifyPolicy(routing.FirstToken{RequestID: req.id, Attempt: att.index, Engine: att.engine, Latency: r.now - att.startedAt})
	}
	req.tokens++
	if req.collector == nil && req.outcome == "" {
		r.write(req.client, r.protocol.StreamEvent(att.token))
	}
	att.token = nil
}
