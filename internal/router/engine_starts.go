package router

import (
	"maps"
	"slices"
	"time"

	"sandcourse/internal/endpoint"
)

// maxReportedAge is the maximum age of an engine start that is first reported while this router runs: lists arrive seconds
// late, and discovery may be down for longer. A start that seems older was stamped by a clock that differs from this
// router's. Such an engine counts as started when the start was first reported, and so as warming up.
const maxReportedAge = 30 * time.Second

// nanosPerMilli converts between the time units of endpoint lists and of the router.
const nanosPerMilli = int64(time.Millisecond)

// engineStart records when an engine started.
type engineStart struct {
	reported int64 // start time in the endpoint list, in milliseconds
	at       int64 // start time by the router's clock, in nanoseconds
	listedAt int64 // time at which the engine was last listed
}

// engineStarts converts the start times in endpoint lists into times of the router's clock. Machines stamp starts with
// their wall clocks, which may be stepped, while the router's clock is monotonic. A start is therefore compared with the
// clock only once, when it is first reported; later it is only compared with the start that was reported before.
type engineStarts struct {
	byEngine    map[string]engineStart
	initialized bool // a list was received; engines whose starts are first reported later started while this router ran
}

// normalize returns the entries with start times of the router's clock, and forgets engines that left long ago.
func (s *engineStarts) normalize(entries []endpoint.Entry, now int64) []endpoint.Entry {
	if s.byEngine == nil {
		s.byEngine = make(map[string]engineStart, len(entries))
	}
	normalized := slices.Clone(entries)
	for i := range normalized {
		entry := &normalized[i]
		if entry.StartedAtMs > 0 {
			start := s.startOf(*entry, now)
			start.listedAt = now
			s.byEngine[entry.ID] = start
			entry.StartedAtMs = start.at / nanosPerMilli
		}
	}
	maps.DeleteFunc(s.byEngine, func(_ string, start engineStart) bool { return now-start.listedAt > departedRetention })
	s.initialized = true
	return normalized
}

// isRestart reports whether the start time of an entry differs from the one that was reported before for its engine.
func (s *engineStarts) isRestart(entry endpoint.Entry) bool {
	return entry.StartedAtMs > 0 && s.byEngine[entry.ID].reported != entry.StartedAtMs
}

func (s *engineStarts) startOf(entry endpoint.Entry, now int64) engineStart {
	previous, known := s.byEngine[entry.ID]
	if known && previous.reported == entry.StartedAtMs {
		return previous
	}
	at := entry.StartedAtMs * nanosPerMilli
	if at > now || s.initialized && now-at > int64(maxReportedAge) {
		at = now
	}
	// A new start is always later than the previous one, whatever the wall clocks say.
	return engineStart{reported: entry.StartedAtMs, at: max(at, previous.at+nanosPerMilli)}
}
