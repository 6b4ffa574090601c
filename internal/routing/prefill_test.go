package routing

import (
	"testing"
	"time"
)

// With a hundred nodes, one preferred engine was overloaded while others idled.
func TestOverloadedPreferredEngineIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
	first, _ := newTestNode(t, nil).serve(1, "s")
	n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
	var asked []string
	for _, e := range n.actions {
		if p, ok := e.(HealthCheck); ok {
			asked = append(asked, p.Engine)
		}
	}
	n.policy.recentLatencyPerWork = []time.Duration{100 * ms}
	to := ""
	for _, id := range asked {
		load := &LoadReport{QueuedWork: 1}
		if id == first {
			load.QueuedWork = 50
		}
		to = n.step(1*ms, HealthCheckResult{Engine: id, Verdict: Completed, Report: load})
	}
	if len(asked) < 3 || to == "" || to == first {
		t.Fatalf("checked %v and sent to %q, the preferred engine being %s", asked, to, first)
	}
}

// Requests queued behind tens of thousands of tokens at their first preferred engine, while the second, which
// caches the prefix as well, had none.
func TestPreferredEngineWithLessQueuedWorkIsChosen(t *testing.T) {
	first, _ := newTestNode(t, nil).serve(1, "s")
	for _, at := range []struct {
		first, other, found float64
		moves               bool
	}{{6, 3, 0, true}, {3.2, 3, 1, false}, {3.2, 3, 0, true}, {3, 3, 0, false}} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		n.policy.recentLatencyPerWork, n.policy.cache.recentHitsPPM = []time.Duration{50 * ms}, []int64{int64(1e6 * at.found)}
		n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
		to := ""
		for _, e := range n.actions {
			if p, ok := e.(HealthCheck); ok {
				load := &LoadReport{QueuedWork: at.other}
				if p.Engine == first {
					load.QueuedWork = at.first
				}
				if sent := n.step(1*ms, HealthCheckResult{Engine: p.Engine, Verdict: Completed, Report: load}); sent != "" {
					to = sent
				}
			}
		}
		if to == "" || (to != first) != at.moves {
			t.Errorf("with %v thousand tokens at the first engine and %v at the second, %v cached: sent to %q, the first is %s",
				at.first, at.other, at.found, to, first)
		}
	}
}
