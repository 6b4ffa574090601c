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
	"sandcourse/internal/planner"
	"sandcourse/internal/planner/planapi"
	"sandcourse/settings"
)

// Phase is a time with one mix of work.
type Phase struct {
	Name                 string
	Duration             time.Duration
	RequestRate          float64 // inferences a second
	UserWords, MaxTokens int     // words of a prompt that nobody shares, and the most tokens of an answer
}

// LoadShift is a day whose load tilts between reading and writing, with a planner that follows it.
type LoadShift struct {
	PrefillEngines, DecodeEngines, Edges int
	Phases                               []Phase
	FixedRoles                           bool // roles stay as they are: the planner only explains
	KillPlanner                          bool // the planner is killed now and then
	Seed                                 uint64
	Faults                               func(ctx context.Context, f *Fleet) // beside the tilt; may be nil
	OnPlan                               func(planapi.Plan)
}

// LoadShiftResult is how it went, by phase.
type LoadShiftResult struct {
	Phases        []loadgen.Summary
	SecondHalves  []loadgen.Summary // of each phase's second half: after the planner had time to follow
	RecoveryTimes []time.Duration   // of each phase: until the dearest route is served again; -1 for not within it
	Violations    []audit.Violation
	HeldAtEnd     int
	RoleChanges   int
	PlannerKills  int
}

// loadShiftEngine is one stand-in engine: 20,000 prompt tokens a second when it reads, 1,600 tokens when it writes.
func loadShiftEngine(i, readers int, r config.Rules) engine.Config {
	m := engine.Config{Name: fmt.Sprint("e", i), Role: "read", Seed: 7, Slots: 2, OtherRoleSlots: 16, QueueLimit: 64,
		PrefillRate: 20_000, AttemptRate: 30,
		TokenTime: 10 * time.Millisecond, MemoryTokens: 400_000, WarmUp: r.SlowStart, WarmUpShare: r.SlowStartShare,
		OverloadFactor: r.OverloadMultiple,
		OverloadWindow: r.OverloadWindow, Reload: 300 * time.Millisecond}
	if i >= readers {
		m.Role, m.Slots, m.OtherRoleSlots = "write", 16, 2
	}
	return m
}

// Planning is the planner's part of a tilted day.
func (t LoadShift) Planning(fleet *Fleet, dir string) *config.Planner {
	p := config.DefaultPlanner()
	p.Listen, p.Store, p.EndpointFile = "127.0.0.1:0", filepath.Join(dir, "planner.db"), fleet.Path
	p.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	p.RolePairs = []config.RolePair{{PrefillKind: "prefill", DecodeKind: "decode"}}
	b := &p.Assignment
	b.DrainTimeout, b.OrderTimeout, b.LoadTimeout, b.TrialTimeout, b.WarmUp, b.Cooldown = 4*time.Second, time.Second, 5*time.Second,
		2*time.Second, 2*time.Second, 4*time.Second
	b.MaxChangingShare, b.MaxSharePerMinute, b.MinServing, b.ExplainOnly = 0.25, 1, 1, t.FixedRoles
	b.PrefillThroughput, b.DecodeThroughput = 20_000, 1_600
	return p
}

// recoveryTime is how long after the beginning of a phase nine tenths of the dearest route's calls come in time
// again, for two windows of four seconds in a row.
func recoveryTime(calls []audit.ClientRecord, routes []loadgen.Route, begun time.Time, length time.Duration) time.Duration {
	dear := routes[0]
	for _, r := range routes {
		if r.PriorityWeight > dear.PriorityWeight {
			dear = r
		}
	}
	const window = 4 * time.Second
	good := func(from time.Duration) bool {
		all, in := 0, 0
		for _, c := range calls {
			if at := c.Sent.Sub(begun); c.Route == dear.Name && at >= from && at < from+window {
				all++
				if c.Outcome == audit.OutcomeCompleted && c.FirstToken > 0 && c.FirstToken <= dear.FirstTokenTarget {
					in++
				}
			}
		}
		return all > 0 && 10*in >= 9*all
	}
	for from := time.Duration(0); from+2*window <= length; from += time.Second {
		if good(from) && good(from+window) {
			return from
		}
	}
	return -1
}

// Run plays it in a folder of its own.
func (t LoadShift) Run(ctx context.Context, dir string, log *zap.Logger, say io.Writer) (res LoadShiftResult, err error) {
	seen := &audit.Log{}
	d, err := config.Read("demo.star", []byte(settings.Demo))
	if err != nil {
		return res, err
	}
	d.Rules.SlowStart = 2 * time.Second
	var makes []engine.Config
	for i := range t.PrefillEngines + t.DecodeEngines {
		makes = append(makes, loadShiftEngine(i, t.PrefillEngines, d.Rules))
	}
	fleet, err := StartFleet(dir, makes, seen)
	if err != nil {
		return res, err
	}
	defer fleet.Stop()
	var mu sync.Mutex
	published := func(p planapi.Plan) {
		at := time.Now()
		ready := map[string]bool{}
		for _, e := range p.Engines {
			ready[e.Engine] = e.State == endpoint.Ready
		}
		for _, e := range fleet.Engines {
			seen.RecordReadiness(audit.ReadinessChange{At: at, Engine: e.Addr(), Ready: ready[e.Addr()]})
		}
		if t.OnPlan != nil {
			t.OnPlan(p)
		}
	}
	planning := t.Planning(fleet, dir)
	start := func() (*planner.Planner, error) {
		p := planner.New(planning, log)
		p.OnPublish = published
		return p, p.Start()
	}
	planner, err := start()
	if err != nil {
		return res, err
	}
	planning.Listen = planner.Addr() // the same over restarts
	fmt.Fprintf(say, "the planner is at %s: look with sandcourse roles --planner %s show, and explain\n",
		planner.Addr(), planner.Addr())
	defer func() { mu.Lock(); planner.Stop(); mu.Unlock() }()
	base := *d
	base.EndpointFile, base.Engines, base.PlannerAddress = "", nil, planner.Addr()
	edges, err := StartEdges(t.Edges, base, log, seen, t.Seed)
	if err != nil {
		return res, err
	}
	defer edges.Stop()
	if err := awaitIdle(ctx, edges); err != nil {
		return res, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all sync.WaitGroup
	if t.KillPlanner {
		all.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-time.After(9*time.Second + time.Duration(n%3)*700*time.Millisecond):
				}
				mu.Lock()
				planner.Stop()
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
				for try := 0; ; try++ {
					p, err := start()
					if err == nil {
						mu.Lock()
						planner = p
						mu.Unlock()
						break
					}
					if try == 50 {
						fmt.Fprintln(say, "the planner does not start again:", err)
						return
					}
					time.Sleep(20 * time.Millisecond)
				}
				res.PlannerKills++
			}
		})
	}
	if t.Faults != nil {
		all.Go(func() { t.Faults(ctx, fleet) })
	}
	routes := []loadgen.Route{}
	for _, r := range d.Routes {
		routes = append(routes, loadgen.Route{Name: r.Name, Share: 1, PriorityWeight: r.PriorityWeight,
			Retriable: r.Effect == "retriable", FirstTokenTarget: r.FirstTokenObjective,
			Timeout: r.Timeout})
	}
	for i, ph := range t.Phases {
		fmt.Fprintf(say, "%s: %.0f inferences a second for %v, prompts of %d own words, answers of up to %d tokens\n", ph.Name, ph.RequestRate,
			ph.Duration, ph.UserWords, ph.MaxTokens)
		mine := []loadgen.Route{}
		for _, r := range routes {
			r.MaxTokens = ph.MaxTokens
			mine = append(mine, r)
		}
		begun := time.Now()
		loadgen.Traffic{Edges: edges.Addrs, Routes: mine, Rate: ph.RequestRate, Duration: ph.Duration, Seed: t.Seed*100 +
			uint64(i), Prefixes: 6, PrefixWords: 100,
			UserWords: ph.UserWords, Turns: 2, Retries: 1, Log: seen}.Run(ctx)
		var calls, second []audit.ClientRecord
		for _, c := range seen.ClientRecords() {
			if c.Sent.After(begun) {
				calls = append(calls, c)
				if c.Sent.After(begun.Add(ph.Duration / 2)) {
					second = append(second, c)
				}
			}
		}
		res.Phases, res.SecondHalves = append(res.Phases, loadgen.Summarize(calls, mine)), append(res.SecondHalves,
			loadgen.Summarize(second, mine))
		res.RecoveryTimes = append(res.RecoveryTimes, recoveryTime(calls, mine, begun, ph.Duration))
		readers, writers := 0, 0
		for _, e := range fleet.Engines {
			if e.Role() == "read" {
				readers++
			} else {
				writers++
			}
		}
		s, h := res.Phases[i], res.SecondHalves[i]
		fmt.Fprintf(say, "  value in time %.3f, in the second half %.3f; nine tenths of the dearest route in time after %v; now %d read and %d write\n",
			s.InTime/max(s.Offered, 1), h.InTime/max(h.Offered, 1), res.RecoveryTimes[i], readers, writers)
	}
	cancel()
	all.Wait()
	for range 60 {
		res.HeldAtEnd = 0
		for _, e := range fleet.Engines {
			res.HeldAtEnd += e.HeldReservations()
		}
		if h := edges.Holding(context.Background()); res.HeldAtEnd == 0 && h.Requests == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, e := range fleet.Engines {
		res.RoleChanges += int(e.Epoch()) - 1
	}
	rules := AuditRules(&base)
	res.Violations = seen.Check(rules, time.Now())
	return res, nil
}
