package routing

import (
	"cmp"
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
	least := time.Duration(math.MaxInt64)
	for _, s := range e.latencySamples[max(0, len(e.latencySamples)-8):] {
		// 2 s: about the time that a queue takes to change; less where nothing waits, so there is no queue.
		if age := p.now - s.at; age < reportTTL || len(l.waits) > 0 && age < 2*time.Second {
			known, least = true, min(least, s.value)
		}
	}
	if !known && e.canPrefill && p.now-e.reportedAt < reportTTL {
		known, least = true, time.Duration(float64(lowerQuartile(p.recentLatencyPerWork))*(1+e.queuedWork))
	}
	if !known {
		least = 0
	}
	return max(least, median(l.waits)), known || len(l.waits) > 0
}

// requestLoad checks the preferred prefill engines and some decode engines, whose load a node among many
// cannot know.
func (p *Policy) requestLoad(req *request) trigger {
	p.recentPrefixes = appendBounded(p.recentPrefixes, req.Prefix, 64)
	ready := p.usableEngines(req, p.openLoads(), func(e *engine) bool { return e.canPrefill })
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
	tied, from, rank := p.fewestStreams(req), p.engines[req.prefillEngine], map[*engine]float64{}
	for _, e := range tied {
		rank[e] = float64(distance(from, e)) + p.random.next()
	}
	slices.SortFunc(tied, func(x, y *engine) int { return cmp.Compare(rank[x], rank[y]) })
	nearest := func(e *engine) bool { return distance(from, e) == distance(from, tied[0]) }
	suffices := func(e *engine) bool { return nearest(e) && p.hasFreshLoad(e) && e.memoryShare < lowMemoryShare }
	if len(tied) < 2 || slices.ContainsFunc(tied, suffices) {
		return nil
	}
	farther := slices.IndexFunc(tied, func(e *engine) bool { return !nearest(e) })
	return append(tied[:2:2], tied[max(1, farther)])
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
	if len(req.awaitedEngines) == 0 {
		return loadKnown
	}
	// Several times what a healthy engine takes.
	const patience = 50 * time.Millisecond
	p.startTimer(req.RequestID, loadKnown, patience)
	return noTrigger
}
