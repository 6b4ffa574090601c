package router

import (
	"net/http"
	"time"

	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// controlRequest is what an engine is asked beside attempts: a probe, or the release of a state.
type controlRequest struct {
	engine string
	hold   *reservation.Hold // to be released; nil for a probe
	round  int               // of the hold's releases
	fresh  bool              // it is to go on a connection of its own
	at     int64
	head   *http.Response
}

// controlTime is how long one may take: a quarter of the pin limit, and never more than a quarter second.
func (o *Core) controlTime() int64 {
	return min(int64(250*time.Millisecond), int64(o.d.Rules.ReservationLimit)/4)
}

// startControl sends a control request.
func (o *Core) startControl(e *controlRequest) {
	e.at = o.now
	o.controls[e] = true
	if !o.carry(e.engine, nil, e, int64(o.d.Connections.IdleTimeout)) {
		o.controlDone(e, nil, nil)
	}
}

// controlUnsent ends a control request for which this machine could make no connection.
func (o *Core) controlUnsent(e *controlRequest) {
	if !o.controls[e] {
		return
	}
	delete(o.controls, e)
	if e.hold == nil { // a release is sent again by its hold
		o.tell(routing.HealthCheckResult{Engine: e.engine, Verdict: routing.NotSent, Latency: o.now - e.at})
	}
}

func (o *Core) controlDone(e *controlRequest, head *http.Response, body []byte) {
	if !o.controls[e] {
		return
	}
	delete(o.controls, e)
	ok := head != nil && head.StatusCode/100 == 2
	switch {
	case e.hold != nil:
		if ok {
			o.released(e)
		}
	case ok:
		o.tell(routing.HealthCheckResult{Engine: e.engine, Verdict: routing.Completed, Latency: o.now - e.at,
			Report: o.protocol.ParseLoadReport(head, body)})
	case head != nil: // it is there, and has no answer now
		o.tell(routing.HealthCheckResult{Engine: e.engine, Verdict: routing.Full, Latency: o.now - e.at})
	default:
		o.tell(routing.HealthCheckResult{Engine: e.engine, Verdict: routing.TimedOut, Latency: o.now - e.at})
	}
}
