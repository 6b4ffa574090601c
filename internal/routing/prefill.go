package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// loadMargin is how far the load cap of an engine exceeds the mean load, as a fraction of the mean. 1.5 and 3 did no better.
const loadMargin = 0.75

// choosePrefill chooses the prefill engine of a request.
func (p *Policy) choosePrefill(req *request) trigger {
	e := p.pickPrefill(req)
	if e == nil || p.triedRecently(req, e) {
		return noPrefillEngine
	}
	req.prefillEngine = e.Engine
	return prefillChosen
}

// sendToPrefill sends a request to the prefill engine that was chosen.
func (p *Policy) sendToPrefill(req *request) trigger {
	return p.sendTo(req, p.engines[req.prefillEngine])
}

// pickPrefill returns the first available of: the session's engine, a preferred engine, an engine under the load cap that
// has the prompt cached, the engine that the prefix hashes to, the least loaded engine.
func (p *Policy) pickPrefill(req *request) *engine {
	ready := p.usableEngines(req, &p.prefillEngines, everyEngine)
	if len(ready) == 0 {
		return nil
	}
	if e := findEngine(ready, p.affinityOf(req.Session).prefillEngine); e != nil {
		return e
	}
	c := p.newPrefillChoice(req, ready)
	if e := c.pickPreferred(); e != nil {
		return e
	}
	caching := p.cachingEngines(req, ready)
	if e := c.pickCachedOrHashed(caching); e != nil {
		return e
	}
	return c.pickFallback(caching)
}

// everyEngine accepts every engine.
func everyEngine(*engine) bool { return true }

// prefillChoice holds the inputs to the choice of one request's prefill engine among those that are ready.
type prefillChoice struct {
	policy                     *Policy
	req                        *request
	ready                      []*engine // the engines that are ready, in the order of their IDs
	totalPrefills, totalWeight float64   // sums over the ready engines: prefills, including this one, and effective weights
}

func (p *Policy) newPrefillChoice(req *request, ready []*engine) *prefillChoice {
	c := &prefillChoice{policy: p, req: req, ready: ready, totalPrefills: 1}
	for _, e := range ready {
		if p.isIdle(e) {
			c.totalWeight += e.Weight
			continue
		}
		c.totalPrefills += float64(c.prefills(e))
		c.totalWeight += c.weight(e)
	}
	return c
}

func (c *prefillChoice) prefills(e *engine) int { return c.policy.loadOf(e).prefills }

// weight returns the operator's weight of an engine, reduced for a latency above a fifth of the objective: load from other
// nodes and slowness show only as latency.
func (c *prefillChoice) weight(e *engine) float64 {
	if c.policy.isIdle(e) {
		return e.Weight
	}
	latency, _ := c.policy.latency(e, c.policy.loadOf(e))
	return e.Weight / max(1, 5*float64(latency)/c.policy.firstTokenObjective(c.req))
}

func (c *prefillChoice) isUnderCap(e *engine) bool {
	return float64(c.prefills(e)) < math.Ceil((1+loadMargin)*c.totalPrefills*c.weight(e)/c.totalWeight)
}

func (c *prefillChoice) cachedTokens(e *engine) float64 { return c.policy.cachedTokens(c.req, e) }

// loadAndZone returns a cost that orders engines by their load, then by whether they are in another zone than this node, as
// crossing zones is expensive.
func (c *prefillChoice) loadAndZone(e *engine) int {
	return 2*c.prefills(e) + oneIfDifferent(e.Zone, c.policy.config.Zone)
}

// pickPreferred returns the preferred engine with the least work among those that answer health checks and are under the
// load cap, also by their reports. Otherwise it returns an engine in slow start, which is idle as it has budget left, or
// else a preferred engine that is under the load cap by this node's attempts alone.
func (c *prefillChoice) pickPreferred() *engine {
	p, preferred := c.policy, c.policy.preferredEngines(c.req, c.ready)
	available := func(e *engine) bool { return c.isUnderCap(e) && p.isLightlyLoaded(c.req, e) }
	order := func(x, y *engine) int { return p.compareWork(c.req, preferred, x, y) }
	if e := bestFitting(preferred, available, order); e != nil {
		return e
	}
	if i := slices.IndexFunc(c.ready, p.isWarmingUp); i >= 0 && len(preferred) > 0 {
		return c.ready[i]
	}
	if i := slices.IndexFunc(preferred, c.isUnderCap); i >= 0 {
		return preferred[i]
	}
	return nil
}

// pickCachedOrHashed returns the engine under the load cap with the most of the prompt cached. If no engine has any of it
// cached, that is the first engine by hash of the prefix.
func (c *prefillChoice) pickCachedOrHashed(caching []*engine) *engine {
	byCachedTokens := func(x, y *engine) int {
		return cmp.Or(-cmp.Compare(c.cachedTokens(x), c.cachedTokens(y)), c.loadAndZone(x)-c.loadAndZone(y))
	}
	if len(caching) > 0 {
		return bestFitting(caching, c.isUnderCap, byCachedTokens)
	}
	if e := firstByHash(c.hashKey(), c.ready, 1)[0]; c.isUnderCap(e) {
		return e
	}
	return nil
}

func (c *prefillChoice) hashKey() string { return cmp.Or(c.req.Prefix, c.req.Session) }

// pickFallback returns the least loaded engine under the load cap. If all are over it, it returns the least loaded engine
// that has any of the prompt cached, else one of the least loaded by round robin. The rotation advances with each call,
// used or not.
func (c *prefillChoice) pickFallback(caching []*engine) *engine {
	key := c.hashKey()
	if len(caching) > 0 {
		key = c.req.Session
	}
	rotation := c.policy.nextRotation()
	if e := c.firstLeastLoaded(key, c.enginesUnderCap()); e != nil {
		return e
	}
	if e := c.firstLeastLoaded(key, caching); e != nil {
		return e
	}
	tied := leastBy(c.ready, c.loadAndZone)
	return firstByHash(key, tied, len(tied))[rotation%len(tied)]
}

func (c *prefillChoice) enginesUnderCap() (engines []*engine) {
	for _, e := range c.ready {
		if c.isUnderCap(e) {
			engines = append(engines, e)
		}
	}
	return engines
}

// firstLeastLoaded returns the first by hash of the least loaded engines; nil for no engines.
func (c *prefillChoice) firstLeastLoaded(key string, engines []*engine) *engine {
	if len(engines) == 0 {
		return nil
	}
	return firstByHash(key, leastBy(engines, c.loadAndZone), 1)[0]
}

// preferredEngines returns the first two engines, the same at all nodes, that the session hashes to among those that cache
// its prefix. Only two engines cache a prefix, as copies take memory, or as many as are needed so that none spends more than
// two thirds of its fair share of prefills on the prefix. There are no preferred engines for a session that is known to be
// cached, or if nodes gossip.
func (p *Policy) preferredEngines(req *request, ready []*engine) []*engine {
	if p.config.Nodes < 2 || p.gossipEnabled() || p.sessionCachedIn(req.Session, ready) {
		return nil
	}
	const copies = 2
	if req.Prefix == "" {
		return firstByHash(req.Session, ready, copies)
	}
	seen := -1 // does not count this request
	for _, recent := range p.recentPrefixes {
		seen += 1 - oneIfDifferent(recent, req.Prefix)
	}
	count := max(copies, int(math.Ceil(1.5*float64(seen*len(ready))/float64(len(p.recentPrefixes)))))
	return firstByHash(req.Session, firstByHash(req.Prefix, ready, count), copies)
}

// sessionCachedIn reports whether one of the given engines, which are in the order of IDs, is assumed to have cached any of
// a session.
func (p *Policy) sessionCachedIn(session string, engines []*engine) bool {
	return slices.ContainsFunc(p.cache.entriesByKey[sessionKey(session)], func(entry cacheEntry) bool {
		return entry.tokens > 0 && findEngine(engines, entry.engine) != nil
	})
}

// compareWork compares two preferred engines by the thousands of tokens to prefill until the request is done: the queued
// tokens according to the report, and the tokens of the prompt that are not cached. Both engines cache the prefix. Only
// the first engine may cache the text after the prefix; the recent hit rate is assumed for it. Without fresh reports the
// first engine stays first.
func (p *Policy) compareWork(req *request, preferred []*engine, x, y *engine) int {
	if !p.hasFreshLoad(x) || !p.hasFreshLoad(y) {
		return 0
	}
	work := func(e *engine) float64 {
		cached := min(req.PrefixTokens, req.PromptTokens)
		if e == preferred[0] {
			cached += float64(mean(p.cache.recentHitsPPM)) / 1e6 * (req.PromptTokens - cached)
		}
		return e.queuedWork + (req.PromptTokens-cached)/1000
	}
	return cmp.Compare(work(x), work(y))
}

// isLightlyLoaded reports whether an engine answers health checks, and its reported load causes a shorter wait than a full
// prefill on another engine, or is under the load cap of the engines that reported recently.
func (p *Policy) isLightlyLoaded(req *request, e *engine) bool {
	if e.checkSentAt > e.checkEndedAt || e.unresponsiveAt > max(e.reportedAt, p.now-5*time.Second) {
		return false
	}
	latency, _ := p.latency(e, engineLoad{})
	shortWait := float64(latency) < p.firstTokenObjective(req)/2
	return shortWait || e.queuedWork <= (1+loadMargin)*p.meanQueuedWork(10*time.Second)
}
