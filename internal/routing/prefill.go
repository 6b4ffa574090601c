package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// loadMargin is how far over the mean an engine's load may be. 1.5 and 3 did no better.
const loadMargin = 0.75

// choosePrefill chooses the prefill engine of a request.
func (p *Policy) choosePrefill(req *request) trigger {
	e := p.pickPrefill(req)
	if e == nil || p.triedJustNow(req, e) {
		return noPrefillEngine
	}
	req.prefillEngine = e.Engine
	return prefillChosen
}

// sendToPrefill sends to the prefill engine that was chosen.
func (p *Policy) sendToPrefill(req *request) trigger {
	return p.sendTo(req, p.engines[req.prefillEngine])
}

// pickPrefill takes the first that there is of: the session's engine, a preferred engine, one with the prompt
// cached and under the load cap, the prefix's by hash, the least loaded.
func (p *Policy) pickPrefill(req *request) *engine {
	ready := p.usableEngines(req, &p.prefillEngines, everyEngine)
	if len(ready) == 0 {
		return nil
	}
	if e := find(ready, p.affinityOf(req.Session).prefillEngine); e != nil {
		return e
	}
	c := p.newPrefillChoice(req, ready)
	if e := c.preferred(); e != nil {
		return e
	}
	caching := p.cachingEngines(req, ready)
	if e := c.cachedOrHashed(caching); e != nil {
		return e
	}
	return c.fallback(caching)
}

// everyEngine fits every engine.
func everyEngine(*engine) bool { return true }

// prefillChoice is the choice of one request's prefill engine among those that are ready.
type prefillChoice struct {
	policy         *Policy
	req            *request
	ready          []*engine // by ID
	total, weights float64   // of all that are ready: prefills, this one included, and effective weights
}

func (p *Policy) newPrefillChoice(req *request, ready []*engine) *prefillChoice {
	c := &prefillChoice{policy: p, req: req, ready: ready, total: 1}
	for _, e := range ready {
		if p.isQuiet(e) {
			c.weights += e.Weight
			continue
		}
		c.total += float64(c.load(e))
		c.weights += c.weight(e)
	}
	return c
}

func (c *prefillChoice) load(e *engine) int { return c.policy.loadOf(e).prefills }

// weight is what the operator gives. What other nodes load, and what is slow, shows only as latency, so it
// falls with latency over a fifth of the objective.
func (c *prefillChoice) weight(e *engine) float64 {
	if c.policy.isQuiet(e) {
		return e.Weight
	}
	latency, _ := c.policy.latency(e, c.policy.loadOf(e))
	return e.Weight / max(1, 5*float64(latency)/c.policy.firstTokenObjective(c.req))
}

func (c *prefillChoice) underCap(e *engine) bool {
	return float64(c.load(e)) < math.Ceil((1+loadMargin)*c.total*c.weight(e)/c.weights)
}

func (c *prefillChoice) cached(e *engine) float64 { return c.policy.cachedTokens(c.req, e) }

// loadAndZone is the load of an engine, then whether it is in another zone than this node: crossing zones costs.
func (c *prefillChoice) loadAndZone(e *engine) int {
	return 2*c.load(e) + differ(e.Zone, c.policy.config.Zone)
}

// preferred is a preferred engine that answers and is under the load cap, also by its report. An engine that
// is warming up within its slow start is idle, which crowded preferred engines are not.
func (c *prefillChoice) preferred() *engine {
	p, preferred := c.policy, c.policy.preferredEngines(c.req, c.ready)
	available := func(e *engine) bool { return c.underCap(e) && p.lightlyLoaded(c.req, e) }
	order := func(x, y *engine) int { return p.compareWork(c.req, preferred, x, y) }
	if e := best(preferred, available, order); e != nil {
		return e
	}
	if i := slices.IndexFunc(c.ready, p.warmingUp); i >= 0 && len(preferred) > 0 {
		return c.ready[i]
	}
	if i := slices.IndexFunc(preferred, c.underCap); i >= 0 {
		return preferred[i]
	}
	return nil
}

// cachedOrHashed is the engine under the load cap with the most of the prompt cached. If none has any, it is
// the first by hash of the prefix.
func (c *prefillChoice) cachedOrHashed(caching []*engine) *engine {
	most := func(x, y *engine) int {
		return cmp.Or(-cmp.Compare(c.cached(x), c.cached(y)), c.loadAndZone(x)-c.loadAndZone(y))
	}
	if len(caching) > 0 {
		return best(caching, c.underCap, most)
	}
	if e := firstByHash(c.prefixOrSession(), c.ready, 1)[0]; c.underCap(e) {
		return e
	}
	return nil
}

func (c *prefillChoice) prefixOrSession() string { return cmp.Or(c.req.Prefix, c.req.Session) }

// fallback is the least loaded engine under the load cap, or with all over it the least loaded that has any of the
// prompt cached, or the least loaded by turns. The turns go on with each choice, whether they are used or not.
func (c *prefillChoice) fallback(caching []*engine) *engine {
	key := c.prefixOrSession()
	if len(caching) > 0 {
		key = c.req.Session
	}
	turn := c.policy.nextTurn()
	if e := c.firstLeastLoaded(key, c.allUnderCap()); e != nil {
		return e
	}
	if e := c.firstLeastLoaded(key, caching); e != nil {
		return e
	}
	tied := leastBy(c.ready, c.loadAndZone)
	return firstByHash(key, tied, len(tied))[turn%len(tied)]
}

func (c *prefillChoice) allUnderCap() (engines []*engine) {
	for _, e := range c.ready {
		if c.underCap(e) {
			engines = append(engines, e)
		}
	}
	return engines
}

// firstLeastLoaded is the first of the least loaded engines by hash; nil for no engines.
func (c *prefillChoice) firstLeastLoaded(key string, engines []*engine) *engine {
	if len(engines) == 0 {
		return nil
	}
	return firstByHash(key, leastBy(engines, c.loadAndZone), 1)[0]
}

// preferredEngines are the first two, the same at all nodes, that the session hashes to among those that
// cache its prefix: two, as copies take memory, or so many that none prefills more than two thirds of its
// fair share for the prefix. There are none where the session is known here or nodes gossip.
func (p *Policy) preferredEngines(req *request, ready []*engine) []*engine {
	if p.config.Nodes < 2 || p.gossipEnabled() || p.sessionCachedIn(req.Session, ready) {
		return nil
	}
	const copies = 2
	if req.Prefix == "" {
		return firstByHash(req.Session, ready, copies)
	}
	seen := -1 // this request says nothing of how many there are
	for _, recent := range p.recentPrefixes {
		seen += 1 - differ(recent, req.Prefix)
	}
	wanted := max(copies, int(math.Ceil(1.5*float64(seen*len(ready))/float64(len(p.recentPrefixes)))))
	return firstByHash(req.Session, firstByHash(req.Prefix, ready, wanted), copies)
}

// sessionCachedIn is whether one of some engines, in order of IDs, is thought to cache any of a session.
func (p *Policy) sessionCachedIn(session string, engines []*engine) bool {
	return slices.ContainsFunc(p.cache.entries[sessionText(session)], func(entry cacheEntry) bool {
		return entry.tokens > 0 && find(engines, entry.engine) != nil
	})
}

// compareWork compares two preferred engines by the thousands of tokens to prefill until the request is: what
// is queued by the report, and what of the prompt is not cached. Both cache the prefix; only the first may
// cache what follows, of which as much counts as was found recently. Without fresh reports the first stays
// first.
func (p *Policy) compareWork(req *request, preferred []*engine, x, y *engine) int {
	if !p.hasFreshLoad(x) || !p.hasFreshLoad(y) {
		return 0
	}
	work := func(e *engine) float64 {
		cached := min(req.PrefixTokens, req.PromptTokens)
		if e == preferred[0] {
			cached += float64(mean(p.cache.recentHits)) / 1e6 * (req.PromptTokens - cached)
		}
		return e.queuedWork + (req.PromptTokens-cached)/1000
	}
	return cmp.Compare(work(x), work(y))
}

// lightlyLoaded is whether an engine answers health checks, and its reported load makes a wait shorter than a
// full prefill elsewhere, or is under the load cap of the engines that reported recently.
func (p *Policy) lightlyLoaded(req *request, e *engine) bool {
	if e.checkedAt > e.checkAnsweredAt || e.unresponsiveAt > max(e.reportedAt, p.now-5*time.Second) {
		return false
	}
	latency, _ := p.latency(e, engineLoad{})
	quick := float64(latency) < p.firstTokenObjective(req)/2
	return quick || e.queuedWork <= (1+loadMargin)*p.meanQueuedWork(10*time.Second)
}
