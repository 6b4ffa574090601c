package router

import (
	"cmp"
	"fmt"
	"net/http"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// admitRequest passes a request to the policy, or answers the request itself if it is invalid, forbidden or over a limit.
func (r *Router) admitRequest(client *ClientConnection, received *ClientRequest) {
	route := r.config.RouteIndex(received.Parsed.Route)
	if !r.validateRequest(client, received, route) || !r.checkAcceptance(client, received) || !r.acquireCapacity(client, received) {
		return
	}
	req := r.newRequest(client, received, route)
	client.current = req
	r.requests.add(req)
	r.monitor.RequestAccepted(req.id, invariant.AcceptedRequest{Name: req.name, Effect: r.effect(route),
		DedupWindow: r.config.Routes[route].DedupWindow, Deadline: req.deadline})
	r.notifyPolicy(r.arrivalEvent(req))
	r.removeIfFinished(req)
}

// validateRequest reports whether a request can be served at all. If not, the request is answered.
func (r *Router) validateRequest(client *ClientConnection, received *ClientRequest, route int) bool {
	if route < 0 {
		r.reply(client, received, unknownRouteResponse(r.protocol, received.Parsed.Route))
		return false
	}
	if received.OldProtocol {
		r.reply(client, received, r.protocol.InvalidRequestResponse(http.StatusHTTPVersionNotSupported, "bad_protocol", "",
			"calls are taken over HTTP/1.1"))
		return false
	}
	return true
}

// checkAcceptance reports whether the invariants allow a request to start. If so, the name of the request is recorded; if
// not, the request is answered.
func (r *Router) checkAcceptance(client *ClientConnection, received *ClientRequest) bool {
	name := received.Parsed.ID
	arrival := invariant.Arrival{DuplicateID: r.requests.isKnown(name), Accepting: r.acceptsRequests()}
	switch reason := invariant.MayAccept(arrival); reason {
	case invariant.Allowed:
		if name != "" {
			r.requests.recentNames.add(name)
		}
		return true
	case invariant.DuplicateRequestID:
		r.observer.Rejected(RejectDuplicate)
		r.reply(client, received, r.protocol.InvalidRequestResponse(http.StatusConflict, "known", "", string(reason)))
	default:
		r.shedOnArrival(client, received, http.StatusServiceUnavailable, ShedReason(reason), 0)
	}
	return false
}

// acquireCapacity counts a request as open if the limits of this router leave capacity for it, and reports whether they do.
// If not, the request is shed.
func (r *Router) acquireCapacity(client *ClientConnection, received *ClientRequest) bool {
	status, reason := http.StatusServiceUnavailable, ShedReason("")
	if received.shedReason != "" {
		reason = received.shedReason
		r.observer.Rejected(rejectReasons[reason])
	} else if !r.admission.retries.Allow(r.now, received.Parsed.Retried) {
		reason = shedRetryBudget
	} else {
		switch r.admission.Admit(client.ID, received.Tenant) {
		case admission.QuotaExceeded:
			status, reason = http.StatusTooManyRequests, shedQuota
		case admission.CapacityExceeded, admission.BufferFull:
			reason = shedCapacity
		}
	}
	if reason != "" {
		r.shedOnArrival(client, received, status, reason, r.config.MaxRetryAfter)
	}
	return reason == ""
}

func (r *Router) newRequest(client *ClientConnection, received *ClientRequest, route int) *request {
	r.requests.lastID++
	id := r.requests.lastID
	timeout := r.config.Routes[route].Timeout
	if received.Parsed.FirstTokenTimeout > 0 {
		timeout = min(timeout, received.Parsed.FirstTokenTimeout)
	}
	return &request{
		id:        id,
		name:      cmp.Or(received.Parsed.ID, fmt.Sprintf("%s-%x-%d", r.config.NodeName, r.incarnation, id)),
		client:    client,
		received:  received,
		route:     route,
		arrivedAt: r.eventTime(),
		deadline:  r.arrivalTime() + int64(timeout),
		collector: r.protocol.NewCollector(received.Parsed),
	}
}

// arrivalEvent returns the policy event for a new request. A request without a session gets a session of its own: the
// policy must not treat unrelated clients as one session.
func (r *Router) arrivalEvent(req *request) routing.RequestArrived {
	parsed := req.received.Parsed
	return routing.RequestArrived{RequestID: req.id, Route: req.route, Session: cmp.Or(parsed.Session, req.name), Prefix: parsed.Prefix,
		Waited: time.Duration(r.now - req.arrivedAt), Deadline: time.Duration(req.deadline),
		PromptTokens: float64(parsed.PromptTokens), PrefixTokens: float64(parsed.PrefixTokens),
		MaxOutputTokens: float64(parsed.MaxOutputTokens), ClientRetry: parsed.Idempotent, Resumed: parsed.Resumes}
}

// shedOnArrival sheds a request before it is passed to the policy. A request that resumes a stream has run before, under
// another name. If it must not run twice, it gets an error instead, since a shed answer implies that a retry is safe.
func (r *Router) shedOnArrival(client *ClientConnection, received *ClientRequest, status int, reason ShedReason, retryAfter time.Duration) {
	parsed := received.Parsed
	r.observer.RequestShed(ShedRequest{Request: parsed.ID, Route: parsed.Route, Reason: reason, PromptTokens: parsed.PromptTokens})
	var answer protocol.Response
	if parsed.Resumes && !r.isRetriable(r.config.RouteIndex(parsed.Route)) {
		answer = r.protocol.ErrorResponse("", string(reason), false)
	} else {
		answer = r.protocol.ShedResponse(status, "", string(reason), retryAfter)
	}
	r.reply(client, received, answer)
}
