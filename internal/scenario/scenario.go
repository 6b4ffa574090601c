package scenario

import (
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
)

// Scenario is a parsed scenario script.
type Scenario struct {
	Duration                                            time.Duration
	RequestRate, DisconnectShare                        float64
	Seed, Retries, Turns                                int
	Prefixes, PrefixWords                               int
	Edges, PrefillEngines, DecodeEngines                int
	PrefillSlots, QueueLimit, MemoryTokens, DecodeSlots int
	PrefillRate, AttemptRate                            float64
	TokenTime                                           time.Duration
	TrafficShares                                       []TrafficShare
	Faults                                              []Fault
	Deployment                                          *config.Deployment
}

// TrafficShare is the share of the traffic that goes to a model route.
type TrafficShare struct {
	Route     string
	Share     float64
	MaxTokens int
}

// Fault is one fault of a scenario. Kinds and parameters are those of the benchmark.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Fraction float64     // affected share of the engines of the role, or of the edges
	Size     float64     // slowdown factor, rate factor, share of the traffic or seconds, depending on the kind
	Role     config.Role // role of the affected engines; empty for both roles
	Selector int         // number that selects the targets, together with the seed of the scenario
}

// active reports whether the fault is active at a time since the start of the scenario.
func (f Fault) active(at time.Duration) bool { return at >= f.At && at < f.At+f.Duration }

// LoadFile reads a scenario script from a file. Any error is of type script.Faults.
func LoadFile(path string) (*Scenario, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// engineSeed is the seed of all fake engines.
const engineSeed = 7

// engineConfigs returns the configurations of the fake engines, prefill engines first.
func (s *Scenario) engineConfigs() (configs []engine.Config) {
	rules := s.Deployment.Rules
	for i := range s.PrefillEngines + s.DecodeEngines {
		c := engine.Config{Name: engineName(i), Role: string(config.RolePrefill), Seed: engineSeed, Slots: s.PrefillSlots, QueueLimit: s.QueueLimit,
			MemoryTokens: s.MemoryTokens, PrefillRate: s.PrefillRate, AttemptRate: s.AttemptRate, TokenTime: s.TokenTime,
			WarmUp: rules.SlowStart, WarmUpShare: rules.SlowStartShare, OverloadFactor: rules.OverloadMultiple,
			OverloadWindow: rules.OverloadWindow}
		if i >= s.PrefillEngines {
			c.Role, c.Slots = string(config.RoleDecode), s.DecodeSlots
		}
		configs = append(configs, c)
	}
	return configs
}

// routes returns the model routes for the load generator.
func (s *Scenario) routes() (routes []loadgen.Route) {
	for _, c := range s.TrafficShares {
		r := clientRoute(s.Deployment.Routes[s.Deployment.RouteIndex(c.Route)])
		r.Share, r.MaxTokens = c.Share, c.MaxTokens
		routes = append(routes, r)
	}
	return routes
}

// clientRoute converts a model route for the load generator, without a share and a token limit.
func clientRoute(r config.Route) loadgen.Route {
	return loadgen.Route{Name: r.Name, PriorityWeight: r.PriorityWeight, Retriable: r.Effect == config.EffectRetriable,
		FirstTokenTarget: r.FirstTokenObjective, Timeout: r.Timeout}
}
