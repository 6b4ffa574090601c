package routing

import (
	"fmt"
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

// affinity is where a session was served last.
type affinity struct {
	prefillEngine, decodeEngine string
	servedAt                    time.Duration
}

// affinityTable is the affinity of each session.
type affinityTable map[string]affinity

func (t affinityTable) evict(now time.Duration) {
	if len(t) > maxEntries {
		maps.DeleteFunc(t, func(_ string, a affinity) bool { return now-a.servedAt > evictAfter })
	}
}

// formatGossip says where a session was served and how many of its tokens are cached there.
func formatGossip(req *request) string {
	return fmt.Sprintf("kept %q %q %q %.0f", req.Session, req.prefillEngine, req.decodeEngine, req.PromptTokens)
}

// handleGossip takes over what another node tells. Messages of other versions are ignored.
func (p *Policy) handleGossip(text string) {
	var session, prefillEngine, decodeEngine string
	var tokens float64
	_, err := fmt.Sscanf(text, "kept %q %q %q %f", &session, &prefillEngine, &decodeEngine, &tokens)
	if err != nil || p.engines[prefillEngine] == nil {
		return
	}
	p.affinities[session] = affinity{prefillEngine, decodeEngine, p.now}
	p.cache.entries[cacheKey{true, session, prefillEngine}] = cacheEntry{tokens, p.now}
}

// gossipAffinity tells the other nodes where a session was served, as its next request may come to any of
// them. A lost message costs one full prefill.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		p.act(SendGossip{AllNodes, formatGossip(req)})
	}
}
