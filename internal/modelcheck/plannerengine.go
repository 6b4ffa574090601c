package modelcheck

import (
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// simulatedEngine is the actual state of an engine that can change its role.
type simulatedEngine struct {
	name             string
	role             string
	claimedRole      string // role that the engine reports
	epoch            int64
	term             int64
	loading          bool
	draining         bool
	loadingStuck     bool // loading never ends
	reportsFalseRole bool // the engine reports the new role and keeps the old one
	openRequests     int
	requestsStuck    bool // open requests never end
	incarnation      int64
	roleByEpoch      map[int64]string // actual role of the engine in each epoch
}

func (e *simulatedEngine) report() planapi.EngineReport {
	return planapi.EngineReport{Engine: e.name, Role: e.claimedRole, Epoch: e.epoch, Term: e.term, Incarnation: e.incarnation,
		UptimeMillis: 0, Changing: e.loading, Draining: e.draining, OpenRequests: e.openRequests}
}

// handleOrder handles an order of the planner. Outdated orders, and new epochs while requests are open, are ignored.
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
	if !e.reportsFalseRole {
		e.role = e.claimedRole
	}
	e.roleByEpoch[e.epoch] = e.role
}

// restartInInitialRole simulates a crash after which the engine starts in its configured role, without any other state.
func (e *simulatedEngine) restartInInitialRole() {
	e.role, e.claimedRole = e.roleByEpoch[1], e.roleByEpoch[1]
	e.epoch, e.term, e.draining, e.openRequests = 1, 0, false, 0
	e.incarnation++
}

// passesTrial reports whether the engine can serve a trial, that is, has its role and epoch and is not loading.
func (e *simulatedEngine) passesTrial(trial assignment.StartTrial) bool {
	return e.role == trial.Role && e.epoch == trial.Epoch && !e.loading
}

// isBusy reports whether the engine's state changes without further orders.
func (e *simulatedEngine) isBusy() bool {
	return e.loading && !e.loadingStuck || e.openRequests > 0 && !e.requestsStuck
}

// matchesRecord reports whether the engine's state matches its record, or the engine is quarantined for its own fault.
func (e *simulatedEngine) matchesRecord(r assignment.Record) bool {
	if r.State == assignment.Quarantined {
		return e.loadingStuck || e.reportsFalseRole
	}
	return r.State == assignment.Serving && r.Role == e.role && r.Epoch == e.epoch && !e.draining
}
