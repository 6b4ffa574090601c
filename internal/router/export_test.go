package router

import "fmt"

// Probe asks an engine for its load.
func (o *Core) Probe(engine string) { o.startControl(&controlRequest{engine: engine}) }

// TakeNames notes so many names of requests.
func (o *Core) TakeNames(n int) {
	for i := range n {
		o.names.take(fmt.Sprint("flood", i))
	}
}

// Remembers is how many engines the core knows.
func (o *Core) Remembers() int { return max(len(o.listed), len(o.told)) }
