package router_test

import (
	"fmt"
	"testing"

	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// A health check that fails because this machine has no descriptor left counts neither as timed out nor as failed at the
// engine.
func TestLocalHealthCheckFailureIsNotEngineFault(t *testing.T) {
	b := newTestbed(t)
	b.healthCheck("r")
	conn := b.dials[0]
	b.dials = b.dials[1:]
	b.do(func() { b.core.EngineConnected(conn, nil, fmt.Errorf("%w: no descriptor", router.ErrLocal)) })
	for _, event := range b.events {
		if result, ok := event.(routing.HealthCheckResult); ok && result.Verdict != routing.NotSent {
			t.Errorf("the policy was notified of verdict %d for an engine that was never reached", result.Verdict)
		}
	}
	if _, out := b.request("a1", "alert"); len(responseStatuses(t, out)) > 0 || len(b.dials) != 1 {
		t.Errorf("%d connections are dialed for the next request, want 1; answers %v", len(b.dials), responseStatuses(t, out))
	}
}
