package modelcheck

import (
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// violationObserver records violations that the router itself reports.
type violationObserver struct{ simulation *simulation }

// AroundStep runs a step of the policy.
func (o violationObserver) AroundStep(_ routing.Event, step func()) { step() }

// PolicyPanicked records a violation: the policy must handle every event.
func (o violationObserver) PolicyPanicked(p any, in routing.Event, _ []byte) {
	o.simulation.violationLog.add("P12 the routing policy panics on %T: %v", in, p)
}

// AttemptBlocked records a violation if the policy requests a second run, or a second attempt while one is in flight.
func (o violationObserver) AttemptBlocked(request string, reason invariant.Reason) {
	switch reason {
	case invariant.MayHaveRun:
		o.simulation.violationLog.add("P3 the routing policy requests an attempt of %s: %s", request, reason)
	case invariant.AttemptInFlight:
		o.simulation.violationLog.add("P2 the routing policy requests an attempt of %s: %s", request, reason)
	}
}

// InvariantViolated records a violation: the run-time monitor must not report an invariant that holds.
func (o violationObserver) InvariantViolated(v invariant.Violation) {
	o.simulation.violationLog.add("P15 the run-time monitor reports a violation for %s: %s %s", v.Request, v.Rule, v.Detail)
}

// Rejected records a violation: a world exceeds no limit except that of open requests, which P13 checks.
func (o violationObserver) Rejected(reason router.RejectReason) {
	o.simulation.violationLog.add("P12 the router rejects a request or connection: %s", reason)
}

// ReservationChanged records a violation if the router has to release a reservation that the policy should have released.
func (o violationObserver) ReservationChanged(event router.ReservationEvent) {
	if event == router.ReleaseOverdue {
		o.simulation.violationLog.add("P5 the routing policy keeps a reservation until the router releases it")
	}
}

// RequestFinished is ignored.
func (o violationObserver) RequestFinished(router.RequestSummary) {}

// RequestShed is ignored.
func (o violationObserver) RequestShed(router.ShedRequest) {}

// AttemptEnded is ignored.
func (o violationObserver) AttemptEnded(router.AttemptSummary) {}

// ClientClosed is ignored.
func (o violationObserver) ClientClosed(int64, router.CloseReason) {}

// ConnectionChanged is ignored.
func (o violationObserver) ConnectionChanged(string, router.ConnectionEvent) {}

// FirstToken is ignored.
func (o violationObserver) FirstToken(string, time.Duration, int) {}

// EndpointsUpdated is ignored.
func (o violationObserver) EndpointsUpdated(int64, int, []string) {}
