package routing

import (
	"cmp"
	"slices"
	"time"
)

// request is this node's record of one request that it has accepted.
type request struct {
	RequestArrived
	state                state
	lastTrigger          trigger // the last trigger that fired a transition
	arrivedAt            time.Duration
	prefillEngine        string
	decodeEngine         string
	attempts             []attempt
	reservationIdleSince time.Duration // start of the time during which no attempt has used the reservation
	retryScheduled       bool
	awaitedEngines       []string // engines whose health checks the request waits for
	timers               []int64  // tokens of all timers that were started for the request
}

// attempt is one send of a request to an engine.
type attempt struct {
	engine         string
	sentAt         time.Duration
	decode         bool
	inFlight       bool
	neverRan       bool
	prefilled      bool // the attempt ended with a reservation
	streaming      bool
	queuedWork     float64 // reported load of the engine at the send, plus one for the attempt itself; 0 if unknown
	laterResponses int     // number of later attempts that the engine has answered
	canceled       bool
}

// state is the state of a request.
type state uint8

// The states of a request.
const (
	pending      state = iota // the request has no attempt in flight and no reservation
	checkingLoad              // the request waits for load reports
	prefilling                // a prefill is in flight
	reserved                  // a prefill engine holds a reservation, and no attempt is in flight
	decoding                  // a decode is in flight
	streaming                 // the client receives the answer
	ended                     // the request is answered, or the client has disconnected
)

// stateNames holds the names of the states, for output.
var stateNames = [...]string{pending: "pending", checkingLoad: "checking load", prefilling: "prefilling",
	reserved: "reserved", decoding: "decoding", streaming: "streaming", ended: "ended"}

func (s state) String() string { return stateNames[s] }

var (
	openStates = []state{pending, checkingLoad, prefilling, reserved, decoding}
	allStates  = append(openStates[:len(openStates):len(openStates)], streaming, ended)
)

// trigger is an input of a request's state machine.
type trigger uint8

// The triggers of a request.
const (
	noTrigger             trigger = iota
	arrived                       // this node has accepted the request
	loadKnown                     // load reports have arrived, or the wait for them has timed out
	retryDue                      // the delay of a retry is over
	deadlineNear                  // the deadline is about to pass
	clientDisconnected            // the client has disconnected
	prefillDone                   // a prefill engine holds a reservation for the request
	prefillFailed                 // a prefill ended without a reservation
	decodeNotStarted              // a decode has provably not run, and the reservation still exists
	reservationLost               // a decode has provably not run, and the reservation is lost
	mayHaveRun                    // a decode ended and may have run
	firstToken                    // the answer has begun to stream
	finished                      // the client has its final answer, or the stream broke
	prefillChosen                 // a prefill engine is chosen
	noPrefillEngine               // the request may be sent to no prefill engine now
	noDecodeEngine                // the request may be sent to no decode engine now
	attemptsExhausted             // no further attempt is allowed
	admitted                      // the request can be answered in time
	cannotMeetObjective           // the request cannot be answered in time
	responseOverdue               // the attempt has been in flight for its response timeout
	engineUnresponsive            // the engine of the attempt does not answer a health check either
	passedByLaterResponse         // the engine of the attempt has answered later ones
	objectiveMissed               // the objective has passed before the prefill ended
)

// triggerNames holds the names of the triggers, for output.
var triggerNames = [...]string{noTrigger: "none", arrived: "arrived", loadKnown: "load known", retryDue: "retry due",
	deadlineNear: "deadline near", clientDisconnected: "client disconnected", prefillDone: "prefill done",
	prefillFailed: "prefill failed", decodeNotStarted: "decode not started", reservationLost: "reservation lost",
	mayHaveRun: "may have run", firstToken: "first token", finished: "finished", prefillChosen: "prefill engine chosen",
	noPrefillEngine: "no prefill engine", noDecodeEngine: "no decode engine", attemptsExhausted: "attempts exhausted",
	admitted: "admitted", cannotMeetObjective: "cannot meet objective", responseOverdue: "response overdue",
	engineUnresponsive: "engine unresponsive", passedByLaterResponse: "passed by later response",
	objectiveMissed: "objective missed"}

func (t trigger) String() string { return triggerNames[t] }

// hasAttemptInFlight reports whether an attempt is in flight.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// lastAttempt returns the last attempt; nil if the request has no attempt.
func (r *request) lastAttempt() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return &r.attempts[len(r.attempts)-1]
}

// hasFailedOn reports whether an attempt at an engine ended without a reservation, or has not ended.
func (r *request) hasFailedOn(e *engine) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.engine == e.Engine && !a.prefilled })
}

// removeAwaitedEngine removes an engine from those that the request waits for, and reports whether it was the last.
func (r *request) removeAwaitedEngine(engine string) bool {
	i := slices.Index(r.awaitedEngines, engine)
	if i >= 0 {
		r.awaitedEngines = slices.Delete(r.awaitedEngines, i, i+1)
	}
	return i >= 0 && len(r.awaitedEngines) == 0
}

// updateAwaiting records whether a request waits for health checks.
func (p *Policy) updateAwaiting(req *request) {
	if len(req.awaitedEngines) > 0 {
		p.awaiting[req.RequestID] = req
	} else {
		delete(p.awaiting, req.RequestID)
	}
}

// takeUnblockedRequests returns the requests that waited only for the health check of an engine, in the order of their IDs,
// and records that they no longer wait.
func (p *Policy) takeUnblockedRequests(engine string) (found []*request) {
	for _, req := range p.awaiting {
		if req.removeAwaitedEngine(engine) {
			found = append(found, req)
		}
	}
	for _, req := range found {
		p.updateAwaiting(req)
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}

// reservationWaits returns how long each reservation has waited for a decode engine.
func (p *Policy) reservationWaits() (waits []time.Duration) {
	for _, req := range p.reserved {
		waits = append(waits, p.now-req.reservationIdleSince)
	}
	return waits
}

// transition is one row of the table: in one of the states from, one of the triggers leads to the state next and runs the
// function, if the row has one.
type transition struct {
	from     []state
	triggers []trigger
	next     state
	run      func(*Policy, *request) trigger
}

func states(s ...state) []state { return s }

func triggers(t ...trigger) []trigger { return t }

// firstTokenObjective returns the latency objective of a request, in nanoseconds.
func (p *Policy) firstTokenObjective(req *request) float64 {
	route := p.route(req)
	return float64(route.FirstTokenObjective) + float64(route.ObjectivePer1000Tokens)*req.PromptTokens/1000
}

// relativeWeight returns the priority weight of a request's route, relative to the highest of all routes.
func (p *Policy) relativeWeight(req *request) float64 {
	highest := 1e-9
	for _, route := range p.config.Routes {
		highest = max(highest, route.PriorityWeight)
	}
	return p.route(req).PriorityWeight / highest
}

// isUnanswered reports whether an attempt is in flight and its engine has not responded to anything since the send.
func (p *Policy) isUnanswered(att *attempt) bool {
	e := p.engines[att.engine]
	return att.inFlight && !att.streaming && e != nil && max(e.healthyAt, e.reportedAt) < att.sentAt
}
