package routing

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkArrivalAmongOpenStreams is one request from arrival to its end while many others stream.
func BenchmarkArrivalAmongOpenStreams(b *testing.B) {
	for _, open := range []int{100, 5000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			config := DefaultConfig()
			config.MaxAttempts, config.Cancel = 4, true
			config.SetReservationLimit(time.Second)
			config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}}
			config.Routes = []Route{{Effect: Retriable, PriorityWeight: 1, FirstTokenObjective: time.Second}}
			br := New(1, config)
			news := EndpointUpdate{Complete: true}
			for i := range 8 {
				news.Engines = append(news.Engines, Endpoint{Engine: fmt.Sprint("e", i), Weight: 1, Kind: i / 4, Ready: true})
			}
			now := time.Second
			br.Step(now, news)
			id := int64(0)
			sendOf := func(actions []Action) string {
				for _, e := range actions {
					if s, ok := e.(Send); ok {
						return s.Engine
					}
				}
				b.Fatalf("no attempt in %v", actions)
				return ""
			}
			begin := func() (int64, string) {
				id++
				now += 1e6
				prefillEngine := sendOf(br.Step(now, RequestArrived{RequestID: id, Session: fmt.Sprint(id), Deadline: now + 1e12, PromptTokens: 100}))
				decodeEngine := sendOf(br.Step(now, Outcome{RequestID: id, Engine: prefillEngine, Verdict: PrefillDone, Latency: 1e6}))
				br.Step(now, FirstToken{RequestID: id, Attempt: 1, Engine: decodeEngine, Latency: 1e6})
				return id, decodeEngine
			}
			for range open {
				begin()
			}
			for b.Loop() {
				id, decodeEngine := begin()
				br.Step(now, Outcome{RequestID: id, Attempt: 1, Engine: decodeEngine, Verdict: Completed, Latency: 1e6, RequestEnded: true})
			}
		})
	}
}
