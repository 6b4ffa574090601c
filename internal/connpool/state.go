package connpool

import (
	"fmt"
	"slices"
)

// State is the state of a connection. Connections that the other side has half-closed have no state of their own: the socket
// library closes a connection completely when the other side closes its half. That is the safe interpretation, as no more data
// can be read from such a connection.
type State uint8

// The states of a connection.
const (
	Absent State = iota
	Dialing
	Idle
	Busy
	HalfClosed // this side has ended its sending, and waits for the other side to end the connection
	Closed
)

var stateNames = [...]string{Absent: "absent", Dialing: "dialing", Idle: "idle", Busy: "busy", HalfClosed: "half-closed", Closed: "closed"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Event is an event on a connection.
type Event uint8

// The events of a connection.
const (
	Requested           Event = iota // a connection is needed, and no idle one is usable
	Dialed                           // the connection is open, and carries the request that it was dialed for
	DialFailed                       // the connection could not be opened
	Acquired                         // the connection was idle, and carries a request now
	Released                         // the response has been read completely, no unread bytes remain
	ReleasedAfterStream              // the same as Released, for a response that was a stream
	ReleasedDirty                    // the request on the connection ended in any other way
	SendingEnded                     // this side has ended its sending, as the request on the connection is abandoned
	Broken                           // the connection is lost
	IdleExpired                      // the connection has been idle or half-closed for longer than is allowed, or makes room
)

var eventNames = [...]string{
	Requested:           "requested",
	Dialed:              "dialed",
	DialFailed:          "dial failed",
	Acquired:            "acquired",
	Released:            "released",
	ReleasedAfterStream: "released after stream",
	ReleasedDirty:       "released dirty",
	SendingEnded:        "sending ended",
	Broken:              "broken",
	IdleExpired:         "idle expired",
}

// String returns the event's name.
func (e Event) String() string { return eventNames[e] }

// Action is the action that the socket of a connection requires.
type Action uint8

// The actions.
const (
	NoAction Action = iota
	Dial
	Close
)

var actionNames = [...]string{NoAction: "none", Dial: "dial", Close: "close"}

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// transition is one row of the state machine of a connection.
type transition struct {
	from   []State
	event  Event
	next   State
	action Action
}

var transitions = []transition{
	{[]State{Absent}, Requested, Dialing, Dial},
	{[]State{Dialing}, Dialed, Busy, NoAction},
	{[]State{Dialing}, DialFailed, Closed, Close},
	{[]State{Idle}, Acquired, Busy, NoAction},
	{[]State{Busy}, Released, Idle, NoAction},
	{[]State{Busy}, ReleasedAfterStream, Idle, NoAction},
	{[]State{Busy}, SendingEnded, HalfClosed, NoAction},
	{[]State{Idle, HalfClosed}, IdleExpired, Closed, Close},
	{[]State{Dialing, Busy, HalfClosed}, ReleasedDirty, Closed, Close},
	// A byte received on an idle connection belongs to no request: it is the rest of an earlier response.
	{[]State{Idle}, ReleasedDirty, Closed, Close},
	{[]State{Dialing, Idle, Busy, HalfClosed}, Broken, Closed, Close},
}

// findTransition returns the index of the transition of an event in a state; -1 if the event has no transition.
func findTransition(from State, event Event) int {
	return slices.IndexFunc(transitions, func(t transition) bool { return t.event == event && slices.Contains(t.from, from) })
}

// TransitionNames returns the names of the transitions in the order of the bits of Pool.FiredTransitions.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, t := range transitions {
		names[i] = fmt.Sprintf("connpool transition %d: states %v, event %v, next %v", i+1, t.from, t.event, t.next)
	}
	return names
}
