package planclient

import "sandcourse/internal/endpoint"

// startTimeTolerance is the maximum difference between two estimates of one start, in milliseconds. A plan contains the uptime at
// the planner's last poll; the age of that value and the delay until the edge receives it add to the estimate.
const startTimeTolerance = 2000

// startTimes holds the first estimate of each engine's start time. Without it, start times would vary a little with each
// plan, and the router takes a later start time for a restart, after which the engine's cache is empty.
type startTimes map[string]int64

// stabilize replaces later estimates of the same start by the first one, and forgets engines that are not listed.
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
