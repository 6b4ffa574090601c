package planner

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/fake/engine"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// minRoleChangeActions is the minimum number of actions of a role change.
const minRoleChangeActions = 7

// A role change must survive a crash of the planner at any point. The planner is killed before each action of a role change in
// turn; the next planner on its store must complete the change, and its records must agree with the engines.
func TestCrashBeforeEachActionOfRoleChange(t *testing.T) {
	for k := 1; ; k++ {
		f := newFleet(t, 2, 2)
		killedBefore, killed := moveAndKill(f, k)
		if !killed {
			if k <= minRoleChangeActions {
				t.Fatalf("role change has only %d actions", k-1)
			}
			return
		}
		p := f.startPlanner(nil)
		status := f.awaitStatus(p, "settled after a kill before "+killedBefore, allServing)
		for _, view := range status.Engines {
			i := slices.IndexFunc(f.engines, func(e *engine.Engine) bool { return e.Addr() == view.Engine })
			if e := f.engines[i]; e.Role() != view.Role || e.Epoch() != view.Epoch {
				t.Errorf("killed before %s: %s has role %s in epoch %d, recorded as %s in %d", killedBefore, view.Engine, e.Role(),
					e.Epoch(), view.Role, view.Epoch)
			}
		}
		p.Stop()
		for i := 1; i < len(f.plans); i++ {
			if !f.plans[i].Newer(f.plans[i-1]) {
				t.Errorf("plan %d of term %d follows %d of %d", f.plans[i].Number, f.plans[i].Term,
					f.plans[i-1].Number, f.plans[i-1].Term)
			}
		}
	}
}

// moveAndKill orders a planner to move the first engine, and kills the planner before the k-th action of the move. It returns the
// type of that action, or false if the move completes with fewer actions.
func moveAndKill(f *fleet, k int) (before string, killed bool) {
	var mu sync.Mutex
	moving, count, killedBefore := false, 0, ""
	p := f.startPlanner(func(action assignment.Action) bool {
		mu.Lock()
		defer mu.Unlock()
		if !moving {
			return false
		}
		count++
		if count == k && killedBefore == "" {
			killedBefore = fmt.Sprintf("%T", action)
			return true
		}
		return false
	})
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	mu.Lock()
	moving = true
	mu.Unlock()
	moved := f.engines[0]
	postOrder(p, planapi.OperationMove, moved.Addr())
	for {
		select {
		case <-p.Done():
			return killedBefore, true
		case <-time.After(50 * time.Millisecond):
		}
		status, err := getStatus(p)
		if err != nil || !allServing(status) || moved.Role() != planapi.Decode {
			continue
		}
		i := slices.IndexFunc(status.Engines, func(view assignment.EngineView) bool { return view.Engine == moved.Addr() })
		if status.Engines[i].Role == planapi.Decode {
			return "", false
		}
	}
}

// An engine that falsely reports its new role, or never completes the change, must be quarantined and not published in that
// role.
func TestEnginesThatFailRoleChangeAreQuarantined(t *testing.T) {
	for name, faults := range map[string]engine.Faults{"false role": {FalseRole: true}, "never completes": {RoleChangeHangs: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 2)
			p := f.startPlanner(nil)
			defer p.Stop()
			f.awaitStatus(p, "ready", allServing)
			faulty := f.engines[0]
			faulty.SetFaults(faults)
			if status, text := postOrder(p, planapi.OperationMove, faulty.Addr()); status != http.StatusOK {
				t.Fatal(status, text)
			}
			f.awaitStatus(p, "quarantined", func(status Status) bool {
				return slices.ContainsFunc(status.Engines, func(view assignment.EngineView) bool {
					return view.Engine == faulty.Addr() && view.State == assignment.Quarantined && view.Fault != ""
				})
			})
			for _, plan := range f.published() {
				if slices.ContainsFunc(plan.Engines, func(e planapi.Engine) bool {
					return e.Engine == faulty.Addr() && e.Kind == "decode"
				}) {
					t.Errorf("plan %d lists the engine as a decode engine", plan.Number)
				}
			}
			// Without faults, the engine returns to its previous role after the cooldown, without an operator's order.
			faulty.SetFaults(engine.Faults{})
			f.awaitStatus(p, "ready again", allServing)
			if faulty.Role() != planapi.Prefill {
				t.Errorf("engine returned to role %s", faulty.Role())
			}
		})
	}
}
