package scenario

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/planner/planapi"
	"sandcourse/settings"
)

// Prefill and decode rates of each engine in tokens per second, and the duration of the edges' slow start, in a load shift.
const (
	shiftPrefillRate = 20_000
	shiftDecodeRate  = 1_600
	shiftSlowStart   = 2 * time.Second
)

// Phase is a part of a load shift with a constant mix of prefill and decode work.
type Phase struct {
	Name                 string
	Duration             time.Duration
	RequestRate          float64 // requests per second
	UserWords, MaxTokens int     // words per user message, and token limit of a response
}

// LoadShift is a scenario whose load shifts between prefill and decode, with a planner that reassigns roles.
type LoadShift struct {
	PrefillEngines, DecodeEngines, Edges int
	Phases                               []Phase
	FixedRoles                           bool // the planner explains its decisions but changes no role
	KillPlanner                          bool // the planner is killed and restarted repeatedly
	Seed                                 uint64
	Faults                               func(ctx context.Context, f *Fleet) // run concurrently with the phases; may be nil
	OnPlan                               func(planapi.Plan)
}

// LoadShiftResult is the result of a load shift, by phase.
type LoadShiftResult struct {
	Phases        []loadgen.Summary
	SecondHalves  []loadgen.Summary // second half of each phase, after the planner had time to change roles
	RecoveryTimes []time.Duration   // recovery time of each phase, see recoveryTime
	Violations    []audit.Violation
	HeldAtEnd     int
	RoleChanges   int
	PlannerKills  int
}

func engineName(i int) string { return fmt.Sprint("e", i) }

// loadShiftEngineConfig returns the configuration of the i-th fake engine.
func loadShiftEngineConfig(i, prefillCount int, rules config.Rules) engine.Config {
	c := engine.Config{Name: engineName(i), Role: string(config.RolePrefill), Seed: engineSeed, Slots: 2, OtherRoleSlots: 16, QueueLimit: 64,
		PrefillRate: shiftPrefillRate, AttemptRate: 30, TokenTime: 10 * time.Millisecond, MemoryTokens: 400_000,
		WarmUp: rules.SlowStart, WarmUpShare: rules.SlowStartShare, OverloadFactor: rules.OverloadMultiple,
		OverloadWindow: rules.OverloadWindow, RoleChangeTime: 300 * time.Millisecond}
	if i >= prefillCount {
		c.Role, c.Slots, c.OtherRoleSlots = string(config.RoleDecode), 16, 2
	}
	return c
}

// PlannerConfig returns the configuration of the planner.
func (l LoadShift) PlannerConfig(fleet *Fleet, dir string) *config.Planner {
	p := config.DefaultPlanner()
	p.Listen, p.Store, p.EndpointFile = "127.0.0.1:0", filepath.Join(dir, "planner.db"), fleet.EndpointFile
	p.Kinds = []config.EngineKind{{Name: "prefill", Role: config.RolePrefill}, {Name: "decode", Role: config.RoleDecode}}
	p.RolePairs = []config.RolePair{{PrefillKind: "prefill", DecodeKind: "decode"}}
	a := &p.Assignment
	a.DrainTimeout, a.OrderTimeout, a.LoadTimeout = 4*time.Second, time.Second, 5*time.Second
	a.TrialTimeout, a.WarmUp, a.Cooldown = 2*time.Second, 2*time.Second, 4*time.Second
	a.MaxChangingShare, a.MaxSharePerMinute, a.MinServing, a.ExplainOnly = 0.25, 1, 1, l.FixedRoles
	a.PrefillThroughput, a.DecodeThroughput = shiftPrefillRate, shiftDecodeRate
	return p
}

// Run runs the load shift with its files in dir, and prints its phases to out.
func (l LoadShift) Run(ctx context.Context, dir string, log *zap.Logger, out io.Writer) (LoadShiftResult, error) {
	d, err := config.Read("demo.star", []byte(settings.Demo))
	if err != nil {
		return LoadShiftResult{}, err
	}
	d.Rules.SlowStart = shiftSlowStart
	r := &shiftRun{LoadShift: l, out: out, records: &audit.Log{}, deployment: *d}
	var configs []engine.Config
	for i := range l.PrefillEngines + l.DecodeEngines {
		configs = append(configs, loadShiftEngineConfig(i, l.PrefillEngines, d.Rules))
	}
	if r.fleet, err = StartFleet(dir, configs, r.records); err != nil {
		return r.result, err
	}
	defer r.fleet.Stop()
	r.planner = &plannerProcess{config: l.PlannerConfig(r.fleet, dir), log: log, out: out, onPublish: r.recordPlan}
	if err := r.planner.start(); err != nil {
		return r.result, err
	}
	defer r.planner.stop()
	fmt.Fprintf(out, "planner at %s; inspect it with: sandcourse roles --planner %s show (or explain)\n",
		r.planner.addr(), r.planner.addr())
	r.deployment.EndpointFile, r.deployment.Engines, r.deployment.PlannerAddress = "", nil, r.planner.addr()
	if r.edges, err = StartEdges(l.Edges, r.deployment, log, r.records, l.Seed); err != nil {
		return r.result, err
	}
	defer r.edges.Stop()
	if err := r.edges.awaitReady(ctx); err != nil {
		return r.result, err
	}
	r.runPhases(ctx)
	r.result.HeldAtEnd = awaitReleased(context.Background(), r.fleet, r.edges)
	for _, e := range r.fleet.Engines {
		r.result.RoleChanges += int(e.Epoch()) - 1
	}
	r.result.Violations = r.records.Check(AuditRules(&r.deployment), time.Now())
	return r.result, nil
}

// shiftRun is one run of a load shift.
type shiftRun struct {
	LoadShift
	out        io.Writer
	records    *audit.Log
	deployment config.Deployment
	fleet      *Fleet
	planner    *plannerProcess
	edges      *Edges
	result     LoadShiftResult
}

// recordPlan records which engines a published plan lists as ready.
func (r *shiftRun) recordPlan(p planapi.Plan) {
	at := time.Now()
	ready := map[string]bool{}
	for _, e := range p.Engines {
		ready[e.Engine] = e.State == endpoint.Ready
	}
	for _, e := range r.fleet.Engines {
		r.records.RecordReadiness(audit.ReadinessChange{At: at, Engine: e.Addr(), Ready: ready[e.Addr()]})
	}
	if r.OnPlan != nil {
		r.OnPlan(p)
	}
}

// runPhases runs all phases, and injects faults and planner kills in the background.
func (r *shiftRun) runPhases(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	if r.KillPlanner {
		background.Go(func() { r.result.PlannerKills = r.planner.killRepeatedly(ctx) })
	}
	if r.Faults != nil {
		background.Go(func() { r.Faults(ctx, r.fleet) })
	}
	for i, phase := range r.Phases {
		r.runPhase(ctx, i, phase)
	}
	cancel()
	background.Wait()
}

func (r *shiftRun) runPhase(ctx context.Context, i int, p Phase) {
	fmt.Fprintf(r.out, "%s: %.0f requests per second for %v, user messages of %d words, responses of up to %d tokens\n",
		p.Name, p.RequestRate, p.Duration, p.UserWords, p.MaxTokens)
	routes := r.routes(p)
	startedAt := time.Now()
	loadgen.Traffic{Edges: r.edges.Addrs, Routes: routes, Rate: p.RequestRate, Duration: p.Duration, Seed: r.Seed*100 + uint64(i),
		Prefixes: 6, PrefixWords: 100, UserWords: p.UserWords, Turns: 2, Retries: 1, Log: r.records}.Run(ctx)
	var all, secondHalf []audit.ClientRecord
	for _, c := range r.records.ClientRecords() {
		if c.Sent.After(startedAt) {
			all = append(all, c)
		}
		if c.Sent.After(startedAt.Add(p.Duration / 2)) {
			secondHalf = append(secondHalf, c)
		}
	}
	summary, secondHalfSummary := loadgen.Summarize(all, routes), loadgen.Summarize(secondHalf, routes)
	recovery := recoveryTime(all, routes, startedAt, p.Duration)
	r.result.Phases, r.result.SecondHalves = append(r.result.Phases, summary), append(r.result.SecondHalves, secondHalfSummary)
	r.result.RecoveryTimes = append(r.result.RecoveryTimes, recovery)
	prefill, decode := r.countRoles()
	fmt.Fprintf(r.out, "  share of value completed in time %.3f, in the second half %.3f; recovery time of the highest-priority route %v (-1ns: never); "+
		"now %d prefill and %d decode engines\n",
		summary.InTime/max(summary.Offered, 1), secondHalfSummary.InTime/max(secondHalfSummary.Offered, 1), recovery, prefill, decode)
}

// routes returns the model routes of a phase, with equal shares of the traffic.
func (r *shiftRun) routes(p Phase) (routes []loadgen.Route) {
	for _, configured := range r.deployment.Routes {
		route := clientRoute(configured)
		route.Share, route.MaxTokens = 1, p.MaxTokens
		routes = append(routes, route)
	}
	return routes
}

func (r *shiftRun) countRoles() (prefill, decode int) {
	for _, e := range r.fleet.Engines {
		if config.Role(e.Role()) == config.RolePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode
}

// recoveryWindow is the length of the windows that recoveryTime checks.
const recoveryWindow = 4 * time.Second

// neverRecovered is the recovery time of a phase in which the route did not recover.
const neverRecovered = time.Duration(-1)

// recoveryTime returns the time from the start of a phase to the first two successive windows in each of which nine tenths of
// the requests of the highest-priority route complete with their first token in time. Without such windows it returns
// neverRecovered.
func recoveryTime(records []audit.ClientRecord, routes []loadgen.Route, startedAt time.Time, length time.Duration) time.Duration {
	highest := routes[0]
	for _, r := range routes {
		if r.PriorityWeight > highest.PriorityWeight {
			highest = r
		}
	}
	recovered := func(from time.Duration) bool {
		total, inTime := 0, 0
		for _, c := range records {
			if at := c.Sent.Sub(startedAt); c.Route != highest.Name || at < from || at >= from+recoveryWindow {
				continue
			}
			total++
			if c.Outcome == audit.OutcomeCompleted && c.FirstToken > 0 && c.FirstToken <= highest.FirstTokenTarget {
				inTime++
			}
		}
		return total > 0 && 10*inTime >= 9*total
	}
	for from := time.Duration(0); from+2*recoveryWindow <= length; from += time.Second {
		if recovered(from) && recovered(from+recoveryWindow) {
			return from
		}
	}
	return neverRecovered
}
