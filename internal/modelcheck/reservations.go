package modelcheck

import "slices"

// reservationLedger is the ground truth about the reservations that prefill engines hold.
type reservationLedger struct{ held []heldReservation }

// heldReservation is one reservation of a prefill engine.
type heldReservation struct {
	requestID, engine string
	attempt           int
	lostReleases      int   // releases of it that the network has lost
	idleSince         int64 // the last time at which an attempt of its request was in flight
}

// belongsTo reports whether the reservation is the one that a request made or releases.
func (h heldReservation) belongsTo(r *engineRequest) bool {
	return h.requestID == r.requestID && h.engine == r.connection.core.Engine && h.attempt == r.attempt
}

// add notes the reservation of a prefill.
func (l *reservationLedger) add(r *engineRequest, now int64) {
	l.held = append(l.held, heldReservation{requestID: r.requestID, engine: r.connection.core.Engine, attempt: r.attempt, idleSince: now})
}

// release drops the reservation that a release names.
func (l *reservationLedger) release(r *engineRequest) {
	l.held = slices.DeleteFunc(l.held, func(h heldReservation) bool { return h.belongsTo(r) })
}

// releaseLost notes that the network has lost a release.
func (l *reservationLedger) releaseLost(r *engineRequest) {
	for i, h := range l.held {
		if h.belongsTo(r) {
			l.held[i].lostReleases++
		}
	}
}

// dialUnanswered notes a dial that an engine did not answer, for all that it holds: it may have been for a release.
func (l *reservationLedger) dialUnanswered(engine string) {
	for i := range l.held {
		if l.held[i].engine == engine {
			l.held[i].lostReleases++
		}
	}
}

// restartIdleTime restarts the idle time of a request's reservations, as an attempt of it is or was in flight.
func (l *reservationLedger) restartIdleTime(requestID string, now int64) {
	for i := range l.held {
		if l.held[i].requestID == requestID {
			l.held[i].idleSince = now
		}
	}
}

// fetchNewest takes the newest reservation of a request, which is the one that the router names to a decode engine.
func (l *reservationLedger) fetchNewest(requestID string) {
	for i := len(l.held) - 1; i >= 0; i-- {
		if l.held[i].requestID == requestID {
			l.held = slices.Delete(l.held, i, i+1)
			return
		}
	}
}

// dropEngine forgets what an engine held.
func (l *reservationLedger) dropEngine(engine string) {
	l.held = slices.DeleteFunc(l.held, func(h heldReservation) bool { return h.engine == engine })
}
