package modelcheck

import "slices"

// Worlds are those that are explored whole. Small ones run in CI.
var Worlds = []World{
	{Name: "one", About: "one non-retriable inference, one reader, one writer, any two faults",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable"}, Faults: 2},
	{Name: "single", About: "one non-retriable inference, one reader, one writer, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable"}, Faults: 1},
	{Name: "pair", About: "one non-retriable inference, two readers, two writers, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []string{"non-retriable"}, Faults: 2},
	{Name: "retriable", About: "one retriable inference, two readers, two writers, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []string{"retriable"}, Faults: 2},
	{Name: "deduped", About: "one deduped inference, two readers, two writers, any two faults",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []string{"deduped"}, Faults: 2},
	{Name: "two", About: "two inferences, one reader, one writer, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 1},
	{Name: "lines", About: "three inferences over few connections of one reader and one writer, no fault but resets",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"retriable", "retriable", "retriable"}, Faults: 1, ConnectionsPerEngine: 2,
		FaultKinds: []string{"reset", "half"}},
	{Name: "lines-garbled", About: "two inferences over one connection an engine, answers that are none",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"retriable", "retriable"}, Faults: 1, ConnectionsPerEngine: 1,
		FaultKinds: []string{"garbled", "half"}},
	{Name: "probes", About: "one non-retriable inference, one reader, two writers, load asked for, any two faults",
		PrefillEngines: 1, DecodeEngines: 2, Effects: []string{"non-retriable"}, Faults: 2, HealthChecks: true},
	{Name: "limit", About: "two inferences at a node that takes one at once, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 1, MaxOpenRequests: 1},
	{Name: "nodes-two", About: "two nodes, one inference each, one reader, one writer, any one fault",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable"}, Faults: 1, Routers: 2},
	{Name: "nodes-news", About: "two nodes that hear of drains and restarts at different times, two such faults",
		PrefillEngines: 1, DecodeEngines: 2, Effects: []string{"non-retriable"}, Faults: 2, Routers: 2, FaultKinds: []string{"drain", "restart"}},
	{Name: "roles-one", About: "planner, two readers and two writers, one move, any one fault",
		PrefillEngines: 2, DecodeEngines: 2, Faults: 1, Routers: 1, RoleChanges: true},
	{Name: "roles", About: "the same, any two faults", PrefillEngines: 2, DecodeEngines: 2, Faults: 2, Routers: 1, RoleChanges: true},
	{Name: "roles-last", About: "one reader and one writer, which no change may take", PrefillEngines: 1, DecodeEngines: 1, Faults: 1, Routers: 1,
		RoleChanges: true},
	{Name: "roles-edges", About: "the same with two edges, kills and lost or late orders", PrefillEngines: 2, DecodeEngines: 2, Faults: 2, Routers: 2,
		RoleChanges: true, FaultKinds: []string{"kill", "late", "reset"}},
	{Name: "pair-three", About: "one non-retriable inference, two readers, two writers, any three faults (minutes)",
		PrefillEngines: 2, DecodeEngines: 2, Effects: []string{"non-retriable"}, Faults: 3},
	{Name: "two-two", About: "two inferences, one reader, one writer, any two faults (minutes)",
		PrefillEngines: 1, DecodeEngines: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 2},
}

// LargeWorlds are walked at random.
var LargeWorlds = []World{
	{Name: "swarm-mixed", About: "six inferences of all effects, four readers, four writers, ten faults", PrefillEngines: 4, DecodeEngines: 4,
		Effects: []string{"non-retriable", "retriable", "deduped", "non-retriable", "retriable", "non-retriable"}, Faults: 10},
	{Name: "swarm-narrow", About: "five inferences on one reader and two writers, two connections each, eight faults", PrefillEngines: 1,
		DecodeEngines: 2, Effects: []string{"non-retriable", "non-retriable", "retriable", "deduped", "retriable"}, Faults: 8, ConnectionsPerEngine: 2},
}

// CrowdWorlds are many nodes, for what they do together.
var CrowdWorlds = []World{
	{Name: "crowd-300", About: "300 nodes, steady arrivals, engines restart cold: the budget of all together", PrefillEngines: 4,
		DecodeEngines: 4, Effects: []string{}, Routers: 300, Crowd: true},
	{Name: "crowd-30", About: "30 nodes, as above", PrefillEngines: 3, DecodeEngines: 3, Effects: []string{}, Routers: 30, Crowd: true},
	{Name: "crowd-3", About: "three nodes, as above", PrefillEngines: 3, DecodeEngines: 3, Effects: []string{}, Routers: 3, Crowd: true},
	{Name: "crowd-1", About: "one node, as above", PrefillEngines: 3, DecodeEngines: 3, Effects: []string{}, Routers: 1, Crowd: true},
}

// FindWorld is a world by name.
func FindWorld(name string) (World, bool) {
	for _, w := range slices.Concat(Worlds, LargeWorlds, CrowdWorlds) {
		if w.Name == name {
			return w, true
		}
	}
	return World{}, false
}
