package audit

import "time"

// EngineEvent is an event at an engine. Its value is printed in traces.
type EngineEvent string

// The events of an engine.
const (
	AttemptStarted EngineEvent = "began"   // the engine has received an attempt completely
	AttemptEnded   EngineEvent = "ended"   // the response has been sent, or the connection is closed
	Executed       EngineEvent = "ran"     // the request took effect: the first token was generated
	Deduplicated   EngineEvent = "repeat"  // the request was not executed because its idempotency key was known
	Reserved       EngineEvent = "holds"   // a prefill engine made a reservation
	Released       EngineEvent = "let go"  // the reservation was fetched, released, or dropped by the engine
	Overloaded     EngineEvent = "fell"    // an engine that was warming up failed because of its load
	Started        EngineEvent = "up"      // the engine started
	Crashed        EngineEvent = "crashed" // the engine crashed and lost all its reservations
)

// Outcome is the outcome of a request as its client recorded it. Its value is printed in violations and summaries.
type Outcome string

// The outcomes of a request.
const (
	OutcomeCompleted Outcome = "completed"
	OutcomeShed      Outcome = "shed"
	OutcomeErrored   Outcome = "errored"
	OutcomeAbandoned Outcome = "left" // the client disconnected
	OutcomeLost      Outcome = "lost" // the connection broke before a final response
)

// EngineRecord is one event of an engine.
type EngineRecord struct {
	At              time.Time
	Engine          string
	Event           EngineEvent
	RequestID       string // ID that the router assigned
	ClientRequestID string // ID that the client assigned
	Decode          bool
	Detail          string
}

// ClientRecord is the record of one request by its client.
type ClientRecord struct {
	ClientRequestID string // ID that the client assigned; equal for all retries of a request
	Route           string
	Edge            string
	RequestID       string // ID that the router assigned; empty if no response arrived
	Sent, End       time.Time
	Deadline        time.Time
	Outcome         Outcome // outcome of the request; empty while the request is open
	OutcomeCount    int     // number of final responses that the client received
	FirstToken      time.Duration
	Tokens          int
	Reason          string
}

// ReadinessChange is a published change of the readiness of an engine.
type ReadinessChange struct {
	At     time.Time
	Engine string
	Ready  bool
}

// Outage is the time between the kill and the restart of an edge.
type Outage struct {
	Edge     string
	From, To time.Time
}
