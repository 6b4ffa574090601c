package modelcheck

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
)

// fleet is several nodes on the same engines. They share engines, list and time, and nothing else: events of
// two nodes commute. So, unless the world is plain, between two shared events those of a node of lower number
// come first. That leaves out orders, never states; TestOrderOfNodesLosesNothing compares with the plain
// search.
type fleet struct {
	world           World
	routers         []*simulation
	endpoints       endpoint.List
	nextRouter      int // no event of a node under this number before the next shared one
	violated        []string
	maxColdAttempts int // sends to a cold engine in one window
}

func newFleet(w World) *fleet {
	f := &fleet{world: w}
	for i := range w.Routers {
		f.routers = append(f.routers, newRouterSimulation(w, i, false))
	}
	f.endpoints = f.routers[0].endpoints
	return f
}

// shareFaultCount tells all nodes what the adversary has used up at all nodes.
func (f *fleet) shareFaultCount(faults int) {
	for _, s := range f.routers {
		s.faultsUsed = faults
	}
}

func (f *fleet) enabledEvents() []Event { return f.enabledFrom(f.nextRouter) }

// enabledFrom lists what may happen, of nodes from a number on.
func (f *fleet) enabledFrom(from int) (list []Event) {
	pending, quiet := false, true
	for i, s := range f.routers {
		own, busy := s.routerEvents()
		pending, quiet = pending || busy, quiet && s.isQuiescent()
		if s.endpoints.Revision < f.endpoints.Revision {
			own = append(own, Event{Name: "hears the list", apply: func() {
				s.endpoints = f.endpoints
				s.updateEndpoints()
			}})
		}
		if i < from && !f.world.AllOrders {
			continue
		}
		for _, e := range own {
			apply := e.apply
			list = append(list, Event{fmt.Sprintf("node %d: %s", i, e.Name), e.faultKind,
				func() { f.nextRouter = i; apply() }})
		}
	}
	shared := func(name, faultKind string, apply func()) {
		if faultKind == "" || f.routers[0].mayInject(faultKind) {
			list = append(list, Event{name, faultKind, func() { f.nextRouter = 0; apply() }})
		}
	}
	for i, e := range f.endpoints.Entries {
		if e.State != endpoint.Ready {
			continue
		}
		shared("the list says that "+e.ID+" drains", "drain", func() {
			f.endpoints.Revision++
			f.endpoints.Entries = slices.Clone(f.endpoints.Entries)
			f.endpoints.Entries[i].State = endpoint.Draining
		})
		shared(e.ID+" restarts cold", "restart", func() { f.restartEngine(i) })
	}
	if !pending && !quiet {
		due := f.routers[0].core.NextDue()
		for _, s := range f.routers {
			due = min(due, s.core.NextDue())
		}
		due = max(due, f.routers[0].now)
		shared("time passes", "", func() { f.advanceTo(due) })
		shared(fmt.Sprintf("time passes, and the timers run %v late", timerDelay), "late", func() {
			f.advanceTo(due +
				int64(timerDelay))
		})
	}
	return list
}

func (f *fleet) restartEngine(i int) {
	f.endpoints.Revision++
	f.endpoints.Entries = slices.Clone(f.endpoints.Entries)
	f.endpoints.Entries[i].StartedAtMs = f.routers[0].now / 1e6
	for _, s := range f.routers {
		s.endpoints = f.endpoints
		s.restartEngine(f.endpoints.Entries[i].ID)
	}
}

func (f *fleet) advanceTo(to int64) {
	for _, s := range f.routers {
		s.advanceTo(to)
	}
}

func (f *fleet) apply(e Event) {
	faults := f.routers[0].faultsUsed
	if e.faultKind != "" {
		faults++
	}
	f.shareFaultCount(faults)
	e.apply()
	for _, s := range f.routers {
		s.checkState()
	}
	f.checkColdBudget()
}

// Each engine of a crowd, when warm, does this many sends a second; of which the budget of a cold one is
// made.
const warmRate = 60.0

// checkColdBudget adds up what all nodes sent each cold engine within one window. Two of slack: sends are lumps.
func (f *fleet) checkColdBudget() {
	u := f.routers[0].deployment.Rules
	budget := u.OverloadMultiple*u.SlowStartShare*warmRate*u.OverloadWindow.Seconds() + 2
	for _, e := range f.endpoints.Entries {
		n := 0
		for _, s := range f.routers {
			s.coldAttempts = slices.DeleteFunc(s.coldAttempts, func(c coldAttempt) bool {
				return s.now-c.at >= int64(u.OverloadWindow) || s.now-c.startedAt >= int64(u.SlowStart)
			})
			for _, c := range s.coldAttempts {
				if c.engine == e.ID {
					n++
				}
			}
		}
		f.maxColdAttempts = max(f.maxColdAttempts, n)
		if float64(n) > budget {
			f.violated = append(f.violated, fmt.Sprintf("P14 %s is cold and gets %d sends in %v, budget %.0f",
				e.ID, n, u.OverloadWindow, budget))
		}
	}
}

func (f *fleet) violations() (list []string) {
	list = append(list, f.violated...)
	for i, s := range f.routers {
		for _, violation := range s.violated {
			list = append(list, fmt.Sprintf("%s (node %d)", violation, i))
		}
	}
	return list
}

func (f *fleet) isTerminal() bool { return len(f.enabledFrom(0)) == 0 }

func (f *fleet) checkTerminal() {
	for _, s := range f.routers {
		s.checkTerminal()
	}
}

// fingerprint leaves out the turn at an end, where nothing hangs on it any more.
func (f *fleet) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range f.routers {
		fmt.Fprintln(h, s.fingerprint(), s.endpoints.Revision)
	}
	fmt.Fprintln(h, f.endpoints)
	if !f.world.AllOrders && !f.isTerminal() {
		fmt.Fprintln(h, f.nextRouter)
	}
	return h.Sum64()
}

func (f *fleet) coverage() (c Coverage) {
	for _, s := range f.routers {
		c.Add(s.coverage())
	}
	return c
}

func (f *fleet) describe() (list []string) {
	for i, s := range f.routers {
		for _, line := range s.describe() {
			list = append(list, fmt.Sprintf("node %d: %s", i, line))
		}
	}
	return list
}

func (f *fleet) clientOutcomes() (list []string) {
	for _, s := range f.routers {
		list = append(list, s.clientOutcomes()...)
	}
	return list
}

func (f *fleet) elapsed() time.Duration { return f.routers[0].elapsed() }

// SimulateCrowd is one long day of many nodes: steady arrivals at all, then an engine of each role restarts cold,
// twice, and arrivals come at thrice the pace for three seconds, as clients who come back bring it. The wire
// is kind and engines answer as fast as they can when warm, so that all that holds work back from a cold
// engine is what the nodes decide, each on its own.
func SimulateCrowd(w World, seed uint64, until func() bool) (r Result) {
	r.World = w
	rng := rand.New(rand.NewPCG(seed, 300))
	f := newFleet(w)
	// 0.75 of what warm engines can do: a crowd that measures its engines at less grants less.
	rate := 0.75 * warmRate * float64(min(w.PrefillEngines, w.DecodeEngines)) / float64(w.Routers)
	end := 24 * time.Second
	restarts := []time.Duration{6 * time.Second, 15 * time.Second}
	burst := time.Duration(0)
	left := map[string]float64{} // answers that an engine can give now
	const pace = 5 * time.Millisecond
	for at := time.Duration(0); at < end && len(f.violations()) == 0 && (until == nil || !until()); at += pace {
		if len(restarts) > 0 && at >= restarts[0] {
			f.restartEngine(len(restarts) - 1)
			f.restartEngine(w.PrefillEngines + len(restarts) - 1)
			restarts, burst = restarts[1:], at+3*time.Second
			r.Ends++
		}
		pressed := rate
		if at < burst {
			pressed *= 3
		}
		for _, e := range f.endpoints.Entries {
			left[e.ID] = min(left[e.ID]+warmRate*pace.Seconds(), 8) // 8: slots of one
		}
		now := int64(1000*time.Second) + int64(at)
		for _, s := range f.routers {
			begun := len(s.clients) > 0
			if s.core.NextDue() <= now || begun {
				s.advanceTo(now)
			}
			s.now = now
			if rng.Float64() < pressed*pace.Seconds() {
				s.sendRequest(s.addClient("retriable"))
				begun = true
			}
			for begun {
				e := f.nextHealthyEvent(s, left)
				if e == nil {
					break
				}
				e.apply()
				r.Transitions++
			}
			s.clients = slices.DeleteFunc(s.clients, func(c *simulatedClient) bool { return c.endedAt > 0 })
			s.connections = slices.DeleteFunc(s.connections, func(connection *simulatedConnection) bool { return connection.closed })
		}
		f.checkColdBudget()
		r.Depth++
	}
	r.MaxColdAttempts, r.States, r.Violations, r.Coverage = f.maxColdAttempts, r.Transitions, f.violations(), f.coverage()
	r.Complete = len(r.Violations) == 0
	return r
}

// nextHealthyEvent is the next event at a node that is no fault, with engines answering no faster than they can.
func (f *fleet) nextHealthyEvent(s *simulation, left map[string]float64) *Event {
	list, pending := s.routerEvents()
	if !pending {
		return nil
	}
	for _, e := range list {
		_, rest, _ := strings.Cut(e.Name, " at ")
		name, did, _ := strings.Cut(rest, " ")
		works := did == "ends" || did == "gives its first token"
		switch {
		case e.faultKind != "" || works && left[name] < 1 || did == "is not heard of":
			continue
		case works:
			left[name]--
		}
		return &e
	}
	return nil
}
