package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/settings"
)

// uncheckedRouter sends attempts to fake engines without any check, so that tests can violate each invariant.
type uncheckedRouter struct {
	t     *testing.T
	log   *audit.Log
	fleet *Fleet
}

func newUncheckedRouter(t *testing.T) uncheckedRouter {
	t.Helper()
	log := &audit.Log{}
	fleet, err := StartFleet(t.TempDir(), []engine.Config{{Name: "r", Role: "read", AttemptRate: 2},
		{Name: "w", Role: "write"}, {Name: "v", Role: "write"}}, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Stop)
	return uncheckedRouter{t, log, fleet}
}

func (c uncheckedRouter) send(to *engine.Engine, requestID, clientRequestID string, transfer *engineapi.KVTransfer) engineapi.KVTransfer {
	call, err := chat.ParseRequest([]byte(`{"model":"fan-alert","max_tokens":2,"messages":[{"role":"user","content":"a"}]}`), nil)
	if err != nil { // The function send may run in its own goroutine, in which Fatal must not be called.
		c.t.Error(err)
		return engineapi.KVTransfer{}
	}
	extraFields := map[string]any{"kv_transfer_params": engineapi.KVTransfer{RemoteDecode: true}}
	if transfer != nil {
		extraFields["kv_transfer_params"] = transfer
	}
	body, _ := call.RewrittenBody(extraFields)
	r, _ := http.NewRequest(http.MethodPost, "http://"+to.Addr()+engineapi.ChatPath, bytes.NewReader(body))
	r.Header.Set(chat.HeaderRequestID, requestID)
	r.Header.Set(chat.HeaderClientRequestID, clientRequestID)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return engineapi.KVTransfer{}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	transferred, _, _ := engineapi.ParsePrefillResponse(text)
	return transferred
}

func (c uncheckedRouter) violatedRules() (rules []int) {
	d, err := config.Read("demo", []byte(settings.Demo))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, violation := range c.log.Check(AuditRules(d), time.Now()) {
		rules = append(rules, int(violation.Rule))
		if violation.RequestID != "" && len(c.log.Trace(violation.RequestID)) == 0 {
			c.t.Errorf("request %s has no trace", violation.RequestID)
		}
	}
	return rules
}

func (c uncheckedRouter) expectOnlyRuleViolated(rule int) {
	c.t.Helper()
	got := c.violatedRules()
	if len(got) == 0 || got[0] != rule || got[len(got)-1] != rule {
		c.t.Errorf("violated rules %v, want only %d", got, rule)
	}
}

// The check of each rule must detect a violation of that rule, and a run without violations must pass.
func TestAuditDetectsEachViolation(t *testing.T) {
	now := time.Now()
	recordClient := func(c uncheckedRouter, requestID, clientRequestID string, outcome audit.Outcome, outcomes int, end time.Time) {
		c.log.RecordClient(audit.ClientRecord{ClientRequestID: clientRequestID, RequestID: requestID, Route: "fan-alert", Edge: "x", Sent: now, End: end,
			Deadline: now.Add(time.Second), Outcome: outcome, OutcomeCount: outcomes})
	}
	t.Run("none", func(t *testing.T) {
		c := newUncheckedRouter(t)
		state := c.send(c.fleet.Engines[0], "x-1", "one", nil)
		c.send(c.fleet.Engines[1], "x-1", "one", &state)
		recordClient(c, "x-1", "one", "completed", 1, time.Now())
		if got := c.violatedRules(); len(got) > 0 {
			t.Error(got)
		}
	})
	t.Run("1 two responses, no response, a late response, and an attempt after the final response", func(t *testing.T) {
		c := newUncheckedRouter(t)
		recordClient(c, "x-1", "one", "completed", 2, now)
		recordClient(c, "x-2", "two", "lost", 0, now)
		recordClient(c, "x-3", "three", "shed", 1, now.Add(2*time.Second))
		recordClient(c, "x-4", "four", "shed", 1, now.Add(-time.Second))
		c.send(c.fleet.Engines[1], "x-4", "four", &engineapi.KVTransfer{RemotePrefill: true, Host: "127.0.0.1", Port: 1})
		if got := c.violatedRules(); !reflect.DeepEqual(got, []int{1, 1, 1, 1}) {
			t.Error(got)
		}
	})
	t.Run("2 a non-retriable request runs twice", func(t *testing.T) {
		c := newUncheckedRouter(t)
		recordClient(c, "x-1", "one", "completed", 1, time.Now().Add(time.Second))
		for i := range 2 {
			state := c.send(c.fleet.Engines[0], "x-1", "one", nil)
			c.send(c.fleet.Engines[1+i], "x-1", "one", &state)
		}
		c.expectOnlyRuleViolated(2)
	})
	t.Run("2 two attempts at the same time", func(t *testing.T) {
		c := newUncheckedRouter(t)
		for i := range 2 {
			c.fleet.Engines[i].SetFaults(engine.Faults{Unresponsive: true})
			go c.send(c.fleet.Engines[i], "x-1", "one", nil)
		}
		time.Sleep(300 * time.Millisecond)
		c.expectOnlyRuleViolated(2)
		for i := range 2 {
			c.fleet.Engines[i].SetFaults(engine.Faults{})
		}
	})
	t.Run("3 an attempt to a draining engine", func(t *testing.T) {
		c := newUncheckedRouter(t)
		c.fleet.Drain(c.fleet.Engines[1], true)
		time.Sleep(600 * time.Millisecond)
		c.send(c.fleet.Engines[1], "x-1", "one", &engineapi.KVTransfer{RemotePrefill: true, Host: "127.0.0.1", Port: 1})
		c.expectOnlyRuleViolated(3)
	})
	t.Run("4 an engine that is warming up is overloaded", func(t *testing.T) {
		c := newUncheckedRouter(t)
		if err := c.fleet.Engines[0].Restart(); err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			state := c.send(c.fleet.Engines[0], fmt.Sprint("x-", i), fmt.Sprint(i), nil)
			c.send(c.fleet.Engines[1], fmt.Sprint("x-", i), fmt.Sprint(i), &state)
		}
		c.expectOnlyRuleViolated(4)
	})
	t.Run("5 a reservation is not released", func(t *testing.T) {
		c := newUncheckedRouter(t)
		c.send(c.fleet.Engines[0], "x-1", "one", nil)
		time.Sleep(1300 * time.Millisecond)
		c.expectOnlyRuleViolated(5)
	})
}

func TestFaultStepsAreDeterministicAndEndEachFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault {
			return Fault{Kind: rapid.SampledFrom(FaultKinds()).Draw(t, "kind"), Fraction: rapid.Float64Range(0, 1).Draw(t, "part"),
				At: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "at")), Duration: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "len"))}
		}), 0, 5).Draw(t, "troubles")
		a, b := FaultSteps(faults, 9, 4, 3, 1), FaultSteps(faults, 9, 4, 3, 1)
		if !reflect.DeepEqual(a, b) {
			t.Fatal("steps differ for the same faults and seed")
		}
		active := map[FaultKind]int{}
		for _, s := range a {
			if s.Engine >= 9 || s.Edge >= 3 {
				t.Fatalf("%+v has a target that does not exist", s)
			}
			if s.Engine >= 0 && s.Kind != FaultAgeing && s.Kind != FaultCacheFlush {
				active[s.Kind] += map[bool]int{true: -1, false: 1}[s.EndsFault]
			}
		}
		for kind, n := range active {
			if n != 0 {
				t.Fatalf("fault %s does not end", kind)
			}
		}
	})
}

const shortScript = `
day(length = "1500ms", rate = 40, seed = 3)
edges(count = 2)
fleet(readers = 2, writers = 2)
kind(name = "prefill", role = "read")
kind(name = "decode", role = "write")
route(name = "clip-summary", effect = "retriable")
client(route = "clip-summary")
trouble(kind = "slow", at = "200ms", length = "500ms", part = 0.5, size = 3)
`

func TestShortScenarioHasNoViolations(t *testing.T) {
	parsed, err := Parse("short", []byte(shortScript))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	result, err := parsed.Run(context.Background(), t.TempDir(), zap.NewNop(), io.Discard)
	if err != nil || len(result.Violations) > 0 || result.Summary.Outcomes["completed"] == 0 {
		t.Errorf("%+v, %v", result, err)
	}
	result.Print(&out)
	if !strings.Contains(out.String(), "all five invariants hold") {
		t.Error(out.String())
	}
}

func TestScriptFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("d.star", []byte(shortScript+"trouble(kind = \"quake\", at = 3)\nclient(route = \"x\")\n"))
	if err == nil {
		t.Fatal("invalid script is accepted")
	}
	for _, want := range []string{"d.star:10: kind: must be one of ageing", "d.star:10: at: must be a duration"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q does not contain %q", err, want)
		}
	}
	if _, err := Import([]byte(`{"v":1}`), 1); err == nil {
		t.Error("file that is not a benchmark scenario is accepted")
	}
	if _, err := Import([]byte(benchJSON), 0.5); err != nil {
		t.Error(err)
	}
}

// benchJSON is a minimal benchmark scenario.
const benchJSON = `{"family":"twostage","kind":"trouble","noise":12,"length":2000000,"drain_grace":250000,"fall_for":1000000,
"traffic":{"load":0.5},"clients":{"retries":1},"classes":[{"name":"a","share":1,"aim":1000000,"deadline":2000000,"worth":1,
"effect":"safe"}],"servers":[{"kind":0},{"kind":1}],"balancers":[{}],"troubles":[{"kind":"vanish","at":500000,"len":400000,
"size":0,"on":[1]}],"fam":{"roles":["read","write"],"release":1000000,"talks":[{"prefixes":3}]}}`

func TestOpenLoopDoesNotWaitForResponses(t *testing.T) {
	// With an engine that never responds, an open-loop client still starts all attempts at their scheduled times.
	startedAt := time.Now()
	log := &audit.Log{}
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	fleet, err := StartFleet(t.TempDir(), []engine.Config{{Role: "write"}}, log)
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	fleet.Engines[0].SetFaults(engine.Faults{Unresponsive: true})
	loadgen.Traffic{Edges: func() []string { return []string{fleet.Engines[0].Addr()} }, Rate: 200,
		Duration: 500 * time.Millisecond, Seed: 1, Prefixes: 1, PrefixWords: 3, Turns: 1, Log: log,
		Routes: []loadgen.Route{{Name: "a", Share: 1, Timeout: 100 * time.Millisecond}}}.Run(ctx)
	if n := len(log.ClientRecords()); n < 50 || n > 200 {
		t.Errorf("%d attempts in %v", n, time.Since(startedAt))
	}
}
