package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
)

// fleet is a set of routers that use the same engines. The routers share only the engines, the endpoint list and the time, so
// events of two routers commute. Unless World.AllInterleavings is set, events between two shared events are therefore explored
// only in the order of router index (a partial-order reduction). The reduction skips interleavings but no states;
// TestRouterOrderReductionIsComplete compares it with the search of all interleavings.
type fleet struct {
	world           World
	routers         []*simulation
	endpoints       endpoint.List
	nextRouter      int // routers below this index have no more events until the next shared event
	violationLog    violationLog
	maxColdAttempts int // maximum number of attempts to a warming engine in one window
}

func newFleet(w World) *fleet {
	f := &fleet{world: w}
	for i := range w.Routers {
		f.routers = append(f.routers, newRouterSimulation(w, i, false))
	}
	f.endpoints = f.routers[0].endpoints
	return f
}

func (f *fleet) enabledEvents() []Event { return f.enabledEventsFrom(f.nextRouter) }

// enabledEventsFrom lists the enabled events of the routers with at least the index first, and the shared events.
func (f *fleet) enabledEventsFrom(first int) []Event {
	list := &eventList{world: f.world, faultsInjected: f.routers[0].faultsInjected}
	pending, quiescent := false, true
	for i, s := range f.routers {
		events, busy := s.routerEvents()
		pending, quiescent = pending || busy, quiescent && s.isQuiescent()
		if s.endpoints.Revision < f.endpoints.Revision {
			events.addNamed(noFault, func() {
				s.endpoints = f.endpoints
				s.updateEndpoints()
			}, "receives the endpoint list")
		}
		if i >= first || f.world.AllInterleavings {
			list.events = append(list.events, f.labelRouterEvents(i, events.events)...)
		}
	}
	f.addSharedEvents(list, !pending && !quiescent)
	return list.events
}

// labelRouterEvents returns the events of one router as events of the fleet, with the router's index in their names.
func (f *fleet) labelRouterEvents(i int, routerEvents []Event) (events []Event) {
	for _, e := range routerEvents {
		apply := e.apply
		e.Name = fmt.Sprintf("router %d: %s", i, e.Name)
		e.apply = func() { f.nextRouter = i; apply() }
		events = append(events, e)
	}
	return events
}

// addSharedEvents adds the events that affect all routers.
func (f *fleet) addSharedEvents(list *eventList, timeMayPass bool) {
	add := func(name string, fault FaultKind, apply func()) {
		list.add(Event{Name: name, fault: fault, apply: func() { f.nextRouter = 0; apply() }})
	}
	for i, e := range f.endpoints.Entries {
		if e.State != endpoint.Ready {
			continue
		}
		add(drainEventName(e.ID), FaultDrain, func() { f.endpoints = withDraining(f.endpoints, i) })
		add(restartEventName(e.ID), FaultRestart, func() { f.restartEngine(i) })
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
	add(lateTimersEventName, FaultDelay, func() { f.advanceTo(due + int64(timerDelay)) })
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
	faultsInjected := f.routers[0].faultsInjected
	if e.fault != noFault {
		faultsInjected++
	}
	for _, s := range f.routers { // The number of faults is limited for the whole fleet.
		s.faultsInjected = faultsInjected
	}
	e.apply()
	for _, s := range f.routers {
		s.checkState()
	}
	f.checkSlowStartBudget()
}

// budgetSlack is the number of attempts by which the slow-start budget may be exceeded: attempts are whole numbers, the budget
// is not.
const budgetSlack = 2

// checkSlowStartBudget checks the number of attempts that all routers sent to each warming engine within one window.
func (f *fleet) checkSlowStartBudget() {
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
			f.violationLog.add("P14 %s is warming up and receives %d attempts in %v, budget %.0f", e.ID, count, rules.OverloadWindow, budget)
		}
	}
}

func (f *fleet) violations() (texts []string) {
	texts = append(texts, f.violationLog.texts...)
	for i, s := range f.routers {
		for _, violation := range s.violations() {
			texts = append(texts, fmt.Sprintf("%s (router %d)", violation, i))
		}
	}
	return texts
}

func (f *fleet) isTerminal() bool { return len(f.enabledEventsFrom(0)) == 0 }

func (f *fleet) checkTerminal() {
	for _, s := range f.routers {
		s.checkTerminal()
	}
}

// fingerprint omits nextRouter in terminal states, which do not depend on the order of routers.
func (f *fleet) fingerprint() uint64 {
	h := xxhash.New()
	for _, s := range f.routers {
		fmt.Fprintln(h, s.fingerprint(), s.endpoints.Revision)
	}
	fmt.Fprintln(h, f.endpoints)
	if !f.world.AllInterleavings && !f.isTerminal() {
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
