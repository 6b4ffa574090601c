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

// HoldUp is how long a node may be held up between its look at the clock and the arrival of what it writes then. Gates on
// the end of a span of time leave so much of it.
const HoldUp = 150 * time.Millisecond

// Reason says why an act is not allowed. The zero value allows it.
type Reason string

// The reasons.
const (
	Allowed      Reason = ""
	Answered     Reason = "it has its final answer"
	ClientGone   Reason = "its client has gone"
	TimeUp       Reason = "its time is up"
	Draining     Reason = "its engine drains or is gone"
	Moved        Reason = "its engine has another address by now"
	StillOut     Reason = "an earlier attempt is still out"
	MayHaveRun   Reason = "an earlier attempt may have run"
	WindowPassed Reason = "an earlier attempt may have run, and engines may have forgotten it"
	NameKnown    Reason = "a request has this name already"
	Stopping     Reason = "this node is stopping"
	Unanswered   Reason = "a request that was read has no answer"
	Unread       Reason = "a request is on its way"
)

// Effect is what a second run of a request would do.
type Effect uint8

// The effects.
const (
	Retriable    Effect = iota // nothing: it may run again
	Deduplicated               // nothing, while engines remember the first run
	NonRetriable               // harm: it must never run twice
)

// EffectOf is the effect that the settings name. What is no known name must not run twice.
func EffectOf(name string) Effect {
	switch name {
	case "retriable":
		return Retriable
	case "deduped":
		return Deduplicated
	}
	return NonRetriable
}

// Earlier is an attempt of the same request that came before.
type Earlier struct {
	Decode    bool  // it asked for an answer, which is the effect; reads have none
	WrittenAt int64 // when its first byte was written; 0 while none was
	Out       bool  // it has no outcome yet
	NeverRan  bool  // its outcome proves that it did not run
}

// Attempt is what is known of an attempt as its first byte is about to be written.
type Attempt struct {
	Answered   bool // its request has its final answer
	ClientGone bool
	GiveUpAt   int64 // when its client gives up
	Drained    int64 // when its engine was last told to drain or to be gone; 0 where it is ready
	Moved      bool  // its connection leads to an address that is not its engine's any more
	Effect     Effect
	Window     int64 // for how long engines remember a run of a deduplicated request
	Earlier    []Earlier
}

// MaySend is the gate of an attempt's first byte, further attempts included. Grace is how long after the news of a drain
// an attempt may still arrive.
func MaySend(a Attempt, now, grace int64) Reason {
	switch {
	case a.Answered:
		return Answered
	case a.ClientGone:
		return ClientGone
	case now >= a.GiveUpAt:
		return TimeUp
	case !inGrace(a.Drained, now, grace):
		return Draining
	case a.Moved:
		return Moved
	}
	return MayRepeat(a.Effect, a.Window, a.Earlier, now)
}

// inGrace is whether what is written now to an engine that was told to drain arrives within the grace, with as much to
// spare again for the way to the engine.
func inGrace(drained, now, grace int64) bool {
	spare := grace - int64(HoldUp)
	return drained == 0 || spare >= 0 && now-drained <= spare/2
}

// MayRepeat is the gate of a further attempt: never while another is out, and after one that may have run only as its
// effect allows.
func MayRepeat(effect Effect, window int64, earlier []Earlier, now int64) Reason {
	if slices.ContainsFunc(earlier, func(e Earlier) bool { return e.Out }) {
		return StillOut
	}
	for _, e := range earlier {
		mayHaveRun := e.Decode && e.WrittenAt > 0 && !e.NeverRan
		switch {
		case !mayHaveRun || effect == Retriable:
		case effect == NonRetriable:
			return MayHaveRun
		case now-e.WrittenAt >= window-int64(HoldUp):
			return WindowPassed
		}
	}
	return Allowed
}

// Connection is what is known of a client's connection that is about to be closed.
type Connection struct {
	ClientGone bool
	Broke      bool // its answer broke, and its client must not take what it has for the whole
	Waiting    int  // requests that were read on it and have no answer
	Unread     bool // a request has come, in whole or in part, that the core has not been told of
}

// MayClose is the gate of each close of a client's connection by the node.
func MayClose(c Connection) Reason {
	switch {
	case c.ClientGone || c.Broke:
		return Allowed
	case c.Waiting > 0:
		return Unanswered
	case c.Unread:
		return Unread
	}
	return Allowed
}

// Arrival is what is known of a request that has been read.
type Arrival struct {
	NameKnown bool
	Taking    bool // the node takes requests
}

// MayStart is the gate of each request that is taken.
func MayStart(a Arrival) Reason {
	switch {
	case a.NameKnown:
		return NameKnown
	case !a.Taking:
		return Stopping
	}
	return Allowed
}
