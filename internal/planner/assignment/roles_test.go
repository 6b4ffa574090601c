package assignment

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

func testConfig() Config {
	return Config{DrainTimeout: 4 * time.Second, OrderTimeout: time.Second, LoadTimeout: 3 * time.Second, TrialTimeout: time.Second,
		WarmUp:   2 * time.Second,
		Cooldown: 2 * time.Second, MinServing: 1, MaxChangingShare: 0.25, MaxSharePerMinute: 2, DrainGrace: 100 * time.Millisecond,
		PrefillThroughput: 1000, DecodeThroughput: 100}
}

func listEngines(n int) (engines []ListedEngine) {
	kinds := map[string]string{planapi.Prefill: "prefill", planapi.Decode: "decode"}
	for i := range n {
		engine := ListedEngine{Engine: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1), Role: planapi.Prefill,
			Cell: fmt.Sprint("c", i%max(1, n/10)), Weight: 1, Ready: true,
			CanChange: true, Kinds: kinds}
		if i >= n/2 {
			engine.Role = planapi.Decode
		}
		engines = append(engines, engine)
	}
	return engines
}

// A planner among engines that answer, lie, vanish and restart at random keeps before it acts, never lists
// what is changing, never lets an epoch go back, never takes a role's last engine by a change, and does the
// same again from the same seed.
func TestRandomHistoryKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "engines")
		engines := listEngines(n)
		now := int64(1000 * time.Second)
		controller, replica := New(testConfig(), 1, now, nil, Meta{}), New(testConfig(), 1, now, nil, Meta{})
		persisted := map[string]Record{}
		reports := map[string]planapi.EngineReport{}
		for _, listed := range engines {
			reports[listed.Engine] = planapi.EngineReport{Engine: listed.Engine, Role: listed.Role, Epoch: 1, Incarnation: 1}
		}
		step := func(act func(*Controller) []Action) {
			actions := act(controller)
			if other := act(replica); !reflect.DeepEqual(actions, other) {
				t.Fatalf("the same inputs give %v and %v", actions, other)
			}
			for _, action := range actions {
				switch action := action.(type) {
				case Persist:
					for _, r := range action.Records {
						if r.Epoch < persisted[r.Engine].Epoch {
							t.Fatalf("epoch of %s goes back: %+v after %+v", r.Engine, r, persisted[r.Engine])
						}
						persisted[r.Engine] = r
					}
				case PublishPlan:
					for _, listed := range action.Plan.Engines {
						if r, ok := persisted[listed.Engine]; ok && listed.State == endpoint.Ready && r.State != Serving &&
							r.State != WarmingUp {
							t.Fatalf("%s is listed as ready and is %s", listed.Engine, r.State)
						}
					}
				case SendRoleOrder:
					if r, ok := persisted[action.Engine]; ok && max(r.Epoch, r.NextEpoch) < action.Order.Epoch || !ok &&
						action.Order.Epoch > reports[action.Engine].Epoch {
						t.Fatalf("%s is asked for epoch %d, kept is %+v", action.Engine, action.Order.Epoch, r)
					}
					r := reports[action.Engine]
					if rapid.Bool().Draw(t, "follows") {
						if action.Order.Epoch == r.Epoch {
							r.Draining = action.Order.Drain
						} else if action.Order.Epoch > r.Epoch {
							r.Epoch, r.Role, r.Draining = action.Order.Epoch, action.Order.Role, false
							r.Changing = rapid.Bool().Draw(t, "loads")
						}
						reports[action.Engine] = r
					}
				}
			}
			for _, role := range []string{planapi.Prefill, planapi.Decode} {
				leaving, serving := 0, 0
				for _, view := range controller.Engines() {
					if view.Role != role {
						continue
					}
					switch view.State {
					case Serving, WarmingUp:
						serving++
					case Draining, Ordered, Loading:
						leaving++
					}
				}
				if leaving > 0 && serving == 0 && !unservedByFault(controller, role) {
					t.Fatalf("all of %s are leaving it", role)
				}
			}
		}
		step(func(c *Controller) []Action { return c.Step(now, EnginesListed{engines}) })
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 600).Draw(t, "ms")) * int64(time.Millisecond)
			engine := engines[rapid.IntRange(0, n-1).Draw(t, "engine")].Engine
			r := reports[engine]
			switch rapid.IntRange(0, 9).Draw(t, "input") {
			case 0, 1, 2, 3:
				if r.Changing && rapid.Bool().Draw(t, "loaded") {
					r.Changing = false
					reports[engine] = r
				}
				r.PrefillTokens += 100
				step(func(c *Controller) []Action { return c.Step(now, EngineReported{now - 1e6, r}) })
			case 4:
				falseReport := r
				falseReport.Epoch, falseReport.Role = int64(rapid.IntRange(0, 5).Draw(t, "epoch")), planapi.OtherRole(r.Role)
				step(func(c *Controller) []Action { return c.Step(now, EngineReported{now - 1e6, falseReport}) })
			case 5:
				ok := rapid.Bool().Draw(t, "good")
				step(func(c *Controller) []Action {
					return c.Step(now, TrialEnded{engine, c.engines.byAddress[engine].trialNumber, ok,
						"no"})
				})
			case 6:
				op := rapid.SampledFrom(planapi.Operations).Draw(t, "op")
				order := planapi.Order{Operation: op, Engine: engine}
				if op == "stop" || op == "go" {
					order.Engine = ""
				}
				step(func(c *Controller) []Action { _, actions, _ := c.ApplyOrder(now, order); return actions })
			case 7:
				step(func(c *Controller) []Action {
					return c.Step(now, EdgeReported{planapi.EdgeReport{Edge: "e", Incarnation: 1,
						Routes: []planapi.RouteCount{{Route: "a",
							Arrived:      float64(now-int64(1000*time.Second)) / 1e8,
							PromptTokens: float64(now-int64(1000*time.Second)) / 1e5,
							Shed:         float64(now-int64(1000*time.Second)) / 1e9}}}})
				})
			default:
				step(func(c *Controller) []Action { return c.Step(now, Tick{}) })
			}
		}
		// Whatever happened: honest engines from here on, and every change comes to its end.
		for range 500 {
			now += int64(100 * time.Millisecond)
			for _, listed := range engines {
				r := reports[listed.Engine]
				r.Changing, r.OpenRequests, r.Reservations = false, 0, 0
				reports[listed.Engine] = r
				step(func(c *Controller) []Action { return c.Step(now, EngineReported{now - 1e6, r}) })
				if controller.engines.byAddress[listed.Engine].State == InTrial {
					step(func(c *Controller) []Action {
						return c.Step(now, TrialEnded{listed.Engine,
							c.engines.byAddress[listed.Engine].trialNumber, true, ""})
					})
				}
			}
			step(func(c *Controller) []Action { return c.Step(now, Tick{}) })
		}
		for _, view := range controller.Engines() { // those that drain or are ordered may have begun just now
			if view.State != Serving && view.State != WarmingUp && view.State != Draining && view.State != Ordered &&
				view.State != Quarantined {
				t.Fatalf("%s is still %s: %s", view.Engine, view.State, view.Fault)
			}
		}
	})
}

// unservedByFault is whether engines of a role are away for what they did, not for a change.
func unservedByFault(c *Controller, role string) bool {
	for _, s := range c.Engines() {
		if s.Role == role && (s.State == RollingBack || s.State == Quarantined || s.State == InTrial) {
			return true
		}
	}
	return false
}

// The best engine to change is not the one with the only copy of a hot beginning.
func TestEngineWithOnlyCopyOfHotPrefixIsNotChosen(t *testing.T) {
	now := int64(1000 * time.Second)
	c := New(testConfig(), 1, now, nil, Meta{})
	engines := listEngines(8)
	c.Step(now, EnginesListed{engines})
	for i, engine := range engines {
		report := planapi.EngineReport{Engine: engine.Engine, Role: engine.Role, Epoch: 1, Incarnation: 1, CachedTokens: 1000,
			HotPrefixes: map[string]float64{"common": 500}}
		if i != 2 {
			report.HotPrefixes[fmt.Sprint("only", i)] = 9000
		}
		c.Step(now, EngineReported{now, report})
	}
	if best, reason := c.cheapestEngine(planapi.Prefill); best == nil || best.Engine != engines[2].Engine {
		t.Errorf("%+v %s", best, reason)
	}
}

// Found by a random history: the last writer that was heard of moved, as another had only been listed; that one then said
// that it reads.
func TestUnreportedEngineDoesNotCountAsServing(t *testing.T) {
	now := int64(1000 * time.Second)
	c := New(testConfig(), 1, now, nil, Meta{})
	engines := listEngines(4)
	c.Step(now, EnginesListed{engines})
	for _, engine := range engines[:3] {
		c.Step(now, EngineReported{now, planapi.EngineReport{Engine: engine.Engine, Role: engine.Role, Epoch: 1, Incarnation: 1}})
	}
	_, _, err := c.ApplyOrder(now, planapi.Order{Operation: "move", Engine: engines[2].Engine})
	if err == nil || !strings.Contains(err.Error(), "must stay") {
		t.Errorf("moved: %v", err)
	}
}

// A planner whose clock was set back does not make a step's time endless, nor one set forward lose a change.
func TestClockOffsetBetweenPlanners(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		now := int64(10_000 * time.Second)
		engines := listEngines(4)
		c := New(testConfig(), 2, now+int64(offset), []Record{{Engine: engines[0].Engine, Role: planapi.Prefill,
			Epoch: 1, State: Ordered, NextRole: planapi.Decode,
			NextEpoch: 2, StateSince: now}}, Meta{PlanNumber: 5})
		at := now + int64(offset)
		c.Step(at, EnginesListed{engines})
		for range 100 {
			at += int64(100 * time.Millisecond)
			for _, engine := range engines {
				report := planapi.EngineReport{Engine: engine.Engine, Role: engine.Role, Epoch: 1, Incarnation: 1}
				if record := c.engines.byAddress[engine.Engine]; record.NextEpoch > 0 {
					report.Role, report.Epoch = record.NextRole, record.NextEpoch
				} else if record.roleKnown {
					report.Role, report.Epoch = record.Role, record.Epoch
				}
				c.Step(at, EngineReported{at, report})
				if record := c.engines.byAddress[engine.Engine]; record.State == InTrial {
					c.Step(at, TrialEnded{engine.Engine, record.trialNumber, true, ""})
				}
			}
			c.Step(at, Tick{})
		}
		if s := c.engines.byAddress[engines[0].Engine]; s.State != Serving {
			t.Errorf("clock off by %v: %+v", offset, s.Record)
		}
	}
}

// A second of a planner with 300 engines and 300 edges: their reports, and ten ticks with one decision.
func BenchmarkSecondOf300(b *testing.B) {
	now := int64(1000 * time.Second)
	c := New(testConfig(), 1, now, nil, Meta{})
	engines := listEngines(300)
	c.Step(now, EnginesListed{engines})
	for n := range b.N {
		for i, x := range engines {
			now += int64(time.Second) / 300
			c.Step(now, EngineReported{now, planapi.EngineReport{Engine: x.Engine, Role: x.Role, Epoch: 1,
				Incarnation: 1, PrefillTokens: float64(n * 900), DecodeTokens: float64(n * 90),
				BusySeconds: float64(n), HotPrefixes: map[string]float64{"a": 1, fmt.Sprint(i): 2}}})
			v := float64(n * 10)
			c.Step(now, EdgeReported{planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Incarnation: 1,
				Routes: []planapi.RouteCount{
					{Route: "a", Arrived: v, PromptTokens: 300 * v, Started: v, StartedPromptTokens: 300 * v, Completed: v,
						CompletionTokens: 50 * v, WithinObjective: v},
					{Route: "b", Arrived: v, PromptTokens: 900 * v, Started: v, StartedPromptTokens: 900 * v, Completed: v,
						CompletionTokens: 90 * v, WithinObjective: v, Shed: v / 10}}}})
			if i%30 == 0 {
				c.Step(now, Tick{})
			}
		}
	}
}
