package router

import (
	"net/http"
	"time"

	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// controlRequest is what an engine is asked beside attempts: a probe, or the release of a state.
type controlRequest struct {
	engine        string
	reservation   *reservation.Reservation // to be released; nil for a probe
	round         int                      // of the hold's releases
	newConnection bool                     // it is to go on a connection of its own
	startedAt     int64
	head          *http.Response
}

// controlTimeout is how long one may take: a quarter of the pin limit, and never more than a quarter second.
func (r *Router) controlTimeout() int64 {
	return min(int64(250*time.Millisecond), int64(r.config.Rules.ReservationLimit)/4)
}

// startControl sends a control request.
func (r *Router) startControl(control *controlRequest) {
	control.startedAt = r.now
	r.controlRequests[control] = true
	if !r.dispatch(control.engine, nil, control, r.config.Connections.IdleTimeout) {
		r.finishControl(control, nil, nil)
	}
}

// controlNotSent ends a control request for which this machine could make no connection.
func (r *Router) controlNotSent(control *controlRequest) {
	if !r.controlRequests[control] {
		return
	}
	delete(r.controlRequests, control)
	if control.reservation == nil { // a release is sent again by its hold
		r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: routing.NotSent, Latency: r.now - control.startedAt})
	}
}

func (r *Router) finishControl(control *controlRequest, head *http.Response, body []byte) {
	if !r.controlRequests[control] {
		return
	}
	delete(r.controlRequests, control)
	ok := head != nil && head.StatusCode/100 == 2
	switch {
	case control.reservation != nil:
		if ok {
			r.releaseAcknowledged(control)
		}
	case ok:
		r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: routing.Completed, Latency: r.now - control.startedAt,
			Report: r.protocol.ParseLoadReport(head, body)})
	case head != nil: // it is there, and has no answer now
		r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: routing.Full, Latency: r.now - control.startedAt})
	default:
		r.notifyPolicy(routing.HealthCheckResult{Engine: control.engine, Verdict: routing.TimedOut, Latency: r.now - control.startedAt})
	}
}
