package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// engine is what a node knows of one engine.
type engine struct {
	quiet                 bool // as isQuiet found it, until something happens
	canPrefill, canDecode bool
	warmingSince          time.Duration // when it was last seen to start; 0 if that was long ago
	Endpoint

	sendTimes      []time.Duration // of the last attempts
	progressTimes  []time.Duration // of the last prefills that ended and first tokens
	latencySamples []sample
	latencyPerWork []time.Duration // of the last prefills: for each thousand tokens that were queued or not cached
	faultTimes     []time.Duration
	suspect        bool          // it had a fault, and nothing good was seen since
	fullUntil      time.Duration // when a decode may be sent again after it rejected one
	healthyAt      time.Duration // when it last answered an attempt
	removedAt      time.Duration // since when it is not in the endpoint list; 0 while it is
	listedIn       uint64        // the update that listed it last
	open           openAttempts
	lot            slowStartLot

	memoryShare float64 // by the last report
	queuedWork  float64 // by the last report
	reportedAt  time.Duration

	checkedAt       time.Duration // when the last health check was sent
	checkAnsweredAt time.Duration // when the last health check ended
	unresponsiveAt  time.Duration // when one last ended without an answer
}

// sample is a measured latency, or how far a latency was over a limit.
type sample struct {
	at, value time.Duration
}

// updateEndpoints takes over an endpoint list. An engine that has restarted is warming up, and its cache is
// empty.
func (p *Policy) updateEndpoints(update EndpointUpdate) {
	p.updates++
	for _, endpoint := range update.Engines {
		p.updateEndpoint(endpoint)
	}
	for id, e := range p.engines {
		if update.Complete && e.listedIn != p.updates || e.Removed {
			p.removeEngine(id, e)
		}
	}
	known := len(p.engines)
	maps.DeleteFunc(p.engines, func(_ string, e *engine) bool { return p.expired(e) })
	p.reordered = p.reordered || len(p.engines) != known
	p.orderEngines()
}

// engineGroup is engines of one role that are ready, in order of IDs.
type engineGroup struct {
	engines []*engine
	closed  slowStartClosure
}

// removeEngine notes that an engine is not in the endpoint list any more.
func (p *Policy) removeEngine(id string, e *engine) {
	e.Ready = false
	p.cache.drop(id, p.now)
	if e.removedAt == 0 {
		e.removedAt = p.now
	}
}

// orderEngines renews the lists of engines by role, each in the order of IDs.
func (p *Policy) orderEngines() {
	p.slowStartRates.valid = false
	if p.reordered {
		p.reordered = false
		p.ordered = slices.AppendSeq(p.ordered[:0], maps.Values(p.engines))
		slices.SortFunc(p.ordered, func(x, y *engine) int { return cmp.Compare(x.Engine, y.Engine) })
	}
	p.prefillEngines = engineGroup{engines: p.prefillEngines.engines[:0]}
	p.decodeEngines = engineGroup{engines: p.decodeEngines.engines[:0]}
	for _, e := range p.ordered {
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
		p.reordered = true
	}
	e.listedIn = p.updates
	if endpoint.StartedAt > e.StartedAt {
		e.warmingSince, e.latencySamples, e.latencyPerWork = endpoint.StartedAt, nil, nil
		e.faultTimes, e.suspect = nil, false
		p.cache.drop(endpoint.Engine, p.now)
	}
	if endpoint.Weight <= 0 {
		endpoint.Weight = 1
	}
	e.Endpoint, e.removedAt = endpoint, 0
	e.quiet = false
	role := p.config.kind(endpoint.Kind).Role
	e.canPrefill, e.canDecode = role != DecodeOnly, role != PrefillOnly
}

// recordReport notes an engine's load.
func (p *Policy) recordReport(e *engine, report *LoadReport) {
	if e == nil || report == nil {
		return
	}
	e.quiet = false
	e.memoryShare, e.queuedWork, e.reportedAt = report.MemoryShare, report.QueuedWork, p.now
	if report.HasRecentLatency {
		e.latencySamples = appendBounded(e.latencySamples, sample{p.now, report.RecentLatency}, 64)
	}
}

// healthCheck asks an engine for its load, unless an answer is on its way.
func (p *Policy) healthCheck(e *engine) {
	if e.checkedAt <= e.checkAnsweredAt {
		e.checkedAt = p.now
		p.act(HealthCheck{e.Engine})
	}
}

// distance is 0 within a cell, 1 within a zone, else 2.
func distance(from, to *engine) int {
	if from == nil || to.Cell == from.Cell {
		return 0
	}
	return 1 + differ(to.Zone, from.Zone)
}

// meanQueuedWork is the mean reported load of the prefill engines that reported within a span.
func (p *Policy) meanQueuedWork(span time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, e := range p.ordered {
		if e.canPrefill && p.now-e.reportedAt < span {
			sum, n = sum+e.queuedWork, n+1
		}
	}
	return sum / max(1, n)
}

// leastMemoryShare is that of the engines whose load is known.
func (p *Policy) leastMemoryShare(engines []*engine) (least float64, known bool) {
	least = math.Inf(1)
	for _, e := range engines {
		if p.hasFreshLoad(e) {
			least = min(least, e.memoryShare)
		}
	}
	return least, !math.IsInf(least, 1)
}
