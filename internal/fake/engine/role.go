package engine

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
)

const maxRoleOrderBytes = 1 << 13

// roleState is an engine's role and what it knows of the planner.
type roleState struct {
	serving  string
	reported string // differs from serving while it loads for its next role, or has the fault FalseRole
	epoch    int64
	term     int64 // the latest of a planner that it has followed
	loading  bool  // for its next role; it serves nothing
	draining bool  // by a planner's order
}

// serveRole handles a planner's order: under the present epoch a drain or its end, under a later one a change of role.
func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRoleOrderBytes))
	if err != nil || !e.awaitResponsive(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	order, err := planapi.ParseRoleOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.rejectionOf(order); reason != "" {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		w.Write(chat.ErrorBody("conflict", "not followed", "", reason))
		return
	}
	if order.Epoch > e.role.epoch {
		w.WriteHeader(http.StatusAccepted)
	}
	e.follow(order)
	w.Write([]byte("{}"))
}

// rejectionOf is why an order is not followed, or empty. The caller holds the lock.
func (e *Engine) rejectionOf(order planapi.RoleOrder) string {
	switch {
	case e.faults.IgnoreRoleOrders:
		return "this engine takes no orders"
	case order.Term < e.role.term:
		return fmt.Sprintf("a planner of term %d is followed", e.role.term)
	case order.Epoch < e.role.epoch:
		return fmt.Sprintf("its role has epoch %d", e.role.epoch)
	case order.Epoch > e.role.epoch && (e.occupancy.openRequests > 0 || len(e.reservations.held) > 0):
		return "something is open here still"
	}
	return ""
}

// follow carries out an order that is not rejected. The caller holds the lock.
func (e *Engine) follow(order planapi.RoleOrder) {
	e.role.term = order.Term
	if order.Epoch == e.role.epoch {
		if !e.role.loading && order.Role == e.role.reported {
			e.role.draining = order.Drain
		}
		return
	}
	e.role.epoch, e.role.draining = order.Epoch, false
	if order.Role != e.role.serving || e.role.loading || e.role.reported != e.role.serving {
		e.changeRole(order)
	}
}

// changeRole begins to load for a role, in which the engine starts cold. The caller holds the lock.
func (e *Engine) changeRole(order planapi.RoleOrder) {
	e.role.reported, e.role.loading = order.Role, true
	e.prefixes = newPrefixCache()
	if e.faults.RoleChangeHangs {
		return
	}
	incarnation, falseRole := e.incarnation.ctx, e.faults.FalseRole
	time.AfterFunc(e.config.Reload, func() {
		e.ifCurrent(incarnation, func() {
			if e.role.epoch != order.Epoch {
				return // a later order has begun another change
			}
			e.role.loading, e.coldSince, e.recentAttempts = false, time.Now(), nil
			if !falseRole && e.role.serving != order.Role {
				e.serveAs(order.Role)
				e.slots = make(chan struct{}, e.config.Slots)
			}
			e.record(audit.EngineRecord{Event: audit.Started, Detail: "as " + e.role.serving})
		})
	})
}

// serveAs swaps the capacities of the two roles. The caller holds the lock.
func (e *Engine) serveAs(role string) {
	e.role.serving = role
	e.config.Slots, e.config.OtherRoleSlots = e.config.OtherRoleSlots, e.config.Slots
}
