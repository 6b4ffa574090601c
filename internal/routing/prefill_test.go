package routing

import (
	"testing"
	"time"
)

// The test guards against a preferred engine that is overloaded while others are idle, as seen with a hundred nodes.
func TestOverloadedPreferredEngineIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
	first, _ := newTestNode(t, nil).serve(1, "s")
	n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
	var checked []string
	for _, action := range n.actions {
		if check, ok := action.(HealthCheck); ok {
			checked = append(checked, check.Engine)
		}
	}
	n.policy.recentLatencyPerWork = []time.Duration{100 * ms}
	sentTo := ""
	for _, id := range checked {
		load := &LoadReport{QueuedWork: 1}
		if id == first {
			load.QueuedWork = 50
		}
		sentTo = n.step(1*ms, HealthCheckResult{Engine: id, Verdict: Completed, Report: load})
	}
	if len(checked) < 3 || sentTo == "" || sentTo == first {
		t.Fatalf("checked %v and sent to %q; the overloaded preferred engine is %s", checked, sentTo, first)
	}
}

// The test guards against requests that queue behind tens of thousands of tokens at their first preferred engine, while the
// second, which also caches the prefix, has none.
func TestPreferredEngineWithLessQueuedWorkIsChosen(t *testing.T) {
	first, _ := newTestNode(t, nil).serve(1, "s")
	for _, c := range []struct {
		first, other, hitRate float64
		movesAway             bool
	}{{6, 3, 0, true}, {3.2, 3, 1, false}, {3.2, 3, 0, true}, {3, 3, 0, false}} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		n.policy.recentLatencyPerWork, n.policy.cache.recentHitsPPM = []time.Duration{50 * ms}, []int64{int64(1e6 * c.hitRate)}
		n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
		sentTo := ""
		for _, action := range n.actions {
			if check, ok := action.(HealthCheck); ok {
				load := &LoadReport{QueuedWork: c.other}
				if check.Engine == first {
					load.QueuedWork = c.first
				}
				if sent := n.step(1*ms, HealthCheckResult{Engine: check.Engine, Verdict: Completed, Report: load}); sent != "" {
					sentTo = sent
				}
			}
		}
		if sentTo == "" || (sentTo != first) != c.movesAway {
			t.Errorf("with %v thousand tokens at the first engine and %v at the second, %v cached: sent to %q, the first is %s",
				c.first, c.other, c.hitRate, sentTo, first)
		}
	}
}
