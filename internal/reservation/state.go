package reservation

// State is where a reservation stands, as far as this router knows.
type State uint8

// The states of a reservation.
const (
	None      State = iota // there is none, or none that is known any more
	Reserved               // an engine holds it, and no attempt that may consume it is in flight
	Claimed                // an attempt that may consume it is in flight
	Contested              // a release is due, though an attempt that may consume it is in flight
	Releasing              // it is not needed: releases are due until no further one can be needed
)

var stateNames = [...]string{None: "none", Reserved: "reserved", Claimed: "claimed", Contested: "contested", Releasing: "releasing"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Event is what happens to a reservation.
type Event uint8

// The events of a reservation.
const (
	PrefillDone              Event = iota // an engine has reported that it holds the reservation
	PrefillLost                           // a prefill ended without such a report, and may have left a reservation or still leave one
	AttemptSent                           // the first byte of an attempt that may consume it is about to be written
	AttemptUnsent                         // that attempt ended, and its request never arrived completely
	AttemptRejected                       // an engine has answered that attempt without consuming the reservation
	AttemptAbandoned                      // that attempt ended in any other way: its engine may not have noticed yet
	Consumed                              // an attempt has consumed the reservation
	ConsumedBeforeHorizon                 // the same, and an abandoned prefill may still leave another reservation
	Unneeded                              // the request does not need it any more
	Expired                               // it has been kept for as long as it may be
	ReleaseAcknowledged                   // an engine has acknowledged a release
	ReleaseAcknowledgedEarly              // an engine has acknowledged a release, and a later one is needed
	ReleaseAbandoned                      // no engine has acknowledged a release in time
)

var eventNames = [...]string{
	PrefillDone:              "prefill done",
	PrefillLost:              "prefill lost",
	AttemptSent:              "attempt sent",
	AttemptUnsent:            "attempt unsent",
	AttemptRejected:          "attempt rejected",
	AttemptAbandoned:         "attempt abandoned",
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

// Action is what the router has to do about a reservation that is due.
type Action uint8

// The actions.
const (
	NoAction Action = iota // it is not due, or it waits for another reservation of its request
	Release                // send a release
	Abandon                // no engine acknowledges releases: nothing more can be done
)

var actionNames = [...]string{NoAction: "none", Release: "release", Abandon: "abandon"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }
