package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const maxFaultsBytes = 1 << 12

// Faults is the set of faults of an engine.
type Faults struct {
	Unresponsive       bool          `json:"Silent"`     // the engine accepts requests and does not respond
	Slowdown           float64       `json:"Slow"`       // factor by which work takes longer; 0 for no slowdown
	StallFirst         bool          `json:"StallFirst"` // responses stall before the first token
	StallAfter         int           `json:"StallAfter"` // number of tokens after which a response stalls; 0 for never
	BreakAfter         int           `json:"BreakAfter"` // number of tokens after which the connection is broken; 0 for never
	TruncatePrefill    bool          `json:"HalfAnswer"` // only half of a prefill's response body is sent
	EmptyLoadReport    bool          `json:"Lie"`        // the load headers report an idle engine
	ResponseDelay      time.Duration `json:"SlowAccept"` // delay before the first byte of a response
	FailStatus         int           `json:"FailStatus"` // status of all responses to attempts, without a reason; 0 for no fault
	RoleChangeHangs    bool          `json:"NeverBack"`  // role changes never complete
	FalseRole          bool          `json:"FalseRole"`  // the engine reports the ordered role but keeps serving the previous role
	IgnoreRoleOrders   bool          `json:"DeafOrders"` // the engine rejects the planner's orders
	ReportedWorkFactor float64       `json:"LieWork"`    // factor of the reported work; 0 for correct reports
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// serveFaults replaces the faults with those in the JSON body, for tests with engines in another process.
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

// awaitUnblocked waits until blocked is false for the current faults. It returns false if the client has disconnected or the
// engine has crashed.
func (e *Engine) awaitUnblocked(ctx context.Context, blocked func(Faults) bool) bool {
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

// awaitResponsive waits until the engine is not unresponsive, and returns the result of awaitUnblocked.
func (e *Engine) awaitResponsive(ctx context.Context) bool {
	return e.awaitUnblocked(ctx, func(f Faults) bool { return f.Unresponsive })
}

// sleep waits for the duration. It returns false early if the client disconnects or the engine crashes.
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
