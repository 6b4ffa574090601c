package fluidmodel

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

const (
	// stepsPerSecond is the number of time steps over which the reports of one second are spread.
	stepsPerSecond = int(time.Second / timeStep)
	// falseReportFactor is the factor by which false reports overstate an engine's work.
	falseReportFactor = 10
	// loadMargin is added to twice the reload time to give the planner's load timeout.
	loadMargin = 10 * time.Second
)

// plannerModel runs package assignment in simulated time.
type plannerModel struct {
	fleet      *fleet
	controller *assignment.Controller
	delayed    []delayedEvent // delayed events, sorted by delivery time
}

// delayedEvent is a report or a trial outcome that is not delivered to the planner yet.
type delayedEvent struct {
	event       assignment.Event
	deliveredAt time.Duration
}

func newPlannerModel(f *fleet) *plannerModel {
	values := map[string]float64{}
	for _, route := range f.routes {
		values[route.Name] = route.Value
	}
	config := assignment.Config{DrainTimeout: 20 * time.Second, OrderTimeout: 3 * time.Second,
		LoadTimeout: 2*f.scenario.ReloadTime + loadMargin, TrialTimeout: 5 * time.Second,
		WarmUp: f.scenario.WarmUp, Cooldown: 30 * time.Second, DrainGrace: 250 * time.Millisecond,
		MinServing: 1, MaxChangingShare: 0.1, MaxSharePerMinute: 0.25,
		PrefillThroughput: prefillThroughput, DecodeThroughput: decodeThroughput, RouteValues: values}
	return &plannerModel{fleet: f, controller: assignment.New(config, 1, f.clockNanos(), nil, assignment.Meta{})}
}

// handleEvent passes an event to the controller and executes the resulting actions.
func (p *plannerModel) handleEvent(event assignment.Event) {
	for _, action := range p.controller.Step(p.fleet.clockNanos(), event) {
		switch action := action.(type) {
		case assignment.PublishPlan:
			clear(p.fleet.plan)
			for _, planned := range action.Plan.Engines {
				p.fleet.plan[planned.Engine] = planned
			}
		case assignment.SendRoleOrder:
			p.fleet.followOrder(p.fleet.engineNamed(action.Engine), action.Order)
		case assignment.StartTrial:
			engine := p.fleet.engineNamed(action.Engine)
			passed := engine.role == action.Role && engine.epoch == action.Epoch && !engine.loading
			p.deliverLater(assignment.TrialEnded{Engine: action.Engine, Number: action.Number, OK: passed})
		}
	}
}

// deliverLater delivers an event after the scenario's report delay.
func (p *plannerModel) deliverLater(event assignment.Event) {
	p.delayed = append(p.delayed, delayedEvent{event, p.fleet.now + p.fleet.scenario.ReportDelay})
}

func (p *plannerModel) deliverDueEvents() {
	for len(p.delayed) > 0 && p.delayed[0].deliveredAt <= p.fleet.now {
		event := p.delayed[0].event
		p.delayed = p.delayed[1:]
		p.handleEvent(event)
	}
}

// step sends the reports of a time step, followed by a tick. The reports of one second are spread over its time steps;
// engines that are changing roles report in each time step.
func (p *plannerModel) step() {
	f := p.fleet
	tick := int(f.now/timeStep) % stepsPerSecond
	for i, engine := range f.engines {
		urgent := engine.draining || engine.loading || f.plan[engine.name].Epoch != engine.epoch
		if urgent || !engine.silent && tick == i%stepsPerSecond {
			p.deliverLater(assignment.EngineReported{RequestedAt: f.clockNanos(), Report: f.engineReport(engine)})
		}
	}
	for i := range f.scenario.Edges {
		if tick == i%stepsPerSecond && float64(i) >= f.scenario.MissingReports*float64(f.scenario.Edges) {
			p.deliverLater(assignment.EdgeReported{Report: f.edgeReport(i)})
		}
	}
	p.handleEvent(assignment.Tick{})
}

func (f *fleet) engineNamed(name string) *engineModel {
	return f.engines[slices.IndexFunc(f.engines, func(engine *engineModel) bool { return engine.name == name })]
}

func (f *fleet) engineReport(engine *engineModel) planapi.EngineReport {
	report := planapi.EngineReport{Engine: engine.name, Role: engine.reportedRole, Epoch: engine.epoch,
		Term: engine.term, Incarnation: 1, Changing: engine.loading, Draining: engine.draining,
		PrefillTokens: engine.prefillTokens, DecodeTokens: engine.decodeTokens, BusySeconds: engine.busySeconds}
	if engine.servingSince >= 0 {
		report.UptimeMillis = (f.now - engine.servingSince).Milliseconds() + 1
	}
	if engine.draining && f.now < engine.phaseEndsAt {
		report.OpenRequests = 1
	}
	if engine.reportsFalsely {
		report.PrefillTokens *= falseReportFactor
		report.DecodeTokens *= falseReportFactor
	}
	return report
}

// edgeReport returns the report of one edge, with an equal share of the counts of all edges.
func (f *fleet) edgeReport(edge int) planapi.EdgeReport {
	report := planapi.EdgeReport{Edge: fmt.Sprint("edge", edge), Incarnation: 1}
	share := 1 / float64(f.scenario.Edges)
	for _, count := range f.counts {
		report.Routes = append(report.Routes, planapi.RouteCount{Route: count.Route,
			Arrived: count.Arrived * share, PromptTokens: count.PromptTokens * share,
			Started: count.Started * share, StartedPromptTokens: count.StartedPromptTokens * share,
			Completed: count.Completed * share, CompletionTokens: count.CompletionTokens * share,
			WithinObjective: count.WithinObjective * share, Shed: count.Shed * share})
	}
	return report
}

// followOrder applies a role change order to an engine.
func (f *fleet) followOrder(engine *engineModel, order planapi.RoleOrder) {
	engine.term = order.Term
	switch {
	case order.Epoch == engine.epoch && !engine.loading:
		if order.Drain && !engine.draining {
			f.beginDrain(engine)
		}
		engine.draining = order.Drain
	case order.Epoch > engine.epoch && (!engine.draining || f.now >= engine.phaseEndsAt):
		engine.epoch, engine.draining = order.Epoch, false
		if order.Role != engine.role || engine.loading {
			f.beginLoading(engine, order.Role)
		}
	}
}
