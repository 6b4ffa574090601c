package reservation

import "slices"

// dueChange is the effect of a transition on the time at which a reservation is due.
type dueChange uint8

const (
	dueUnchanged           dueChange = iota
	dueAfterKeepTime                 // the keep time starts at the time of the event
	dueNow                           // a release is due
	dueAfterRepeatInterval           // a further release is due after the repeat interval
)

// transition is one row of the state machine of a reservation.
type transition struct {
	from  []State
	event Event
	next  State
	due   dueChange
}

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

	// A release after this event meets no attempt, so it is the last one once it is acknowledged.
	{[]State{Releasing}, AttemptsEnded, Releasing, dueNow},

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

// findTransition returns the transition that an event causes in a state; nil if it causes none.
func findTransition(from State, event Event) *transition {
	i := slices.IndexFunc(transitions, func(t transition) bool { return t.event == event && slices.Contains(t.from, from) })
	if i < 0 {
		return nil
	}
	return &transitions[i]
}
