package reservation

import "time"

const (
	// steadyRetries is the number of releases that are sent at the shortest interval: enough to reach one running engine
	// among a few before a reservation is kept for too long.
	steadyRetries = 4
	// maxDoublings bounds the shift of the backoff; the repeat interval caps it much earlier.
	maxDoublings = 16
)

// HandleDue decides what to do about a reservation that may be due. If the keep time of the reservation has just expired,
// expiredIn is the state of the reservation at that time, else None.
func (t *Table) HandleDue(r *Reservation, now int64) (action Action, expiredIn State) {
	if r.State == None || now < r.DueAt {
		return NoAction, None
	}
	switch {
	case r.State == Reserved && r.attemptAbandoned:
		expiredIn = Claimed // The attempt that was to consume the reservation may have arrived.
	case r.State == Reserved || r.State == Claimed:
		expiredIn = r.State
	}
	t.handle(r, Expired, EventTimes{Now: now, Since: now})
	if inUseUntil := t.inUseUntil(r); t.limits.ReleasesWholeRequest && inUseUntil > now {
		// A release would also free the reservation that the request is about to use, so both become due at the same time.
		t.setDue(r, inUseUntil)
		return NoAction, expiredIn
	}
	if r.unacknowledgedSince == 0 {
		r.unacknowledgedSince = now
	}
	if time.Duration(now-r.unacknowledgedSince) > t.limits.AbandonAfter && now > r.horizon {
		t.handle(r, ReleaseAbandoned, EventTimes{Now: now, Since: now})
		return Abandon, expiredIn
	}
	r.unacknowledgedCount++
	t.setDue(r, now+int64(t.backoff(r.unacknowledgedCount)))
	return Release, expiredIn
}

// backoff returns how long the next release waits for an acknowledgement of the previous one.
func (t *Table) backoff(count int) time.Duration {
	doublings := min(max(0, count-steadyRetries), maxDoublings)
	longest := max(t.limits.RepeatInterval/2, t.limits.RetryInterval)
	return min(t.limits.RetryInterval<<doublings, longest)
}

// inUseUntil returns the latest due time of the request's other reservations that are still to be used; 0 without such
// reservations.
func (t *Table) inUseUntil(r *Reservation) (until int64) {
	for _, other := range t.byRequest[r.ID.Request] {
		if other != r && (other.State == Reserved || other.State == Claimed) {
			until = max(until, other.DueAt)
		}
	}
	return until
}

// Acknowledge records that an engine has acknowledged a release of a round.
func (t *Table) Acknowledge(r *Reservation, round int, now int64) {
	if r.State == None || round != r.Round {
		return
	}
	r.acknowledgements++
	r.startRound()
	event := ReleaseAcknowledged
	if now < r.horizon {
		event = ReleaseAcknowledgedEarly
	}
	t.handle(r, event, EventTimes{Now: now, Since: now})
}
