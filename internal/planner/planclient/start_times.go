package planclient

import "sandcourse/internal/endpoint"

// startTimeTolerance is by how much two estimates of one start may differ, in milliseconds. A plan has how long an engine
// had been up when the planner last polled it; the age of that and the time to the edge add to the estimate.
const startTimeTolerance = 2000

// startTimes are the engines' start times as they were first estimated. Without them each plan would move the start times a
// little, and a start time that has become later stands for an engine that was restarted and has an empty cache.
type startTimes map[string]int64

// stabilize puts the first estimate in place of a later one of the same start, and forgets engines that are not listed.
func (s *startTimes) stabilize(list *endpoint.List) {
	next := startTimes{}
	for i := range list.Entries {
		entry := &list.Entries[i]
		first, known := (*s)[entry.ID]
		if known && first > 0 && entry.StartedAtMs > 0 && entry.StartedAtMs-first <= startTimeTolerance {
			entry.StartedAtMs = first
		}
		next[entry.ID] = entry.StartedAtMs
	}
	*s = next
}
