package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// maxDeltas is the number of latest reports of an edge from which demand is measured. Ten reports, one each
	// second, average out variations of a few seconds and still show a shift of the load within one role change.
	maxDeltas = 10
	// maxEdges limits the memory used if edges keep reporting under new names.
	maxEdges              = 10_000
	edgeUnresponsiveAfter = 4 * time.Second // An edge's counts are not used if its latest report is older than this.
	edgeForgottenAfter    = time.Minute     // An edge is removed if its latest report is older than this.
	minEdgeSpan           = 0.1             // minEdgeSpan, in seconds, limits the rate computed from a single early report.
	defaultAnswerTokens   = 64              // answer tokens assumed for a route without completed requests
	// Limits of demandEstimator.uncachedRatio. The ratio can exceed 1, as an engine may compute tokens again
	// that another engine has cached. Ratios below a fiftieth are not credible.
	minUncachedRatio = 0.02
	maxUncachedRatio = 1.5
)

// demandEstimator estimates the demand from the load reports of edges.
type demandEstimator struct {
	edges         map[string]*edgeRecord
	uncachedRatio float64            // computed tokens per prompt token, latest known value; 0 if unknown
	answerTokens  map[string]float64 // tokens per answer by route, latest known value
}

func newDemandEstimator() demandEstimator {
	return demandEstimator{edges: map[string]*edgeRecord{}, answerTokens: map[string]float64{}}
}

// edgeRecord is the latest report of one edge and its recent counts.
type edgeRecord struct {
	report     planapi.EdgeReport
	reportedAt int64
	deltas     []countDelta
}

// countDelta holds the counts of an edge between two of its reports.
type countDelta struct {
	duration time.Duration
	routes   []planapi.RouteCount
}

// handleReport records the difference between an edge's report and the last one of the same incarnation.
func (d *demandEstimator) handleReport(now int64, report planapi.EdgeReport) {
	edge := d.edges[report.Edge]
	if edge == nil {
		if len(d.edges) >= maxEdges {
			return
		}
		edge = &edgeRecord{}
		d.edges[report.Edge] = edge
	}
	if edge.reportedAt > 0 && edge.report.Incarnation == report.Incarnation && now > edge.reportedAt {
		delta := countDelta{duration: time.Duration(now - edge.reportedAt)}
		for _, count := range report.Routes {
			if difference, ok := subtractCounts(count, edge.countOf(count.Route)); ok {
				delta.routes = append(delta.routes, difference)
			}
		}
		edge.deltas = appendBounded(edge.deltas, delta, maxDeltas)
	}
	edge.report, edge.reportedAt = report, now
}

// countOf returns the count of a route in the latest report, or the zero count.
func (e *edgeRecord) countOf(route string) planapi.RouteCount {
	for _, count := range e.report.Routes {
		if count.Route == route {
			return count
		}
	}
	return planapi.RouteCount{}
}

// subtractCounts returns the difference of two counts. It returns false if a count decreased, which does not happen
// within an incarnation.
func subtractCounts(count, earlier planapi.RouteCount) (difference planapi.RouteCount, ok bool) {
	difference = planapi.RouteCount{Route: count.Route,
		Arrived: count.Arrived - earlier.Arrived, PromptTokens: count.PromptTokens - earlier.PromptTokens,
		Started: count.Started - earlier.Started, StartedPromptTokens: count.StartedPromptTokens - earlier.StartedPromptTokens,
		Completed: count.Completed - earlier.Completed, CompletionTokens: count.CompletionTokens - earlier.CompletionTokens,
		WithinObjective: count.WithinObjective - earlier.WithinObjective, Shed: count.Shed - earlier.Shed}
	return difference, min(difference.Arrived, difference.PromptTokens, difference.Started, difference.StartedPromptTokens,
		difference.Completed, difference.CompletionTokens, difference.WithinObjective, difference.Shed) >= 0
}

// edgeCounts is the sum of the recent counts of all edges.
type edgeCounts struct {
	known, reporting int
	startedTokenRate float64 // prompt tokens per second of started requests
	routes           map[string]*routeCounts
}

// routeCounts is the sum of the recent counts of one model route.
type routeCounts struct {
	arrived, promptTokens, completed, completionTokens, lost float64
	edgeRates                                                []float64 // arrivals per second, for each edge with the route
}

// collect sums up the counts of all edges that report, and removes edges that have been silent for too long.
func (d *demandEstimator) collect(now int64) edgeCounts {
	counts := edgeCounts{routes: map[string]*routeCounts{}}
	for _, name := range slices.Sorted(maps.Keys(d.edges)) {
		edge := d.edges[name]
		sinceReport := time.Duration(now - edge.reportedAt)
		if sinceReport > edgeForgottenAfter {
			delete(d.edges, name)
			continue
		}
		counts.known++
		if sinceReport > edgeUnresponsiveAfter || len(edge.deltas) == 0 {
			continue
		}
		counts.reporting++
		counts.add(edge)
	}
	return counts
}

func (c *edgeCounts) add(edge *edgeRecord) {
	span, startedTokens := 0.0, 0.0
	arrived := map[string]float64{}
	for _, delta := range edge.deltas {
		span += seconds(delta.duration)
		for _, count := range delta.routes {
			if c.routes[count.Route] == nil {
				c.routes[count.Route] = &routeCounts{}
			}
			c.routes[count.Route].add(count)
			arrived[count.Route] += count.Arrived
			startedTokens += count.StartedPromptTokens
		}
	}
	span = max(span, minEdgeSpan)
	c.startedTokenRate += startedTokens / span
	for route, count := range arrived { // Each iteration changes only its own route, so the order does not matter.
		c.routes[route].edgeRates = append(c.routes[route].edgeRates, count/span)
	}
}

func (r *routeCounts) add(count planapi.RouteCount) {
	r.arrived += count.Arrived
	r.promptTokens += count.PromptTokens
	r.completed += count.Completed
	r.completionTokens += count.CompletionTokens
	r.lost += count.Shed + max(0, count.Started-count.WithinObjective)
}

// arrivalRate returns the arrivals per second at all reporting edges. The rate of each edge is limited to a few
// times the median, as a load report may be wrong.
func (r *routeCounts) arrivalRate(edges int) (total float64) {
	for len(r.edgeRates) < edges {
		r.edgeRates = append(r.edgeRates, 0)
	}
	slices.Sort(r.edgeRates)
	limit := outlierFactor * r.edgeRates[len(r.edgeRates)/2]
	if len(r.edgeRates) < minForOutlierLimit || limit == 0 {
		limit = r.edgeRates[len(r.edgeRates)-1]
	}
	for _, rate := range r.edgeRates {
		total += min(rate, limit)
	}
	return total
}

// estimateDemand returns the traffic mix, and the numbers of reporting and of known edges. Edges that do not report
// are assumed to receive the average of the others.
func (c *Controller) estimateDemand() (mix TrafficMix, reporting, known int) {
	counts := c.demand.collect(c.now)
	c.updateUncachedRatio(counts)
	for _, route := range slices.Sorted(maps.Keys(counts.routes)) {
		demand := c.demand.routeDemand(route, counts)
		demand.Value = cmp.Or(c.config.RouteValues[route], 1)
		if demand.Rate > 0 {
			mix = append(mix, demand)
		}
	}
	// Edges admit the routes of the highest value first.
	slices.SortStableFunc(mix, func(a, b RouteDemand) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Route, b.Route))
	})
	return mix, counts.reporting, counts.known
}

// updateUncachedRatio divides the tokens that prefill engines computed by the prompt tokens of the requests that
// started. Engines and edges that do not report are assumed to be like the others.
func (c *Controller) updateUncachedRatio(counts edgeCounts) {
	computed, measured := c.tokenRate(planapi.Prefill)
	if counts.startedTokenRate <= 0 || measured == 0 {
		return
	}
	serving, _ := c.supply(planapi.Prefill)
	computed *= max(1, serving/float64(measured))
	started := counts.startedTokenRate * (float64(counts.known) / float64(counts.reporting))
	c.demand.uncachedRatio = min(max(computed/started, minUncachedRatio), maxUncachedRatio)
}

// routeDemand returns the demand on a route, with Value not set.
func (d *demandEstimator) routeDemand(route string, counts edgeCounts) RouteDemand {
	total := counts.routes[route]
	if total.completed > 0 {
		d.answerTokens[route] = total.completionTokens / total.completed
	}
	rate := total.arrivalRate(counts.reporting) * (float64(counts.known) / float64(max(counts.reporting, 1)))
	return RouteDemand{Route: route, Rate: rate,
		PrefillTokens: total.promptTokens / max(total.arrived, 1) * cmp.Or(d.uncachedRatio, 1),
		DecodeTokens:  cmp.Or(d.answerTokens[route], defaultAnswerTokens),
		LostRate:      rate * min(1, total.lost/max(total.arrived, 1))}
}
