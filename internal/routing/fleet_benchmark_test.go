package routing

import (
	"fmt"
	"testing"
	"time"
)

// newFleetUpdate returns the endpoint list of a fleet, half prefill engines, half decode engines. A share of each role has
// started at startedAt.
func newFleetUpdate(engines int, warmingShare float64, startedAt time.Duration) EndpointUpdate {
	update := EndpointUpdate{Complete: true}
	for i := range engines {
		endpoint := Endpoint{Engine: fmt.Sprintf("s-%04x", i), Weight: 1, Kind: i % 2, Ready: true}
		if float64(i/2) < warmingShare*float64(engines/2) {
			endpoint.StartedAt = startedAt
		}
		update.Engines = append(update.Engines, endpoint)
	}
	return update
}

// newFleetNode returns one node of 300 that has served a few requests, after which a share of the engines has restarted.
func newFleetNode(tb testing.TB, engines int, warmingShare float64) *fleetNode {
	config := DefaultConfig()
	config.Nodes, config.MaxAttempts, config.CanCancel, config.HealthChecks = 300, 5, true, true
	config.SetReservationLimit(time.Second)
	config.SlowStart = SlowStart{Duration: time.Hour, Window: time.Second, Share: 0.3, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}}
	config.Routes = []Route{{Effect: Retriable, PriorityWeight: 1, FirstTokenObjective: time.Second}}
	n := &fleetNode{tb: tb, policy: New(1, config), now: simulationStart}
	n.policy.Step(n.now, newFleetUpdate(engines, 0, 0))
	for range 100 {
		n.serve()
	}
	n.policy.Step(n.now, newFleetUpdate(engines, warmingShare, n.now))
	return n
}

type fleetNode struct {
	tb     testing.TB
	policy *Policy
	now    time.Duration
	lastID int64
}

// step passes an event to the policy, answers its health checks, and returns the engine that it sends to, if any.
func (n *fleetNode) step(event Event) (engine string) {
	for _, action := range n.policy.Step(n.now, event) {
		switch action := action.(type) {
		case Send:
			engine = action.Engine
		case HealthCheck:
			if sent := n.step(HealthCheckResult{Engine: action.Engine, Verdict: Completed, Report: &LoadReport{}}); sent != "" {
				engine = sent
			}
		}
	}
	return engine
}

// serve runs a request from its arrival to its end.
func (n *fleetNode) serve() {
	n.lastID++
	n.now += 25 * time.Millisecond
	id := n.lastID
	prefill := n.step(RequestArrived{RequestID: id, Session: fmt.Sprint(id), Deadline: n.now + time.Hour, PromptTokens: 100})
	n.now += 10 * time.Millisecond
	decode := n.step(Outcome{RequestID: id, Engine: prefill, Verdict: PrefillDone, Latency: 10 * time.Millisecond})
	if prefill == "" || decode == "" {
		n.tb.Fatalf("request %d is sent to %q and %q", id, prefill, decode)
	}
	n.step(FirstToken{RequestID: id, Attempt: 1, Engine: decode, Latency: time.Millisecond})
	n.step(Outcome{RequestID: id, Attempt: 1, Engine: decode, Verdict: Completed, RequestEnded: true})
}

// BenchmarkRequestInFleet measures one request from its arrival to its end.
func BenchmarkRequestInFleet(b *testing.B) {
	for _, engines := range []int{100, 400, 1600, 3200} {
		for _, warmingShare := range []float64{0, 0.5} {
			b.Run(fmt.Sprintf("engines=%d/warming=%g", engines, warmingShare), func(b *testing.B) {
				n := newFleetNode(b, engines, warmingShare)
				for b.Loop() {
					n.serve()
				}
			})
		}
	}
}

// BenchmarkEndpointUpdate measures the update by a complete list in which one engine has changed.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, engines := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newFleetNode(b, engines, 0)
			update := newFleetUpdate(engines, 0, 0)
			for b.Loop() {
				update.Engines[0].Ready, update.Engines[0].Draining = !update.Engines[0].Ready, update.Engines[0].Ready
				n.policy.Step(n.now, update)
			}
		})
	}
}

// BenchmarkRetryWithoutAnEngine measures the retry of one of 200 requests that wait while all engines are warming up.
func BenchmarkRetryWithoutAnEngine(b *testing.B) {
	for _, engines := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			n := newFleetNode(b, engines, 1)
			var retries []int64 // tokens of the timers of retries
			collect := func(actions []Action) {
				for _, action := range actions {
					if timer, ok := action.(StartTimer); ok && timer.After == retryDelay {
						retries = append(retries, timer.Token)
					}
				}
			}
			for id := range int64(200) {
				collect(n.policy.Step(n.now, RequestArrived{RequestID: 10_000 + id, Session: fmt.Sprint("x", id), Deadline: n.now + time.Hour, PromptTokens: 100}))
			}
			for b.Loop() {
				n.now += 150 * time.Microsecond
				token := retries[0]
				retries = retries[1:]
				collect(n.policy.Step(n.now, TimerFired{Token: token}))
			}
		})
	}
}
