package modelcheck

import "fmt"

// Action identifies what an event does, for callers that replay a path outside the model checker.
type Action uint8

// The actions. OtherAction marks an event that cannot be replayed outside the model checker.
const (
	OtherAction Action = iota
	TimePasses
	SendRequest
	RepeatRequest
	DisconnectClient
	DrainEngine
	RestartEngine
	EstablishConnection
	DeliverUnreadBytes
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

// actionDescriptions are the parts of event names that describe the progress of a request at an engine.
var actionDescriptions = map[Action]string{
	CompletePrefill:      "completes",
	TruncatePrefill:      "completes, and its response is truncated",
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

// RequestKind is the kind of a request that a router sends to an engine.
type RequestKind uint8

// The kinds of request.
const (
	NoRequest RequestKind = iota
	PrefillRequest
	DecodeRequest
	ReleaseRequest
	HealthCheckRequest
)

// String returns the name of the kind as it appears in event names. Fingerprints of states contain it.
func (k RequestKind) String() string {
	return [...]string{"none", "prefill", "decode", "release", "health check"}[k]
}

// Event is one step that the adversary may take.
type Event struct {
	Name    string
	Action  Action
	Engine  string      // name of the engine that the event concerns, if any
	Request RequestKind // kind of the request that the event concerns, if any
	Client  int         // number of the client, for actions of clients
	fault   FaultKind
	apply   func()
}

// eventList collects the events that are enabled in one state, in an order that depends only on the state.
type eventList struct {
	world          World
	faultsInjected int
	events         []Event
}

// add appends an event, unless the event is a fault that the world does not permit or that exceeds its number of faults.
func (l *eventList) add(e Event) {
	if l.world.mayInject(e.fault, l.faultsInjected) {
		l.events = append(l.events, e)
	}
}

// addNamed appends an event that has only a name: no action, engine, request or client.
func (l *eventList) addNamed(fault FaultKind, apply func(), format string, args ...any) {
	l.add(Event{Name: fmt.Sprintf(format, args...), fault: fault, apply: apply})
}
