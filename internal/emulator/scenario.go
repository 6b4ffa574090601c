// Package emulator is a discrete-event simulation of the whole system: clients, routers that run the production core with
// its routing policy, admission and connection pool, and engines with slots, queues, memory, prefix caches and warm-up.
// A run has one seed and one goroutine, so its result depends only on the scenario. The package does no I/O.
package emulator

import (
	"time"

	"sandcourse/internal/config"
)

// Route is a model route and the requests of its clients.
type Route struct {
	Name             string        `json:"name"`
	Effect           config.Effect `json:"effect"`
	Share            float64       `json:"share"` // relative share of the sessions
	PriorityWeight   float64       `json:"value"`
	FirstTokenTarget time.Duration `json:"target"`
	Timeout          time.Duration `json:"timeout"`
	PromptTokens     float64       `json:"prompt"` // mean of the user's part of the prompt, without the context
	AnswerTokens     float64       `json:"answer"` // mean length of an answer
}

// FaultKind is a kind of fault. Scripts use its value.
type FaultKind string

// The kinds of fault.
const (
	FaultBurst        FaultKind = "burst"   // the arrival rate is multiplied by Magnitude
	FaultRestart      FaultKind = "restart" // engines are down, then start and warm up
	FaultSlow         FaultKind = "slow"    // engines are slower by the factor Magnitude
	FaultUnresponsive FaultKind = "silent"  // engines stop responding
	FaultDrain        FaultKind = "drain"   // engines drain
	FaultCacheLoss    FaultKind = "forget"  // engines lose their prefix caches
	FaultUnlisted     FaultKind = "lost"    // engines are down and not listed, then start and warm up
)

// FaultKinds lists all kinds of fault.
var FaultKinds = []FaultKind{FaultBurst, FaultRestart, FaultSlow, FaultUnresponsive, FaultDrain, FaultCacheLoss, FaultUnlisted}

// Fault is a fault of limited duration.
type Fault struct {
	Kind      FaultKind     `json:"kind"`
	At        time.Duration `json:"at"`
	Duration  time.Duration `json:"for"`
	Magnitude float64       `json:"part"` // share of the engines, or the factor of a burst or slowdown
	Role      config.Role   `json:"role"` // role of the engines; both roles if empty
}

// Scenario is the configuration of a run.
type Scenario struct {
	Routers, PrefillEngines, DecodeEngines int
	Length                                 time.Duration
	RequestRate                            float64 // new sessions per second
	Routes                                 []Route
	Prefixes                               int     // shared prefixes per route, chosen by Zipf's law
	PrefixTokens                           float64 // length of each shared prefix
	Turns                                  int     // turns per session, at least one
	Retries                                int     // maximum number of retries per request
	RetryBudget                            float64 // share of a router's arrivals that may be retries; 0 for no limit
	Engine                                 EngineModel
	Faults                                 []Fault
	Seed                                   uint64
}

// EngineModel is the performance model of an engine. The defaults are of the order of magnitude that publications on
// disaggregated serving report for models of some tens of billions of parameters on a host with eight accelerators:
// 10,000 to 20,000 prompt tokens and some thousand output tokens per second, 20 to 50 ms per token (DistServe, Zhong et al.
// 2024; Splitwise, Patel et al. 2024).
type EngineModel struct {
	PrefillSlots, DecodeSlots int
	PrefillRate               float64       // prompt tokens per second and slot
	TokenTime                 time.Duration // time per output token in an empty batch
	BatchSlowdown             float64       // relative increase of TokenTime in a full batch
	QueueLimit                int
	MemoryTokens              float64 // capacity of a decode engine
	TransferRate              float64 // tokens per second of a KV transfer
	WarmUp                    time.Duration
	WarmUpShare               float64 // share of the speed when the engine starts to warm up
}

// Defaults returns the scenario of a small fleet with two routes.
func Defaults() Scenario {
	return Scenario{Routers: 4, PrefillEngines: 6, DecodeEngines: 6, Length: 60 * time.Second, RequestRate: 40, Prefixes: 20,
		PrefixTokens: 800, Turns: 3, Retries: 2,
		Routes: []Route{
			{Name: "clip-summary", Effect: config.EffectRetriable, Share: 0.6, PriorityWeight: 1,
				FirstTokenTarget: 1500 * time.Millisecond, Timeout: 6 * time.Second, PromptTokens: 600, AnswerTokens: 80},
			{Name: "fan-alert", Effect: config.EffectNonRetriable, Share: 0.4, PriorityWeight: 5,
				FirstTokenTarget: 800 * time.Millisecond, Timeout: 4 * time.Second, PromptTokens: 150, AnswerTokens: 40}},
		Engine: EngineModel{PrefillSlots: 2, DecodeSlots: 16, PrefillRate: 8000, TokenTime: 20 * time.Millisecond,
			BatchSlowdown: 1, QueueLimit: 64, MemoryTokens: 60_000, TransferRate: 200_000, WarmUp: 10 * time.Second,
			WarmUpShare: 0.3}, Seed: 1}
}
