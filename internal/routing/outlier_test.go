package routing

import (
	"testing"
	"time"
)

// The test guards against network faults that eject one engine after another, until a single decode engine is left for all
// requests.
func TestNetworkFaultsEjectNoEngine(t *testing.T) {
	n := newTestNode(t, nil)
	e := n.policy.engines["w0"]
	isHealthy := func() bool {
		n.policy.now = n.now
		return n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1)
	}
	decodeEngine := n.completePrefill(20*ms, 1, n.arrive(1, 0, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost, StaleConnection: true})
	if n.policy.engines[decodeEngine].suspect || len(n.policy.engines[decodeEngine].faultTimes) > 0 {
		t.Fatal("an idle connection that broke when it was reused counts as a fault of the engine")
	}
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	if isHealthy() {
		t.Fatal("engine is healthy right after a fault")
	}
	n.now += 600 * ms
	if !isHealthy() {
		t.Fatal("engine with no more faults than others is ejected for longer than the merge window")
	}
	if e.suspect = false; !n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1) || n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 0) {
		t.Fatal("ejection after a success does not depend on the others' faults")
	}
}

// A suspect engine gets trial attempts besides its open streams, and a stream that completes ends the suspicion.
func TestSuspectEngineIsRetriedBesideOpenStreams(t *testing.T) {
	n := newTestNode(t, nil)
	_, decodeEngine := n.serve(1, "s")
	e := n.policy.engines[decodeEngine]
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	n.policy.now += 5000 * ms
	if !n.policy.isHealthy(&request{}, e, n.policy.loadOf(e), 0, 0) {
		t.Fatal("suspect engine is not tried while a stream is open there")
	}
	n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true})
	if e.suspect {
		t.Fatal("engine is still suspect after a complete stream")
	}
}

// The test guards against an outlier that counts as normal: of four prefill engines one was several times slower than the
// others, but the median of all four was too high to reveal it.
func TestMedianLatencyExcludesTheOutlier(t *testing.T) {
	n := newTestNode(t, nil)
	n.updateEngines(Endpoint{}, "r2", "r3")
	for id, latency := range map[string]time.Duration{"r0": 20, "r1": 260, "r2": 380, "r3": 900} {
		n.policy.engines[id].latencySamples = []sample{{n.now, latency * ms}}
	}
	req := &request{RequestArrived: RequestArrived{PromptTokens: 2000}}
	for _, e := range n.policy.usableEngines(req, &n.policy.prefillEngines, everyEngine) {
		if e.Engine == "r3" {
			t.Error("slow engine r3 is usable like the others")
		}
	}
}

// The test guards against sessions that stay with a prefill engine that has become slow. A busy engine has the same latency
// for more work.
func TestBusyEngineIsNotSlow(t *testing.T) {
	n := newTestNode(t, nil)
	n.updateEngines(Endpoint{}, "r2")
	req := &request{RequestArrived: RequestArrived{PromptTokens: 4000}}
	recordPrefills := func(id string, latency time.Duration, queuedWork float64) {
		e := n.policy.engines[id]
		for range 3 {
			n.policy.recordOutcome(req, &attempt{engine: id, queuedWork: 1 + queuedWork}, Outcome{Verdict: PrefillDone, Latency: latency * ms})
		}
		e.faultTimes = nil
	}
	recordPrefills("r0", 200, 0)
	recordPrefills("r1", 900, 16) // r1 is busy.
	recordPrefills("r2", 900, 0)  // r2 is slow.
	for id, want := range map[string]bool{"r0": false, "r1": false, "r2": true} {
		if e := n.policy.engines[id]; n.policy.isSlow(e) != want || n.policy.isHealthy(req, e, engineLoad{}, 800*ms, 0) == want {
			t.Errorf("%s: isSlow is %v, or isHealthy contradicts it", id, n.policy.isSlow(e))
		}
	}
}
