// Package sway is a fleet in simulated time whose load tilts between reading and writing. The real roles
// decide, or a baseline does; queues, engines and edges are a fluid: shares of inferences, not single ones.
// It does no I/O.
package fluidmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// Route is one model route of the load. Its reading and writing work are tokens of one inference.
type Route struct {
	Name                string
	Share               float64
	PrefillTokens       float64
	DecodeTokens        float64
	Value               float64
	LatencyObjective    float64 // seconds to the first token
	SkewedPrefillTokens float64 // of an inference when the load is tilted all the way to reading
	SkewedDecodeTokens  float64 // and all the way to writing
}

// Scenario is one day.
type Scenario struct {
	Engines, PrefillEngines, Cells int
	Edges                          int
	Duration, Period               time.Duration
	SkewDepth                      float64 // 0 for none, 1 for all of the tilt
	SquareWave                     bool    // the load jumps; else it swings
	Utilization                    float64 // of what the best split of roles could do
	ReloadTime, WarmUp, DrainTime  time.Duration
	ReportDelay                    time.Duration // of all reports
	MissingReports                 float64       // share of engines and edges that report nothing
	FalseReports                   float64       // share of engines that report ten times their work
	SlowDecode                     [2]float64    // from and to, as shares of the day: writers go at half their pace
	FixedRoles                     float64       // share of engines that cannot change
	PrefillLossAt                  float64       // of the day: when all readers but one drain for good; 0 for never
	Seed                           uint64
}

// Strategy is a way to give roles.
type Strategy struct {
	Name           string
	Adaptive       bool // the real code
	Threshold      bool // the plain threshold
	PrefillEngines int  // fixed
}

// Result is what a day came to.
type Result struct {
	Value           float64   `json:"value"`   // in time, of what was offered
	WorstWindow     float64   `json:"worst"`   // the worst ten seconds
	Changes         int       `json:"changes"` // engines that came to another role
	LostEngineTime  float64   `json:"lost"`    // engine-seconds out of service for changes, of all
	ServingPrefill  []float64 `json:"-"`       // serving, every second
	Windows         []float64 `json:"-"`       // value share, every ten seconds
	RecoverySeconds float64   `json:"recover"` // seconds from the first tilt until nine tenths of value are in time again; -1 for never
}

// The paces of one engine, tokens a second: a reader's prompts and a writer's answers over all its slots.
const (
	prefillThroughput = 20_000.0
	decodeThroughput  = 1_600.0
	timeStep          = 100 * time.Millisecond
)

// Routes are two: a cheap one of long texts, a dear one of short.
func Routes() []Route {
	return []Route{
		{Name: "fan-alert", Share: 0.4, PrefillTokens: 300, DecodeTokens: 60, Value: 5, LatencyObjective: 0.8, SkewedPrefillTokens: 1500,
			SkewedDecodeTokens: 150},
		{Name: "clip-summary", Share: 0.6, PrefillTokens: 1200, DecodeTokens: 100, Value: 1, LatencyObjective: 1.5,
			SkewedPrefillTokens: 4000, SkewedDecodeTokens: 250},
	}
}

type engineModel struct {
	name, role, reportedRole    string
	epoch, term                 int64
	cell                        string
	loading, draining           bool
	phaseEndsAt                 time.Duration // it is loaded, or what is open has ended
	servingSince                time.Duration // of its role, -1 for long ago
	prefillTokens, decodeTokens float64
	busySeconds                 float64
	canChange                   bool
	silent, reportsFalsely      bool
	removed                     bool // drained for good
	nextRole                    string
}

type fleet struct {
	scenario              Scenario
	routes                []Route
	strategy              Strategy
	rng                   *rand.Rand
	now                   time.Duration
	engines               []*engineModel
	controller            *assignment.Controller
	plan                  map[string]planapi.Engine // what edges follow
	delayed               []func()                  // by time: reports on their way
	delayedUntil          []time.Duration
	counts                []planapi.RouteCount
	prefillBacklog        float64 // backlog, tokens
	decodeBacklog         float64
	decodePerPrefillToken float64 // answer tokens that follow a token read
	result                Result
}

const startTime = int64(1_000_000) * int64(time.Second)

func (f *fleet) clock() int64 { return startTime + int64(f.now) }

// skew is 1 when the load is all the way at reading, -1 at writing.
func (f *fleet) skew() float64 {
	if f.scenario.Period == 0 {
		return 0
	}
	at := math.Mod(f.now.Seconds(), f.scenario.Period.Seconds()) / f.scenario.Period.Seconds()
	v := math.Sin(2 * math.Pi * at)
	if f.scenario.SquareWave {
		v = 1
		if at >= 0.5 {
			v = -1
		}
	}
	return v * f.scenario.SkewDepth
}

func (r Route) tokensAt(skew float64) (prefillTokens, decodeTokens float64) {
	return r.PrefillTokens + max(skew, 0)*(r.SkewedPrefillTokens-r.PrefillTokens), r.DecodeTokens + max(-skew, 0)*(r.SkewedDecodeTokens-r.DecodeTokens)
}

// arrivalRate is how many inferences a second arrive: Load of what all engines could do with the best split of
// roles.
func (f *fleet) arrivalRate() float64 {
	r, w := 0.0, 0.0
	for _, route := range f.routes {
		a, b := route.tokensAt(f.skew())
		r, w = r+route.Share*a/prefillThroughput, w+route.Share*b/decodeThroughput
	}
	return f.scenario.Utilization * float64(f.scenario.Engines) / (r + w)
}

// Run plays a day.
func Run(scenario Scenario, strategy Strategy) Result {
	f := &fleet{scenario: scenario, routes: Routes(), strategy: strategy, rng: rand.New(rand.NewPCG(scenario.Seed, 11)),
		plan: map[string]planapi.Engine{}}
	f.result.RecoverySeconds = -1
	prefillEngines := scenario.PrefillEngines
	if strategy.PrefillEngines > 0 {
		prefillEngines = strategy.PrefillEngines
	}
	var listed []assignment.ListedEngine
	for i := range scenario.Engines {
		engine := &engineModel{name: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), role: planapi.Decode, epoch: 1,
			servingSince: -1,
			cell:         fmt.Sprint("c", i%max(1, scenario.Cells))}
		if i < prefillEngines {
			engine.role = planapi.Prefill
		}
		engine.reportedRole, engine.canChange = engine.role, f.rng.Float64() >= scenario.FixedRoles
		engine.silent, engine.reportsFalsely = f.rng.Float64() < scenario.MissingReports, f.rng.Float64() < scenario.FalseReports
		f.engines = append(f.engines, engine)
		kinds := map[string]string{engine.role: engine.role}
		if engine.canChange {
			kinds = map[string]string{planapi.Prefill: planapi.Prefill, planapi.Decode: planapi.Decode}
		}
		listed = append(listed, assignment.ListedEngine{Engine: engine.name, Role: engine.role, Cell: engine.cell, Weight: 1, Ready: true,
			CanChange: engine.canChange, Kinds: kinds})
		f.plan[engine.name] = planapi.Engine{Engine: engine.name, Kind: engine.role, State: "ready", Epoch: 1}
	}
	for _, route := range f.routes {
		f.counts = append(f.counts, planapi.RouteCount{Route: route.Name})
	}
	if strategy.Adaptive {
		values := map[string]float64{}
		for _, route := range f.routes {
			values[route.Name] = route.Value
		}
		f.controller = assignment.New(assignment.Config{DrainTimeout: 20 * time.Second, OrderTimeout: 3 * time.Second, LoadTimeout: 2*scenario.ReloadTime +
			10*time.Second, TrialTimeout: 5 * time.Second,
			WarmUp: scenario.WarmUp, Cooldown: 30 * time.Second, MinServing: 1, MaxChangingShare: 0.1, MaxSharePerMinute: 0.25,
			DrainGrace: 250 * time.Millisecond, PrefillThroughput: prefillThroughput,
			DecodeThroughput: decodeThroughput, RouteValues: values}, 1, f.clock(), nil, assignment.Meta{})
		f.execute(f.controller.Step(f.clock(), assignment.EnginesListed{Engines: listed}))
	}
	offered, served := 0.0, 0.0
	windowOffered, windowServed, windowSteps := 0.0, 0.0, 0
	f.result.WorstWindow = 1
	firstSkew := time.Duration(float64(scenario.Period) / 8)
	for f.now = 0; f.now < scenario.Duration; f.now += timeStep {
		if scenario.PrefillLossAt > 0 && f.now >= time.Duration(scenario.PrefillLossAt*float64(scenario.Duration)) &&
			f.now < time.Duration(scenario.PrefillLossAt*float64(scenario.Duration))+timeStep {
			f.removePrefillEngines(listed)
		}
		f.deliverDue()
		stepOffered, stepServed := f.admitArrivals()
		f.processBacklog()
		f.runStrategy()
		offered, served = offered+stepOffered, served+stepServed
		windowOffered, windowServed = windowOffered+stepOffered, windowServed+stepServed
		if f.now%time.Second == 0 {
			prefillEngines := 0.0
			for _, engine := range f.engines {
				if f.capacityShare(engine, planapi.Prefill) > 0 {
					prefillEngines++
				}
			}
			f.result.ServingPrefill = append(f.result.ServingPrefill, prefillEngines)
		}
		if windowSteps++; windowSteps == int(10*time.Second/timeStep) {
			share := windowServed / max(windowOffered, 1e-9)
			f.result.Windows = append(f.result.Windows, share)
			f.result.WorstWindow = min(f.result.WorstWindow, share)
			if share >= 0.9 && f.result.RecoverySeconds < 0 && f.now > firstSkew {
				f.result.RecoverySeconds = f.now.Seconds()
			}
			windowOffered, windowServed, windowSteps = 0, 0, 0
		}
	}
	f.result.Value = served / offered
	f.result.LostEngineTime /= float64(scenario.Engines) * scenario.Duration.Seconds()
	return f.result
}

// removePrefillEngines drains all readers but one for good: discovery lists them so.
func (f *fleet) removePrefillEngines(listed []assignment.ListedEngine) {
	kept := false
	for i, engine := range f.engines {
		if engine.role != planapi.Prefill {
			continue
		}
		if !kept {
			kept = true
			continue
		}
		engine.removed = true
		listed[i].Ready = false
	}
	if f.controller != nil {
		f.execute(f.controller.Step(f.clock(), assignment.EnginesListed{Engines: listed}))
	}
}

// capacityShare is the part of its power that an engine has for a role, as edges know it: they send by their plan,
// and the engine takes only what fits its epoch.
func (f *fleet) capacityShare(engine *engineModel, role string) float64 {
	planned, ok := f.plan[engine.name]
	if engine.removed || engine.loading || engine.draining || engine.role != role || !ok || planned.State != "ready" || planned.Kind != role ||
		planned.Epoch != 0 && planned.Epoch != engine.epoch {
		return 0
	}
	share := 1.0
	if engine.servingSince >= 0 && f.now-engine.servingSince < f.scenario.WarmUp { // a cold one does a quarter at first
		share = 0.25 + 0.75*float64(f.now-engine.servingSince)/float64(f.scenario.WarmUp)
	}
	if at := float64(f.now) / float64(f.scenario.Duration); role == planapi.Decode && at >= f.scenario.SlowDecode[0] &&
		at < f.scenario.SlowDecode[1] {
		share /= 2
	}
	return share
}

func (f *fleet) capacity(role string) (total float64) {
	for _, engine := range f.engines {
		total += f.capacityShare(engine, role)
	}
	return total
}

// admitArrivals lets a step's inferences come. Edges take what can be in time, of high value for longer, as the
// module does.
func (f *fleet) admitArrivals() (offered, served float64) {
	prefillCapacity, decodeCapacity := f.capacity(planapi.Prefill)*prefillThroughput, f.capacity(planapi.Decode)*decodeThroughput
	arrivals := f.arrivalRate() * timeStep.Seconds()
	arrivals += math.Sqrt(arrivals) * f.rng.NormFloat64()
	arrivals = max(0, arrivals)
	maxValue := 0.0
	for _, route := range f.routes {
		maxValue = max(maxValue, route.Value)
	}
	for i, route := range f.routes {
		prefillTokens, decodeTokens := route.tokensAt(f.skew())
		arrived := arrivals * route.Share
		offered += arrived * route.Value
		count := &f.counts[i]
		count.Arrived, count.PromptTokens = count.Arrived+arrived, count.PromptTokens+arrived*prefillTokens
		wait := 2 * route.LatencyObjective
		if prefillCapacity > 0 && decodeCapacity > 0 {
			wait = f.prefillBacklog/prefillCapacity + f.decodeBacklog/decodeCapacity + prefillTokens/prefillThroughput
		}
		if wait > (0.4+0.4*route.Value/maxValue)*route.LatencyObjective {
			count.Shed += arrived
			continue
		}
		served += arrived * route.Value
		f.prefillBacklog += arrived * prefillTokens
		f.decodePerPrefillToken += (decodeTokens/prefillTokens - f.decodePerPrefillToken) * min(1, arrived*prefillTokens/max(f.prefillBacklog, 1))
		count.Started, count.StartedPromptTokens, count.WithinObjective = count.Started+arrived, count.StartedPromptTokens+arrived*prefillTokens, count.WithinObjective+arrived
		count.Completed, count.CompletionTokens = count.Completed+arrived, count.CompletionTokens+arrived*decodeTokens
	}
	return offered, served
}

// processBacklog lets engines do a step's part.
func (f *fleet) processBacklog() {
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		capacity := f.capacity(role)
		throughput, backlog := prefillThroughput, &f.prefillBacklog
		if role == planapi.Decode {
			throughput, backlog = decodeThroughput, &f.decodeBacklog
		}
		done := min(*backlog, capacity*throughput*timeStep.Seconds())
		*backlog -= done
		if role == planapi.Prefill {
			f.decodeBacklog += done * f.decodePerPrefillToken
		}
		for _, engine := range f.engines {
			if share := f.capacityShare(engine, role); share > 0 {
				processed := done * share / capacity
				if role == planapi.Prefill {
					engine.prefillTokens += processed
				} else {
					engine.decodeTokens += processed
				}
				engine.busySeconds += processed / (throughput * share)
			}
		}
	}
	for _, engine := range f.engines {
		if engine.loading || engine.draining {
			f.result.LostEngineTime += timeStep.Seconds()
		}
		if engine.loading && f.now >= engine.phaseEndsAt {
			engine.loading, engine.role, engine.servingSince = false, engine.reportedRole, f.now
			f.result.Changes++
			if f.strategy.Threshold {
				f.plan[engine.name] = planapi.Engine{Engine: engine.name, Kind: engine.role, State: "ready", Epoch: engine.epoch}
			}
		}
	}
}

// deliverLater hands something over after the reports' lag.
func (f *fleet) deliverLater(do func()) {
	f.delayed, f.delayedUntil = append(f.delayed, do), append(f.delayedUntil, f.now+f.scenario.ReportDelay)
}

func (f *fleet) deliverDue() {
	for len(f.delayed) > 0 && f.delayedUntil[0] <= f.now {
		do := f.delayed[0]
		f.delayed, f.delayedUntil = f.delayed[1:], f.delayedUntil[1:]
		do()
	}
}

func (f *fleet) reportOf(engine *engineModel) planapi.EngineReport {
	report := planapi.EngineReport{Engine: engine.name, Role: engine.reportedRole, Epoch: engine.epoch, Term: engine.term, Incarnation: 1,
		Changing: engine.loading, Draining: engine.draining,
		PrefillTokens: engine.prefillTokens, DecodeTokens: engine.decodeTokens, BusySeconds: engine.busySeconds}
	if engine.servingSince >= 0 {
		report.UptimeMillis = (f.now - engine.servingSince).Milliseconds() + 1
	}
	if engine.draining && f.now < engine.phaseEndsAt {
		report.OpenRequests = 1
	}
	if engine.reportsFalsely {
		report.PrefillTokens, report.DecodeTokens = 10*report.PrefillTokens, 10*report.DecodeTokens
	}
	return report
}

// runStrategy lets whoever gives roles look and act.
func (f *fleet) runStrategy() {
	if f.strategy.Threshold {
		f.runThreshold()
		return
	}
	if f.controller == nil {
		return
	}
	for i, engine := range f.engines {
		urgent := engine.draining || engine.loading || f.plan[engine.name].Epoch != engine.epoch
		// Each second, spread over its ten steps; those that are changing every step.
		if engine.silent && !urgent || !urgent && int(f.now/timeStep)%10 != i%10 {
			continue
		}
		requestedAt, report := f.clock(), f.reportOf(engine)
		f.deliverLater(func() {
			f.execute(f.controller.Step(f.clock(), assignment.EngineReported{RequestedAt: requestedAt, Report: report}))
		})
	}
	for edge := range f.scenario.Edges {
		if int(f.now/timeStep)%10 != edge%10 || float64(edge) < f.scenario.MissingReports*float64(f.scenario.Edges) {
			continue
		}
		report := planapi.EdgeReport{Edge: fmt.Sprint("edge", edge), Incarnation: 1}
		for _, count := range f.counts {
			share := 1 / float64(f.scenario.Edges)
			report.Routes = append(report.Routes, planapi.RouteCount{Route: count.Route, Arrived: count.Arrived * share,
				PromptTokens: count.PromptTokens * share, Started: count.Started * share,
				StartedPromptTokens: count.StartedPromptTokens * share, Completed: count.Completed * share, CompletionTokens: count.CompletionTokens * share,
				WithinObjective: count.WithinObjective * share, Shed: count.Shed * share})
		}
		f.deliverLater(func() { f.execute(f.controller.Step(f.clock(), assignment.EdgeReported{Report: report})) })
	}
	f.execute(f.controller.Step(f.clock(), assignment.Tick{}))
}

func (f *fleet) engineNamed(name string) *engineModel {
	return f.engines[slices.IndexFunc(f.engines, func(engine *engineModel) bool { return engine.name == name })]
}

func (f *fleet) execute(actions []assignment.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case assignment.PublishPlan:
			clear(f.plan)
			for _, planned := range action.Plan.Engines {
				f.plan[planned.Engine] = planned
			}
		case assignment.SendRoleOrder:
			f.applyOrder(f.engineNamed(action.Engine), action.Order)
		case assignment.StartTrial:
			engine := f.engineNamed(action.Engine)
			ok := engine.role == action.Role && engine.epoch == action.Epoch && !engine.loading
			f.deliverLater(func() {
				f.execute(f.controller.Step(f.clock(), assignment.TrialEnded{Engine: action.Engine, Number: action.Number, OK: ok}))
			})
		}
	}
}

func (f *fleet) applyOrder(engine *engineModel, order planapi.RoleOrder) {
	engine.term = order.Term
	switch {
	case order.Epoch == engine.epoch && !engine.loading:
		if order.Drain && !engine.draining { // what is open ends within the drain's time
			engine.phaseEndsAt = f.now + time.Duration(f.rng.Float64()*float64(f.scenario.DrainTime))
		}
		engine.draining = order.Drain
	case order.Epoch > engine.epoch && (!engine.draining || f.now >= engine.phaseEndsAt):
		engine.epoch, engine.draining = order.Epoch, false
		if order.Role != engine.role || engine.loading {
			engine.reportedRole, engine.loading, engine.phaseEndsAt = order.Role, true, f.now+f.scenario.ReloadTime
		}
	}
}

// runThreshold is the plain baseline: every five seconds, if one role has more than eight tenths of its work for
// the last of them and the other less than half, one engine changes.
func (f *fleet) runThreshold() {
	for _, engine := range f.engines {
		if engine.draining && f.now >= engine.phaseEndsAt {
			engine.draining, engine.loading, engine.phaseEndsAt = false, true, f.now+f.scenario.ReloadTime
			engine.reportedRole = engine.nextRole
			engine.epoch++
		}
	}
	if f.now%(5*time.Second) != 0 || f.now == 0 {
		return
	}
	required := map[string]float64{}
	for _, route := range f.routes {
		prefillTokens, decodeTokens := route.tokensAt(f.skew())
		required[planapi.Prefill] += f.arrivalRate() * route.Share * prefillTokens / prefillThroughput
		required[planapi.Decode] += f.arrivalRate() * route.Share * decodeTokens / decodeThroughput
	}
	utilization := func(role string) float64 { return required[role] / max(f.capacity(role), 0.1) }
	for _, to := range []string{planapi.Prefill, planapi.Decode} {
		from := planapi.OtherRole(to)
		if utilization(to) > 0.8 && utilization(from) < 0.5 && f.capacity(from) > 1.5 {
			for _, engine := range f.engines {
				if engine.canChange && f.capacityShare(engine, from) > 0 {
					engine.draining, engine.nextRole = true, to
					engine.phaseEndsAt = f.now + time.Duration(f.rng.Float64()*float64(f.scenario.DrainTime))
					return
				}
			}
		}
	}
}

// BestFixedSplit is the fixed split that a day would have been best with, in hindsight: some twelve are tried.
func BestFixedSplit(scenario Scenario) (Result, int) {
	best, bestEngines := Result{Value: -1}, 0
	increment := max(1, scenario.Engines/12)
	for prefillEngines := increment; prefillEngines < scenario.Engines; prefillEngines += increment {
		if result := Run(scenario, Strategy{PrefillEngines: prefillEngines}); result.Value > best.Value {
			best, bestEngines = result, prefillEngines
		}
	}
	return best, bestEngines
}
