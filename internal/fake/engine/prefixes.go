package engine

import (
	"strconv"

	"sandcourse/internal/planner/planapi"
)

const (
	maxCachedPrefixes = 20_000
	// hotPrefixUses is the minimum number of uses of a prefix in the load report, because other requests are likely to use it.
	hotPrefixUses          = 3
	maxReportedHotPrefixes = 16
)

// prefix is the beginning of a prompt, up to the end of one of its messages.
type prefix struct {
	hash   uint64
	tokens int
}

// prefixCache records the prefixes whose KV state is cached, by hash. A whole prompt counts as a prefix.
type prefixCache struct {
	tokens map[uint64]int
	uses   map[uint64]int // number of prompts by the hash of their shortest prefix
}

func newPrefixCache() prefixCache {
	return prefixCache{tokens: map[uint64]int{}, uses: map[uint64]int{}}
}

// clear drops all prefixes but keeps their use counts.
func (c *prefixCache) clear() { c.tokens = map[uint64]int{} }

// cachedTokens returns the number of cached tokens of a prompt.
func (c *prefixCache) cachedTokens(prefixes []prefix) (tokens int) {
	for _, p := range prefixes {
		if _, ok := c.tokens[p.hash]; ok {
			tokens = p.tokens
		}
	}
	return tokens
}

// add caches all prefixes of a prompt. A cache that exceeds maxCachedPrefixes is emptied.
func (c *prefixCache) add(prefixes []prefix) {
	for _, p := range prefixes {
		c.tokens[p.hash] = p.tokens
	}
	if len(prefixes) > 0 {
		c.uses[prefixes[0].hash]++
	}
	if len(c.tokens) > maxCachedPrefixes {
		clear(c.tokens)
	}
}

func (c *prefixCache) addToReport(report *planapi.EngineReport) {
	for hash, tokens := range c.tokens {
		report.CachedTokens += float64(tokens)
		if c.uses[hash] >= hotPrefixUses && len(report.HotPrefixes) < maxReportedHotPrefixes {
			report.HotPrefixes[strconv.FormatUint(hash, 16)] = float64(tokens)
		}
	}
}
