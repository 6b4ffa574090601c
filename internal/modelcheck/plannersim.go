package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// plannerSimulation is one execution of the planner's role assignment with a store, engines and edges. Each action of the
// planner is a separate event, so that the planner may be killed between any two actions. Orders may be lost or delayed;
// engines may crash, report a false role or never finish loading; edges may receive plans late.
type plannerSimulation struct {
	world               World
	now                 int64
	controller          *assignment.Controller
	queue               []assignment.Action // actions that are decided and not executed yet
	stored              map[string]assignment.Record
	meta                assignment.Meta
	term                int64
	running             bool
	engines             []*simulatedEngine
	orders              []pendingOrder // role orders in flight
	trials              []assignment.StartTrial
	plan                planapi.Plan // newest published plan
	edges               []planapi.Plan
	operatorMoves       int // moves that the operator may still order
	faultsInjected      int
	operatorStopped     bool
	ticksWithoutPlanner int
	violationLog        violationLog
	earlierCoverage     uint64
}

// pendingOrder is a role order in flight to an engine.
type pendingOrder struct {
	engine       string
	order        planapi.RoleOrder
	delayedTicks int // ticks for which a delayed order may remain in flight; 0 for an order that is not delayed
}

// The durations of role changes. A delayed order is in flight for longer than any step of a role change takes, so that it
// arrives during a later step or change.
const (
	roleDrainTimeout       = 400 * time.Millisecond
	roleOrderTimeout       = 300 * time.Millisecond
	roleLoadTimeout        = 600 * time.Millisecond
	roleTrialTimeout       = 300 * time.Millisecond
	roleWarmUp             = 200 * time.Millisecond
	roleCooldown           = 500 * time.Millisecond
	roleTick               = 100 * time.Millisecond
	roleChangeTimeLimit    = 20 * time.Second // Every role change must have ended by this time.
	orderDelayTicks        = 10
	maxTicksWithoutPlanner = 4
	startupReportRounds    = 3 // rounds of reports after which the planner has a report of every engine
	operatorName           = "w"
	operatorReason         = "y"
)

func newPlannerSimulation(w World) *plannerSimulation {
	s := &plannerSimulation{world: w, now: startTime, stored: map[string]assignment.Record{}, operatorMoves: 1}
	for i := range w.PrefillEngines + w.DecodeEngines {
		role := w.listedRole(i)
		s.engines = append(s.engines, &simulatedEngine{name: w.engineName(i), role: role, claimedRole: role, epoch: 1,
			incarnation: 1, roleByEpoch: map[int64]string{1: role}})
	}
	s.edges = make([]planapi.Plan, max(1, w.Routers))
	s.startPlanner()
	for range startupReportRounds {
		for _, engine := range s.engines {
			s.sendReport(engine, s.now)
			s.executeAll()
		}
	}
	for i := range s.edges {
		s.edges[i] = s.plan
	}
	return s
}

// listedRole returns the role of an engine in the endpoint list.
func (w World) listedRole(i int) string {
	if i < w.PrefillEngines {
		return planapi.Prefill
	}
	return planapi.Decode
}

func (s *plannerSimulation) config() assignment.Config {
	return assignment.Config{DrainTimeout: roleDrainTimeout, OrderTimeout: roleOrderTimeout, LoadTimeout: roleLoadTimeout,
		TrialTimeout: roleTrialTimeout, WarmUp: roleWarmUp, Cooldown: roleCooldown, MinServing: 1, MaxChangingShare: 0.1,
		DrainGrace: drainGrace}
}

// startPlanner starts the planner from the stored records.
func (s *plannerSimulation) startPlanner() {
	var records []assignment.Record
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		records = append(records, s.stored[id])
	}
	s.term++
	s.running, s.queue, s.ticksWithoutPlanner = true, nil, 0
	s.controller = assignment.New(s.config(), s.term, s.now, records, s.meta)
	var listed []assignment.ListedEngine
	for i, engine := range s.engines {
		listed = append(listed, assignment.ListedEngine{Engine: engine.name, Role: s.world.listedRole(i), Weight: 1, Ready: true,
			CanChange: true, Kinds: map[string]string{planapi.Prefill: planapi.Prefill, planapi.Decode: planapi.Decode}})
	}
	s.stepController(assignment.EnginesListed{Engines: listed})
}

func (s *plannerSimulation) killPlanner() {
	s.earlierCoverage |= s.controller.FiredTransitions()
	s.running, s.queue, s.trials = false, nil, nil
}

// stepController passes an event to the planner and queues the resulting actions.
func (s *plannerSimulation) stepController(event assignment.Event) {
	s.queue = append(s.queue, s.controller.Step(s.now, event)...)
}

// applyOperatorOrder passes an operator's order to the planner. An order that the planner rejects has no effect.
func (s *plannerSimulation) applyOperatorOrder(operation, engine string) {
	order := planapi.Order{Operation: operation, Engine: engine, Operator: operatorName, Reason: operatorReason}
	if _, actions, err := s.controller.ApplyOrder(s.now, order); err == nil {
		s.queue = append(s.queue, actions...)
	}
}

func (s *plannerSimulation) executeAll() {
	for len(s.queue) > 0 {
		s.executeNext()
	}
}

// executeNext executes the oldest queued action.
func (s *plannerSimulation) executeNext() {
	action := s.queue[0]
	s.queue = s.queue[1:]
	switch a := action.(type) {
	case assignment.Persist:
		s.checkEpochs(a.Records)
		for _, r := range a.Records {
			s.stored[r.Engine] = r
		}
		s.meta = a.Meta
	case assignment.PublishPlan:
		s.checkPlanIsNewer(a.Plan)
		s.plan = a.Plan
		s.checkPlan()
	case assignment.SendRoleOrder:
		s.checkOrderIsPersisted(a)
		isSameOrder := func(o pendingOrder) bool { return o.engine == a.Engine && o.order == a.Order }
		if !slices.ContainsFunc(s.orders, isSameOrder) {
			s.orders = append(s.orders, pendingOrder{engine: a.Engine, order: a.Order})
		}
	case assignment.StartTrial:
		s.trials = append(s.trials, a)
	}
}

func (s *plannerSimulation) engine(name string) *simulatedEngine {
	i := slices.IndexFunc(s.engines, func(e *simulatedEngine) bool { return e.name == name })
	return s.engines[i]
}

// sendReport passes the current report of an engine to the planner, as the response to a poll sent at requestedAt.
func (s *plannerSimulation) sendReport(engine *simulatedEngine, requestedAt int64) {
	s.stepController(assignment.EngineReported{RequestedAt: requestedAt, Report: engine.report()})
}

// advance advances the time by one tick.
func (s *plannerSimulation) advance() {
	s.now += int64(roleTick)
	for i := range s.orders {
		if s.orders[i].delayedTicks > 1 { // An order with one tick left is due.
			s.orders[i].delayedTicks--
		}
	}
}

// isSettled reports whether no action, order or role change is pending and every engine serves or is quarantined for its own fault.
func (s *plannerSimulation) isSettled() bool {
	if !s.running || len(s.queue) > 0 || len(s.orders)+len(s.trials) > 0 || s.operatorMoves > 0 {
		return false
	}
	for _, engine := range s.engines {
		record, ok := s.stored[engine.name]
		if engine.isBusy() || ok && !engine.matchesRecord(record) {
			return false
		}
	}
	return !s.hasOutdatedEdge()
}

// hasOutdatedEdge reports whether an edge has not received the newest plan.
func (s *plannerSimulation) hasOutdatedEdge() bool {
	return slices.ContainsFunc(s.edges, func(p planapi.Plan) bool { return s.plan.Newer(p) })
}

func (s *plannerSimulation) apply(e Event) {
	if e.fault != noFault {
		s.faultsInjected++
	}
	e.apply()
	s.checkState()
}

func (s *plannerSimulation) isTerminal() bool       { return len(s.enabledEvents()) == 0 }
func (s *plannerSimulation) checkTerminal()         {}
func (s *plannerSimulation) violations() []string   { return s.violationLog.texts }
func (s *plannerSimulation) elapsed() time.Duration { return time.Duration(s.now - startTime) }

func (s *plannerSimulation) coverage() Coverage {
	return Coverage{Assignment: s.earlierCoverage | s.controller.FiredTransitions()}
}

func (s *plannerSimulation) clientOutcomes() (outcomes []string) {
	for _, engine := range s.engines {
		outcomes = append(outcomes, fmt.Sprint(engine.name, " ", s.stored[engine.name].State))
	}
	return outcomes
}

func (s *plannerSimulation) describe() (lines []string) {
	for _, e := range s.engines {
		lines = append(lines, fmt.Sprintf("%s has role %s (reports %s), epoch %d, loading %v, draining %v", e.name, e.role, e.claimedRole,
			e.epoch, e.loading, e.draining))
	}
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		r := s.stored[id]
		lines = append(lines, fmt.Sprintf("record of %s: %s, role %s, epoch %d, next role %s, next epoch %d", id, r.State, r.Role, r.Epoch, r.NextRole, r.NextEpoch))
	}
	return lines
}

func (s *plannerSimulation) fingerprint() uint64 {
	h := xxhash.New()
	s.controller.Fingerprint(h)
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		record := s.stored[id]
		record.StateSince, record.ServingSince = s.now-record.StateSince, 0
		fmt.Fprintln(h, record)
	}
	for _, e := range s.engines {
		fmt.Fprintln(h, e.role, e.claimedRole, e.epoch, e.term-s.term, e.loading, e.draining, e.loadingStuck, e.reportsFalseRole, e.openRequests,
			e.requestsStuck, e.incarnation)
	}
	fmt.Fprintf(h, "%v %v %v %v %v %v %v %v\n", s.running, s.ticksWithoutPlanner, len(s.queue), s.orders, s.trials, s.operatorMoves,
		s.faultsInjected, s.operatorStopped)
	for _, action := range s.queue {
		fmt.Fprintf(h, "%T", action)
	}
	for _, p := range append(slices.Clone(s.edges), s.plan) {
		fmt.Fprintln(h, p.Engines, s.plan.Newer(p)) // Plans with equal engines may differ in age.
	}
	return h.Sum64()
}
