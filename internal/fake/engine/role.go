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

// roleState is the state of an engine's role and of the planner's orders.
type roleState struct {
	serving  string
	reported string // role in load reports; differs from serving during a role change and under the fault FalseRole
	epoch    int64
	term     int64 // term of the latest order that the engine has followed
	loading  bool  // a role change is in progress and the engine rejects requests
	draining bool  // the planner has ordered a drain
}

// serveRole handles an order of the planner. An order with the current epoch starts or ends a drain, and an order with a later
// epoch changes the role.
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
	if reason := e.rejectionReason(order); reason != "" {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		w.Write(chat.ErrorBody("conflict", "not followed", "", reason))
		return
	}
	if order.Epoch > e.role.epoch {
		w.WriteHeader(http.StatusAccepted)
	}
	e.applyOrder(order)
	w.Write([]byte("{}"))
}

// rejectionReason returns why an order is rejected, or an empty string if it is followed. The caller holds the lock.
func (e *Engine) rejectionReason(order planapi.RoleOrder) string {
	switch {
	case e.faults.IgnoreRoleOrders:
		return "engine ignores role orders"
	case order.Term < e.role.term:
		return fmt.Sprintf("engine follows a planner of term %d", e.role.term)
	case order.Epoch < e.role.epoch:
		return fmt.Sprintf("engine role has epoch %d", e.role.epoch)
	case order.Epoch > e.role.epoch && (e.occupancy.openRequests > 0 || len(e.reservations.held) > 0):
		return "engine has open requests or reservations"
	}
	return ""
}

// applyOrder executes an order that is not rejected. The caller holds the lock.
func (e *Engine) applyOrder(order planapi.RoleOrder) {
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

// changeRole starts a change to the role in the order. The engine is cold after the change. The caller holds the lock.
func (e *Engine) changeRole(order planapi.RoleOrder) {
	e.role.reported, e.role.loading = order.Role, true
	e.prefixes = newPrefixCache()
	if e.faults.RoleChangeHangs {
		return
	}
	incarnation, falseRole := e.incarnation.ctx, e.faults.FalseRole
	time.AfterFunc(e.config.RoleChangeTime, func() {
		e.updateIfCurrent(incarnation, func() {
			if e.role.epoch != order.Epoch {
				return // A later order has started another role change.
			}
			e.role.loading, e.coldSince, e.recentAttempts = false, time.Now(), nil
			if !falseRole && e.role.serving != order.Role {
				e.switchRole(order.Role)
				e.slots = make(chan struct{}, e.config.Slots)
			}
			e.record(audit.EngineRecord{Event: audit.Started, Detail: "as " + e.role.serving})
		})
	})
}

// switchRole sets the role that the engine serves and swaps the slots of the two roles. The caller holds the lock.
func (e *Engine) switchRole(role string) {
	e.role.serving = role
	e.config.Slots, e.config.OtherRoleSlots = e.config.OtherRoleSlots, e.config.Slots
}
