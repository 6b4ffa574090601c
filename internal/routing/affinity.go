package routing

import "time"

// What is remembered is kept to this many entries of a kind, a few megabytes; then what is older is evicted.
const (
	maxEntries = 20_000
	evictAfter = time.Minute
)

// affinityOf is where a session was served last, if that was recently.
func (p *Policy) affinityOf(session string) affinity {
	const maxAge = 30 * time.Second
	if last, ok := p.affinities[session]; ok && session != "" && p.now-last.servedAt < maxAge {
		return last
	}
	return affinity{}
}

// gossipEnabled is whether nodes tell each other where sessions are cached: where that is allowed, and a
// message to all costs no more than 0.005 of a request's value, about what a cached prompt saves.
func (p *Policy) gossipEnabled() bool {
	others := float64(p.config.Nodes - 1)
	return p.config.Gossip && others > 0 && p.config.GossipPrice*others*100/256 < 0.005
}

// cachedTokens is how much of the prompt an engine is thought to cache; under a fifth counts as none.
func (p *Policy) cachedTokens(req *request, e *engine) float64 {
	// Engines cache until memory runs out, which no node sees; the cached tokens that they report correct the
	// rest.
	const maxAge = 5 * time.Minute
	most := 0.0
	for _, k := range []cacheKey{{true, req.Session, e.Engine}, {false, req.Prefix, e.Engine}} {
		if v, ok := p.cache.entries[k]; ok && k.key != "" && p.now-v.at < maxAge {
			n := v.tokens
			if !k.isSession {
				n = min(n, req.PrefixTokens)
			}
			most = max(most, min(n, req.PromptTokens))
		}
	}
	if most < 0.2*req.PromptTokens {
		return 0
	}
	return most
}

// recordCached notes what an engine caches after a prefill. If a prefix was not cached that should have been,
// the engine has lost its cache: all that was cached before is dropped.
func (p *Policy) recordCached(req *request, engine string, cachedTokens float64) {
	prefix := cacheKey{false, req.Prefix, engine}
	known, ok := p.cache.entries[prefix]
	if ok && req.Prefix != "" && cachedTokens < 0.5*min(known.tokens, req.PrefixTokens) {
		p.cache.drop(engine, req.arrivedAt)
	}
	if rest := req.PromptTokens - req.PrefixTokens; rest > 0 {
		hit := int64(1e6 * max(0, cachedTokens-req.PrefixTokens) / rest)
		p.cache.recentHits = appendBounded(p.cache.recentHits, hit, 64)
	}
	p.cache.entries[cacheKey{true, req.Session, engine}] = cacheEntry{req.PromptTokens, p.now}
	if req.Prefix != "" {
		p.cache.entries[prefix] = cacheEntry{req.PrefixTokens, p.now}
	}
	p.cache.evict(p.now)
	p.affinities.evict(p.now)
}
