package reservation

// State is the state of a reservation as far as this router knows it.
type State uint8

// The states of a reservation.
const (
	None      State = iota // no reservation is known to exist
	Reserved               // an engine holds the reservation, and no attempt that may consume it is in flight
	Claimed                // an attempt that may consume the reservation is in flight
	Contested              // a release is due although an attempt that may consume the reservation is in flight
	Releasing              // the reservation is not needed: releases are repeated until no further one can be necessary
)

var stateNames = [...]string{None: "none", Reserved: "reserved", Claimed: "claimed", Contested: "contested", Releasing: "releasing"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Event is an input of a reservation's state machine.
type Event uint8

// The events of a reservation.
const (
	PrefillDone              Event = iota // an engine has reported that it holds the reservation
	PrefillLost                           // a prefill ended without reporting a reservation, but may leave one
	AttemptSent                           // the first byte of an attempt that may consume the reservation is about to be written
	AttemptUnsent                         // the sent attempt ended, and its request never arrived completely
	AttemptRejected                       // an engine has answered the sent attempt without consuming the reservation
	AttemptAbandoned                      // the sent attempt ended in any other way: its engine may not have noticed yet
	AttemptsEnded                         // the connections of all abandoned attempts have ended
	Consumed                              // an attempt has consumed the reservation
	ConsumedBeforeHorizon                 // the same as Consumed, but an abandoned prefill may still leave another reservation
	Unneeded                              // the request no longer needs the reservation
	Expired                               // the keep time of the reservation has passed
	ReleaseAcknowledged                   // an engine has acknowledged a release
	ReleaseAcknowledgedEarly              // an engine has acknowledged a release, and a later release is necessary
	ReleaseAbandoned                      // no engine has acknowledged a release in time
)

var eventNames = [...]string{
	PrefillDone:              "prefill done",
	PrefillLost:              "prefill lost",
	AttemptSent:              "attempt sent",
	AttemptUnsent:            "attempt unsent",
	AttemptRejected:          "attempt rejected",
	AttemptAbandoned:         "attempt abandoned",
	AttemptsEnded:            "attempts ended",
	Consumed:                 "consumed",
	ConsumedBeforeHorizon:    "consumed before horizon",
	Unneeded:                 "unneeded",
	Expired:                  "expired",
	ReleaseAcknowledged:      "release acknowledged",
	ReleaseAcknowledgedEarly: "release acknowledged early",
	ReleaseAbandoned:         "release abandoned",
}

// String returns the event's name.
func (e Event) String() string { return eventNames[e] }

// Action is the action that a due reservation requires of the router.
type Action uint8

// The actions.
const (
	NoAction Action = iota // the reservation is not due, or waits for another reservation of its request
	Release                // a release must be sent
	Abandon                // the reservation must be abandoned, as no engine acknowledges releases
)

var actionNames = [...]string{NoAction: "none", Release: "release", Abandon: "abandon"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }
