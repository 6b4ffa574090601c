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

// plannerSimulation is the planner's role assignment with a store, some engines and edges. Each action of the planner is
// an event of its own, so that it may be killed between any two; its orders may be lost or delayed, its engines may
// crash, claim what they are not, or never come back; edges may receive plans late.
type plannerSimulation struct {
	world               World
	now                 int64
	controller          *assignment.Controller
	queue               []assignment.Action // decided and not executed yet
	stored              map[string]assignment.Record
	meta                assignment.Meta
	term                int64
	running             bool
	engines             []*simulatedEngine
	orders              []pendingOrder // in flight
	trials              []assignment.StartTrial
	plan                planapi.Plan // the newest published
	edges               []planapi.Plan
	operatorMoves       int // that the operator may still order
	faultsUsed          int
	stopped             bool
	ticksWithoutPlanner int
	violated            violationLog
	earlierCoverage     uint64
}

// pendingOrder is a role order on its way to an engine.
type pendingOrder struct {
	engine       string
	order        planapi.RoleOrder
	delayedTicks int // for which it may still be in flight; 0 for one that is not delayed
}

// The times of role changes. A delayed order takes longer than any step of a change, so that it arrives in the middle
// of another.
const (
	roleDrainTimeout = 400 * time.Millisecond
	roleOrderTimeout = 300 * time.Millisecond
	roleLoadTimeout  = 600 * time.Millisecond
	roleTrialTimeout = 300 * time.Millisecond
	roleWarmUp       = 200 * time.Millisecond
	roleCooldown     = 500 * time.Millisecond
	roleTick         = 100 * time.Millisecond
	roleHorizon      = 20 * time.Second // by which every change must have ended
	orderDelayTicks  = 10
	maxPlannerDown   = 4 // ticks
	startupRounds    = 3 // of reports, until every engine is known
	operatorName     = "w"
	operatorReason   = "y"
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
	for range startupRounds {
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

// listedRole is the role in which the endpoint list names an engine.
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

// startPlanner starts the planner with what is stored.
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
	s.decide(assignment.EnginesListed{Engines: listed})
}

func (s *plannerSimulation) killPlanner() {
	s.earlierCoverage |= s.controller.FiredTransitions()
	s.running, s.queue, s.trials = false, nil, nil
}

// decide passes an event to the planner, and queues the actions that it decides.
func (s *plannerSimulation) decide(event assignment.Event) {
	s.queue = append(s.queue, s.controller.Step(s.now, event)...)
}

// operate passes an operator's order to the planner. One that is refused has no effect.
func (s *plannerSimulation) operate(operation, engine string) {
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

// executeNext executes the action that was decided first.
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
		s.checkNewer(a.Plan)
		s.plan = a.Plan
		s.checkPlan()
	case assignment.SendRoleOrder:
		s.checkOrder(a)
		same := func(o pendingOrder) bool { return o.engine == a.Engine && o.order == a.Order }
		if !slices.ContainsFunc(s.orders, same) {
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

// sendReport passes an engine's report, as it is now, in response to a poll of requestedAt.
func (s *plannerSimulation) sendReport(engine *simulatedEngine, requestedAt int64) {
	s.decide(assignment.EngineReported{RequestedAt: requestedAt, Report: engine.report()})
}

// advance lets one tick pass.
func (s *plannerSimulation) advance() {
	s.now += int64(roleTick)
	for i := range s.orders {
		if s.orders[i].delayedTicks > 1 { // the last tick makes it due
			s.orders[i].delayedTicks--
		}
	}
}

// isSettled reports whether nothing is left to happen: all engines serve, or are quarantined for what they did.
func (s *plannerSimulation) isSettled() bool {
	if !s.running || len(s.queue) > 0 || len(s.orders)+len(s.trials) > 0 || s.operatorMoves > 0 {
		return false
	}
	for _, engine := range s.engines {
		record, ok := s.stored[engine.name]
		if engine.isBusy() || ok && !engine.isSettledAs(record) {
			return false
		}
	}
	return !s.edgeIsBehind()
}

// edgeIsBehind reports whether an edge has not received the newest plan.
func (s *plannerSimulation) edgeIsBehind() bool {
	return slices.ContainsFunc(s.edges, func(p planapi.Plan) bool { return s.plan.Newer(p) })
}

func (s *plannerSimulation) apply(e Event) {
	if e.fault != noFault {
		s.faultsUsed++
	}
	e.apply()
	s.checkState()
}

func (s *plannerSimulation) isTerminal() bool       { return len(s.enabledEvents()) == 0 }
func (s *plannerSimulation) checkTerminal()         {}
func (s *plannerSimulation) violations() []string   { return s.violated.texts }
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
		lines = append(lines, fmt.Sprintf("%s is %s (claims %s) of epoch %d, loading %v, draining %v", e.name, e.role, e.claimedRole,
			e.epoch, e.loading, e.draining))
	}
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		r := s.stored[id]
		lines = append(lines, fmt.Sprintf("record of %s: %s, %s of %d, next %s of %d", id, r.State, r.Role, r.Epoch, r.NextRole, r.NextEpoch))
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
		fmt.Fprintln(h, e.role, e.claimedRole, e.epoch, e.term-s.term, e.loading, e.draining, e.lost, e.keepsOldRole, e.openRequests,
			e.requestsStuck, e.incarnation)
	}
	fmt.Fprintf(h, "%v %v %v %v %v %v %v %v\n", s.running, s.ticksWithoutPlanner, len(s.queue), s.orders, s.trials, s.operatorMoves,
		s.faultsUsed, s.stopped)
	for _, action := range s.queue {
		fmt.Fprintf(h, "%T", action)
	}
	for _, p := range append(slices.Clone(s.edges), s.plan) {
		fmt.Fprintln(h, p.Engines, s.plan.Newer(p)) // two plans may be equal and yet two
	}
	return h.Sum64()
}
