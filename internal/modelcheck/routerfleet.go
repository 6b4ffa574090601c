package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
)

// fleet is several routers on the same engines. They share engines, endpoint list and time, and nothing else: events of
// two routers commute. So, unless the world asks for all orders, between two shared events those of a router of lower
// number come first. That leaves out orders, never states; TestRouterOrderReductionIsComplete compares with the search
// of all orders.
type fleet struct {
	world           World
	routers         []*simulation
	endpoints       endpoint.List
	nextRouter      int // no event of a router below this number before the next shared one
	violated        violationLog
	maxColdAttempts int // to a warming engine in one window
}

func newFleet(w World) *fleet {
	f := &fleet{world: w}
	for i := range w.Routers {
		f.routers = append(f.routers, newRouterSimulation(w, i, false))
	}
	f.endpoints = f.routers[0].endpoints
	return f
}

func (f *fleet) enabledEvents() []Event { return f.enabledFrom(f.nextRouter) }

// enabledFrom lists what may happen, at routers from a number on.
func (f *fleet) enabledFrom(first int) []Event {
	list := &eventList{world: f.world, faultsUsed: f.routers[0].faultsUsed}
	pending, quiescent := false, true
	for i, s := range f.routers {
		own, busy := s.routerEvents()
		pending, quiescent = pending || busy, quiescent && s.isQuiescent()
		if s.endpoints.Revision < f.endpoints.Revision {
			own.addNamed(noFault, func() {
				s.endpoints = f.endpoints
				s.updateEndpoints()
			}, "receives the endpoint list")
		}
		if i >= first || f.world.AllOrders {
			list.events = append(list.events, f.ofRouter(i, own.events)...)
		}
	}
	f.addSharedEvents(list, !pending && !quiescent)
	return list.events
}

// ofRouter is the events of one router as those of the fleet.
func (f *fleet) ofRouter(i int, own []Event) (events []Event) {
	for _, e := range own {
		apply := e.apply
		e.Name = fmt.Sprintf("router %d: %s", i, e.Name)
		e.apply = func() { f.nextRouter = i; apply() }
		events = append(events, e)
	}
	return events
}

// addSharedEvents adds the events that concern all routers.
func (f *fleet) addSharedEvents(list *eventList, timeMayPass bool) {
	add := func(name string, fault FaultKind, apply func()) {
		list.add(Event{Name: name, fault: fault, apply: func() { f.nextRouter = 0; apply() }})
	}
	for i, e := range f.endpoints.Entries {
		if e.State != endpoint.Ready {
			continue
		}
		add(drainName(e.ID), FaultDrain, func() { f.endpoints = withDraining(f.endpoints, i) })
		add(restartName(e.ID), FaultRestart, func() { f.restartEngine(i) })
	}
	if !timeMayPass {
		return
	}
	due := f.routers[0].core.NextDue()
	for _, s := range f.routers {
		due = min(due, s.core.NextDue())
	}
	due = max(due, f.routers[0].now)
	add("time passes", noFault, func() { f.advanceTo(due) })
	add(lateTimerName, FaultLate, func() { f.advanceTo(due + int64(timerDelay)) })
}

func (f *fleet) restartEngine(i int) {
	f.endpoints = withRestarted(f.endpoints, i, f.routers[0].now)
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
	used := f.routers[0].faultsUsed
	if e.fault != noFault {
		used++
	}
	for _, s := range f.routers { // what the adversary injects at one router it has used up at all
		s.faultsUsed = used
	}
	e.apply()
	for _, s := range f.routers {
		s.checkState()
	}
	f.checkColdBudget()
}

// budgetSlack is how many attempts beyond the budget are no violation: attempts are whole, the budget is not.
const budgetSlack = 2

// checkColdBudget adds up what all routers sent each warming engine within one window.
func (f *fleet) checkColdBudget() {
	rules := f.routers[0].deployment.Rules
	budget := rules.OverloadMultiple*rules.SlowStartShare*warmRate*rules.OverloadWindow.Seconds() + budgetSlack
	for _, e := range f.endpoints.Entries {
		count := 0
		for _, s := range f.routers {
			s.coldAttempts = slices.DeleteFunc(s.coldAttempts, func(a coldAttempt) bool {
				return s.now-a.at >= int64(rules.OverloadWindow) || s.now-a.startedAt >= int64(rules.SlowStart)
			})
			for _, a := range s.coldAttempts {
				if a.engine == e.ID {
					count++
				}
			}
		}
		f.maxColdAttempts = max(f.maxColdAttempts, count)
		if float64(count) > budget {
			f.violated.add("P14 %s is warming up and gets %d attempts in %v, budget %.0f", e.ID, count, rules.OverloadWindow, budget)
		}
	}
}

func (f *fleet) violations() (texts []string) {
	texts = append(texts, f.violated.texts...)
	for i, s := range f.routers {
		for _, violation := range s.violations() {
			texts = append(texts, fmt.Sprintf("%s (router %d)", violation, i))
		}
	}
	return texts
}

func (f *fleet) isTerminal() bool { return len(f.enabledFrom(0)) == 0 }

func (f *fleet) checkTerminal() {
	for _, s := range f.routers {
		s.checkTerminal()
	}
}

// fingerprint leaves out the order of routers at an end, where nothing depends on it any more.
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

func (f *fleet) describe() (lines []string) {
	for i, s := range f.routers {
		for _, line := range s.describe() {
			lines = append(lines, fmt.Sprintf("router %d: %s", i, line))
		}
	}
	return lines
}

func (f *fleet) clientOutcomes() (outcomes []string) {
	for _, s := range f.routers {
		outcomes = append(outcomes, s.clientOutcomes()...)
	}
	return outcomes
}

func (f *fleet) elapsed() time.Duration { return f.routers[0].elapsed() }
