package routing

import (
	"fmt"
	"testing"
)

// The test guards against the fault of scenario hd6b175: sessions stayed with a decode engine that had become slow.
func TestSessionLeavesASlowDecodeEngine(t *testing.T) {
	n := newTestNode(t, nil)
	_, slow := n.serve(1, "s")
	n.now += 3000 * ms // The earlier low latency no longer counts.
	decodeEngine := n.completePrefill(20*ms, 2, n.arrive(2, 0, "s"))
	n.firstToken(600*ms, 2, decodeEngine)
	if next := n.completePrefill(20*ms, 3, n.arrive(3, 0, "s")); next == slow {
		t.Fatalf("request is still sent to %s", next)
	}
}

func TestDecodeEngineReportedFullIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	_, decodeEngine := n.serve(1, "s")
	n.serve(2, "s")
	n.step(5*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true,
		Report: &LoadReport{MemoryShare: 1.2}})
	if _, next := n.serve(3, "s"); next == decodeEngine {
		t.Fatalf("request is sent to %s, which is full", next)
	}
}

func TestFalseLoadReportsOnlyDelayADecode(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	for req := int64(1); req <= 2; req++ {
		n.serve(req, fmt.Sprint("s", req))
	}
	prefillEngine := n.arrive(3, 0, "s3")
	for _, decodeEngine := range []string{"w0", "w1"} {
		n.policy.engines[decodeEngine].memoryShare, n.policy.engines[decodeEngine].reportedAt = 9, n.now+1000*ms
	}
	if decodeEngine := n.completePrefill(20*ms, 3, prefillEngine); decodeEngine != "" {
		t.Fatalf("request is sent to %s, which is reported full", decodeEngine)
	}
	token := n.policy.timers.lastToken
	for waited := 30; waited < 480; waited += 30 {
		if decodeEngine := n.step(30*ms, TimerFired{token}); decodeEngine != "" {
			return
		}
		token = n.policy.timers.lastToken
	}
	t.Fatal("request is never sent to a decode engine")
}

// The test guards against incident i64730d: KV transfers to other cells overloaded the link. A full engine nearby is still the
// worse choice.
func TestDecodeEngineIsNearUnlessReportedFull(t *testing.T) {
	for _, share := range []float64{0.2, 0.95} {
		n := newTestNode(t, nil)
		n.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: "w1", Weight: 1, Kind: 1, Cell: 1, Ready: true}}})
		prefillEngine := n.arrive(1, 0, "s")
		for id, memory := range map[string]float64{"w0": share, "w1": 0.1} {
			n.policy.recordReport(n.policy.engines[id], &LoadReport{MemoryShare: memory})
		}
		if decodeEngine := n.completePrefill(20*ms, 1, prefillEngine); (decodeEngine == "w0") != (share < 0.5) {
			t.Fatalf("request is sent to %s with a memory share of %.2f at the near engine", decodeEngine, share)
		}
	}
}
