package routing

import (
	"maps"
	"time"
)

// prefixCache is what the prefill engines are thought to cache.
type prefixCache struct {
	entries    map[cacheKey]cacheEntry
	recentHits []int64 // of the last prefills: millionths of what follows the prefix that were cached
}

// cacheKey names the text of a session, or a prefix, at one engine.
type cacheKey struct {
	isSession bool
	key       string
	engine    string
}

// cacheEntry is how much of a text is cached.
type cacheEntry struct {
	tokens float64
	at     time.Duration
}

// hasSession is whether an engine is thought to cache any of a session.
func (c *prefixCache) hasSession(session, engine string) bool {
	return c.entries[cacheKey{true, session, engine}].tokens > 0
}

// drop forgets what an engine was thought to cache before a time.
func (c *prefixCache) drop(engine string, before time.Duration) {
	for k, v := range c.entries {
		if k.engine == engine && v.at < before {
			delete(c.entries, k)
		}
	}
}

func (c *prefixCache) evict(now time.Duration) {
	if len(c.entries) > maxEntries {
		maps.DeleteFunc(c.entries, func(_ cacheKey, v cacheEntry) bool { return now-v.at > evictAfter })
	}
}

// cachedTokens is how much of the prompt an engine is thought to cache; under a fifth counts as none.
func (p *Policy) cachedTokens(req *request, e *engine) float64 {
	// Engines cache until memory runs out, which no node sees; the cached tokens that they report correct the rest.
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

// recordCached notes what an engine caches after a prefill. If a prefix was not cached that should have been, the engine
// has lost its cache: all that was cached before is dropped.
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
