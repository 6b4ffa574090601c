package router

import (
	"sandcourse/internal/invariant"
	"sandcourse/internal/routing"
)

// RequestOutcome is the outcome of a request. The values are metric labels.
type RequestOutcome string

// The outcomes of requests.
const (
	OutcomeCompleted RequestOutcome = "completed"
	OutcomeShed      RequestOutcome = "shed"
	OutcomeErrored   RequestOutcome = "errored"
	OutcomeAbandoned RequestOutcome = "left" // the client disconnected
)

// FailureReason is the reason for the failure of a request. The text is part of the answer to the client.
type FailureReason string

// The reasons for which the router itself fails a request.
const (
	reasonDeadlineExceeded FailureReason = "time is up"
	reasonNoAnswer         FailureReason = "the answer could not be given"
	reasonPolicyFailed     FailureReason = "the router failed inside"
	ReasonShuttingDown     FailureReason = FailureReason(invariant.ShuttingDown)
	reasonStreamShed       FailureReason = "the stream was given up"

	// reasonStreamBroken is a prefix of the reason of the attempt whose stream broke.
	reasonStreamBroken FailureReason = "the stream broke: "
)

// ShedReason is the reason for shedding a request. The text is part of the answer to the client.
type ShedReason string

// The reasons for which the router sheds requests, in addition to those of package invariant.
const (
	shedPipelined   ShedReason = "too many requests wait on this connection"
	shedRetryBudget ShedReason = "more calls are repeated than this node takes"
	shedQuota       ShedReason = "you have your share of this node open already"
	shedCapacity    ShedReason = "this node holds all that it may"
	shedConnections ShedReason = "this node has all the connections that it may"
	shedDeadline    ShedReason = "it would not be answered in time"
)

// AttemptReason is the reason for the end of an attempt. Besides the constants, the value may be the text of an error,
// the status of the engine's response, or a reason of package invariant.
type AttemptReason string

// The router's own reasons that are only logged.
const (
	reasonClientDisconnected AttemptReason = "client disconnected"
	reasonConnectionLimit    AttemptReason = "connection limit reached"

	// reasonDialFailed is a prefix of the text of an error.
	reasonDialFailed AttemptReason = "dial failed: "
)

// The router's own reasons that end streams, and thus are part of answers to clients.
const (
	reasonCanceled       AttemptReason = "withdrawn"
	reasonConnectionLost AttemptReason = "the connection is gone"
	reasonSecondHead     AttemptReason = "a second head"

	// reasonStalled is a prefix of a duration.
	reasonStalled AttemptReason = "no token for "
)

// RejectReason is the reason for rejecting a message or a connection of a client. The values are metric labels.
type RejectReason string

// The reasons of rejections.
const (
	RejectConnections RejectReason = "connections"  // too many connections
	RejectBytes       RejectReason = "bytes"        // too many bytes of unfinished or waiting requests
	RejectMessage     RejectReason = "message"      // the message is not valid
	RejectDuplicate   RejectReason = "name known"   // another request has the same ID
	RejectPipelined   RejectReason = "pipelined"    // too many requests wait on the connection
	RejectSlowReader  RejectReason = "slow client"  // the client does not read its answers
	RejectTimeout     RejectReason = "slow or idle" // the client sent nothing, or too slowly
)

// rejectReasons maps the reasons for shedding a request that waits on its connection.
var rejectReasons = map[ShedReason]RejectReason{shedPipelined: RejectPipelined, shedCapacity: RejectBytes}

// CloseReason is the reason for closing a client's connection. The values are metric labels.
type CloseReason string

// The reasons for which the router closes a client's connection.
const (
	CloseIdle         CloseReason = "idle"            // the idle timeout has passed
	CloseShutdown     CloseReason = "stopping"        // the router is shutting down
	CloseEvicted      CloseReason = "crowded"         // another client needs the capacity
	CloseAnswered     CloseReason = "last answer out" // the last answer on the connection was written
	CloseStreamBroken CloseReason = "stream broke"    // the client must not take a partial stream for a complete one
	CloseUnread       CloseReason = "not read"        // the client did not read the answer in time
)

// ConnectionEvent is a change of a connection to an engine. The values are metric labels.
type ConnectionEvent string

// The changes of connections to engines.
const (
	ConnectionDialed  ConnectionEvent = "dialled"
	DialFailed        ConnectionEvent = "dial failed"
	DialFailedLocally ConnectionEvent = "dial failed on this machine"
	ConnectionReused  ConnectionEvent = "reused"
	ConnectionBroken  ConnectionEvent = "broken"
	ConnectionClosed  ConnectionEvent = "closed"
)

// ReservationEvent is a change of a reservation that no attempt has consumed. The values are metric labels.
type ReservationEvent string

// The changes of reservations.
const (
	ReleaseSent         ReservationEvent = "sent"         // the first release was sent
	ReleaseAcknowledged ReservationEvent = "acknowledged" // an engine acknowledged a release
	ReleaseOverdue      ReservationEvent = "overdue"      // the policy kept the reservation until the time limit
	ReleaseUnconfirmed  ReservationEvent = "unconfirmed"  // the consuming attempt was unresponsive until the time limit
	ReleaseAbandoned    ReservationEvent = "given up"     // no engine acknowledged the releases
	ReleaseTableFull    ReservationEvent = "no room"      // too many reservations are tracked; this one is not released
)

// Verdict is the outcome of an attempt. The values are metric labels.
type Verdict string

// The verdicts of attempts, as package routing defines them.
const (
	VerdictCompleted      Verdict = "completed"
	VerdictEngineError    Verdict = "engine error"
	VerdictFull           Verdict = "full"
	VerdictTimedOut       Verdict = "timed out"
	VerdictNotConnected   Verdict = "not connected"
	VerdictConnectionLost Verdict = "connection lost"
	VerdictCanceled       Verdict = "withdrawn"
	VerdictNotSent        Verdict = "not sent"
	VerdictPrefillDone    Verdict = "read"
)

var verdicts = [...]Verdict{
	routing.Completed:      VerdictCompleted,
	routing.EngineError:    VerdictEngineError,
	routing.Full:           VerdictFull,
	routing.TimedOut:       VerdictTimedOut,
	routing.NotConnected:   VerdictNotConnected,
	routing.ConnectionLost: VerdictConnectionLost,
	routing.Canceled:       VerdictCanceled,
	routing.NotSent:        VerdictNotSent,
	routing.PrefillDone:    VerdictPrefillDone,
}
