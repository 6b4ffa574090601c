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
	if !e.hush(r.Context(), silent) {
		panic(http.ErrAbortHandler)
	}
	e.report(w)
	e.mu.Lock()
	p := planapi.EngineReport{Role: e.claims, Epoch: e.epoch, Term: e.term, Incarnation: e.lives,
		Changing: e.loading, Draining: e.leaving,
		PrefillTokens: e.readTokens, DecodeTokens: e.written, BusySeconds: e.busy, OpenRequests: e.open, Reservations: len(e.states),
		HotPrefixes: map[string]float64{}}
	if !e.began.IsZero() {
		p.UptimeMillis = max(1, time.Since(e.began).Milliseconds())
	}
	if lie := e.faults.LieWork; lie > 0 {
		p.PrefillTokens, p.DecodeTokens = p.PrefillTokens*lie, p.DecodeTokens*lie
	}
	for h, tokens := range e.kept {
		p.CachedTokens += float64(tokens)
		if e.uses[h] >= 3 && len(p.HotPrefixes) < 16 { // a beginning that three have used may be used again
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
	if err != nil || !e.hush(r.Context(), silent) {
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
	case e.faults.DeafOrders:
		no("this engine takes no orders")
	case o.Term < e.term:
		no("a planner of term " + strconv.FormatInt(e.term, 10) + " is followed")
	case o.Epoch < e.epoch:
		no("its role has epoch " + strconv.FormatInt(e.epoch, 10))
	case o.Epoch == e.epoch:
		e.term = o.Term
		if !e.loading && o.Role == e.claims {
			e.leaving = o.Drain
		}
		w.Write([]byte("{}"))
	case e.open > 0 || len(e.states) > 0:
		no("something is open here still")
	default:
		e.term, e.epoch, e.leaving = o.Term, o.Epoch, false
		if o.Role != e.role || e.loading || e.claims != e.role {
			e.load(o)
		}
		w.WriteHeader(http.StatusAccepted)
		w.Write([]byte("{}"))
	}
}

// load takes up a role under a new epoch, cold, after the time that it takes. Called with the lock held.
func (e *Engine) load(o planapi.RoleOrder) {
	e.claims, e.loading = o.Role, true
	e.kept, e.uses = map[uint64]int{}, map[uint64]int{}
	if e.faults.NeverBack {
		return
	}
	life, lie := e.life, e.faults.FalseRole
	time.AfterFunc(e.m.Reload, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life || e.epoch != o.Epoch {
			return // it has crashed meanwhile, or was asked for something else
		}
		e.loading, e.began, e.recent = false, time.Now(), nil
		if !lie && e.role != o.Role {
			e.role = o.Role
			e.m.Slots, e.m.OtherSlots = e.m.OtherSlots, e.m.Slots
			e.slots = make(chan struct{}, e.m.Slots)
		}
		e.see(audit.Seen{What: audit.Up, How: "as " + e.role})
	})
}
