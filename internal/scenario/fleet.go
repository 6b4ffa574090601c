// Package scenario runs scripted scenarios: fake engines, several edges, traffic and faults in one process on loopback
// sockets. Package audit checks the records of a run for violated invariants.
package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
)

// endpointFileName is the name of the endpoint list file in the folder of a scenario.
const endpointFileName = "roster.json"

// cellSize is the number of engines per cell.
const cellSize = 5

// Fleet is a set of fake engines with the endpoint list file that names them.
type Fleet struct {
	Log          *audit.Log
	Engines      []*engine.Engine
	EndpointFile string

	mu            sync.Mutex
	endpoints     endpoint.List
	listDelay     time.Duration // delay from a change to its publication
	delayedWrites sync.WaitGroup
	writeList     func(path string, list endpoint.List) error
}

// StartFleet starts engines and writes the first endpoint list to a folder.
func StartFleet(dir string, configs []engine.Config, log *audit.Log) (*Fleet, error) {
	f := &Fleet{Log: log, EndpointFile: filepath.Join(dir, endpointFileName), writeList: endpoint.WriteFile}
	keys := &engine.IdempotencyKeys{}
	for i, c := range configs {
		e, err := engine.Start(c, log, keys)
		if err != nil {
			f.Stop()
			return nil, err
		}
		f.Engines = append(f.Engines, e)
		f.endpoints.Entries = append(f.endpoints.Entries, endpoint.Entry{ID: e.Addr(), Kind: engineKind(c.Role), Weight: 1,
			Cell: fmt.Sprint("c", i%max(1, len(configs)/cellSize)), State: endpoint.Ready})
	}
	f.endpoints.Revision = 1
	return f, endpoint.WriteFile(f.EndpointFile, f.endpoints)
}

// engineKind returns the kind of engine that the endpoint list has for a role.
func engineKind(role string) string {
	if config.Role(role) == config.RoleDecode {
		return "decode"
	}
	return "prefill"
}

// Stop waits for delayed writes of the endpoint list and stops all engines.
func (f *Fleet) Stop() {
	f.delayedWrites.Wait()
	for _, e := range f.Engines {
		e.Stop()
	}
}

// updateList changes the endpoint list and publishes it after listDelay.
func (f *Fleet) updateList(change func(list *endpoint.List)) {
	f.mu.Lock()
	change(&f.endpoints)
	f.endpoints.Revision++
	delay := f.listDelay
	f.mu.Unlock()
	if delay == 0 {
		f.publish()
		return
	}
	f.delayedWrites.Go(func() { time.Sleep(delay); f.publish() })
}

// publish writes the endpoint list and records which engines are listed as ready. Edges may read the new list at any time
// during the write, so ready engines are recorded as ready before the write, and all others as not ready after the write.
func (f *Fleet) publish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.endpoints
	list.Entries = slices.Clone(list.Entries)
	before := time.Now()
	if err := f.writeList(f.EndpointFile, list); err != nil {
		fmt.Fprintln(os.Stderr, "scenario: cannot write the endpoint list:", err)
		return
	}
	after := time.Now()
	ready := map[string]bool{}
	for _, e := range list.Entries {
		ready[e.ID] = e.State == endpoint.Ready
	}
	for _, e := range f.Engines {
		change := audit.ReadinessChange{At: after, Engine: e.Addr(), Ready: ready[e.Addr()]}
		if change.Ready {
			change.At = before
		}
		f.Log.RecordReadiness(change)
	}
}

// DelayList delays the publication of all later changes.
func (f *Fleet) DelayList(delay time.Duration) { f.mu.Lock(); f.listDelay = delay; f.mu.Unlock() }

// Drain lists an engine as draining, or as ready if draining is false.
func (f *Fleet) Drain(e *engine.Engine, draining bool) {
	state := endpoint.Ready
	if draining {
		state = endpoint.Draining
	}
	f.updateList(func(list *endpoint.List) {
		for i := range list.Entries {
			if list.Entries[i].ID == e.Addr() {
				list.Entries[i].State = state
			}
		}
	})
}

// Remove removes an engine from the endpoint list. Restore lists it again.
func (f *Fleet) Remove(e *engine.Engine) {
	f.updateList(func(list *endpoint.List) {
		list.Entries = slices.DeleteFunc(list.Entries, func(entry endpoint.Entry) bool { return entry.ID == e.Addr() })
	})
}

// heldReservations returns the number of reservations that the engines hold.
func (f *Fleet) heldReservations() (count int) {
	for _, e := range f.Engines {
		count += e.HeldReservations()
	}
	return count
}

// Restore lists an engine as ready, with the current time as its start time.
func (f *Fleet) Restore(e *engine.Engine) {
	f.updateList(func(list *endpoint.List) {
		entry := endpoint.Entry{ID: e.Addr(), Kind: engineKind(e.Role()), Weight: 1, Cell: "c0", State: endpoint.Ready,
			StartedAtMs: time.Now().UnixMilli()}
		for i, old := range list.Entries {
			if old.ID == e.Addr() {
				entry.Cell = old.Cell
				list.Entries[i] = entry
				return
			}
		}
		list.Entries = append(list.Entries, entry)
	})
}
