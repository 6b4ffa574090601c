package planclient

import "sandcourse/internal/endpoint"

// startTimeTolerance is by how much two estimates of one start may differ, in milliseconds: a plan tells how long an engine has
// been up, as the planner heard it some time before, and its way to the node adds to that.
const startTimeTolerance = 2000

// startTimes are the engines' starts as they were first estimated. Without them each plan would move the starts a little, and
// a start that has become later stands for an engine that has started anew and has forgotten all.
type startTimes map[string]int64

// stabilize puts the first estimate in place of a later one of the same start, and forgets engines that are not listed.
func (s *startTimes) stabilize(list *endpoint.List) {
	next := startTimes{}
	for i := range list.Entries {
		e := &list.Entries[i]
		first, known := (*s)[e.ID]
		if known && first > 0 && e.StartedAtMs > 0 && e.StartedAtMs-first <= startTimeTolerance {
			e.StartedAtMs = first
		}
		next[e.ID] = e.StartedAtMs
	}
	*s = next
}
