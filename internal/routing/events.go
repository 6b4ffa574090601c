package routing

import "time"

// Event is one of the types of this file. Each tells a Policy what happened.
type Event interface{ isEvent() }

// EndpointUpdate is a watch event of the endpoint list. A complete list replaces what was known; others
// change it.
type EndpointUpdate struct {
	Complete bool
	Failed   bool // a call to discovery failed; the old list stays
	Engines  []Endpoint
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Engine                   string
	Weight                   float64
	Zone, Cell, Kind         int
	StartedAt                time.Duration // 0 if that was long ago
	Ready, Draining, Removed bool          // exactly one is true
}

// RequestArrived is a request that this node has accepted.
type RequestArrived struct {
	RequestID                  int64
	Route                      int
	Session, Prefix            string
	Waited                     time.Duration // since this node has read it
	Deadline                   time.Duration
	PromptTokens, PrefixTokens float64
	MaxOutputTokens            float64
	ClientRetry                bool // the client has sent it before
	Resumed                    bool // its stream broke at another node, and the client asks for the rest
}

// FirstToken reports that an answer has begun to stream.
type FirstToken struct {
	RequestID int64
	Attempt   int
	Engine    string
	Latency   time.Duration
}

// Verdict is how an attempt ended.
type Verdict uint8

// The verdicts of an attempt.
const (
	Completed      Verdict = iota
	EngineError            // the engine answered with an error
	Full                   // the engine rejected it for want of capacity
	TimedOut               // no answer came in time
	NotConnected           // no connection could be opened
	ConnectionLost         // the connection broke after the request was sent
	Canceled               // this node canceled it
	NotSent                // this node could not send it
	PrefillDone            // the prefill engine holds a reservation for the request
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
	Latency         time.Duration
	RequestEnded    bool    // the client has its final answer
	CachedTokens    float64 // prompt tokens that a prefill engine found in its cache
	ReservationLost bool    // with Full: the prefill engine holds nothing for the request any more
	Report          *LoadReport
	StaleConnection bool // an idle connection broke as it was reused, which says nothing of the engine
}

// ClientDisconnected reports that no client waits for the request any more.
type ClientDisconnected struct{ RequestID int64 }

// TimerFired returns the token of a StartTimer action.
type TimerFired struct{ Token int64 }

// HealthCheckResult is the answer to a HealthCheck action, or that there was none.
type HealthCheckResult struct {
	Engine  string
	Verdict Verdict
	Latency time.Duration
	Report  *LoadReport
}

// GossipReceived is a message of another node.
type GossipReceived struct {
	From int
	Text string
}

// ReservationResult reports whether a capacity reservation was granted while a prefill runs. Decisions do not
// depend on it yet.
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
