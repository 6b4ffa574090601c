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

// roleSim is the planner's roles with a store, some engines and edges. Each effect is an event of its own, so
// that the planner may be killed between any two; its orders may be lost or come late, its engines may die,
// claim what they are not, or never come back; edges may hear of plans late.
type roleSim struct {
	w       World
	now     int64
	core    *assignment.Controller
	queue   []assignment.Action // decided and not carried out yet
	kept    map[string]assignment.Record
	meta    assignment.Meta
	term    int64
	up      bool
	boxes   []*roleBox
	orders  []order // on their way
	trials  []assignment.StartTrial
	plan    planapi.Plan // the newest published
	edges   []planapi.Plan
	wishes  int // operator's moves left
	faults  int
	stopped bool
	down    int // ticks without a planner
	broken  []string
	took    uint64
}

type order struct {
	to    string
	order planapi.RoleOrder
	late  int // ticks for which it may still lie on its way; 0 for one that is not late
}

// roleBox is an engine by truth.
type roleBox struct {
	name    string
	role    string
	claims  string
	epoch   int64
	term    int64
	loading bool
	leaving bool
	never   bool // it does not come back
	lies    bool // it claims a role and keeps the old one
	open    int
	endless bool // what is open does not end
	life    int64
	epochs  map[int64]string // the role that it had under each
}

const (
	roleDrain = 400 * time.Millisecond
	roleStep  = 100 * time.Millisecond
)

func newRoleSim(w World) *roleSim {
	s := &roleSim{w: w, now: int64(1000 * time.Second), kept: map[string]assignment.Record{}, wishes: 1}
	for i := range w.Readers + w.Writers {
		role := planapi.Prefill
		if i >= w.Readers {
			role = planapi.Decode
		}
		s.boxes = append(s.boxes, &roleBox{name: engineName(w, i), role: role, claims: role, epoch: 1,
			life: 1, epochs: map[int64]string{1: role}})
	}
	s.edges = make([]planapi.Plan, max(1, w.Nodes))
	s.begin()
	// The quiet start: every engine has said what it is.
	for range 3 {
		for _, b := range s.boxes {
			s.say(b, s.now)
			s.carryOut(99)
		}
	}
	for i := range s.edges {
		s.edges[i] = s.plan
	}
	return s
}

func (s *roleSim) bounds() assignment.Config {
	return assignment.Config{DrainTimeout: roleDrain, OrderTimeout: 300 * time.Millisecond, LoadTimeout: 600 * time.Millisecond,
		TrialTimeout: 300 * time.Millisecond,
		WarmUp:       200 * time.Millisecond, Cooldown: 500 * time.Millisecond, MinServing: 1, MaxChangingShare: 0.1,
		DrainGrace: 50 * time.Millisecond}
}

func (s *roleSim) begin() {
	var records []assignment.Record
	for _, id := range slices.Sorted(maps.Keys(s.kept)) {
		records = append(records, s.kept[id])
	}
	s.term++
	s.up, s.queue, s.down = true, nil, 0
	s.core = assignment.New(s.bounds(), s.term, s.now, records, s.meta)
	var boxes []assignment.ListedEngine
	for i, b := range s.boxes {
		listed := planapi.Prefill
		if i >= s.w.Readers {
			listed = planapi.Decode
		}
		boxes = append(boxes, assignment.ListedEngine{Engine: b.name, Role: listed, Weight: 1, Ready: true, CanChange: true,
			Kinds: map[string]string{planapi.Prefill: planapi.Prefill, planapi.Decode: planapi.Decode}})
	}
	s.step(assignment.EnginesListed{Engines: boxes})
}

func (s *roleSim) step1(e assignment.Action) {
	switch e := e.(type) {
	case assignment.Persist:
		for _, r := range e.Records {
			if old, ok := s.kept[r.Engine]; ok && r.Epoch < old.Epoch {
				s.tell("R4 the epoch of %s goes back from %d to %d", r.Engine, old.Epoch, r.Epoch)
			}
			s.kept[r.Engine] = r
		}
		s.meta = e.Meta
	case assignment.PublishPlan:
		if !e.Plan.Newer(s.plan) {
			s.tell("R5 plan %d of term %d follows %d of %d", e.Plan.Number, e.Plan.Term, s.plan.Number,
				s.plan.Term)
		}
		s.plan = e.Plan
		s.checkPlan()
	case assignment.SendRoleOrder:
		s.checkAsk(e)
		if !slices.ContainsFunc(s.orders, func(o order) bool {
			return o.to == e.Engine &&
				o.order == e.Order
		}) {
			s.orders = append(s.orders, order{to: e.Engine, order: e.Order})
		}
	case assignment.StartTrial:
		s.trials = append(s.trials, e)
	}
}

// carryOut does the next n effects.
func (s *roleSim) carryOut(n int) {
	for ; n > 0 && len(s.queue) > 0; n-- {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.step1(e)
	}
}

func (s *roleSim) step(in assignment.Event) { s.queue = append(s.queue, s.core.Step(s.now, in)...) }

func (s *roleSim) tell(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(s.broken, text) {
		s.broken = append(s.broken, text)
	}
}

func (s *roleSim) box(name string) *roleBox {
	i := slices.IndexFunc(s.boxes, func(b *roleBox) bool { return b.name == name })
	return s.boxes[i]
}

// say hands over an engine's report, as it is now, to a question of askedAt.
func (s *roleSim) say(b *roleBox, askedAt int64) {
	r := planapi.EngineReport{Engine: b.name, Role: b.claims, Epoch: b.epoch, Term: b.term, Incarnation: b.life,
		UptimeMillis: 0, Changing: b.loading,
		Draining: b.leaving, OpenRequests: b.open}
	s.step(assignment.EngineReported{RequestedAt: askedAt, Report: r})
}

func (b *roleBox) follow(o planapi.RoleOrder) {
	switch {
	case o.Term < b.term || o.Epoch < b.epoch:
	case o.Epoch == b.epoch:
		b.term = o.Term
		if !b.loading && o.Role == b.claims {
			b.leaving = o.Drain
		}
	case b.open > 0:
	default:
		b.term, b.epoch, b.leaving = o.Term, o.Epoch, false
		if o.Role != b.role || b.loading || b.claims != b.role {
			b.claims, b.loading = o.Role, true
			return
		}
		b.epochs[b.epoch] = b.role
	}
}

func (b *roleBox) loaded() {
	b.loading = false
	if !b.lies {
		b.role = b.claims
	}
	b.epochs[b.epoch] = b.role
}

func (s *roleSim) may(kind string) bool {
	return s.faults < s.w.Faults && (len(s.w.Kinds) == 0 || slices.Contains(s.w.Kinds, kind))
}

func (s *roleSim) events() (row []Event) {
	add := func(name, fault string, do func()) {
		if fault == "" || s.may(fault) {
			row = append(row, Event{name, fault, do})
		}
	}
	if s.settled() {
		for _, b := range s.boxes {
			if s.kept[b.name].State == assignment.Quarantined {
				add("an operator mends and readmits "+b.name, "leave", func() {
					b.never, b.lies = false, false
					if _, effects, err := s.core.ApplyOrder(s.now, planapi.Order{Operation: "readmit", Engine: b.name,
						Operator: "w", Reason: "y"}); err == nil {
						s.queue = append(s.queue, effects...)
					}
				})
			}
		}
		return row
	}
	if !s.up {
		add("the planner starts again", "", s.begin)
		if s.down < 4 {
			add("time passes without a planner", "", func() { s.down++; s.pass() })
		}
		return row
	}
	if len(s.queue) > 0 {
		e := s.queue[0]
		add(fmt.Sprintf("the planner goes on: %T", e), "", func() { s.carryOut(1) })
		add(fmt.Sprintf("the planner is killed before %T", e), "kill", s.killPlanner)
		return row
	}
	if s.wishes > 0 {
		for i, b := range s.boxes {
			if i == 0 || i == s.w.Readers {
				add("an operator moves "+b.name, "", func() {
					s.wishes--
					if _, effects, err := s.core.ApplyOrder(s.now, planapi.Order{Operation: "move", Engine: b.name,
						Operator: "w", Reason: "y"}); err == nil {
						s.queue = append(s.queue, effects...)
					}
				})
			}
		}
		return row
	}
	for i, o := range s.orders {
		take := func() { s.orders = slices.Delete(s.orders, i, i+1) }
		add(fmt.Sprintf("order %v reaches %s", o.order, o.to), "",
			func() { take(); s.box(o.to).follow(o.order) })
		add(fmt.Sprintf("order %v to %s is lost", o.order, o.to), "reset", take)
		if o.late == 0 {
			// Ten ticks: longer than any step of a change, so that it comes in the middle of another.
			add(fmt.Sprintf("order %v to %s is late", o.order, o.to), "late",
				func() { s.orders[i].late = 10 })
		}
	}
	for i, t := range s.trials {
		b := s.box(t.Engine)
		// An engine answers a trial by the role that it has, if the epoch fits.
		ok := b.role == t.Role && b.epoch == t.Epoch && !b.loading
		take := func() { s.trials = slices.Delete(s.trials, i, i+1) }
		add("the trial of "+t.Engine+" ends", "", func() {
			take()
			s.step(assignment.TrialEnded{Engine: t.Engine, Number: t.Number, OK: ok, Reason: "no"})
		})
		add("the trial of "+t.Engine+" is lost", "reset", take)
	}
	for _, b := range s.boxes {
		if b.loading && !b.never {
			add(b.name+" is loaded", "", b.loaded)
			add(b.name+" never comes back", "silent", func() { b.never = true })
			if !b.lies && b.claims != b.role {
				add(b.name+" claims the role and keeps the old one", "garbled",
					func() { b.lies = true; b.loaded() })
			}
		}
		if b.loading {
			add(b.name+" crashes and starts in the role that it loaded for", "restart",
				func() { b.never = false; b.loaded(); b.life++ })
		} else if k, ok := s.kept[b.name]; ok && k.State != assignment.Serving {
			add(b.name+" crashes and starts again", "restart", func() {
				b.life++
				b.leaving, b.open = false,
					0
			})
		}
		if first := b.epochs[1]; b.epoch > 1 && !b.loading {
			add(b.name+" crashes and starts in the role that it had first, with all else forgotten",
				"restart", func() {
					b.role, b.claims, b.epoch, b.term, b.leaving, b.open = first, first, 1, 0, false, 0
					b.life++
				})
		}
		if b.open > 0 && !b.endless {
			add("what is open at "+b.name+" ends", "", func() { b.open = 0 })
			add("what is open at "+b.name+" goes on and on", "silent", func() { b.endless = true })
		}
	}
	for i := range s.edges {
		if s.plan.Newer(s.edges[i]) {
			add(fmt.Sprintf("edge %d hears plan %d", i, s.plan.Number), "", func() { s.edges[i] = s.plan })
		}
	}
	pending := slices.ContainsFunc(s.orders, func(o order) bool { return o.late == 0 || o.late == 1 }) ||
		len(s.trials) > 0 ||
		slices.ContainsFunc(s.boxes, func(b *roleBox) bool {
			return b.loading && !b.never || b.open > 0 &&
				!b.endless
		}) ||
		slices.ContainsFunc(s.edges, func(p planapi.Plan) bool { return s.plan.Newer(p) })
	if !pending {
		add("time passes and all engines are asked", "", func() {
			asked := s.now
			s.pass()
			for _, b := range s.boxes {
				s.say(b, asked+1)
			}
			s.step(assignment.Tick{})
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
	for _, b := range s.boxes {
		if k := s.kept[b.name]; k.State == assignment.Draining && b.open == 0 {
			add("a send of an older plan is open at "+b.name, "late", func() {
				if !b.leaving {
					b.open = 1
				}
			})
		}
	}
	return row
}

func (s *roleSim) killPlanner() {
	s.took |= s.core.FiredTransitions()
	s.up, s.queue, s.trials = false, nil, nil
}

func (s *roleSim) pass() {
	s.now += int64(roleStep)
	for i := range s.orders {
		if s.orders[i].late > 1 { // the last tick makes it due
			s.orders[i].late--
		}
	}
}

// settled is whether nothing is left to happen: all engines serve, or are aside for what they did.
func (s *roleSim) settled() bool {
	if !s.up || len(s.queue) > 0 || len(s.orders)+len(s.trials) > 0 || s.wishes > 0 {
		return false
	}
	for _, b := range s.boxes {
		k, ok := s.kept[b.name]
		if ok && k.State != assignment.Serving && !(k.State == assignment.Quarantined && (b.never || b.lies)) ||
			b.loading && !b.never || b.open > 0 && !b.endless {
			return false
		}
		if ok && k.State == assignment.Serving && (k.Role != b.role || k.Epoch != b.epoch || b.leaving) {
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

func (s *roleSim) checkPlan() {
	ready := map[string]int{}
	for _, e := range s.plan.Engines {
		if e.State == endpoint.Ready {
			ready[e.Kind]++
			if k, ok := s.kept[e.Engine]; ok && k.State != assignment.Serving && k.State != assignment.WarmingUp {
				s.tell("R8 plan %d lists %s as ready, which is %s", s.plan.Number, e.Engine, k.State)
			}
		}
		b := s.box(e.Engine)
		if role, ok := b.epochs[e.Epoch]; ok && role != e.Kind {
			s.tell("R1 plan %d lists %s as %s under epoch %d, under which it is %s", s.plan.Number,
				e.Engine, e.Kind, e.Epoch, role)
		}
	}
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		lost := 0 // to its own fault, not to a change
		for _, b := range s.boxes {
			if k, ok := s.kept[b.name]; ok && k.Role == role && (k.State == assignment.RollingBack ||
				k.State == assignment.Quarantined || k.State == assignment.InTrial) {
				lost++
			}
		}
		if ready[role]+lost < 1 {
			s.tell("R3 plan %d leaves no engine that serves as %s", s.plan.Number, role)
		}
	}
}

// checkAsk holds an order against what is kept: nothing may be asked that a kill would forget.
func (s *roleSim) checkAsk(a assignment.SendRoleOrder) {
	k, ok := s.kept[a.Engine]
	if !ok && a.Order.Epoch > s.box(a.Engine).epoch || ok && max(k.Epoch, k.NextEpoch) < a.Order.Epoch {
		s.tell("R6 %s is ordered to epoch %d, which is not kept", a.Engine, a.Order.Epoch)
	}
}

// check looks at every state: an edge that sends by any plan it may hold meets no engine in the wrong role.
func (s *roleSim) check() {
	for i, p := range s.edges {
		for _, e := range p.Engines {
			b := s.box(e.Engine)
			if e.State == endpoint.Ready && e.Epoch == b.epoch && !b.loading && b.role != e.Kind {
				s.tell("R2 edge %d would send %s what is for %s, and its epoch %d is taken", i, e.Engine,
					e.Kind, e.Epoch)
			}
		}
	}
	if s.now-int64(1000*time.Second) > int64(20*time.Second) && !s.settled() {
		s.tell("R7 after 20 s a change has come to no end: %v", s.kept)
	}
}

func (s *roleSim) step2(e Event) {
	if e.fault != "" {
		s.faults++
	}
	e.do()
	s.check()
}

// roleState is roleSim as the explorer sees it.
type roleState struct{ *roleSim }

func (s roleState) step(e Event)         { s.step2(e) }
func (s roleState) over() bool           { return len(s.events()) == 0 }
func (s roleState) checkEnd()            {}
func (s roleState) found() []string      { return s.broken }
func (s roleState) clock() time.Duration { return time.Duration(s.now - int64(1000*time.Second)) }
func (s roleState) cover() Cover         { return Cover{Roles: s.took | s.core.FiredTransitions()} }

func (s roleState) finals() (row []string) {
	for _, b := range s.boxes {
		row = append(row, fmt.Sprint(b.name, " ", s.kept[b.name].State))
	}
	return row
}

func (s roleState) tellState() (row []string) {
	for _, b := range s.boxes {
		row = append(row, fmt.Sprintf("%s is %s (says %s) of epoch %d, loading %v, draining %v", b.name,
			b.role, b.claims, b.epoch, b.loading, b.leaving))
	}
	for _, id := range slices.Sorted(maps.Keys(s.kept)) {
		k := s.kept[id]
		row = append(row, fmt.Sprintf("kept of %s: %s, %s of %d, next %s of %d", id, k.State, k.Role,
			k.Epoch, k.NextRole, k.NextEpoch))
	}
	return row
}

func (s roleState) digest() uint64 {
	h := xxhash.New()
	s.core.Fingerprint(h)
	for _, id := range slices.Sorted(maps.Keys(s.kept)) {
		k := s.kept[id]
		k.StateSince, k.ServingSince = s.now-k.StateSince, 0
		fmt.Fprintln(h, k)
	}
	for _, b := range s.boxes {
		fmt.Fprintln(h, b.role, b.claims, b.epoch, b.term-s.term, b.loading, b.leaving, b.never, b.lies,
			b.open, b.endless, b.life)
	}
	fmt.Fprintf(h, "%v %v %v %v %v %v %v %v\n", s.up, s.down, len(s.queue), s.orders, s.trials, s.wishes,
		s.faults, s.stopped)
	for _, e := range s.queue {
		fmt.Fprintf(h, "%T", e)
	}
	for _, p := range append(slices.Clone(s.edges), s.plan) {
		fmt.Fprintln(h, p.Engines, s.plan.Newer(p)) // two plans may say the same and be two
	}
	return h.Sum64()
}
