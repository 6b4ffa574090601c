package routing

import (
	"math"
	"slices"
)

// lowMemoryShare is up to which memory share a decode engine counts as empty; 0.85 did far worse among many
// nodes.
const lowMemoryShare = 0.7

// sendToDecode chooses the decode engine of a request and sends to it.
func (p *Policy) sendToDecode(req *request) trigger {
	// A request that no engine may run again fails at once.
	if !slices.ContainsFunc(p.ordered, func(e *engine) bool { return p.mayRetryOn(req, e) }) {
		return attemptsExhausted
	}
	if p.now-req.idleSince > p.config.ReservationLimit-2*p.deadlineMargin()-retryDelay {
		return attemptsExhausted
	}
	e := p.pickDecode(req)
	if e == nil || p.triedJustNow(req, e) {
		return noDecodeEngine
	}
	req.decodeEngine = e.Engine
	return p.sendTo(req, e)
}

// pickDecode takes one of the engines with the fewest streams. Among many nodes nearly all tie, so known
// memory comes next, weighed against the distance that the KV state moves, then turns.
func (p *Policy) pickDecode(req *request) *engine {
	tied := p.fewestStreams(req)
	if len(tied) == 0 {
		return nil
	}
	from := p.engines[req.prefillEngine]
	if slices.ContainsFunc(tied, p.hasFreshLoad) {
		tied = slices.DeleteFunc(tied, func(e *engine) bool { return !p.hasFreshLoad(e) })
	}
	// Leaving the cell is worth a tenth of an engine's memory, leaving the zone, where the KV state takes
	// several times as long and holds up others on the link, four; within a tenth, reports are noise.
	distanceCosts := [...]float64{0, 1, 4}
	cost := func(e *engine) float64 {
		return distanceCosts[distance(from, e)] + math.Round(10*max(lowMemoryShare, e.memoryShare))
	}
	tied = leastBy(tied, cost)
	return tied[p.nextTurn()%len(tied)]
}

// fewestStreams is the session's engine if it is quick, else all those with the fewest streams of this node.
func (p *Policy) fewestStreams(req *request) []*engine {
	candidates := &p.decodeEngines
	if !p.mayRetryOnNewEngine(req) { // quiet engines fit too, but may not be sent to
		forbidden := func(e *engine) bool { return !p.mayRetryOn(req, e) }
		candidates = &engineGroup{engines: slices.DeleteFunc(slices.Clone(candidates.engines), forbidden)}
	}
	ready := p.usableEngines(req, candidates, func(e *engine) bool {
		return e.fullUntil <= p.now && p.hasCapacity(req, e)
	})
	if e := find(ready, p.affinityOf(req.Session).decodeEngine); e != nil {
		if latency, _ := p.latency(e, p.loadOf(e)); float64(latency) < p.firstTokenObjective(req)/3 {
			return []*engine{e}
		}
	}
	return leastBy(ready, func(e *engine) int { return p.loadOf(e).streams })
}

// hasCapacity keeps an engine from running out of memory, which evicts its newest streams. It goes by a fresh
// report and what was sent since, else by this node's own streams, as if all nodes had as many. A wrong guess
// costs a wait of three quarters of the reservation limit. 1.05: reports are noisy.
func (p *Policy) hasCapacity(req *request, e *engine) bool {
	l := p.loadOf(e)
	memory := p.config.kind(e.Kind).MemoryTokens
	used := l.promptTokens * float64(p.config.Nodes)
	if p.hasFreshLoad(e) {
		used = e.memoryShare*memory + e.unreportedTokens()
	}
	waited := req.idleSince > 0 && float64(p.now-req.idleSince) > 0.75*float64(p.config.ReservationLimit)
	return memory == 0 || waited || used == 0 || used+req.PromptTokens < 1.05*memory
}
