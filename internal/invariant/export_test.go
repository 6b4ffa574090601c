package invariant

import (
	"maps"
	"slices"
)

// Open are the requests that are known, by id.
func (m *Monitor) Open() []int64 { return slices.Sorted(maps.Keys(m.requests)) }
