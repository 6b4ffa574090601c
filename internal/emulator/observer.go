package emulator

import (
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// noopObserver is an observer of a router that ignores all reports except a panic of the policy.
type noopObserver struct{}

// AroundStep runs a step of the policy.
func (noopObserver) AroundStep(_ routing.Event, step func()) { step() }

// PolicyPanicked panics: a run has no valid result after a panic of the policy.
func (noopObserver) PolicyPanicked(p any, _ routing.Event, _ []byte) { panic(p) }

// RequestFinished is ignored.
func (noopObserver) RequestFinished(router.RequestSummary) {}

// RequestShed is ignored.
func (noopObserver) RequestShed(router.ShedRequest) {}

// AttemptEnded is ignored.
func (noopObserver) AttemptEnded(router.AttemptSummary) {}

// AttemptBlocked is ignored.
func (noopObserver) AttemptBlocked(string, invariant.Reason) {}

// InvariantViolated is ignored.
func (noopObserver) InvariantViolated(invariant.Violation) {}

// ClientClosed is ignored.
func (noopObserver) ClientClosed(int64, router.CloseReason) {}

// ConnectionChanged is ignored.
func (noopObserver) ConnectionChanged(string, router.ConnectionEvent) {}

// FirstToken is ignored.
func (noopObserver) FirstToken(string, time.Duration, int) {}

// Rejected is ignored.
func (noopObserver) Rejected(router.RejectReason) {}

// ReservationChanged is ignored.
func (noopObserver) ReservationChanged(router.ReservationEvent) {}

// EndpointsUpdated is ignored.
func (noopObserver) EndpointsUpdated(int64, int, []string) {}
