package routing

import "time"

// Tables of more than maxEntries entries, a few megabytes, evict the entries that are older than evictAfter.
const (
	maxEntries = 20_000
	evictAfter = time.Minute
)

// affinityOf returns which engines last served a session; the zero value if no engine served it recently.
func (p *Policy) affinityOf(session string) affinity {
	const maxAge = 30 * time.Second
	if last, ok := p.affinities[session]; ok && session != "" && p.now-last.servedAt < maxAge {
		return last
	}
	return affinity{}
}

// gossipEnabled reports whether nodes inform each other of the engines that cache a session. They do if the settings allow
// it and a message to all nodes costs less than 0.005 of a request's value, about what a cached prompt saves.
func (p *Policy) gossipEnabled() bool {
	others := float64(p.config.Nodes - 1)
	return p.config.Gossip && others > 0 && p.config.GossipPrice*others*100/256 < 0.005
}

// cachedTokens returns how many tokens of the prompt an engine is assumed to have cached, or 0 for less than a fifth of
// the prompt.
func (p *Policy) cachedTokens(req *request, e *engine) float64 {
	// Engines evict when their memory runs out, which no node can observe. Entries that become wrong before maxAge are
	// corrected by the cached tokens that engines report.
	const maxAge = 5 * time.Minute
	longest := 0.0
	for _, key := range req.cacheKeys() {
		if entry, ok := p.cache.get(key, e.Engine); ok && key.id != "" && p.now-entry.updatedAt < maxAge {
			tokens := entry.tokens
			if !key.isSession {
				tokens = min(tokens, req.PrefixTokens)
			}
			longest = max(longest, min(tokens, req.PromptTokens))
		}
	}
	if longest < 0.2*req.PromptTokens {
		return 0
	}
	return longest
}

// cacheKeys returns the keys of the texts in a request's prompt that engines may have cached.
func (r *request) cacheKeys() [2]cacheKey {
	return [...]cacheKey{sessionKey(r.Session), prefixKey(r.Prefix)}
}

// cachingEngines returns the engines that are assumed to have cached any of the prompt, in the order of their hashes with
// the session. The given engines must be in the order of their IDs.
func (p *Policy) cachingEngines(req *request, engines []*engine) (caching []*engine) {
	seen := map[string]bool{}
	for _, key := range req.cacheKeys() {
		for _, entry := range p.cache.entriesByKey[key] {
			if seen[entry.engine] {
				continue
			}
			seen[entry.engine] = true
			if e := findEngine(engines, entry.engine); e != nil && p.cachedTokens(req, e) > 0 {
				caching = append(caching, e)
			}
		}
	}
	return firstByHash(req.Session, caching, len(caching))
}

// recordCached records what an engine has cached after a prefill. If a prefix was not cached although it should have
// been, the engine has lost its cache: all its entries from before the request's arrival are dropped.
func (p *Policy) recordCached(req *request, engine string, cachedTokens float64) {
	prefix, ok := p.cache.get(prefixKey(req.Prefix), engine)
	if ok && req.Prefix != "" && cachedTokens < 0.5*min(prefix.tokens, req.PrefixTokens) {
		p.cache.drop(engine, req.arrivedAt)
	}
	if suffixTokens := req.PromptTokens - req.PrefixTokens; suffixTokens > 0 {
		hitPPM := int64(1e6 * max(0, cachedTokens-req.PrefixTokens) / suffixTokens)
		p.cache.recentHitsPPM = appendBounded(p.cache.recentHitsPPM, hitPPM, 64)
	}
	p.cache.put(sessionKey(req.Session), cacheEntry{engine, req.PromptTokens, p.now})
	if req.Prefix != "" {
		p.cache.put(prefixKey(req.Prefix), cacheEntry{engine, req.PrefixTokens, p.now})
	}
	p.cache.evict(p.now)
	p.affinities.evict(p.now)
}
