package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// engine is this node's record of one engine.
type engine struct {
	idle                  bool // cached result of isIdle; activity of the engine resets it
	canPrefill, canDecode bool
	warmingUpSince        time.Duration // time of the engine's last start; 0 if that was long ago
	Endpoint

	sendTimes        []time.Duration // send times of the last attempts
	progressTimes    []time.Duration // times at which prefills ended or first tokens arrived
	latencySamples   []sample
	latencyPerWork   []time.Duration // one per recent prefill: latency per thousand queued or uncached tokens
	faultTimes       []time.Duration
	suspect          bool          // the engine had a fault and has not responded since
	fullUntil        time.Duration // time from which a decode may be sent again after the engine rejected one
	healthyAt        time.Duration // time at which the engine last answered an attempt
	removedAt        time.Duration // time at which the engine left the endpoint list; 0 while it is listed
	lastListedUpdate uint64        // number of the update that last listed the engine
	open             openAttempts
	quarterDraw      quarterDraw

	memoryShare float64 // share of memory in use, from the last report
	queuedWork  float64 // queued work, from the last report
	reportedAt  time.Duration

	checkSentAt    time.Duration // time at which the last health check was sent
	checkEndedAt   time.Duration // time at which the last health check ended
	unresponsiveAt time.Duration // time at which a health check last ended without an answer
}

// sample is a measured latency, or the excess of a latency over a limit.
type sample struct {
	at, value time.Duration
}

// updateEndpoints applies an endpoint list. An engine that has restarted is warming up, and its cache is empty.
func (p *Policy) updateEndpoints(update EndpointUpdate) {
	p.updateCount++
	for _, endpoint := range update.Engines {
		p.updateEndpoint(endpoint)
	}
	for id, e := range p.engines {
		if update.Complete && e.lastListedUpdate != p.updateCount || e.Removed {
			p.removeEngine(id, e)
		}
	}
	known := len(p.engines)
	maps.DeleteFunc(p.engines, func(_ string, e *engine) bool { return p.isExpired(e) })
	p.orderStale = p.orderStale || len(p.engines) != known
	p.rebuildEngineLists()
}

// engineGroup holds the engines of one role that are ready, in the order of their IDs.
type engineGroup struct {
	engines    []*engine
	exhaustion budgetExhaustion
}

// removeEngine records that an engine is no longer in the endpoint list.
func (p *Policy) removeEngine(id string, e *engine) {
	e.Ready = false
	p.cache.drop(id, p.now)
	if e.removedAt == 0 {
		e.removedAt = p.now
	}
}

// rebuildEngineLists rebuilds the lists of engines, each in the order of IDs.
func (p *Policy) rebuildEngineLists() {
	p.throughput.valid = false
	if p.orderStale {
		p.orderStale = false
		p.sortedEngines = slices.AppendSeq(p.sortedEngines[:0], maps.Values(p.engines))
		slices.SortFunc(p.sortedEngines, func(x, y *engine) int { return cmp.Compare(x.Engine, y.Engine) })
	}
	p.prefillEngines = engineGroup{engines: p.prefillEngines.engines[:0]}
	p.decodeEngines = engineGroup{engines: p.decodeEngines.engines[:0]}
	for _, e := range p.sortedEngines {
		if e.Ready && e.canPrefill {
			p.prefillEngines.engines = append(p.prefillEngines.engines, e)
		}
		if e.Ready && e.canDecode {
			p.decodeEngines.engines = append(p.decodeEngines.engines, e)
		}
	}
}

func (p *Policy) updateEndpoint(endpoint Endpoint) {
	e, known := p.engines[endpoint.Engine]
	if !known {
		e = &engine{}
		p.engines[endpoint.Engine] = e
		p.orderStale = true
	}
	e.lastListedUpdate = p.updateCount
	if endpoint.StartedAt > e.StartedAt {
		e.warmingUpSince, e.latencySamples, e.latencyPerWork = endpoint.StartedAt, nil, nil
		e.faultTimes, e.suspect = nil, false
		p.cache.drop(endpoint.Engine, p.now)
	}
	if endpoint.Weight <= 0 {
		endpoint.Weight = 1
	}
	e.Endpoint, e.removedAt = endpoint, 0
	e.idle = false
	role := p.config.kind(endpoint.Kind).Role
	e.canPrefill, e.canDecode = role != DecodeOnly, role != PrefillOnly
}

// recordReport records the load that an engine has reported.
func (p *Policy) recordReport(e *engine, report *LoadReport) {
	if e == nil || report == nil {
		return
	}
	e.idle = false
	e.memoryShare, e.queuedWork, e.reportedAt = report.MemoryShare, report.QueuedWork, p.now
	if report.HasRecentLatency {
		e.latencySamples = appendBounded(e.latencySamples, sample{p.now, report.RecentLatency}, 64)
	}
}

// healthCheck sends a health check to an engine, unless one is in flight.
func (p *Policy) healthCheck(e *engine) {
	if e.checkSentAt <= e.checkEndedAt {
		e.checkSentAt = p.now
		p.emit(HealthCheck{e.Engine})
	}
}

// distance returns 0 within a cell or if from is nil, 1 within a zone, else 2.
func distance(from, to *engine) int {
	if from == nil || to.Cell == from.Cell {
		return 0
	}
	return 1 + oneIfDifferent(to.Zone, from.Zone)
}

// meanQueuedWork returns the mean queued work of the prefill engines that have reported within a span.
func (p *Policy) meanQueuedWork(span time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, e := range p.sortedEngines {
		if e.canPrefill && p.now-e.reportedAt < span {
			sum, n = sum+e.queuedWork, n+1
		}
	}
	return sum / max(1, n)
}

// leastMemoryShare returns the least memory share of the engines whose load is known.
func (p *Policy) leastMemoryShare(engines []*engine) (least float64, known bool) {
	least = math.Inf(1)
	for _, e := range engines {
		if p.hasFreshLoad(e) {
			least = min(least, e.memoryShare)
		}
	}
	return least, !math.IsInf(least, 1)
}
