package node

// Probe asks an engine for its load.
func (o *Core) Probe(engine string) { o.startControl(&controlRequest{engine: engine}) }

// Remembers is how many engines the core knows.
func (o *Core) Remembers() int { return max(len(o.listed), len(o.told)) }
