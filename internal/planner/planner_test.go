package planner

import (
	"context"
	"errors"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/planner/planclient"
)

// An operator's order that cannot be applied must be rejected with a reason, and a dry run must change nothing.
func TestOperatorOrdersAreRejectedWithReason(t *testing.T) {
	f := newFleet(t, 1, 2)
	p := f.startPlanner(nil)
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	for _, c := range []struct {
		operation, engine string
		want              string
	}{
		{planapi.OperationMove, f.engines[0].Addr(), "must stay"},
		{planapi.OperationMove, "127.0.0.1:1", "127.0.0.1:1: engine is not listed"},
		{planapi.OperationReadmit, f.engines[1].Addr(), "not aside"},
		{planapi.OperationGo, "", "already"},
		{"fly", "", "one of"},
		{planapi.OperationStop, "x", "with engine"},
	} {
		if status, text := postOrder(p, c.operation, c.engine); status < 400 || !strings.Contains(text, c.want) {
			t.Errorf("%+v: %d %s", c, status, text)
		}
	}
	if status, text := postOrder(p, planapi.OperationPin, f.engines[1].Addr()); status != http.StatusOK {
		t.Error("pin rejected:", status, text)
	}
	if status, text := postOrder(p, planapi.OperationMove, f.engines[1].Addr()); status < 400 || !strings.Contains(text, "pinned") {
		t.Error(status, text)
	}
	dryRun := planapi.Order{Operation: planapi.OperationMove, Engine: f.engines[2].Addr(), DryRun: true}
	if status, text := post(p, dryRun); status != http.StatusOK || !strings.Contains(text, "changes from") {
		t.Error(status, text)
	}
	if f.engines[2].Epoch() != 1 {
		t.Error("dry run changed the epoch of the engine")
	}
}

// Two planners must not control the same engines. A second planner on the same store must not start. A planner with another
// store must start only if TakeOver is set, and the engines then fence off the first planner.
func TestOnlyOnePlannerControlsEngines(t *testing.T) {
	f := newFleet(t, 2, 2)
	first := f.startPlanner(nil)
	defer first.Stop()
	f.awaitStatus(first, "ready", allServing)
	// Engines receive the planner's term with an order.
	postOrder(first, planapi.OperationMove, f.engines[0].Addr())
	f.awaitStatus(first, "moved", func(status Status) bool {
		return allServing(status) && f.engines[0].Role() == planapi.Decode
	})
	if err := New(f.settings, zap.NewNop()).Start(); !errors.Is(err, ErrStoreInUse) {
		t.Errorf("second planner on the same store: %v", err)
	}
	settings := *f.settings
	settings.Store = filepath.Join(t.TempDir(), "other.db")
	var followed *FollowedPlannerError
	if err := New(&settings, zap.NewNop()).Start(); !errors.As(err, &followed) || !strings.Contains(err.Error(), "--take-over") {
		t.Errorf("second planner with a new store: %v", err)
	}
	settings.TakeOver = true
	second := New(&settings, zap.NewNop())
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	defer second.Stop()
	f.awaitStatus(second, "ready", allServing)
	if status, text := postOrder(second, planapi.OperationMove, f.engines[0].Addr()); status != http.StatusOK {
		t.Fatal(text)
	}
	f.awaitStatus(first, "deposed", func(status Status) bool { return status.Deposed })
	if status, text := postOrder(first, planapi.OperationMove, f.engines[1].Addr()); status < 400 {
		t.Errorf("deposed planner accepted an order: %s", text)
	}
}

// While saving fails, no order may be sent and no plan published. Once saving succeeds, the planner must continue.
func TestNoOrderOrPlanIsSentBeforeSave(t *testing.T) {
	f := newFleet(t, 2, 2)
	p := f.startPlanner(nil)
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	before := len(f.published())
	var diskFull atomic.Bool
	diskFull.Store(true)
	p.enqueue(func() {
		p.store.failSave = func() error {
			if diskFull.Load() {
				return errors.New("no space left on device")
			}
			return nil
		}
	})
	if status, text := postOrder(p, planapi.OperationMove, f.engines[0].Addr()); status < 400 ||
		!strings.Contains(text, "could not be saved") {
		t.Error(status, text)
	}
	f.awaitStatus(p, "unable to save", func(status Status) bool { return status.SaveFailing })
	if more := len(f.published()) - before; more != 0 {
		t.Errorf("%d plans were published while saving failed", more)
	}
	diskFull.Store(false)
	f.awaitStatus(p, "able to continue", func(status Status) bool {
		return !status.SaveFailing && allServing(status) && f.engines[0].Role() == planapi.Decode
	})
}

// An edge's client must follow the planner across restarts, and must never replace a plan by an older one.
func TestClientKeepsPlanWhilePlannerIsDown(t *testing.T) {
	f := newFleet(t, 2, 2)
	first := f.startPlanner(nil)
	f.settings.Listen = first.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan endpoint.List, 100)
	faults := make(chan error, 100)
	var client sync.WaitGroup
	client.Go(func() {
		planclient.Client{Addr: first.Addr(), IdleTimeout: 2 * time.Second}.Run(ctx,
			func(list endpoint.List) { lists <- list }, func(err error) { faults <- err })
	})
	earlier := <-lists
	if len(earlier.Entries) != 4 || earlier.Entries[0].RoleEpoch != 1 {
		t.Errorf("%+v", earlier)
	}
	first.Stop()
	if err := <-faults; !strings.Contains(err.Error(), "the previous plan stays in use") {
		t.Error(err)
	}
	second := f.startPlanner(nil)
	defer second.Stop()
	f.awaitStatus(second, "ready", allServing)
	if later := <-lists; later.Revision <= earlier.Revision {
		t.Errorf("list %d after %d", later.Revision, earlier.Revision)
	}
	cancel()
	client.Wait()
}
