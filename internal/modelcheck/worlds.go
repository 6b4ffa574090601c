package modelcheck

import (
	"slices"

	"sandcourse/internal/config"
)

// Worlds are the configurations that are explored exhaustively. CI explores the small ones.
var Worlds = []World{
	{Name: "one", About: "one non-retriable request, one prefill engine, one decode engine, any two faults",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 2},
	{Name: "single", About: "one non-retriable request, one prefill engine, one decode engine, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1},
	{Name: "pair", About: "one non-retriable request, two prefill and two decode engines, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 2},
	{Name: "retriable", About: "one retriable request, two prefill and two decode engines, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []config.Effect{config.EffectRetriable}, Faults: 2},
	{Name: "deduped", About: "one deduped request, two prefill and two decode engines, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []config.Effect{config.EffectDeduped}, Faults: 2},
	{Name: "two", About: "two requests, one prefill engine, one decode engine, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable, config.EffectRetriable}, Faults: 1},
	{Name: "abandon", About: "one retriable request, one prefill engine, one decode engine, abandoned attempts are half-closed, any two faults",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectRetriable}, Faults: 2, HalfClose: true},
	{Name: "lines", About: "three requests over two connections to each of one prefill and one decode engine, one reset or truncated response",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectRetriable, config.EffectRetriable, config.EffectRetriable}, Faults: 1, ConnectionsPerEngine: 2,
		FaultKinds: []FaultKind{FaultReset, FaultTruncated}},
	{Name: "lines-garbled", About: "two requests over one connection to each engine, one malformed or truncated response",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectRetriable, config.EffectRetriable}, Faults: 1, ConnectionsPerEngine: 1,
		FaultKinds: []FaultKind{FaultGarbled, FaultTruncated}},
	{Name: "probes", About: "one non-retriable request, one prefill engine, two decode engines, health checks, any two faults",
		PrefillEngines: 1, DecodeEngines: 2, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 2, HealthChecks: true},
	{Name: "limit", About: "two requests, a router that admits one at a time, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable, config.EffectRetriable}, Faults: 1, MaxOpenRequests: 1},
	{Name: "nodes-two", About: "two routers, one request each, one prefill engine, one decode engine, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 1, Routers: 2},
	{Name: "nodes-news", About: "two routers that are notified of drains and restarts at different times, two drains or restarts",
		PrefillEngines: 1, DecodeEngines: 2, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 2, Routers: 2, FaultKinds: []FaultKind{FaultDrain, FaultRestart}},
	{Name: "roles-one", About: "planner, two prefill and two decode engines, one role change, any one fault",
		PrefillEngines: 2, DecodeEngines: 2, Faults: 1, Routers: 1, RoleChanges: true},
	{Name: "roles", About: "planner, two prefill and two decode engines, one role change, any two faults", PrefillEngines: 2, DecodeEngines: 2, Faults: 2, Routers: 1, RoleChanges: true},
	{Name: "roles-last", About: "planner, one prefill and one decode engine, neither of which may change its role, any one fault", PrefillEngines: 1, DecodeEngines: 1, Faults: 1, Routers: 1,
		RoleChanges: true},
	{Name: "roles-edges", About: "planner, two prefill and two decode engines, two edges, two faults (planner kills, lost or delayed orders)", PrefillEngines: 2, DecodeEngines: 2, Faults: 2, Routers: 2,
		RoleChanges: true, FaultKinds: []FaultKind{FaultKill, FaultDelay, FaultReset}},
	{Name: "pair-three", About: "one non-retriable request, two prefill and two decode engines, any three faults (minutes)",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []config.Effect{config.EffectNonRetriable}, Faults: 3},
	{Name: "two-two", About: "two requests, one prefill engine, one decode engine, any two faults (minutes)",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []config.Effect{config.EffectNonRetriable, config.EffectRetriable}, Faults: 2},
}

// LargeWorlds are too large for exhaustive exploration and are sampled by random walks.
var LargeWorlds = []World{
	{Name: "swarm-mixed", About: "six requests of all effects, four prefill and four decode engines, ten faults", PrefillEngines: 4, DecodeEngines: 4,
		Effects: []config.Effect{config.EffectNonRetriable, config.EffectRetriable, config.EffectDeduped, config.EffectNonRetriable, config.EffectRetriable, config.EffectNonRetriable}, Faults: 10},
	{Name: "swarm-narrow", About: "five requests on one prefill and two decode engines, two connections each, eight faults", PrefillEngines: 1,
		DecodeEngines: 2, Effects: []config.Effect{config.EffectNonRetriable, config.EffectNonRetriable, config.EffectRetriable, config.EffectDeduped, config.EffectRetriable}, Faults: 8, ConnectionsPerEngine: 2},
}

// CrowdWorlds are fleets of up to 300 routers. They check the total load that all routers put on an engine.
var CrowdWorlds = []World{
	{Name: "crowd-300", About: "300 routers, steady arrivals, engines restart and warm up: checks the slow-start budget of all routers together", PrefillEngines: 4,
		DecodeEngines: 4, Effects: []config.Effect{}, Routers: 300, Crowd: true},
	{Name: "crowd-30", About: "30 routers and six engines, otherwise as crowd-300", PrefillEngines: 3, DecodeEngines: 3, Effects: []config.Effect{}, Routers: 30, Crowd: true},
	{Name: "crowd-3", About: "three routers and six engines, otherwise as crowd-300", PrefillEngines: 3, DecodeEngines: 3, Effects: []config.Effect{}, Routers: 3, Crowd: true},
	{Name: "crowd-1", About: "one router and six engines, otherwise as crowd-300", PrefillEngines: 3, DecodeEngines: 3, Effects: []config.Effect{}, Routers: 1, Crowd: true},
}

// FindWorld returns the world with a name, and reports whether it exists.
func FindWorld(name string) (World, bool) {
	for _, w := range slices.Concat(Worlds, LargeWorlds, CrowdWorlds) {
		if w.Name == name {
			return w, true
		}
	}
	return World{}, false
}
