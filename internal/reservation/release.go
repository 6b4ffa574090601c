package reservation

import "time"

const (
	// steadyRetries is how many releases follow one another at the shortest interval: enough to ask a few engines, one of
	// which runs, before a reservation is kept for too long.
	steadyRetries = 4
	// maxDoublings bounds the shift of the backoff; the repeat interval caps it much earlier.
	maxDoublings = 16
)

// HandleDue decides about a reservation that may be due. ExpiredIn is the state in which it was kept for as long as it may
// be; None where its release was due already.
func (t *Table) HandleDue(r *Reservation, now int64) (action Action, expiredIn State) {
	if r.State == None || now < r.DueAt {
		return NoAction, None
	}
	switch {
	case r.State == Reserved && r.attemptAbandoned:
		expiredIn = Claimed // whether the attempt that was to consume it has arrived is not known
	case r.State == Reserved || r.State == Claimed:
		expiredIn = r.State
	}
	t.handle(r, Expired, EventTimes{Now: now, Since: now})
	if inUseUntil := t.inUseUntil(r); t.limits.ReleasesWholeRequest && inUseUntil > now {
		// A release would free the reservation that the request waits to use. The time of this one runs from the same moment.
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
	r.unacknowledged++
	t.setDue(r, now+int64(t.backoff(r.unacknowledged)))
	return Release, expiredIn
}

// backoff is how long the next release waits for an acknowledgement of this one.
func (t *Table) backoff(unacknowledged int) time.Duration {
	doublings := min(max(0, unacknowledged-steadyRetries), maxDoublings)
	longest := max(t.limits.RepeatInterval/2, t.limits.RetryInterval)
	return min(t.limits.RetryInterval<<doublings, longest)
}

// inUseUntil is when the reservation of the same request that is still to be used will be released; 0 where there is none.
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
