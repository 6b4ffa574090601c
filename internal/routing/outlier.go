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
	e.suspect, e.quiet = true, false
}

// isSlow is whether an engine takes three times as long for its prefill work as the median engine; its work
// is what was queued by its report and what was not cached. Latency is high at busy engines too, this is not.
// It does harm where an engine reports too little work: that one then counts as slow.
func (p *Policy) isSlow(e *engine) bool {
	const slowFactor = 3
	usual := p.usualWorkLatencies()
	return len(e.latencyPerWork) >= minWorkSamples && usual.engines >= minWorkSamples &&
		median(e.latencyPerWork) > slowFactor*usual.median
}

// minWorkSamples is of how many prefills, and of how many engines, latencies for work are known that say something.
const minWorkSamples = 3

// workLatency is the median engine's latency for its work.
type workLatency struct {
	known   bool
	median  time.Duration
	engines int // of which it is the median
}

// usualWorkLatencies looks at all engines, once in a step.
func (p *Policy) usualWorkLatencies() workLatency {
	if p.usualWorkLatency.known {
		return p.usualWorkLatency
	}
	var all []time.Duration
	for _, e := range p.ordered {
		if e.Ready && len(e.latencyPerWork) >= minWorkSamples {
			all = append(all, median(e.latencyPerWork))
		}
	}
	p.usualWorkLatency = workLatency{known: true, median: median(all), engines: len(all)}
	return p.usualWorkLatency
}

// expired is whether an engine was removed so long ago that its faults do not count any more, and has nothing
// in flight. Engines that are always replaced would else be remembered for ever.
func (p *Policy) expired(e *engine) bool {
	return e.removedAt > 0 && p.now-e.removedAt > faultWindow && len(e.open.all) == 0
}

// usableEngines are those of a group that fit and are healthy, in their order. Where none is healthy, the best that
// fit are. Whether a quiet engine fits is not asked.
func (p *Policy) usableEngines(req *request, group *engineGroup, fits func(*engine) bool) []*engine {
	if p.isClosed(group) {
		return nil
	}
	fitting := make([]*engine, 0, len(group.engines))
	usual := usualHealth{}
	closed := 0
	for _, e := range group.engines {
		warmingUp := p.warmingUp(e)
		switch {
		case warmingUp && !p.withinSlowStart(e):
			closed++
		case !warmingUp && p.isQuiet(e):
			fitting = append(fitting, e)
			usual.faultless++
		case fits(e):
			fitting = append(fitting, e)
			usual.add(p, e)
		}
	}
	if closed > 0 && closed == len(group.engines) {
		group.closed = p.closure(group.engines)
	}
	healthy := p.healthyEngines(req, fitting, &usual)
	if len(healthy) > 0 {
		return healthy
	}
	return leastBad(req, fitting)
}

// healthyEngines are those of some engines that are healthy, in their order.
func (p *Policy) healthyEngines(req *request, engines []*engine, usual *usualHealth) []*engine {
	usualLatency, usualFaults := usual.latency(), usual.faultCount()
	healthy := make([]*engine, 0, len(engines))
	for _, e := range engines {
		failed := len(req.attempts) > 0 && req.failedOn(e)
		if !failed && (p.isQuiet(e) || p.isHealthy(req, e, p.loadOf(e), usualLatency, usualFaults)) {
			healthy = append(healthy, e)
		}
	}
	return healthy
}

// usualHealth collects what latencies and faults are usual among engines.
type usualHealth struct {
	latencies []time.Duration // of the engines of which they are known
	faults    []int64         // of the engines that had any
	faultless int             // engines without one
}

func (u *usualHealth) add(p *Policy, e *engine) {
	if faults := p.countSince(e.faultTimes, faultWindow); faults > 0 {
		u.faults = append(u.faults, int64(faults))
	} else {
		u.faultless++
	}
	if latency, known := p.latency(e, p.loadOf(e)); known {
		u.latencies = append(u.latencies, latency)
	}
}

// latency is the usual one of the others: that of an outlier is the largest, and of two or four engines, half would
// else be usual.
func (u *usualHealth) latency() time.Duration {
	slices.Sort(u.latencies)
	return median(u.latencies[:max(0, len(u.latencies)-1)])
}

func (u *usualHealth) faultCount() float64 { return float64(medianWithZeros(u.faults, u.faultless)) }

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
