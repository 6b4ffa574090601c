package scenario

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/planner"
	"sandcourse/internal/planner/planapi"
	"sandcourse/settings"
)

// While the load shifts from prefill to decode, the planner is killed about every nine seconds, one engine restarts and another
// reports ten times its work. Engines must change roles, no invariant may be violated, all reservations must be released, and
// each published plan must be newer than the one before.
func TestLoadShiftKeepsInvariants(t *testing.T) {
	var mu sync.Mutex
	var newest planapi.Plan
	shift := LoadShift{PrefillEngines: 4, DecodeEngines: 4, Edges: 2, KillPlanner: true, Seed: 3, Phases: []Phase{
		{Name: "long prompts", Duration: 20 * time.Second, RequestRate: 30, UserWords: 1500, MaxTokens: 24},
		{Name: "long responses", Duration: 8 * time.Second, RequestRate: 20, UserWords: 40, MaxTokens: 200}},
		OnPlan: func(p planapi.Plan) {
			mu.Lock()
			defer mu.Unlock()
			if !p.Newer(newest) {
				t.Errorf("plan %d of term %d is published after plan %d of term %d", p.Number, p.Term, newest.Number, newest.Term)
			}
			newest = p
		},
		Faults: func(ctx context.Context, f *Fleet) {
			f.Engines[7].SetFaults(engine.Faults{ReportedWorkFactor: 10})
			select {
			case <-ctx.Done():
			case <-time.After(9 * time.Second):
				if err := f.Engines[0].Restart(); err != nil {
					t.Error(err)
				}
			}
		}}
	result, err := shift.Run(context.Background(), t.TempDir(), zap.NewNop(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if result.HeldAtEnd > 0 || result.RoleChanges == 0 || result.PlannerKills < 2 {
		t.Errorf("%d reservations held at the end, %d role changes, %d planner kills",
			result.HeldAtEnd, result.RoleChanges, result.PlannerKills)
	}
}

// An engine changes its role while one edge follows the planner and the other an endpoint list that never changes. The engine
// rejects the second edge's attempts for the old role without running them. The attempts are retried on other engines, and no
// invariant is violated.
func TestAttemptsFromStaleListAreRejectedWithoutViolations(t *testing.T) {
	dir := t.TempDir()
	records := &audit.Log{}
	d, err := config.Read("demo.star", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	var configs []engine.Config
	for i := range 6 {
		configs = append(configs, loadShiftEngineConfig(i, 3, d.Rules))
	}
	fleet, err := StartFleet(dir, configs, records)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	p := planner.New(LoadShift{}.PlannerConfig(fleet, dir), zap.NewNop())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	following, stale := *d, *d
	following.EndpointFile, following.PlannerAddress = "", p.Addr()
	list := endpoint.List{Revision: 1}
	for _, e := range fleet.endpoints.Entries {
		e.RoleEpoch = 1
		list.Entries = append(list.Entries, e)
	}
	stale.EndpointFile = filepath.Join(dir, "stale.json")
	if err := endpoint.WriteFile(stale.EndpointFile, list); err != nil {
		t.Fatal(err)
	}
	var addrs []string
	for i, base := range []config.Deployment{following, stale} {
		base.ChatAddress = "127.0.0.1:0"
		edges, err := StartEdges(1, base, zap.NewNop(), records, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		defer edges.Stop()
		if err := edges.awaitReady(context.Background()); err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, edges.Addrs()...)
	}
	moved := fleet.Engines[0]
	var ordering sync.WaitGroup
	ordering.Go(func() {
		time.Sleep(2 * time.Second) // The traffic lasts eight seconds.
		response, err := http.Post("http://"+p.Addr()+planapi.OrderPath, "application/json",
			strings.NewReader(`{"op":"move","engine":"`+moved.Addr()+`","who":"test","why":"test"}`))
		if err != nil || response.StatusCode != http.StatusOK {
			t.Error(err, response)
		}
	})
	routes := []loadgen.Route{}
	for _, r := range d.Routes {
		routes = append(routes, loadgen.Route{Name: r.Name, Share: 1, PriorityWeight: r.PriorityWeight,
			Retriable: r.Effect == config.EffectRetriable, FirstTokenTarget: r.FirstTokenObjective,
			Timeout: r.Timeout, MaxTokens: 24})
	}
	loadgen.Traffic{Edges: func() []string { return addrs }, Routes: routes, Rate: 20, Duration: 8 * time.Second,
		Seed: 5, Prefixes: 4, PrefixWords: 100,
		Turns: 2, Retries: 1, Log: records}.Run(context.Background())
	ordering.Wait()
	if moved.Role() != "write" {
		t.Errorf("engine still has role %s of epoch %d", moved.Role(), moved.Epoch())
	}
	for _, violation := range records.Check(AuditRules(d), time.Now()) {
		t.Error(violation)
	}
	summary := loadgen.Summarize(records.ClientRecords(), routes)
	if summary.Outcomes["errored"] > 0 || summary.InTime < 0.9*summary.Offered {
		t.Errorf("outcomes %v, share of value completed in time %.2f", summary.Outcomes, summary.InTime/summary.Offered)
	}
}
