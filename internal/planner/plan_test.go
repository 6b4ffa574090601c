package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/planner/planclient"
)

// fleet is stand-ins, their roster and what a planner of them is told.
type fleet struct {
	t        *testing.T
	engines  []*engine.Engine
	settings *config.Planner
	mu       sync.Mutex
	plans    []planapi.Plan
}

func newFleet(t *testing.T, readers, writers int) *fleet {
	t.Helper()
	f := &fleet{t: t}
	list := endpoint.List{Revision: 1}
	for i := range readers + writers {
		m := engine.Config{Name: fmt.Sprint("e", i), Role: "read", Reload: 50 * time.Millisecond}
		kind := "prefill"
		if i >= readers {
			m.Role, kind = "write", "decode"
		}
		e, err := engine.Start(m, nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		f.engines = append(f.engines, e)
		list.Entries = append(list.Entries, endpoint.Entry{ID: e.Addr(), Kind: kind, Weight: 1,
			State: endpoint.Ready})
	}
	dir := t.TempDir()
	path := filepath.Join(dir, "roster.json")
	if err := endpoint.WriteFile(path, list); err != nil {
		t.Fatal(err)
	}
	f.settings = config.DefaultPlanner()
	f.settings.Listen, f.settings.Store, f.settings.EndpointFile = "127.0.0.1:0", filepath.Join(dir, "planner.db"), path
	f.settings.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	f.settings.RolePairs = []config.RolePair{{PrefillKind: "prefill", DecodeKind: "decode"}}
	b := &f.settings.Assignment
	b.DrainTimeout, b.OrderTimeout, b.LoadTimeout, b.TrialTimeout, b.WarmUp, b.Cooldown, b.DrainGrace = 2*time.Second, time.Second, 2*time.Second,
		time.Second, 100*time.Millisecond,
		500*time.Millisecond, 50*time.Millisecond
	return f
}

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

// awaitStatus waits until ok holds of what the planner shows.
func (f *fleet) awaitStatus(p *Planner, what string, ok func(Status) bool) Status {
	f.t.Helper()
	var s Status
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + p.Addr() + planapi.RolesPath)
		if err != nil {
			f.t.Fatal(err)
		}
		s = Status{}
		err = json.NewDecoder(answer.Body).Decode(&s)
		answer.Body.Close()
		if err == nil && ok(s) {
			return s
		}
	}
	f.t.Fatalf("never %s; it shows %+v", what, s)
	return s
}

func allServing(s Status) bool {
	return len(s.Engines) > 0 && !slices.ContainsFunc(s.Engines,
		func(e assignment.EngineView) bool { return e.State != assignment.Serving || e.ReportedMsAgo < 0 })
}

func postOrder(p *Planner, o planapi.Order) (int, string) {
	o.Operator, o.Reason = "test", "test"
	data, _ := json.Marshal(o)
	answer, err := http.Post("http://"+p.Addr()+planapi.OrderPath, "application/json",
		strings.NewReader(string(data)))
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text := make([]byte, 4096)
	n, _ := answer.Body.Read(text)
	return answer.StatusCode, string(text[:n])
}

// The planner is killed before each effect of a change in turn. The next life must bring the change to its
// end, with plan and engine of one mind.
func TestCrashBeforeEachEffectOfARoleChange(t *testing.T) {
	for k := 1; ; k++ {
		f := newFleet(t, 2, 2)
		var mu sync.Mutex
		moving, count, killed := false, 0, ""
		p := f.startPlanner(func(e assignment.Action) bool {
			mu.Lock()
			defer mu.Unlock()
			if !moving {
				return false
			}
			count++
			if count == k && killed == "" {
				killed = fmt.Sprintf("%T", e)
				return true
			}
			return false
		})
		f.awaitStatus(p, "ready", allServing)
		mu.Lock()
		moving = true
		mu.Unlock()
		postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[0].Addr()})
		done := func(s Status) bool { return allServing(s) }
		crashed := false
		for !crashed {
			select {
			case <-p.Done():
				crashed = true
				continue
			case <-time.After(50 * time.Millisecond):
			}
			var s Status
			answer, err := http.Get("http://" + p.Addr() + planapi.RolesPath)
			if err != nil {
				continue
			}
			err = json.NewDecoder(answer.Body).Decode(&s)
			answer.Body.Close()
			if err == nil && allServing(s) && f.engines[0].Role() == "write" &&
				s.Engines[slices.IndexFunc(s.Engines, func(e assignment.EngineView) bool {
					return e.Engine == f.engines[0].Addr()
				})].Role == "write" {
				break
			}
		}
		p.Stop()
		if !crashed {
			if k < 8 {
				t.Fatalf("a change has %d effects only", k-1)
			}
			return
		}
		q := f.startPlanner(nil)
		s := f.awaitStatus(q, "settled after a kill before "+killed, done)
		for _, e := range s.Engines {
			i := slices.IndexFunc(f.engines, func(x *engine.Engine) bool { return x.Addr() == e.Engine })
			if x := f.engines[i]; x.Role() != e.Role || x.Epoch() != e.Epoch {
				t.Errorf("killed before %s: %s is %s of %d, kept as %s of %d", killed, e.Engine, x.Role(),
					x.Epoch(), e.Role, e.Epoch)
			}
		}
		q.Stop()
		for i := 1; i < len(f.plans); i++ {
			if !f.plans[i].Newer(f.plans[i-1]) {
				t.Errorf("plan %d of term %d follows %d of %d", f.plans[i].Number, f.plans[i].Term,
					f.plans[i-1].Number, f.plans[i-1].Term)
			}
		}
	}
}

// What an engine does that claims a role without having it, or never comes back: it is set aside, and never
// listed.
func TestEnginesThatFailTheirChangeAreSetAside(t *testing.T) {
	for name, faults := range map[string]engine.Faults{"claims a role": {FalseRole: true},
		"never back": {NeverBack: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 2)
			p := f.startPlanner(nil)
			defer p.Stop()
			f.awaitStatus(p, "ready", allServing)
			e := f.engines[0]
			e.SetFaults(faults)
			if status, text := postOrder(p, planapi.Order{Operation: "move",
				Engine: e.Addr()}); status != http.StatusOK {
				t.Fatal(status, text)
			}
			f.awaitStatus(p, "set aside", func(s Status) bool {
				return slices.ContainsFunc(s.Engines,
					func(x assignment.EngineView) bool {
						return x.Engine == e.Addr() && x.State == assignment.Quarantined &&
							x.Fault != ""
					})
			})
			f.mu.Lock()
			for _, plan := range f.plans {
				for _, x := range plan.Engines {
					if x.Engine == e.Addr() && x.Kind == "decode" {
						t.Errorf("plan %d lists it as a writer", plan.Number)
					}
				}
			}
			f.mu.Unlock()
			// Mended, it comes back by itself after its rest, in the role that it had.
			e.SetFaults(engine.Faults{})
			f.awaitStatus(p, "back", allServing)
			if e.Role() != "read" {
				t.Errorf("it came back as %s", e.Role())
			}
		})
	}
}

// A drain that an engine does not come to the end of is called off; nothing is cut.
func TestOperatorOrdersAreRejectedWithReason(t *testing.T) {
	f := newFleet(t, 1, 2)
	p := f.startPlanner(nil)
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	for _, c := range []struct {
		o    planapi.Order
		want string
	}{
		{planapi.Order{Operation: "move", Engine: f.engines[0].Addr()}, "must stay"},
		{planapi.Order{Operation: "move", Engine: "127.0.0.1:1"}, "no such engine"},
		{planapi.Order{Operation: "readmit", Engine: f.engines[1].Addr()}, "not aside"},
		{planapi.Order{Operation: "go"}, "already"},
		{planapi.Order{Operation: "fly"}, "one of"},
		{planapi.Order{Operation: "stop", Engine: "x"}, "with engine"},
	} {
		if status, text := postOrder(p, c.o); status < 400 || !strings.Contains(text, c.want) {
			t.Errorf("%+v: %d %s", c.o, status, text)
		}
	}
	if status, _ := postOrder(p, planapi.Order{Operation: "pin",
		Engine: f.engines[1].Addr()}); status != http.StatusOK {
		t.Error("pin refused")
	}
	if status, text := postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[1].Addr()}); status < 400 ||
		!strings.Contains(text, "pinned") {
		t.Error(status, text)
	}
	if status, text := postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[2].Addr(),
		DryRun: true}); status != http.StatusOK || !strings.Contains(text, "leaves") {
		t.Error(status, text)
	}
	if f.engines[2].Epoch() != 1 {
		t.Error("a dry run changed something")
	}
}

// A second planner: on the same store it does not start; with a store of its own only if it is told to, and
// then the first one is fenced off by its engines.
func TestSecondPlannerIsFenced(t *testing.T) {
	f := newFleet(t, 2, 2)
	p := f.startPlanner(nil)
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	// An order makes the engines know of its term.
	postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[0].Addr()})
	f.awaitStatus(p, "moved", func(s Status) bool { return allServing(s) && f.engines[0].Role() == "write" })
	if err := New(f.settings, zap.NewNop()).Start(); !errors.Is(err, ErrStoreInUse) {
		t.Errorf("on the same store: %v", err)
	}
	other := *f.settings
	other.Store = filepath.Join(t.TempDir(), "other.db")
	if err := New(&other, zap.NewNop()).Start(); err == nil || !strings.Contains(err.Error(), "--take-over") {
		t.Errorf("with a new store: %v", err)
	}
	other.TakeOver = true
	q := New(&other, zap.NewNop())
	if err := q.Start(); err != nil {
		t.Fatal(err)
	}
	defer q.Stop()
	f.awaitStatus(q, "ready", allServing)
	if status, text := postOrder(q, planapi.Order{Operation: "move",
		Engine: f.engines[0].Addr()}); status != http.StatusOK {
		t.Fatal(text)
	}
	f.awaitStatus(p, "deposed", func(s Status) bool { return s.Deposed })
	if status, text := postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[1].Addr()}); status < 400 {
		t.Errorf("a deposed planner takes orders: %s", text)
	}
}

// While nothing can be kept, nothing is asked and nothing published; once it can, it goes on.
func TestNothingIsSentBeforeItIsSaved(t *testing.T) {
	f := newFleet(t, 2, 2)
	p := f.startPlanner(nil)
	defer p.Stop()
	f.awaitStatus(p, "ready", allServing)
	f.mu.Lock()
	before := len(f.plans)
	f.mu.Unlock()
	var mu sync.Mutex
	full := true
	p.enqueue(func() {
		p.store.failSave = func() error {
			mu.Lock()
			defer mu.Unlock()
			if full {
				return errors.New("no space left on device")
			}
			return nil
		}
	})
	if status, text := postOrder(p, planapi.Order{Operation: "move", Engine: f.engines[0].Addr()}); status < 400 ||
		!strings.Contains(text, "could not be kept") {
		t.Error(status, text)
	}
	f.awaitStatus(p, "stuck", func(s Status) bool { return s.SaveFailing })
	f.mu.Lock()
	if len(f.plans) != before {
		t.Errorf("%d plans went out while nothing could be kept", len(f.plans)-before)
	}
	f.mu.Unlock()
	mu.Lock()
	full = false
	mu.Unlock()
	f.awaitStatus(p, "going on", func(s Status) bool {
		return !s.SaveFailing && allServing(s) &&
			f.engines[0].Role() == "write"
	})
}

// An edge follows over restarts of the planner, and never goes back to an older plan.
func TestClientKeepsPlanWhilePlannerIsDown(t *testing.T) {
	f := newFleet(t, 2, 2)
	p := f.startPlanner(nil)
	f.settings.Listen = p.Addr()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan endpoint.List, 100)
	faults := make(chan error, 100)
	var all sync.WaitGroup
	all.Go(func() {
		planclient.Client{Addr: p.Addr(), IdleTimeout: 2 * time.Second}.Run(ctx, func(l endpoint.List) { lists <- l },
			func(err error) { faults <- err })
	})
	first := <-lists
	if len(first.Entries) != 4 || first.Entries[0].RoleEpoch != 1 {
		t.Errorf("%+v", first)
	}
	p.Stop()
	if err := <-faults; !strings.Contains(err.Error(), "the plan before stays") {
		t.Error(err)
	}
	q := f.startPlanner(nil)
	defer q.Stop()
	f.awaitStatus(q, "ready", allServing)
	if later := <-lists; later.Revision <= first.Revision {
		t.Errorf("list %d after %d", later.Revision, first.Revision)
	}
	cancel()
	all.Wait()
}

// Whatever happens to a store's bytes, it is opened or told, and what comes out of it is what was kept.
func TestDamagedStoreIsDetected(t *testing.T) {
	dir := t.TempDir()
	records := []assignment.Record{{Engine: "127.0.0.1:1", Role: "read", Epoch: 3, State: assignment.Ordered,
		NextRole: "write", NextEpoch: 4}}
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		path := filepath.Join(dir, fmt.Sprint(n, ".db"))
		s, _, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		s.SaveTerm(7)
		if err := s.Save(assignment.Persist{Records: records, Meta: assignment.Meta{PlanNumber: 9}}); err != nil {
			t.Fatal(err)
		}
		s.Close()
		data, _ := os.ReadFile(path)
		switch rapid.SampledFrom([]string{"cut", "flip", "zero", "none"}).Draw(t, "damage") {
		case "cut":
			data = data[:rapid.IntRange(0, len(data)).Draw(t, "at")]
		case "flip":
			for range rapid.IntRange(1, 4).Draw(t, "bits") {
				data[rapid.IntRange(0, len(data)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t,
					"bit")
			}
		case "zero":
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			clear(data[at:min(len(data), at+4096)])
		}
		os.WriteFile(path, data, 0o600)
		s, stored, err := Open(path)
		if err != nil {
			return // told, and nothing is invented
		}
		defer s.Close()
		if stored.Term != 0 && stored.Term != 7 || len(stored.Records) > 1 || len(stored.Records) == 1 &&
			stored.Records[0] != records[0] {
			t.Fatalf("invented: %+v", stored)
		}
	})
}
