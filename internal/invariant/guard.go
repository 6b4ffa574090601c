// Package guard holds the gates that each attempt, each repeat, each close of a client's connection and each start of a
// request has to pass, and a monitor that checks, while a node runs, that the rules were kept. It does no I/O.
//
// The gates are asked before an act, with what the core knows. The monitor is told of acts that have happened and keeps its
// own account of them, so that a gate that was passed by, or asked with wrong facts, shows as a violation.
package invariant

import (
	"slices"
	"time"
)

// MaxDelay is how long a node may be held up between its look at the clock and the arrival of what it writes then. Gates on
// the end of a span of time leave so much of it.
const MaxDelay = 150 * time.Millisecond

// Reason says why an act is not allowed. The zero value allows it.
type Reason string

// The reasons.
const (
	Allowed              Reason = ""
	AlreadyAnswered      Reason = "it has its final answer"
	ClientGone           Reason = "its client has gone"
	DeadlineExceeded     Reason = "its time is up"
	EngineDraining       Reason = "its engine drains or is gone"
	EngineAddressChanged Reason = "its engine has another address by now"
	AttemptInFlight      Reason = "an earlier attempt is still out"
	MayHaveRun           Reason = "an earlier attempt may have run"
	DedupWindowExpired   Reason = "an earlier attempt may have run, and engines may have forgotten it"
	DuplicateRequestID   Reason = "a request has this name already"
	ShuttingDown         Reason = "this node is stopping"
	RequestUnanswered    Reason = "a request that was read has no answer"
	RequestIncoming      Reason = "a request is on its way"
)

// Effect is what a second run of a request would do.
type Effect uint8

// The effects.
const (
	Retriable    Effect = iota // nothing: it may run again
	Deduplicated               // nothing, while engines remember the first run
	NonRetriable               // harm: it must never run twice
)

// ParseEffect is the effect that the settings name. What is no known name must not run twice.
func ParseEffect(name string) Effect {
	switch name {
	case "retriable":
		return Retriable
	case "deduped":
		return Deduplicated
	}
	return NonRetriable
}

// PriorAttempt is an attempt of the same request that came before.
type PriorAttempt struct {
	Decode    bool  // it asked for an answer, which is the effect; reads have none
	WrittenAt int64 // when its first byte was written; 0 while none was
	InFlight  bool  // it has no outcome yet
	NeverRan  bool  // its outcome proves that it did not run
}

// Attempt is what is known of an attempt as its first byte is about to be written.
type Attempt struct {
	Answered        bool // its request has its final answer
	ClientGone      bool
	Deadline        int64 // when its client gives up
	DrainNotifiedAt int64 // when its engine was last told to drain or to be gone; 0 where it is ready
	AddressChanged  bool  // its connection leads to an address that is not its engine's any more
	Effect          Effect
	DedupWindow     int64 // for how long engines remember a run of a deduplicated request
	PriorAttempts   []PriorAttempt
}

// MaySend is the gate of an attempt's first byte, further attempts included. Grace is how long after the news of a drain
// an attempt may still arrive.
func MaySend(a Attempt, now, grace int64) Reason {
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

// withinDrainGrace is whether what is written now to an engine that was told to drain arrives within the grace, with as much to
// spare again for the way to the engine.
func withinDrainGrace(notifiedAt, now, grace int64) bool {
	spare := grace - int64(MaxDelay)
	return notifiedAt == 0 || spare >= 0 && now-notifiedAt <= spare/2
}

// MayRetry is the gate of a further attempt: never while another is out, and after one that may have run only as its
// effect allows.
func MayRetry(effect Effect, dedupWindow int64, priorAttempts []PriorAttempt, now int64) Reason {
	if slices.ContainsFunc(priorAttempts, func(e PriorAttempt) bool { return e.InFlight }) {
		return AttemptInFlight
	}
	for _, e := range priorAttempts {
		mayHaveRun := e.Decode && e.WrittenAt > 0 && !e.NeverRan
		switch {
		case !mayHaveRun || effect == Retriable:
		case effect == NonRetriable:
			return MayHaveRun
		case now-e.WrittenAt >= dedupWindow-int64(MaxDelay):
			return DedupWindowExpired
		}
	}
	return Allowed
}

// Connection is what is known of a client's connection that is about to be closed.
type Connection struct {
	ClientGone     bool
	ResponseBroken bool // its answer broke, and its client must not take what it has for the whole
	Unanswered     int  // requests that were read on it and have no answer
	UnreadRequest  bool // a request has come, in whole or in part, that the core has not been told of
}

// MayClose is the gate of each close of a client's connection by the node.
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
	Accepting   bool // the node takes requests
}

// MayAccept is the gate of each request that is taken.
func MayAccept(a Arrival) Reason {
	switch {
	case a.DuplicateID:
		return DuplicateRequestID
	case !a.Accepting:
		return ShuttingDown
	}
	return Allowed
}
