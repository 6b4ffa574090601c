package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// plannerSimulation is the planner's roles with a store, some engines and edges. Each effect is an event of its own, so
// that the planner may be killed between any two; its orders may be lost or come late, its engines may die,
// claim what they are not, or never come back; edges may hear of plans late.
type plannerSimulation struct {
	world               World
	now                 int64
	core                *assignment.Controller
	queue               []assignment.Action // decided and not carried out yet
	stored              map[string]assignment.Record
	meta                assignment.Meta
	term                int64
	running             bool
	engines             []*simulatedEngine
	orders              []pendingOrder // on their way
	trials              []assignment.StartTrial
	plan                planapi.Plan // the newest published
	edges               []planapi.Plan
	operatorMoves       int // operator's moves left
	faultsUsed          int
	stopped             bool
	ticksWithoutPlanner int // ticks without a planner
	violated            []string
	earlierCoverage     uint64
}

type pendingOrder struct {
	engine       string
	order        planapi.RoleOrder
	delayedTicks int // ticks for which it may still lie on its way; 0 for one that is not late
}

// simulatedEngine is an engine by truth.
type simulatedEngine struct {
	name          string
	role          string
	claimedRole   string
	epoch         int64
	term          int64
	loading       bool
	draining      bool
	lost          bool // it does not come back
	keepsOldRole  bool // it claims a role and keeps the old one
	openRequests  int
	stuckRequests bool // what is open does not end
	incarnation   int64
	roleByEpoch   map[int64]string // the role that it had under each
}

const (
	roleDrain = 400 * time.Millisecond
	roleStep  = 100 * time.Millisecond
)

func newRoleSim(w World) *plannerSimulation {
	s := &plannerSimulation{world: w, now: int64(1000 * time.Second), stored: map[string]assignment.Record{}, operatorMoves: 1}
	for i := range w.PrefillEngines + w.DecodeEngines {
		role := planapi.Prefill
		if i >= w.PrefillEngines {
			role = planapi.Decode
		}
		s.engines = append(s.engines, &simulatedEngine{name: engineName(w, i), role: role, claimedRole: role, epoch: 1,
			incarnation: 1, roleByEpoch: map[int64]string{1: role}})
	}
	s.edges = make([]planapi.Plan, max(1, w.Routers))
	s.startPlanner()
	// The quiet start: every engine has said what it is.
	for range 3 {
		for _, engine := range s.engines {
			s.sendReport(engine, s.now)
			s.executeNext(99)
		}
	}
	for i := range s.edges {
		s.edges[i] = s.plan
	}
	return s
}

func (s *plannerSimulation) bounds() assignment.Config {
	return assignment.Config{DrainTimeout: roleDrain, OrderTimeout: 300 * time.Millisecond, LoadTimeout: 600 * time.Millisecond,
		TrialTimeout: 300 * time.Millisecond,
		WarmUp:       200 * time.Millisecond, Cooldown: 500 * time.Millisecond, MinServing: 1, MaxChangingShare: 0.1,
		DrainGrace: 50 * time.Millisecond}
}

func (s *plannerSimulation) startPlanner() {
	var records []assignment.Record
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		records = append(records, s.stored[id])
	}
	s.term++
	s.running, s.queue, s.ticksWithoutPlanner = true, nil, 0
	s.core = assignment.New(s.bounds(), s.term, s.now, records, s.meta)
	var boxes []assignment.ListedEngine
	for i, engine := range s.engines {
		listed := planapi.Prefill
		if i >= s.world.PrefillEngines {
			listed = planapi.Decode
		}
		boxes = append(boxes, assignment.ListedEngine{Engine: engine.name, Role: listed, Weight: 1, Ready: true, CanChange: true,
			Kinds: map[string]string{planapi.Prefill: planapi.Prefill, planapi.Decode: planapi.Decode}})
	}
	s.decide(assignment.EnginesListed{Engines: boxes})
}

func (s *plannerSimulation) execute(e assignment.Action) {
	switch e := e.(type) {
	case assignment.Persist:
		for _, r := range e.Records {
			if old, ok := s.stored[r.Engine]; ok && r.Epoch < old.Epoch {
				s.violate("R4 the epoch of %s goes back from %d to %d", r.Engine, old.Epoch, r.Epoch)
			}
			s.stored[r.Engine] = r
		}
		s.meta = e.Meta
	case assignment.PublishPlan:
		if !e.Plan.Newer(s.plan) {
			s.violate("R5 plan %d of term %d follows %d of %d", e.Plan.Number, e.Plan.Term, s.plan.Number,
				s.plan.Term)
		}
		s.plan = e.Plan
		s.checkPlan()
	case assignment.SendRoleOrder:
		s.checkOrder(e)
		if !slices.ContainsFunc(s.orders, func(o pendingOrder) bool {
			return o.engine == e.Engine &&
				o.order == e.Order
		}) {
			s.orders = append(s.orders, pendingOrder{engine: e.Engine, order: e.Order})
		}
	case assignment.StartTrial:
		s.trials = append(s.trials, e)
	}
}

// executeNext does the next n effects.
func (s *plannerSimulation) executeNext(n int) {
	for ; n > 0 && len(s.queue) > 0; n-- {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.execute(e)
	}
}

func (s *plannerSimulation) decide(in assignment.Event) {
	s.queue = append(s.queue, s.core.Step(s.now, in)...)
}

func (s *plannerSimulation) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(s.violated, text) {
		s.violated = append(s.violated, text)
	}
}

func (s *plannerSimulation) engine(name string) *simulatedEngine {
	i := slices.IndexFunc(s.engines, func(engine *simulatedEngine) bool { return engine.name == name })
	return s.engines[i]
}

// sendReport hands over an engine's report, as it is now, to a question of askedAt.
func (s *plannerSimulation) sendReport(engine *simulatedEngine, askedAt int64) {
	r := planapi.EngineReport{Engine: engine.name, Role: engine.claimedRole, Epoch: engine.epoch, Term: engine.term, Incarnation: engine.incarnation,
		UptimeMillis: 0, Changing: engine.loading,
		Draining: engine.draining, OpenRequests: engine.openRequests}
	s.decide(assignment.EngineReported{RequestedAt: askedAt, Report: r})
}

func (e *simulatedEngine) handleOrder(o planapi.RoleOrder) {
	switch {
	case o.Term < e.term || o.Epoch < e.epoch:
	case o.Epoch == e.epoch:
		e.term = o.Term
		if !e.loading && o.Role == e.claimedRole {
			e.draining = o.Drain
		}
	case e.openRequests > 0:
	default:
		e.term, e.epoch, e.draining = o.Term, o.Epoch, false
		if o.Role != e.role || e.loading || e.claimedRole != e.role {
			e.claimedRole, e.loading = o.Role, true
			return
		}
		e.roleByEpoch[e.epoch] = e.role
	}
}

func (e *simulatedEngine) finishLoading() {
	e.loading = false
	if !e.keepsOldRole {
		e.role = e.claimedRole
	}
	e.roleByEpoch[e.epoch] = e.role
}

func (s *plannerSimulation) mayInject(kind string) bool {
	return s.faultsUsed < s.world.Faults && (len(s.world.FaultKinds) == 0 || slices.Contains(s.world.FaultKinds, kind))
}

func (s *plannerSimulation) enabledEvents() (list []Event) {
	add := func(name, faultKind string, apply func()) {
		if faultKind == "" || s.mayInject(faultKind) {
			list = append(list, Event{name, faultKind, apply})
		}
	}
	if s.isSettled() {
		for _, engine := range s.engines {
			if s.stored[engine.name].State == assignment.Quarantined {
				add("an operator mends and readmits "+engine.name, "leave", func() {
					engine.lost, engine.keepsOldRole = false, false
					if _, effects, err := s.core.ApplyOrder(s.now, planapi.Order{Operation: "readmit", Engine: engine.name,
						Operator: "w", Reason: "y"}); err == nil {
						s.queue = append(s.queue, effects...)
					}
				})
			}
		}
		return list
	}
	if !s.running {
		add("the planner starts again", "", s.startPlanner)
		if s.ticksWithoutPlanner < 4 {
			add("time passes without a planner", "", func() { s.ticksWithoutPlanner++; s.advance() })
		}
		return list
	}
	if len(s.queue) > 0 {
		e := s.queue[0]
		add(fmt.Sprintf("the planner goes on: %T", e), "", func() { s.executeNext(1) })
		add(fmt.Sprintf("the planner is killed before %T", e), "kill", s.killPlanner)
		return list
	}
	if s.operatorMoves > 0 {
		for i, engine := range s.engines {
			if i == 0 || i == s.world.PrefillEngines {
				add("an operator moves "+engine.name, "", func() {
					s.operatorMoves--
					if _, effects, err := s.core.ApplyOrder(s.now, planapi.Order{Operation: "move", Engine: engine.name,
						Operator: "w", Reason: "y"}); err == nil {
						s.queue = append(s.queue, effects...)
					}
				})
			}
		}
		return list
	}
	for i, o := range s.orders {
		take := func() { s.orders = slices.Delete(s.orders, i, i+1) }
		add(fmt.Sprintf("order %v reaches %s", o.order, o.engine), "",
			func() { take(); s.engine(o.engine).handleOrder(o.order) })
		add(fmt.Sprintf("order %v to %s is lost", o.order, o.engine), "reset", take)
		if o.delayedTicks == 0 {
			// Ten ticks: longer than any step of a change, so that it comes in the middle of another.
			add(fmt.Sprintf("order %v to %s is late", o.order, o.engine), "late",
				func() { s.orders[i].delayedTicks = 10 })
		}
	}
	for i, t := range s.trials {
		engine := s.engine(t.Engine)
		// An engine answers a trial by the role that it has, if the epoch fits.
		ok := engine.role == t.Role && engine.epoch == t.Epoch && !engine.loading
		take := func() { s.trials = slices.Delete(s.trials, i, i+1) }
		add("the trial of "+t.Engine+" ends", "", func() {
			take()
			s.decide(assignment.TrialEnded{Engine: t.Engine, Number: t.Number, OK: ok, Reason: "no"})
		})
		add("the trial of "+t.Engine+" is lost", "reset", take)
	}
	for _, engine := range s.engines {
		if engine.loading && !engine.lost {
			add(engine.name+" is loaded", "", engine.finishLoading)
			add(engine.name+" never comes back", "silent", func() { engine.lost = true })
			if !engine.keepsOldRole && engine.claimedRole != engine.role {
				add(engine.name+" claims the role and keeps the old one", "garbled",
					func() { engine.keepsOldRole = true; engine.finishLoading() })
			}
		}
		if engine.loading {
			add(engine.name+" crashes and starts in the role that it loaded for", "restart",
				func() { engine.lost = false; engine.finishLoading(); engine.incarnation++ })
		} else if record, ok := s.stored[engine.name]; ok && record.State != assignment.Serving {
			add(engine.name+" crashes and starts again", "restart", func() {
				engine.incarnation++
				engine.draining, engine.openRequests = false,
					0
			})
		}
		if first := engine.roleByEpoch[1]; engine.epoch > 1 && !engine.loading {
			add(engine.name+" crashes and starts in the role that it had first, with all else forgotten",
				"restart", func() {
					engine.role, engine.claimedRole, engine.epoch, engine.term, engine.draining, engine.openRequests = first, first, 1, 0, false, 0
					engine.incarnation++
				})
		}
		if engine.openRequests > 0 && !engine.stuckRequests {
			add("what is open at "+engine.name+" ends", "", func() { engine.openRequests = 0 })
			add("what is open at "+engine.name+" goes on and on", "silent", func() { engine.stuckRequests = true })
		}
	}
	for i := range s.edges {
		if s.plan.Newer(s.edges[i]) {
			add(fmt.Sprintf("edge %d hears plan %d", i, s.plan.Number), "", func() { s.edges[i] = s.plan })
		}
	}
	pending := slices.ContainsFunc(s.orders, func(o pendingOrder) bool { return o.delayedTicks == 0 || o.delayedTicks == 1 }) ||
		len(s.trials) > 0 ||
		slices.ContainsFunc(s.engines, func(engine *simulatedEngine) bool {
			return engine.loading && !engine.lost || engine.openRequests > 0 &&
				!engine.stuckRequests
		}) ||
		slices.ContainsFunc(s.edges, func(p planapi.Plan) bool { return s.plan.Newer(p) })
	if !pending {
		add("time passes and all engines are asked", "", func() {
			asked := s.now
			s.advance()
			for _, engine := range s.engines {
				s.sendReport(engine, asked+1)
			}
			s.decide(assignment.Tick{})
		})
	}
	if !s.meta.Stopped && !s.stopped {
		add("an operator stops all changes", "leave", func() {
			s.stopped = true
			if _, effects, err := s.core.ApplyOrder(s.now, planapi.Order{Operation: "stop", Operator: "w",
				Reason: "y"}); err == nil {
				s.queue = append(s.queue, effects...)
			}
		})
	}
	for _, engine := range s.engines {
		if record := s.stored[engine.name]; record.State == assignment.Draining && engine.openRequests == 0 {
			add("a send of an older plan is open at "+engine.name, "late", func() {
				if !engine.draining {
					engine.openRequests = 1
				}
			})
		}
	}
	return list
}

func (s *plannerSimulation) killPlanner() {
	s.earlierCoverage |= s.core.FiredTransitions()
	s.running, s.queue, s.trials = false, nil, nil
}

func (s *plannerSimulation) advance() {
	s.now += int64(roleStep)
	for i := range s.orders {
		if s.orders[i].delayedTicks > 1 { // the last tick makes it due
			s.orders[i].delayedTicks--
		}
	}
}

// isSettled is whether nothing is left to happen: all engines serve, or are aside for what they did.
func (s *plannerSimulation) isSettled() bool {
	if !s.running || len(s.queue) > 0 || len(s.orders)+len(s.trials) > 0 || s.operatorMoves > 0 {
		return false
	}
	for _, engine := range s.engines {
		record, ok := s.stored[engine.name]
		if ok && record.State != assignment.Serving && !(record.State == assignment.Quarantined && (engine.lost || engine.keepsOldRole)) ||
			engine.loading && !engine.lost || engine.openRequests > 0 && !engine.stuckRequests {
			return false
		}
		if ok && record.State == assignment.Serving && (record.Role != engine.role || record.Epoch != engine.epoch || engine.draining) {
			return false
		}
	}
	for _, p := range s.edges {
		if s.plan.Newer(p) {
			return false
		}
	}
	return true
}

func (s *plannerSimulation) checkPlan() {
	ready := map[string]int{}
	for _, e := range s.plan.Engines {
		if e.State == endpoint.Ready {
			ready[e.Kind]++
			if record, ok := s.stored[e.Engine]; ok && record.State != assignment.Serving && record.State != assignment.WarmingUp {
				s.violate("R8 plan %d lists %s as ready, which is %s", s.plan.Number, e.Engine, record.State)
			}
		}
		engine := s.engine(e.Engine)
		if role, ok := engine.roleByEpoch[e.Epoch]; ok && role != e.Kind {
			s.violate("R1 plan %d lists %s as %s under epoch %d, under which it is %s", s.plan.Number,
				e.Engine, e.Kind, e.Epoch, role)
		}
	}
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		lost := 0 // to its own fault, not to a change
		for _, engine := range s.engines {
			if record, ok := s.stored[engine.name]; ok && record.Role == role && (record.State == assignment.RollingBack ||
				record.State == assignment.Quarantined || record.State == assignment.InTrial) {
				lost++
			}
		}
		if ready[role]+lost < 1 {
			s.violate("R3 plan %d leaves no engine that serves as %s", s.plan.Number, role)
		}
	}
}

// checkOrder holds an order against what is kept: nothing may be asked that a kill would forget.
func (s *plannerSimulation) checkOrder(a assignment.SendRoleOrder) {
	record, ok := s.stored[a.Engine]
	if !ok && a.Order.Epoch > s.engine(a.Engine).epoch || ok && max(record.Epoch, record.NextEpoch) < a.Order.Epoch {
		s.violate("R6 %s is ordered to epoch %d, which is not kept", a.Engine, a.Order.Epoch)
	}
}

// checkState looks at every state: an edge that sends by any plan it may hold meets no engine in the wrong role.
func (s *plannerSimulation) checkState() {
	for i, p := range s.edges {
		for _, e := range p.Engines {
			engine := s.engine(e.Engine)
			if e.State == endpoint.Ready && e.Epoch == engine.epoch && !engine.loading && engine.role != e.Kind {
				s.violate("R2 edge %d would send %s what is for %s, and its epoch %d is taken", i, e.Engine,
					e.Kind, e.Epoch)
			}
		}
	}
	if s.now-int64(1000*time.Second) > int64(20*time.Second) && !s.isSettled() {
		s.violate("R7 after 20 s a change has come to no end: %v", s.stored)
	}
}

func (s *plannerSimulation) applyEvent(e Event) {
	if e.faultKind != "" {
		s.faultsUsed++
	}
	e.apply()
	s.checkState()
}

// plannerExecution is roleSim as the explorer sees it.
type plannerExecution struct{ *plannerSimulation }

func (s plannerExecution) apply(e Event)        { s.applyEvent(e) }
func (s plannerExecution) isTerminal() bool     { return len(s.enabledEvents()) == 0 }
func (s plannerExecution) checkTerminal()       {}
func (s plannerExecution) violations() []string { return s.violated }
func (s plannerExecution) elapsed() time.Duration {
	return time.Duration(s.now - int64(1000*time.Second))
}
func (s plannerExecution) coverage() Coverage {
	return Coverage{Assignment: s.earlierCoverage | s.core.FiredTransitions()}
}

func (s plannerExecution) clientOutcomes() (list []string) {
	for _, engine := range s.engines {
		list = append(list, fmt.Sprint(engine.name, " ", s.stored[engine.name].State))
	}
	return list
}

func (s plannerExecution) describe() (list []string) {
	for _, engine := range s.engines {
		list = append(list, fmt.Sprintf("%s is %s (says %s) of epoch %d, loading %v, draining %v", engine.name,
			engine.role, engine.claimedRole, engine.epoch, engine.loading, engine.draining))
	}
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		record := s.stored[id]
		list = append(list, fmt.Sprintf("kept of %s: %s, %s of %d, next %s of %d", id, record.State, record.Role,
			record.Epoch, record.NextRole, record.NextEpoch))
	}
	return list
}

func (s plannerExecution) fingerprint() uint64 {
	h := xxhash.New()
	s.core.Fingerprint(h)
	for _, id := range slices.Sorted(maps.Keys(s.stored)) {
		record := s.stored[id]
		record.StateSince, record.ServingSince = s.now-record.StateSince, 0
		fmt.Fprintln(h, record)
	}
	for _, engine := range s.engines {
		fmt.Fprintln(h, engine.role, engine.claimedRole, engine.epoch, engine.term-s.term, engine.loading, engine.draining, engine.lost, engine.keepsOldRole,
			engine.openRequests, engine.stuckRequests, engine.incarnation)
	}
	fmt.Fprintf(h, "%v %v %v %v %v %v %v %v\n", s.running, s.ticksWithoutPlanner, len(s.queue), s.orders, s.trials, s.operatorMoves,
		s.faultsUsed, s.stopped)
	for _, e := range s.queue {
		fmt.Fprintf(h, "%T", e)
	}
	for _, p := range append(slices.Clone(s.edges), s.plan) {
		fmt.Fprintln(h, p.Engines, s.plan.Newer(p)) // two plans may say the same and be two
	}
	return h.Sum64()
}
