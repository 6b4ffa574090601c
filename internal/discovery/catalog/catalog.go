// Package catalog maintains the endpoint list of one node from the snapshots and changes that the operators' discovery service
// sends. It does no I/O.
package catalog

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"sandcourse/internal/endpoint"
)

// MaxResponseBytes is the maximum size of a response of the discovery service.
const MaxResponseBytes = endpoint.MaxListBytes

// Catalog is the last state received from the discovery service. The zero value is a catalog before the first response.
type Catalog struct {
	generation    int64
	entries       map[string]endpoint.Entry // entries by ID; nil before the first snapshot
	ids           []string                  // sorted IDs of the entries; List updates it if idsStale is set
	idsStale      bool
	needsSnapshot bool // the store of the discovery service was restored, so changes do not apply to the entries
}

// Update is the result of applying a response.
type Update struct {
	Changed bool     // the list has changed
	Invalid []string // IDs of invalid instances, which are not in the list; an ID is empty if the instance has none
}

// Apply updates the catalog with a response of the discovery service. If it returns an error, the catalog is unchanged.
//
// A generation lower than the last one shows that the store of the discovery service was restored. Its changes do not apply to
// the known entries, so the next query requests a snapshot. An invalid instance is removed like a deleted one instead of
// failing the whole response, which may report that another instance is draining.
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
		return Update{}, nil // The response has no changes, or changes that were applied before.
	}
	c.generation, c.needsSnapshot = r.Generation, false
	return Update{Changed: true, Invalid: c.applyInstances(r)}, nil
}

func (c *Catalog) applySnapshot(r *response) Update {
	lastEntries, lastGeneration := c.entries, c.generation
	c.generation, c.needsSnapshot = r.Generation, false
	c.entries, c.idsStale = map[string]endpoint.Entry{}, true
	invalid := c.applyInstances(r)
	changed := lastEntries == nil || c.generation != lastGeneration || !maps.Equal(lastEntries, c.entries)
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
			previousCount := len(c.entries)
			c.entries[in.ID] = in.entry()
			c.idsStale = c.idsStale || len(c.entries) > previousCount
		}
	}
	return invalid
}

// List returns the current list, sorted by ID.
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

// Query returns the query string of the next request: for a watch with the given wait, or empty to request a snapshot.
func (c *Catalog) Query(wait time.Duration) string {
	if c.entries == nil || c.needsSnapshot {
		return ""
	}
	return "?index=" + strconv.FormatInt(c.generation, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
