package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// maxDeltas is how many reports back the demand is measured. Ten reports of a second are long enough that a
	// variance of a few seconds evens out, and short enough that a shift shows within one change.
	maxDeltas = 10
	// maxEdges bounds the memory that edges with ever new names can take.
	maxEdges            = 10_000
	edgeResponsiveFor   = 4 * time.Second // the counts of an edge that has not reported for longer are not used
	edgeExpectedFor     = time.Minute     // after which an edge that does not report is forgotten
	minEdgeSpan         = 0.1             // seconds, so that one early report makes no high rate
	defaultAnswerTokens = 64              // of a request on a route of which no request has ended yet
	// Of a prompt token, a part is computed: an engine may compute again what another has cached, so it can be
	// more than 1. Values below a fiftieth are not credible.
	minUncachedRatio = 0.02
	maxUncachedRatio = 1.5
)

// demandEstimator estimates the demand from the load reports of edges.
type demandEstimator struct {
	edges         map[string]*edgeRecord
	uncachedRatio float64            // computed tokens per prompt token, latest known; 0 if unknown
	answerTokens  map[string]float64 // of a request by route, latest known
}

func newDemandEstimator() demandEstimator {
	return demandEstimator{edges: map[string]*edgeRecord{}, answerTokens: map[string]float64{}}
}

// edgeRecord is what is known of one edge.
type edgeRecord struct {
	report     planapi.EdgeReport
	reportedAt int64
	deltas     []countDelta
}

// countDelta is what an edge counted between two reports.
type countDelta struct {
	duration time.Duration
	routes   []planapi.RouteCount
}

// handleReport takes the difference to the last report of the same incarnation of an edge.
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

// countOf is the latest report's count of a route, or the zero count.
func (e *edgeRecord) countOf(route string) planapi.RouteCount {
	for _, count := range e.report.Routes {
		if count.Route == route {
			return count
		}
	}
	return planapi.RouteCount{}
}

// subtractCounts is what was counted since an earlier report. It is not ok if a count went down, which no edge
// does within an incarnation.
func subtractCounts(count, earlier planapi.RouteCount) (difference planapi.RouteCount, ok bool) {
	difference = planapi.RouteCount{Route: count.Route,
		Arrived: count.Arrived - earlier.Arrived, PromptTokens: count.PromptTokens - earlier.PromptTokens,
		Started: count.Started - earlier.Started, StartedPromptTokens: count.StartedPromptTokens - earlier.StartedPromptTokens,
		Completed: count.Completed - earlier.Completed, CompletionTokens: count.CompletionTokens - earlier.CompletionTokens,
		WithinObjective: count.WithinObjective - earlier.WithinObjective, Shed: count.Shed - earlier.Shed}
	return difference, min(difference.Arrived, difference.PromptTokens, difference.Started, difference.StartedPromptTokens,
		difference.Completed, difference.CompletionTokens, difference.WithinObjective, difference.Shed) >= 0
}

// edgeCounts adds up what the edges counted within the window.
type edgeCounts struct {
	known, reporting int
	startedTokenRate float64 // prompt tokens per second of the requests whose first token came
	routes           map[string]*routeCounts
}

// routeCounts adds up one model route.
type routeCounts struct {
	arrived, prompt, ended, answer, lost float64
	rates                                []float64 // arrivals per second at each edge that has the route
}

func (d *demandEstimator) collect(now int64) edgeCounts {
	counts := edgeCounts{routes: map[string]*routeCounts{}}
	for _, name := range slices.Sorted(maps.Keys(d.edges)) {
		edge := d.edges[name]
		silence := time.Duration(now - edge.reportedAt)
		if silence > edgeExpectedFor {
			delete(d.edges, name)
			continue
		}
		counts.known++
		if silence > edgeResponsiveFor || len(edge.deltas) == 0 {
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
	for route, count := range arrived { // each adds to its own route, so the order does not matter
		c.routes[route].rates = append(c.routes[route].rates, count/span)
	}
}

func (r *routeCounts) add(count planapi.RouteCount) {
	r.arrived += count.Arrived
	r.prompt += count.PromptTokens
	r.ended += count.Completed
	r.answer += count.CompletionTokens
	r.lost += count.Shed + max(0, count.Started-count.WithinObjective)
}

// arrivalRate is the arrivals per second at so many edges, none of which counts for more than a few times the
// median one, as a load report may be wrong.
func (r *routeCounts) arrivalRate(edges int) (total float64) {
	for len(r.rates) < edges {
		r.rates = append(r.rates, 0)
	}
	slices.Sort(r.rates)
	limit := outlierFactor * r.rates[len(r.rates)/2]
	if len(r.rates) < minForOutlierLimit || limit == 0 {
		limit = r.rates[len(r.rates)-1]
	}
	for _, rate := range r.rates {
		total += min(rate, limit)
	}
	return total
}

// estimateDemand returns what arrives, and how many edges report of those that are known. Edges that do not
// report are taken to receive as much as the others do on average.
func (c *Controller) estimateDemand() (mix TrafficMix, reporting, known int) {
	counts := c.demand.collect(c.now)
	c.updateUncachedRatio(counts)
	for _, route := range slices.Sorted(maps.Keys(counts.routes)) {
		demand := c.demand.onRoute(route, counts)
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

// updateUncachedRatio compares the tokens that prefill engines computed with the prompt tokens of the requests
// that they computed them for. Engines and edges that do not report are taken to be like the others.
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

// onRoute is the demand on a route, without its value.
func (d *demandEstimator) onRoute(route string, counts edgeCounts) RouteDemand {
	total := counts.routes[route]
	if total.ended > 0 {
		d.answerTokens[route] = total.answer / total.ended
	}
	rate := total.arrivalRate(counts.reporting) * (float64(counts.known) / float64(max(counts.reporting, 1)))
	return RouteDemand{Route: route, Rate: rate,
		PrefillTokens: total.prompt / max(total.arrived, 1) * cmp.Or(d.uncachedRatio, 1),
		DecodeTokens:  cmp.Or(d.answerTokens[route], defaultAnswerTokens),
		LostRate:      rate * min(1, total.lost/max(total.arrived, 1))}
}
