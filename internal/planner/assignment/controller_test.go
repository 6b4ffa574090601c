package assignment

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// testStart is the planner's clock at the start of a test.
const testStart = int64(1000 * time.Second)

func testConfig() Config {
	return Config{DrainTimeout: 4 * time.Second, OrderTimeout: time.Second, LoadTimeout: 3 * time.Second,
		TrialTimeout: time.Second, WarmUp: 2 * time.Second, Cooldown: 2 * time.Second, MinServing: 1,
		MaxChangingShare: 0.25, MaxSharePerMinute: 2, DrainGrace: 100 * time.Millisecond,
		PrefillThroughput: 1000, DecodeThroughput: 100}
}

// listEngines returns n engines; the first half are prefill engines, the others are decode engines.
func listEngines(n int) (engines []ListedEngine) {
	kinds := map[string]string{planapi.Prefill: "prefill", planapi.Decode: "decode"}
	for i := range n {
		engine := ListedEngine{Engine: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1), Role: planapi.Prefill,
			Cell: fmt.Sprint("c", i%max(1, n/10)), Weight: 1, Ready: true, CanChange: true, Kinds: kinds}
		if i >= n/2 {
			engine.Role = planapi.Decode
		}
		engines = append(engines, engine)
	}
	return engines
}

// newTestController returns a controller with listed engines that have not reported yet.
func newTestController(engines []ListedEngine) *Controller {
	c := New(testConfig(), 1, testStart, nil, Meta{})
	c.Step(testStart, EnginesListed{engines})
	return c
}

// randomHistory drives a controller with engines that randomly follow or ignore orders, report false states and
// change their roles. It checks all actions against the records persisted before them.
type randomHistory struct {
	t          *rapid.T
	now        int64
	engines    []ListedEngine
	controller *Controller
	replica    *Controller // controller that receives the same inputs and must return the same actions
	persisted  map[string]Record
	reports    map[string]planapi.EngineReport // current report of each engine
}

func newRandomHistory(t *rapid.T) *randomHistory {
	h := &randomHistory{t: t, now: testStart, engines: listEngines(rapid.IntRange(2, 8).Draw(t, "engines")),
		controller: New(testConfig(), 1, testStart, nil, Meta{}), replica: New(testConfig(), 1, testStart, nil, Meta{}),
		persisted: map[string]Record{}, reports: map[string]planapi.EngineReport{}}
	for _, listed := range h.engines {
		h.reports[listed.Engine] = planapi.EngineReport{Engine: listed.Engine, Role: listed.Role, Epoch: 1,
			Incarnation: 1}
	}
	h.step(EnginesListed{h.engines})
	return h
}

func (h *randomHistory) step(event Event) {
	h.apply(func(c *Controller) []Action { return c.Step(h.now, event) })
}

func (h *randomHistory) apply(input func(*Controller) []Action) {
	actions := input(h.controller)
	if other := input(h.replica); !reflect.DeepEqual(actions, other) {
		h.t.Fatalf("the same inputs result in %v and %v", actions, other)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case Persist:
			h.persist(action.Records)
		case PublishPlan:
			h.checkPlan(action.Plan)
		case SendRoleOrder:
			h.checkOrder(action)
			h.followOrderAtRandom(action.Engine, action.Order)
		}
	}
	h.checkRolesServed()
}

func (h *randomHistory) persist(records []Record) {
	for _, record := range records {
		if earlier := h.persisted[record.Engine]; record.Epoch < earlier.Epoch {
			h.t.Fatalf("epoch of %s decreases: %+v after %+v", record.Engine, record, earlier)
		}
		h.persisted[record.Engine] = record
	}
}

func (h *randomHistory) checkPlan(plan planapi.Plan) {
	for _, listed := range plan.Engines {
		record, ok := h.persisted[listed.Engine]
		if ok && listed.State == endpoint.Ready && record.State != Serving && record.State != WarmingUp {
			h.t.Fatalf("%s is published as ready in state %s", listed.Engine, record.State)
		}
	}
}

func (h *randomHistory) checkOrder(action SendRoleOrder) {
	record, ok := h.persisted[action.Engine]
	known := h.reports[action.Engine].Epoch
	if ok {
		known = max(record.Epoch, record.NextEpoch)
	}
	if action.Order.Epoch > known {
		h.t.Fatalf("%s is ordered to epoch %d, but its persisted record is %+v", action.Engine, action.Order.Epoch, record)
	}
}

func (h *randomHistory) followOrderAtRandom(engine string, order planapi.RoleOrder) {
	if !rapid.Bool().Draw(h.t, "follows") {
		return
	}
	report := h.reports[engine]
	if order.Epoch == report.Epoch {
		report.Draining = order.Drain
	} else if order.Epoch > report.Epoch {
		report.Epoch, report.Role, report.Draining = order.Epoch, order.Role, false
		report.Changing = rapid.Bool().Draw(h.t, "loads")
	}
	h.reports[engine] = report
}

// checkRolesServed fails if changes take all engines of a role out of service, unless one of them is faulty.
func (h *randomHistory) checkRolesServed() {
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		leaving, serving, faulty := 0, 0, 0
		for _, view := range h.controller.Engines() {
			if view.Role != role {
				continue
			}
			switch view.State {
			case Serving, WarmingUp:
				serving++
			case Draining, Ordered, Loading:
				leaving++
			case RollingBack, Quarantined, InTrial:
				faulty++
			}
		}
		if leaving > 0 && serving == 0 && faulty == 0 {
			h.t.Fatalf("no engine serves in role %s, as all are changing to the other role", role)
		}
	}
}

func (h *randomHistory) randomStep() {
	h.now += int64(rapid.IntRange(0, 600).Draw(h.t, "ms")) * int64(time.Millisecond)
	engine := h.engines[rapid.IntRange(0, len(h.engines)-1).Draw(h.t, "engine")].Engine
	report := h.reports[engine]
	switch rapid.IntRange(0, 9).Draw(h.t, "input") {
	case 0, 1, 2, 3:
		if report.Changing && rapid.Bool().Draw(h.t, "loaded") {
			report.Changing = false
			h.reports[engine] = report
		}
		report.PrefillTokens += 100
		h.report(report)
	case 4:
		report.Epoch = int64(rapid.IntRange(0, 5).Draw(h.t, "epoch"))
		report.Role = planapi.OtherRole(report.Role)
		h.report(report)
	case 5:
		h.endTrial(engine, rapid.Bool().Draw(h.t, "passed"))
	case 6:
		order := planapi.Order{Operation: rapid.SampledFrom(planapi.Operations).Draw(h.t, "operation"), Engine: engine}
		if order.Operation == planapi.OperationStop || order.Operation == planapi.OperationGo {
			order.Engine = ""
		}
		h.apply(func(c *Controller) []Action { _, actions, _ := c.ApplyOrder(h.now, order); return actions })
	case 7:
		elapsed := float64(h.now - testStart)
		h.step(EdgeReported{planapi.EdgeReport{Edge: "e", Incarnation: 1, Routes: []planapi.RouteCount{
			{Route: "a", Arrived: elapsed / 1e8, PromptTokens: elapsed / 1e5, Shed: elapsed / 1e9}}}})
	default:
		h.step(Tick{})
	}
}

func (h *randomHistory) report(report planapi.EngineReport) {
	h.step(EngineReported{h.now - int64(time.Millisecond), report})
}

func (h *randomHistory) endTrial(engine string, passed bool) {
	h.step(TrialEnded{Engine: engine, Number: h.controller.engines.byAddress[engine].trialNumber, OK: passed,
		Reason: "no"})
}

// stepWithHealthyEngines advances the clock by 100 ms, in which every engine loads, reports its true state and passes its trial.
func (h *randomHistory) stepWithHealthyEngines() {
	h.now += int64(100 * time.Millisecond)
	for _, listed := range h.engines {
		report := h.reports[listed.Engine]
		report.Changing, report.OpenRequests, report.Reservations = false, 0, 0
		h.reports[listed.Engine] = report
		h.report(report)
		if h.controller.engines.byAddress[listed.Engine].State == InTrial {
			h.endTrial(listed.Engine, true)
		}
	}
	h.step(Tick{})
}

// For any history, the controller must persist records before it acts, never publish a changing engine as ready, never
// decrease an epoch, never change a role's last engine, and be deterministic. Once all engines follow their orders, every
// change must complete.
func TestRandomHistoryKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newRandomHistory(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.randomStep()
		}
		for range 500 {
			h.stepWithHealthyEngines()
		}
		for _, view := range h.controller.Engines() {
			switch view.State {
			case Serving, WarmingUp, Quarantined:
			case Draining, Ordered: // The change has just begun.
			default:
				t.Fatalf("%s is still in state %s: %s", view.Engine, view.State, view.Fault)
			}
		}
	})
}

// If the clock is set back between two planners, a state must not last until the clock has caught up. If the clock is set
// forward, no change may get lost.
func TestClockOffsetBetweenPlannersLosesNoChange(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 5 * time.Second, time.Hour} {
		stored := int64(10_000 * time.Second)
		engines := listEngines(4)
		now := stored + int64(offset)
		c := New(testConfig(), 2, now, []Record{{Engine: engines[0].Engine, Role: planapi.Prefill, Epoch: 1,
			State: Ordered, NextRole: planapi.Decode, NextEpoch: 2, StateSince: stored}}, Meta{PlanNumber: 5})
		c.Step(now, EnginesListed{engines})
		for range 100 {
			now += int64(100 * time.Millisecond)
			for _, listed := range engines {
				report := planapi.EngineReport{Engine: listed.Engine, Role: listed.Role, Epoch: 1, Incarnation: 1}
				engine := c.engines.byAddress[listed.Engine]
				if engine.NextEpoch > 0 {
					report.Role, report.Epoch = engine.NextRole, engine.NextEpoch
				} else if engine.roleKnown {
					report.Role, report.Epoch = engine.Role, engine.Epoch
				}
				c.Step(now, EngineReported{now, report})
				if engine.State == InTrial {
					c.Step(now, TrialEnded{listed.Engine, engine.trialNumber, true, ""})
				}
			}
			c.Step(now, Tick{})
		}
		if engine := c.engines.byAddress[engines[0].Engine]; engine.State != Serving {
			t.Errorf("with the clock off by %v, the change did not complete: %+v", offset, engine.Record)
		}
	}
}

// The benchmark measures one second of a planner with 300 engines and 300 edges: their reports, and ten ticks with one
// decision.
func BenchmarkSecondOf300(b *testing.B) {
	now := testStart
	engines := listEngines(300)
	c := newTestController(engines)
	for n := range b.N {
		for i, listed := range engines {
			now += int64(time.Second) / 300
			c.Step(now, EngineReported{now, planapi.EngineReport{Engine: listed.Engine, Role: listed.Role, Epoch: 1,
				Incarnation: 1, PrefillTokens: float64(n * 900), DecodeTokens: float64(n * 90),
				BusySeconds: float64(n), HotPrefixes: map[string]float64{"a": 1, fmt.Sprint(i): 2}}})
			v := float64(n * 10)
			c.Step(now, EdgeReported{planapi.EdgeReport{Edge: fmt.Sprint("edge", i), Incarnation: 1,
				Routes: []planapi.RouteCount{
					{Route: "a", Arrived: v, PromptTokens: 300 * v, Started: v, StartedPromptTokens: 300 * v,
						Completed: v, CompletionTokens: 50 * v, WithinObjective: v},
					{Route: "b", Arrived: v, PromptTokens: 900 * v, Started: v, StartedPromptTokens: 900 * v,
						Completed: v, CompletionTokens: 90 * v, WithinObjective: v, Shed: v / 10}}}})
			if i%30 == 0 {
				c.Step(now, Tick{})
			}
		}
	}
}
