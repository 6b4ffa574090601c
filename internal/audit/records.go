package audit

import "time"

// EngineEvent is what an engine saw. Its text is printed in traces.
type EngineEvent string

// The events of an engine.
const (
	AttemptStarted EngineEvent = "began"   // a request has arrived in full
	AttemptEnded   EngineEvent = "ended"   // its response has been sent, or its connection is closed
	Executed       EngineEvent = "ran"     // it took effect: the first token was generated
	Deduplicated   EngineEvent = "repeat"  // it would have been executed, but its idempotency key was known
	Reserved       EngineEvent = "holds"   // a prefill engine holds a reservation
	Released       EngineEvent = "let go"  // the reservation was fetched, released, or dropped by the engine itself
	Overloaded     EngineEvent = "fell"    // an engine that was warming up failed under its load
	Started        EngineEvent = "up"      // the engine started
	Crashed        EngineEvent = "crashed" // the engine is gone with all its reservations
)

// Outcome is how a client's request ended, as the client saw it. Its text is printed in verdicts and summaries.
type Outcome string

// The outcomes of a request.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeShed      Outcome = "shed"
	OutcomeErrored   Outcome = "errored"
	OutcomeAbandoned Outcome = "left" // the client disconnected
	OutcomeLost      Outcome = "lost" // the connection broke without a response
)

// EngineRecord is one event of an engine.
type EngineRecord struct {
	At              time.Time
	Engine          string
	Event           EngineEvent
	RequestID       string // as the router named the request
	ClientRequestID string // as the client named it
	Decode          bool
	Detail          string
}

// ClientRecord is one request of a client, as the client saw it.
type ClientRecord struct {
	ClientRequestID string // the same for all retries of one client
	Route           string
	Edge            string
	RequestID       string // as the response named it, empty if there was none
	Sent, End       time.Time
	Deadline        time.Time
	Outcome         Outcome // empty while the request is open
	OutcomeCount    int     // how many final responses the client received
	FirstToken      time.Duration
	Tokens          int
	Reason          string
}

// ReadinessChange is a change of an engine's readiness, as it was published.
type ReadinessChange struct {
	At     time.Time
	Engine string
	Ready  bool
}

// Outage is a time in which an edge was killed and not yet restarted.
type Outage struct {
	Edge     string
	From, To time.Time
}
