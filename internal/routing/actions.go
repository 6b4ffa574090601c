package routing

import "time"

// Action is an instruction to the caller of a Policy. Its implementations are the types of this file.
type Action interface{ isAction() }

// Send starts an attempt: the request is sent to the engine. An attempt without a timeout may last until the
// request's deadline.
type Send struct {
	RequestID int64
	Engine    string
	Timeout   time.Duration
}

// Shed rejects a request with a final answer after which the client may safely retry.
type Shed struct {
	RequestID  int64
	RetryAfter time.Duration // the delay before a retry that is suggested to the client; 0 for no suggestion
	Cause      string        // for logs: the last trigger of the request's state machine
}

// Fail rejects a request with a final answer that leaves open whether the request has run.
type Fail struct {
	RequestID int64
	Cause     string // for logs: the last trigger of the request's state machine
}

// CancelAttempt cancels one attempt.
type CancelAttempt struct {
	RequestID int64
	Attempt   int
}

// Release releases all reservations of a request, as no attempt needs them any longer.
type Release struct{ RequestID int64 }

// StartTimer requests a TimerFired event no earlier than After from now.
type StartTimer struct {
	Token int64
	After time.Duration
}

// MigrateStream ends a stream at this node so that its client resumes it at another node.
type MigrateStream struct{ RequestID int64 }

// HealthCheck requests the load of an engine.
type HealthCheck struct{ Engine string }

// AllNodes in the field To of SendGossip sends the message to all other nodes.
const AllNodes = -1

// SendGossip sends a short message to one node, or to AllNodes.
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
