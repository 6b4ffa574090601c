// Package routing decides where requests are prefilled and decoded, when they are retried, and when they are shed.
// Policy.Step takes events with their time and returns actions. The package is independent of wire formats, reads no clock
// and does no I/O.
//
// All times are durations since the start of the caller's clock.
package routing

import "time"

// Policy makes the routing decisions of one node and holds the state for them. It is not safe for concurrent use.
type Policy struct {
	config    *Config
	now       time.Duration
	startedAt time.Duration
	started   bool
	actions   []Action // actions of the current step

	engines        map[string]*engine
	sortedEngines  []*engine   // all engines, in the order of their IDs
	prefillEngines engineGroup // engines that are ready and can prefill
	decodeEngines  engineGroup // engines that are ready and can decode
	updateCount    uint64      // number of endpoint lists applied so far
	orderStale     bool        // engines were added or removed since sortedEngines was built

	requests   map[int64]*request
	reserved   map[int64]*request // requests in state reserved
	awaiting   map[int64]*request // requests that wait for health checks
	timers     timerTable
	cache      prefixCacheIndex
	affinities affinityTable
	random     randomSource
	rotation   int // position of the round robin; 0 until its random start is drawn

	recentPrefixes              []string        // prefixes of the last requests
	recentLatencyPerWork        []time.Duration // latencies per unit of queued work, counting the prefill as one unit
	lowerQuartileLatencyPerWork time.Duration   // lower quartile of recentLatencyPerWork
	expectedOverruns            []sample        // one per recent request: expected latency less a quarter of the objective
	firstTokenOverruns          []sample        // one per recent first token: latency less the objective

	throughput        throughputTable
	cachedWorkLatency workLatencyMedian // cache of medianWorkLatency
	firedTransitions  uint64            // a bit for each transition
}

// New returns the policy of a node that has just started.
func New(seed uint64, config Config) *Policy {
	return &Policy{config: &config, engines: map[string]*engine{}, requests: map[int64]*request{},
		reserved: map[int64]*request{}, awaiting: map[int64]*request{},
		timers: timerTable{pending: map[int64]timer{}}, cache: newPrefixCacheIndex(),
		affinities: affinityTable{}, random: newRandomSource(seed)}
}

// Step handles one event at the time now and returns the actions that the caller has to perform, in order.
func (p *Policy) Step(now time.Duration, event Event) []Action {
	p.now, p.actions = now, nil
	p.cachedWorkLatency.valid = false
	p.handle(event)
	p.cachedWorkLatency.valid = false
	return p.actions
}

// handle dispatches an event by its type.
func (p *Policy) handle(event Event) {
	if !p.started {
		p.started, p.startedAt = true, p.now
		p.watchEndpoints()
	}
	switch event := event.(type) {
	case EndpointUpdate:
		p.handleEndpointUpdate(event)
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

// handleTimer fires the trigger of a timer, or watches the endpoint list again.
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

// emit adds an action to those of the current step.
func (p *Policy) emit(action Action) { p.actions = append(p.actions, action) }

// startTimer starts a timer that fires a trigger of a request.
func (p *Policy) startTimer(requestID int64, trigger trigger, after time.Duration) {
	token := p.timers.add(timer{requestID, trigger})
	if req := p.requests[requestID]; req != nil {
		req.timers = append(req.timers, token)
	}
	p.emit(StartTimer{token, after})
}

// route returns the configuration of a request's route.
func (p *Policy) route(req *request) Route { return p.config.route(req.Route) }

// forgetIfDone drops a request that has ended and has no attempt in flight, and its timers, which may be due much later.
func (p *Policy) forgetIfDone(req *request) {
	if req.state != ended || req.hasAttemptInFlight() {
		return
	}
	delete(p.requests, req.RequestID)
	delete(p.awaiting, req.RequestID)
	for _, token := range req.timers {
		delete(p.timers.pending, token)
	}
}

// noRequest is the request ID of timers that belong to no request.
const noRequest = -1

// timer holds the trigger that a timer fires and the ID of the request that it fires for.
type timer struct {
	requestID int64
	trigger   trigger
}

// timerTable holds the timers that have not fired, by token.
type timerTable struct {
	pending   map[int64]timer
	lastToken int64
}

// add adds a timer and returns its token.
func (t *timerTable) add(entry timer) int64 {
	t.lastToken++
	t.pending[t.lastToken] = entry
	return t.lastToken
}

// take removes a timer that has fired and returns it.
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

// watchEndpoints subscribes to the endpoint list if the configuration requires it.
func (p *Policy) watchEndpoints() {
	if p.config.WatchEndpoints {
		p.emit(WatchEndpoints{})
	}
}
