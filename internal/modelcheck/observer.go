package modelcheck

import (
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// violationObserver turns what the router reports about itself into violations.
type violationObserver struct{ simulation *simulation }

// AroundStep runs a step of the policy.
func (o violationObserver) AroundStep(_ routing.Event, step func()) { step() }

// PolicyPanicked is a violation: the policy must handle every event.
func (o violationObserver) PolicyPanicked(p any, in routing.Event, _ []byte) {
	o.simulation.violated.add("P12 the routing policy panics on %T: %v", in, p)
}

// AttemptBlocked is a violation where the policy asks for what would be a second run, or for two attempts at once.
func (o violationObserver) AttemptBlocked(request string, reason invariant.Reason) {
	switch reason {
	case invariant.MayHaveRun:
		o.simulation.violated.add("P3 the routing policy asks for an attempt of %s, though %s", request, reason)
	case invariant.AttemptInFlight:
		o.simulation.violated.add("P2 the routing policy asks for an attempt of %s, though %s", request, reason)
	}
}

// InvariantViolated is a violation: the run-time monitor must find nothing where nothing is wrong.
func (o violationObserver) InvariantViolated(v invariant.Violation) {
	o.simulation.violated.add("P15 the run-time monitor reports of %s: %s %s", v.Request, v.Rule, v.Detail)
}

// Rejected is a violation: nothing exceeds the limits of a world but where P13 looks at it.
func (o violationObserver) Rejected(reason router.RejectReason) {
	o.simulation.violated.add("P12 rejected: %s", reason)
}

// ReservationChanged is a violation where the router itself has to release what the policy should have released.
func (o violationObserver) ReservationChanged(event router.ReservationEvent) {
	if event == router.ReleaseOverdue {
		o.simulation.violated.add("P5 the routing policy keeps a reservation until the router releases it")
	}
}

// RequestFinished is not of interest.
func (o violationObserver) RequestFinished(router.RequestSummary) {}

// RequestShed is not of interest.
func (o violationObserver) RequestShed(router.ShedRequest) {}

// AttemptEnded is not of interest.
func (o violationObserver) AttemptEnded(router.AttemptSummary) {}

// ClientClosed is not of interest.
func (o violationObserver) ClientClosed(int64, router.CloseReason) {}

// ConnectionChanged is not of interest.
func (o violationObserver) ConnectionChanged(string, router.ConnectionEvent) {}

// FirstToken is not of interest.
func (o violationObserver) FirstToken(string, time.Duration, int) {}

// EndpointsUpdated is not of interest.
func (o violationObserver) EndpointsUpdated(int64, int, []string) {}
