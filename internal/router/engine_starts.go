package router

import (
	"time"

	"sandcourse/internal/endpoint"
)

// maxReportedAge is how old a start may be of which this node hears while it runs: lists come seconds late, and discovery may be
// down for longer. A start that seems older was stamped by a clock that differs from this node's, and counts from when it
// was heard of, so that the engine is taken for a cold one.
const maxReportedAge = 30 * time.Second

// engineStart is when an engine came up, as it was told and on this node's clock.
type engineStart struct {
	reported int64 // in the list's own units
	at       int64
	listedAt int64 // when it was last listed
}

// engineStarts turn the starts that lists tell into times on the node's own clock. Machines stamp them with their wall clocks,
// which may be stepped, while the node's clock runs on; so a start is compared with the clock once, when it is first heard
// of, and what is told of it is only compared with what was told before.
type engineStarts struct {
	byEngine    map[string]engineStart
	initialized bool // a list has come: what is new since came up while this node ran
}

const nanosPerMilli = int64(time.Millisecond)

// normalize gives the entries of a list their starts on the node's clock, and forgets engines that left long ago.
func (s *engineStarts) normalize(engines []endpoint.Entry, now int64) []endpoint.Entry {
	next := make(map[string]engineStart, len(engines))
	out := make([]endpoint.Entry, len(engines))
	for i, e := range engines {
		if e.StartedAtMs > 0 {
			known := s.startOf(e, now)
			known.listedAt = now
			next[e.ID] = known
			e.StartedAtMs = known.at / nanosPerMilli
		}
		out[i] = e
	}
	for engine, known := range s.byEngine {
		if _, listed := next[engine]; !listed && now-known.listedAt <= departedRetention {
			next[engine] = known
		}
	}
	s.byEngine, s.initialized = next, true
	return out
}

// isRestart is whether an entry tells a start of its engine that was not told before.
func (s *engineStarts) isRestart(e endpoint.Entry) bool {
	return e.StartedAtMs > 0 && s.byEngine[e.ID].reported != e.StartedAtMs
}

func (s *engineStarts) startOf(e endpoint.Entry, now int64) engineStart {
	before, known := s.byEngine[e.ID]
	if known && before.reported == e.StartedAtMs {
		return before
	}
	at := e.StartedAtMs * nanosPerMilli
	if at > now || s.initialized && now-at > int64(maxReportedAge) {
		at = now
	}
	// A new start is never before the last one, whatever the clocks say.
	return engineStart{reported: e.StartedAtMs, at: max(at, before.at+nanosPerMilli)}
}
