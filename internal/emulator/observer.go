package emulator

import (
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// ignoreObservations is an observer of a router that ignores what it reports, but for a panic of the policy.
type ignoreObservations struct{}

// AroundStep runs a step of the policy.
func (ignoreObservations) AroundStep(_ routing.Event, step func()) { step() }

// PolicyPanicked panics: a run with a broken policy has no result.
func (ignoreObservations) PolicyPanicked(p any, _ routing.Event, _ []byte) { panic(p) }

// RequestFinished is ignored.
func (ignoreObservations) RequestFinished(router.RequestSummary) {}

// RequestShed is ignored.
func (ignoreObservations) RequestShed(router.ShedRequest) {}

// AttemptEnded is ignored.
func (ignoreObservations) AttemptEnded(router.AttemptSummary) {}

// AttemptBlocked is ignored.
func (ignoreObservations) AttemptBlocked(string, invariant.Reason) {}

// InvariantViolated is ignored.
func (ignoreObservations) InvariantViolated(invariant.Violation) {}

// ClientClosed is ignored.
func (ignoreObservations) ClientClosed(int64, router.CloseReason) {}

// ConnectionChanged is ignored.
func (ignoreObservations) ConnectionChanged(string, router.ConnectionEvent) {}

// FirstToken is ignored.
func (ignoreObservations) FirstToken(string, time.Duration, int) {}

// Rejected is ignored.
func (ignoreObservations) Rejected(router.RejectReason) {}

// ReservationChanged is ignored.
func (ignoreObservations) ReservationChanged(router.ReservationEvent) {}

// EndpointsUpdated is ignored.
func (ignoreObservations) EndpointsUpdated(int64, int, []string) {}
