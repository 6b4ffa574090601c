package router

import (
	"time"

	"sandcourse/internal/endpoint"
)

// lateNews is how old a start may be of which this node hears while it runs: lists come seconds late, and discovery may be
// down for longer. A start that seems older was stamped by a clock that differs from this node's, and counts from when it
// was heard of, so that the engine is taken for a cold one.
const lateNews = 30 * time.Second

// start is when an engine came up, as it was told and on this node's clock.
type start struct {
	told int64 // in the list's own units
	at   int64
	seen int64 // when it was last listed
}

// starts turn the starts that lists tell into times on the node's own clock. Machines stamp them with their wall clocks,
// which may be stepped, while the node's clock runs on; so a start is compared with the clock once, when it is first heard
// of, and what is told of it is only compared with what was told before.
type starts struct {
	known map[string]start
	began bool // a list has come: what is new since came up while this node ran
}

const perMilli = int64(time.Millisecond)

// settle gives the entries of a list their starts on the node's clock, and forgets engines that left long ago.
func (s *starts) settle(engines []endpoint.Entry, now int64) []endpoint.Entry {
	next := make(map[string]start, len(engines))
	out := make([]endpoint.Entry, len(engines))
	for i, e := range engines {
		if e.StartedAtMs > 0 {
			known := s.of(e, now)
			known.seen = now
			next[e.ID] = known
			e.StartedAtMs = known.at / perMilli
		}
		out[i] = e
	}
	for engine, known := range s.known {
		if _, listed := next[engine]; !listed && now-known.seen <= departed {
			next[engine] = known
		}
	}
	s.known, s.began = next, true
	return out
}

// isNew is whether an entry tells a start of its engine that was not told before.
func (s *starts) isNew(e endpoint.Entry) bool {
	return e.StartedAtMs > 0 && s.known[e.ID].told != e.StartedAtMs
}

func (s *starts) of(e endpoint.Entry, now int64) start {
	before, known := s.known[e.ID]
	if known && before.told == e.StartedAtMs {
		return before
	}
	at := e.StartedAtMs * perMilli
	if at > now || s.began && now-at > int64(lateNews) {
		at = now
	}
	// A new start is never before the last one, whatever the clocks say.
	return start{told: e.StartedAtMs, at: max(at, before.at+perMilli)}
}
