package node

// Remembers is how many engines the core knows.
func (o *Core) Remembers() int { return max(len(o.listed), len(o.told)) }
