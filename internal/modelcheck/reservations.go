package modelcheck

import "slices"

// reservationLedger contains the reservations that prefill engines actually hold.
type reservationLedger struct{ held []heldReservation }

// heldReservation is one reservation of a prefill engine.
type heldReservation struct {
	requestID, engine string
	attempt           int
	lostReleases      int   // number of releases that the network has lost
	idleSince         int64 // time at which an attempt of the request was last in flight
}

// belongsTo reports whether a prefill made this reservation, or a release names it.
func (h heldReservation) belongsTo(r *engineRequest) bool {
	return h.requestID == r.requestID && h.engine == r.connection.engineConnection.Engine && h.attempt == r.attempt
}

// add adds the reservation of a prefill.
func (l *reservationLedger) add(r *engineRequest, now int64) {
	l.held = append(l.held, heldReservation{requestID: r.requestID, engine: r.connection.engineConnection.Engine, attempt: r.attempt, idleSince: now})
}

// release removes the reservation that a release names.
func (l *reservationLedger) release(r *engineRequest) {
	l.held = slices.DeleteFunc(l.held, func(h heldReservation) bool { return h.belongsTo(r) })
}

// recordLostRelease records that the network has lost a release.
func (l *reservationLedger) recordLostRelease(r *engineRequest) {
	for i, h := range l.held {
		if h.belongsTo(r) {
			l.held[i].lostReleases++
		}
	}
}

// recordFailedDial records a lost release for each reservation of an engine to which a dial hangs or fails: the dial may have
// been for a release.
func (l *reservationLedger) recordFailedDial(engine string) {
	for i := range l.held {
		if l.held[i].engine == engine {
			l.held[i].lostReleases++
		}
	}
}

// restartIdleTime restarts the idle time of the reservations of a request, because an attempt is or was in flight.
func (l *reservationLedger) restartIdleTime(requestID string, now int64) {
	for i := range l.held {
		if l.held[i].requestID == requestID {
			l.held[i].idleSince = now
		}
	}
}

// removeNewest removes the newest reservation of a request, which is the one that a decode engine fetches.
func (l *reservationLedger) removeNewest(requestID string) {
	for i := len(l.held) - 1; i >= 0; i-- {
		if l.held[i].requestID == requestID {
			l.held = slices.Delete(l.held, i, i+1)
			return
		}
	}
}

// removeEngine removes all reservations of an engine.
func (l *reservationLedger) removeEngine(engine string) {
	l.held = slices.DeleteFunc(l.held, func(h heldReservation) bool { return h.engine == engine })
}
