// Package endpoint holds the list of the engines that a router may send requests to: its form, its validation, and the
// source that watches a file for it. Other sources, such as discovery or the planner, deliver the same lists.
package endpoint

import "context"

// Entry is one engine of a list.
type Entry struct {
	ID          string  `json:"engine"` // address:port in a file
	Address     string  `json:"-"`      // where to connect to; empty where the ID is the address
	Kind        string  `json:"kind"`   // of machine, by which the settings know its role and memory
	Zone        string  `json:"zone,omitempty"`
	Cell        string  `json:"cell,omitempty"`
	Weight      float64 `json:"weight,omitempty"`
	State       string  `json:"state"`
	StartedAtMs int64   `json:"up_since_ms,omitempty"` // Unix milliseconds; 0 for long ago
	RoleEpoch   int64   `json:"epoch,omitempty"`       // 0 where the role never changes
}

// The values of Entry.State, which is no type of its own as refusals name the types of fields. An engine that has stopped is
// not listed.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List is a complete list; it replaces the one before. Its revision only grows.
type List struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"engines"`
}

// Source delivers endpoint lists.
type Source interface {
	// Run passes lists to onList until ctx ends, each of which replaces the one before. Errors go to onError; the last list
	// stays valid then.
	Run(ctx context.Context, onList func(List), onError func(error))
}
