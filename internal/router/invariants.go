package router

import (
	"slices"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/invariant"
)

// reservationCheckInterval is how often reservations are checked. More frequent checks would hardly report violations sooner.
const reservationCheckInterval = int64(200 * time.Millisecond)

// invariantMonitor checks the invariants at run time.
type invariantMonitor struct {
	*invariant.Monitor
	reservationsCheckedAt int64
}

// reportViolations reports the violations that the monitor has found.
func (r *Router) reportViolations() {
	if r.now-r.monitor.reservationsCheckedAt >= reservationCheckInterval {
		r.monitor.reservationsCheckedAt = r.now
		r.checkReservations()
	}
	for _, violation := range r.monitor.TakeViolations() {
		r.observer.InvariantViolated(violation)
	}
}

// checkReservations reports reservations that are kept for too long while no attempt is in flight that may claim them.
func (r *Router) checkReservations() {
	for _, reserved := range r.reservations.All() {
		unclaimed := time.Duration(r.now - reserved.UnclaimedSince())
		if reserved.Acknowledged() || unclaimed <= r.config.Rules.ReservationLimit || r.mayBeClaimed(reserved.ID.Request) {
			continue
		}
		r.monitor.ReservationUnclaimed(reserved.ID.Request, unclaimed)
	}
}

// mayBeClaimed reports whether an attempt is in flight that may claim the reservation of a request.
func (r *Router) mayBeClaimed(request string) bool {
	req := r.requests.byName[request]
	return req != nil && slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool {
		return att.decode && !att.ended && att.machine.State != attempt.Dialing
	})
}
