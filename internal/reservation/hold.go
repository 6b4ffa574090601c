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
	Held                   // an engine holds it, and no attempt is out that may take it
	Claimed                // an attempt that may take it is out
	Contested              // a release is due, though an attempt that may take it is out
	Releasing              // it is of no use: releases are due until none can be needed
)

// Input is what happens to a hold.
type Input uint8

// The inputs of a hold.
const (
	ReadDone        Input = iota // an engine has said that it holds the state
	ReadLost                     // a read ended without such a word, and may have left a state or still leave one
	AttemptSent                  // the first byte of an attempt that may take it is about to go out
	AttemptUnsent                // that attempt ended, and its request never arrived whole
	AttemptRefused               // an engine has answered it without taking the state
	AttemptCut                   // that attempt ended in any other way: its engine may not know yet
	Taken                        // an attempt has taken the state
	TakenMeanwhile               // the same, and a read that was given up may still leave another one
	Unwanted                     // nobody will ask for it any more
	Overdue                      // it has been kept for as long as it may be
	Acknowledged                 // an engine has acknowledged a release
	ReleaseRepeated              // an engine has acknowledged one, and another one is needed later
	GivenUp                      // no engine acknowledges
)

// timing is what a transition does to the times of a hold.
type timing uint8

const (
	unchanged timing = iota
	kept             // it may be kept from the time of the event
	atOnce           // a release is due
	afterRest        // a further release is due after a rest
)

type transition struct {
	from   []State
	in     Input
	next   State
	timing timing
}

// transitions lists, for the states in the first column, what an input leads to. What fits no line changes nothing.
var transitions = []transition{
	{[]State{None}, ReadDone, Held, kept},
	{[]State{None}, ReadLost, Releasing, atOnce},

	{[]State{Held}, AttemptSent, Claimed, unchanged},
	{[]State{Releasing}, AttemptSent, Contested, unchanged},

	{[]State{Claimed}, AttemptUnsent, Held, unchanged},
	{[]State{Claimed}, AttemptRefused, Held, kept},
	{[]State{Claimed}, AttemptCut, Held, unchanged},
	{[]State{Contested}, AttemptUnsent, Releasing, atOnce},
	{[]State{Contested}, AttemptRefused, Releasing, atOnce},
	{[]State{Contested}, AttemptCut, Releasing, atOnce},

	{[]State{Held, Claimed, Contested}, Taken, None, unchanged},
	{[]State{Held, Claimed}, TakenMeanwhile, None, unchanged},
	{[]State{Contested}, TakenMeanwhile, Releasing, afterRest},

	{[]State{Held}, Unwanted, Releasing, atOnce},
	{[]State{Held}, Overdue, Releasing, atOnce},
	{[]State{Claimed}, Unwanted, Contested, atOnce},
	{[]State{Claimed}, Overdue, Contested, atOnce},

	{[]State{Contested}, Acknowledged, Contested, afterRest},
	{[]State{Contested}, ReleaseRepeated, Contested, afterRest},
	{[]State{Releasing}, Acknowledged, None, unchanged},
	{[]State{Releasing}, ReleaseRepeated, Releasing, afterRest},
	{[]State{Releasing, Contested}, GivenUp, None, unchanged},
}

// Bounds are the times and numbers of a table, in nanoseconds.
type Bounds struct {
	Keep   int64 // how long a state may wait to be taken, from the last time at which an attempt was out
	Rest   int64 // between two releases that were acknowledged
	Retry  int64 // before the first releases that follow one which was not; later ones come at doubled distances
	GiveUp int64 // how long releases are tried that nobody acknowledges
	Most   int   // holds at once
	// Shared is whether a release lets go of all states of its request, whichever read made them.
	Shared bool
}

// Hold is one state that an engine holds, or may hold.
type Hold struct {
	ID     ID
	Engine string
	State  State
	Since  int64 // when it came to be known
	Due    int64 // when a release is due next

	// Asked are the engines that the releases since the last acknowledgement went to.
	Asked []string
	// Round counts the times at which releases became due anew. An acknowledgement of an earlier round's says nothing.
	Round int

	free     int64 // since when no attempt has been out that may take it, as far as is known
	cut      bool  // the attempt that was to take it was cut: whether it arrived is not known
	horizon  int64 // until when releases are repeated
	pressing int64 // since when releases have not been acknowledged; 0 where none is out
	unheard  int   // releases since the last acknowledgement
	acks     int   // acknowledgements so far
}

// Acknowledged is whether an engine has acknowledged a release.
func (h *Hold) Acknowledged() bool { return h.acks > 0 }

// FreeSince is since when no attempt has been out that may take the state, as far as is known.
func (h *Hold) FreeSince() int64 { return h.free }

// Describe writes all that later events may hang on, with times as they are from now.
func (h *Hold) Describe(now int64) string {
	pressing := int64(-1)
	if h.pressing > 0 {
		pressing = now - h.pressing
	}
	return fmt.Sprint(h.ID, h.Engine, h.State, h.Due-now, max(0, h.horizon-now), pressing, h.unheard, h.acks, h.Asked, h.cut)
}

// Table is all holds of a node.
type Table struct {
	bounds   Bounds
	requests map[string][]*Hold // in order of their reads
	count    int
	// next is the earliest due time; it may have passed out of the table where stale is set.
	next  int64
	stale bool
}

// New makes an empty table.
func New(b Bounds) *Table { return &Table{bounds: b, requests: map[string][]*Hold{}, next: Never} }

// Find is the hold of an id; nil where nothing is known of one.
func (t *Table) Find(id ID) *Hold {
	for _, h := range t.requests[id.Request] {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// All lists all holds, in order of requests and reads.
func (t *Table) All() []*Hold {
	row := make([]*Hold, 0, t.count)
	for _, holds := range t.requests {
		row = append(row, holds...)
	}
	slices.SortFunc(row, func(a, b *Hold) int {
		return cmp.Or(cmp.Compare(a.ID.Request, b.ID.Request), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
	})
	return row
}

// Never is the due time of an empty table.
const Never = int64(math.MaxInt64)

// Next is when the next hold is due.
func (t *Table) Next() int64 {
	if !t.stale {
		return t.next
	}
	t.next, t.stale = Never, false
	for _, holds := range t.requests {
		for _, h := range holds {
			t.next = min(t.next, h.Due)
		}
	}
	return t.next
}

// DueBy lists the holds that are due, in order of requests and reads.
func (t *Table) DueBy(now int64) (row []*Hold) {
	if now < t.Next() {
		return nil
	}
	for _, h := range t.All() {
		if h.Due <= now {
			row = append(row, h)
		}
	}
	return row
}

func (t *Table) setDue(h *Hold, at int64) {
	t.stale = t.stale || h.Due == t.next
	h.Due = at
	t.next = min(t.next, at)
}

// Count is how many holds there are.
func (t *Table) Count() int { return t.count }

// Oldest is since when the oldest hold has been known; 0 where there is none.
func (t *Table) Oldest() (since int64) {
	for _, holds := range t.requests {
		for _, h := range holds {
			if since == 0 || h.Since < since {
				since = h.Since
			}
		}
	}
	return since
}

// Add takes up the state of a read that has just ended, by ReadDone or ReadLost. Since is the earliest time at which
// the engine may have had it. Horizon is until when an attempt of the request that was given up may still act at its
// engine, 0 where there is none. It returns nil where the table is full of holds that no engine has acknowledged a
// release of.
func (t *Table) Add(id ID, engine string, in Input, now, since, horizon int64) *Hold {
	if h := t.Find(id); h != nil {
		return h
	}
	if t.count >= t.bounds.Most && !t.makeRoom() {
		return nil
	}
	h := &Hold{ID: id, Engine: engine, Since: now, free: now}
	t.requests[id.Request] = append(t.requests[id.Request], h)
	t.count++
	t.happen(h, in, now, since, horizon)
	return h
}

// makeRoom forgets a hold of which an engine has acknowledged a release, if there is one.
func (t *Table) makeRoom() bool {
	for _, h := range t.All() {
		if h.State == Releasing && h.acks > 0 {
			h.State = None
			t.drop(h)
			return true
		}
	}
	return false
}

// Attempt tells all holds of a request what became of an attempt that may take one of them, or that all are unwanted.
// It returns those whose due time has changed.
func (t *Table) Attempt(request string, in Input, now, since, horizon int64) (changed []*Hold) {
	for _, h := range slices.Clone(t.requests[request]) {
		if h.State == Releasing && !t.bounds.Shared {
			continue // attempts name the state that they take, and it is not this one
		}
		before := h.Due
		t.happen(h, in, now, since, horizon)
		if h.State != None && h.Due != before {
			changed = append(changed, h)
		}
	}
	return changed
}

// Acknowledge notes that an engine has acknowledged a release of a round.
func (t *Table) Acknowledge(h *Hold, round int, now int64) {
	if h.State == None || round != h.Round {
		return
	}
	h.acks++
	t.newRound(h)
	in := Acknowledged
	if now < h.horizon {
		in = ReleaseRepeated
	}
	t.happen(h, in, now, now, 0)
}

func (t *Table) newRound(h *Hold) {
	h.Round++
	h.pressing, h.unheard, h.Asked = 0, 0, nil
}

// Owed counts the holds that a node must not leave behind when it ends. Where releases are repeated, it is enough that
// two were acknowledged: what the attempts before did is over then, unless their engines hang.
func (t *Table) Owed() (n int) {
	const enough = 2
	for _, holds := range t.requests {
		for _, h := range holds {
			if h.State != Releasing || h.acks < enough {
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
	Nothing Action = iota // its time has not come, or it waits for another state of its request
	Release               // a release is to be sent
	Abandon               // no engine acknowledges: it is forgotten
)

// Run decides about a hold whose time may have come. Kept is the state in which it was kept for as long as it may be;
// None where its release was due already.
func (t *Table) Run(h *Hold, now int64) (do Action, kept State) {
	if h.State == None || now < h.Due {
		return Nothing, None
	}
	switch {
	case h.State == Held && h.cut:
		kept = Claimed // it is not known whether the attempt that was to take it has arrived
	case h.State == Held || h.State == Claimed:
		kept = h.State
	}
	t.happen(h, Overdue, now, now, 0)
	if wanted := t.wanted(h); t.bounds.Shared && wanted > now {
		// A release would take the state that the request waits to use. The time of this one runs from the same moment.
		t.setDue(h, wanted)
		return Nothing, kept
	}
	if h.pressing == 0 {
		h.pressing = now
	}
	if now-h.pressing > t.bounds.GiveUp && now > h.horizon {
		t.happen(h, GivenUp, now, now, 0)
		return Abandon, kept
	}
	h.unheard++
	t.setDue(h, now+t.backoff(h.unheard))
	return Release, kept
}

// steadyRetries is how many releases follow one another at the shortest distance: enough to ask a few engines, one of
// which runs, before a state is kept for too long.
const steadyRetries = 4

// backoff is how long the next release waits for an acknowledgement of this one.
func (t *Table) backoff(unheard int) int64 {
	return min(t.bounds.Retry<<min(max(0, unheard-steadyRetries), 16), max(t.bounds.Rest/2, t.bounds.Retry))
}

// wanted is when the state of the same request that is still to be used will be released; 0 where there is none.
func (t *Table) wanted(h *Hold) (due int64) {
	for _, other := range t.requests[h.ID.Request] {
		if other != h && (other.State == Held || other.State == Claimed) {
			due = max(due, other.Due)
		}
	}
	return due
}

func (t *Table) happen(h *Hold, in Input, now, since, horizon int64) {
	h.horizon = max(h.horizon, horizon)
	if in == Taken && now < h.horizon {
		in = TakenMeanwhile
	}
	i := slices.IndexFunc(transitions, func(r transition) bool { return r.in == in && slices.Contains(r.from, h.State) })
	if i < 0 {
		return
	}
	h.State = transitions[i].next
	switch in {
	case AttemptCut:
		h.cut, h.free = true, now
	case AttemptRefused:
		h.cut, h.free = false, now
	}
	switch transitions[i].timing {
	case kept:
		t.setDue(h, since+t.bounds.Keep)
	case atOnce:
		t.setDue(h, now)
		t.newRound(h)
	case afterRest:
		t.setDue(h, now+t.bounds.Rest)
	}
	if h.State == None {
		t.drop(h)
	}
}

func (t *Table) drop(h *Hold) {
	request := h.ID.Request
	t.stale = t.stale || h.Due == t.next
	t.requests[request] = slices.DeleteFunc(t.requests[request], func(other *Hold) bool { return other == h })
	t.count--
	if len(t.requests[request]) == 0 {
		delete(t.requests, request)
	}
}

// giveUpLimits is for how many limits releases are tried that no engine acknowledges. A node may be cut off from all engines
// for some seconds, and owes the release once it is not; engines that never acknowledge must not be asked for good.
const giveUpLimits = 10

// BoundsFor are the bounds of a node that must have each state taken or released within limit.
func BoundsFor(limit time.Duration, shared bool, most int) Bounds {
	pin := int64(limit)
	return Bounds{
		// A quarter is left for the releases and for a process that is not run in time. The decision module lets go
		// sooner by itself, so that this is the last resort.
		Keep: pin * 3 / 4,
		// A state that comes to be held just after a release has half the limit left at the next.
		Rest:   pin / 2,
		Retry:  max(int64(time.Millisecond), min(int64(50*time.Millisecond), pin/16)),
		GiveUp: giveUpLimits * pin,
		Most:   most,
		Shared: shared,
	}
}
