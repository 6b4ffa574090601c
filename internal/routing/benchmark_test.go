package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArrivalAmongOpenStreams measures one request from its arrival to its end while many others stream.
func BenchmarkArrivalAmongOpenStreams(b *testing.B) {
	for _, open := range []int{100, 5000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			config := DefaultConfig()
			config.MaxAttempts, config.CanCancel = 4, true
			config.SetReservationLimit(time.Second)
			config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}}
			config.Routes = []Route{{Effect: Retriable, PriorityWeight: 1, FirstTokenObjective: time.Second}}
			policy := New(1, config)
			update := EndpointUpdate{Complete: true}
			for i := range 8 {
				update.Engines = append(update.Engines, Endpoint{Engine: fmt.Sprint("e", i), Weight: 1, Kind: i / 4, Ready: true})
			}
			now := time.Second
			policy.Step(now, update)
			id := int64(0)
			sentEngine := func(actions []Action) string {
				for _, action := range actions {
					if send, ok := action.(Send); ok {
						return send.Engine
					}
				}
				b.Fatalf("no attempt in %v", actions)
				return ""
			}
			startStream := func() (int64, string) {
				id++
				now += 1e6
				prefillEngine := sentEngine(policy.Step(now, RequestArrived{RequestID: id, Session: fmt.Sprint(id), Deadline: now + 1e12, PromptTokens: 100}))
				decodeEngine := sentEngine(policy.Step(now, Outcome{RequestID: id, Engine: prefillEngine, Verdict: PrefillDone, Latency: 1e6}))
				policy.Step(now, FirstToken{RequestID: id, Attempt: 1, Engine: decodeEngine, Latency: 1e6})
				return id, decodeEngine
			}
			for range open {
				startStream()
			}
			for b.Loop() {
				id, decodeEngine := startStream()
				policy.Step(now, Outcome{RequestID: id, Attempt: 1, Engine: decodeEngine, Verdict: Completed, Latency: 1e6, RequestEnded: true})
			}
		})
	}
}
