// Package attempt implements the state machine of one attempt. From the events on the attempt's connection it derives
// whether the attempt has not run, may have run or has run, whether it may leave a reservation behind, and whether its
// connection can be reused. The package does no I/O.
//
// The effect of a request could happen twice if an attempt that has run were treated as one that has not. So each
// transition to the outcome that an attempt has not run states the proof; after all other outcomes it may have run.
package attempt

import (
	"slices"

	"sandcourse/internal/routing"
)

// Attempt is the state of one attempt at an engine. The zero value waits for its connection.
type Attempt struct {
	State              State
	FirstTokenReceived bool
}

// Result describes the consequences of an event.
type Result struct {
	Final               bool // the attempt has ended, and Verdict is its outcome
	Verdict             routing.Verdict
	ReservationMissing  bool // if the verdict is Full: the engine did not find the reservation to fetch
	Connection          ConnectionDisposition
	MayLeaveReservation bool // a prefill engine may hold a reservation for the attempt, which has to be released
	FirstToken          bool // the event is the first token
	Transition          int  // number of the transition that fired, from 1; 0 if none fired
}

// Handle applies an event. An event without a transition from the current state changes nothing. In particular, later events
// do not change the outcome of an attempt.
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
