package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// workSample is one engine's work between two reports.
type workSample struct {
	takenAt, duration   int64
	tokens, busySeconds float64 // tokens, and seconds of all its slots
	prefill             bool
}

// edgeRecord is what is known of one edge: its last reports, as differences.
type edgeRecord struct {
	report     planapi.EdgeReport
	reportedAt int64
	deltas     []countDelta
}

type countDelta struct {
	takenAt, duration int64
	routes            []planapi.RouteCount // counted within dt
}

// How far back measurements go. Ten reports of a second: long enough that a swing of a few seconds evens out,
// short enough that a shift shows within one switch.
const (
	maxDeltas         = 10
	maxSamples        = 16
	edgeResponsiveFor = int64(4 * time.Second)  // an edge that said nothing for longer is not counted
	edgeKnownFor      = int64(60 * time.Second) // and after this it is not expected any more
)

// recordSample takes what an engine did since its last report. A report of another life or role, or one that
// counts backwards, begins anew.
func (engine *engineRecord) recordSample(report planapi.EngineReport, now int64) {
	previous := engine.report
	elapsed := now - engine.reportedAt
	if engine.reportedAt == 0 || previous.Incarnation != report.Incarnation || previous.Role != report.Role || report.PrefillTokens < previous.PrefillTokens ||
		report.DecodeTokens < previous.DecodeTokens || report.BusySeconds < previous.BusySeconds || elapsed <= 0 {
		return
	}
	sample := workSample{takenAt: now, duration: elapsed, tokens: report.DecodeTokens - previous.DecodeTokens, busySeconds: report.BusySeconds - previous.BusySeconds,
		prefill: report.Role == planapi.Prefill}
	if sample.prefill {
		sample.tokens = report.PrefillTokens - previous.PrefillTokens
	}
	// Reports come four times a second; a second of them makes a sample.
	if n := len(engine.samples); n > 0 && engine.samples[n-1].duration < int64(time.Second) &&
		engine.samples[n-1].prefill == sample.prefill {
		latest := &engine.samples[n-1]
		latest.takenAt, latest.duration, latest.tokens, latest.busySeconds = sample.takenAt, latest.duration+sample.duration, latest.tokens+sample.tokens, latest.busySeconds+sample.busySeconds
		return
	}
	engine.samples = appendBounded(engine.samples, sample, maxSamples)
}

// handleEdgeReport takes the differences between two reports of one life of an edge.
func (c *Controller) handleEdgeReport(report planapi.EdgeReport) {
	edge := c.edges[report.Edge]
	if edge == nil {
		if len(c.edges) >= 10_000 {
			return
		}
		edge = &edgeRecord{}
		c.edges[report.Edge] = edge
	}
	if edge.reportedAt > 0 && edge.report.Incarnation == report.Incarnation && c.now > edge.reportedAt {
		delta := countDelta{takenAt: c.now, duration: c.now - edge.reportedAt}
		for _, count := range report.Routes {
			i := slices.IndexFunc(edge.report.Routes,
				func(previous planapi.RouteCount) bool { return previous.Route == count.Route })
			var previous planapi.RouteCount
			if i >= 0 {
				previous = edge.report.Routes[i]
			}
			difference := planapi.RouteCount{Route: count.Route, Arrived: count.Arrived - previous.Arrived,
				PromptTokens: count.PromptTokens - previous.PromptTokens, Started: count.Started - previous.Started,
				StartedPromptTokens: count.StartedPromptTokens - previous.StartedPromptTokens, Completed: count.Completed - previous.Completed, CompletionTokens: count.CompletionTokens - previous.CompletionTokens,
				WithinObjective: count.WithinObjective - previous.WithinObjective,
				Shed:            count.Shed - previous.Shed}
			if min(difference.Arrived, difference.PromptTokens, difference.Started, difference.StartedPromptTokens, difference.Completed, difference.CompletionTokens, difference.WithinObjective, difference.Shed) < 0 {
				continue // it counts backwards: no life does
			}
			delta.routes = append(delta.routes, difference)
		}
		edge.deltas = appendBounded(edge.deltas, delta, maxDeltas)
	}
	edge.report, edge.reportedAt = report, c.now
}

// routeDemand is what arrives on one model route.
type routeDemand struct {
	Route         string  `json:"route"`
	Rate          float64 `json:"rate"`         // inferences a second
	PrefillTokens float64 `json:"read_tokens"`  // work of one at a reader
	DecodeTokens  float64 `json:"write_tokens"` // and at a writer
	Value         float64 `json:"value"`
	LostRate      float64 `json:"lost"` // inferences a second that are shed, or whose first token comes late
}

// trafficMix is all of them, by route.
type trafficMix []routeDemand

// estimateDemand adds up what arrives. Edges that are not heard are taken to see as much as the others do on average,
// and no edge counts for more than four times the middle one: a report may be wrong.
func (c *Controller) estimateDemand() (mix trafficMix, reporting, known int) {
	type sum struct{ arrived, prompt, ended, answer, lost float64 }
	rates := map[string][]float64{}
	totals := map[string]*sum{}
	begun, rows := 0.0, 0 // prompt tokens a second whose first token came
	for _, name := range slices.Sorted(maps.Keys(c.edges)) {
		edge := c.edges[name]
		if c.now-edge.reportedAt > edgeKnownFor {
			delete(c.edges, name)
			continue
		}
		known++
		if c.now-edge.reportedAt > edgeResponsiveFor || len(edge.deltas) == 0 {
			continue
		}
		reporting++
		span, read := 0.0, 0.0
		arrivedByRoute := map[string]float64{}
		for _, delta := range edge.deltas {
			span += float64(delta.duration) / 1e9
			for _, count := range delta.routes {
				arrivedByRoute[count.Route] += count.Arrived
				if totals[count.Route] == nil {
					totals[count.Route] = &sum{}
				}
				total := totals[count.Route]
				total.arrived, total.prompt, total.ended, total.answer = total.arrived+count.Arrived, total.prompt+count.PromptTokens,
					total.ended+count.Completed, total.answer+count.CompletionTokens
				total.lost += count.Shed + max(0, count.Started-count.WithinObjective)
				read += count.StartedPromptTokens
			}
		}
		begun += read / max(span, 0.1)
		rows++
		for route, n := range arrivedByRoute {
			rates[route] = append(rates[route], n/max(span, 0.1))
		}
	}
	if read, n := c.tokenRate(planapi.Prefill); begun > 0 && n > 0 {
		// What is read of each prompt token. Readers and edges that are not heard are as the others are. A
		// reader may read again what another kept, so more than all is possible; under a fiftieth is not
		// believed.
		all, _ := c.supply(planapi.Prefill)
		read *= max(1, all/float64(n))
		begun *= float64(known) / float64(reporting)
		c.uncachedRatio = min(max(read/begun, 0.02), 1.5)
	}
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		total := totals[route]
		if total.ended > 0 {
			c.answerTokens[route] = total.answer / total.ended
		}
		row := rates[route]
		for len(row) < rows {
			row = append(row, 0)
		}
		slices.Sort(row)
		limit := 4 * row[len(row)/2]
		if len(row) < 3 || limit == 0 {
			limit = row[len(row)-1]
		}
		demand := routeDemand{Route: route, Value: cmp.Or(c.config.RouteValues[route], 1)}
		for _, r := range row {
			demand.Rate += min(r, limit)
		}
		demand.Rate *= float64(known) / float64(max(reporting, 1))
		demand.LostRate = demand.Rate * min(1, total.lost/max(total.arrived, 1))
		demand.PrefillTokens, demand.DecodeTokens = total.prompt/max(total.arrived, 1)*cmp.Or(c.uncachedRatio, 1), cmp.Or(c.answerTokens[route], 64)
		if demand.Rate > 0 {
			mix = append(mix, demand)
		}
	}
	// Those of highest value are served first, as the edges do.
	slices.SortStableFunc(mix, func(a, b routeDemand) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value),
			cmp.Compare(a.Route, b.Route))
	})
	return mix, reporting, known
}

// tokenRate is how many tokens a second all engines of a role do, and how many of them were heard. None counts for
// more than four times the middle one.
func (c *Controller) tokenRate(role string) (total float64, n int) {
	var rates []float64
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		tokens, span := 0.0, int64(0)
		for _, sample := range engine.samples {
			if sample.prefill == (role == planapi.Prefill) && c.now-sample.takenAt < int64(maxDeltas*time.Second) {
				tokens, span = tokens+sample.tokens, span+sample.duration
			}
		}
		if span > 0 {
			rates = append(rates, tokens/(float64(span)/1e9))
		}
	}
	slices.Sort(rates)
	for _, rate := range rates {
		if mid := rates[len(rates)/2]; len(rates) >= 3 && mid > 0 {
			rate = min(rate, 4*mid)
		}
		total += rate
	}
	return total, len(rates)
}

// throughput is how many tokens a second an engine of weight 1 does when it is busy: of each engine the second best
// of its last samples, so that a slow spell that is shorter than they reach does not count as more demand,
// and one wrong report does not count at all; of all engines the middle one.
func (c *Controller) throughput(role string) float64 {
	var throughputs []float64
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		var ownThroughputs []float64
		for _, sample := range engine.samples {
			// A twentieth busy: less work than that says little of how fast it goes.
			if sample.prefill == (role == planapi.Prefill) && sample.busySeconds > 0.05*float64(sample.duration)/1e9 && sample.tokens > 0 {
				ownThroughputs = append(ownThroughputs, sample.tokens/sample.busySeconds/cmp.Or(engine.listed.Weight, 1))
			}
		}
		if len(ownThroughputs) >= 3 {
			slices.Sort(ownThroughputs)
			throughputs = append(throughputs, ownThroughputs[len(ownThroughputs)-2])
		}
	}
	if len(throughputs) > 0 {
		slices.Sort(throughputs)
		c.throughputs[role] = throughputs[len(throughputs)/2]
	}
	if c.throughputs[role] == 0 {
		c.throughputs[role] = map[string]float64{planapi.Prefill: c.config.PrefillThroughput,
			planapi.Decode: c.config.DecodeThroughput}[role]
	}
	return c.throughputs[role]
}
