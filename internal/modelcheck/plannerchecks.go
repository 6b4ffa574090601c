package modelcheck

import (
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// checkEpochs checks records as they are persisted.
func (s *plannerSimulation) checkEpochs(records []assignment.Record) {
	for _, r := range records {
		if old, ok := s.stored[r.Engine]; ok && r.Epoch < old.Epoch {
			s.violated.add("R4 the epoch of %s decreases from %d to %d", r.Engine, old.Epoch, r.Epoch)
		}
	}
}

// checkNewer checks a plan before it is published.
func (s *plannerSimulation) checkNewer(p planapi.Plan) {
	if !p.Newer(s.plan) {
		s.violated.add("R5 plan %d of term %d follows %d of %d", p.Number, p.Term, s.plan.Number, s.plan.Term)
	}
}

// checkPlan checks the plan that was published.
func (s *plannerSimulation) checkPlan() {
	ready := map[string]int{}
	for _, e := range s.plan.Engines {
		if e.State == endpoint.Ready {
			ready[e.Kind]++
			if r, ok := s.stored[e.Engine]; ok && r.State != assignment.Serving && r.State != assignment.WarmingUp {
				s.violated.add("R8 plan %d lists %s as ready, which is %s", s.plan.Number, e.Engine, r.State)
			}
		}
		if role, ok := s.engine(e.Engine).roleByEpoch[e.Epoch]; ok && role != e.Kind {
			s.violated.add("R1 plan %d lists %s as %s under epoch %d, under which it is %s", s.plan.Number, e.Engine, e.Kind, e.Epoch, role)
		}
	}
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		if ready[role]+s.lostByOwnFault(role) < 1 {
			s.violated.add("R3 plan %d leaves no engine that serves as %s", s.plan.Number, role)
		}
	}
}

// lostByOwnFault counts the engines that a role has lost to faults of their own, not to a change.
func (s *plannerSimulation) lostByOwnFault(role string) (count int) {
	for _, engine := range s.engines {
		r, ok := s.stored[engine.name]
		if ok && r.Role == role && (r.State == assignment.RollingBack || r.State == assignment.Quarantined || r.State == assignment.InTrial) {
			count++
		}
	}
	return count
}

// checkOrder compares an order with what is persisted: nothing may be ordered that a kill would forget.
func (s *plannerSimulation) checkOrder(a assignment.SendRoleOrder) {
	r, ok := s.stored[a.Engine]
	if !ok && a.Order.Epoch > s.engine(a.Engine).epoch || ok && max(r.Epoch, r.NextEpoch) < a.Order.Epoch {
		s.violated.add("R6 %s is ordered to epoch %d, which is not persisted", a.Engine, a.Order.Epoch)
	}
}

// checkState checks every state: an edge that sends by any plan it may hold meets no engine in the wrong role.
func (s *plannerSimulation) checkState() {
	for i, p := range s.edges {
		for _, e := range p.Engines {
			engine := s.engine(e.Engine)
			if e.State == endpoint.Ready && e.Epoch == engine.epoch && !engine.loading && engine.role != e.Kind {
				s.violated.add("R2 edge %d would send %s what is for %s, and its epoch %d is accepted", i, e.Engine, e.Kind, e.Epoch)
			}
		}
	}
	if s.elapsed() > roleHorizon && !s.isSettled() {
		s.violated.add("R7 after %v a change has not ended: %v", roleHorizon, s.stored)
	}
}
