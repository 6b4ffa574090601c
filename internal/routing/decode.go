package routing

import (
	"math"
	"slices"
)

// lowMemoryShare is the memory share up to which a decode engine counts as empty. 0.85 did far worse with many nodes.
const lowMemoryShare = 0.7

// sendToDecode chooses the decode engine of a request and sends the request to it.
func (p *Policy) sendToDecode(req *request) trigger {
	// A request that no engine may run again fails at once.
	if !slices.ContainsFunc(p.sortedEngines, func(e *engine) bool { return p.mayRetryOn(req, e) }) {
		return attemptsExhausted
	}
	if p.now-req.reservationIdleSince > p.config.ReservationLimit-2*p.deadlineMargin()-retryDelay {
		return attemptsExhausted
	}
	e := p.pickDecode(req)
	if e == nil || p.triedRecently(req, e) {
		return noDecodeEngine
	}
	req.decodeEngine = e.Engine
	return p.sendTo(req, e)
}

// pickDecode returns one of the engines with the fewest streams. With many nodes nearly all engines tie, so the next
// criterion is their known memory share, weighed against the distance of the KV transfer, and the last is round robin.
func (p *Policy) pickDecode(req *request) *engine {
	tied := p.bestDecodeEngines(req)
	if len(tied) == 0 {
		return nil
	}
	from := p.engines[req.prefillEngine]
	if slices.ContainsFunc(tied, p.hasFreshLoad) {
		tied = slices.DeleteFunc(tied, func(e *engine) bool { return !p.hasFreshLoad(e) })
	}
	// Leaving the cell costs as much as a tenth of an engine's memory. Leaving the zone costs four tenths, as the KV
	// transfer takes several times as long and delays others on the link. Differences within a tenth are noise in the
	// reports.
	distanceCosts := [...]float64{0, 1, 4}
	cost := func(e *engine) float64 {
		return distanceCosts[distance(from, e)] + math.Round(10*max(lowMemoryShare, e.memoryShare))
	}
	tied = leastBy(tied, cost)
	return tied[p.nextRotation()%len(tied)]
}

// bestDecodeEngines returns only the session's engine if its latency is low, else all engines with the fewest streams of
// this node.
func (p *Policy) bestDecodeEngines(req *request) []*engine {
	candidates := &p.decodeEngines
	if !p.mayRetryAnywhere(req) { // filtered here, as usableEngines does not call its filter for idle engines
		forbidden := func(e *engine) bool { return !p.mayRetryOn(req, e) }
		candidates = &engineGroup{engines: slices.DeleteFunc(slices.Clone(candidates.engines), forbidden)}
	}
	ready := p.usableEngines(req, candidates, func(e *engine) bool {
		return e.fullUntil <= p.now && p.hasCapacity(req, e)
	})
	if e := findEngine(ready, p.affinityOf(req.Session).decodeEngine); e != nil {
		if latency, _ := p.latency(e, p.loadOf(e)); float64(latency) < p.firstTokenObjective(req)/3 {
			return []*engine{e}
		}
	}
	return leastBy(ready, func(e *engine) int { return p.loadOf(e).streams })
}

// hasCapacity reports whether an engine has memory for the request; an engine that runs out evicts its newest streams. The
// memory in use is taken from a fresh report plus the prompts sent since, else from this node's streams, assuming that all
// nodes have as many. A wrong estimate costs a wait of three quarters of the reservation limit. The factor 1.05
// allows for noise in reports.
func (p *Policy) hasCapacity(req *request, e *engine) bool {
	load := p.loadOf(e)
	memory := p.config.kind(e.Kind).MemoryTokens
	used := load.promptTokens * float64(p.config.Nodes)
	if p.hasFreshLoad(e) {
		used = e.memoryShare*memory + e.unreportedTokens()
	}
	waited := req.reservationIdleSince > 0 && float64(p.now-req.reservationIdleSince) > 0.75*float64(p.config.ReservationLimit)
	return memory == 0 || waited || used == 0 || used+req.PromptTokens < 1.05*memory
}
