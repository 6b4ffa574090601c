package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// prefixCache is what the prefill engines are thought to cache, by text and by engine.
type prefixCache struct {
	entries    map[cachedText][]cacheEntry // in order of engines
	texts      map[string][]cachedText     // that an engine has an entry for
	count      int                         // of all entries
	recentHits []int64                     // of the last prefills: millionths of what follows the prefix that were cached
}

func newPrefixCache() prefixCache {
	return prefixCache{entries: map[cachedText][]cacheEntry{}, texts: map[string][]cachedText{}}
}

// cachedText names the text of a session, or a prefix.
type cachedText struct {
	isSession bool
	key       string
}

// cacheEntry is how much of a text an engine caches.
type cacheEntry struct {
	engine string
	tokens float64
	at     time.Duration
}

func sessionText(session string) cachedText { return cachedText{true, session} }

func prefixText(prefix string) cachedText { return cachedText{false, prefix} }

// position is where the entry of an engine stands, or would, among those of a text.
func (c *prefixCache) position(text cachedText, engine string) (position int, found bool) {
	return slices.BinarySearchFunc(c.entries[text], engine, func(e cacheEntry, engine string) int { return cmp.Compare(e.engine, engine) })
}

// get is what an engine caches of a text.
func (c *prefixCache) get(text cachedText, engine string) (entry cacheEntry, found bool) {
	i, found := c.position(text, engine)
	if !found {
		return cacheEntry{}, false
	}
	return c.entries[text][i], true
}

// put notes how much of a text an engine caches.
func (c *prefixCache) put(text cachedText, entry cacheEntry) {
	i, found := c.position(text, entry.engine)
	if found {
		c.entries[text][i] = entry
		return
	}
	c.entries[text] = slices.Insert(c.entries[text], i, entry)
	c.texts[entry.engine] = append(c.texts[entry.engine], text)
	c.count++
}

// drop forgets what an engine was thought to cache before a time.
func (c *prefixCache) drop(engine string, before time.Duration) {
	kept := slices.DeleteFunc(c.texts[engine], func(text cachedText) bool {
		i, _ := c.position(text, engine)
		if c.entries[text][i].at >= before {
			return false
		}
		if c.entries[text] = slices.Delete(c.entries[text], i, i+1); len(c.entries[text]) == 0 {
			delete(c.entries, text)
		}
		c.count--
		return true
	})
	if c.texts[engine] = kept; len(kept) == 0 {
		delete(c.texts, engine)
	}
}

// evict forgets what is old where there is too much.
func (c *prefixCache) evict(now time.Duration) {
	if c.count <= maxEntries {
		return
	}
	for engine := range c.texts {
		c.drop(engine, now-evictAfter)
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
	p.cache.put(sessionText(session), cacheEntry{prefillEngine, tokens, p.now})
}

// gossipAffinity tells the other nodes where a session was served, as its next request may come to any of
// them. A lost message costs one full prefill.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		p.act(SendGossip{AllNodes, formatGossip(req)})
	}
}
