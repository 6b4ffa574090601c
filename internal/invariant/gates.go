// Package invariant holds the gates that each attempt, each retry, each close of a client's connection and each accepted
// request has to pass, and a run-time monitor that checks that the invariants were kept. The package does no I/O.
//
// A gate is called before an action, with the state of the router. The monitor is notified of actions after the fact and
// keeps its own record of them, so that an action that bypasses its gate, or a gate that is called with wrong state, is
// reported as a violation. Points in time are in nanoseconds since the start of the router.
package invariant

import (
	"slices"
	"time"
)

// MaxDelay is the longest delay to expect between a router's reading of the clock and the arrival of the data that it then
// writes. Gates that depend on the end of a time span keep this margin.
const MaxDelay = 150 * time.Millisecond

// PriorAttempt is an earlier attempt of the same request.
type PriorAttempt struct {
	Decode    bool  // a decode may have an effect, a prefill has no effect
	WrittenAt int64 // time at which the first byte was written; 0 if no byte was written
	InFlight  bool  // the attempt has no outcome yet
	NeverRan  bool  // the outcome proves that the attempt has not run
}

// Attempt is the state that the router has recorded for an attempt whose first byte is about to be written.
type Attempt struct {
	Answered        bool // the request has its final answer
	ClientGone      bool
	Deadline        int64 // deadline of the client
	DrainNotifiedAt int64 // time of the notification that the engine drains or was removed; 0 if the engine is ready
	AddressChanged  bool  // the connection leads to a former address of the engine
	Effect          Effect
	DedupWindow     time.Duration // time for which engines remember a run of a deduplicated request
	PriorAttempts   []PriorAttempt
}

// MaySend is the gate of the first byte of every attempt, retries included. Attempts may arrive at a draining engine until
// the duration grace after the notification of the drain.
func MaySend(a Attempt, now int64, grace time.Duration) Reason {
	switch {
	case a.Answered:
		return AlreadyAnswered
	case a.ClientGone:
		return ClientGone
	case now >= a.Deadline:
		return DeadlineExceeded
	case !withinDrainGrace(a.DrainNotifiedAt, now, grace):
		return EngineDraining
	case a.AddressChanged:
		return EngineAddressChanged
	}
	return MayRetry(a.Effect, a.DedupWindow, a.PriorAttempts, now)
}

// withinDrainGrace reports whether data that is written now arrives at a draining engine within the grace period. Of the
// time that MaxDelay leaves, half is reserved for the network.
func withinDrainGrace(notifiedAt, now int64, grace time.Duration) bool {
	spare := grace - MaxDelay
	return notifiedAt == 0 || spare >= 0 && time.Duration(now-notifiedAt) <= spare/2
}

// MayRetry is the gate of a retry. It allows no retry while another attempt is in flight, and a retry after an attempt that
// may have run only as the effect allows.
func MayRetry(effect Effect, dedupWindow time.Duration, priorAttempts []PriorAttempt, now int64) Reason {
	if slices.ContainsFunc(priorAttempts, func(p PriorAttempt) bool { return p.InFlight }) {
		return AttemptInFlight
	}
	for _, prior := range priorAttempts {
		mayHaveRun := prior.Decode && prior.WrittenAt > 0 && !prior.NeverRan
		switch {
		case !mayHaveRun || effect == Retriable:
		case effect == NonRetriable:
			return MayHaveRun
		case time.Duration(now-prior.WrittenAt) >= dedupWindow-MaxDelay:
			return DedupWindowExpired
		}
	}
	return Allowed
}

// Connection is the state of a client's connection that is about to be closed.
type Connection struct {
	ClientGone     bool
	ResponseBroken bool // the response broke off, and the client must not treat it as complete
	Unanswered     int  // number of requests that were read and have no answer
	UnreadRequest  bool // a request has arrived, in part or completely, that the router has not handled yet
}

// MayClose is the gate of each close of a client's connection by the router.
func MayClose(c Connection) Reason {
	switch {
	case c.ClientGone || c.ResponseBroken:
		return Allowed
	case c.Unanswered > 0:
		return RequestUnanswered
	case c.UnreadRequest:
		return RequestIncoming
	}
	return Allowed
}

// Arrival describes a request that has been read.
type Arrival struct {
	DuplicateID bool
	Accepting   bool // the router accepts requests
}

// MayAccept is the gate of each request that is accepted.
func MayAccept(a Arrival) Reason {
	switch {
	case a.DuplicateID:
		return DuplicateRequestID
	case !a.Accepting:
		return ShuttingDown
	}
	return Allowed
}
