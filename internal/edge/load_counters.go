package edge

import (
	"maps"
	"slices"

	"sandcourse/internal/planner/planapi"
)

// loadCounters are the request counts of each model route since the edge started, by the route's name. Only the owner
// accesses them.
type loadCounters map[string]*planapi.RouteCount

// forRoute returns the counters of one route, which it creates on first use.
func (l loadCounters) forRoute(route string) *planapi.RouteCount {
	count := l[route]
	if count == nil {
		count = &planapi.RouteCount{Route: route}
		l[route] = count
	}
	return count
}

// snapshot returns a copy of all counters, sorted by route name.
func (l loadCounters) snapshot() (counts []planapi.RouteCount) {
	for _, route := range slices.Sorted(maps.Keys(l)) {
		counts = append(counts, *l[route])
	}
	return counts
}
