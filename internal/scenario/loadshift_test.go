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

// Load shifts to prefill and to decode, the planner is killed every nine seconds, an engine crashes and another reports
// false work: engines follow the load, the five rules hold, no reservation stays, and all edges and engines agree at the
// end.
func TestLoadShiftKeepsTheRules(t *testing.T) {
	var mu sync.Mutex
	var newest planapi.Plan
	tilt := LoadShift{PrefillEngines: 4, DecodeEngines: 4, Edges: 2, KillPlanner: true, Seed: 3, Phases: []Phase{
		{Name: "long prompts", Duration: 20 * time.Second, RequestRate: 30, UserWords: 1500, MaxTokens: 24},
		{Name: "long answers", Duration: 8 * time.Second, RequestRate: 20, UserWords: 40, MaxTokens: 200}},
		OnPlan: func(p planapi.Plan) {
			mu.Lock()
			defer mu.Unlock()
			if !p.Newer(newest) {
				t.Errorf("plan %d of term %d follows %d of %d", p.Number, p.Term, newest.Number, newest.Term)
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
	res, err := tilt.Run(context.Background(), t.TempDir(), zap.NewNop(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Violations {
		t.Error(b)
	}
	if res.HeldAtEnd > 0 || res.RoleChanges == 0 || res.PlannerKills < 2 {
		t.Errorf("held %d, changes %d, kills %d", res.HeldAtEnd, res.RoleChanges, res.PlannerKills)
	}
}

// One edge follows the planner, the other a list that never changes again. An engine changes its role under both: what
// the second sends it by its old list is rejected as certainly not run, is retried elsewhere, and no rule is violated.
func TestEdgesOnDifferentPlans(t *testing.T) {
	dir := t.TempDir()
	seen := &audit.Log{}
	d, err := config.Read("demo.star", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	var configs []engine.Config
	for i := range 6 {
		configs = append(configs, loadShiftEngine(i, 3, d.Rules))
	}
	fleet, err := StartFleet(dir, configs, seen)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	p := planner.New(LoadShift{}.Planning(fleet, dir), zap.NewNop())
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Stop()
	follows, stale := *d, *d
	follows.EndpointFile, follows.PlannerAddress = "", p.Addr()
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
	for i, base := range []config.Deployment{follows, stale} {
		base.ChatAddress = "127.0.0.1:0"
		edges, err := StartEdges(1, base, zap.NewNop(), seen, uint64(i))
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
	var all sync.WaitGroup
	all.Go(func() {
		time.Sleep(2 * time.Second) // of eight
		answer, err := http.Post("http://"+p.Addr()+planapi.OrderPath, "application/json",
			strings.NewReader(`{"op":"move","engine":"`+moved.Addr()+`","who":"test","why":"test"}`))
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Error(err, answer)
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
		Turns: 2, Retries: 1, Log: seen}.Run(context.Background())
	all.Wait()
	if moved.Role() != "write" {
		t.Errorf("it is still %s of epoch %d", moved.Role(), moved.Epoch())
	}
	for _, b := range seen.Check(AuditRules(d), time.Now()) {
		t.Error(b)
	}
	sum := loadgen.Summarize(seen.ClientRecords(), routes)
	if sum.Outcomes["errored"] > 0 || sum.InTime < 0.9*sum.Offered {
		t.Errorf("%v, %.2f of value in time", sum.Outcomes, sum.InTime/sum.Offered)
	}
}
