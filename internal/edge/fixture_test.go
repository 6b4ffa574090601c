package edge_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/router"
	"sandcourse/internal/scenario"
	"sandcourse/settings"
)

// fixture is one edge and a small fleet of fake engines.
type fixture struct {
	t            *testing.T
	log          *audit.Log
	fleet        *scenario.Fleet
	edges        *scenario.Edges
	startedAt    time.Time
	rules        audit.Rules
	requestCount int
}

func newFixture(t *testing.T, alter func(*config.Deployment), configs ...engine.Config) *fixture {
	t.Helper()
	if configs == nil {
		configs = []engine.Config{{Name: "r0", Role: "read"}, {Name: "r1", Role: "read"},
			{Name: "w0", Role: "write"}, {Name: "w1", Role: "write"}}
	}
	f := &fixture{t: t, log: &audit.Log{}, startedAt: time.Now()}
	var err error
	if f.fleet, err = scenario.StartFleet(t.TempDir(), configs, f.log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.fleet.Stop)
	deployment, err := config.Read("default", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	deployment.EndpointFile, deployment.Engines, deployment.ChatAddress = f.fleet.Path, nil, ""
	if alter != nil {
		alter(deployment)
	}
	f.rules = scenario.AuditRules(deployment)
	if f.edges, err = scenario.StartEdges(1, *deployment, zap.NewNop(), f.log, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.edges.Stop)
	f.waitFor("the edge is ready", func() bool { return f.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed" })
	return f
}

func (f *fixture) call(a loadgen.Request) audit.ClientRecord {
	if a.Timeout == 0 {
		a.Timeout = 3 * time.Second
	}
	if a.Messages == nil {
		a.Messages = []loadgen.Message{{Role: "system", Content: "You caption clips."}, {Role: "user", Content: "The goal."}}
	}
	if a.RequestID == "" {
		f.requestCount++
		a.RequestID = fmt.Sprint("unnamed", f.requestCount)
	}
	c := loadgen.NewClient()
	defer c.Close()
	if a.MaxTokens == 0 {
		a.MaxTokens = 20
	}
	seen, _ := c.Do(context.Background(), f.edges.Addrs()[0], a)
	f.log.RecordClient(seen)
	return seen
}

func (f *fixture) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// checkRules waits until nothing is held any more and then has the audit check the invariants.
func (f *fixture) checkRules() {
	f.t.Helper()
	var usage router.InFlight
	held := 0
	defer func() {
		if f.t.Failed() {
			f.t.Logf("the edge holds %+v, engines %d reservations", usage, held)
		}
	}()
	f.waitFor("edge and engines hold nothing", func() bool {
		usage, held = f.edges.Holding(context.Background()), 0
		for _, e := range f.fleet.Engines {
			held += e.HeldReservations()
		}
		return usage.Requests == 0 && usage.ControlRequests == 0 && held == 0
	})
	for _, b := range f.log.Check(f.rules, time.Now()) {
		f.t.Error(b)
	}
}

// singlePairFixture has one prefill and one decode engine, whose faults hit every request.
func singlePairFixture(t *testing.T, alter func(*config.Deployment)) (f *fixture, prefill, decode *engine.Engine) {
	f = newFixture(t, alter, engine.Config{Name: "r", Role: "read"}, engine.Config{Name: "w", Role: "write"})
	return f, f.fleet.Engines[0], f.fleet.Engines[1]
}

// waitFor waits for what another goroutine or the kernel does.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func waitForSignal(t *testing.T, comes <-chan struct{}) {
	t.Helper()
	select {
	case <-comes:
	case <-time.After(10 * time.Second):
		t.Fatal("the poller does not come")
	}
}
