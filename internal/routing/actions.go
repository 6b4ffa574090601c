package routing

import "time"

// Action is one of the types of this file. Each is something the caller of a Policy has to do.
type Action interface{ isAction() }

// Send starts an attempt: it sends a request to an engine. Without a timeout it waits until the request's
// deadline.
type Send struct {
	RequestID int64
	Engine    string
	Timeout   time.Duration
}

// Shed is the final answer that tells the client that a retry is safe.
type Shed struct {
	RequestID  int64
	RetryAfter time.Duration // 0: no advice
	Cause      string        // for logs: what the request's state machine was told
}

// Fail is the final answer that promises nothing.
type Fail struct {
	RequestID int64
	Cause     string // for logs: what the request's state machine was told
}

// CancelAttempt abandons one attempt.
type CancelAttempt struct {
	RequestID int64
	Attempt   int
}

// Release gives back all reservations of a request that no attempt needs any more.
type Release struct{ RequestID int64 }

// StartTimer asks for a TimerFired event no sooner than After from now.
type StartTimer struct {
	Token int64
	After time.Duration
}

// MigrateStream hands a stream back to its client, who resumes it at another node.
type MigrateStream struct{ RequestID int64 }

// HealthCheck asks an engine for its load.
type HealthCheck struct{ Engine string }

// AllNodes as the receiver of a SendGossip action stands for all other nodes.
const AllNodes = -1

// SendGossip sends a short text to one node, or to AllNodes.
type SendGossip struct {
	To   int
	Text string
}

// WatchEndpoints subscribes to the endpoint list.
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
