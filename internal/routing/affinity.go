package routing

import (
	"fmt"
	"maps"
	"time"
)

// What is remembered is kept to this many entries of a kind, a few megabytes; then what is older is evicted.
const (
	maxEntries = 20_000
	evictAfter = time.Minute
)

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

// affinityOf is where a session was served last, if that was recently.
func (p *Policy) affinityOf(session string) affinity {
	const maxAge = 30 * time.Second
	if last, ok := p.affinities[session]; ok && session != "" && p.now-last.servedAt < maxAge {
		return last
	}
	return affinity{}
}

// gossipEnabled is whether nodes tell each other where sessions are cached: where that is allowed, and a message to all
// costs no more than 0.005 of a request's value, about what a cached prompt saves.
func (p *Policy) gossipEnabled() bool {
	others := float64(p.config.Nodes - 1)
	return p.config.Gossip && others > 0 && p.config.GossipPrice*others*100/256 < 0.005
}

// gossipFormat is the message that says where a session was served: session, prefill and decode engine, tokens.
const gossipFormat = "kept %q %q %q"

// gossipAffinity tells the other nodes where a session was served, as its next request may come to any of them. A lost
// message costs one full prefill.
func (p *Policy) gossipAffinity(req *request) {
	if p.gossipEnabled() {
		text := fmt.Sprintf(gossipFormat+" %.0f", req.Session, req.prefillEngine, req.decodeEngine, req.PromptTokens)
		p.act(SendGossip{AllNodes, text})
	}
}

// handleGossip takes over what another node tells. Messages of other versions are ignored.
func (p *Policy) handleGossip(text string) {
	var session, prefillEngine, decodeEngine string
	var tokens float64
	_, err := fmt.Sscanf(text, gossipFormat+" %f", &session, &prefillEngine, &decodeEngine, &tokens)
	if err != nil || p.engines[prefillEngine] == nil {
		return
	}
	p.affinities[session] = affinity{prefillEngine, decodeEngine, p.now}
	p.cache.entries[cacheKey{true, session, prefillEngine}] = cacheEntry{tokens, p.now}
}
