// Package endpoint defines the list of engines that a router may send requests to: its format, its validation, and a source
// that polls a file. Other sources, such as discovery or the planner, deliver lists of the same type.
package endpoint

import "context"

// Entry is one engine of a list.
type Entry struct {
	ID          string  `json:"engine"` // ID of the engine: in a file, its address:port
	Address     string  `json:"-"`      // address to connect to; empty if the ID is the address
	Kind        string  `json:"kind"`   // kind of machine; the settings define its role and memory
	Zone        string  `json:"zone,omitempty"`
	Cell        string  `json:"cell,omitempty"`
	Weight      float64 `json:"weight,omitempty"`
	State       string  `json:"state"`
	StartedAtMs int64   `json:"up_since_ms,omitempty"` // start time in Unix milliseconds; 0 if the engine started long ago
	RoleEpoch   int64   `json:"epoch,omitempty"`       // epoch of the engine's role; 0 if the role never changes
}

// The values of Entry.State. The field is a plain string because error messages print the types of fields. A stopped engine is
// not listed.
const (
	Ready    = "ready"
	Draining = "draining"
)

// List is a complete endpoint list, which replaces the previous one. The revision never decreases.
type List struct {
	Revision int64   `json:"revision"`
	Entries  []Entry `json:"engines"`
}

// Source delivers endpoint lists.
type Source interface {
	// Run passes lists to onList until ctx ends; each replaces the previous one. It passes errors to onError; the last list
	// stays valid after an error.
	Run(ctx context.Context, onList func(List), onError func(error))
}
