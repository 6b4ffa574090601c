package scenario

import (
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
)

// Scenario is a scripted scenario.
type Scenario struct {
	Duration                                            time.Duration
	RequestRate, DisconnectShare                        float64
	Seed, Retries, Turns                                int
	Prefixes, PrefixWords                               int
	Edges, PrefillEngines, DecodeEngines                int
	PrefillSlots, QueueLimit, MemoryTokens, DecodeSlots int
	PrefillRate, AttemptRate                            float64
	TokenTime                                           time.Duration
	Clients                                             []TrafficShare
	Faults                                              []Fault
	Deployment                                          *config.Deployment
}

// TrafficShare is how much of the traffic goes to a model route.
type TrafficShare struct {
	Route     string
	Share     float64
	MaxTokens int
}

// Fault is one fault of a scenario, named and shaped as the bench's.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Duration time.Duration
	Fraction float64     // of the engines of its role, or of the edges
	Size     float64     // times slower, times the rate, share of the traffic, seconds: by kind
	Role     config.Role // empty for both
	Selector int         // picks among engines beside the scenario's seed
}

// active reports whether a fault lasts at a time into the scenario.
func (f Fault) active(at time.Duration) bool { return at >= f.At && at < f.At+f.Duration }

// LoadFile reads a scenario's script from a file. The error, if any, is of type script.Faults.
func LoadFile(path string) (*Scenario, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// engineSeed is the seed of all fake engines.
const engineSeed = 7

// engineConfigs are the fake engines, prefill engines first.
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

// routes are the model routes as clients use them.
func (s *Scenario) routes() (routes []loadgen.Route) {
	for _, c := range s.Clients {
		r := clientRoute(s.Deployment.Routes[s.Deployment.Route(c.Route)])
		r.Share, r.MaxTokens = c.Share, c.MaxTokens
		routes = append(routes, r)
	}
	return routes
}

// clientRoute is a model route as clients use it, without its share and size.
func clientRoute(r config.Route) loadgen.Route {
	return loadgen.Route{Name: r.Name, PriorityWeight: r.PriorityWeight, Retriable: r.Effect == config.EffectRetriable,
		FirstTokenTarget: r.FirstTokenObjective, Timeout: r.Timeout}
}
