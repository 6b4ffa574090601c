package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// reportTTL is how long a load report counts: queues turn over, and reports are renewed, in that time.
	reportTTL = 700 * time.Millisecond
	// reportDelay is how long reports travel and are refreshed; they lack what was sent since.
	reportDelay = 500 * time.Millisecond
)

// hasFreshLoad is whether an engine's load is known. One that is warming up within its slow start has hardly
// any.
func (p *Policy) hasFreshLoad(e *engine) bool {
	return p.now-e.reportedAt < reportTTL || p.warmingUp(e)
}

// latency is how long attempts wait at an engine now, and whether that is known: the least of recent samples,
// as large prompts take long anywhere, or what the load report comes to, or how long attempts there have
// waited.
func (p *Policy) latency(e *engine, l engineLoad) (latency time.Duration, known bool) {
	if !p.mayHaveLatency(e, l) {
		return 0, false
	}
	least := time.Duration(math.MaxInt64)
	for _, s := range e.latencySamples[max(0, len(e.latencySamples)-8):] {
		// Less counts where nothing waits, so there is no queue.
		if age := p.now - s.at; age < reportTTL || len(l.waits) > 0 && age < sampleSpan {
			known, least = true, min(least, s.value)
		}
	}
	if !known && e.canPrefill && p.now-e.reportedAt < reportTTL {
		known, least = true, time.Duration(float64(p.quickLatencyPerWork)*(1+e.queuedWork))
	}
	if !known {
		least = 0
	}
	return max(least, median(l.waits)), known || len(l.waits) > 0
}

// sampleSpan is for how long a sample may count: about the time that a queue takes to change.
const sampleSpan = 2 * time.Second

// mayHaveLatency is false for engines of which nothing has been heard lately and where nothing waits: most engines of
// a large fleet.
func (p *Policy) mayHaveLatency(e *engine, l engineLoad) bool {
	samples := len(e.latencySamples)
	return len(l.waits) > 0 || p.now-e.reportedAt < reportTTL ||
		samples > 0 && p.now-e.latencySamples[samples-1].at < sampleSpan
}

// requestLoad checks the preferred prefill engines and some decode engines, whose load a node among many
// cannot know.
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

// requestDecodeLoad checks some decode engines.
func (p *Policy) requestDecodeLoad(req *request) trigger {
	return p.requestLoadOf(req, p.decodeCandidates(req))
}

// decodeCandidates are two of the nearest engines that tie for the fewest streams, and one farther away in
// case these are full; none if what is known will do.
func (p *Policy) decodeCandidates(req *request) []*engine {
	tied, from := p.fewestStreams(req), p.engines[req.prefillEngine]
	nearest := math.MaxInt
	for _, e := range tied {
		nearest = min(nearest, distance(from, e))
	}
	suffices := func(e *engine) bool {
		return distance(from, e) == nearest && p.hasFreshLoad(e) && e.memoryShare < lowMemoryShare
	}
	if len(tied) < 2 || slices.ContainsFunc(tied, suffices) {
		p.random.skip(len(tied)) // as many numbers are drawn whatever is known
		return nil
	}
	return p.nearestByRandom(tied, from, nearest)
}

// rankedEngine is an engine with its rank, by distance and then at random.
type rankedEngine struct {
	*engine
	rank float64
}

// nearestByRandom are the first two engines by rank, and the first that is farther away than the nearest; without
// one, the second again.
func (p *Policy) nearestByRandom(engines []*engine, from *engine, nearest int) []*engine {
	first, second, farther := rankedEngine{rank: math.Inf(1)}, rankedEngine{rank: math.Inf(1)}, rankedEngine{rank: math.Inf(1)}
	for _, e := range engines {
		away := distance(from, e)
		ranked := rankedEngine{e, float64(away) + p.random.next()}
		if ranked.rank < first.rank {
			first, second = ranked, first
		} else if ranked.rank < second.rank {
			second = ranked
		}
		if away > nearest && ranked.rank < farther.rank {
			farther = ranked
		}
	}
	if farther.engine == nil {
		farther = second
	}
	return []*engine{first.engine, second.engine, farther.engine}
}

// requestLoadOf checks the engines whose load is not known. To one that is warming up a check would count as
// work.
func (p *Policy) requestLoadOf(req *request, engines []*engine) trigger {
	req.awaitedEngines = req.awaitedEngines[:0]
	for _, e := range engines {
		unknown := p.now-e.checkAnsweredAt >= reportTTL && !p.hasFreshLoad(e)
		if p.config.HealthChecks && unknown && !slices.Contains(req.awaitedEngines, e.Engine) {
			p.healthCheck(e)
			req.awaitedEngines = append(req.awaitedEngines, e.Engine)
		}
	}
	p.noteAwaiting(req)
	if len(req.awaitedEngines) == 0 {
		return loadKnown
	}
	// Several times what a healthy engine takes.
	const patience = 50 * time.Millisecond
	p.startTimer(req.RequestID, loadKnown, patience)
	return noTrigger
}
