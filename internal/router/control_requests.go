package router

import (
	"net/http"
	"time"

	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// maxControlTimeout is the upper limit of the timeout of control requests.
const maxControlTimeout = 250 * time.Millisecond

// controlRequest is a request to an engine that is not an attempt: a health check, or the release of a reservation.
type controlRequest struct {
	engine        string
	reservation   *reservation.Reservation // the reservation to release; nil for a health check
	round         int                      // release round of the reservation
	newConnection bool                     // the request must be sent on a new connection
	startedAt     int64
	head          *http.Response // head of the response; nil until it is received
}

// controlRequests is the set of control requests in flight.
type controlRequests map[*controlRequest]struct{}

// remove removes a control request; it returns false if the request has already ended.
func (c controlRequests) remove(control *controlRequest) bool {
	_, ok := c[control]
	delete(c, control)
	return ok
}

// controlTimeout returns the timeout of control requests.
func (r *Router) controlTimeout() int64 {
	return int64(min(maxControlTimeout, r.config.Rules.ReservationLimit/4))
}

// startControlRequest sends a control request.
func (r *Router) startControlRequest(control *controlRequest) {
	control.startedAt = r.now
	r.controlRequests[control] = struct{}{}
	if !r.dispatch(control.engine, nil, control) {
		r.finishControlRequest(control, nil, nil)
	}
}

func (r *Router) encodeControlRequest(control *controlRequest, target protocol.Target) []byte {
	if control.reservation != nil {
		return r.protocol.ReleaseRequest(target, control.reservation.ID.Request, control.reservation.ID.Attempt)
	}
	return r.protocol.HealthCheckRequest(target)
}

// handleControlNotSent ends a control request for which no connection could be made for a local reason. A release is sent
// again when its reservation is due.
func (r *Router) handleControlNotSent(control *controlRequest) {
	if r.controlRequests.remove(control) && control.reservation == nil {
		r.reportHealthCheck(control, routing.NotSent, nil)
	}
}

// finishControlRequest handles the end of a control request; head is nil if there was no response.
func (r *Router) finishControlRequest(control *controlRequest, head *http.Response, body []byte) {
	if !r.controlRequests.remove(control) {
		return
	}
	ok := head != nil && head.StatusCode/100 == 2
	switch {
	case control.reservation != nil:
		if ok {
			r.handleReleaseAcknowledged(control)
		}
	case ok:
		r.reportHealthCheck(control, routing.Completed, r.protocol.ParseLoadReport(head, body))
	case head != nil: // the engine runs, but cannot serve now
		r.reportHealthCheck(control, routing.Full, nil)
	default:
		r.reportHealthCheck(control, routing.TimedOut, nil)
	}
}

func (r *Router) reportHealthCheck(control *controlRequest, verdict routing.Verdict, report *routing.LoadReport) {
	r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: verdict,
		Latency: time.Duration(max(0, r.eventTime()-control.startedAt)), Report: report})
}
