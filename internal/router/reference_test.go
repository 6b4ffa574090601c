package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// The tests in this file compare the results of the router's indexed lookups with those of a scan of all data.

// fleetSimulation applies random changes of a fleet to the endpoint state and the connection pool of a router.
type fleetSimulation struct {
	router *Router
	now    int64

	respondedAt map[string]int64 // time of the last response of each engine that is listed
	idleAt      map[string]int64 // time at which a connection to the engine last became idle
}

func newFleetSimulation(t *rapid.T) *fleetSimulation {
	s := &fleetSimulation{router: &Router{environment: environment{config: config.Defaults(), observer: listOnlyObserver{}}, endpoints: newEndpointState(),
		connections: newEngineConnections(config.Defaults().Connections)}, now: int64(time.Hour),
		respondedAt: map[string]int64{}, idleAt: map[string]int64{}}
	s.publishRandomList(t)
	return s
}

func randomEngine(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "engine")) }

// publishRandomList publishes a list with random states of the engines.
func (s *fleetSimulation) publishRandomList(t *rapid.T) {
	list := &endpoint.List{}
	var listed []routing.Endpoint
	for i := range 21 {
		state := rapid.SampledFrom([]string{endpoint.Ready, endpoint.Draining, ""}).Draw(t, "state")
		if id := fmt.Sprint("s", i); state != "" {
			list.Entries = append(list.Entries, endpoint.Entry{ID: id, State: state, Address: fmt.Sprint("a", i)})
			listed = append(listed, routing.Endpoint{Engine: id, Ready: state == endpoint.Ready})
		}
	}
	slices.SortFunc(list.Entries, func(a, b endpoint.Entry) int { return cmp.Compare(a.ID, b.ID) })
	s.router.endpoints.recordEngines(listed, s.now)
	s.router.endpoints.setCurrent(list)
	maps.DeleteFunc(s.respondedAt, func(engine string, _ int64) bool { return !s.router.endpoints.isListed(engine) })
}

// applyRandomEvent advances the clock and applies a random event.
func (s *fleetSimulation) applyRandomEvent(t *rapid.T) {
	s.now += rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "time")
	s.router.now = s.now
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		s.publishRandomList(t)
	case 1:
		if engine := randomEngine(t); s.router.endpoints.isListed(engine) {
			s.router.endpoints.responders.record(engine)
			s.respondedAt[engine] = s.now
		}
	default:
		engine := randomEngine(t)
		if lease := s.router.connections.Acquire(engine, s.now, 0, 0); lease.OK && rapid.Bool().Draw(t, "idle") {
			s.router.connections.Handle(lease.ID, connpool.Dialed, s.now)
			s.router.connections.Handle(lease.ID, connpool.Released, s.now)
			s.idleAt[engine] = s.now
		}
	}
}

// scanReleaseCandidates returns, in order, all engines that a release may be sent to.
func (s *fleetSimulation) scanReleaseCandidates(reserved *reservation.Reservation) (engines []string) {
	for _, entry := range s.router.endpoints.current.Entries {
		if !slices.Contains(reserved.ReleaseTargets, entry.ID) {
			engines = append(engines, entry.ID)
		}
	}
	slices.SortStableFunc(engines, func(a, b string) int { return cmp.Compare(s.respondedAt[b], s.respondedAt[a]) })
	if i := slices.Index(engines, reserved.Engine); i >= 0 {
		engines = slices.Insert(slices.Delete(engines, i, i+1), 0, reserved.Engine)
	}
	return engines
}

// scanFirstTargets returns the engines that the first release is sent to.
func (s *fleetSimulation) scanFirstTargets(reserved *reservation.Reservation) []string {
	engines := s.scanReleaseCandidates(reserved)
	connected := ""
	for _, engine := range engines {
		reusable := s.router.connections.HasReusable(engine, s.now, s.router.config.Connections.IdleTimeout)
		if engine != reserved.Engine && reusable && (connected == "" || s.idleAt[engine] > s.idleAt[connected]) {
			connected = engine
		}
	}
	switch {
	case connected == "":
		return engines[:min(1, len(engines))]
	case engines[0] != reserved.Engine:
		return []string{connected}
	}
	return []string{reserved.Engine, connected}
}

func TestReleaseTargetsMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSimulation(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.applyRandomEvent(t)
		}
		reserved := &reservation.Reservation{Engine: randomEngine(t)}
		if got, want := s.router.targetsAmongAllEngines(reserved, true), s.scanFirstTargets(reserved); !slices.Equal(got, want) {
			t.Fatalf("targets of the first release are %v, want %v", got, want)
		}
		for range 12 {
			if len(reserved.ReleaseTargets) >= len(s.router.endpoints.current.Entries) {
				reserved.ReleaseTargets = nil
			}
			want := s.scanReleaseCandidates(reserved)
			got := s.router.targetsAmongAllEngines(reserved, false)
			if want = want[:min(parallelReleases, len(want))]; !slices.Equal(got, want) {
				t.Fatalf("targets of a release are %v, want %v", got, want)
			}
			reserved.ReleaseTargets = append(reserved.ReleaseTargets, got...)
		}
	})
}

func TestEndpointLookupMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSimulation(t)
		since := map[string]int64{} // times at which engines were first not ready
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.applyRandomEvent(t)
			for i := range 21 {
				id := fmt.Sprint("s", i)
				position := slices.IndexFunc(s.router.endpoints.current.Entries, func(e endpoint.Entry) bool { return e.ID == id })
				var want endpoint.Entry
				if position >= 0 {
					want = s.router.endpoints.current.Entries[position]
				}
				if got := s.router.endpoints.find(id); got != want || s.router.endpoints.isListed(id) != (position >= 0) {
					t.Fatalf("%s is found as %+v, want %+v", id, got, want)
				}
				checkDrain(t, s, id, want, since)
			}
		}
	})
}

// checkDrain compares the router's record of when an engine was first not ready with the test's record. The router forgets
// engines that left long ago.
func checkDrain(t *rapid.T, s *fleetSimulation, id string, entry endpoint.Entry, since map[string]int64) {
	drainedAt := s.router.endpoints.drains[id]
	switch {
	case entry.State == endpoint.Ready:
		delete(since, id)
	case since[id] == 0 && drainedAt != 0:
		since[id] = drainedAt
	}
	forgotten := entry.ID == "" && drainedAt == 0
	if drainedAt != since[id] && !forgotten {
		t.Fatalf("%s, state %q: recorded as not ready since %d, want %d", id, entry.State, drainedAt, since[id])
	}
	if entry.State == endpoint.Draining && drainedAt == 0 ||
		entry.ID == "" && drainedAt == 0 && since[id] != 0 && s.now-since[id] <= departedRetention {
		t.Fatalf("%s, state %q: counts as ready", id, entry.State)
	}
	if forgotten {
		delete(since, id)
	}
}

// BenchmarkUpdateEndpoints measures the update to a complete list in which one engine has changed.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, engines := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			deployment := config.Defaults()
			deployment.Kinds = []config.EngineKind{{Name: "m1", Role: config.RolePrefill}, {Name: "m2", Role: config.RoleDecode}}
			s := &fleetSimulation{router: New(deployment, chatapi.NewCodec(nil), 1, 1, 1, nil, listOnlyObserver{})}
			list := endpoint.List{}
			for i := range engines {
				list.Entries = append(list.Entries, endpoint.Entry{ID: fmt.Sprintf("s-%04d", i), Kind: fmt.Sprint("m", 1+i%2),
					Zone: "a", Weight: 1, State: endpoint.Ready, StartedAtMs: 1})
			}
			for b.Loop() {
				list.Revision++
				list.Entries = slices.Clone(list.Entries)
				list.Entries[0].State = []string{endpoint.Ready, endpoint.Draining}[list.Revision%2]
				s.router.UpdateEndpoints(list)
			}
		})
	}
}

// listOnlyObserver is the observer of a router whose only events are endpoint lists and changes of connections.
type listOnlyObserver struct{ Observer }

func (listOnlyObserver) AroundStep(_ routing.Event, step func())   { step() }
func (listOnlyObserver) EndpointsUpdated(int64, int, []string)     {}
func (listOnlyObserver) ConnectionChanged(string, ConnectionEvent) {}
