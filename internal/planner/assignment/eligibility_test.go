package assignment

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"sandcourse/internal/golden"
	"sandcourse/internal/planner/planapi"
)

// A change must not lose the only cached copy of a hot prefix while another engine can change instead.
func TestEngineWithOnlyCopyOfHotPrefixIsNotChosen(t *testing.T) {
	engines := listEngines(8)
	c := newTestController(engines)
	for i, listed := range engines {
		report := planapi.EngineReport{Engine: listed.Engine, Role: listed.Role, Epoch: 1, Incarnation: 1,
			CachedTokens: 1000, HotPrefixes: map[string]float64{"common": 500}}
		if i != 2 {
			report.HotPrefixes[fmt.Sprint("only", i)] = 9000
		}
		c.Step(testStart, EngineReported{testStart, report})
	}
	if engine, reason := c.cheapestEngine(planapi.Prefill); engine == nil || engine.Engine != engines[2].Engine {
		t.Errorf("cheapest engine is %+v, reason %s", engine, reason)
	}
}

// An engine that is only listed must not count as serving. TestRandomHistoryKeepsInvariants found that the last decode
// engine that had reported was changed because a listed engine counted, which then reported the prefill role.
func TestUnreportedEngineDoesNotCountAsServing(t *testing.T) {
	engines := listEngines(4)
	c := newTestController(engines)
	for _, listed := range engines[:3] {
		c.Step(testStart, EngineReported{testStart, planapi.EngineReport{Engine: listed.Engine, Role: listed.Role,
			Epoch: 1, Incarnation: 1}})
	}
	_, _, err := c.ApplyOrder(testStart, planapi.Order{Operation: planapi.OperationMove, Engine: engines[2].Engine})
	var ineligible *IneligibleError
	if !errors.As(err, &ineligible) || !strings.Contains(string(ineligible.Reason), "must stay") {
		t.Errorf("order to move: %v", err)
	}
}

// The test checks the texts of accepted and rejected operator orders, which the command line prints.
func TestGoldenOrders(t *testing.T) {
	engines := listEngines(4)
	c := newTestController(engines)
	for _, listed := range engines {
		c.Step(testStart, EngineReported{testStart, planapi.EngineReport{Engine: listed.Engine, Role: listed.Role,
			Epoch: 1, Incarnation: 1}})
	}
	first, second := engines[0].Engine, engines[1].Engine
	var b strings.Builder
	for _, step := range []struct {
		operation, engine string
		want              error
	}{
		{planapi.OperationPin, "10.9.9.9:80", ErrNotListed},
		{planapi.OperationPin, first, nil}, {planapi.OperationPin, first, ErrPinned},
		{planapi.OperationMove, first, nil},
		{planapi.OperationUnpin, first, nil}, {planapi.OperationUnpin, first, ErrNotPinned},
		{planapi.OperationReadmit, first, ErrNotQuarantined},
		{planapi.OperationMove, first, nil}, {planapi.OperationMove, second, nil},
		{planapi.OperationStop, "", nil}, {planapi.OperationStop, "", ErrStopped},
		{planapi.OperationGo, "", nil}, {planapi.OperationGo, "", ErrNotStopped},
	} {
		text, _, err := c.ApplyOrder(testStart, planapi.Order{Operation: step.operation, Engine: step.engine,
			Operator: "ops", Reason: "a test"})
		var ineligible *IneligibleError
		if !errors.Is(err, step.want) && !errors.As(err, &ineligible) {
			t.Errorf("%s %s: %v, not %v", step.operation, step.engine, err, step.want)
		}
		if err != nil {
			text = "rejected: " + err.Error()
		}
		fmt.Fprintf(&b, "%s %s\n\t%s\n", step.operation, step.engine, text)
	}
	golden.Check(t, "orders.golden", b.String())
}

// The test checks the texts of the reasons that are shown to operators.
func TestGoldenReasons(t *testing.T) {
	var b strings.Builder
	for _, reason := range []Reason{ReasonNotListed, ReasonNoOtherRole, ReasonRoleUnknown, ReasonDrainedByDiscovery,
		ReasonPinned, ReasonUnresponsive, ReasonTooManyChanging, ReasonTooManyPerMinute, ReasonThirdChanging,
		ReasonLastInZone, ReasonLastInCell, ReasonCellMostlyOutOfService, ReasonNoEngine, ReasonWorthCost, ReasonNoEstimate,
		ReasonNoGain, ReasonExplainOnly, reasonStateFormat, reasonDelayFormat, reasonCooldownFormat,
		reasonMinServingFormat, reasonTooRecentFormat, reasonCostFormat, reasonStoppedFormat} {
		fmt.Fprintln(&b, reason)
	}
	golden.Check(t, "reasons.golden", b.String())
}
