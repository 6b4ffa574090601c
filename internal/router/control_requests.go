package router

import (
	"net/http"
	"time"

	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// maxControlTimeout bounds how long a control request may take.
const maxControlTimeout = 250 * time.Millisecond

// controlRequest is a request to an engine that is no attempt: a health check, or the release of a reservation.
type controlRequest struct {
	engine        string
	reservation   *reservation.Reservation // to be released; nil for a health check
	round         int                      // of the reservation's releases
	newConnection bool                     // it is to go on a connection of its own
	startedAt     int64
	head          *http.Response // of the answer; nil before
}

// controlRequests are those in flight.
type controlRequests map[*controlRequest]struct{}

// remove drops a control request; it returns false where it has ended already.
func (c controlRequests) remove(control *controlRequest) bool {
	_, ok := c[control]
	delete(c, control)
	return ok
}

// controlTimeout is how long a control request may take.
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

// controlNotSent ends a control request for which this machine could make no connection. A release is sent again when its
// reservation is due.
func (r *Router) handleControlNotSent(control *controlRequest) {
	if r.controlRequests.remove(control) && control.reservation == nil {
		r.reportHealthCheck(control, routing.NotSent, nil)
	}
}

// finishControlRequest handles the answer to a control request; the head is nil where there is none.
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
	case head != nil: // it runs, and cannot answer now
		r.reportHealthCheck(control, routing.Full, nil)
	default:
		r.reportHealthCheck(control, routing.TimedOut, nil)
	}
}

func (r *Router) reportHealthCheck(control *controlRequest, verdict routing.Verdict, report *routing.LoadReport) {
	r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: verdict,
		Latency: time.Duration(max(0, r.eventTime()-control.startedAt)), Report: report})
}
