package router_test

import (
	"fmt"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
	"testing"
)

// A probe for which this machine had no descriptor says nothing of the engine: it counts neither as silent nor as failed.
func TestHealthCheckThatFailsLocally(t *testing.T) {
	b := newTestbed(t)
	b.healthCheck("r")
	line := b.dials[0]
	b.dials = b.dials[1:]
	b.core.SetTime(b.now)
	b.core.EngineConnected(line, nil, fmt.Errorf("%w: no descriptor", router.ErrLocal))
	b.core.RunDue(b.now)
	for _, in := range b.events {
		if p, ok := in.(routing.HealthCheckResult); ok && p.Verdict != routing.NotSent {
			t.Errorf("the module is told verdict %d of an engine that was never asked", p.Verdict)
		}
	}
	if _, out := b.request("a1", "alert"); len(responseStatuses(t, out)) > 0 || len(b.dials) != 1 {
		t.Errorf("%d connections are dialled for the next request, answers %v", len(b.dials), responseStatuses(t, out))
	}
}
