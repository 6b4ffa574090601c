package routing

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// prefixCache is what the prefill engines are thought to cache, with indexes by text and by engine.
type prefixCache struct {
	entries    map[cacheKey]cacheEntry
	holders    map[cachedText][]string // engines that have an entry for a text
	texts      map[string][]cachedText // that an engine has entries for
	recentHits []int64                 // of the last prefills: millionths of what follows the prefix that were cached
}

func newPrefixCache() prefixCache {
	return prefixCache{entries: map[cacheKey]cacheEntry{}, holders: map[cachedText][]string{}, texts: map[string][]cachedText{}}
}

// cachedText names the text of a session, or a prefix.
type cachedText struct {
	isSession bool
	key       string
}

// cacheKey is a text at one engine.
type cacheKey struct {
	cachedText
	engine string
}

// cacheEntry is how much of a text is cached.
type cacheEntry struct {
	tokens float64
	at     time.Duration
}

func sessionText(session string) cachedText { return cachedText{true, session} }

func prefixText(prefix string) cachedText { return cachedText{false, prefix} }

// put notes how much of a text an engine caches.
func (c *prefixCache) put(text cachedText, engine string, entry cacheEntry) {
	key := cacheKey{text, engine}
	if _, known := c.entries[key]; !known {
		c.index(key)
	}
	c.entries[key] = entry
}

// index adds an entry to the indexes.
func (c *prefixCache) index(key cacheKey) {
	c.holders[key.cachedText] = append(c.holders[key.cachedText], key.engine)
	c.texts[key.engine] = append(c.texts[key.engine], key.cachedText)
}

// hasSession is whether an engine is thought to cache any of a session.
func (c *prefixCache) hasSession(session, engine string) bool {
	return c.entries[cacheKey{sessionText(session), engine}].tokens > 0
}

// drop forgets what an engine was thought to cache before a time.
func (c *prefixCache) drop(engine string, before time.Duration) {
	kept := slices.DeleteFunc(c.texts[engine], func(text cachedText) bool {
		key := cacheKey{text, engine}
		if c.entries[key].at >= before {
			return false
		}
		delete(c.entries, key)
		c.removeHolder(text, engine)
		return true
	})
	if c.texts[engine] = kept; len(kept) == 0 {
		delete(c.texts, engine)
	}
}

func (c *prefixCache) removeHolder(text cachedText, engine string) {
	kept := slices.DeleteFunc(c.holders[text], func(holder string) bool { return holder == engine })
	if c.holders[text] = kept; len(kept) == 0 {
		delete(c.holders, text)
	}
}

func (c *prefixCache) evict(now time.Duration) {
	if len(c.entries) <= maxEntries {
		return
	}
	maps.DeleteFunc(c.entries, func(_ cacheKey, v cacheEntry) bool { return now-v.at > evictAfter })
	clear(c.holders)
	clear(c.texts)
	for key := range c.entries {
		c.index(key)
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
	p.cache.put(sessionText(session), prefillEngine, cacheEntry{tokens, p.now})
}

// gossipAffinity tells the other nodes where a session was served, as its next request may come to any of
// them. A lost message costs one full prefill.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		p.act(SendGossip{AllNodes, formatGossip(req)})
	}
}
