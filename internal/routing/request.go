package routing

import (
	"cmp"
	"slices"
	"time"
)

// request is one request that this node has accepted.
type request struct {
	RequestArrived
	state          state
	lastTrigger    trigger // that a transition took
	arrivedAt      time.Duration
	prefillEngine  string
	decodeEngine   string
	attempts       []attempt
	idleSince      time.Duration // when the last outcome came, or the prefill ended
	retryScheduled bool
	awaitedEngines []string // engines whose health checks it waits for
	timers         []int64  // tokens of all that were started for it
}

// attempt is one send of a request to an engine.
type attempt struct {
	engine         string
	sentAt         time.Duration
	decode         bool
	inFlight       bool
	neverRan       bool
	prefilled      bool // it ended with a reservation
	streaming      bool
	queuedWork     float64 // reported load of the engine when it was sent, itself counted as one; 0 if unknown
	laterResponses int     // how many later attempts the engine has answered
	canceled       bool
}

// state is the state of a request.
type state uint8

// The states of a request.
const (
	pending      state = iota // no attempt in flight, no reservation
	checkingLoad              // it waits for load reports
	prefilling                // a prefill is in flight
	reserved                  // a prefill engine holds its reservation, no attempt in flight
	decoding                  // a decode is in flight
	streaming                 // the client receives the answer
	ended                     // it is answered, or its client has disconnected
)

// stateNames are for people.
var stateNames = [...]string{pending: "pending", checkingLoad: "checking load", prefilling: "prefilling",
	reserved: "reserved", decoding: "decoding", streaming: "streaming", ended: "ended"}

func (s state) String() string { return stateNames[s] }

var (
	openStates = []state{pending, checkingLoad, prefilling, reserved, decoding}
	allStates  = append(openStates[:len(openStates):len(openStates)], streaming, ended)
)

// trigger is what makes a request change its state.
type trigger uint8

// The triggers of a request.
const (
	noTrigger             trigger = iota
	arrived                       // this node has accepted it
	loadKnown                     // load reports have come, or were waited for long enough
	retryDue                      // the delay of a retry is over
	deadlineNear                  // the deadline is about to pass
	clientDisconnected            // its client is gone
	prefillDone                   // a prefill engine holds its reservation
	prefillFailed                 // a prefill ended without a reservation
	decodeNotStarted              // a decode surely never ran, the reservation is still there
	reservationLost               // a decode surely never ran, the reservation is gone
	mayHaveRun                    // a decode ended and may have run
	firstToken                    // the answer has begun to stream
	finished                      // the client has its final answer, or the stream broke
	prefillChosen                 // a prefill engine is chosen
	noPrefillEngine               // no prefill engine may be sent to now
	noDecodeEngine                // no decode engine may be sent to now
	attemptsExhausted             // no further attempt is allowed
	admitted                      // it can be answered in time
	cannotMeetObjective           // it cannot be answered in time
	responseOverdue               // its attempt has been in flight for a while
	engineUnresponsive            // its engine does not answer a health check either
	passedByLaterResponse         // its engine has answered later attempts
	objectiveMissed               // its objective has passed before it was prefilled
)

// triggerNames are for people.
var triggerNames = [...]string{noTrigger: "none", arrived: "arrived", loadKnown: "load known", retryDue: "retry due",
	deadlineNear: "deadline near", clientDisconnected: "client disconnected", prefillDone: "prefill done",
	prefillFailed: "prefill failed", decodeNotStarted: "decode not started", reservationLost: "reservation lost",
	mayHaveRun: "may have run", firstToken: "first token", finished: "finished", prefillChosen: "prefill engine chosen",
	noPrefillEngine: "no prefill engine", noDecodeEngine: "no decode engine", attemptsExhausted: "attempts exhausted",
	admitted: "admitted", cannotMeetObjective: "cannot meet objective", responseOverdue: "response overdue",
	engineUnresponsive: "engine unresponsive", passedByLaterResponse: "passed by later response",
	objectiveMissed: "objective missed"}

func (t trigger) String() string { return triggerNames[t] }

// inFlight is whether an attempt is in flight.
func (r *request) inFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// last is the last attempt; nil if there is none.
func (r *request) last() *attempt {
	if len(r.attempts) == 0 {
		return nil
	}
	return &r.attempts[len(r.attempts)-1]
}

// failedOn is whether an attempt at an engine ended with nothing, or has not ended.
func (r *request) failedOn(e *engine) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.engine == e.Engine && !a.prefilled })
}

// checkAnswered takes an engine off those that the request waits for, and returns whether it was the last.
func (r *request) checkAnswered(engine string) bool {
	i := slices.Index(r.awaitedEngines, engine)
	if i >= 0 {
		r.awaitedEngines = slices.Delete(r.awaitedEngines, i, i+1)
	}
	return i >= 0 && len(r.awaitedEngines) == 0
}

// noteAwaiting notes whether a request waits for health checks.
func (p *Policy) noteAwaiting(req *request) {
	if len(req.awaitedEngines) > 0 {
		p.awaiting[req.RequestID] = req
	} else {
		delete(p.awaiting, req.RequestID)
	}
}

// checkAnswered are the requests for which the health check of an engine was the last that they waited for, in order of
// their IDs.
func (p *Policy) checkAnswered(engine string) (found []*request) {
	for _, req := range p.awaiting {
		if req.checkAnswered(engine) {
			found = append(found, req)
		}
	}
	for _, req := range found {
		p.noteAwaiting(req)
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}

// reservationWaits is for how long each reservation has waited for a decode engine.
func (p *Policy) reservationWaits() (waits []time.Duration) {
	for _, req := range p.reserved {
		waits = append(waits, p.now-req.idleSince)
	}
	return waits
}

// transition is one line of the table: in one of these states, one of these triggers leads to the next state
// and runs the function, if there is one.
type transition struct {
	from     []state
	triggers []trigger
	next     state
	run      func(*Policy, *request) trigger
}

func states(s ...state) []state { return s }

func triggers(t ...trigger) []trigger { return t }

// firstTokenObjective is the latency objective in nanoseconds.
func (p *Policy) firstTokenObjective(req *request) float64 {
	route := p.route(req)
	return float64(route.FirstTokenObjective) + float64(route.ObjectivePer1000Tokens)*req.PromptTokens/1000
}

// weightShare is a route's priority weight over that of the highest.
func (p *Policy) weightShare(req *request) float64 {
	most := 1e-9
	for _, route := range p.config.Routes {
		most = max(most, route.PriorityWeight)
	}
	return p.route(req).PriorityWeight / most
}

// unanswered is whether an attempt is in flight and nothing came from its engine since it was sent.
func (p *Policy) unanswered(att *attempt) bool {
	e := p.engines[att.engine]
	return att.inFlight && !att.streaming && e != nil && max(e.healthyAt, e.reportedAt) < att.sentAt
}
