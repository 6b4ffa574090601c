package routing

// How to call it: New makes one node's brain from a seed and the deployment's facts; Step takes one input and
// the time and returns the effects in order. The interface stands in api.go, plain data in state.go; every
// decision is in this file. Read it from the table down: a state and an input give the next state and an
// effect; an effect may feed a further input, until none is left.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// transitions lists, for the states in the first column, what an input leads to: the next state and the effect.
var transitions = []transition{
	{states(pending), triggers(arrived), checkingLoad, (*Policy).requestLoad},
	{states(checkingLoad), triggers(loadKnown), pending, (*Policy).choosePrefill},
	{states(pending), triggers(retryDue), pending, (*Policy).choosePrefill},
	{states(pending), triggers(prefillChosen), pending, (*Policy).admit},
	{states(pending), triggers(admitted), prefilling, (*Policy).sendToPrefill},
	{states(pending, prefilling), triggers(noPrefillEngine, noDecodeEngine), pending, (*Policy).scheduleRetry},
	{states(prefilling), triggers(prefillFailed, decodeNotStarted, mayHaveRun, reservationLost), pending, (*Policy).choosePrefill},
	{states(prefilling), triggers(prefillDone), reserved, (*Policy).requestDecodeLoad},
	{states(reserved), triggers(loadKnown, retryDue), decoding, (*Policy).sendToDecode},
	{states(decoding), triggers(decodeNotStarted, mayHaveRun), decoding, (*Policy).sendToDecode},
	{states(decoding), triggers(noDecodeEngine), reserved, (*Policy).scheduleRetry},
	{states(decoding), triggers(reservationLost), pending, (*Policy).choosePrefill},
	{states(prefilling, decoding), triggers(firstToken), streaming, nil}, // a mixed engine answers what it reads
	{states(prefilling), triggers(targetMissed), prefilling, (*Policy).shedLate},
	{states(prefilling), triggers(responseOverdue), prefilling, (*Policy).checkUnresponsive},
	{states(decoding), triggers(responseOverdue), decoding, (*Policy).checkUnresponsive},
	{states(prefilling), triggers(passedByLaterResponse, engineUnresponsive), prefilling, (*Policy).cancelLastAttempt},
	{states(decoding), triggers(passedByLaterResponse, engineUnresponsive), decoding, (*Policy).cancelLastAttempt},
	{openStates, triggers(deadlineNear, attemptsExhausted, cannotMeetTarget), ended, (*Policy).reject},
	{allStates, triggers(clientDisconnected, finished), ended, (*Policy).releaseAll},
	// What comes after the end still lets go of what is held.
	{states(ended), triggers(prefillDone, prefillFailed, decodeNotStarted, reservationLost, mayHaveRun), ended, (*Policy).releaseAll},
}

func (p *Policy) fire(req *request, event trigger) {
	for event != noTrigger {
		i := slices.IndexFunc(transitions, func(r transition) bool {
			return slices.Contains(r.from, req.state) && slices.Contains(r.triggers, event)
		})
		if i < 0 {
			return
		}
		req.state, event = transitions[i].next, noTrigger
		p.firedTransitions |= 1 << i
		if transitions[i].action != nil {
			event = transitions[i].action(p, req)
		}
	}
}

// handleFirstToken notes who serves the session, how long the wait was, and how far over the target it came.
func (p *Policy) handleFirstToken(req *request, in FirstToken) {
	req.attempts[in.Attempt].streaming, p.countedLoads = true, nil
	p.recordLatency(p.engines[in.Engine], in.Latency, req.attempts[in.Attempt].sentAt)
	p.affinities[req.Session] = affinity{req.prefillEngine, in.Engine, p.now}
	p.gossipAffinity(req)
	p.firstTokenOverruns = appendBounded(p.firstTokenOverruns, sample{p.now, p.now - req.arrivedAt - int64(p.firstTokenTarget(req))}, 32)
	p.fire(req, firstToken)
}

// handleOutcome sorts an outcome into the table's inputs.
func (p *Policy) handleOutcome(o Outcome) {
	req := p.requests[o.RequestID]
	if req == nil || o.Attempt < 0 || o.Attempt >= len(req.attempts) || !req.attempts[o.Attempt].inFlight {
		if o.Verdict == PrefillDone {
			p.actions = append(p.actions, Release{o.RequestID}) // came after all was forgotten
		}
		return
	}
	s := &req.attempts[o.Attempt]
	s.inFlight, p.countedLoads = false, nil
	// What never reached a writer has not begun to fetch: the reader has held the state all the while.
	if !s.decode || !s.canceled && o.Verdict != NotConnected && o.Verdict != NotSent {
		req.idleSince = p.now
	}
	p.recordReport(p.engines[o.Engine], o.Report)
	s.prefilled = o.Verdict == PrefillDone
	s.neverRan = !s.decode || o.Verdict == Full || o.Verdict == NotConnected || o.Verdict == NotSent
	p.recordOutcome(req, s, o)
	event := finished
	switch {
	case o.RequestEnded:
	case o.Verdict == PrefillDone:
		event = prefillDone
	case !s.decode:
		event = prefillFailed
	case o.Verdict == Full && o.ReservationLost:
		event = reservationLost
	case s.neverRan:
		event = decodeNotStarted
	default:
		event = mayHaveRun
	}
	p.fire(req, event)
	p.forgetIfDone(req)
}

// ---- gates: every send and every final answer passes one of these, which check the rules

// sendTo sends to an engine if the rules allow it, else says what stands against it.
func (p *Policy) sendTo(req *request, e *engine) trigger {
	switch {
	case len(req.attempts) >= p.config.MaxAttempts || !p.mayRetryOn(req, e):
		return attemptsExhausted
	case p.now >= req.Deadline-p.deadlineMargin():
		return attemptsExhausted
	case req.inFlight(), !e.Ready, !p.withinSlowStart(e):
		return noDecodeEngine
	}
	e.sendTimes, p.countedLoads = appendBounded(e.sendTimes, p.now, 64), nil
	req.attempts = append(req.attempts, attempt{engine: e.Engine, sentAt: p.now, decode: e.canDecode, inFlight: true})
	if p.hasFreshLoad(e) {
		req.attempts[len(req.attempts)-1].queuedWork = 1 + e.queuedWork
	}
	p.actions = append(p.actions, Send{RequestID: req.RequestID, Engine: e.Engine})
	p.startTimer(req, responseOverdue, p.responseTimeout(req))
	return noTrigger
}

// mayRetryOn keeps an effect from happening twice: what may have run goes out again only as its route allows.
// Reads have no effect.
func (p *Policy) mayRetryOn(req *request, e *engine) bool {
	route := p.route(req)
	if route.Effect == Retriable {
		return true
	}
	for _, s := range req.attempts {
		if s.neverRan || !s.decode {
			continue
		}
		if route.Effect != Deduped || p.now-s.sentAt >= int64(route.DedupWindow) {
			return false
		}
		if e.canDecode && !route.DedupGroup.spans(p.engines[s.engine], e) {
			return false
		}
	}
	return true
}

// reject is the gate of final answers: shed where that is true, else errored. What is held or out goes too.
func (p *Policy) reject(req *request) trigger {
	route := p.route(req)
	mayShed := route.Effect == Retriable || route.Effect == Deduped && route.DedupGroup == DedupAll
	// A stream that returned after a break has run before, under another id. A send that is out is not known
	// not to have run, at a reader neither.
	ran := req.Resumed || slices.ContainsFunc(req.attempts, func(s attempt) bool { return s.inFlight || !s.neverRan })
	if mayShed || !ran {
		var retryAfter int64
		if p.config.SuggestRetryAfter {
			// Half a second: longer than a jam of a few reads, shorter than most clients' patience.
			retryAfter = int64(min(500*time.Millisecond, p.config.MaxRetryAfter))
		}
		p.actions = append(p.actions, Shed{req.RequestID, retryAfter})
	} else {
		p.actions = append(p.actions, Fail{req.RequestID})
	}
	return p.releaseAll(req)
}

// releaseAll withdraws what is out and discards what is held. A read that still ends is discarded when it does.
func (p *Policy) releaseAll(req *request) trigger {
	for i, s := range req.attempts {
		if s.inFlight && !s.streaming && p.config.Cancel {
			p.actions = append(p.actions, CancelAttempt{req.RequestID, i})
		}
	}
	p.actions = append(p.actions, Release{req.RequestID})
	return noTrigger
}

// 30 ms: a few writer steps, so a freed slot is not left idle for long.
const retryDelay = int64(30 * time.Millisecond)

// scheduleRetry tries again a little later; a held state is sent on before its time is up.
func (p *Policy) scheduleRetry(req *request) trigger {
	if !req.retryScheduled {
		req.retryScheduled = true
		p.startTimer(req, retryDue, retryDelay)
	}
	return noTrigger
}

// deadlineMargin is how long before the client gives up the answer must go: timer and answer may each wait a tick.
func (p *Policy) deadlineMargin() int64 { return 3 * int64(p.config.Tick) }

// ---- shedding

const overloadWindow, overloadMinSamples = 4 * time.Second, 32 // a jam lasts longer, and a few late ones make none

// admit sheds at once what would not be in time: queues that only grow leave everybody late and never clear,
// whatever filled them: too much traffic, engines lost, slow or forgetful. It harms where lags are high but
// harmless. Streams that return after a break are always taken.
func (p *Policy) admit(req *request) trigger {
	loads := p.openLoads()
	prefillEngine := p.engines[req.prefillEngine]
	decodeEngines := p.usableEngines(req, loads, func(e *engine) bool { return e.canDecode })
	if len(decodeEngines) == 0 || req.Resumed {
		return admitted
	}
	value, leastMemory := p.valueShare(req), math.Inf(1)
	var latencies []int64
	for _, e := range decodeEngines {
		latency, _ := p.latency(e, loads[e.Engine])
		latencies = append(latencies, latency)
		if p.hasFreshLoad(e) {
			leastMemory = min(leastMemory, e.memoryShare)
		}
	}
	// Where all writers heard of are out of memory, states queue: those of least value go first.
	if !math.IsInf(leastMemory, 1) && leastMemory > 0.9+0.1*value {
		return cannotMeetTarget
	}
	latency, _ := p.latency(prefillEngine, loads[prefillEngine.Engine])
	// States that wait here for a writer tell more than any lag.
	expected := float64(p.now - req.arrivedAt + median(p.reservationWaits()) + latency + median(latencies))
	// Lags are late news and swing, so the line lies under the target: at 0.8 of it for the route of highest
	// value, nearer to 0.4 the less a route is worth. What came late of late tells what lags do not, and in a
	// lasting jam, of first tokens or of lags, what must be read in full feeds the jam.
	uncachedShare := 1 - p.cachedTokens(req, prefillEngine)/max(req.PromptTokens, 1)
	p.expectedOverruns = appendBounded(p.expectedOverruns, sample{p.now, int64(expected - 0.25*p.firstTokenTarget(req))}, 48)
	lateShare, overloadShare := p.shareAbove(p.firstTokenOverruns, overloadWindow, overloadMinSamples), p.shareAbove(p.expectedOverruns, overloadWindow, overloadMinSamples)
	limit := (0.4 + 0.4*value) * (1 - lateShare*(0.4+0.6*uncachedShare)) * (1 - 0.6*overloadShare*uncachedShare)
	if expected > limit*p.firstTokenTarget(req) {
		return cannotMeetTarget
	}
	return admitted
}

// shedLate sheds a read that has not ended by its target, where that may be said with a send out: in a jam it
// takes the place of one that could be in time.
func (p *Policy) shedLate(req *request) trigger {
	if p.route(req).Effect == Retriable && !req.Resumed && p.shareAbove(p.firstTokenOverruns, overloadWindow, overloadMinSamples) > 0.2 {
		return cannotMeetTarget
	}
	return noTrigger
}

// latency is how long sends wait at an engine now, and whether that is known: the least seen of late, as heavy
// sends need long anywhere, or what its report makes of it, or what is out where that has waited longer.
func (p *Policy) latency(e *engine, l engineLoad) (int64, bool) {
	seen, leastLatency := false, int64(math.MaxInt64)
	for _, s := range e.latencySamples[max(0, len(e.latencySamples)-8):] {
		// 2 s: about the time that a queue takes to change; less where nothing waits there, so none is.
		if age := p.now - s.at; age < reportTTL || len(l.waits) > 0 && age < int64(2*time.Second) {
			seen, leastLatency = true, min(leastLatency, s.value)
		}
	}
	if !seen && e.canPrefill && p.now-e.reportedAt < reportTTL {
		seen, leastLatency = true, int64(float64(lowerQuartile(p.recentLatencyPerWork))*(1+e.queuedWork))
	}
	if !seen {
		leastLatency = 0
	}
	return max(leastLatency, median(l.waits)), seen || len(l.waits) > 0
}

// ---- readers

func (p *Policy) sendToPrefill(req *request) trigger {
	return p.sendTo(req, p.engines[req.prefillEngine])
}

func (p *Policy) choosePrefill(req *request) trigger {
	e := p.pickPrefill(req, p.openLoads())
	if e == nil || p.triedJustNow(req, e) {
		return noPrefillEngine
	}
	req.prefillEngine = e.Engine
	return prefillChosen
}

// loadMargin is the design's starting value; 1.5 and 3 did no better.
const loadMargin = 0.75

// pickPrefill is the design's ladder: the session's pair, overlap under the cap, hash, least load.
func (p *Policy) pickPrefill(req *request, loads map[string]engineLoad) *engine {
	ready := p.usableEngines(req, loads, func(e *engine) bool { return e.canPrefill })
	if len(ready) == 0 {
		return nil
	}
	sticky := p.affinityOf(req).prefillEngine
	if i := slices.IndexFunc(ready, func(e *engine) bool { return e.Engine == sticky }); i >= 0 {
		return ready[i]
	}
	capacity := func(e *engine) float64 { return p.effectiveWeight(req, e, loads[e.Engine]) }
	total, weights := 1.0, 0.0
	for _, e := range ready {
		total += float64(loads[e.Engine].prefills)
		weights += capacity(e)
	}
	load := func(e *engine) int { return loads[e.Engine].prefills }
	crossZone := func(e *engine) int { return differ(e.Zone, p.config.Zone) } // crossing zones costs
	under := func(e *engine) bool {
		return float64(load(e)) < math.Ceil((1+loadMargin)*total*capacity(e)/weights)
	}
	least := func(x, y *engine) int { return cmp.Or(load(x)-load(y), crossZone(x)-crossZone(y)) }
	overlap := func(e *engine) float64 { return p.cachedTokens(req, e) }
	// A node that no other tells does not know a session's earlier reader. Then a session unknown here goes to
	// its home, or its second one where the first is over the cap, also by its report, or silent.
	preferred := p.preferredEngines(req, ready)
	available := func(e *engine) bool { return under(e) && p.lightlyLoaded(req, e) }
	if e := best(preferred, available, func(x, y *engine) int { return p.compareWork(req, preferred, x, y) }); e != nil {
		return e
	}
	// A cold reader that has a place is idle, which a crowded home is not.
	if i := slices.IndexFunc(ready, p.warmingUp); i >= 0 && len(preferred) > 0 {
		return ready[i]
	}
	if i := slices.IndexFunc(preferred, under); i >= 0 {
		return preferred[i]
	}
	some := func(e *engine) bool { return overlap(e) > 0 }
	most := func(x, y *engine) int { return cmp.Or(-cmp.Compare(overlap(x), overlap(y)), least(x, y)) }
	both := func(e *engine) bool { return under(e) && some(e) }
	if e := best(byHash(req.Session, ready), both, most); e != nil {
		return e
	}
	if !slices.ContainsFunc(ready, some) {
		if e := byHash(cmp.Or(req.Prefix, req.Session), ready)[0]; under(e) {
			return e
		}
	}
	return cmp.Or(best(ready, under, least), best(ready, some, least), p.roundRobin(ready, least))
}

// preferredEngines are the two first readers, the same at all nodes, that a session hashes to among those that keep its
// shared beginning: two, as copies take memory that sessions need, or so many that none reads more than two
// thirds of a reader's fair share for it. There are none where the session is known here or others tell.
func (p *Policy) preferredEngines(req *request, ready []*engine) []*engine {
	known := func(e *engine) bool { return p.cached[cacheKey{true, req.Session, e.Engine}].tokens > 0 }
	if p.config.Nodes < 2 || p.gossipEnabled() || slices.ContainsFunc(ready, known) {
		return nil
	}
	preferred := slices.Clone(ready)
	if req.Prefix != "" {
		seen := -1 // this one tells nothing of how many there are
		for _, recent := range p.recentPrefixes {
			seen += 1 - differ(recent, req.Prefix)
		}
		wanted := max(2, int(math.Ceil(1.5*float64(seen*len(ready))/float64(len(p.recentPrefixes)))))
		preferred = byHash(req.Prefix, preferred)[:min(wanted, len(preferred))]
	}
	preferred = byHash(req.Session, preferred)
	return preferred[:min(2, len(preferred))]
}

// compareWork compares two homes by how much must be read until the inference is, in thousands of tokens: what
// waits there by its report, and what of the prompt it is not thought to keep. A home keeps the shared
// beginning. Only the first may keep what follows, of which as much is counted as was found of late. Where
// a report is not fresh the first home stays first.
func (p *Policy) compareWork(req *request, preferred []*engine, x, y *engine) int {
	if !p.hasFreshLoad(x) || !p.hasFreshLoad(y) {
		return 0
	}
	work := func(e *engine) float64 {
		cachedHere := min(req.PrefixTokens, req.PromptTokens)
		if e == preferred[0] {
			cachedHere += float64(mean(p.recentCacheHits)) / 1e6 * (req.PromptTokens - cachedHere)
		}
		return e.queuedWork + (req.PromptTokens-cachedHere)/1000
	}
	return cmp.Compare(work(x), work(y))
}

// lightlyLoaded is whether an engine answers, and its reported load makes a wait shorter than a full read elsewhere,
// or is under the cap over the readers heard of in 10 s.
func (p *Policy) lightlyLoaded(req *request, e *engine) bool {
	if e.checkedAt > e.checkAnsweredAt || e.unresponsiveAt > max(e.reportedAt, p.now-int64(5*time.Second)) {
		return false
	}
	latency, _ := p.latency(e, engineLoad{})
	return float64(latency) < p.firstTokenTarget(req)/2 || e.queuedWork <= (1+loadMargin)*p.meanQueuedWork(10*time.Second)
}

// affinityOf is where the session was served last, if that is not too long ago.
func (p *Policy) affinityOf(req *request) affinity {
	// 30 s: the design's starting value.
	if last, ok := p.affinities[req.Session]; ok && req.Session != "" && p.now-last.servedAt < int64(30*time.Second) {
		return last
	}
	return affinity{}
}

// effectiveWeight is the weight that the operator gives. What other nodes load, and what is slow, shows only as lag,
// so past a fifth of the target, which calm sends stay under, it falls as lag grows.
func (p *Policy) effectiveWeight(req *request, e *engine, l engineLoad) float64 {
	latency, _ := p.latency(e, l)
	return e.Weight / max(1, 5*float64(latency)/p.firstTokenTarget(req))
}

// cachedTokens is how much of the prompt a reader is thought to keep; under a fifth counts as none.
func (p *Policy) cachedTokens(req *request, e *engine) float64 {
	// Five minutes: engines keep texts until memory runs out, which no node sees; kept counts correct the rest.
	const maxAge = int64(5 * time.Minute)
	longest := 0.0
	for _, k := range []cacheKey{{true, req.Session, e.Engine}, {false, req.Prefix, e.Engine}} {
		if v, ok := p.cached[k]; ok && k.key != "" && p.now-v.at < maxAge {
			n := v.tokens
			if !k.isSession {
				n = min(n, req.PrefixTokens)
			}
			longest = max(longest, min(n, req.PromptTokens))
		}
	}
	if longest < 0.2*req.PromptTokens {
		return 0
	}
	return longest
}

// recordCached notes after a read what the reader keeps now. A shared beginning that should have been kept and
// was not tells a reader that has forgotten: all else remembered of it is dropped too.
func (p *Policy) recordCached(req *request, prefillEngine string, keptTokens float64) {
	prefix := cacheKey{false, req.Prefix, prefillEngine}
	if v, ok := p.cached[prefix]; ok && req.Prefix != "" && keptTokens < 0.5*min(v.tokens, req.PrefixTokens) {
		p.dropCached(prefillEngine, req.arrivedAt)
	}
	if rest := req.PromptTokens - req.PrefixTokens; rest > 0 {
		p.recentCacheHits = appendBounded(p.recentCacheHits, int64(1e6*max(0, keptTokens-req.PrefixTokens)/rest), 64)
	}
	p.cached[cacheKey{true, req.Session, prefillEngine}] = cacheEntry{req.PromptTokens, p.now}
	if req.Prefix != "" {
		p.cached[prefix] = cacheEntry{req.PrefixTokens, p.now}
	}
	p.evictOldEntries()
}

// evictOldEntries keeps what is remembered to 20,000 entries of a kind, a few megabytes; then what is older than a
// minute goes.
func (p *Policy) evictOldEntries() {
	if len(p.cached) > 20000 {
		maps.DeleteFunc(p.cached, func(_ cacheKey, v cacheEntry) bool { return p.now-v.at > int64(time.Minute) })
	}
	if len(p.affinities) > 20000 {
		maps.DeleteFunc(p.affinities, func(_ string, entry affinity) bool { return p.now-entry.servedAt > int64(time.Minute) })
	}
}

// gossipEnabled is whether other nodes are told where a session's text is kept: where that is allowed, and a word to
// all costs no more than 0.005 of the value, about what a text found again saves.
func (p *Policy) gossipEnabled() bool {
	others := float64(p.config.Nodes - 1)
	return p.config.Gossip && others > 0 && p.config.GossipPrice*others*100/256 < 0.005
}

// gossipAffinity lets the other nodes know where a session was served: a front spreads its turns over all nodes. Lost
// messages cost one read in full.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		text := fmt.Sprintf("kept %q %q %q %.0f", req.Session, req.prefillEngine, req.decodeEngine, req.PromptTokens)
		p.actions = append(p.actions, SendGossip{-1, text})
	}
}

// reportTTL is how long news of an engine stands: queues turn over, and reports are renewed, in that time.
const reportTTL = int64(700 * time.Millisecond)

// hasFreshLoad is whether an engine's load is known; a cold one that has a place has hardly any.
func (p *Policy) hasFreshLoad(e *engine) bool {
	return p.now-e.reportedAt < reportTTL || p.warmingUp(e)
}

// requestLoad asks homes and some writers for their load, which a node among many cannot know.
func (p *Policy) requestLoad(req *request) trigger {
	p.recentPrefixes = appendBounded(p.recentPrefixes, req.Prefix, 64)
	preferred := p.preferredEngines(req, p.usableEngines(req, p.openLoads(), func(e *engine) bool { return e.canPrefill }))
	if len(preferred) > 0 {
		req.prefillEngine = preferred[0].Engine
	}
	return p.requestLoadOf(req, append(preferred, p.decodeCandidates(req)...))
}

func (p *Policy) requestDecodeLoad(req *request) trigger {
	return p.requestLoadOf(req, p.decodeCandidates(req))
}

// decodeCandidates are two of those that tie for fewest own streams and are nearest to the reader, and one from
// farther off in case these are full; none if news at hand will do.
func (p *Policy) decodeCandidates(req *request) []*engine {
	tied, from, rank := p.fewestStreams(req), p.engines[req.prefillEngine], map[*engine]float64{}
	for _, e := range tied {
		rank[e] = float64(distance(from, e)) + p.random()
	}
	slices.SortFunc(tied, func(x, y *engine) int { return cmp.Compare(rank[x], rank[y]) })
	nearest := func(e *engine) bool { return distance(from, e) == distance(from, tied[0]) }
	suffices := func(e *engine) bool { return nearest(e) && p.hasFreshLoad(e) && e.memoryShare < lowMemoryShare }
	if len(tied) < 2 || slices.ContainsFunc(tied, suffices) {
		return nil
	}
	other := slices.IndexFunc(tied, func(e *engine) bool { return !nearest(e) })
	return append(tied[:2:2], tied[max(1, other)])
}

// requestLoadOf probes those of whom nothing was heard of late; a probe to a cold engine would count as work.
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
	// 50 ms: several times what an engine needs that is not in trouble.
	p.startTimer(req, loadKnown, int64(50*time.Millisecond))
	return noTrigger
}

// handleHealthCheck notes what an engine says of itself; one that says nothing is in trouble.
func (p *Policy) handleHealthCheck(result HealthCheckResult) {
	e := p.engines[result.Engine]
	if e == nil {
		return
	}
	e.checkAnsweredAt = p.now
	switch result.Verdict {
	case Completed:
		p.recordReport(e, result.Report)
	case NotSent: // for a want of this machine: it says nothing of the engine
	default:
		e.unresponsiveAt = p.now
	}
	for _, req := range p.requestsWhere(func(req *request) bool { return req.checkAnswered(result.Engine) }) {
		p.fire(req, loadKnown)
		p.forgetIfDone(req)
	}
	// Busy engines say so; one that says nothing has not taken what was written to it before either.
	if result.Verdict != TimedOut && result.Verdict != NotConnected && result.Verdict != ConnectionLost {
		return
	}
	for _, req := range p.requestsWhere(func(req *request) bool {
		n := len(req.attempts) - 1
		return n >= 0 && req.attempts[n].engine == result.Engine && req.attempts[n].sentAt < e.checkedAt && p.lastUnanswered(req)
	}) {
		p.recordFault(e)
		p.fire(req, engineUnresponsive)
	}
}

// ---- writers

func (p *Policy) sendToDecode(req *request) trigger {
	// A non-retriable that may have run gets its error at once; so does what no engine may take again.
	if !slices.ContainsFunc(p.engineIDs, func(id string) bool { return p.mayRetryOn(req, p.engines[id]) }) {
		return attemptsExhausted
	}
	if p.now-req.idleSince > int64(p.config.ReservationLimit)-2*p.deadlineMargin()-retryDelay {
		return attemptsExhausted
	}
	e := p.pickDecode(req)
	if e == nil || p.triedJustNow(req, e) {
		return noDecodeEngine
	}
	req.decodeEngine = e.Engine
	return p.sendTo(req, e)
}

// triedJustNow is whether a send has just come back from there. Where nothing else is left, the next waits a step:
// an engine that is gone refuses at once, and would take all sends of an inference within a millisecond.
func (p *Policy) triedJustNow(req *request, e *engine) bool {
	return slices.ContainsFunc(req.attempts, func(s attempt) bool {
		return s.engine == e.Engine && s.decode == e.canDecode && p.now-s.sentAt < retryDelay
	})
}

// lowMemoryShare is the share of its memory up to which a writer counts as empty; 0.85 did far worse among many nodes.
const lowMemoryShare = 0.7

// pickDecode takes the session's writer if it is valid, else one with fewest own streams. Among many nodes
// nearly all tie, so what is known of their memory comes next, weighed against the move, then turns.
func (p *Policy) pickDecode(req *request) *engine {
	tied := p.fewestStreams(req)
	if len(tied) == 0 {
		return nil
	}
	from := p.engines[req.prefillEngine]
	if slices.ContainsFunc(tied, p.hasFreshLoad) {
		tied = slices.DeleteFunc(tied, func(e *engine) bool { return !p.hasFreshLoad(e) })
	}
	// Leaving the cell is worth a tenth of a writer's memory, leaving the zone, where a state takes several
	// times as long and holds up others on the link, four; within a tenth, reports are noise.
	cost := func(e *engine) float64 {
		return [...]float64{0, 1, 4}[distance(from, e)] + math.Round(10*max(lowMemoryShare, e.memoryShare))
	}
	return p.roundRobin(tied, func(x, y *engine) int { return cmp.Compare(cost(x), cost(y)) })
}

// fewestStreams are the writers that tie: the session's if it is valid, else those with fewest own streams.
func (p *Policy) fewestStreams(req *request) []*engine {
	loads := p.openLoads()
	ready := p.usableEngines(req, loads, func(e *engine) bool {
		return e.canDecode && e.fullUntil <= p.now && p.mayRetryOn(req, e) && p.hasCapacity(req, e, loads[e.Engine])
	})
	sticky := p.affinityOf(req).decodeEngine
	if i := slices.IndexFunc(ready, func(e *engine) bool { return e.Engine == sticky }); i >= 0 {
		if latency, _ := p.latency(ready[i], loads[sticky]); float64(latency) < p.firstTokenTarget(req)/3 {
			return ready[i : i+1]
		}
	}
	streams := func(e *engine) int { return loads[e.Engine].streams }
	all := func(*engine) bool { return true }
	fewest := best(ready, all, func(x, y *engine) int { return streams(x) - streams(y) })
	return slices.DeleteFunc(ready, func(e *engine) bool { return streams(e) > streams(fewest) })
}

// Reports travel and are refreshed for about half a second; what was sent since then is not in them.
const reportDelay = int64(500 * time.Millisecond)

// hasCapacity keeps a writer from running out of memory, which throws its newest answers back to be read anew. It
// goes by a fresh report and what was sent since, else by this node's own part, as if all nodes sent alike. A
// wrong guess costs a wait of three quarters of the pin limit. 1.05: reports are noisy.
func (p *Policy) hasCapacity(req *request, e *engine, l engineLoad) bool {
	memory := p.config.kind(e.Kind).MemoryTokens
	used := l.promptTokens * float64(p.config.Nodes)
	if p.hasFreshLoad(e) {
		used = e.memoryShare*memory + l.unreportedTokens
	}
	waited := req.idleSince > 0 && float64(p.now-req.idleSince) > 0.75*float64(p.config.ReservationLimit)
	return memory == 0 || waited || used == 0 || used+req.PromptTokens < 1.05*memory
}

// ---- engines

// isSlow is whether a reader needs three times as long for its work as the median of readers; its work is what
// it reported to wait and what it had to read itself. Lags are high at busy engines too, and this is not. It
// does harm where an engine reports less work than it has: that one then counts as slow.
func (p *Policy) isSlow(e *engine) bool {
	var all []int64
	for _, id := range p.engineIDs {
		if other := p.engines[id]; other.Ready && len(other.latencyPerWork) > 2 {
			all = append(all, median(other.latencyPerWork))
		}
	}
	return len(e.latencyPerWork) > 2 && len(all) > 2 && median(e.latencyPerWork) > 3*median(all)
}

// faultWindow is for how long strikes count: a minute, several times the longest that they keep an engine out.
const faultWindow = int64(time.Minute)

// expired is whether an engine has been out of the list for longer than what it did still counts, with
// nothing out there. A fleet that is always replaced would else be remembered whole.
func (p *Policy) expired(e *engine, l engineLoad) bool {
	return e.removedAt > 0 && p.now-e.removedAt > faultWindow && l.prefills+l.streams == 0
}

// usableEngines lists the engines that fit and are healthy, by id. Where none is healthy, the best that fit are.
func (p *Policy) usableEngines(req *request, loads map[string]engineLoad, fits func(*engine) bool) []*engine {
	fitting, healthyOnes, latencies, faults := []*engine{}, []*engine{}, []int64{}, []int64{}
	for _, id := range p.engineIDs {
		if e := p.engines[id]; e.Ready && fits(e) && p.withinSlowStart(e) {
			fitting, faults = append(fitting, e), append(faults, int64(p.countSince(e.faultTimes, faultWindow)))
			if lag, known := p.latency(e, loads[id]); known {
				latencies = append(latencies, lag)
			}
		}
	}
	// The usual is of the others: an engine far over it is the largest. Of two or four, half would else be
	// usual.
	usualLatency, usualFaults := median(slices.Sorted(slices.Values(latencies))[:max(0, len(latencies)-1)]), float64(median(faults))
	for _, e := range fitting {
		if p.isHealthy(req, e, loads[e.Engine], usualLatency, usualFaults) {
			healthyOnes = append(healthyOnes, e)
		}
	}
	if len(healthyOnes) > 0 {
		return healthyOnes
	}
	// Of those in trouble, some have done well since, and any other is better than one that this has come back
	// from: an engine that is gone has the fewest streams. It harms where all fail alike, as turns are then less
	// even.
	for _, worse := range []func(*engine) bool{
		func(e *engine) bool { return e.suspect || req.failedOn(e) }, req.failedOn,
	} {
		if better := slices.DeleteFunc(slices.Clone(fitting), worse); len(better) > 0 {
			return better
		}
	}
	return fitting
}

// isHealthy holds against failing, silent and slow engines alike: each sign of trouble is a strike, which keeps
// an engine out for 2 s, twice as long with each more, 16 s at most. Then one send at a time tries it, beside
// the streams that have begun there. A busy fleet's lags look like trouble too, so they are measured against
// other engines'; so are strikes: what breaks sends on the way strikes all alike, and to keep out whoever was
// met last leaves all to one or two. It does harm where most engines fail in part.
func (p *Policy) isHealthy(req *request, e *engine, l engineLoad, usualLatency int64, usualFaults float64) bool {
	// Three times the usual lag and a third of the target: noise seldom makes that, slow and silent engines do.
	if latency, _ := p.latency(e, l); float64(latency) > p.firstTokenTarget(req)/3 && (latency > 3*usualLatency || p.isSlow(e)) {
		return false
	}
	if len(e.faultTimes) > 0 {
		// Half a second: all that one blow breaks comes within it.
		ejectedFor, excess := int64(0), p.countSince(e.faultTimes, faultWindow)-usualFaults
		if e.suspect {
			ejectedFor = int64(500 * time.Millisecond)
		}
		if excess > 0 {
			ejectedFor = int64(2*time.Second) << min(int(excess)-1, 3)
		}
		if p.now-e.faultTimes[len(e.faultTimes)-1] < ejectedFor {
			return false
		}
	}
	// What has come back from there once tries another first.
	return (!e.suspect || len(l.waits) == 0) && !req.failedOn(e)
}

// failedOn is whether a send has come back from an engine with nothing.
func (req *request) failedOn(e *engine) bool {
	return slices.ContainsFunc(req.attempts, func(s attempt) bool { return s.engine == e.Engine && !s.prefilled })
}

// recordFault notes trouble with an engine.
func (p *Policy) recordFault(e *engine) {
	if len(e.faultTimes) == 0 || p.now-e.faultTimes[len(e.faultTimes)-1] > int64(500*time.Millisecond) {
		e.faultTimes = appendBounded(e.faultTimes, p.now, 6)
	}
	e.suspect = true
}

func (p *Policy) recordOutcome(req *request, s *attempt, o Outcome) {
	e := p.engines[s.engine]
	if e == nil {
		return
	}
	switch o.Verdict {
	case Completed:
		e.suspect, e.healthyAt = false, p.now // a stream to its end is a sign of health too
	case PrefillDone:
		p.recordCached(req, s.engine, o.CachedTokens)
		p.recordLatency(e, o.Latency, s.sentAt)
		// Half a thousand tokens: less work than that says more of the way than of the engine.
		if work := s.queuedWork - 1 + (req.PromptTokens-o.CachedTokens)/1000; s.queuedWork > 0 && work > 0.5 {
			e.latencyPerWork = appendBounded(e.latencyPerWork, int64(float64(o.Latency)/work), 5)
		}
		if s.queuedWork > 0 {
			p.recentLatencyPerWork = appendBounded(p.recentLatencyPerWork, int64(float64(o.Latency)/s.queuedWork), 32)
		}
	case Full:
		// 150 ms: about the time in which a busy writer ends one answer.
		e.fullUntil = p.now + int64(150*time.Millisecond)
	case TimedOut, NotConnected, ConnectionLost:
		if !o.StaleConnection && req.state != ended && p.now < req.Deadline-p.deadlineMargin() {
			p.recordFault(e)
		}
	case EngineError:
		p.recordFault(e)
	}
}

// recordLatency takes an answer as a sign of health. Engines take sends in turn, so a send that two later ones
// have overtaken, though it has waited a sixth of its target, was lost on the way or in the engine.
func (p *Policy) recordLatency(e *engine, latency, sentAt int64) {
	if e == nil {
		return
	}
	e.latencySamples, e.progressTimes = appendBounded(e.latencySamples, sample{p.now, latency}, 64), appendBounded(e.progressTimes, p.now, 64)
	// An engine that failed and said nothing good for 3 s, longer than any jam, may have started anew unseen.
	if e.suspect && p.now-e.healthyAt > int64(3*time.Second) {
		e.warmingSince = p.now
	}
	e.suspect, e.healthyAt = false, p.now
	for _, req := range p.requestsWhere(func(req *request) bool {
		n := len(req.attempts) - 1
		if n < 0 || !req.attempts[n].inFlight || req.attempts[n].streaming || req.attempts[n].engine != e.Engine {
			return false
		}
		s := &req.attempts[n]
		if s.sentAt < sentAt {
			s.laterResponses++
		}
		return s.laterResponses >= 2 && float64(p.now-s.sentAt) > p.firstTokenTarget(req)/6
	}) {
		p.fire(req, passedByLaterResponse)
	}
}

// cancelLastAttempt gives up the wait for the send that is out, where another may follow it. Else its state is let go
// of all the same: most likely it was not fetched, and if it is queued after all, its writer will say so.
func (p *Policy) cancelLastAttempt(req *request) trigger {
	s := &req.attempts[len(req.attempts)-1]
	// A read has no effect, yet reads given up have counted as such that may have run: docs/incidents.
	mayRetry := p.route(req).Effect == Retriable
	switch {
	case s.canceled:
	case mayRetry && len(req.attempts) < p.config.MaxAttempts && p.config.Cancel:
		s.canceled = true
		p.actions = append(p.actions, CancelAttempt{req.RequestID, len(req.attempts) - 1})
	case s.decode:
		p.actions = append(p.actions, Release{req.RequestID})
	}
	return noTrigger
}

// responseTimeout is how long the last send may go without a sign of its engine. Nothing tells a machine that is cut
// off from a busy one, and what is written to a kept connection is lost without a word. A writer is asked
// after a third of the pin limit, so that the wait for its answer and another try fit in before it; a reader
// after half the target, as another read would be too late later.
func (p *Policy) responseTimeout(req *request) int64 {
	if req.attempts[len(req.attempts)-1].decode {
		return int64(p.config.DecodeResponseTimeout)
	}
	return int64(p.firstTokenTarget(req) / 2)
}

// lastUnanswered is whether the last send is out and nothing came from its engine since it was sent.
func (p *Policy) lastUnanswered(req *request) bool {
	s := &req.attempts[len(req.attempts)-1]
	e := p.engines[s.engine]
	return s.inFlight && !s.streaming && e != nil && max(e.healthyAt, e.reportedAt) < s.sentAt
}

// checkUnresponsive probes an engine that has been quiet for too long; a cold one would count that as work.
func (p *Policy) checkUnresponsive(req *request) trigger {
	s := &req.attempts[len(req.attempts)-1]
	e := p.engines[s.engine]
	if p.lastUnanswered(req) && p.now-s.sentAt >= p.responseTimeout(req) && p.config.HealthChecks && !p.warmingUp(e) {
		p.healthCheck(e)
	}
	return noTrigger
}

// healthCheck asks an engine for its load, unless an answer is under way.
func (p *Policy) healthCheck(e *engine) {
	if e.checkedAt <= e.checkAnsweredAt {
		e.checkedAt = p.now
		p.actions = append(p.actions, HealthCheck{e.Engine})
	}
}

func (p *Policy) warmingUp(e *engine) bool {
	return e.warmingSince != 0 && p.now-e.warmingSince <= int64(p.config.SlowStart.Duration)
}

// withinSlowStart keeps all nodes together from pushing a cold engine over. What the engines of that role did for
// this node of late, each on average, gone ones too, is what one can do at least; its cold share is this
// node's part of the budget. Whole places are its own; for the rest all nodes draw the same lots.
func (p *Policy) withinSlowStart(e *engine) bool {
	if !p.warmingUp(e) {
		return true
	}
	const span = int64(20 * time.Second) // a node among many sends little; and all of a role may be cold at once
	window, done, alike := max(4, int64(p.config.SlowStart.Window)), 0.0, 0.0
	for _, other := range p.engines {
		if recent := p.countSince(other.progressTimes, span); other.canPrefill == e.canPrefill && other.canDecode == e.canDecode && (other.Ready || recent > 0) {
			done, alike = done+recent, alike+1
		}
	}
	// 1.2: engines seldom do all that they can. Lots get two thirds of it, as they fall unevenly.
	places := 1.2 * p.config.SlowStart.Share * p.config.SlowStart.Multiple * done / max(1, alike) *
		float64(window) / float64(min(span, max(window, p.now-p.startedAt)))
	// Any window touches five quarters at most, so each quarter gives out a fifth.
	nodes := max(1, float64(p.config.Nodes))
	whole, rest := math.Modf(places)
	first := float64(hash(fmt.Sprint(e.Engine, 4*p.now/window))%1e6) / 1e6 * nodes
	if math.Mod(float64(p.config.Node)+first, nodes) < rest*nodes/7.5 && p.countSince(e.sendTimes, window/4) == 0 {
		whole++
	}
	return p.countSince(e.sendTimes, window) < whole
}

func (p *Policy) handleEndpoints(update EndpointUpdate) {
	if update.Failed {
		p.lastTimerToken++
		p.timers[p.lastTimerToken] = timer{-1, retryDue}
		// 300 ms and up to as much again: all nodes fail at once, and discovery serves one call at a time.
		after := int64(300*time.Millisecond) + int64(p.random()*float64(300*time.Millisecond))
		p.actions = append(p.actions, StartTimer{p.lastTimerToken, after})
		return
	}
	p.updateEndpoints(update)
}

// watchEndpoints asks discovery for news where it does not come by itself.
func (p *Policy) watchEndpoints() {
	if p.config.WatchEndpoints {
		p.actions = append(p.actions, WatchEndpoints{})
	}
}
