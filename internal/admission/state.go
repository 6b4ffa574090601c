package admission

import "slices"

// State is the state of a client's connection.
type State uint8

// The states of a client's connection.
const (
	Idle          State = iota
	ReadingHeader       // the first bytes of a header have arrived
	ReadingBody         // the header is complete, the body is not
	Serving             // a request is complete and not answered yet
	Closing             // the last response is written, the connection will be closed
	Terminated
)

var stateNames = [...]string{
	Idle:          "idle",
	ReadingHeader: "reading header",
	ReadingBody:   "reading body",
	Serving:       "serving",
	Closing:       "closing",
	Terminated:    "terminated",
}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Event is an event on a client's connection.
type Event uint8

// The events of a client's connection.
const (
	HeaderStarted Event = iota
	HeaderComplete
	RequestComplete
	AllAnswered    // all requests on the connection are answered
	CloseRequested // no further request is accepted on the connection
	ConnectionClosed
)

var eventNames = [...]string{
	HeaderStarted:    "header started",
	HeaderComplete:   "header complete",
	RequestComplete:  "request complete",
	AllAnswered:      "all answered",
	CloseRequested:   "close requested",
	ConnectionClosed: "connection closed",
}

// String returns the event's name.
func (e Event) String() string { return eventNames[e] }

// transition is one row of the state machine of a client's connection.
type transition struct {
	from  []State
	event Event
	next  State
}

var transitions = []transition{
	{[]State{Idle}, HeaderStarted, ReadingHeader},
	{[]State{Idle, ReadingHeader}, HeaderComplete, ReadingBody},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving}, RequestComplete, Serving},
	{[]State{Serving}, AllAnswered, Idle},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving}, CloseRequested, Closing},
	{[]State{Idle, ReadingHeader, ReadingBody, Serving, Closing}, ConnectionClosed, Terminated},
}

// findTransition returns the transition of an event in a state; nil if the event has no transition.
func findTransition(from State, event Event) *transition {
	i := slices.IndexFunc(transitions, func(t transition) bool { return t.event == event && slices.Contains(t.from, from) })
	if i < 0 {
		return nil
	}
	return &transitions[i]
}
