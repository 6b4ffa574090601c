package reservation

import (
	"math"
	"slices"
)

// Never is the due time of an empty table.
const Never = int64(math.MaxInt64)

// Table holds all reservations of a router.
type Table struct {
	limits    Limits
	byRequest map[string][]*Reservation // reservations of each request, in the order of their prefills
	indexes   indexes
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{limits: limits, byRequest: map[string][]*Reservation{}}
}

// Find returns the reservation with an ID; nil if none is known.
func (t *Table) Find(id ID) *Reservation {
	for _, r := range t.byRequest[id.Request] {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// All lists all reservations, in the order of requests and attempts.
func (t *Table) All() []*Reservation {
	all := make([]*Reservation, 0, t.Count())
	for _, reservations := range t.byRequest {
		all = append(all, reservations...)
	}
	slices.SortFunc(all, func(a, b *Reservation) int { return a.ID.compare(b.ID) })
	return all
}

// NextDue returns when the next reservation is due.
func (t *Table) NextDue() int64 {
	if first, ok := t.indexes.byDue.First(); ok {
		return first.DueAt
	}
	return Never
}

// FirstDue returns the reservation that has been due for longest; nil if none is due. HandleDue makes it due later or removes it.
func (t *Table) FirstDue(now int64) *Reservation {
	if first, ok := t.indexes.byDue.First(); ok && first.DueAt <= now {
		return first.Reservation
	}
	return nil
}

// Count returns the number of reservations.
func (t *Table) Count() int { return t.indexes.byAge.Len() }

// OldestSince returns the time at which the oldest reservation became known; 0 for an empty table.
func (t *Table) OldestSince() (since int64) {
	if oldest, ok := t.indexes.byAge.First(); ok {
		return oldest.KnownSince
	}
	return 0
}

// Unreleased counts the reservations that a router must not leave behind when it exits. Where releases are repeated, two
// acknowledgements are enough: by then the earlier attempts have ended, unless their engines hang.
func (t *Table) Unreleased() int { return t.indexes.unreleased }

// EventTimes are the times of an event, in nanoseconds.
type EventTimes struct {
	Now     int64
	Since   int64 // the earliest time at which the event may have happened
	Horizon int64 // latest time at which an abandoned attempt of the request may affect its engine; 0 if no attempt is abandoned
	// ReleaseAt delays a release that becomes due now, if engines are expected to end abandoned attempts soon; 0 for no delay.
	ReleaseAt int64
}

// Add records the reservation of a prefill that has just ended, by PrefillDone or PrefillLost. It returns nil if the table
// is full of reservations without an acknowledged release.
func (t *Table) Add(id ID, engine string, event Event, times EventTimes) *Reservation {
	if r := t.Find(id); r != nil {
		return r
	}
	if t.Count() >= t.limits.MaxReservations && !t.evictAcknowledged() {
		return nil
	}
	r := &Reservation{ID: id, Engine: engine, KnownSince: times.Now, unclaimedSince: times.Now}
	t.byRequest[id.Request] = append(t.byRequest[id.Request], r)
	t.handle(r, event, times)
	return r
}

// evictAcknowledged removes the reservation with an acknowledged release that needs further releases for the shortest time, if
// there is one.
func (t *Table) evictAcknowledged() bool {
	first, ok := t.indexes.acknowledged.First()
	if ok {
		first.State = None
		t.remove(first.Reservation)
	}
	return ok
}

// HandleAttempt applies Unneeded or the event of an attempt to all reservations of a request, as an attempt may consume any
// of them. It returns the reservations whose due time has changed.
func (t *Table) HandleAttempt(request string, event Event, times EventTimes) (changed []*Reservation) {
	for _, r := range slices.Clone(t.byRequest[request]) {
		if r.State == Releasing && !t.limits.ReleasesWholeRequest {
			continue // Attempts name the reservation that they consume, which is not this one.
		}
		previousDue := r.DueAt
		t.handle(r, event, times)
		if r.State != None && r.DueAt != previousDue {
			changed = append(changed, r)
		}
	}
	return changed
}

// handle applies one event to one reservation. An event without a transition changes nothing but the horizon.
func (t *Table) handle(r *Reservation, event Event, times EventTimes) {
	r.horizon = max(r.horizon, times.Horizon)
	if event == AttemptsEnded {
		r.horizon, r.attemptsEnded = times.Horizon, times.Horizon <= times.Now
	}
	if event == Consumed && times.Now < r.horizon {
		event = ConsumedBeforeHorizon
	}
	fired := findTransition(r.State, event)
	if fired == nil {
		t.indexes.update(r)
		return
	}
	r.State = fired.next
	if event == AttemptAbandoned || event == AttemptRejected {
		r.attemptAbandoned, r.unclaimedSince = event == AttemptAbandoned, times.Now
	}
	switch fired.due {
	case dueAfterKeepTime:
		t.setDue(r, times.Since+int64(t.limits.KeepTime))
	case dueNow:
		t.setDue(r, max(times.Now, times.ReleaseAt))
		r.startRound()
	case dueAfterRepeatInterval:
		t.setDue(r, times.Now+int64(t.limits.RepeatInterval))
	}
	if r.State == None {
		t.remove(r)
		return
	}
	t.indexes.update(r)
}

func (t *Table) setDue(r *Reservation, at int64) {
	r.DueAt = at
	t.indexes.update(r)
}

func (t *Table) remove(r *Reservation) {
	request := r.ID.Request
	t.indexes.remove(r)
	t.byRequest[request] = slices.DeleteFunc(t.byRequest[request], func(other *Reservation) bool { return other == r })
	if len(t.byRequest[request]) == 0 {
		delete(t.byRequest, request)
	}
}
