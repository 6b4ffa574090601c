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

// MaxAnswer is the most bytes of an answer: ten thousand engines have about three million.
const MaxAnswer = 4 << 20

// The words of an entry's state.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// Catalog is what is known. The zero value knows nothing.
type Catalog struct {
	generation int64
	engines    map[string]endpoint.Entry
	wantsWhole bool // what is known is of another history than discovery's
}

type entry struct {
	ID      string      `json:"instanceId"`
	Host    string      `json:"hostPort"`
	Zone    string      `json:"zone"`
	Kind    string      `json:"machineType"`
	Cell    json.Number `json:"cell"`
	State   string      `json:"lifecycle"`
	Weight  float64     `json:"weight"`
	Started int64       `json:"startedAtMs"`
}

// Take takes an answer of discovery. News says whether anything has changed. A generation that has gone back is that of a
// store which was restored: its changes do not follow what is known, so the whole list is asked for. An entry that makes no
// sense is left out, as if it were gone, and named in odd: one bad line must not hide the drain of another
// engine.
func (c *Catalog) Take(answer []byte) (news bool, odd []string, err error) {
	var a struct {
		Generation *int64            `json:"generation"`
		Whole      bool              `json:"reset"`
		Entries    []json.RawMessage `json:"instances"`
	}
	if len(answer) > MaxAnswer {
		return false, nil, fmt.Errorf("list has %d bytes, at most %d are read", len(answer), MaxAnswer)
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return false, nil, fmt.Errorf("list is cut short or is no JSON: %w", err)
	}
	if a.Generation == nil {
		return false, nil, fmt.Errorf("list has no generation")
	}
	if !a.Whole && c.engines == nil {
		return false, nil, fmt.Errorf("changes came before a whole list")
	}
	if !a.Whole && *a.Generation <= c.generation {
		c.wantsWhole = *a.Generation < c.generation
		return false, nil, nil // nothing new, or changes that are known
	}
	before, generation := c.engines, c.generation
	c.generation, c.wantsWhole = *a.Generation, false
	if !a.Whole {
		return true, c.put(a.Entries), nil
	}
	c.engines = map[string]endpoint.Entry{}
	odd = c.put(a.Entries)
	news = before == nil || c.generation != generation || !maps.Equal(before, c.engines)
	return news, odd, nil
}

// put takes the entries of an answer, and names those that make no sense.
func (c *Catalog) put(entries []json.RawMessage) (odd []string) {
	for _, line := range entries {
		var e entry
		if json.Unmarshal(line, &e) != nil {
			// A field of a wrong kind leaves the others as they are read, so its name may still be known.
			e.State = ""
		}
		at, err := netip.ParseAddrPort(e.Host)
		known := e.State == serving || e.State == draining || e.State == deleted
		if e.ID == "" || !known || e.State != deleted && (err != nil || at.Port() == 0 || e.Started < 0) {
			odd = append(odd, e.ID)
			delete(c.engines, e.ID)
			continue
		}
		if e.State == deleted {
			delete(c.engines, e.ID)
			continue
		}
		state := endpoint.Ready
		if e.State == draining {
			state = endpoint.Draining
		}
		c.engines[e.ID] = endpoint.Entry{Engine: e.ID, Host: e.Host, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell.String(),
			Weight: max(0, e.Weight), State: state, UpSince: e.Started}
	}
	return odd
}

// List is the present list, by id.
func (c *Catalog) List() endpoint.List {
	list := endpoint.List{Revision: c.generation, Engines: []endpoint.Entry{}}
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		list.Engines = append(list.Engines, c.engines[id])
	}
	return list
}

// Query is what to ask next: what is newer than what is known, within so many milliseconds, or the whole
// list.
func (c *Catalog) Query(waitMs int) string {
	if c.engines == nil || c.wantsWhole {
		return ""
	}
	return "?index=" + strconv.FormatInt(c.generation, 10) + "&wait=" + strconv.Itoa(waitMs)
}
