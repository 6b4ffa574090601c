package routing

import "testing"

// prefillAfterChecks accepts a request of a route, answers all health checks, and returns the request's prefill engine.
func (n *testNode) prefillAfterChecks(route int) (prefillEngine string) {
	n.arrive(1, route, "s")
	for _, action := range n.actions {
		if check, ok := action.(HealthCheck); ok {
			if sent := n.step(1*ms, HealthCheckResult{Engine: check.Engine, Verdict: Completed}); sent != "" {
				prefillEngine = sent
			}
		}
	}
	return prefillEngine
}

// letResponseBecomeOverdue advances the time until the engine of the last attempt is checked.
func (n *testNode) letResponseBecomeOverdue(engine string) {
	n.t.Helper()
	for _, action := range n.actions {
		if timer, ok := action.(StartTimer); ok {
			n.step(timer.After+ms, TimerFired{timer.Token})
			n.expectActions(HealthCheck{engine})
		}
	}
}

// newTestNodeWithOverdueDecode returns a node whose decode engine is checked, as it has not answered for too long.
func newTestNodeWithOverdueDecode(t *testing.T, route int) (n *testNode, decodeEngine string) {
	n = newTestNode(t, func(c *Config) { c.HealthChecks, c.Nodes = true, 1 })
	decodeEngine = n.completePrefill(20*ms, 1, n.prefillAfterChecks(route))
	n.letResponseBecomeOverdue(decodeEngine)
	return n, decodeEngine
}

// The test guards against a reservation that is held until the client's deadline: a request that is written to an idle
// connection to a machine that is cut off is never answered.
func TestUnresponsiveDecodeEngineIsAbandoned(t *testing.T) {
	n, decodeEngine := newTestNodeWithOverdueDecode(t, 0)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.expectActions(CancelAttempt{1, 1})
	if next := n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Canceled}); next == "" || next == decodeEngine {
		t.Fatalf("after %s the request is sent to %q", decodeEngine, next)
	}
	// A non-retriable request may have run, so it keeps waiting; only its reservation is released.
	n, decodeEngine = newTestNodeWithOverdueDecode(t, 1)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.expectActions(Release{1})
	// An engine that answers that it is busy is responsive.
	for _, verdict := range []Verdict{Completed, Full} {
		n, decodeEngine = newTestNodeWithOverdueDecode(t, 0)
		n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: verdict})
		n.expectActions()
	}
}

// A prefill on an unresponsive engine is retried only if the request may run twice: see
// docs/incidents/read-given-up-at-a-silent-reader.md.
func TestPrefillOnAnUnresponsiveEngineIsRetriedOnlyIfIdempotent(t *testing.T) {
	for route, actions := range [][]Action{{CancelAttempt{1, 0}}, nil} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		prefillEngine := n.prefillAfterChecks(route)
		n.letResponseBecomeOverdue(prefillEngine)
		n.step(0, HealthCheckResult{Engine: prefillEngine, Verdict: TimedOut})
		n.expectActions(actions...)
	}
}
