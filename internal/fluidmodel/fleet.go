package fluidmodel

import (
	"fmt"
	"math/rand/v2"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

const (
	// startTime is the simulated clock at the start, in nanoseconds.
	startTime = int64(1_000_000) * int64(time.Second)
	// rngStream separates this model's random numbers from those of other generators with the same seed.
	rngStream = 11
	// warmUpStartShare is the share of its throughput that an engine has at the start of its warm-up.
	warmUpStartShare = 0.25
)

type engineModel struct {
	name           string
	role           string // role in which the engine serves
	reportedRole   string // role in which the engine serves, or which it loads
	epoch, term    int64
	cell           string
	loading        bool
	draining       bool
	phaseEndsAt    time.Duration // time at which loading completes, or the requests in flight have ended
	servingSince   time.Duration // start of service in the role; -1 for long ago
	prefillTokens  float64
	decodeTokens   float64
	busySeconds    float64
	canChange      bool
	silent         bool // the engine reports only while it changes its role
	reportsFalsely bool
	removed        bool   // the engine is drained permanently
	nextRole       string // next role of the engine; used only by the threshold baseline
}

// fleet is the state of a simulation.
type fleet struct {
	scenario              Scenario
	strategy              Strategy
	routes                []Route
	rng                   *rand.Rand
	now                   time.Duration
	engines               []*engineModel
	listed                []assignment.ListedEngine // the endpoint list
	plan                  map[string]planapi.Engine // plan that edges follow, by engine
	planner               *plannerModel             // model of the planner; nil unless the strategy is Adaptive
	counts                []planapi.RouteCount      // counts by route, summed over all edges
	prefillBacklog        float64                   // prefill backlog in tokens
	decodeBacklog         float64                   // decode backlog in tokens
	decodePerPrefillToken float64                   // answer tokens per prompt token of the backlog
	changes               int                       // number of changes of engines to another role
	lostEngineSeconds     float64                   // engine time out of service for role changes
}

func newFleet(scenario Scenario, strategy Strategy) *fleet {
	f := &fleet{scenario: scenario, strategy: strategy, routes: Routes(),
		rng: rand.New(rand.NewPCG(scenario.Seed, rngStream)), plan: map[string]planapi.Engine{}}
	for i := range scenario.Engines {
		f.addEngine(i)
	}
	for _, route := range f.routes {
		f.counts = append(f.counts, planapi.RouteCount{Route: route.Name})
	}
	if strategy == Adaptive {
		f.planner = newPlannerModel(f)
		f.planner.handleEvent(assignment.EnginesListed{Engines: f.listed})
	}
	return f
}

func (f *fleet) addEngine(i int) {
	engine := &engineModel{name: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250+1), role: planapi.Decode, epoch: 1,
		servingSince: -1, cell: fmt.Sprint("c", i%max(1, f.scenario.Cells))}
	if i < f.scenario.PrefillEngines {
		engine.role = planapi.Prefill
	}
	engine.reportedRole = engine.role
	engine.canChange = f.rng.Float64() >= f.scenario.FixedRoles
	engine.silent = f.rng.Float64() < f.scenario.MissingReports
	engine.reportsFalsely = f.rng.Float64() < f.scenario.FalseReports
	f.engines = append(f.engines, engine)
	// Engine kinds have the names of roles.
	kinds := map[string]string{engine.role: engine.role}
	if engine.canChange {
		kinds = map[string]string{planapi.Prefill: planapi.Prefill, planapi.Decode: planapi.Decode}
	}
	f.listed = append(f.listed, assignment.ListedEngine{Engine: engine.name, Role: engine.role, Cell: engine.cell,
		Weight: 1, Ready: true, CanChange: engine.canChange, Kinds: kinds})
	f.publish(engine)
}

// publish adds an engine to the plan in its current role and epoch.
func (f *fleet) publish(engine *engineModel) {
	f.plan[engine.name] = planapi.Engine{Engine: engine.name, Kind: engine.role, State: endpoint.Ready,
		Epoch: engine.epoch}
}

func (f *fleet) clockNanos() int64 { return startTime + int64(f.now) }

// step simulates one time step.
func (f *fleet) step() valueTotals {
	lossAt := time.Duration(f.scenario.PrefillLossAt * float64(f.scenario.Duration))
	if lossAt > 0 && f.now >= lossAt && f.now < lossAt+timeStep {
		f.removePrefillEngines()
	}
	if f.planner != nil {
		f.planner.deliverDueEvents()
	}
	value := f.admitArrivals()
	f.processBacklog(planapi.Prefill)
	f.processBacklog(planapi.Decode)
	f.finishLoading()
	switch f.strategy {
	case Adaptive:
		f.planner.step()
	case Threshold:
		f.applyThreshold()
	}
	return value
}

// removePrefillEngines permanently drains all prefill engines but one.
func (f *fleet) removePrefillEngines() {
	hasKeptOne := false
	for i, engine := range f.engines {
		if engine.role != planapi.Prefill {
			continue
		}
		if !hasKeptOne {
			hasKeptOne = true
			continue
		}
		engine.removed = true
		f.listed[i].Ready = false
	}
	if f.planner != nil {
		f.planner.handleEvent(assignment.EnginesListed{Engines: f.listed})
	}
}

// capacityShare returns the share of an engine's throughput that is available for a role. Edges send requests according
// to their plan, and engines accept only requests with their current epoch.
func (f *fleet) capacityShare(engine *engineModel, role string) float64 {
	if engine.removed || engine.loading || engine.draining || engine.role != role {
		return 0
	}
	planned, listed := f.plan[engine.name]
	if !listed || planned.State != endpoint.Ready || planned.Kind != role ||
		planned.Epoch != 0 && planned.Epoch != engine.epoch {
		return 0
	}
	share := 1.0
	if engine.servingSince >= 0 && f.now-engine.servingSince < f.scenario.WarmUp {
		share = warmUpStartShare +
			(1-warmUpStartShare)*float64(f.now-engine.servingSince)/float64(f.scenario.WarmUp)
	}
	elapsed := float64(f.now) / float64(f.scenario.Duration)
	if role == planapi.Decode && elapsed >= f.scenario.SlowDecode[0] && elapsed < f.scenario.SlowDecode[1] {
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

// servingPrefill counts the prefill engines in service.
func (f *fleet) servingPrefill() (count float64) {
	for _, engine := range f.engines {
		if f.capacityShare(engine, planapi.Prefill) > 0 {
			count++
		}
	}
	return count
}

// processBacklog simulates the work of the engines of a role in one time step.
func (f *fleet) processBacklog(role string) {
	prefill, capacity := role == planapi.Prefill, f.capacity(role)
	throughput, backlog := decodeThroughput, &f.decodeBacklog
	if prefill {
		throughput, backlog = prefillThroughput, &f.prefillBacklog
	}
	done := min(*backlog, capacity*throughput*timeStep.Seconds())
	*backlog -= done
	if prefill {
		f.decodeBacklog += done * f.decodePerPrefillToken
	}
	for _, engine := range f.engines {
		share := f.capacityShare(engine, role)
		if share <= 0 {
			continue
		}
		processed := done * share / capacity
		if prefill {
			engine.prefillTokens += processed
		} else {
			engine.decodeTokens += processed
		}
		engine.busySeconds += processed / (throughput * share)
	}
}

// finishLoading puts engines that have finished loading into service in their new role.
func (f *fleet) finishLoading() {
	for _, engine := range f.engines {
		if engine.loading || engine.draining {
			f.lostEngineSeconds += timeStep.Seconds()
		}
		if !engine.loading || f.now < engine.phaseEndsAt {
			continue
		}
		engine.loading, engine.role, engine.servingSince = false, engine.reportedRole, f.now
		f.changes++
		if f.strategy == Threshold {
			f.publish(engine)
		}
	}
}

// beginDrain stops new requests to an engine. Its requests in flight end after a random time.
func (f *fleet) beginDrain(engine *engineModel) {
	engine.draining = true
	engine.phaseEndsAt = f.now + time.Duration(f.rng.Float64()*float64(f.scenario.DrainTime))
}

func (f *fleet) beginLoading(engine *engineModel, role string) {
	engine.draining, engine.loading = false, true
	engine.reportedRole, engine.phaseEndsAt = role, f.now+f.scenario.ReloadTime
}
