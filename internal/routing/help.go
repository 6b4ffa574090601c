package routing

// Helpers without a decision: facts by name, chance, counting and sorting.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// median is 0 of none.
func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	values = slices.Sorted(slices.Values(values))
	return values[len(values)/2]
}

// mean is 0 of none.
func mean(values []int64) (sum int64) {
	for _, v := range values {
		sum += v
	}
	return sum / int64(max(1, len(values)))
}

// best is the first of the least by order among those that fit.
func best(engines []*engine, fits func(*engine) bool, order func(x, y *engine) int) *engine {
	var found *engine
	for _, e := range engines {
		if fits(e) && (found == nil || order(e, found) < 0) {
			found = e
		}
	}
	return found
}

// roundRobin takes turns, from a place of this node's own, among those that tie for the least.
func (p *Policy) roundRobin(engines []*engine, order func(x, y *engine) int) *engine {
	least := slices.MinFunc(engines, order)
	var tied []*engine
	for _, e := range engines {
		if order(e, least) == 0 {
			tied = append(tied, e)
		}
	}
	if p.roundRobinTurn == 0 {
		p.roundRobinTurn = int(p.random() * 1e6) // nodes that start together must not go the same round
	}
	p.roundRobinTurn++
	return tied[p.roundRobinTurn%len(tied)]
}

// hash mixes the sum once more: texts that differ only in their last letters share its upper bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// byHash sorts engines by a hash of id and key, the same at all nodes.
func byHash(key string, engines []*engine) []*engine {
	sums := map[*engine]uint64{}
	for _, e := range engines {
		sums[e] = hash(key + e.Engine)
	}
	slices.SortFunc(engines, func(x, y *engine) int { return cmp.Compare(sums[x], sums[y]) })
	return engines
}

// distance is 0 within a cell, 1 within a zone, else 2.
func distance(from, to *engine) int {
	if from == nil || to.Cell == from.Cell {
		return 0
	}
	return 1 + differ(to.Zone, from.Zone)
}

// countSince counts the times in a row that are less than a span ago.
func (p *Policy) countSince(times []int64, span int64) (n float64) {
	for _, at := range times {
		if p.now-at < span {
			n++
		}
	}
	return n
}

// random is the next number of this instance between 0 and 1.
func (p *Policy) random() float64 {
	p.randomDraws++
	return float64(hash(fmt.Sprint(p.seed, p.randomDraws))>>11) / (1 << 53)
}

func (p *Policy) route(req *request) Route { return p.config.route(req.Route) }

func states(s ...state) []state { return s }

func triggers(i ...trigger) []trigger { return i }

func (p *Policy) startTimer(req *request, in trigger, after int64) {
	p.lastTimerToken++
	p.timers[p.lastTimerToken] = timer{req.RequestID, in}
	p.actions = append(p.actions, StartTimer{p.lastTimerToken, after})
}

func (req *request) inFlight() bool {
	return slices.ContainsFunc(req.attempts, func(s attempt) bool { return s.inFlight })
}

// forgetIfDone drops an inference that has ended and has nothing out.
func (p *Policy) forgetIfDone(req *request) {
	if req.state == ended && !req.inFlight() {
		delete(p.requests, req.RequestID)
	}
}

// openLoads counts what this node has open at each engine.
func (p *Policy) openLoads() map[string]engineLoad {
	if p.countedLoads != nil {
		return p.countedLoads
	}
	// One look-up for each send: with thousands open, these are most of a step's time.
	counts := map[string]*engineLoad{}
	for _, req := range p.requests {
		for i := range req.attempts {
			s := &req.attempts[i]
			if !s.inFlight {
				continue
			}
			l := counts[s.engine]
			if l == nil {
				l = &engineLoad{reportedAt: p.engines[s.engine].reportedAt}
				counts[s.engine] = l
			}
			if s.decode {
				l.streams++
				l.promptTokens += req.PromptTokens
				if s.sentAt > l.reportedAt-reportDelay {
					l.unreportedTokens += req.PromptTokens
				}
			} else {
				l.prefills++
			}
			if !s.streaming {
				l.waits = append(l.waits, p.now-s.sentAt)
			}
		}
	}
	loads := make(map[string]engineLoad, len(counts))
	for id, l := range counts {
		loads[id] = *l
	}
	p.countedLoads = loads
	return loads
}

// dropCached forgets what a reader was known to keep before a time.
func (p *Policy) dropCached(prefillEngine string, before int64) {
	for k, v := range p.cached {
		if k.engine == prefillEngine && v.at < before {
			delete(p.cached, k)
		}
	}
}

// differ is 0 for the same, else 1.
func differ[T comparable](x, y T) int {
	if x == y {
		return 0
	}
	return 1
}

// updateEndpoints takes over what a list says. An engine that has started anew is cold, and all that it kept is
// gone.
func (p *Policy) updateEndpoints(update EndpointUpdate) {
	seen := map[string]bool{}
	for _, n := range update.Engines {
		seen[n.Engine] = true
		e, known := p.engines[n.Engine]
		if !known {
			e = &engine{}
			p.engines[n.Engine] = e
		}
		if n.StartedAt > e.StartedAt {
			e.warmingSince, e.latencySamples, e.latencyPerWork, e.faultTimes, e.suspect = n.StartedAt, nil, nil, nil, false
			p.dropCached(n.Engine, p.now)
		}
		if n.Weight <= 0 {
			n.Weight = 1
		}
		e.Endpoint, e.removedAt = n, 0
		role := p.config.kind(n.Kind).Role
		e.canPrefill, e.canDecode = role != DecodeOnly, role != PrefillOnly
	}
	for id, e := range p.engines {
		if update.Complete && !seen[id] || e.Removed {
			e.Ready = false
			p.dropCached(id, p.now)
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

// firstTokenTarget is the time in which the first token is wanted.
func (p *Policy) firstTokenTarget(req *request) float64 {
	route := p.route(req)
	return float64(route.FirstTokenObjective) + float64(route.ObjectivePer1000Tokens)*req.PromptTokens/1000
}

func (p *Policy) handleGossip(text string) {
	var session, prefillEngine, decodeEngine string
	var tokens float64
	_, err := fmt.Sscanf(text, "kept %q %q %q %f", &session, &prefillEngine, &decodeEngine, &tokens)
	if err != nil || p.engines[prefillEngine] == nil {
		return // of another version, or of an engine that this node does not know
	}
	p.affinities[session] = affinity{prefillEngine, decodeEngine, p.now}
	p.cached[cacheKey{true, session, prefillEngine}] = cacheEntry{tokens, p.now}
}

// recordReport notes an engine's load.
func (p *Policy) recordReport(e *engine, report *LoadReport) {
	if e == nil || report == nil {
		return
	}
	e.memoryShare, e.queuedWork, e.reportedAt, p.countedLoads = report.MemoryShare, report.QueuedWork, p.now, nil
	if report.HasRecentLatency {
		e.latencySamples = appendBounded(e.latencySamples, sample{p.now, int64(report.RecentLatency)}, 64)
	}
}

// requestsWhere are the inferences that fit, in order of their ids.
func (p *Policy) requestsWhere(fit func(*request) bool) []*request {
	var found []*request
	for _, req := range p.requests {
		if fit(req) {
			found = append(found, req)
		}
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}

// valueShare is a route's value over that of the highest.
func (p *Policy) valueShare(req *request) float64 {
	most := 1e-9
	for _, route := range p.config.Routes {
		most = max(most, route.PriorityWeight)
	}
	return p.route(req).PriorityWeight / most
}

// reservationWaits is how long the states that wait here for a writer have waited.
func (p *Policy) reservationWaits() (waits []int64) {
	for _, req := range p.requests {
		if req.state == reserved {
			waits = append(waits, p.now-req.idleSince)
		}
	}
	return waits
}

// lowerQuartile is the lower one, 0 of none.
func lowerQuartile(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/4]
}

// shareAbove is the share of a row within a span that was over its line; a row of few counts as one of that many.
func (p *Policy) shareAbove(samples []sample, span time.Duration, few int) float64 {
	n := 0.0
	for _, s := range samples {
		if s.at > p.now-int64(span) && s.value > 0 {
			n++
		}
	}
	return n / float64(max(few, len(samples)))
}

// meanQueuedWork is the mean reported load of the readers that reported within a span.
func (p *Policy) meanQueuedWork(span time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, id := range p.engineIDs {
		if e := p.engines[id]; e.canPrefill && p.now-e.reportedAt < int64(span) {
			sum, n = sum+e.queuedWork, n+1
		}
	}
	return sum / max(1, n)
}

// checkAnswered takes an engine off those that were asked, and says whether it was the last.
func (req *request) checkAnswered(engine string) bool {
	i := slices.Index(req.awaitedEngines, engine)
	if i >= 0 {
		req.awaitedEngines = slices.Delete(req.awaitedEngines, i, i+1)
	}
	return i >= 0 && len(req.awaitedEngines) == 0
}
