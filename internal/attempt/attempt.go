// Package attempt is the state machine of one attempt: what the events on its connection prove about it, namely
// whether it has not run, may have run or has run, whether it may leave a reservation behind, and what becomes of its
// connection. It does no I/O.
//
// To take an attempt that has run for one that has not makes an effect happen twice. So each transition with such an
// outcome states its proof; after all others the attempt may have run.
package attempt

import (
	"slices"
	"time"

	"sandcourse/internal/routing"
)

// Attempt is one attempt to have an engine serve a request. The zero value waits for its connection.
type Attempt struct {
	State              State
	FirstTokenReceived bool
}

// Result is what an event has led to.
type Result struct {
	Final               bool // the attempt has ended, and Verdict is its outcome
	Verdict             routing.Verdict
	ReservationMissing  bool // with the verdict Full: the engine did not find the reservation to fetch
	Connection          ConnectionDisposition
	MayLeaveReservation bool // a prefill engine may keep a reservation for it that has to be released
	FirstToken          bool // the event is the first token
	Transition          int  // the transition that fired, from 1; 0 for none
}

// Handle applies an event. An event that no transition takes changes nothing: an attempt has one outcome, whatever
// happens later.
func (a *Attempt) Handle(event Event) Result {
	i := slices.IndexFunc(transitions, func(t transition) bool { return t.event == event && slices.Contains(t.from, a.State) })
	if i < 0 {
		return Result{}
	}
	fired := &transitions[i]
	result := Result{
		Final:               fired.next == Ended,
		Verdict:             fired.verdict,
		ReservationMissing:  event == ReservationNotFound && fired.verdict == routing.Full,
		Connection:          fired.connection,
		MayLeaveReservation: fired.mayLeaveReservation,
		FirstToken:          fired.next == Streaming && a.State != Streaming,
		Transition:          i + 1,
	}
	a.FirstTokenReceived = a.FirstTokenReceived || result.FirstToken
	a.State = fired.next
	return result
}

// NeverRan reports whether a verdict proves that its attempt has not run.
func NeverRan(v routing.Verdict) bool {
	return v == routing.Full || v == routing.NotConnected || v == routing.NotSent
}

// Stalled reports whether an attempt in this state that has received nothing for the time idle counts as stalled.
func Stalled(state State, idle, stall time.Duration) bool { return state == Streaming && idle > stall }
