package routing

import (
	"fmt"
	"testing"
)

func TestSessionAffinityIsKept(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine, decodeEngine := n.serve(1, "s")
	if r, w := n.serve(2, "s"); r != prefillEngine || w != decodeEngine {
		t.Fatalf("the session went from %s, %s to %s, %s", prefillEngine, decodeEngine, r, w)
	}
}

// Incident i103f8c: a load balancer spreads the requests of a session over nodes.
func TestSessionAffinityIsSharedByGossip(t *testing.T) {
	peers := func(c *Config) { c.Gossip = true }
	a, b := newTestNode(t, peers), newTestNode(t, peers)
	usual, _ := newTestNode(t, peers).serve(1, "s")
	a.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: usual, Draining: true}}})
	prefillEngine, decodeEngine := a.serve(1, "s")
	for _, e := range a.actions {
		if tell, ok := e.(SendGossip); ok {
			b.step(0, GossipReceived{Text: tell.Text})
		}
	}
	b.step(0, GossipReceived{Text: "kept nonsense"})
	if r, w := b.serve(9, "s"); r != prefillEngine || w != decodeEngine {
		t.Fatalf("%s, %s at one node and %s, %s at the other", prefillEngine, decodeEngine, r, w)
	}
}

// Incident id5afd4: the same where nodes may not gossip.
func TestSessionsUsePreferredEnginesWithoutGossip(t *testing.T) {
	a, b := newTestNode(t, nil), newTestNode(t, nil)
	used := map[string]bool{}
	for req := int64(1); req <= 20; req++ {
		session := fmt.Sprint("s", req)
		r1, _ := a.serve(req, session)
		used[r1] = true
		if r2, _ := b.serve(req, session); r1 != r2 {
			t.Fatalf("%s is prefilled at %s and at %s", session, r1, r2)
		}
	}
	if len(used) != 2 {
		t.Fatalf("one engine has the shared prefix alone: %v", used)
	}
}

// What a node remembers is bounded, however many engines, sessions and requests come and go.
func TestMemoryIsBounded(t *testing.T) {
	n := newTestNode(t, nil)
	for i := range int64(30000) {
		if i%100 == 0 {
			list := EndpointUpdate{Complete: true}
			for k, id := range []string{"r0", "r1", fmt.Sprint("w", i), fmt.Sprint("w", i+1)} {
				list.Engines = append(list.Engines, Endpoint{Engine: id, Weight: 1, Kind: k / 2, Ready: true})
			}
			n.step(1000*ms, list)
		}
		prefillEngine := n.arrive(i, 0, fmt.Sprint("s", i))
		decodeEngine := n.prefill(20*ms, i, prefillEngine)
		n.firstToken(20*ms, i, decodeEngine)
		n.step(60*ms, Outcome{RequestID: i, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true})
		for token := range n.policy.timers.pending {
			if i%50 == 0 {
				n.step(0, TimerFired{token})
			}
		}
	}
	policy := n.policy
	if len(policy.engines) > 40 || len(policy.sortedEngines) > 40 || len(policy.requests) > 0 || len(policy.timers.pending) > 300 || policy.cache.count > 20001 ||
		len(policy.affinities) > 20001 || len(policy.cache.entriesByKey) > 20001 || len(policy.cache.keysByEngine) > 40 {
		t.Errorf("engines %d, listed %d, requests %d, timers %d, cached %d, affinities %d, texts %d at %d engines", len(policy.engines), len(policy.sortedEngines),
			len(policy.requests), len(policy.timers.pending), policy.cache.count, len(policy.affinities), len(policy.cache.entriesByKey), len(policy.cache.keysByEngine))
	}
}
