package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const maxFaultsBytes = 1 << 12

// Faults are an engine's present faults.
type Faults struct {
	Unresponsive       bool          `json:"Silent"`     // it accepts requests and never responds
	Slowdown           float64       `json:"Slow"`       // times slower; 0 for none
	StallFirst         bool          `json:"StallFirst"` // it stalls before the first token
	StallAfter         int           `json:"StallAfter"` // it stalls after so many tokens; 0 for never
	BreakAfter         int           `json:"BreakAfter"` // it breaks the connection after so many tokens; 0 for never
	TruncatePrefill    bool          `json:"HalfAnswer"` // the response of a prefill ends half way
	EmptyLoadReport    bool          `json:"Lie"`        // its load report says that it is idle
	ResponseDelay      time.Duration `json:"SlowAccept"` // before the first byte of a response
	FailStatus         int           `json:"FailStatus"` // status of all responses to attempts, without a reason; 0 for none
	RoleChangeHangs    bool          `json:"NeverBack"`  // a change of its role never ends
	FalseRole          bool          `json:"FalseRole"`  // it reports the role of the order and goes on in the old one
	IgnoreRoleOrders   bool          `json:"DeafOrders"` // it rejects the planner's orders
	ReportedWorkFactor float64       `json:"LieWork"`    // times the work that it reports; 0 for the truth
}

// SetFaults replaces its faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// serveFaults handles a request, with faults as JSON, to replace the faults of an engine in another process.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(io.LimitReader(r.Body, maxFaultsBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
}

func (e *Engine) currentFaults() (faults Faults, changed <-chan struct{}, incarnation context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsChanged, e.incarnation.ctx
}

// awaitFaults waits until the faults do not block any more. It is false when the client has disconnected or the engine has
// crashed.
func (e *Engine) awaitFaults(ctx context.Context, blocked func(Faults) bool) bool {
	for {
		faults, changed, incarnation := e.currentFaults()
		if !blocked(faults) {
			return ctx.Err() == nil && incarnation.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-incarnation.Done():
			return false
		case <-changed:
		}
	}
}

// awaitResponsive waits while the engine is unresponsive.
func (e *Engine) awaitResponsive(ctx context.Context) bool {
	return e.awaitFaults(ctx, func(f Faults) bool { return f.Unresponsive })
}

// sleep is false when the client has disconnected or the engine has crashed.
func (e *Engine) sleep(ctx context.Context, duration time.Duration) bool {
	_, _, incarnation := e.currentFaults()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-incarnation.Done():
	case <-timer.C:
		return true
	}
	return false
}
