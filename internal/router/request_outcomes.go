package router

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// endRequest sets the outcome of a request, and reports whether the request was still open. A second call has no effect. No
// token is forwarded after the outcome is set.
func (r *Router) endRequest(req *request, outcome RequestOutcome, reason FailureReason) bool {
	if req.outcome != "" {
		return false
	}
	req.outcome = outcome
	for _, att := range req.attempts {
		if att.relay != nil {
			att.relay.Close()
		}
	}
	if outcome != OutcomeAbandoned {
		r.monitor.RequestAnswered(req.id, r.now)
	}
	r.requests.justFinished = append(r.requests.justFinished, req)
	r.admission.Release(req.client.ID, req.received.Tenant)
	r.reportRequest(req, reason)
	return true
}

// finishRequest answers a request that has completed or failed.
func (r *Router) finishRequest(req *request, outcome RequestOutcome, reason FailureReason) {
	client := req.client
	if !r.endRequest(req, outcome, reason) || client.disconnected {
		return
	}
	switch {
	case outcome == OutcomeCompleted && req.collector != nil:
		r.reply(client, req.received, r.protocol.CompleteResponse(req.received.Parsed, req.name, req.collector))
	case req.streaming && req.collector == nil, outcome == OutcomeCompleted:
		if !req.streaming { // The answer has no tokens.
			r.write(client, r.protocol.StreamHead(req.name))
		}
		last, keepAlive := r.protocol.StreamEnd(outcome == OutcomeCompleted, string(reason))
		r.write(client, last)
		if !keepAlive {
			r.abortResponse(client)
			return
		}
		r.finishReply(client, req.received, req.received.KeepAlive)
	default:
		r.reply(client, req.received, r.protocol.ErrorResponse(req.name, string(reason), r.deadlinePassed(req)))
	}
}

// failRequest answers a request that the policy has failed.
func (r *Router) failRequest(req *request) {
	reason := reasonNoAnswer
	if r.deadlinePassed(req) {
		reason = reasonDeadlineExceeded
	}
	r.finishRequest(req, OutcomeErrored, reason)
}

// shedRequest answers a request that the policy sheds.
func (r *Router) shedRequest(req *request, retryAfter int64) {
	if req.streaming { // the policy never sheds a stream; a shed answer would imply that a retry is safe
		r.finishRequest(req, OutcomeErrored, reasonStreamShed)
		return
	}
	if client := req.client; r.endRequest(req, OutcomeShed, "") && !client.disconnected {
		r.reply(client, req.received, r.protocol.ShedResponse(http.StatusServiceUnavailable, req.name, string(shedDeadline),
			time.Duration(retryAfter)))
	}
}

// cancelRequest ends a request whose client no longer waits for it, and cancels its attempts.
func (r *Router) cancelRequest(req *request) {
	r.endRequest(req, OutcomeAbandoned, "")
	r.notifyPolicy(routing.ClientDisconnected{RequestID: req.id})
	for _, att := range req.attempts {
		if !att.ended { // the policy does not cancel streams itself
			r.handleAttemptEvent(att, attempt.Canceled, reasonClientDisconnected)
		}
	}
	r.releaseReservations(req)
	if !req.wasWritten() {
		r.requests.recentNames.remove(req.name)
	}
	r.removeIfFinished(req)
}

// abortRequest answers a request with an error and cancels its attempts.
func (r *Router) abortRequest(req *request, reason FailureReason) {
	r.finishRequest(req, OutcomeErrored, reason)
	r.cancelRequest(req)
}

// reportRequest reports the outcome of a request to the observer.
func (r *Router) reportRequest(req *request, reason FailureReason) {
	parsed := req.received.Parsed
	summary := RequestSummary{Request: req.name, Route: r.config.Routes[req.route].Name, Session: parsed.Session, Outcome: req.outcome,
		Duration: time.Duration(r.now - req.arrivedAt), PromptTokens: parsed.PromptTokens, OutputTokens: req.tokens, Reason: reason, Cause: req.cause}
	if req.streaming {
		summary.TimeToFirstToken = time.Duration(req.firstTokenAt - req.arrivedAt)
	}
	for _, att := range req.attempts {
		verdict := "out"
		if att.ended {
			verdict = string(verdicts[att.verdict])
		}
		summary.Attempts = append(summary.Attempts, att.engine+" "+verdict)
		if att.relay != nil {
			summary.OutputTokens += att.relay.Tokens()
		}
	}
	r.observer.RequestFinished(summary)
}
