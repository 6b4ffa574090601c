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

// fixture is one edge with a small fleet of fake engines.
type fixture struct {
	t            *testing.T
	log          *audit.Log
	fleet        *scenario.Fleet
	edges        *scenario.Edges
	startedAt    time.Time
	rules        audit.Rules
	requestCount int
}

func newFixture(t *testing.T, configure func(*config.Deployment), configs ...engine.Config) *fixture {
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
	deployment.EndpointFile, deployment.Engines, deployment.ChatAddress = f.fleet.EndpointFile, nil, ""
	if configure != nil {
		configure(deployment)
	}
	f.rules = scenario.AuditRules(deployment)
	if f.edges, err = scenario.StartEdges(1, *deployment, zap.NewNop(), f.log, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.edges.Stop)
	f.waitFor("the edge is ready", func() bool { return f.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed" })
	return f
}

func (f *fixture) call(request loadgen.Request) audit.ClientRecord {
	if request.Timeout == 0 {
		request.Timeout = 3 * time.Second
	}
	if request.Messages == nil {
		request.Messages = []loadgen.Message{{Role: "system", Content: "You caption clips."}, {Role: "user", Content: "The goal."}}
	}
	if request.RequestID == "" {
		f.requestCount++
		request.RequestID = fmt.Sprint("unnamed", f.requestCount)
	}
	c := loadgen.NewClient()
	defer c.Close()
	if request.MaxTokens == 0 {
		request.MaxTokens = 20
	}
	record, _ := c.Do(context.Background(), f.edges.Addrs()[0], request)
	f.log.RecordClient(record)
	return record
}

func (f *fixture) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met within 10 s: %s", what)
		}
	}
}

// checkInvariants waits until edge and engines have no open requests or reservations, and then runs the audit.
func (f *fixture) checkInvariants() {
	f.t.Helper()
	var usage router.InFlight
	heldReservations := 0
	defer func() {
		if f.t.Failed() {
			f.t.Logf("in flight at the edge: %+v; held by engines: %d reservations", usage, heldReservations)
		}
	}()
	f.waitFor("edge and engines have no open requests or reservations", func() bool {
		usage, heldReservations = f.edges.InFlight(context.Background()), 0
		for _, e := range f.fleet.Engines {
			heldReservations += e.HeldReservations()
		}
		return usage.Requests == 0 && usage.ControlRequests == 0 && heldReservations == 0
	})
	for _, violation := range f.log.Check(f.rules, time.Now()) {
		f.t.Error(violation)
	}
}

// singlePairFixture returns a fixture with one prefill and one decode engine, so that their faults affect every request.
func singlePairFixture(t *testing.T, configure func(*config.Deployment)) (f *fixture, prefill, decode *engine.Engine) {
	f = newFixture(t, configure, engine.Config{Name: "r", Role: "read"}, engine.Config{Name: "w", Role: "write"})
	return f, f.fleet.Engines[0], f.fleet.Engines[1]
}

// waitFor waits for a condition that another goroutine or the kernel brings about.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 10 s: %s", what)
		}
	}
}

func waitForSignal(t *testing.T, signal <-chan struct{}) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(10 * time.Second):
		t.Fatal("no signal from the poller within 10 s")
	}
}
