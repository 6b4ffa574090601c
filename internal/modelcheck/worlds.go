package modelcheck

import "slices"

// Worlds are those that are explored whole. Small ones run in CI.
var Worlds = []World{
	{Name: "one", About: "one non-retriable inference, one reader, one writer, any two faults",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 2},
	{Name: "single", About: "one non-retriable inference, one reader, one writer, any one fault",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 1},
	{Name: "pair", About: "one non-retriable inference, two readers, two writers, any two faults",
		Readers: 2, Writers: 2, Effects: []string{"non-retriable"}, Faults: 2},
	{Name: "retriable", About: "one retriable inference, two readers, two writers, any two faults",
		Readers: 2, Writers: 2, Effects: []string{"retriable"}, Faults: 2},
	{Name: "deduped", About: "one deduped inference, two readers, two writers, any two faults",
		Readers: 2, Writers: 2, Effects: []string{"deduped"}, Faults: 2},
	{Name: "two", About: "two inferences, one reader, one writer, any one fault",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 1},
	{Name: "lines", About: "three inferences over few connections of one reader and one writer, no fault but resets",
		Readers: 1, Writers: 1, Effects: []string{"retriable", "retriable", "retriable"}, Faults: 1, PerConn: 2,
		Kinds: []string{"reset", "half"}},
	{Name: "lines-garbled", About: "two inferences over one connection an engine, answers that are none",
		Readers: 1, Writers: 1, Effects: []string{"retriable", "retriable"}, Faults: 1, PerConn: 1,
		Kinds: []string{"garbled", "half"}},
	{Name: "probes", About: "one non-retriable inference, one reader, two writers, load asked for, any two faults",
		Readers: 1, Writers: 2, Effects: []string{"non-retriable"}, Faults: 2, Probes: true},
	{Name: "limit", About: "two inferences at a node that takes one at once, any one fault",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 1, Open: 1},
	{Name: "nodes-two", About: "two nodes, one inference each, one reader, one writer, any one fault",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable"}, Faults: 1, Nodes: 2},
	{Name: "nodes-news", About: "two nodes that hear of drains and restarts at different times, two such faults",
		Readers: 1, Writers: 2, Effects: []string{"non-retriable"}, Faults: 2, Nodes: 2, Kinds: []string{"drain", "restart"}},
	{Name: "roles-one", About: "planner, two readers and two writers, one move, any one fault",
		Readers: 2, Writers: 2, Faults: 1, Nodes: 1, Roles: true},
	{Name: "roles", About: "the same, any two faults", Readers: 2, Writers: 2, Faults: 2, Nodes: 1, Roles: true},
	{Name: "roles-last", About: "one reader and one writer, which no change may take", Readers: 1, Writers: 1, Faults: 1, Nodes: 1,
		Roles: true},
	{Name: "roles-edges", About: "the same with two edges, kills and lost or late orders", Readers: 2, Writers: 2, Faults: 2, Nodes: 2,
		Roles: true, Kinds: []string{"kill", "late", "reset"}},
	{Name: "pair-three", About: "one non-retriable inference, two readers, two writers, any three faults (minutes)",
		Readers: 2, Writers: 2, Effects: []string{"non-retriable"}, Faults: 3},
	{Name: "two-two", About: "two inferences, one reader, one writer, any two faults (minutes)",
		Readers: 1, Writers: 1, Effects: []string{"non-retriable", "retriable"}, Faults: 2},
}

// Large are walked at random.
var Large = []World{
	{Name: "swarm-mixed", About: "six inferences of all effects, four readers, four writers, ten faults", Readers: 4, Writers: 4,
		Effects: []string{"non-retriable", "retriable", "deduped", "non-retriable", "retriable", "non-retriable"}, Faults: 10},
	{Name: "swarm-narrow", About: "five inferences on one reader and two writers, two connections each, eight faults", Readers: 1,
		Writers: 2, Effects: []string{"non-retriable", "non-retriable", "retriable", "deduped", "retriable"}, Faults: 8, PerConn: 2},
}

// Crowds are many nodes, for what they do together.
var Crowds = []World{
	{Name: "crowd-300", About: "300 nodes, steady arrivals, engines restart cold: the budget of all together", Readers: 4,
		Writers: 4, Effects: []string{}, Nodes: 300, Crowd: true},
	{Name: "crowd-30", About: "30 nodes, as above", Readers: 3, Writers: 3, Effects: []string{}, Nodes: 30, Crowd: true},
	{Name: "crowd-3", About: "three nodes, as above", Readers: 3, Writers: 3, Effects: []string{}, Nodes: 3, Crowd: true},
	{Name: "crowd-1", About: "one node, as above", Readers: 3, Writers: 3, Effects: []string{}, Nodes: 1, Crowd: true},
}

// Find is a world by name.
func Find(name string) (World, bool) {
	for _, w := range slices.Concat(Worlds, Large, Crowds) {
		if w.Name == name {
			return w, true
		}
	}
	return World{}, false
}
