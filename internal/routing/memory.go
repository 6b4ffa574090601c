package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// prefixCacheIndex records what the prefill engines are assumed to have cached, by key and by engine.
type prefixCacheIndex struct {
	entriesByKey  map[cacheKey][]cacheEntry // entries of each key in the order of engine IDs
	keysByEngine  map[string][]cacheKey     // the keys of each engine's entries
	count         int                       // number of entries
	recentHitsPPM []int64                   // cached share of the tokens after the prefix, one per recent prefill, in ppm
}

func newPrefixCacheIndex() prefixCacheIndex {
	return prefixCacheIndex{entriesByKey: map[cacheKey][]cacheEntry{}, keysByEngine: map[string][]cacheKey{}}
}

// cacheKey identifies the text of a session, or a prefix.
type cacheKey struct {
	isSession bool
	id        string
}

// cacheEntry records how much of a text an engine has cached.
type cacheEntry struct {
	engine    string
	tokens    float64
	updatedAt time.Duration
}

func sessionKey(session string) cacheKey { return cacheKey{true, session} }

func prefixKey(prefix string) cacheKey { return cacheKey{false, prefix} }

// position returns the index of an engine's entry among those of a key, or the index at which to insert it.
func (c *prefixCacheIndex) position(key cacheKey, engine string) (position int, found bool) {
	return slices.BinarySearchFunc(c.entriesByKey[key], engine, func(e cacheEntry, engine string) int { return cmp.Compare(e.engine, engine) })
}

// get returns the entry of an engine for a key.
func (c *prefixCacheIndex) get(key cacheKey, engine string) (entry cacheEntry, found bool) {
	i, found := c.position(key, engine)
	if !found {
		return cacheEntry{}, false
	}
	return c.entriesByKey[key][i], true
}

// put adds or replaces the entry of an engine for a key.
func (c *prefixCacheIndex) put(key cacheKey, entry cacheEntry) {
	i, found := c.position(key, entry.engine)
	if found {
		c.entriesByKey[key][i] = entry
		return
	}
	c.entriesByKey[key] = slices.Insert(c.entriesByKey[key], i, entry)
	c.keysByEngine[entry.engine] = append(c.keysByEngine[entry.engine], key)
	c.count++
}

// drop removes the entries of an engine that were last updated before a time.
func (c *prefixCacheIndex) drop(engine string, before time.Duration) {
	kept := slices.DeleteFunc(c.keysByEngine[engine], func(key cacheKey) bool {
		i, _ := c.position(key, engine)
		if c.entriesByKey[key][i].updatedAt >= before {
			return false
		}
		if c.entriesByKey[key] = slices.Delete(c.entriesByKey[key], i, i+1); len(c.entriesByKey[key]) == 0 {
			delete(c.entriesByKey, key)
		}
		c.count--
		return true
	})
	if c.keysByEngine[engine] = kept; len(kept) == 0 {
		delete(c.keysByEngine, engine)
	}
}

// evict removes the old entries of an index that has too many.
func (c *prefixCacheIndex) evict(now time.Duration) {
	if c.count <= maxEntries {
		return
	}
	for engine := range c.keysByEngine {
		c.drop(engine, now-evictAfter)
	}
}

// affinity records which engines last served a session.
type affinity struct {
	prefillEngine, decodeEngine string
	servedAt                    time.Duration
}

// affinityTable holds the affinity of each session.
type affinityTable map[string]affinity

func (t affinityTable) evict(now time.Duration) {
	if len(t) > maxEntries {
		maps.DeleteFunc(t, func(_ string, a affinity) bool { return now-a.servedAt > evictAfter })
	}
}

// formatGossip encodes which engines served a session and how many of its tokens are cached.
func formatGossip(req *request) string {
	return fmt.Sprintf("kept %q %q %q %.0f", req.Session, req.prefillEngine, req.decodeEngine, req.PromptTokens)
}

// handleGossip applies a message from another node. Messages of other versions are ignored.
func (p *Policy) handleGossip(text string) {
	var session, prefillEngine, decodeEngine string
	var tokens float64
	_, err := fmt.Sscanf(text, "kept %q %q %q %f", &session, &prefillEngine, &decodeEngine, &tokens)
	if err != nil || p.engines[prefillEngine] == nil {
		return
	}
	p.affinities[session] = affinity{prefillEngine, decodeEngine, p.now}
	p.cache.put(sessionKey(session), cacheEntry{prefillEngine, tokens, p.now})
}

// gossipAffinity sends the other nodes the affinity of a session, as its next request may arrive at any of them. A lost
// message costs one full prefill.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		p.emit(SendGossip{AllNodes, formatGossip(req)})
	}
}
