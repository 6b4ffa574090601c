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
	for _, text := range req.texts() {
		if v, ok := p.cache.get(text, e.Engine); ok && text.key != "" && p.now-v.at < maxAge {
			n := v.tokens
			if !text.isSession {
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

// texts are what engines may cache of a request's prompt.
func (r *request) texts() [2]cachedText {
	return [...]cachedText{sessionText(r.Session), prefixText(r.Prefix)}
}

// cachingEngines are those of some engines, in order of IDs, that are thought to cache any of the prompt, in the
// order of the session's hash.
func (p *Policy) cachingEngines(req *request, engines []*engine) (caching []*engine) {
	seen := map[string]bool{}
	for _, text := range req.texts() {
		for _, entry := range p.cache.entries[text] {
			if seen[entry.engine] {
				continue
			}
			seen[entry.engine] = true
			if e := find(engines, entry.engine); e != nil && p.cachedTokens(req, e) > 0 {
				caching = append(caching, e)
			}
		}
	}
	return firstByHash(req.Session, caching, len(caching))
}

// recordCached notes what an engine caches after a prefill. If a prefix was not cached that should have been,
// the engine has lost its cache: all that was cached before is dropped.
func (p *Policy) recordCached(req *request, engine string, cachedTokens float64) {
	known, ok := p.cache.get(prefixText(req.Prefix), engine)
	if ok && req.Prefix != "" && cachedTokens < 0.5*min(known.tokens, req.PrefixTokens) {
		p.cache.drop(engine, req.arrivedAt)
	}
	if rest := req.PromptTokens - req.PrefixTokens; rest > 0 {
		hit := int64(1e6 * max(0, cachedTokens-req.PrefixTokens) / rest)
		p.cache.recentHits = appendBounded(p.cache.recentHits, hit, 64)
	}
	p.cache.put(sessionText(req.Session), cacheEntry{engine, req.PromptTokens, p.now})
	if req.Prefix != "" {
		p.cache.put(prefixText(req.Prefix), cacheEntry{engine, req.PrefixTokens, p.now})
	}
	p.cache.evict(p.now)
	p.affinities.evict(p.now)
}
