// Package emulator emulates the whole system in simulated time: clients, routers that run the production core with its
// routing policy, admission and connection pool, and engines with slots, queues, memory, cached prefixes and warm-up.
// It has one seed and one goroutine: a run is the same to the byte whatever else the machine does. It does no I/O.
package emulator

import (
	"time"

	"sandcourse/internal/config"
)

// Route is one model route and its clients.
type Route struct {
	Name             string        `json:"name"`
	Effect           config.Effect `json:"effect"`
	Share            float64       `json:"share"` // of the requests
	PriorityWeight   float64       `json:"value"`
	FirstTokenTarget time.Duration `json:"target"`
	Timeout          time.Duration `json:"timeout"`
	PromptTokens     float64       `json:"prompt"` // of a user's own part, on average
	AnswerTokens     float64       `json:"answer"` // on average
}

// FaultKind is a kind of fault, as scripts spell it.
type FaultKind string

// The kinds of fault.
const (
	FaultBurst   FaultKind = "burst"   // requests arrive Fraction times as fast
	FaultRestart FaultKind = "restart" // engines are down, and warm up after it
	FaultSlow    FaultKind = "slow"    // engines are Fraction times slower
	FaultSilent  FaultKind = "silent"  // engines are unresponsive
	FaultDrain   FaultKind = "drain"   // engines drain
	FaultForget  FaultKind = "forget"  // engines lose their cached prefixes
	FaultLost    FaultKind = "lost"    // engines are down and not listed, and warm up after it
)

// FaultKinds are all kinds of fault.
var FaultKinds = []FaultKind{FaultBurst, FaultRestart, FaultSlow, FaultSilent, FaultDrain, FaultForget, FaultLost}

// Fault is one thing that goes wrong for a time.
type Fault struct {
	Kind     FaultKind     `json:"kind"`
	At       time.Duration `json:"at"`
	Duration time.Duration `json:"for"`
	Fraction float64       `json:"part"` // of the engines, or the factor of a burst or a slowdown
	Role     config.Role   `json:"role"` // of the engines; both if empty
}

// Scenario is what is emulated.
type Scenario struct {
	Routers, PrefillEngines, DecodeEngines int
	Length                                 time.Duration
	RequestRate                            float64 // first attempts of clients a second
	Routes                                 []Route
	Prefixes                               int     // shared, used by Zipf's law
	PrefixTokens                           float64 // of each
	Turns                                  int     // of a session
	Retries                                int     // of a client, after failures
	RetryBudget                            float64 // share of a router's arrivals that may be retries; 0 for any
	Engine                                 EngineModel
	Faults                                 []Fault
	Seed                                   uint64
}

// EngineModel is what each engine can do. The defaults are of the order that published work on disaggregated serving
// gives for models of some tens of billions of parameters on one host with eight accelerators: 10,000 to 20,000 prompt
// tokens and some thousand output tokens a second, 20 to 50 ms a token (DistServe, Zhong et al. 2024; Splitwise, Patel
// et al. 2024).
type EngineModel struct {
	PrefillSlots, DecodeSlots int
	PrefillRate               float64       // prompt tokens a second of one slot
	TokenTime                 time.Duration // of one output token in an empty batch
	BatchSlowdown             float64       // how much longer a token takes in a full batch
	QueueLimit                int
	MemoryTokens              float64 // that a decode engine holds
	TransferRate              float64 // tokens a second of a KV transfer
	WarmUp                    time.Duration
	WarmUpShare               float64 // of its speed that an engine has as it starts to warm up
}

// Defaults is a small fleet with two routes.
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
