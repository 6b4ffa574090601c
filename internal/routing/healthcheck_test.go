package routing

import "testing"

// prefillAfterChecks sends a request of a route whose engines all answer health checks, and returns its
// prefill engine.
func (n *testNode) prefillAfterChecks(route int) (prefillEngine string) {
	n.arrive(1, route, "s")
	for _, e := range n.actions {
		if p, ok := e.(HealthCheck); ok {
			if to := n.step(1*ms, HealthCheckResult{Engine: p.Engine, Verdict: Completed}); to != "" {
				prefillEngine = to
			}
		}
	}
	return prefillEngine
}

// letResponseBecomeOverdue lets so much time pass that the engine of the last attempt is checked.
func (n *testNode) letResponseBecomeOverdue(engine string) {
	n.t.Helper()
	for _, e := range n.actions {
		if a, ok := e.(StartTimer); ok {
			n.step(a.After+ms, TimerFired{a.Token})
			n.want(HealthCheck{engine})
		}
	}
}

// newTestNodeWithOverdueDecode is a node whose decode engine has not answered for so long that it is checked.
func newTestNodeWithOverdueDecode(t *testing.T, route int) (n *testNode, decodeEngine string) {
	n = newTestNode(t, func(c *Config) { c.HealthChecks, c.Nodes = true, 1 })
	decodeEngine = n.prefill(20*ms, 1, n.prefillAfterChecks(route))
	n.letResponseBecomeOverdue(decodeEngine)
	return n, decodeEngine
}

// What is written to an idle connection of a machine that is cut off is never answered, and the reservation
// was held until the deadline of the client.
func TestUnresponsiveDecodeEngineIsAbandoned(t *testing.T) {
	n, decodeEngine := newTestNodeWithOverdueDecode(t, 0)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.want(CancelAttempt{1, 1})
	if to := n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Canceled}); to == "" || to == decodeEngine {
		t.Fatalf("after %s it went to %q", decodeEngine, to)
	}
	// A non-retriable may have run, so it waits on; only its reservation is released.
	n, decodeEngine = newTestNodeWithOverdueDecode(t, 1)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.want(Release{1})
	// One that answers that it is busy is responsive.
	for _, v := range []Verdict{Completed, Full} {
		n, decodeEngine = newTestNodeWithOverdueDecode(t, 0)
		n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: v})
		n.want()
	}
}

// A prefill at an unresponsive engine is retried only where the request may run twice: see
// docs/incidents/read-given-up-at-a-silent-reader.md.
func TestPrefillOnAnUnresponsiveEngineIsRetriedOnlyIfIdempotent(t *testing.T) {
	for route, actions := range [][]Action{{CancelAttempt{1, 0}}, nil} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		prefillEngine := n.prefillAfterChecks(route)
		n.letResponseBecomeOverdue(prefillEngine)
		n.step(0, HealthCheckResult{Engine: prefillEngine, Verdict: TimedOut})
		n.want(actions...)
	}
}
