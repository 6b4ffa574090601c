package routing

import (
	"maps"
	"math"
	"slices"
	"time"
)

// engine is what a node knows of one engine.
type engine struct {
	Endpoint
	canPrefill, canDecode bool

	sendTimes      []time.Duration // of the last attempts
	progressTimes  []time.Duration // of the last prefills that ended and first tokens
	latencySamples []sample
	latencyPerWork []time.Duration // of the last prefills: for each thousand tokens that were queued or not cached
	faultTimes     []time.Duration
	suspect        bool          // it had a fault, and nothing good was seen since
	warmingSince   time.Duration // when it was last seen to start; 0 if that was long ago
	fullUntil      time.Duration // when a decode may be sent again after it rejected one
	healthyAt      time.Duration // when it last answered an attempt
	removedAt      time.Duration // since when it is not in the endpoint list; 0 while it is

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
	listed := map[string]bool{}
	for _, endpoint := range update.Engines {
		listed[endpoint.Engine] = true
		p.updateEndpoint(endpoint)
	}
	for id, e := range p.engines {
		if update.Complete && !listed[id] || e.Removed {
			e.Ready = false
			p.cache.drop(id, p.now)
			if e.removedAt == 0 {
				e.removedAt = p.now
			}
		}
	}
	loads := p.openLoads()
	maps.DeleteFunc(p.engines, func(id string, e *engine) bool { return p.expired(e, loads[id]) })
	p.engineIDs = p.engineIDs[:0]
	for id := range p.engines {
		p.engineIDs = append(p.engineIDs, id)
	}
	slices.Sort(p.engineIDs)
}

func (p *Policy) updateEndpoint(endpoint Endpoint) {
	e, known := p.engines[endpoint.Engine]
	if !known {
		e = &engine{}
		p.engines[endpoint.Engine] = e
	}
	if endpoint.StartedAt > e.StartedAt {
		e.warmingSince, e.latencySamples, e.latencyPerWork = endpoint.StartedAt, nil, nil
		e.faultTimes, e.suspect = nil, false
		p.cache.drop(endpoint.Engine, p.now)
	}
	if endpoint.Weight <= 0 {
		endpoint.Weight = 1
	}
	e.Endpoint, e.removedAt = endpoint, 0
	role := p.config.kind(endpoint.Kind).Role
	e.canPrefill, e.canDecode = role != DecodeOnly, role != PrefillOnly
}

// recordReport notes an engine's load.
func (p *Policy) recordReport(e *engine, report *LoadReport) {
	if e == nil || report == nil {
		return
	}
	e.memoryShare, e.queuedWork, e.reportedAt, p.countedLoads = report.MemoryShare, report.QueuedWork, p.now, nil
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

// engineLoad is what this node has open at one engine.
type engineLoad struct {
	prefills, streams int
	promptTokens      float64         // of the streams
	unreportedTokens  float64         // of the streams that a report may not count yet
	waits             []time.Duration // of the attempts without a response
	reportedAt        time.Duration   // of the engine
}

// openLoads counts what this node has open at each engine.
func (p *Policy) openLoads() map[string]engineLoad {
	if p.countedLoads != nil {
		return p.countedLoads
	}
	// One look-up for each attempt: with thousands in flight, these are most of a step's time.
	counts := map[string]*engineLoad{}
	for _, req := range p.requests {
		for i := range req.attempts {
			a := &req.attempts[i]
			if !a.inFlight {
				continue
			}
			load := counts[a.engine]
			if load == nil {
				load = &engineLoad{reportedAt: p.engines[a.engine].reportedAt}
				counts[a.engine] = load
			}
			load.add(a, req.PromptTokens, p.now)
		}
	}
	loads := make(map[string]engineLoad, len(counts))
	for id, load := range counts {
		loads[id] = *load
	}
	p.countedLoads = loads
	return loads
}

// add counts one attempt that is in flight.
func (l *engineLoad) add(a *attempt, promptTokens float64, now time.Duration) {
	if a.decode {
		l.streams++
		l.promptTokens += promptTokens
		if a.sentAt > l.reportedAt-reportDelay {
			l.unreportedTokens += promptTokens
		}
	} else {
		l.prefills++
	}
	if !a.streaming {
		l.waits = append(l.waits, now-a.sentAt)
	}
}

// meanQueuedWork is the mean reported load of the prefill engines that reported within a span.
func (p *Policy) meanQueuedWork(span time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, id := range p.engineIDs {
		if e := p.engines[id]; e.canPrefill && p.now-e.reportedAt < span {
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
