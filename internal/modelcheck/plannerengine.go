package modelcheck

import (
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// simulatedEngine is the truth about an engine that can change its role.
type simulatedEngine struct {
	name          string
	role          string
	claimedRole   string
	epoch         int64
	term          int64
	loading       bool
	draining      bool
	lost          bool // it does not come back
	keepsOldRole  bool // it claims a role and keeps the old one
	openRequests  int
	requestsStuck bool // open requests do not end
	incarnation   int64
	roleByEpoch   map[int64]string // the role that it had under each epoch
}

func (e *simulatedEngine) report() planapi.EngineReport {
	return planapi.EngineReport{Engine: e.name, Role: e.claimedRole, Epoch: e.epoch, Term: e.term, Incarnation: e.incarnation,
		UptimeMillis: 0, Changing: e.loading, Draining: e.draining, OpenRequests: e.openRequests}
}

// handleOrder does what an engine does about an order of the planner.
func (e *simulatedEngine) handleOrder(o planapi.RoleOrder) {
	switch {
	case o.Term < e.term || o.Epoch < e.epoch:
	case o.Epoch == e.epoch:
		e.term = o.Term
		if !e.loading && o.Role == e.claimedRole {
			e.draining = o.Drain
		}
	case e.openRequests > 0:
	default:
		e.term, e.epoch, e.draining = o.Term, o.Epoch, false
		if o.Role != e.role || e.loading || e.claimedRole != e.role {
			e.claimedRole, e.loading = o.Role, true
			return
		}
		e.roleByEpoch[e.epoch] = e.role
	}
}

func (e *simulatedEngine) finishLoading() {
	e.loading = false
	if !e.keepsOldRole {
		e.role = e.claimedRole
	}
	e.roleByEpoch[e.epoch] = e.role
}

// resetToFirstRole is a crash after which the engine starts in the role of its configuration, with all else forgotten.
func (e *simulatedEngine) resetToFirstRole() {
	e.role, e.claimedRole = e.roleByEpoch[1], e.roleByEpoch[1]
	e.epoch, e.term, e.draining, e.openRequests = 1, 0, false, 0
	e.incarnation++
}

// passesTrial reports whether an engine can serve a trial: in the role that it has, if the epoch fits.
func (e *simulatedEngine) passesTrial(t assignment.StartTrial) bool {
	return e.role == t.Role && e.epoch == t.Epoch && !e.loading
}

// isBusy reports whether the engine goes on by itself.
func (e *simulatedEngine) isBusy() bool {
	return e.loading && !e.lost || e.openRequests > 0 && !e.requestsStuck
}

// isSettledAs reports whether the engine is as its record says, or is quarantined for what it did.
func (e *simulatedEngine) isSettledAs(r assignment.Record) bool {
	if r.State == assignment.Quarantined {
		return e.lost || e.keepsOldRole
	}
	return r.State == assignment.Serving && r.Role == e.role && r.Epoch == e.epoch && !e.draining
}
