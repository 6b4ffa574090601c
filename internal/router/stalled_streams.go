package router

import (
	"cmp"
	"math"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/indexheap"
)

// streamIndex holds the attempts whose streams have begun and not ended, in the order in which they may count as stalled.
type streamIndex struct {
	indexheap.Heap[*engineAttempt]
}

// nextDue returns when the next stream has to be checked; math.MaxInt64 without streams.
func (s *streamIndex) nextDue() int64 {
	if first, ok := s.First(); ok {
		return first.stallCheckAt
	}
	return math.MaxInt64
}

// Before orders attempts by the time at which their streams are checked.
func (a *engineAttempt) Before(other *engineAttempt) bool {
	return cmp.Or(cmp.Compare(a.stallCheckAt, other.stallCheckAt), cmp.Compare(a.request.id, other.request.id),
		cmp.Compare(a.index, other.index)) < 0
}

// Position returns where the index of streams stores the attempt's position.
func (a *engineAttempt) Position() *indexheap.Position { return &a.streamPosition }

// watchStream begins to watch a stream that has had its first token.
func (r *Router) watchStream(att *engineAttempt) { r.scheduleStallCheck(att, r.stalledAt(att)) }

func (r *Router) scheduleStallCheck(att *engineAttempt, at int64) {
	att.stallCheckAt = at
	r.streams.Set(att)
}

// stalledAt returns when a stream counts as stalled if no token follows the last one.
func (r *Router) stalledAt(att *engineAttempt) int64 {
	last := max(att.startedAt, att.lastTokenAt)
	if att.relay != nil {
		last = max(last, att.relay.LastTokenAt())
	}
	return last + int64(r.config.StallTimeout) + 1
}

// endStalledStreams ends the attempts whose streams have had no token for longer than the stall timeout. A token that has
// arrived and was not read yet, because this process or its poller was held up, counts as received: a stream ends only once its
// connection's input up to the stall timeout is confirmed to have been read.
func (r *Router) endStalledStreams() {
	for r.streams.nextDue() <= r.now {
		att, _ := r.streams.First()
		switch {
		case r.stalledAt(att) > r.now:
			r.watchStream(att)
		case att.connection.socket.ConfirmInput():
			r.endStalledStream(att)
		default:
			r.scheduleStallCheck(att, math.MaxInt64) // EngineInputConfirmed checks the stream again.
		}
	}
}

// EngineInputConfirmed handles the confirmation that all input that had arrived on a connection when EngineSocket.ConfirmInput
// was called has been passed to the router.
func (r *Router) EngineInputConfirmed(conn *EngineConnection) {
	att := conn.attempt
	if att == nil || att.ended || att.machine.State != attempt.Streaming {
		return
	}
	if r.stalledAt(att) > r.now {
		r.watchStream(att)
		return
	}
	r.endStalledStream(att)
}

func (r *Router) endStalledStream(att *engineAttempt) {
	idle := r.config.StallTimeout + time.Duration(r.now-r.stalledAt(att))
	r.handleAttemptEvent(att, attempt.StreamStalled, reasonStalled+AttemptReason(idle.String()))
}
