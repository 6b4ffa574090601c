package router

import (
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/routing"
)

// Observer receives notifications for logs and metrics. No decision of the router depends on them.
type Observer interface {
	// AroundStep calls step, which runs one step of the routing policy.
	AroundStep(event routing.Event, step func())
	// PolicyPanicked reports a panic of the routing policy, which is then restarted.
	PolicyPanicked(p any, event routing.Event, stack []byte)
	// RequestFinished reports the outcome of a request.
	RequestFinished(summary RequestSummary)
	// RequestShed reports a request that was shed before it was passed to the policy.
	RequestShed(shed ShedRequest)
	// FirstToken reports the first token of a request.
	FirstToken(route string, after time.Duration, promptTokens int)
	// Rejected reports a message or connection that was rejected, or a connection that was closed because its client was
	// slow.
	Rejected(reason RejectReason)
	// AttemptEnded reports the end of an attempt.
	AttemptEnded(summary AttemptSummary)
	// AttemptBlocked reports an attempt that an invariant did not allow.
	AttemptBlocked(request string, reason invariant.Reason)
	// InvariantViolated reports that an invariant does not hold.
	InvariantViolated(violation invariant.Violation)
	// ClientClosed reports that the router closes a client's connection.
	ClientClosed(client int64, reason CloseReason)
	// ConnectionChanged reports a change of a connection to an engine.
	ConnectionChanged(engine string, event ConnectionEvent)
	// ReservationChanged reports a change of a reservation that no attempt has consumed.
	ReservationChanged(event ReservationEvent)
	// EndpointsUpdated reports a new endpoint list, and the engines in it that are ignored because their kind is unknown.
	EndpointsUpdated(revision int64, engines int, unknown []string)
}

// RequestSummary describes a finished request.
type RequestSummary struct {
	Request, Route, Session    string
	Outcome                    RequestOutcome
	Reason                     FailureReason // reason for a failure; empty for other outcomes
	Cause                      string        // the policy's reason for shedding or failing the request; empty if it did neither
	Attempts                   []string      // engine and verdict of each attempt
	Duration, TimeToFirstToken time.Duration // TimeToFirstToken is 0 if there was no token
	PromptTokens, OutputTokens int
}

// ShedRequest describes a request that was shed before it was passed to the policy.
type ShedRequest struct {
	Request, Route string
	Reason         ShedReason
	PromptTokens   int
}

// AttemptSummary describes an attempt that has ended.
type AttemptSummary struct {
	Request, Engine string
	Index           int
	Decode          bool
	Verdict         Verdict
	Reason          AttemptReason // the reason of a failure; empty if the attempt succeeded
	Connecting      time.Duration // time until the request was written; 0 if it was not written
	Duration        time.Duration
}
