// Package catalog is the state of the platform's discovery as one node has heard it: whole lists and changes
// go in, the present list comes out. It does no I/O.
package catalog

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"

	"sandcourse/internal/endpoint"
)

// MaxResponseBytes is the most bytes of an answer: ten thousand engines have about three million.
const MaxResponseBytes = 4 << 20

// The words of an entry's state.
const (
	lifecycleServing  = "SERVING"
	lifecycleDraining = "DRAINING"
	lifecycleDeleted  = "DELETED"
)

// Catalog is what is known. The zero value knows nothing.
type Catalog struct {
	generation    int64
	entries       map[string]endpoint.Entry
	needsSnapshot bool // what is known is of another history than discovery's
}

type instance struct {
	ID          string      `json:"instanceId"`
	Address     string      `json:"hostPort"`
	Zone        string      `json:"zone"`
	MachineType string      `json:"machineType"`
	Cell        json.Number `json:"cell"`
	Lifecycle   string      `json:"lifecycle"`
	Weight      float64     `json:"weight"`
	StartedAtMs int64       `json:"startedAtMs"`
}

// Apply takes an answer of discovery. News says whether anything has changed. A generation that has gone back is that of a
// store which was restored: its changes do not follow what is known, so the whole list is asked for. An entry that makes no
// sense is left out, as if it were gone, and named in odd: one bad line must not hide the drain of another
// engine.
func (c *Catalog) Apply(body []byte) (changed bool, invalid []string, err error) {
	var response struct {
		Generation *int64            `json:"generation"`
		Whole      bool              `json:"reset"`
		Entries    []json.RawMessage `json:"instances"`
	}
	if len(body) > MaxResponseBytes {
		return false, nil, fmt.Errorf("list has %d bytes, at most %d are read", len(body), MaxResponseBytes)
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return false, nil, fmt.Errorf("list is cut short or is no JSON: %w", err)
	}
	if response.Generation == nil {
		return false, nil, fmt.Errorf("list has no generation")
	}
	if !response.Whole && c.entries == nil {
		return false, nil, fmt.Errorf("changes came before a whole list")
	}
	if !response.Whole && *response.Generation <= c.generation {
		c.needsSnapshot = *response.Generation < c.generation
		return false, nil, nil // nothing new, or changes that are known
	}
	before, generation := c.entries, c.generation
	c.generation, c.needsSnapshot = *response.Generation, false
	if !response.Whole {
		return true, c.applyChanges(response.Entries), nil
	}
	c.entries = map[string]endpoint.Entry{}
	invalid = c.applyChanges(response.Entries)
	changed = before == nil || c.generation != generation || !maps.Equal(before, c.entries)
	return changed, invalid, nil
}

// applyChanges takes the entries of an answer, and names those that make no sense.
func (c *Catalog) applyChanges(instances []json.RawMessage) (invalid []string) {
	for _, raw := range instances {
		var in instance
		if json.Unmarshal(raw, &in) != nil {
			// A field of a wrong kind leaves the others as they are read, so its name may still be known.
			in.Lifecycle = ""
		}
		address, err := netip.ParseAddrPort(in.Address)
		valid := in.Lifecycle == lifecycleServing || in.Lifecycle == lifecycleDraining || in.Lifecycle == lifecycleDeleted
		if in.ID == "" || !valid || in.Lifecycle != lifecycleDeleted && (err != nil || address.Port() == 0 || in.StartedAtMs < 0) {
			invalid = append(invalid, in.ID)
			delete(c.entries, in.ID)
			continue
		}
		if in.Lifecycle == lifecycleDeleted {
			delete(c.entries, in.ID)
			continue
		}
		state := endpoint.Ready
		if in.Lifecycle == lifecycleDraining {
			state = endpoint.Draining
		}
		c.entries[in.ID] = endpoint.Entry{ID: in.ID, Address: in.Address, Kind: in.MachineType, Zone: in.Zone, Cell: in.Cell.String(),
			Weight: max(0, in.Weight), State: state, StartedAtMs: in.StartedAtMs}
	}
	return invalid
}

// List is the present list, by id.
func (c *Catalog) List() endpoint.List {
	list := endpoint.List{Revision: c.generation, Entries: []endpoint.Entry{}}
	for _, id := range slices.Sorted(maps.Keys(c.entries)) {
		list.Entries = append(list.Entries, c.entries[id])
	}
	return list
}

// Query is what to ask next: what is newer than what is known, within so many milliseconds, or the whole
// list.
func (c *Catalog) Query(waitMillis int) string {
	if c.entries == nil || c.needsSnapshot {
		return ""
	}
	return "?index=" + strconv.FormatInt(c.generation, 10) + "&wait=" + strconv.Itoa(waitMillis)
}
