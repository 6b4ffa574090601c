package routing

import (
	"slices"
	"time"
)

const (
	// faultWindow is for how long faults count: several times the longest ejection.
	faultWindow = time.Minute
	// faultSpan is the time within which all comes that one fault breaks.
	faultSpan = 500 * time.Millisecond
	// baseEjection doubles with each further fault, up to three times.
	baseEjection = 2 * time.Second
)

// recordFault notes a fault of an engine.
func (p *Policy) recordFault(e *engine) {
	if len(e.faultTimes) == 0 || p.now-e.faultTimes[len(e.faultTimes)-1] > faultSpan {
		e.faultTimes = appendBounded(e.faultTimes, p.now, 6)
	}
	e.suspect = true
}

// isSlow is whether an engine takes three times as long for its prefill work as the median engine; its work
// is what was queued by its report and what was not cached. Latency is high at busy engines too, this is not.
// It does harm where an engine reports too little work: that one then counts as slow.
func (p *Policy) isSlow(e *engine) bool {
	const minSamples, slowFactor = 3, 3
	var all []time.Duration
	for _, id := range p.engineIDs {
		if other := p.engines[id]; other.Ready && len(other.latencyPerWork) >= minSamples {
			all = append(all, median(other.latencyPerWork))
		}
	}
	return len(e.latencyPerWork) >= minSamples && len(all) >= minSamples &&
		median(e.latencyPerWork) > slowFactor*median(all)
}

// expired is whether an engine was removed so long ago that its faults do not count any more, and has nothing
// in flight. Engines that are always replaced would else be remembered for ever.
func (p *Policy) expired(e *engine, l engineLoad) bool {
	return e.removedAt > 0 && p.now-e.removedAt > faultWindow && l.prefills+l.streams == 0
}

// usableEngines are the engines that fit and are healthy, by ID. Where none is healthy, the best that fit
// are.
func (p *Policy) usableEngines(req *request, loads map[string]engineLoad, fits func(*engine) bool) []*engine {
	fitting, healthy := []*engine{}, []*engine{}
	latencies, faults := []time.Duration{}, []int64{}
	for _, id := range p.engineIDs {
		if e := p.engines[id]; e.Ready && fits(e) && p.withinSlowStart(e) {
			fitting, faults = append(fitting, e), append(faults, int64(p.countSince(e.faultTimes, faultWindow)))
			if latency, known := p.latency(e, loads[id]); known {
				latencies = append(latencies, latency)
			}
		}
	}
	// The usual latency is of the others: that of an outlier is the largest, and of two or four engines, half
	// would else be usual.
	slices.Sort(latencies)
	usualLatency, usualFaults := median(latencies[:max(0, len(latencies)-1)]), float64(median(faults))
	for _, e := range fitting {
		if p.isHealthy(req, e, loads[e.Engine], usualLatency, usualFaults) {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return leastBad(req, fitting)
}

// leastBad are those of the unhealthy engines that were healthy since their fault, else those on which the
// request has not failed: an engine that is gone has the fewest streams. It does harm where all fail alike,
// as turns are then less even.
func leastBad(req *request, engines []*engine) []*engine {
	suspect := func(e *engine) bool { return e.suspect || req.failedOn(e) }
	for _, worse := range []func(*engine) bool{suspect, req.failedOn} {
		if better := slices.DeleteFunc(slices.Clone(engines), worse); len(better) > 0 {
			return better
		}
	}
	return engines
}

// isHealthy ejects failing, unresponsive and slow engines alike. Each fault ejects an engine, for longer with
// each more; then one attempt at a time tries it, beside the open streams. Latencies and faults are measured
// against those of the other engines: a busy fleet has high ones too, and network faults hit all alike; to
// eject whoever was met last would leave all to one or two. It does harm where most engines fail in part.
func (p *Policy) isHealthy(req *request, e *engine, l engineLoad, usualLatency time.Duration,
	usualFaults float64) bool {
	// Noise seldom makes three times the usual latency and a third of the objective, slow and dead engines
	// do.
	latency, _ := p.latency(e, l)
	high := float64(latency) > p.firstTokenObjective(req)/3
	if high && (latency > 3*usualLatency || p.isSlow(e)) {
		return false
	}
	if len(e.faultTimes) > 0 && p.now-e.faultTimes[len(e.faultTimes)-1] < p.ejection(e, usualFaults) {
		return false
	}
	// A request that has failed there once tries another first.
	return (!e.suspect || len(l.waits) == 0) && !req.failedOn(e)
}

// ejection is for how long after its last fault an engine is ejected.
func (p *Policy) ejection(e *engine, usualFaults float64) time.Duration {
	if excess := p.countSince(e.faultTimes, faultWindow) - usualFaults; excess > 0 {
		return baseEjection << min(int(excess)-1, 3)
	}
	if e.suspect {
		return faultSpan
	}
	return 0
}
