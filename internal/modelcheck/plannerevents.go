package modelcheck

import (
	"fmt"
	"slices"

	"sandcourse/internal/planner/assignment"
)

// enabledEvents lists the events that are possible now. The planner's actions precede all other events, and the operator's
// moves precede those of the engines, to reduce the number of interleavings.
func (s *plannerSimulation) enabledEvents() []Event {
	list := &eventList{world: s.world, faultsInjected: s.faultsInjected}
	switch {
	case s.isSettled():
		s.addReadmissions(list)
	case !s.running:
		list.addNamed(noFault, s.startPlanner, "the planner restarts")
		if s.ticksWithoutPlanner < maxTicksWithoutPlanner {
			list.addNamed(noFault, func() { s.ticksWithoutPlanner++; s.advance() }, "time passes without a planner")
		}
	case len(s.queue) > 0:
		list.addNamed(noFault, s.executeNext, "the planner executes %T", s.queue[0])
		list.addNamed(FaultKill, s.killPlanner, "the planner is killed before %T", s.queue[0])
	case s.operatorMoves > 0:
		s.addOperatorMoves(list)
	default:
		s.addOrderEvents(list)
		s.addTrialEvents(list)
		for _, engine := range s.engines {
			s.addEngineEvents(list, engine)
		}
		s.addPlanEvents(list)
		s.addTick(list)
		s.addOperatorStop(list)
		s.addStaleAttempts(list)
	}
	return list.events
}

func (s *plannerSimulation) addReadmissions(list *eventList) {
	for _, engine := range s.engines {
		if s.stored[engine.name].State == assignment.Quarantined {
			list.addNamed(FaultDisconnect, func() {
				engine.loadingStuck, engine.reportsFalseRole = false, false
				s.applyOperatorOrder("readmit", engine.name)
			}, "an operator repairs and readmits %s", engine.name)
		}
	}
}

// addOperatorMoves lets the operator move the first engine of either role.
func (s *plannerSimulation) addOperatorMoves(list *eventList) {
	for i, engine := range s.engines {
		if i == 0 || i == s.world.PrefillEngines {
			list.addNamed(noFault, func() {
				s.operatorMoves--
				s.applyOperatorOrder("move", engine.name)
			}, "an operator moves %s", engine.name)
		}
	}
}

func (s *plannerSimulation) addOrderEvents(list *eventList) {
	for i, o := range s.orders {
		remove := func() { s.orders = slices.Delete(s.orders, i, i+1) }
		name := fmt.Sprintf("order %+v to %s", o.order, o.engine)
		list.addNamed(noFault, func() { remove(); s.engine(o.engine).handleOrder(o.order) }, "%s arrives", name)
		list.addNamed(FaultReset, remove, "%s is lost", name)
		if o.delayedTicks == 0 {
			list.addNamed(FaultDelay, func() { s.orders[i].delayedTicks = orderDelayTicks }, "%s is delayed", name)
		}
	}
}

func (s *plannerSimulation) addTrialEvents(list *eventList) {
	for i, t := range s.trials {
		passed := s.engine(t.Engine).passesTrial(t)
		remove := func() { s.trials = slices.Delete(s.trials, i, i+1) }
		list.addNamed(noFault, func() {
			remove()
			s.stepController(assignment.TrialEnded{Engine: t.Engine, Number: t.Number, OK: passed, Reason: "no"})
		}, "the trial of %s ends", t.Engine)
		list.addNamed(FaultReset, remove, "the trial of %s is lost", t.Engine)
	}
}

func (s *plannerSimulation) addEngineEvents(list *eventList, e *simulatedEngine) {
	if e.loading && !e.loadingStuck {
		list.addNamed(noFault, e.finishLoading, "%s finishes loading", e.name)
		list.addNamed(FaultUnresponsive, func() { e.loadingStuck = true }, "%s never finishes loading", e.name)
		if !e.reportsFalseRole && e.claimedRole != e.role {
			list.addNamed(FaultGarbled, func() { e.reportsFalseRole = true; e.finishLoading() }, "%s reports the new role and keeps the old one", e.name)
		}
	}
	s.addCrashes(list, e)
	if e.openRequests > 0 && !e.requestsStuck {
		list.addNamed(noFault, func() { e.openRequests = 0 }, "open requests at %s end", e.name)
		list.addNamed(FaultUnresponsive, func() { e.requestsStuck = true }, "open requests at %s do not end", e.name)
	}
}

func (s *plannerSimulation) addCrashes(list *eventList, e *simulatedEngine) {
	if e.loading {
		list.addNamed(FaultRestart, func() { e.loadingStuck = false; e.finishLoading(); e.incarnation++ },
			"%s crashes and restarts in the role that it was loading", e.name)
	} else if record, ok := s.stored[e.name]; ok && record.State != assignment.Serving {
		list.addNamed(FaultRestart, func() { e.incarnation++; e.draining, e.openRequests = false, 0 }, "%s crashes and restarts", e.name)
	}
	if e.epoch > 1 && !e.loading {
		list.addNamed(FaultRestart, e.restartInInitialRole, "%s crashes and restarts in its initial role, without any other state", e.name)
	}
}

func (s *plannerSimulation) addPlanEvents(list *eventList) {
	for i := range s.edges {
		if s.plan.Newer(s.edges[i]) {
			list.addNamed(noFault, func() { s.edges[i] = s.plan }, "edge %d receives plan %d", i, s.plan.Number)
		}
	}
}

// addTick lets time pass if no other event is due.
func (s *plannerSimulation) addTick(list *eventList) {
	orderIsDue := func(o pendingOrder) bool { return o.delayedTicks <= 1 }
	if slices.ContainsFunc(s.orders, orderIsDue) || len(s.trials) > 0 || slices.ContainsFunc(s.engines, (*simulatedEngine).isBusy) ||
		s.hasOutdatedEdge() {
		return
	}
	list.addNamed(noFault, func() {
		requestedAt := s.now + 1
		s.advance()
		for _, engine := range s.engines {
			s.sendReport(engine, requestedAt)
		}
		s.stepController(assignment.Tick{})
	}, "time passes and all engines are polled")
}

func (s *plannerSimulation) addOperatorStop(list *eventList) {
	if s.meta.Stopped || s.operatorStopped {
		return
	}
	list.addNamed(FaultDisconnect, func() {
		s.operatorStopped = true
		s.applyOperatorOrder("stop", "")
	}, "an operator stops all changes")
}

// addStaleAttempts lets an edge with an older plan send an attempt to a draining engine.
func (s *plannerSimulation) addStaleAttempts(list *eventList) {
	for _, engine := range s.engines {
		if s.stored[engine.name].State == assignment.Draining && engine.openRequests == 0 {
			list.addNamed(FaultDelay, func() {
				if !engine.draining {
					engine.openRequests = 1
				}
			}, "%s receives an attempt from an edge with an older plan", engine.name)
		}
	}
}
