package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// reportTTL is how long a load report is valid: queues turn over, and reports are renewed, within that time.
	reportTTL = 700 * time.Millisecond
	// reportDelay is the age of a report on arrival, due to the refresh interval and the network. Attempts that were sent
	// within this time before the arrival are missing from the report.
	reportDelay = 500 * time.Millisecond
)

// hasFreshLoad reports whether an engine's load is known. An engine that is warming up counts as known to have hardly any
// load, as slow start limits its attempts.
func (p *Policy) hasFreshLoad(e *engine) bool {
	return p.now-e.reportedAt < reportTTL || p.isWarmingUp(e)
}

// latency returns how long attempts currently wait at an engine, and whether that is known. It is the least of the recent
// samples, as large prompts take long on any engine; without samples it is estimated from the load report. In either case it
// is at least the median wait of the attempts without a response.
func (p *Policy) latency(e *engine, load engineLoad) (latency time.Duration, known bool) {
	if !p.mayHaveLatency(e, load) {
		return 0, false
	}
	least := time.Duration(math.MaxInt64)
	for _, s := range e.latencySamples[max(0, len(e.latencySamples)-8):] {
		// Older samples count only while attempts wait: otherwise there is no queue.
		if age := p.now - s.at; age < reportTTL || len(load.waits) > 0 && age < sampleTTL {
			known, least = true, min(least, s.value)
		}
	}
	if !known && e.canPrefill && p.now-e.reportedAt < reportTTL {
		known, least = true, time.Duration(float64(p.lowerQuartileLatencyPerWork)*(1+e.queuedWork))
	}
	if !known {
		least = 0
	}
	return max(least, median(load.waits)), known || len(load.waits) > 0
}

// sampleTTL is how long a sample may count: about the time that a queue takes to change.
const sampleTTL = 2 * time.Second

// mayHaveLatency reports whether an engine has waiting attempts, a recent report or a recent sample. Most engines of a
// large fleet have none of these.
func (p *Policy) mayHaveLatency(e *engine, load engineLoad) bool {
	samples := len(e.latencySamples)
	return len(load.waits) > 0 || p.now-e.reportedAt < reportTTL ||
		samples > 0 && p.now-e.latencySamples[samples-1].at < sampleTTL
}

// requestLoad sheds a request that has waited too long. For any other it sends health checks to the preferred prefill
// engines and some decode engines, as the load from other nodes is not visible to this one.
func (p *Policy) requestLoad(req *request) trigger {
	if p.hasWaitedTooLong(req) {
		return cannotMeetObjective
	}
	p.recentPrefixes = appendBounded(p.recentPrefixes, req.Prefix, 64)
	ready := p.usableEngines(req, &p.prefillEngines, everyEngine)
	preferred := p.preferredEngines(req, ready)
	if len(preferred) > 0 {
		req.prefillEngine = preferred[0].Engine
	}
	return p.requestLoadOf(req, append(preferred, p.decodeCandidates(req)...))
}

// requestDecodeLoad sends health checks to some decode engines.
func (p *Policy) requestDecodeLoad(req *request) trigger {
	return p.requestLoadOf(req, p.decodeCandidates(req))
}

// decodeCandidates returns two of the nearest engines that tie for the fewest streams, and one farther away in case these
// are full; nil if the known load suffices for a choice.
func (p *Policy) decodeCandidates(req *request) []*engine {
	tied, from := p.bestDecodeEngines(req), p.engines[req.prefillEngine]
	nearest := math.MaxInt
	for _, e := range tied {
		nearest = min(nearest, distance(from, e))
	}
	isNearestWithMemory := func(e *engine) bool {
		return distance(from, e) == nearest && p.hasFreshLoad(e) && e.memoryShare < lowMemoryShare
	}
	if len(tied) < 2 || slices.ContainsFunc(tied, isNearestWithMemory) {
		p.random.skip(len(tied)) // the count of draws must not depend on the known load
		return nil
	}
	return p.nearestAtRandom(tied, from, nearest)
}

// rankedEngine is an engine with its rank: its distance plus a random fraction.
type rankedEngine struct {
	*engine
	rank float64
}

// nearestAtRandom returns the first two engines by rank, and the first one that is farther away than the nearest; if no
// engine is farther away, the second again.
func (p *Policy) nearestAtRandom(engines []*engine, from *engine, nearest int) []*engine {
	first, second, distant := rankedEngine{rank: math.Inf(1)}, rankedEngine{rank: math.Inf(1)}, rankedEngine{rank: math.Inf(1)}
	for _, e := range engines {
		engineDistance := distance(from, e)
		ranked := rankedEngine{e, float64(engineDistance) + p.random.next()}
		if ranked.rank < first.rank {
			first, second = ranked, first
		} else if ranked.rank < second.rank {
			second = ranked
		}
		if engineDistance > nearest && ranked.rank < distant.rank {
			distant = ranked
		}
	}
	if distant.engine == nil {
		distant = second
	}
	return []*engine{first.engine, second.engine, distant.engine}
}

// requestLoadOf sends health checks to the engines whose load is unknown. Engines that are warming up are left out, as a
// health check counts as work there.
func (p *Policy) requestLoadOf(req *request, engines []*engine) trigger {
	req.awaitedEngines = req.awaitedEngines[:0]
	for _, e := range engines {
		unknown := p.now-e.checkEndedAt >= reportTTL && !p.hasFreshLoad(e)
		if p.config.HealthChecks && unknown && !slices.Contains(req.awaitedEngines, e.Engine) {
			p.healthCheck(e)
			req.awaitedEngines = append(req.awaitedEngines, e.Engine)
		}
	}
	p.updateAwaiting(req)
	if len(req.awaitedEngines) == 0 {
		return loadKnown
	}
	// Several times the response time of a healthy engine.
	const healthCheckTimeout = 50 * time.Millisecond
	p.startTimer(req.RequestID, loadKnown, healthCheckTimeout)
	return noTrigger
}
