package routing

import (
	"fmt"
	"testing"
)

func TestSessionAffinityIsKept(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine, decodeEngine := n.serve(1, "s")
	if nextPrefill, nextDecode := n.serve(2, "s"); nextPrefill != prefillEngine || nextDecode != decodeEngine {
		t.Fatalf("session moved from %s, %s to %s, %s", prefillEngine, decodeEngine, nextPrefill, nextDecode)
	}
}

// The test guards against incident i103f8c: a load balancer distributes the requests of a session over several nodes.
func TestSessionAffinityIsSharedByGossip(t *testing.T) {
	withGossip := func(c *Config) { c.Gossip = true }
	a, b := newTestNode(t, withGossip), newTestNode(t, withGossip)
	drained, _ := newTestNode(t, withGossip).serve(1, "s")
	a.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: drained, Draining: true}}})
	prefillEngine, decodeEngine := a.serve(1, "s")
	for _, action := range a.actions {
		if gossip, ok := action.(SendGossip); ok {
			b.step(0, GossipReceived{Text: gossip.Text})
		}
	}
	b.step(0, GossipReceived{Text: "kept nonsense"})
	if otherPrefill, otherDecode := b.serve(9, "s"); otherPrefill != prefillEngine || otherDecode != decodeEngine {
		t.Fatalf("session is served by %s, %s at one node and by %s, %s at the other", prefillEngine, decodeEngine, otherPrefill, otherDecode)
	}
}

// The test guards against incident id5afd4: a load balancer distributes the requests of a session over nodes that may not
// gossip.
func TestSessionsUsePreferredEnginesWithoutGossip(t *testing.T) {
	a, b := newTestNode(t, nil), newTestNode(t, nil)
	used := map[string]bool{}
	for req := int64(1); req <= 20; req++ {
		session := fmt.Sprint("s", req)
		prefillOfA, _ := a.serve(req, session)
		used[prefillOfA] = true
		if prefillOfB, _ := b.serve(req, session); prefillOfA != prefillOfB {
			t.Fatalf("session %s is prefilled on %s and on %s", session, prefillOfA, prefillOfB)
		}
	}
	if len(used) != 2 {
		t.Fatalf("engines that prefill the shared prefix: %v, want 2", used)
	}
}

// The state of a node is bounded, however many engines, sessions and requests it has handled.
func TestPolicyStateIsBounded(t *testing.T) {
	n := newTestNode(t, nil)
	for i := range int64(30000) {
		if i%100 == 0 {
			update := EndpointUpdate{Complete: true}
			for k, id := range []string{"r0", "r1", fmt.Sprint("w", i), fmt.Sprint("w", i+1)} {
				update.Engines = append(update.Engines, Endpoint{Engine: id, Weight: 1, Kind: k / 2, Ready: true})
			}
			n.step(1000*ms, update)
		}
		prefillEngine := n.arrive(i, 0, fmt.Sprint("s", i))
		decodeEngine := n.completePrefill(20*ms, i, prefillEngine)
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
		t.Errorf("engines %d, sorted %d, requests %d, timers %d, cached %d, affinities %d, keys %d of %d engines", len(policy.engines), len(policy.sortedEngines),
			len(policy.requests), len(policy.timers.pending), policy.cache.count, len(policy.affinities), len(policy.cache.entriesByKey), len(policy.cache.keysByEngine))
	}
}
