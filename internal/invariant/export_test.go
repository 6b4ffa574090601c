package invariant

import (
	"maps"
	"slices"
)

// OpenRequests lists the IDs of the requests that are recorded.
func (m *Monitor) OpenRequests() []int64 { return slices.Sorted(maps.Keys(m.requests)) }
