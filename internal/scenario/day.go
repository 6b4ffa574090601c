package scenario

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
)

// Scenario is a scripted day.
type Scenario struct {
	Duration                                            time.Duration
	RequestRate, DisconnectShare                        float64
	Seed, Retries, Turns                                int
	Prefixes, PrefixWords                               int
	Edges, PrefillEngines, DecodeEngines                int
	PrefillSlots, QueueLimit, MemoryTokens, DecodeSlots int
	PrefillRate, AttemptRate                            float64
	TokenTime                                           time.Duration
	Clients                                             []TrafficShare
	Faults                                              []Fault
	Deployment                                          *config.Deployment
}

// TrafficShare is how much of the traffic goes to a model route.
type TrafficShare struct {
	Route     string
	Share     float64
	MaxTokens int
}

// Parse checks a day's script whole. The error, if any, is of type script.Faults.
func Parse(name string, text []byte) (*Scenario, error) {
	d := &Scenario{Duration: 20 * time.Second, RequestRate: 30, Seed: 1, Retries: 2, Turns: 3, Prefixes: 6, PrefixWords: 200, Edges: 3,
		PrefillEngines: 4, DecodeEngines: 4, PrefillRate: 200_000, AttemptRate: 60, TokenTime: 5 * time.Millisecond,
		Deployment: config.Defaults()}
	d.Deployment.File, d.Deployment.EndpointFile, d.Deployment.ChatAddress = name, "roster.json", ""
	calls := d.Deployment.ScriptFunctions()
	for _, not := range []string{"listen", "node", "roster", "engine"} {
		delete(calls, not) // the day makes these itself
	}
	type say = script.ReportFault
	calls["day"] = func() ([]script.Argument, func(say)) {
		return []script.Argument{script.Number("length", &d.Duration, 0.5, 3600), script.Number("rate", &d.RequestRate, 0.1, 5000),
			script.Number("seed", &d.Seed, 0, 1<<31), script.Number("retries", &d.Retries, 0, 10),
			script.Number("turns", &d.Turns, 1, 100), script.Number("beginnings", &d.Prefixes, 1, 10_000),
			script.Number("words", &d.PrefixWords, 1, 20_000), script.Number("leave", &d.DisconnectShare, 0, 1)}, nil
	}
	calls["edges"] = func() ([]script.Argument, func(say)) {
		return []script.Argument{script.Number("count", &d.Edges, 1, 32)}, nil
	}
	calls["fleet"] = func() ([]script.Argument, func(say)) {
		return []script.Argument{script.Number("readers", &d.PrefillEngines, 1, 200), script.Number("writers", &d.DecodeEngines, 1, 200),
			script.Number("reader_slots", &d.PrefillSlots, 1, 1000), script.Number("queue", &d.QueueLimit, 1, 10_000),
			script.Number("writer_slots", &d.DecodeSlots, 1, 1000), script.Number("memory", &d.MemoryTokens, 1000, 1e9),
			script.Number("pace", &d.PrefillRate, 100, 1e8), script.Number("send_rate", &d.AttemptRate, 0.1, 1e5),
			script.Number("token_time", &d.TokenTime, 0.0001, 1)}, nil
	}
	calls["client"] = func() ([]script.Argument, func(say)) {
		c := TrafficShare{Share: 1, MaxTokens: 32}
		return []script.Argument{script.Text("route", &c.Route).Required(), script.Number("share", &c.Share, 0.0001, 1e6),
				script.Number("max_tokens", &c.MaxTokens, 1, 4096)},
			func(fault say) {
				if c.Route != "" && d.Deployment.Route(c.Route) < 0 {
					fault("route", "%q is no route named above", c.Route)
				}
				d.Clients = append(d.Clients, c)
			}
	}
	calls["trouble"] = func() ([]script.Argument, func(say)) {
		t := Fault{Duration: 3 * time.Second, Fraction: 0.25}
		return []script.Argument{script.OneOf("kind", &t.Kind, FaultKinds()...).Required(), script.Number("at", &t.At, 0, 3600),
				script.Number("length", &t.Duration, 0, 3600), script.Number("part", &t.Fraction, 0, 1), script.Number("size", &t.Size, 0, 1000),
				script.OneOf("role", &t.Role, "read", "write"), script.Number("on", &t.Selector, 0, 1e6)},
			func(fault say) {
				if len(d.Faults) >= 1000 {
					fault("", "more than 1000 troubles")
					return
				}
				d.Faults = append(d.Faults, t)
			}
	}
	err := script.Run(name, text, calls, func(fault script.ReportScriptFault) {
		d.Deployment.CheckScript(fault)
		if len(d.Clients) == 0 {
			fault("client: none is given; at least one is needed")
		}
		for i, t := range d.Faults {
			if t.At > d.Duration {
				fault("trouble: number %d, %s, begins %v into a day of %v", i+1, t.Kind, t.At, d.Duration)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// Result is how a day went.
type Result struct {
	Summary       loadgen.Summary
	Violations    []audit.Violation
	Traces        map[string][]string // of inferences that broke a rule
	Restarts      int
	HeldAtEnd     int // states still held when the day and its quiet end were over
	EngineRecords int // records of engines
}

// Run plays the day in a folder of its own below dir.
func (d *Scenario) Run(ctx context.Context, dir string, log *zap.Logger, say io.Writer) (Result, error) {
	var res Result
	seen := &audit.Log{}
	r := d.Deployment.Rules
	var makes []engine.Config
	for i := range d.PrefillEngines + d.DecodeEngines {
		m := engine.Config{Name: fmt.Sprint("e", i), Role: "read", Seed: 7, Slots: d.PrefillSlots, QueueLimit: d.QueueLimit, MemoryTokens: d.MemoryTokens,
			PrefillRate: d.PrefillRate, AttemptRate: d.AttemptRate, TokenTime: d.TokenTime, WarmUp: r.SlowStart, WarmUpShare: r.SlowStartShare,
			OverloadFactor: r.OverloadMultiple, OverloadWindow: r.OverloadWindow}
		if i >= d.PrefillEngines {
			m.Role, m.Slots = "write", d.DecodeSlots
		}
		makes = append(makes, m)
	}
	fleet, err := StartFleet(dir, makes, seen)
	if err != nil {
		return res, err
	}
	defer fleet.Stop()
	base := *d.Deployment
	base.EndpointFile = fleet.Path
	edges, err := StartEdges(d.Edges, base, log, seen, uint64(d.Seed))
	if err != nil {
		return res, err
	}
	defer edges.Stop()
	if err := awaitIdle(ctx, edges); err != nil {
		return res, err
	}
	run := &faultRunner{fleet: fleet, edges: edges, say: say, startedAt: time.Now()}
	steps := Plan(d.Faults, len(fleet.Engines), d.PrefillEngines, d.Edges, uint64(d.Seed))
	var all sync.WaitGroup
	all.Go(func() { run.play(ctx, steps) })
	routes := d.routes()
	loadgen.Traffic{Edges: edges.Addrs, Routes: routes, Rate: d.RequestRate, RateFactor: rateFactor(d.Faults), HotPrefixShare: hotPrefixShare(d.Faults),
		Duration: d.Duration, Seed: uint64(d.Seed), Prefixes: d.Prefixes, PrefixWords: d.PrefixWords, Turns: d.Turns,
		Retries: d.Retries, DisconnectShare: d.DisconnectShare, Log: seen}.Run(ctx)
	all.Wait()
	run.recoveries.Wait()
	// States must be let go of by themselves: nobody asks for anything any more.
	for range 60 {
		res.HeldAtEnd = 0
		for _, e := range fleet.Engines {
			res.HeldAtEnd += e.HeldReservations()
		}
		if h := edges.Holding(ctx); res.HeldAtEnd == 0 && h.Requests == 0 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	res.Restarts = run.restarts
	res.Violations = seen.Check(AuditRules(d.Deployment), time.Now())
	res.Traces = map[string][]string{}
	for _, b := range res.Violations {
		res.Traces[b.RequestID] = seen.Trace(b.RequestID)
	}
	res.EngineRecords = len(seen.EngineRecords())
	res.Summary = loadgen.Summarize(seen.ClientRecords(), routes)
	return res, ctx.Err()
}

// awaitIdle waits until every edge serves.
func awaitIdle(ctx context.Context, edges *Edges) error {
	for range 200 {
		if err := ctx.Err(); err != nil {
			return err
		}
		ready := true
		for _, addr := range edges.Addrs() {
			ready = ready && isReady(ctx, addr)
		}
		if ready {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the edges are not ready after 4 s")
}

func (d *Scenario) routes() (list []loadgen.Route) {
	for _, c := range d.Clients {
		t := d.Deployment.Routes[d.Deployment.Route(c.Route)]
		list = append(list, loadgen.Route{Name: t.Name, Share: c.Share, PriorityWeight: t.PriorityWeight, Retriable: t.Effect == "retriable",
			FirstTokenTarget: t.FirstTokenObjective, Timeout: t.Timeout, MaxTokens: c.MaxTokens})
	}
	return list
}

// Print tells how it went.
func (r Result) Print(w io.Writer) {
	r.Summary.Print(w)
	fmt.Fprintf(w, "engines restarted: %d; states left held: %d; records of engines: %d\n", r.Restarts, r.HeldAtEnd, r.EngineRecords)
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "all five rules kept (simulated: stand-in engines on loopback)")
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "BROKEN", b)
		for _, line := range r.Traces[b.RequestID] {
			fmt.Fprintln(w, "  ", line)
		}
	}
}

// Import turns a day of the bench into a script: its troubles, fleet and traffic, with its length scaled by
// shrink and its rate set so that each engine here is about as busy as there.
func Import(day []byte, shrink float64) (string, error) {
	in, err := readBench(day)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	scaled := func(us float64) string {
		return time.Duration(math.Max(0, us*shrink) * 1000).Round(time.Millisecond).String()
	}
	readers, writers := 0, 0
	for _, s := range in.Servers {
		if in.Fam.Roles[s.Kind] == "write" {
			writers++
		} else {
			readers++
		}
	}
	const sendRate, pace = 40.0, 100_000.0
	line("# A day of the bench, %s of %s, %.2f of its length. Rates are of the stand-ins, not of the bench.", in.Kind,
		in.Family, shrink)
	line("day(length = %q, rate = %.1f, seed = %d, retries = %d, beginnings = %d)", scaled(in.Length),
		max(1, in.Traffic.Load*sendRate*float64(min(readers, writers))*0.5), int(in.Noise)%1_000_000,
		in.Clients.Retries, max(1, in.Fam.Talks[0].Prefixes))
	line("edges(count = %d)", min(8, len(in.Balancers)))
	line("fleet(readers = %d, writers = %d, pace = %.0f, send_rate = %.0f)", readers, writers, pace, sendRate)
	line("kind(name = \"prefill\", role = \"read\", memory = 200000)\nkind(name = \"decode\", role = \"write\", memory = 150000)")
	line("rules(drain_grace = %q, pin = %q, cold = \"6s\", fall_window = %q)", us(in.DrainGrace), us(in.Fam.Release),
		us(in.FallFor))
	effects := map[string]string{"safe": "retriable", "keyed": "deduped", "unsafe": "non-retriable"}
	for _, c := range in.Classes {
		line("route(name = %q, effect = %q, value = %g, first_token_target = %q, route_timeout = %q)", c.Name,
			effects[c.Effect], max(0.001, c.Worth), us(c.Aim), us(c.Deadline))
	}
	for _, c := range in.Classes {
		line("client(route = %q, share = %.4f)", c.Name, max(0.0001, c.Share))
	}
	for _, t := range in.Troubles {
		kind, ok := benchFaultKinds[t.Kind]
		if !ok {
			return "", fmt.Errorf("trouble %q of the day is not known; known are %s", t.Kind,
				strings.Join(slices.Sorted(maps.Keys(benchFaultKinds)), ", "))
		}
		n := len(in.Servers)
		if strings.HasPrefix(t.Kind, "balancer") {
			n = len(in.Balancers)
		}
		part := min(1, max(float64(len(t.On))/float64(max(1, n)), 0))
		// Sizes in time are microseconds there and seconds here.
		size := t.Size
		if size > 1000 {
			size = size * shrink / 1e6
		}
		line("trouble(kind = %q, at = %q, length = %q, part = %.3f, size = %.3f)", kind, scaled(t.At),
			scaled(t.Len), part, min(1000, size))
	}
	text := b.String()
	if _, err := Parse("imported", []byte(text)); err != nil {
		return "", fmt.Errorf("the day cannot be played: %w", err)
	}
	return text, nil
}

func us(v float64) string { return time.Duration(v * 1000).String() }

// LoadFile reads a day's script from a file.
func LoadFile(path string) (*Scenario, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}
