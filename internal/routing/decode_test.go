package routing

import (
	"fmt"
	"testing"
)

// Scenario hd6b175: a session's decode engine has become slow.
func TestSessionLeavesASlowDecodeEngine(t *testing.T) {
	n := newTestNode(t, nil)
	_, slow := n.serve(1, "s")
	n.now += 3000 * ms // the low latency of before is old
	decodeEngine := n.prefill(20*ms, 2, n.arrive(2, 0, "s"))
	n.firstToken(600*ms, 2, decodeEngine)
	if w := n.prefill(20*ms, 3, n.arrive(3, 0, "s")); w == slow {
		t.Fatalf("still sent to %s", w)
	}
}

func TestDecodeEngineReportedFullIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	_, decodeEngine := n.serve(1, "s")
	n.serve(2, "s")
	n.step(5*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true,
		Report: &LoadReport{MemoryShare: 1.2}})
	if _, w := n.serve(3, "s"); w == decodeEngine {
		t.Fatalf("sent to %s, which is full", w)
	}
}

func TestFalseLoadReportsOnlyDelayADecode(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	for req := int64(1); req <= 2; req++ {
		n.serve(req, fmt.Sprint("s", req))
	}
	prefillEngine := n.arrive(3, 0, "s3")
	for _, w := range []string{"w0", "w1"} {
		n.policy.engines[w].memoryShare, n.policy.engines[w].reportedAt = 9, n.now+1000*ms
	}
	if w := n.prefill(20*ms, 3, prefillEngine); w != "" {
		t.Fatalf("sent to %s, which is reported full", w)
	}
	token := n.policy.timers.lastToken
	for waited := 30; waited < 480; waited += 30 {
		if w := n.step(30*ms, TimerFired{token}); w != "" {
			return
		}
		token = n.policy.timers.lastToken
	}
	t.Fatal("never sent to a decode engine")
}

// Incident i64730d: KV states that leave their cell overload its link, and a near engine that is full is
// worse.
func TestDecodeEngineIsNearUnlessReportedFull(t *testing.T) {
	for _, share := range []float64{0.2, 0.95} {
		n := newTestNode(t, nil)
		n.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: "w1", Weight: 1, Kind: 1, Cell: 1, Ready: true}}})
		prefillEngine := n.arrive(1, 0, "s")
		for id, memory := range map[string]float64{"w0": share, "w1": 0.1} {
			n.policy.recordReport(n.policy.engines[id], &LoadReport{MemoryShare: memory})
		}
		if w := n.prefill(20*ms, 1, prefillEngine); (w == "w0") != (share < 0.5) {
			t.Fatalf("sent to %s with the near engine's memory used to %.2f", w, share)
		}
	}
}
