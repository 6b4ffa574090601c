package edge

import (
	"maps"
	"slices"

	"sandcourse/internal/planner/planapi"
)

// loadCounters are what the edge has counted on each model route since it started, by the route's name. They are the
// owner's.
type loadCounters map[string]*planapi.RouteCount

// of is the count of one route.
func (l loadCounters) of(route string) *planapi.RouteCount {
	count := l[route]
	if count == nil {
		count = &planapi.RouteCount{Route: route}
		l[route] = count
	}
	return count
}

// list copies all counts, in the order of the routes' names.
func (l loadCounters) list() (counts []planapi.RouteCount) {
	for _, route := range slices.Sorted(maps.Keys(l)) {
		counts = append(counts, *l[route])
	}
	return counts
}
