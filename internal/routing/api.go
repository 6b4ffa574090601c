// Package brain decides where inferences are read and written. It knows no wire and no clock: inputs and
// the time go in through Step, effects come out.
package routing

import "time"

// Event is one of the types below that say so.
type Event interface{ isEvent() }

// EndpointUpdate is a message of discovery. Whole lists replace what was known; others change it.
type EndpointUpdate struct {
	Complete bool
	Failed   bool // a call to discovery failed; the old list stays
	Engines  []Endpoint
}

// Endpoint is one line of a list.
type Endpoint struct {
	Engine                   string
	Weight                   float64
	Zone, Cell, Kind         int
	StartedAt                int64 // nanoseconds; 0 for long ago
	Ready, Draining, Removed bool  // exactly one is true
}

// RequestArrived is an inference that this node has taken.
type RequestArrived struct {
	RequestID                  int64
	Route                      int
	Session, Prefix            string
	Deadline                   int64
	PromptTokens, PrefixTokens float64
	MaxOutputTokens            float64
	ClientRetry, Resumed       bool
}

// FirstToken says that the answer has begun to stream.
type FirstToken struct {
	RequestID int64
	Attempt   int
	Engine    string
	Latency   int64
}

// Verdict is how a send ended.
type Verdict uint8

// The verdicts of a send.
const (
	Completed Verdict = iota
	EngineError
	Full
	TimedOut
	NotConnected
	ConnectionLost
	Canceled
	NotSent
	PrefillDone
)

// LoadReport is what an engine reports of its load. It counts the requests of all nodes.
type LoadReport struct {
	MemoryShare      float64
	QueuedWork       float64 // thousands of tokens to prefill, or open requests where an engine reports no tokens
	RecentLatency    time.Duration
	HasRecentLatency bool
}

// Outcome is the end of an attempt.
type Outcome struct {
	RequestID       int64
	Attempt         int
	Engine          string
	Verdict         Verdict
	Latency         int64
	RequestEnded    bool
	CachedTokens    float64 // prompt tokens that a prefill engine found in its cache
	ReservationLost bool    // with Full: the prefill engine holds nothing for the request any more
	Report          *LoadReport
	StaleConnection bool // a kept connection broke as it was used again: it may have run, but tells nothing of the engine
}

// ClientDisconnected says that nobody waits for the inference any more.
type ClientDisconnected struct{ RequestID int64 }

// TimerFired returns a token that ArmTimer was given.
type TimerFired struct{ Token int64 }

// HealthCheckResult ends a probe.
type HealthCheckResult struct {
	Engine  string
	Verdict Verdict
	Latency int64
	Report  *LoadReport
}

// GossipReceived came from another node.
type GossipReceived struct {
	From int
	Text string
}

// ReservationResult answers HoldPlace while the read is out.
type ReservationResult struct {
	RequestID int64
	Attempt   int
	Engine    string
	Reserved  bool
}

func (EndpointUpdate) isEvent()     {}
func (RequestArrived) isEvent()     {}
func (FirstToken) isEvent()         {}
func (Outcome) isEvent()            {}
func (ClientDisconnected) isEvent() {}
func (TimerFired) isEvent()         {}
func (HealthCheckResult) isEvent()  {}
func (GossipReceived) isEvent()     {}
func (ReservationResult) isEvent()  {}

// Action is one of the types below that say so.
type Action interface{ isAction() }

// Send sends an inference to an engine; Patience 0 waits as long as the client does.
type Send struct {
	RequestID int64
	Engine    string
	Timeout   int64
}

// Shed is the final answer that makes a further try harmless.
type Shed struct {
	RequestID  int64
	RetryAfter int64 // 0: no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ RequestID int64 }

// CancelAttempt abandons the wait for one send.
type CancelAttempt struct {
	RequestID int64
	Attempt   int
}

// Release lets go of all states and places held for an inference that no send waits for.
type Release struct{ RequestID int64 }

// StartTimer asks for a TimerDue no sooner than In from now.
type StartTimer struct{ Token, After int64 }

// MigrateStream hands a begun stream back to its client, who returns with it.
type MigrateStream struct{ RequestID int64 }

// HealthCheck asks an engine for its health.
type HealthCheck struct{ Engine string }

// SendGossip sends a short text to one node, or to all others where To is negative.
type SendGossip struct {
	To   int
	Text string
}

// WatchEndpoints opens a standing subscription to discovery.
type WatchEndpoints struct{}

func (Send) isAction()           {}
func (Shed) isAction()           {}
func (Fail) isAction()           {}
func (CancelAttempt) isAction()  {}
func (Release) isAction()        {}
func (StartTimer) isAction()     {}
func (MigrateStream) isAction()  {}
func (HealthCheck) isAction()    {}
func (SendGossip) isAction()     {}
func (WatchEndpoints) isAction() {}

// New returns the policy of one node that has just started.
func New(seed uint64, config Config) *Policy {
	return &Policy{seed: seed, config: &config, engines: map[string]*engine{}, requests: map[int64]*request{},
		timers: map[int64]timer{}, cached: map[cacheKey]cacheEntry{}, affinities: map[string]affinity{}}
}

// Step takes one input at the time now and returns what is to be done, in order.
func (p *Policy) Step(now int64, in Event) []Action {
	p.now, p.actions, p.countedLoads = now, nil, nil
	p.handle(in)
	return p.actions
}

// handle hands an input to the decisions.
func (p *Policy) handle(in Event) {
	if !p.started {
		p.started, p.startedAt = true, p.now
		p.watchEndpoints()
	}
	switch in := in.(type) {
	case EndpointUpdate:
		p.handleEndpoints(in)
	case RequestArrived:
		p.requests[in.RequestID] = &request{RequestArrived: in, arrivedAt: p.now}
		p.startTimer(p.requests[in.RequestID], deadlineNear, max(0, in.Deadline-p.now-p.deadlineMargin()))
		p.startTimer(p.requests[in.RequestID], targetMissed, int64(p.firstTokenTarget(p.requests[in.RequestID])))
		p.fire(p.requests[in.RequestID], arrived)
	case FirstToken:
		if req := p.requests[in.RequestID]; req != nil && in.Attempt >= 0 && in.Attempt < len(req.attempts) {
			p.handleFirstToken(req, in)
		}
	case GossipReceived:
		p.handleGossip(in.Text)
	case Outcome:
		p.handleOutcome(in)
	case HealthCheckResult:
		p.handleHealthCheck(in)
	case ClientDisconnected:
		if req := p.requests[in.RequestID]; req != nil {
			p.fire(req, clientDisconnected)
			p.forgetIfDone(req)
		}
	case TimerFired:
		t, ok := p.timers[in.Token]
		delete(p.timers, in.Token)
		if !ok {
			return
		}
		if t.requestID < 0 {
			p.watchEndpoints()
		} else if req := p.requests[t.requestID]; req != nil {
			if t.trigger == retryDue {
				req.retryScheduled = false
			}
			p.fire(req, t.trigger)
			p.forgetIfDone(req)
		}
	}
}
