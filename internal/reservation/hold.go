// Package hold owns what is known of the read states that engines hold for this node's requests: which state may
// exist, where, and when a release for it is due. It does no I/O.
//
// A state may exist from the moment the last byte of its read may have arrived. It leaves the table once an attempt
// has taken it, or once an engine has acknowledged a release at a time at which nothing could bring the state back.
// An acknowledgement alone proves nothing while an attempt may still have a claim on the state: an engine lets go only
// of what no attempt waits for, and the connection on which a node gave an attempt up may be seen to close after the
// release has arrived. So releases are repeated for as long as such an attempt, or a read that was given up, may live.
package reservation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// ID names a state: a request, and which of its attempts was the read.
type ID struct {
	Request string
	Attempt int
}

// State is where a hold stands.
type State uint8

// The states of a hold.
const (
	None      State = iota // nothing is held, or is known any more
	Reserved               // an engine holds it, and no attempt is out that may take it
	Claimed                // an attempt that may take it is out
	Contested              // a release is due, though an attempt that may take it is out
	Releasing              // it is of no use: releases are due until none can be needed
)

// Event is what happens to a hold.
type Event uint8

// The inputs of a hold.
const (
	PrefillDone              Event = iota // an engine has said that it holds the state
	PrefillLost                           // a read ended without such a word, and may have left a state or still leave one
	AttemptSent                           // the first byte of an attempt that may take it is about to go out
	AttemptUnsent                         // that attempt ended, and its request never arrived whole
	AttemptRejected                       // an engine has answered it without taking the state
	AttemptAbandoned                      // that attempt ended in any other way: its engine may not know yet
	Consumed                              // an attempt has taken the state
	ConsumedBeforeHorizon                 // the same, and a read that was given up may still leave another one
	Unneeded                              // nobody will ask for it any more
	Expired                               // it has been kept for as long as it may be
	ReleaseAcknowledged                   // an engine has acknowledged a release
	ReleaseAcknowledgedEarly              // an engine has acknowledged one, and another one is needed later
	ReleaseAbandoned                      // no engine acknowledges
)

// dueChange is what a transition does to the times of a hold.
type dueChange uint8

const (
	dueUnchanged           dueChange = iota
	dueAfterKeepTime                 // it may be kept from the time of the event
	dueNow                           // a release is due
	dueAfterRepeatInterval           // a further release is due after a rest
)

type transition struct {
	from  []State
	event Event
	next  State
	due   dueChange
}

// transitions lists, for the states in the first column, what an input leads to. What fits no line changes nothing.
var transitions = []transition{
	{[]State{None}, PrefillDone, Reserved, dueAfterKeepTime},
	{[]State{None}, PrefillLost, Releasing, dueNow},

	{[]State{Reserved}, AttemptSent, Claimed, dueUnchanged},
	{[]State{Releasing}, AttemptSent, Contested, dueUnchanged},

	{[]State{Claimed}, AttemptUnsent, Reserved, dueUnchanged},
	{[]State{Claimed}, AttemptRejected, Reserved, dueAfterKeepTime},
	{[]State{Claimed}, AttemptAbandoned, Reserved, dueUnchanged},
	{[]State{Contested}, AttemptUnsent, Releasing, dueNow},
	{[]State{Contested}, AttemptRejected, Releasing, dueNow},
	{[]State{Contested}, AttemptAbandoned, Releasing, dueNow},

	{[]State{Reserved, Claimed, Contested}, Consumed, None, dueUnchanged},
	{[]State{Reserved, Claimed}, ConsumedBeforeHorizon, None, dueUnchanged},
	{[]State{Contested}, ConsumedBeforeHorizon, Releasing, dueAfterRepeatInterval},

	{[]State{Reserved}, Unneeded, Releasing, dueNow},
	{[]State{Reserved}, Expired, Releasing, dueNow},
	{[]State{Claimed}, Unneeded, Contested, dueNow},
	{[]State{Claimed}, Expired, Contested, dueNow},

	{[]State{Contested}, ReleaseAcknowledged, Contested, dueAfterRepeatInterval},
	{[]State{Contested}, ReleaseAcknowledgedEarly, Contested, dueAfterRepeatInterval},
	{[]State{Releasing}, ReleaseAcknowledged, None, dueUnchanged},
	{[]State{Releasing}, ReleaseAcknowledgedEarly, Releasing, dueAfterRepeatInterval},
	{[]State{Releasing, Contested}, ReleaseAbandoned, None, dueUnchanged},
}

// Limits are the times and numbers of a table, in nanoseconds.
type Limits struct {
	KeepTime        int64 // how long a state may wait to be taken, from the last time at which an attempt was out
	RepeatInterval  int64 // between two releases that were acknowledged
	RetryInterval   int64 // before the first releases that follow one which was not; later ones come at doubled distances
	AbandonAfter    int64 // how long releases are tried that nobody acknowledges
	MaxReservations int   // holds at once
	// Shared is whether a release lets go of all states of its request, whichever read made them.
	ReleasesWholeRequest bool
}

// Reservation is one state that an engine holds, or may hold.
type Reservation struct {
	ID         ID
	Engine     string
	State      State
	KnownSince int64 // when it came to be known
	DueAt      int64 // when a release is due next

	// Asked are the engines that the releases since the last acknowledgement went to.
	ReleaseTargets []string
	// Round counts the times at which releases became due anew. An acknowledgement of an earlier round's says nothing.
	Round int

	unclaimedSince      int64 // since when no attempt has been out that may take it, as far as is known
	attemptAbandoned    bool  // the attempt that was to take it was cut: whether it arrived is not known
	horizon             int64 // until when releases are repeated
	unacknowledgedSince int64 // since when releases have not been acknowledged; 0 where none is out
	unacknowledged      int   // releases since the last acknowledgement
	acknowledgements    int   // acknowledgements so far
}

// Acknowledged is whether an engine has acknowledged a release.
func (r *Reservation) Acknowledged() bool { return r.acknowledgements > 0 }

// UnclaimedSince is since when no attempt has been out that may take the state, as far as is known.
func (r *Reservation) UnclaimedSince() int64 { return r.unclaimedSince }

// Fingerprint writes all that later events may hang on, with times as they are from now.
func (r *Reservation) Fingerprint(now int64) string {
	unacknowledgedFor := int64(-1)
	if r.unacknowledgedSince > 0 {
		unacknowledgedFor = now - r.unacknowledgedSince
	}
	return fmt.Sprint(r.ID, r.Engine, r.State, r.DueAt-now, max(0, r.horizon-now), unacknowledgedFor, r.unacknowledged, r.acknowledgements, r.ReleaseTargets, r.attemptAbandoned)
}

// Table is all holds of a node.
type Table struct {
	limits    Limits
	byRequest map[string][]*Reservation // in order of their reads
	count     int
	// next is the earliest due time; it may have passed out of the table where stale is set.
	nextDue      int64
	nextDueStale bool
}

// New makes an empty table.
func New(b Limits) *Table {
	return &Table{limits: b, byRequest: map[string][]*Reservation{}, nextDue: Never}
}

// Find is the hold of an id; nil where nothing is known of one.
func (t *Table) Find(id ID) *Reservation {
	for _, r := range t.byRequest[id.Request] {
		if r.ID == id {
			return r
		}
	}
	return nil
}

// All lists all holds, in order of requests and reads.
func (t *Table) All() []*Reservation {
	all := make([]*Reservation, 0, t.count)
	for _, reservations := range t.byRequest {
		all = append(all, reservations...)
	}
	slices.SortFunc(all, func(a, b *Reservation) int {
		return cmp.Or(cmp.Compare(a.ID.Request, b.ID.Request), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
	})
	return all
}

// Never is the due time of an empty table.
const Never = int64(math.MaxInt64)

// NextDue is when the next hold is due.
func (t *Table) NextDue() int64 {
	if !t.nextDueStale {
		return t.nextDue
	}
	t.nextDue, t.nextDueStale = Never, false
	for _, reservations := range t.byRequest {
		for _, r := range reservations {
			t.nextDue = min(t.nextDue, r.DueAt)
		}
	}
	return t.nextDue
}

// DueBy lists the holds that are due, in order of requests and reads.
func (t *Table) DueBy(now int64) (due []*Reservation) {
	if now < t.NextDue() {
		return nil
	}
	for _, r := range t.All() {
		if r.DueAt <= now {
			due = append(due, r)
		}
	}
	return due
}

func (t *Table) setDue(r *Reservation, at int64) {
	t.nextDueStale = t.nextDueStale || r.DueAt == t.nextDue
	r.DueAt = at
	t.nextDue = min(t.nextDue, at)
}

// Count is how many holds there are.
func (t *Table) Count() int { return t.count }

// OldestSince is since when the oldest hold has been known; 0 where there is none.
func (t *Table) OldestSince() (since int64) {
	for _, reservations := range t.byRequest {
		for _, r := range reservations {
			if since == 0 || r.KnownSince < since {
				since = r.KnownSince
			}
		}
	}
	return since
}

// Add takes up the state of a read that has just ended, by ReadDone or ReadLost. Since is the earliest time at which
// the engine may have had it. Horizon is until when an attempt of the request that was given up may still act at its
// engine, 0 where there is none. It returns nil where the table is full of holds that no engine has acknowledged a
// release of.
func (t *Table) Add(id ID, engine string, event Event, now, since, horizon int64) *Reservation {
	if r := t.Find(id); r != nil {
		return r
	}
	if t.count >= t.limits.MaxReservations && !t.evictAcknowledged() {
		return nil
	}
	r := &Reservation{ID: id, Engine: engine, KnownSince: now, unclaimedSince: now}
	t.byRequest[id.Request] = append(t.byRequest[id.Request], r)
	t.count++
	t.handle(r, event, now, since, horizon)
	return r
}

// evictAcknowledged forgets a hold of which an engine has acknowledged a release, if there is one.
func (t *Table) evictAcknowledged() bool {
	for _, r := range t.All() {
		if r.State == Releasing && r.acknowledgements > 0 {
			r.State = None
			t.remove(r)
			return true
		}
	}
	return false
}

// HandleAttempt tells all holds of a request what became of an attempt that may take one of them, or that all are unwanted.
// It returns those whose due time has changed.
func (t *Table) HandleAttempt(request string, event Event, now, since, horizon int64) (changed []*Reservation) {
	for _, r := range slices.Clone(t.byRequest[request]) {
		if r.State == Releasing && !t.limits.ReleasesWholeRequest {
			continue // attempts name the state that they take, and it is not this one
		}
		before := r.DueAt
		t.handle(r, event, now, since, horizon)
		if r.State != None && r.DueAt != before {
			changed = append(changed, r)
		}
	}
	return changed
}

// Acknowledge notes that an engine has acknowledged a release of a round.
func (t *Table) Acknowledge(r *Reservation, round int, now int64) {
	if r.State == None || round != r.Round {
		return
	}
	r.acknowledgements++
	t.startRound(r)
	event := ReleaseAcknowledged
	if now < r.horizon {
		event = ReleaseAcknowledgedEarly
	}
	t.handle(r, event, now, now, 0)
}

func (t *Table) startRound(r *Reservation) {
	r.Round++
	r.unacknowledgedSince, r.unacknowledged, r.ReleaseTargets = 0, 0, nil
}

// Unreleased counts the holds that a node must not leave behind when it ends. Where releases are repeated, it is enough that
// two were acknowledged: what the attempts before did is over then, unless their engines hang.
func (t *Table) Unreleased() (n int) {
	const enough = 2
	for _, reservations := range t.byRequest {
		for _, r := range reservations {
			if r.State != Releasing || r.acknowledgements < enough {
				n++
			}
		}
	}
	return n
}

// Action is what a due hold asks for.
type Action uint8

// The actions.
const (
	NoAction Action = iota // its time has not come, or it waits for another state of its request
	Release                // a release is to be sent
	Abandon                // no engine acknowledges: it is forgotten
)

// HandleDue decides about a hold whose time may have come. Kept is the state in which it was kept for as long as it may be;
// None where its release was due already.
func (t *Table) HandleDue(r *Reservation, now int64) (action Action, expiredIn State) {
	if r.State == None || now < r.DueAt {
		return NoAction, None
	}
	switch {
	case r.State == Reserved && r.attemptAbandoned:
		expiredIn = Claimed // it is not known whether the attempt that was to take it has arrived
	case r.State == Reserved || r.State == Claimed:
		expiredIn = r.State
	}
	t.handle(r, Expired, now, now, 0)
	if usedUntil := t.usedUntil(r); t.limits.ReleasesWholeRequest && usedUntil > now {
		// A release would take the state that the request waits to use. The time of this one runs from the same moment.
		t.setDue(r, usedUntil)
		return NoAction, expiredIn
	}
	if r.unacknowledgedSince == 0 {
		r.unacknowledgedSince = now
	}
	if now-r.unacknowledgedSince > t.limits.AbandonAfter && now > r.horizon {
		t.handle(r, ReleaseAbandoned, now, now, 0)
		return Abandon, expiredIn
	}
	r.unacknowledged++
	t.setDue(r, now+t.backoff(r.unacknowledged))
	return Release, expiredIn
}

// steadyRetries is how many releases follow one another at the shortest distance: enough to ask a few engines, one of
// which runs, before a state is kept for too long.
const steadyRetries = 4

// backoff is how long the next release waits for an acknowledgement of this one.
func (t *Table) backoff(unacknowledged int) int64 {
	return min(t.limits.RetryInterval<<min(max(0, unacknowledged-steadyRetries), 16), max(t.limits.RepeatInterval/2, t.limits.RetryInterval))
}

// usedUntil is when the state of the same request that is still to be used will be released; 0 where there is none.
func (t *Table) usedUntil(r *Reservation) (due int64) {
	for _, other := range t.byRequest[r.ID.Request] {
		if other != r && (other.State == Reserved || other.State == Claimed) {
			due = max(due, other.DueAt)
		}
	}
	return due
}

func (t *Table) handle(r *Reservation, event Event, now, since, horizon int64) {
	r.horizon = max(r.horizon, horizon)
	if event == Consumed && now < r.horizon {
		event = ConsumedBeforeHorizon
	}
	i := slices.IndexFunc(transitions, func(candidate transition) bool {
		return candidate.event == event && slices.Contains(candidate.from, r.State)
	})
	if i < 0 {
		return
	}
	r.State = transitions[i].next
	switch event {
	case AttemptAbandoned:
		r.attemptAbandoned, r.unclaimedSince = true, now
	case AttemptRejected:
		r.attemptAbandoned, r.unclaimedSince = false, now
	}
	switch transitions[i].due {
	case dueAfterKeepTime:
		t.setDue(r, since+t.limits.KeepTime)
	case dueNow:
		t.setDue(r, now)
		t.startRound(r)
	case dueAfterRepeatInterval:
		t.setDue(r, now+t.limits.RepeatInterval)
	}
	if r.State == None {
		t.remove(r)
	}
}

func (t *Table) remove(r *Reservation) {
	request := r.ID.Request
	t.nextDueStale = t.nextDueStale || r.DueAt == t.nextDue
	t.byRequest[request] = slices.DeleteFunc(t.byRequest[request], func(other *Reservation) bool { return other == r })
	t.count--
	if len(t.byRequest[request]) == 0 {
		delete(t.byRequest, request)
	}
}

// abandonAfterLimits is for how many limits releases are tried that no engine acknowledges. A node may be cut off from all engines
// for some seconds, and owes the release once it is not; engines that never acknowledge must not be asked for good.
const abandonAfterLimits = 10

// LimitsFor are the bounds of a node that must have each state taken or released within limit.
func LimitsFor(limit time.Duration, releasesWholeRequest bool, maxReservations int) Limits {
	limitNanos := int64(limit)
	return Limits{
		// A quarter is left for the releases and for a process that is not run in time. The decision module lets go
		// sooner by itself, so that this is the last resort.
		KeepTime: limitNanos * 3 / 4,
		// A state that comes to be held just after a release has half the limit left at the next.
		RepeatInterval:       limitNanos / 2,
		RetryInterval:        max(int64(time.Millisecond), min(int64(50*time.Millisecond), limitNanos/16)),
		AbandonAfter:         abandonAfterLimits * limitNanos,
		MaxReservations:      maxReservations,
		ReleasesWholeRequest: releasesWholeRequest,
	}
}
