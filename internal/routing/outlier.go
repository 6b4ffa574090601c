package routing

import (
	"slices"
	"time"
)

const (
	// faultWindow is how long faults count: several times the longest ejection.
	faultWindow = time.Minute
	// faultMergeWindow is the time within which failures count as one fault, as one fault may break many attempts.
	faultMergeWindow = 500 * time.Millisecond
	// baseEjectionTime is the ejection time after the first fault. It doubles with each further fault, up to three times.
	baseEjectionTime = 2 * time.Second
)

// recordFault records a fault of an engine.
func (p *Policy) recordFault(e *engine) {
	if len(e.faultTimes) == 0 || p.now-e.faultTimes[len(e.faultTimes)-1] > faultMergeWindow {
		e.faultTimes = appendBounded(e.faultTimes, p.now, 6)
	}
	e.suspect, e.idle = true, false
}

// isSlow reports whether an engine takes three times as long for its prefill work as the median engine. The work is the
// queued work in the engine's report and the uncached tokens of the prompt. Unlike latency, latency per work is not high on
// busy engines. The rule is harmful where an engine reports too little work: that engine then counts as slow.
func (p *Policy) isSlow(e *engine) bool {
	const slowFactor = 3
	fleet := p.medianWorkLatency()
	return len(e.latencyPerWork) >= minWorkSamples && fleet.engines >= minWorkSamples &&
		median(e.latencyPerWork) > slowFactor*fleet.median
}

// minWorkSamples is the least number of prefills, and of engines, for a meaningful median of latencies per work.
const minWorkSamples = 3

// workLatencyMedian is the median over engines of their latency per work.
type workLatencyMedian struct {
	valid   bool
	median  time.Duration
	engines int // number of engines in the median
}

// medianWorkLatency returns the median over all engines. The result is cached until the step ends or a latency is added.
func (p *Policy) medianWorkLatency() workLatencyMedian {
	if p.cachedWorkLatency.valid {
		return p.cachedWorkLatency
	}
	var all []time.Duration
	for _, e := range p.sortedEngines {
		if e.Ready && len(e.latencyPerWork) >= minWorkSamples {
			all = append(all, median(e.latencyPerWork))
		}
	}
	p.cachedWorkLatency = workLatencyMedian{valid: true, median: median(all), engines: len(all)}
	return p.cachedWorkLatency
}

// isExpired reports whether an engine was removed so long ago that its faults no longer count, and has no attempt in
// flight. Without expiry, the records of replaced engines would accumulate without bound.
func (p *Policy) isExpired(e *engine) bool {
	return e.removedAt > 0 && p.now-e.removedAt > faultWindow && len(e.open.all) == 0
}

// usableEngines returns the engines of a group that fit and are healthy, in their order. If no engine is healthy, it
// returns the least unhealthy engines that fit. Idle engines count as fitting without a call of fits.
func (p *Policy) usableEngines(req *request, group *engineGroup, fits func(*engine) bool) []*engine {
	if p.isBudgetExhausted(group) {
		return nil
	}
	fitting := make([]*engine, 0, len(group.engines))
	baseline := healthBaseline{}
	exhausted := 0
	for _, e := range group.engines {
		warmingUp := p.isWarmingUp(e)
		switch {
		case warmingUp && !p.withinSlowStartBudget(e):
			exhausted++
		case !warmingUp && p.isIdle(e):
			fitting = append(fitting, e)
			baseline.faultlessCount++
		case fits(e):
			fitting = append(fitting, e)
			baseline.add(p, e)
		}
	}
	if exhausted > 0 && exhausted == len(group.engines) {
		group.exhaustion = p.budgetExhaustionOf(group.engines)
	}
	healthy := p.healthyEngines(req, fitting, &baseline)
	if len(healthy) > 0 {
		return healthy
	}
	return leastUnhealthy(req, fitting)
}

// healthyEngines returns the healthy ones of the given engines, in their order.
func (p *Policy) healthyEngines(req *request, engines []*engine, baseline *healthBaseline) []*engine {
	medianLatency, medianFaults := baseline.medianLatency(), baseline.medianFaults()
	healthy := make([]*engine, 0, len(engines))
	for _, e := range engines {
		failed := len(req.attempts) > 0 && req.hasFailedOn(e)
		if !failed && (p.isIdle(e) || p.isHealthy(req, e, p.loadOf(e), medianLatency, medianFaults)) {
			healthy = append(healthy, e)
		}
	}
	return healthy
}

// healthBaseline collects the latencies and faults of engines, against whose medians each engine is compared.
type healthBaseline struct {
	latencies      []time.Duration // latencies of the engines for which one is known
	faults         []int64         // fault counts of the engines that had faults
	faultlessCount int             // number of engines without faults
}

func (b *healthBaseline) add(p *Policy, e *engine) {
	if faults := p.countSince(e.faultTimes, faultWindow); faults > 0 {
		b.faults = append(b.faults, int64(faults))
	} else {
		b.faultlessCount++
	}
	if latency, known := p.latency(e, p.loadOf(e)); known {
		b.latencies = append(b.latencies, latency)
	}
}

// medianLatency returns the median without the largest latency, which may be that of an outlier: of two or four engines,
// the upper half would otherwise count as normal.
func (b *healthBaseline) medianLatency() time.Duration {
	slices.Sort(b.latencies)
	return median(b.latencies[:max(0, len(b.latencies)-1)])
}

func (b *healthBaseline) medianFaults() float64 {
	return float64(medianWithZeros(b.faults, b.faultlessCount))
}

// leastUnhealthy returns the engines that are not suspect and on which the request has not failed; without such engines
// those on which the request has not failed; otherwise all. An engine that is gone would otherwise be chosen again, as it
// has the fewest streams. The rule is harmful where all engines fail alike, as attempts are then distributed less evenly.
func leastUnhealthy(req *request, engines []*engine) []*engine {
	suspect := func(e *engine) bool { return e.suspect || req.hasFailedOn(e) }
	for _, excluded := range []func(*engine) bool{suspect, req.hasFailedOn} {
		if remaining := slices.DeleteFunc(slices.Clone(engines), excluded); len(remaining) > 0 {
			return remaining
		}
	}
	return engines
}

// isHealthy reports whether an engine is neither failing nor unresponsive nor slow. Each fault ejects an engine, for longer
// with each further one; afterwards the engine gets one trial attempt at a time, besides its open streams. Latencies and
// faults are compared with those of the other engines: a busy fleet has high values too, and network faults affect all
// engines alike, so that ejecting each engine with a fault would leave the whole load to one or two. The rule is harmful
// where most engines fail partially.
func (p *Policy) isHealthy(req *request, e *engine, load engineLoad, medianLatency time.Duration,
	medianFaults float64) bool {
	// Noise seldom reaches both three times the median latency and a third of the objective; slow and dead engines do.
	latency, _ := p.latency(e, load)
	high := float64(latency) > p.firstTokenObjective(req)/3
	if high && (latency > 3*medianLatency || p.isSlow(e)) {
		return false
	}
	if len(e.faultTimes) > 0 && p.now-e.faultTimes[len(e.faultTimes)-1] < p.ejection(e, medianFaults) {
		return false
	}
	// A request that has failed on this engine tries another one first.
	return (!e.suspect || len(load.waits) == 0) && !req.hasFailedOn(e)
}

// ejection returns how long an engine is ejected after its last fault.
func (p *Policy) ejection(e *engine, medianFaults float64) time.Duration {
	if excess := p.countSince(e.faultTimes, faultWindow) - medianFaults; excess > 0 {
		return baseEjectionTime << min(int(excess)-1, 3)
	}
	if e.suspect {
		return faultMergeWindow
	}
	return 0
}
