package routing

import (
	"fmt"
	"testing"
)

// BenchmarkArrivalAmongOpenStreams is one inference from arrival to its end while many others stream.
func BenchmarkArrivalAmongOpenStreams(b *testing.B) {
	for _, open := range []int{100, 5000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) {
			br := New(1, map[string]any{"limits.sends": 4.0, "limits.cancel": true, "engine_facts.pin": 1e9, "nodes": 1.0,
				"engine_facts.role_of_kind.0": "read", "engine_facts.role_of_kind.1": "write", "routes.0.effect": "retriable",
				"routes.0.first_token_target": 1e9, "routes.count": 1.0})
			news := EngineNews{Whole: true}
			for i := range 8 {
				news.Engines = append(news.Engines, EngineEntry{Engine: fmt.Sprint("e", i), Weight: 1, Kind: i / 4, Ready: true})
			}
			now := int64(1e9)
			br.Step(now, news)
			id := int64(0)
			sendOf := func(effects []Effect) string {
				for _, e := range effects {
					if s, ok := e.(Send); ok {
						return s.Engine
					}
				}
				b.Fatalf("no send in %v", effects)
				return ""
			}
			begin := func() (int64, string) {
				id++
				now += 1e6
				reader := sendOf(br.Step(now, Arrival{Inf: id, Session: fmt.Sprint(id), GiveUpAt: now + 1e12, Prompt: 100}))
				writer := sendOf(br.Step(now, Outcome{Inf: id, Engine: reader, Verdict: ReadDone, Lag: 1e6}))
				br.Step(now, FirstToken{Inf: id, Send: 1, Engine: writer, Lag: 1e6})
				return id, writer
			}
			for range open {
				begin()
			}
			for b.Loop() {
				id, writer := begin()
				br.Step(now, Outcome{Inf: id, Send: 1, Engine: writer, Verdict: Completed, Lag: 1e6, Ended: true})
			}
		})
	}
}
