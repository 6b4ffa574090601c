package router

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// request is one call of a client from its arrival until its final answer is out and none of its sends is.
type request struct {
	id             int64
	name           string
	client         *ClientConnection
	received       *ClientRequest
	route          int
	arrivedAt      int64
	deadline       int64
	attempts       []*engineAttempt
	transfer       protocol.ReservationHandle
	collector      protocol.Collector // where the client wants one answer
	streaming      bool
	firstTokenAt   int64
	abandonedUntil int64  // until when an attempt that was given up may still act at its engine; 0 where none was
	tokens         int    // passed on by the core; relays count theirs
	outcome        string // completed, shed, errored or left; empty while none is given
}

// The final answers, and leaving without one.
const (
	outcomeCompleted = "completed"
	outcomeShed      = "shed"
	outcomeErrored   = "errored"
	outcomeAbandoned = "left"
)

// admitRequest takes a call, or refuses it before the module hears of it.
func (r *Router) admitRequest(client *ClientConnection, received *ClientRequest) {
	cfg := r.config
	route := cfg.Route(received.Call.Route)
	if route < 0 {
		r.reply(client, received, r.protocol.InvalidRequestResponse(http.StatusNotFound, "model_not_found", "model",
			fmt.Sprintf("there is no model route %q", received.Call.Route)))
		return
	}
	if !received.Request.ProtoAtLeast(1, 1) {
		r.reply(client, received, r.protocol.InvalidRequestResponse(http.StatusHTTPVersionNotSupported, "bad_protocol", "",
			"calls are taken over HTTP/1.1"))
		return
	}
	switch reason := invariant.MayAccept(invariant.Arrival{DuplicateID: r.nameKnown(received.Call.ID), Accepting: r.acceptsRequests()}); reason {
	case invariant.Allowed:
		if received.Call.ID != "" {
			r.requestNames.add(received.Call.ID)
		}
	case invariant.DuplicateRequestID:
		r.observer.Rejected("name known")
		r.reply(client, received, r.protocol.InvalidRequestResponse(http.StatusConflict, "known", "", string(reason)))
		return
	default:
		r.shedOnArrival(client, received, http.StatusServiceUnavailable, string(reason), 0)
		return
	}
	if received.excess {
		r.observer.Rejected("pipelined")
		r.shedOnArrival(client, received, http.StatusServiceUnavailable, "too many requests wait on this connection", cfg.MaxRetryAfter)
		return
	}
	if !r.clientRetries.Allow(r.now, received.Call.Retried) {
		r.shedOnArrival(client, received, http.StatusServiceUnavailable, "more calls are repeated than this node takes", cfg.MaxRetryAfter)
		return
	}
	switch r.admission.Admit(client.ID, received.Caller) {
	case admission.QuotaExceeded:
		r.shedOnArrival(client, received, http.StatusTooManyRequests, "you have your share of this node open already", cfg.MaxRetryAfter)
		return
	case admission.CapacityExceeded, admission.BufferFull:
		r.shedOnArrival(client, received, http.StatusServiceUnavailable, "this node holds all that it may", cfg.MaxRetryAfter)
		return
	}
	r.lastRequestID++
	req := &request{id: r.lastRequestID, name: cmp.Or(received.Call.ID, fmt.Sprintf("%s-%x-%d", cfg.NodeName, r.incarnation, r.lastRequestID)),
		client: client, received: received, route: route, arrivedAt: r.now}
	timeout := cfg.Routes[route].Timeout
	if received.Call.FirstTokenTimeout > 0 {
		timeout = min(timeout, received.Call.FirstTokenTimeout)
	}
	req.deadline = r.arrivalTime() + int64(timeout)
	req.collector = r.protocol.NewCollector(received.Call)
	client.current = req
	r.requests[req.id], r.requestsByName[req.name] = req, req
	r.monitor.RequestAccepted(req.id, invariant.AcceptedRequest{Name: req.name, Effect: req.effect(cfg),
		DedupWindow: cfg.Routes[route].DedupWindow, Deadline: req.deadline})
	session := received.Call.Session
	if session == "" {
		session = req.name // one of its own: the module must not take strangers for one session
	}
	r.notifyPolicy(routing.RequestArrived{RequestID: req.id, Route: route, Session: session, Prefix: received.Call.Prefix,
		Deadline: req.deadline, PromptTokens: float64(received.Call.PromptTokens), PrefixTokens: float64(received.Call.PrefixTokens),
		MaxOutputTokens: float64(received.Call.MaxOutputTokens), ClientRetry: received.Call.Idempotent, Resumed: received.Call.Resumes})
	r.forgetRequest(req)
}

// nameKnown is whether a request has this name already: an open one, or one of the last few thousand.
func (r *Router) nameKnown(name string) bool {
	return r.requestsByName[name] != nil || r.requestNames.contains(name)
}

// effect is what a second run of an inference would do.
func (req *request) effect(d *config.Deployment) invariant.Effect {
	return invariant.ParseEffect(d.Routes[req.route].Effect)
}

// delayThreshold is for how long the owner may not have looked before a request counts from then. Below it the time between
// two looks is that of a node with little to do.
const delayThreshold = 4 * reapInterval

// arrivalTime is when the time of a request begins that is handed over now: where the process was not run for a while, the
// request may have waited all that time.
func (r *Router) arrivalTime() int64 {
	if since := r.earliestEventTime(); r.now-since > delayThreshold {
		return since
	}
	return r.now
}

// shedOnArrival refuses a call that was never an inference. One that asks for the rest of a stream has run before, under
// another name, so where it may not run twice a refusal, which says that a further try is harmless, would be untrue.
func (r *Router) shedOnArrival(client *ClientConnection, received *ClientRequest, status int, reason string, retryAfter time.Duration) {
	r.observer.RequestShed(ShedRequest{Request: received.Call.ID, Route: received.Call.Route, Reason: reason, PromptTokens: received.Call.PromptTokens})
	if received.Call.Resumes && r.config.Routes[r.config.Route(received.Call.Route)].Effect != "retriable" {
		r.reply(client, received, r.protocol.ErrorResponse("", reason, false))
		return
	}
	r.reply(client, received, r.protocol.ShedResponse(status, "", reason, retryAfter))
}

// endRequest is the one gate of how an inference ends: the first call counts, and no token passes after it.
func (r *Router) endRequest(req *request, outcome, reason string) bool {
	if req.outcome != "" {
		return false
	}
	req.outcome = outcome
	for _, att := range req.attempts {
		if att.relay != nil {
			att.relay.Close()
		}
	}
	if outcome != outcomeAbandoned {
		r.monitor.RequestAnswered(req.id, r.now)
	}
	r.justFinished = append(r.justFinished, req)
	r.admission.Release(req.client.ID, req.received.Caller)
	r.reportRequest(req, reason)
	return true
}

// deadlinePassed is whether an inference's client is about to give up, or has.
func (r *Router) deadlinePassed(req *request) bool {
	return r.now >= req.deadline-4*int64(r.config.TickInterval)
}

// finishRequest gives the final answer, other than shed, of an inference that the module has taken.
func (r *Router) finishRequest(req *request, outcome, reason string) {
	client := req.client
	if !r.endRequest(req, outcome, reason) || client.disconnected {
		return
	}
	switch {
	case outcome == outcomeCompleted && req.collector != nil:
		r.reply(client, req.received, r.protocol.CompleteResponse(req.received.Call, req.name, req.collector))
	case req.streaming && req.collector == nil, outcome == outcomeCompleted:
		if !req.streaming { // an answer without a token
			r.write(client, r.protocol.StreamHead(req.name))
		}
		last, keep := r.protocol.StreamEnd(outcome == outcomeCompleted, reason)
		r.write(client, last)
		if !keep {
			r.abortResponse(client)
			return
		}
		r.finishReply(client, req.received, !req.received.Request.Close)
	default:
		r.reply(client, req.received, r.protocol.ErrorResponse(req.name, reason, r.deadlinePassed(req)))
	}
}

func (r *Router) shedRequest(req *request, retryAfter int64) {
	if req.streaming { // the module never sheds a stream; if it did, a refusal could not be said any more
		r.finishRequest(req, outcomeErrored, "the stream was given up")
		return
	}
	if client := req.client; r.endRequest(req, outcomeShed, "") && !client.disconnected {
		r.reply(client, req.received, r.protocol.ShedResponse(http.StatusServiceUnavailable, req.name, "it would not be answered in time",
			time.Duration(retryAfter)))
	}
}

// cancelRequest ends an inference that nobody waits for.
func (r *Router) cancelRequest(req *request) {
	r.endRequest(req, outcomeAbandoned, "")
	r.notifyPolicy(routing.ClientDisconnected{RequestID: req.id})
	for _, att := range req.attempts {
		if !att.ended { // the module does not withdraw streams; one that nobody reads ends by its connection
			r.handleAttemptEvent(att, attempt.Canceled, "its client left")
		}
	}
	r.releaseReservations(req)
	if !slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool { return att.writtenAt > 0 }) {
		r.requestNames.remove(req.name)
	}
	r.forgetRequest(req)
}

// forgetRequest drops an inference that has its final answer and nothing out.
func (r *Router) forgetRequest(req *request) {
	if req.outcome == "" {
		return
	}
	for _, att := range req.attempts {
		if !att.ended {
			return
		}
	}
	delete(r.requests, req.id)
	delete(r.requestsByName, req.name)
	r.monitor.Forget(req.id)
}

func (r *Router) reportRequest(req *request, reason string) {
	summary := RequestSummary{Request: req.name, Route: r.config.Routes[req.route].Name, Session: req.received.Call.Session, Outcome: req.outcome,
		Duration: time.Duration(r.now - req.arrivedAt), PromptTokens: req.received.Call.PromptTokens, Reason: reason}
	if req.streaming {
		summary.TimeToFirstToken = time.Duration(req.firstTokenAt - req.arrivedAt)
	}
	summary.OutputTokens = req.tokens
	for _, att := range req.attempts {
		verdict := "out"
		if att.ended {
			verdict = verdictNames[att.verdict]
		}
		summary.Attempts = append(summary.Attempts, att.engine+" "+verdict)
		if att.relay != nil {
			summary.OutputTokens += att.relay.Tokens()
		}
	}
	r.observer.RequestFinished(summary)
}

var verdictNames = map[routing.Verdict]string{routing.Completed: "completed", routing.EngineError: "engine error",
	routing.Full: "full", routing.TimedOut: "timed out", routing.NotConnected: "not connected",
	routing.ConnectionLost: "connection lost", routing.Canceled: "withdrawn", routing.NotSent: "not sent",
	routing.PrefillDone: "read"}
