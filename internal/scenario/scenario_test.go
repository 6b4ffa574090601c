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

// uncheckedRouter is a router without any invariant: it does to fake engines what the edge never must.
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

func (c uncheckedRouter) send(to *engine.Engine, name, request string, transfer *engineapi.KVTransfer) engineapi.KVTransfer {
	call, err := chat.ParseRequest([]byte(`{"model":"fan-alert","max_tokens":2,"messages":[{"role":"user","content":"a"}]}`), nil)
	if err != nil { // it may be called in a goroutine of its own, where Fatal must not be
		c.t.Error(err)
		return engineapi.KVTransfer{}
	}
	put := map[string]any{"kv_transfer_params": engineapi.KVTransfer{RemoteDecode: true}}
	if transfer != nil {
		put["kv_transfer_params"] = transfer
	}
	body, _ := call.RewrittenBody(put)
	r, _ := http.NewRequest(http.MethodPost, "http://"+to.Addr()+engineapi.ChatPath, bytes.NewReader(body))
	r.Header.Set(chat.HeaderRequestID, name)
	r.Header.Set(chat.HeaderClientRequestID, request)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return engineapi.KVTransfer{}
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	got, _, _ := engineapi.ParsePrefillResponse(text)
	return got
}

func (c uncheckedRouter) violatedRules() (rules []int) {
	d, err := config.Read("demo", []byte(settings.Demo))
	if err != nil {
		c.t.Fatal(err)
	}
	for _, b := range c.log.Check(AuditRules(d), time.Now()) {
		rules = append(rules, int(b.Rule))
		if b.RequestID != "" && len(c.log.Trace(b.RequestID)) == 0 {
			c.t.Errorf("no trace of %s", b.RequestID)
		}
	}
	return rules
}

func (c uncheckedRouter) want(rule int) {
	c.t.Helper()
	got := c.violatedRules()
	if len(got) == 0 || got[0] != rule || got[len(got)-1] != rule {
		c.t.Errorf("violated rules %v, want %d alone", got, rule)
	}
}

// Each rule's check fails where a router violates it, and holds for the same router where it does not.
func TestAuditDetectsEachViolation(t *testing.T) {
	now := time.Now()
	call := func(c uncheckedRouter, name, request string, outcome audit.Outcome, outcomes int, end time.Time) {
		c.log.RecordClient(audit.ClientRecord{ClientRequestID: request, RequestID: name, Route: "fan-alert", Edge: "x", Sent: now, End: end,
			Deadline: now.Add(time.Second), Outcome: outcome, OutcomeCount: outcomes})
	}
	t.Run("none", func(t *testing.T) {
		c := newUncheckedRouter(t)
		state := c.send(c.fleet.Engines[0], "x-1", "one", nil)
		c.send(c.fleet.Engines[1], "x-1", "one", &state)
		call(c, "x-1", "one", "completed", 1, time.Now())
		if got := c.violatedRules(); len(got) > 0 {
			t.Error(got)
		}
	})
	t.Run("1 two responses, none, a late one, and an attempt after the end", func(t *testing.T) {
		c := newUncheckedRouter(t)
		call(c, "x-1", "one", "completed", 2, now)
		call(c, "x-2", "two", "lost", 0, now)
		call(c, "x-3", "three", "shed", 1, now.Add(2*time.Second))
		call(c, "x-4", "four", "shed", 1, now.Add(-time.Second))
		c.send(c.fleet.Engines[1], "x-4", "four", &engineapi.KVTransfer{RemotePrefill: true, Host: "127.0.0.1", Port: 1})
		if got := c.violatedRules(); !reflect.DeepEqual(got, []int{1, 1, 1, 1}) {
			t.Error(got)
		}
	})
	t.Run("2 an alert runs twice", func(t *testing.T) {
		c := newUncheckedRouter(t)
		call(c, "x-1", "one", "completed", 1, time.Now().Add(time.Second))
		for i := range 2 {
			state := c.send(c.fleet.Engines[0], "x-1", "one", nil)
			c.send(c.fleet.Engines[1+i], "x-1", "one", &state)
		}
		c.want(2)
	})
	t.Run("2 two attempts at once", func(t *testing.T) {
		c := newUncheckedRouter(t)
		for i := range 2 {
			c.fleet.Engines[i].SetFaults(engine.Faults{Unresponsive: true})
			go c.send(c.fleet.Engines[i], "x-1", "one", nil)
		}
		time.Sleep(300 * time.Millisecond)
		c.want(2)
		for i := range 2 {
			c.fleet.Engines[i].SetFaults(engine.Faults{})
		}
	})
	t.Run("3 an attempt at a draining engine", func(t *testing.T) {
		c := newUncheckedRouter(t)
		c.fleet.Drain(c.fleet.Engines[1], true)
		time.Sleep(600 * time.Millisecond)
		c.send(c.fleet.Engines[1], "x-1", "one", &engineapi.KVTransfer{RemotePrefill: true, Host: "127.0.0.1", Port: 1})
		c.want(3)
	})
	t.Run("4 a warming engine is overloaded", func(t *testing.T) {
		c := newUncheckedRouter(t)
		if err := c.fleet.Engines[0].Restart(); err != nil {
			t.Fatal(err)
		}
		for i := range 20 {
			state := c.send(c.fleet.Engines[0], fmt.Sprint("x-", i), fmt.Sprint(i), nil)
			c.send(c.fleet.Engines[1], fmt.Sprint("x-", i), fmt.Sprint(i), &state)
		}
		c.want(4)
	})
	t.Run("5 a reservation is not released", func(t *testing.T) {
		c := newUncheckedRouter(t)
		c.send(c.fleet.Engines[0], "x-1", "one", nil)
		time.Sleep(1300 * time.Millisecond)
		c.want(5)
	})
}

func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fault {
			return Fault{Kind: rapid.SampledFrom(FaultKinds()).Draw(t, "kind"), Fraction: rapid.Float64Range(0, 1).Draw(t, "part"),
				At: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "at")), Duration: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "len"))}
		}), 0, 5).Draw(t, "troubles")
		a, b := Plan(list, 9, 4, 3, 1), Plan(list, 9, 4, 3, 1)
		if !reflect.DeepEqual(a, b) {
			t.Fatal("two plans")
		}
		on := map[FaultKind]int{}
		for _, s := range a {
			if s.Engine >= 9 || s.Edge >= 3 {
				t.Fatalf("%+v strikes nothing", s)
			}
			if s.Engine >= 0 && s.Kind != FaultAgeing && s.Kind != FaultCacheFlush {
				on[s.Kind] += map[bool]int{true: -1, false: 1}[s.Ends]
			}
		}
		for kind, n := range on {
			if n != 0 {
				t.Fatalf("%s does not end", kind)
			}
		}
	})
}

const shortDay = `
day(length = "1500ms", rate = 40, seed = 3)
edges(count = 2)
fleet(readers = 2, writers = 2)
kind(name = "prefill", role = "read")
kind(name = "decode", role = "write")
route(name = "clip-summary", effect = "retriable")
client(route = "clip-summary")
trouble(kind = "slow", at = "200ms", length = "500ms", part = 0.5, size = 3)
`

func TestShortScenario(t *testing.T) {
	d, err := Parse("short", []byte(shortDay))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	res, err := d.Run(context.Background(), t.TempDir(), zap.NewNop(), io.Discard)
	if err != nil || len(res.Violations) > 0 || res.Summary.Outcomes["completed"] == 0 {
		t.Errorf("%+v, %v", res, err)
	}
	res.Print(&out)
	if !strings.Contains(out.String(), "all five rules kept") {
		t.Error(out.String())
	}
}

func TestScriptFaultsAreReportedTogether(t *testing.T) {
	_, err := Parse("d.star", []byte(shortDay+"trouble(kind = \"quake\", at = 3)\nclient(route = \"x\")\n"))
	if err == nil {
		t.Fatal("taken")
	}
	for _, want := range []string{"d.star:10: kind: must be one of ageing", "d.star:10: at: must be a duration"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q lacks %q", err, want)
		}
	}
	if _, err := Import([]byte(`{"v":1}`), 1); err == nil {
		t.Error("a scenario without prefill engines is accepted")
	}
	if _, err := Import([]byte(benchDay), 0.5); err != nil {
		t.Error(err)
	}
}

// benchDay has the shape of a scenario of the bench, with figures of our own.
const benchDay = `{"family":"twostage","kind":"trouble","noise":12,"length":2000000,"drain_grace":250000,"fall_for":1000000,
"traffic":{"load":0.5},"clients":{"retries":1},"classes":[{"name":"a","share":1,"aim":1000000,"deadline":2000000,"worth":1,
"effect":"safe"}],"servers":[{"kind":0},{"kind":1}],"balancers":[{}],"troubles":[{"kind":"vanish","at":500000,"len":400000,
"size":0,"on":[1]}],"fam":{"roles":["read","write"],"release":1000000,"talks":[{"prefixes":3}]}}`

func TestOpenLoopDoesNotWaitForAnswers(t *testing.T) {
	// Against a server that never answers, all tries of an open loop still start at their times.
	begun := time.Now()
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
		t.Errorf("%d tries in %v", n, time.Since(begun))
	}
}
