// Package catalog holds the state of the operators' discovery as one node has received it: snapshots and changes go in,
// the present endpoint list comes out. It does no I/O.
package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sandcourse/internal/endpoint"
)

// MaxResponseBytes bounds a response of discovery.
const MaxResponseBytes = endpoint.MaxListBytes

// Catalog is the state that is known of discovery. The zero value knows nothing.
type Catalog struct {
	generation    int64
	entries       map[string]endpoint.Entry // by ID; nil before the first snapshot
	ids           []string                  // of the entries, sorted; renewed by List where idsStale is set
	idsStale      bool
	needsSnapshot bool // discovery's history is another one than that of the entries
}

// Update is what a response has brought.
type Update struct {
	Changed bool     // there is a new list
	Invalid []string // IDs of the instances that were left out; an ID is empty where the instance shows none
}

// Apply handles a response of discovery. An error leaves the state as it was.
//
// A generation that has gone back is that of a store which was restored: its changes do not follow what is known, so the
// next query asks for a snapshot. An invalid instance is left out as if it were gone, so that it does not hide the drain of
// another one.
func (c *Catalog) Apply(body []byte) (Update, error) {
	r, err := parseResponse(body)
	if err != nil {
		return Update{}, err
	}
	if r.Snapshot {
		return c.applySnapshot(r), nil
	}
	if c.entries == nil {
		return Update{}, ErrNoSnapshot
	}
	if r.Generation <= c.generation {
		c.needsSnapshot = r.Generation < c.generation
		return Update{}, nil // nothing new, or changes that are known
	}
	c.generation, c.needsSnapshot = r.Generation, false
	return Update{Changed: true, Invalid: c.applyInstances(r)}, nil
}

func (c *Catalog) applySnapshot(r *response) Update {
	before, lastGeneration := c.entries, c.generation
	c.generation, c.needsSnapshot = r.Generation, false
	c.entries, c.idsStale = map[string]endpoint.Entry{}, true
	invalid := c.applyInstances(r)
	changed := before == nil || c.generation != lastGeneration || !maps.Equal(before, c.entries)
	return Update{Changed: changed, Invalid: invalid}
}

// applyInstances updates the entries and returns the IDs of invalid instances.
func (c *Catalog) applyInstances(r *response) (invalid []string) {
	for _, raw := range r.Instances {
		in := parseInstance(raw)
		switch {
		case !in.valid():
			invalid = append(invalid, in.ID)
			delete(c.entries, in.ID)
			c.idsStale = true
		case in.Lifecycle == deleted:
			delete(c.entries, in.ID)
			c.idsStale = true
		default:
			known := len(c.entries)
			c.entries[in.ID] = in.entry()
			c.idsStale = c.idsStale || len(c.entries) > known
		}
	}
	return invalid
}

// List is the present list, sorted by ID.
func (c *Catalog) List() endpoint.List {
	if c.idsStale {
		c.ids, c.idsStale = slices.Sorted(maps.Keys(c.entries)), false
	}
	list := endpoint.List{Revision: c.generation, Entries: make([]endpoint.Entry, 0, len(c.ids))}
	for _, id := range c.ids {
		list.Entries = append(list.Entries, c.entries[id])
	}
	return list
}

// Query is the query of the next request: for a watch event within the wait, or empty for a snapshot.
func (c *Catalog) Query(wait time.Duration) string {
	if c.entries == nil || c.needsSnapshot {
		return ""
	}
	return "?index=" + strconv.FormatInt(c.generation, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
