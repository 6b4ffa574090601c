package modelcheck

import "fmt"

// Action is what an event does, for callers that replay a path elsewhere.
type Action uint8

// The actions. OtherAction is one that has no counterpart outside the model checker.
const (
	OtherAction Action = iota
	TimePasses
	SendRequest
	RepeatRequest
	DisconnectClient
	DrainEngine
	RestartEngine
	EstablishConnection
	DeliverUnreadRest
	CompletePrefill
	TruncatePrefill
	OmitReservation
	SendFirstToken
	SendAnotherToken
	RepeatResponseHead
	CompleteStream
	EndStreamEarly
	RejectNoReservation
	RejectFull
	FailWithoutReason
	AnswerControlRequest
	LoseConnection
	BecomeUnresponsive
	BecomeResponsive
)

// responseTexts say what an engine does about a request.
var responseTexts = map[Action]string{
	CompletePrefill:      "completes",
	TruncatePrefill:      "completes, and half of its response arrives",
	OmitReservation:      "completes, and its response names no reservation",
	SendFirstToken:       "sends its first token",
	SendAnotherToken:     "sends another token",
	RepeatResponseHead:   "runs, and sends a second response head",
	CompleteStream:       "completes its stream",
	EndStreamEarly:       "ends without its last event",
	RejectNoReservation:  "finds no reservation",
	RejectFull:           "is rejected: full",
	FailWithoutReason:    "fails without a reason",
	AnswerControlRequest: "is answered",
	LoseConnection:       "is lost with its connection",
	BecomeUnresponsive:   "becomes unresponsive",
	BecomeResponsive:     "becomes responsive again",
}

// RequestKind is what a router asks of an engine.
type RequestKind uint8

// The kinds of request.
const (
	NoRequest RequestKind = iota
	PrefillRequest
	DecodeRequest
	ReleaseRequest
	HealthCheckRequest
)

// String names the kind in events.
func (k RequestKind) String() string {
	return [...]string{"none", "prefill", "decode", "release", "health check"}[k]
}

// Event is one thing that the adversary may do.
type Event struct {
	Name    string
	Action  Action
	Engine  string      // concerned, if any
	Request RequestKind // concerned, if any
	Client  int         // concerned, for actions of clients
	fault   FaultKind
	apply   func()
}

// eventList collects the events that are enabled in one state, in an order that depends on the state alone.
type eventList struct {
	world      World
	faultsUsed int
	events     []Event
}

// add appends an event, unless it is a fault that the adversary may not inject any more.
func (l *eventList) add(e Event) {
	if l.world.mayInject(e.fault, l.faultsUsed) {
		l.events = append(l.events, e)
	}
}

// addNamed appends an event that concerns nothing but its name.
func (l *eventList) addNamed(fault FaultKind, apply func(), format string, args ...any) {
	l.add(Event{Name: fmt.Sprintf(format, args...), fault: fault, apply: apply})
}
