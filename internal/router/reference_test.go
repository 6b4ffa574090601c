package router

import (
	"cmp"
	"fmt"
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

// What follows computes by a look at everything what the router finds by its indexes, and compares the two.

// fleetWorld is a router's view of a fleet that changes at random.
type fleetWorld struct {
	router *Router
	now    int64
}

func newFleetWorld(t *rapid.T) *fleetWorld {
	w := &fleetWorld{router: &Router{environment: environment{config: config.Defaults()}, endpoints: newEndpointState(),
		connections: newEngineConnections(config.Defaults().Connections)}, now: int64(time.Hour)}
	w.update(t)
	return w
}

func fleetEngine(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 20).Draw(t, "engine")) }

// update publishes a list.
func (w *fleetWorld) update(t *rapid.T) {
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
	w.router.endpoints.noteEngines(listed, w.now)
	w.router.endpoints.setCurrent(list)
}

// change lets time pass and something happen.
func (w *fleetWorld) change(t *rapid.T) {
	w.now += rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "later")
	w.router.now = w.now
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		w.update(t)
	case 1:
		w.router.endpoints.lastResponseAt[fleetEngine(t)] = w.now - rapid.Int64Range(0, 3).Draw(t, "ago")
	default:
		if lease := w.router.connections.Acquire(fleetEngine(t), w.now, 0, 0); lease.OK && rapid.Bool().Draw(t, "idle") {
			w.router.connections.Handle(lease.ID, connpool.Dialed, w.now)
			w.router.connections.Handle(lease.ID, connpool.Released, w.now)
		}
	}
}

// scanReleaseCandidates are all that a release may go to, in order.
func (w *fleetWorld) scanReleaseCandidates(reserved *reservation.Reservation) (engines []string) {
	for _, entry := range w.router.endpoints.current.Entries {
		if !slices.Contains(reserved.ReleaseTargets, entry.ID) {
			engines = append(engines, entry.ID)
		}
	}
	at := w.router.endpoints.lastResponseAt
	slices.SortStableFunc(engines, func(a, b string) int { return cmp.Compare(at[b], at[a]) })
	if i := slices.Index(engines, reserved.Engine); i >= 0 {
		engines = slices.Insert(slices.Delete(engines, i, i+1), 0, reserved.Engine)
	}
	return engines
}

// scanFirstTargets are those of the first release.
func (w *fleetWorld) scanFirstTargets(reserved *reservation.Reservation) []string {
	engines := w.scanReleaseCandidates(reserved)
	connected := slices.IndexFunc(engines, func(engine string) bool {
		return engine != reserved.Engine && w.router.connections.HasReusable(engine, w.now, w.router.config.Connections.IdleTimeout)
	})
	switch {
	case connected < 0:
		return engines[:min(1, len(engines))]
	case engines[0] != reserved.Engine:
		return engines[connected : connected+1]
	}
	return []string{reserved.Engine, engines[connected]}
}

func TestReleaseTargetsAgreeWithAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.change(t)
		}
		reserved := &reservation.Reservation{Engine: fleetEngine(t)}
		if got, want := w.router.anyEngineTargets(reserved, true), w.scanFirstTargets(reserved); !slices.Equal(got, want) {
			t.Fatalf("the first release goes to %v, want %v", got, want)
		}
		for range 12 {
			if len(reserved.ReleaseTargets) >= len(w.router.endpoints.current.Entries) {
				reserved.ReleaseTargets = nil
			}
			want := w.scanReleaseCandidates(reserved)
			got := w.router.anyEngineTargets(reserved, false)
			if want = want[:min(parallelReleases, len(want))]; !slices.Equal(got, want) {
				t.Fatalf("a release goes to %v, want %v", got, want)
			}
			reserved.ReleaseTargets = append(reserved.ReleaseTargets, got...)
		}
	})
}

func TestListedEnginesAgreeWithAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFleetWorld(t)
		since := map[string]int64{} // not ready since
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.change(t)
			for i := range 21 {
				id := fmt.Sprint("s", i)
				at := slices.IndexFunc(w.router.endpoints.current.Entries, func(e endpoint.Entry) bool { return e.ID == id })
				var want endpoint.Entry
				if at >= 0 {
					want = w.router.endpoints.current.Entries[at]
				}
				if got := w.router.endpoints.find(id); got != want || w.router.endpoints.isListed(id) != (at >= 0) {
					t.Fatalf("%s is found as %+v, want %+v", id, got, want)
				}
				checkDrain(t, w, id, want, since)
			}
		}
	})
}

// checkDrain compares since when an engine is not ready with the test's own account. Engines that left are forgotten.
func checkDrain(t *rapid.T, w *fleetWorld, id string, entry endpoint.Entry, since map[string]int64) {
	drainedAt := w.router.endpoints.drains[id]
	switch {
	case entry.State == endpoint.Ready:
		delete(since, id)
	case since[id] == 0 && drainedAt != 0:
		since[id] = drainedAt
	}
	forgotten := entry.ID == "" && drainedAt == 0
	if drainedAt != since[id] && !forgotten {
		t.Fatalf("%s, %q, is not ready since %d, want %d", id, entry.State, drainedAt, since[id])
	}
	if entry.State == endpoint.Draining && drainedAt == 0 || entry.ID == "" && drainedAt == 0 && since[id] != 0 && w.now-since[id] <= departedRetention {
		t.Fatalf("%s, %q, counts as ready", id, entry.State)
	}
	if forgotten {
		delete(since, id)
	}
}

// BenchmarkUpdateEndpoints is a complete list in which one engine has changed.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, engines := range []int{100, 400, 1600, 3200} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			deployment := config.Defaults()
			deployment.Kinds = []config.EngineKind{{Name: "m1", Role: config.RolePrefill}, {Name: "m2", Role: config.RoleDecode}}
			w := &fleetWorld{router: New(deployment, chatapi.NewCodec(nil), 1, 1, 1, nil, ignoredLists{})}
			list := endpoint.List{}
			for i := range engines {
				list.Entries = append(list.Entries, endpoint.Entry{ID: fmt.Sprintf("s-%04d", i), Kind: fmt.Sprint("m", 1+i%2),
					Zone: "a", Weight: 1, State: endpoint.Ready, StartedAtMs: 1})
			}
			for b.Loop() {
				list.Revision++
				list.Entries = slices.Clone(list.Entries)
				list.Entries[0].State = []string{endpoint.Ready, endpoint.Draining}[list.Revision%2]
				w.router.UpdateEndpoints(list)
			}
		})
	}
}

// ignoredLists is an observer of a router that gets nothing but lists.
type ignoredLists struct{ Observer }

func (ignoredLists) AroundStep(_ routing.Event, step func()) { step() }
func (ignoredLists) EndpointsUpdated(int64, int, []string)   {}
