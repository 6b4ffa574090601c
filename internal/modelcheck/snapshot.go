package modelcheck

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"

	"sandcourse/internal/config"
)

// The stored form of a snapshot. Encoding/gob writes the names of the fields to files, so they must not change.
type (
	storedSnapshot struct {
		World  storedWorld
		Front  []Path
		Seen   map[uint64]struct{}
		Ended  map[uint64]struct{}
		Result storedResult
	}
	storedWorld struct {
		Name, About         string
		Readers, Writers    int
		Effects             []config.Effect
		Faults              int
		Kinds               []FaultKind
		PerConn             int
		Probes              bool
		Open, Nodes         int
		Plain, Roles, Crowd bool
	}
	storedResult struct {
		World                                    storedWorld
		States, Transitions, Merged, Ends, Depth int
		Complete                                 bool
		Broken                                   []string
		Path                                     Path
		Took                                     storedCoverage
		EndsSum                                  uint64
		Cold                                     int
	}
	storedCoverage struct{ Brain, Attempt, Conns, Roles uint64 }
)

// ErrNoFrontier is returned for a stored snapshot without a frontier, which another version of the program has written.
var ErrNoFrontier = errors.New("stored snapshot has no frontier")

// Encode writes the snapshot in its stored form.
func (s *Snapshot) Encode(w io.Writer) error {
	world, r := storeWorld(s.World), s.Result
	return gob.NewEncoder(w).Encode(storedSnapshot{World: world, Front: s.Frontier, Seen: s.Visited, Ended: s.TerminalStates,
		Result: storedResult{World: world, States: r.States, Transitions: r.Transitions, Merged: r.Merged, Ends: r.TerminalStates, Depth: r.Depth,
			Complete: r.Complete, Broken: r.Violations, Path: r.Path, Took: storeCoverage(r.Coverage),
			EndsSum: r.TerminalStatesChecksum, Cold: r.MaxColdAttempts}})
}

// DecodeSnapshot reads a snapshot that Encode has written. The error is ErrNoFrontier or an error of the decoder.
func DecodeSnapshot(reader io.Reader) (*Snapshot, error) {
	var stored storedSnapshot
	if err := gob.NewDecoder(reader).Decode(&stored); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	if len(stored.Front) == 0 {
		return nil, ErrNoFrontier
	}
	if stored.Ended == nil { // Package encoding/gob omits empty maps.
		stored.Ended = map[uint64]struct{}{}
	}
	w, r := stored.World.restore(), stored.Result
	result := Result{World: w, States: r.States, Transitions: r.Transitions, Merged: r.Merged, TerminalStates: r.Ends, Depth: r.Depth,
		Complete: r.Complete, Violations: r.Broken, Path: r.Path, TerminalStatesChecksum: r.EndsSum, MaxColdAttempts: r.Cold,
		Coverage: Coverage{Routing: r.Took.Brain, Attempt: r.Took.Attempt, Connections: r.Took.Conns, Assignment: r.Took.Roles}}
	return &Snapshot{World: w, Frontier: stored.Front, Visited: stored.Seen, TerminalStates: stored.Ended, Result: result}, nil
}

func storeCoverage(c Coverage) storedCoverage {
	return storedCoverage{Brain: c.Routing, Attempt: c.Attempt, Conns: c.Connections, Roles: c.Assignment}
}

func storeWorld(w World) storedWorld {
	return storedWorld{Name: w.Name, About: w.About, Readers: w.PrefillEngines, Writers: w.DecodeEngines, Effects: w.Effects,
		Faults: w.Faults, Kinds: w.FaultKinds, PerConn: w.ConnectionsPerEngine, Probes: w.HealthChecks, Open: w.MaxOpenRequests,
		Nodes: w.Routers, Plain: w.AllInterleavings, Roles: w.RoleChanges, Crowd: w.Crowd}
}

func (w storedWorld) restore() World {
	return World{Name: w.Name, About: w.About, PrefillEngines: w.Readers, DecodeEngines: w.Writers, Effects: w.Effects,
		Faults: w.Faults, FaultKinds: w.Kinds, ConnectionsPerEngine: w.PerConn, HealthChecks: w.Probes, MaxOpenRequests: w.Open,
		Routers: w.Nodes, AllInterleavings: w.Plain, RoleChanges: w.Roles, Crowd: w.Crowd}
}
