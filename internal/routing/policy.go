// Package routing decides where requests are prefilled and decoded, when they are retried, and when they are
// shed. Events and the time go in through Step, actions come out. It knows no wire format and reads no clock.
// It does no I/O.
//
// All times are durations since the start of the caller's clock.
package routing

import "time"

// Policy is all that one node knows, and decides by. It is not safe for concurrent use.
type Policy struct {
	config    *Config
	now       time.Duration
	startedAt time.Duration
	started   bool
	actions   []Action // of the current step

	engines        map[string]*engine
	ordered        []*engine   // all, by ID
	prefillEngines engineGroup // those that are ready and can prefill
	decodeEngines  engineGroup // those that are ready and can decode
	updates        uint64      // of the endpoint list
	reordered      bool        // engines have come or gone since ordered was renewed

	requests   map[int64]*request
	reserved   map[int64]*request // those in state reserved
	awaiting   map[int64]*request // those that wait for health checks
	timers     timerTable
	cache      prefixCache
	affinities affinityTable
	random     randomSource
	rotation   int // of round robin; 0 until its random start is drawn

	recentPrefixes       []string        // of the last requests
	recentLatencyPerWork []time.Duration // of the last prefills: by the queued work reported before, and themselves as one
	quickLatencyPerWork  time.Duration   // the lower quartile of these
	expectedOverruns     []sample        // of the last requests: expected latency over a quarter of the objective
	firstTokenOverruns   []sample        // of the last first tokens: latency over the objective

	slowStartRates   slowStartRates
	usualWorkLatency workLatency // of the current step
	firedTransitions uint64      // a bit for each
}

// New returns the policy of one node that has just started.
func New(seed uint64, config Config) *Policy {
	return &Policy{config: &config, engines: map[string]*engine{}, requests: map[int64]*request{},
		reserved: map[int64]*request{}, awaiting: map[int64]*request{},
		timers: timerTable{pending: map[int64]timer{}}, cache: newPrefixCache(),
		affinities: affinityTable{}, random: newRandomSource(seed)}
}

// Step handles one event at the time now and returns what is to be done, in order.
func (p *Policy) Step(now time.Duration, event Event) []Action {
	p.now, p.actions = now, nil
	p.usualWorkLatency.known = false
	p.handle(event)
	p.usualWorkLatency.known = false
	return p.actions
}

// handle hands an event to the decisions.
func (p *Policy) handle(event Event) {
	if !p.started {
		p.started, p.startedAt = true, p.now
		p.watchEndpoints()
	}
	switch event := event.(type) {
	case EndpointUpdate:
		p.handleEndpoints(event)
	case RequestArrived:
		p.handleArrival(event)
	case FirstToken:
		if req := p.requests[event.RequestID]; req != nil && event.Attempt >= 0 && event.Attempt < len(req.attempts) {
			p.handleFirstToken(req, event)
		}
	case GossipReceived:
		p.handleGossip(event.Text)
	case Outcome:
		p.handleOutcome(event)
	case HealthCheckResult:
		p.handleHealthCheck(event)
	case ClientDisconnected:
		if req := p.requests[event.RequestID]; req != nil {
			p.fire(req, clientDisconnected)
			p.forgetIfDone(req)
		}
	case TimerFired:
		p.handleTimer(event.Token)
	}
}

// handleTimer continues what a timer was started for.
func (p *Policy) handleTimer(token int64) {
	t, ok := p.timers.take(token)
	if !ok {
		return
	}
	if t.requestID == noRequest {
		p.watchEndpoints()
		return
	}
	req := p.requests[t.requestID]
	if req == nil {
		return
	}
	if t.trigger == retryDue {
		req.retryScheduled = false
	}
	p.fire(req, t.trigger)
	p.forgetIfDone(req)
}

// act adds an action to those of the current step.
func (p *Policy) act(action Action) { p.actions = append(p.actions, action) }

// startTimer asks for a trigger of a request after a while.
func (p *Policy) startTimer(requestID int64, trigger trigger, after time.Duration) {
	token := p.timers.add(timer{requestID, trigger})
	if req := p.requests[requestID]; req != nil {
		req.timers = append(req.timers, token)
	}
	p.act(StartTimer{token, after})
}

// route is the configuration of a request's route.
func (p *Policy) route(req *request) Route { return p.config.route(req.Route) }

// forgetIfDone drops a request that has ended and has no attempt in flight, and its timers: they may be due much
// later.
func (p *Policy) forgetIfDone(req *request) {
	if req.state != ended || req.inFlight() {
		return
	}
	delete(p.requests, req.RequestID)
	delete(p.awaiting, req.RequestID)
	for _, token := range req.timers {
		delete(p.timers.pending, token)
	}
}

// noRequest stands for a request in timers that belong to none.
const noRequest = -1

// timer is what a token stands for.
type timer struct {
	requestID int64
	trigger   trigger
}

// timerTable holds the timers that have not fired, by token.
type timerTable struct {
	pending   map[int64]timer
	lastToken int64
}

// add returns the token of a new timer.
func (t *timerTable) add(entry timer) int64 {
	t.lastToken++
	t.pending[t.lastToken] = entry
	return t.lastToken
}

// take removes a timer that has fired.
func (t *timerTable) take(token int64) (timer, bool) {
	entry, ok := t.pending[token]
	delete(t.pending, token)
	return entry, ok
}

// handleArrival starts the timers of a new request and its first transition.
func (p *Policy) handleArrival(arrival RequestArrived) {
	req := &request{RequestArrived: arrival, arrivedAt: p.now - arrival.Waited}
	p.requests[req.RequestID] = req
	p.startTimer(req.RequestID, deadlineNear, max(0, req.Deadline-p.now-p.deadlineMargin()))
	p.startTimer(req.RequestID, objectiveMissed, max(0, time.Duration(p.firstTokenObjective(req))-arrival.Waited))
	p.fire(req, arrived)
}

// watchEndpoints asks for the endpoint list where it does not come by itself.
func (p *Policy) watchEndpoints() {
	if p.config.WatchEndpoints {
		p.act(WatchEndpoints{})
	}
}
