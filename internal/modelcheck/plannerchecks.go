package modelcheck

import (
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// checkEpochs checks the epochs of records that are about to be persisted.
func (s *plannerSimulation) checkEpochs(records []assignment.Record) {
	for _, r := range records {
		if old, ok := s.stored[r.Engine]; ok && r.Epoch < old.Epoch {
			s.violationLog.add("R4 the epoch of %s decreases from %d to %d", r.Engine, old.Epoch, r.Epoch)
		}
	}
}

// checkPlanIsNewer checks that a plan is newer than the one published before it.
func (s *plannerSimulation) checkPlanIsNewer(p planapi.Plan) {
	if !p.Newer(s.plan) {
		s.violationLog.add("R5 plan %d of term %d follows plan %d of term %d", p.Number, p.Term, s.plan.Number, s.plan.Term)
	}
}

// checkPlan checks the newest published plan.
func (s *plannerSimulation) checkPlan() {
	ready := map[string]int{}
	for _, e := range s.plan.Engines {
		if e.State == endpoint.Ready {
			ready[e.Kind]++
			if r, ok := s.stored[e.Engine]; ok && r.State != assignment.Serving && r.State != assignment.WarmingUp {
				s.violationLog.add("R8 plan %d lists %s as ready, but the state of its record is %s", s.plan.Number, e.Engine, r.State)
			}
		}
		if role, ok := s.engine(e.Engine).roleByEpoch[e.Epoch]; ok && role != e.Kind {
			s.violationLog.add("R1 plan %d lists %s as %s with epoch %d, in which its role is %s", s.plan.Number, e.Engine, e.Kind, e.Epoch, role)
		}
	}
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		if ready[role]+s.countLostToFaults(role) < 1 {
			s.violationLog.add("R3 plan %d leaves no engine for role %s", s.plan.Number, role)
		}
	}
}

// countLostToFaults counts the engines of a role that do not serve because of an engine fault.
func (s *plannerSimulation) countLostToFaults(role string) (count int) {
	for _, engine := range s.engines {
		r, ok := s.stored[engine.name]
		if ok && r.Role == role && (r.State == assignment.RollingBack || r.State == assignment.Quarantined || r.State == assignment.InTrial) {
			count++
		}
	}
	return count
}

// checkOrderIsPersisted checks that an order is persisted before it is sent, so that a killed planner does not lose it.
func (s *plannerSimulation) checkOrderIsPersisted(a assignment.SendRoleOrder) {
	r, ok := s.stored[a.Engine]
	if !ok && a.Order.Epoch > s.engine(a.Engine).epoch || ok && max(r.Epoch, r.NextEpoch) < a.Order.Epoch {
		s.violationLog.add("R6 %s receives an order of epoch %d, which is not persisted", a.Engine, a.Order.Epoch)
	}
}

// checkState checks that no engine of another role would accept an attempt of an edge, and that role changes end in time.
func (s *plannerSimulation) checkState() {
	for i, p := range s.edges {
		for _, e := range p.Engines {
			engine := s.engine(e.Engine)
			if e.State == endpoint.Ready && e.Epoch == engine.epoch && !engine.loading && engine.role != e.Kind {
				s.violationLog.add("R2 edge %d may send %s an attempt for role %s, and the engine accepts its epoch %d", i, e.Engine, e.Kind, e.Epoch)
			}
		}
	}
	if s.elapsed() > roleChangeTimeLimit && !s.isSettled() {
		s.violationLog.add("R7 role change has not ended after %v: %v", roleChangeTimeLimit, s.stored)
	}
}
