package router

import (
	"slices"
	"time"

	"sandcourse/internal/attempt"
)

// reservationCheckInterval is how often the monitor looks at what is held: a violation is not told sooner for being looked for more.
const reservationCheckInterval = int64(200 * time.Millisecond)

// reportViolations hands over what the monitor has found since the last turn.
func (r *Router) reportViolations() {
	if r.now-r.reservationsCheckedAt >= reservationCheckInterval {
		r.reservationsCheckedAt = r.now
		r.checkReservations()
	}
	for _, v := range r.monitor.TakeViolations() {
		r.observer.InvariantViolated(v)
	}
}

// checkReservations looks for states that have been held for too long while no attempt was out that may take them.
func (r *Router) checkReservations() {
	for _, reserved := range r.reservations.All() {
		free := time.Duration(r.now - reserved.UnclaimedSince())
		if reserved.Acknowledged() || free <= r.config.Rules.ReservationLimit || r.mayBeClaimed(reserved.ID.Request) {
			continue
		}
		r.monitor.ReservationUnclaimed(reserved.ID.Request, free)
	}
}

// mayBeClaimed is whether an attempt of a request is out that may take its state.
func (r *Router) mayBeClaimed(request string) bool {
	req := r.requestsByName[request]
	return req != nil && slices.ContainsFunc(req.attempts, func(att *engineAttempt) bool {
		return att.decode && !att.ended && att.machine.State != attempt.Dialing
	})
}
