package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/protocol/chat"
)

// serveLoad answers with what planners and edges want to know.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.awaitAudible(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.setLoadHeaders(w)
	e.mu.Lock()
	p := planapi.EngineReport{Role: e.reportedRole, Epoch: e.epoch, Term: e.term, Incarnation: e.incarnation,
		Changing: e.loading, Draining: e.drainingByPlanner,
		PrefillTokens: e.prefilledTokens, DecodeTokens: e.decodedTokens, BusySeconds: e.busySeconds, OpenRequests: e.openRequests, Reservations: len(e.reservations),
		HotPrefixes: map[string]float64{}}
	if !e.coldSince.IsZero() {
		p.UptimeMillis = max(1, time.Since(e.coldSince).Milliseconds())
	}
	if lie := e.faults.ReportedWorkFactor; lie > 0 {
		p.PrefillTokens, p.DecodeTokens = p.PrefillTokens*lie, p.DecodeTokens*lie
	}
	for h, tokens := range e.cached {
		p.CachedTokens += float64(tokens)
		if e.prefixUses[h] >= 3 && len(p.HotPrefixes) < 16 { // a beginning that three have used may be used again
			p.HotPrefixes[strconv.FormatUint(h, 16)] = float64(tokens)
		}
	}
	e.mu.Unlock()
	json.NewEncoder(w).Encode(p)
}

// serveRole follows a planner's orders: drains and their end under its present epoch, and under a higher one
// a change.
func (e *Engine) serveRole(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<13))
	if err != nil || !e.awaitAudible(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	o, err := planapi.ParseRoleOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	no := func(why string) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		w.Write(chat.ErrorBody("conflict", "not followed", "", why))
	}
	switch {
	case e.faults.IgnoreRoleOrders:
		no("this engine takes no orders")
	case o.Term < e.term:
		no("a planner of term " + strconv.FormatInt(e.term, 10) + " is followed")
	case o.Epoch < e.epoch:
		no("its role has epoch " + strconv.FormatInt(e.epoch, 10))
	case o.Epoch == e.epoch:
		e.term = o.Term
		if !e.loading && o.Role == e.reportedRole {
			e.drainingByPlanner = o.Drain
		}
		w.Write([]byte("{}"))
	case e.openRequests > 0 || len(e.reservations) > 0:
		no("something is open here still")
	default:
		e.term, e.epoch, e.drainingByPlanner = o.Term, o.Epoch, false
		if o.Role != e.role || e.loading || e.reportedRole != e.role {
			e.switchRole(o)
		}
		w.WriteHeader(http.StatusAccepted)
		w.Write([]byte("{}"))
	}
}

// switchRole takes up a role under a new epoch, cold, after the time that it takes. Called with the lock held.
func (e *Engine) switchRole(o planapi.RoleOrder) {
	e.reportedRole, e.loading = o.Role, true
	e.cached, e.prefixUses = map[uint64]int{}, map[uint64]int{}
	if e.faults.RoleChangeHangs {
		return
	}
	life, lie := e.incarnationContext, e.faults.FalseRole
	time.AfterFunc(e.config.Reload, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.incarnationContext != life || e.epoch != o.Epoch {
			return // it has crashed meanwhile, or was asked for something else
		}
		e.loading, e.coldSince, e.recentAttempts = false, time.Now(), nil
		if !lie && e.role != o.Role {
			e.role = o.Role
			e.config.Slots, e.config.OtherRoleSlots = e.config.OtherRoleSlots, e.config.Slots
			e.slots = make(chan struct{}, e.config.Slots)
		}
		e.record(audit.EngineRecord{Event: audit.Started, Detail: "as " + e.role})
	})
}
