package routing

import "time"

// Event is an input of a Policy. Its implementations are the types of this file.
type Event interface{ isEvent() }

// EndpointUpdate is a watch event of the endpoint list. A complete list replaces the previous one; any other update
// changes only the engines that it lists.
type EndpointUpdate struct {
	Complete bool
	Failed   bool // a call to discovery failed; the previous list remains valid
	Engines  []Endpoint
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Engine                   string
	Weight                   float64
	Zone, Cell, Kind         int
	StartedAt                time.Duration // start of the engine; 0 if that was long ago
	Ready, Draining, Removed bool          // exactly one is true
}

// RequestArrived reports a request that this node has accepted.
type RequestArrived struct {
	RequestID                  int64
	Route                      int
	Session, Prefix            string
	Waited                     time.Duration // time since this node read the request
	Deadline                   time.Duration
	PromptTokens, PrefixTokens float64
	MaxOutputTokens            float64
	ClientRetry                bool // the client has sent the request before
	Resumed                    bool // the stream broke at another node, and the client requests the rest
}

// FirstToken reports that an answer has begun to stream.
type FirstToken struct {
	RequestID int64
	Attempt   int
	Engine    string
	Latency   time.Duration
}

// Verdict classifies the end of an attempt.
type Verdict uint8

// The verdicts of an attempt.
const (
	Completed      Verdict = iota
	EngineError            // the engine answered with an error
	Full                   // the engine rejected the attempt without running it, usually for lack of capacity
	TimedOut               // no answer arrived in time
	NotConnected           // no connection could be opened, or it broke before the request was sent completely
	ConnectionLost         // the connection broke after the request was sent
	Canceled               // this node canceled the attempt
	NotSent                // this node did not send the attempt, or not completely
	PrefillDone            // the prefill engine holds a reservation for the request
)

// LoadReport is the load that an engine reports. It includes the requests of all nodes.
type LoadReport struct {
	MemoryShare      float64
	QueuedWork       float64 // thousands of tokens to prefill, or open requests where an engine reports no tokens
	RecentLatency    time.Duration
	HasRecentLatency bool
}

// Outcome reports the end of an attempt.
type Outcome struct {
	RequestID       int64
	Attempt         int
	Engine          string
	Verdict         Verdict
	Latency         time.Duration
	RequestEnded    bool    // the client has received its final answer
	CachedTokens    float64 // prompt tokens that a prefill engine found in its cache
	ReservationLost bool    // if the verdict is Full: the prefill engine no longer holds a reservation for the request
	Report          *LoadReport
	StaleConnection bool // An idle connection broke when it was reused, which is not a fault of the engine.
}

// ClientDisconnected reports that the client no longer waits for the request.
type ClientDisconnected struct{ RequestID int64 }

// TimerFired reports that the timer of the StartTimer action with this token has fired.
type TimerFired struct{ Token int64 }

// HealthCheckResult reports the answer to a HealthCheck action, or the lack of one.
type HealthCheckResult struct {
	Engine  string
	Verdict Verdict
	Latency time.Duration
	Report  *LoadReport
}

// GossipReceived is a message from another node.
type GossipReceived struct {
	From int
	Text string
}

// ReservationResult reports whether a capacity reservation was granted while a prefill runs. No decision depends on it
// yet.
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
