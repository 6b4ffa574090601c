package planner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// fleet is a set of fake engines with an endpoint file, the settings of their planner, and the plans that were published.
type fleet struct {
	t        *testing.T
	engines  []*engine.Engine
	settings *config.Planner
	mu       sync.Mutex
	plans    []planapi.Plan
}

func newFleet(t *testing.T, prefillEngines, decodeEngines int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	var list endpoint.List
	f.engines, list = startEngines(t, prefillEngines, decodeEngines, engine.Config{RoleChangeTime: 50 * time.Millisecond})
	directory := t.TempDir()
	endpointFile := filepath.Join(directory, "roster.json")
	if err := endpoint.WriteFile(endpointFile, list); err != nil {
		t.Fatal(err)
	}
	f.settings = testSettings(filepath.Join(directory, "planner.db"), endpointFile)
	a := &f.settings.Assignment
	a.DrainTimeout, a.OrderTimeout, a.LoadTimeout, a.TrialTimeout = 2*time.Second, time.Second, 2*time.Second, time.Second
	a.WarmUp, a.Cooldown, a.DrainGrace = 100*time.Millisecond, 500*time.Millisecond, 50*time.Millisecond
	return f
}

// startEngines starts fake engines, which stop at the end of the test, and returns them with their endpoint list.
func startEngines(t testing.TB, prefillEngines, decodeEngines int, engineConfig engine.Config) ([]*engine.Engine, endpoint.List) {
	t.Helper()
	var engines []*engine.Engine
	list := endpoint.List{Revision: 1}
	for i := range prefillEngines + decodeEngines {
		kind := "prefill"
		engineConfig.Name, engineConfig.Role = fmt.Sprint("e", i), planapi.Prefill
		if i >= prefillEngines {
			kind, engineConfig.Role = "decode", planapi.Decode
		}
		e, err := engine.Start(engineConfig, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		engines = append(engines, e)
		list.Entries = append(list.Entries, endpoint.Entry{ID: e.Addr(), Kind: kind, Weight: 1, State: endpoint.Ready})
	}
	return engines, list
}

// testSettings returns the settings of a planner on a free port with the engine kinds prefill and decode.
func testSettings(store, endpointFile string) *config.Planner {
	settings := config.DefaultPlanner()
	settings.Listen, settings.Store, settings.EndpointFile = "127.0.0.1:0", store, endpointFile
	settings.Kinds = []config.EngineKind{{Name: "prefill", Role: config.RolePrefill}, {Name: "decode", Role: config.RoleDecode}}
	settings.RolePairs = []config.RolePair{{PrefillKind: "prefill", DecodeKind: "decode"}}
	return settings
}

// startPlanner starts a planner that stops, as if killed, before the first action for which crash returns true; crash may be
// nil.
func (f *fleet) startPlanner(crash func(assignment.Action) bool) *Planner {
	f.t.Helper()
	p := New(f.settings, zap.NewNop())
	p.CrashBefore = crash
	p.OnPublish = func(plan planapi.Plan) {
		f.mu.Lock()
		f.plans = append(f.plans, plan)
		f.mu.Unlock()
	}
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// published returns the plans that were published so far.
func (f *fleet) published() []planapi.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.plans)
}

// awaitStatus waits until ok returns true for the planner's status. The description of that status is used in failures.
func (f *fleet) awaitStatus(p *Planner, description string, ok func(Status) bool) Status {
	f.t.Helper()
	var status Status
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var err error
		if status, err = getStatus(p); err == nil && ok(status) {
			return status
		}
	}
	f.t.Fatalf("planner did not become %s within 15 s; status %+v", description, status)
	return status
}

// getStatus requests a planner's status over HTTP, as operators do.
func getStatus(p *Planner) (status Status, err error) {
	response, err := http.Get("http://" + p.Addr() + planapi.RolesPath)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}

// allServing reports whether all engines serve and have sent a report.
func allServing(status Status) bool {
	return len(status.Engines) > 0 && !slices.ContainsFunc(status.Engines,
		func(e assignment.EngineView) bool { return e.State != assignment.Serving || e.ReportedMsAgo < 0 })
}

// postOrder sends an operator's order and returns the planner's response.
func postOrder(p *Planner, operation, engine string) (status int, text string) {
	return post(p, planapi.Order{Operation: operation, Engine: engine})
}

func post(p *Planner, order planapi.Order) (status int, text string) {
	order.Operator, order.Reason = "test", "test"
	data, _ := json.Marshal(order)
	response, err := http.Post("http://"+p.Addr()+planapi.OrderPath, "application/json", strings.NewReader(string(data)))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body := make([]byte, 4096)
	n, _ := response.Body.Read(body)
	return response.StatusCode, string(body[:n])
}
