package routing

import (
	"testing"
	"time"
)

// Network faults were counted against one engine after the other, until a single decode engine was left for
// all.
func TestNetworkFaultsEjectNoEngine(t *testing.T) {
	n := newTestNode(t, nil)
	e := n.policy.engines["w0"]
	well := func() bool {
		n.policy.now = n.now
		return n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1)
	}
	decodeEngine := n.prefill(20*ms, 1, n.arrive(1, 0, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost, StaleConnection: true})
	if n.policy.engines[decodeEngine].suspect || len(n.policy.engines[decodeEngine].faultTimes) > 0 {
		t.Fatal("an idle connection that broke as it was reused is a fault of the engine")
	}
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	if well() {
		t.Fatal("it had a fault just now, and is tried at once")
	}
	n.now += 600 * ms
	if !well() {
		t.Fatal("it had as many faults as others, and is ejected past the fault span")
	}
	if e.suspect = false; !n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1) || n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 0) {
		t.Fatal("ejection after a success does not depend on the others' faults")
	}
}

// A suspect engine is tried beside its open streams, and one that completes clears it.
func TestSuspectEngineIsRetriedBesideOpenStreams(t *testing.T) {
	n := newTestNode(t, nil)
	_, decodeEngine := n.serve(1, "s")
	e := n.policy.engines[decodeEngine]
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	n.policy.now += 5000 * ms
	if !n.policy.isHealthy(&request{}, e, n.policy.loadOf(e), 0, 0) {
		t.Fatal("not tried while a stream is open there")
	}
	n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true})
	if e.suspect {
		t.Fatal("still suspect after a complete stream")
	}
}

// Of four prefill engines one was several times slower than the others, and half of them counted as usual.
func TestUsualLatencyExcludesTheOutlier(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r2", "r3")
	for id, latency := range map[string]time.Duration{"r0": 20, "r1": 260, "r2": 380, "r3": 900} {
		n.policy.engines[id].latencySamples = []sample{{n.now, latency * ms}}
	}
	req := &request{RequestArrived: RequestArrived{PromptTokens: 2000}}
	for _, e := range n.policy.usableEngines(req, &n.policy.prefillEngines, everyEngine) {
		if e.Engine == "r3" {
			t.Error("the slow one is as good as the others")
		}
	}
}

// Sessions stuck to a prefill engine that had become slow. A busy one has as high a latency for more work.
func TestBusyEngineIsNotSlow(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r2")
	req := &request{RequestArrived: RequestArrived{PromptTokens: 4000}}
	respondsAfter := func(id string, latency time.Duration, waits float64) {
		e := n.policy.engines[id]
		for range 3 {
			n.policy.recordOutcome(req, &attempt{engine: id, queuedWork: 1 + waits}, Outcome{Verdict: PrefillDone, Latency: latency * ms})
		}
		e.faultTimes = nil
	}
	respondsAfter("r0", 200, 0)
	respondsAfter("r1", 900, 16) // busy
	respondsAfter("r2", 900, 0)  // slow
	for id, want := range map[string]bool{"r0": false, "r1": false, "r2": true} {
		if e := n.policy.engines[id]; n.policy.isSlow(e) != want || n.policy.isHealthy(req, e, engineLoad{}, 800*ms, 0) == want {
			t.Errorf("%s: slow %v", id, n.policy.isSlow(e))
		}
	}
}
