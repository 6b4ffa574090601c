package invariant

import (
	"maps"
	"slices"
)

// OpenRequests are the requests that are known, by id.
func (m *Monitor) OpenRequests() []int64 { return slices.Sorted(maps.Keys(m.requests)) }
