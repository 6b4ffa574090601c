// Package invariant holds the gates that each attempt, each retry, each close of a client's connection and each accepted
// request has to pass, and a run-time monitor that checks that the invariants were kept. It does no I/O.
//
// A gate is asked before an act, with what the router knows. The monitor is notified of acts that have happened and keeps
// its own record of them, so that an act that bypassed its gate, or a gate that was asked with wrong facts, shows as a
// violation. Points in time are in nanoseconds since the start of the router.
package invariant

import (
	"slices"
	"time"
)

// MaxDelay is how long a router may be delayed between its reading of the clock and the arrival of what it writes then.
// Gates that depend on the end of a time span leave this much of it.
const MaxDelay = 150 * time.Millisecond

// PriorAttempt is an earlier attempt of the same request.
type PriorAttempt struct {
	Decode    bool  // decoding is the effect of a request; a prefill has none
	WrittenAt int64 // when its first byte was written; 0 for not at all
	InFlight  bool  // it has no outcome yet
	NeverRan  bool  // its outcome proves that it has not run
}

// Attempt is what is known of an attempt whose first byte is about to be written.
type Attempt struct {
	Answered        bool // its request has its final answer
	ClientGone      bool
	Deadline        int64 // of its client
	DrainNotifiedAt int64 // since when its engine is known to drain or to be removed; 0 where it is ready
	AddressChanged  bool  // its connection leads to a former address of its engine
	Effect          Effect
	DedupWindow     time.Duration // for how long engines remember a run of a deduplicated request
	PriorAttempts   []PriorAttempt
}

// MaySend is the gate of an attempt's first byte, of retries too. Grace is for how long after the notification of a drain
// an attempt may still arrive.
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

// withinDrainGrace reports whether what is written now arrives within the grace at an engine that is known to drain, with
// as much time to spare again for the network.
func withinDrainGrace(notifiedAt, now int64, grace time.Duration) bool {
	spare := grace - MaxDelay
	return notifiedAt == 0 || spare >= 0 && time.Duration(now-notifiedAt) <= spare/2
}

// MayRetry is the gate of a retry: never while another attempt is in flight, and after one that may have run only as the
// effect allows.
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

// Connection is what is known of a client's connection that is about to be closed.
type Connection struct {
	ClientGone     bool
	ResponseBroken bool // its response broke off, and the client must not take it for complete
	Unanswered     int  // requests that were read on it and have no answer
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

// Arrival is what is known of a request that has been read.
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
