package scenario

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/loadgen"
)

// Result is the result of a scenario.
type Result struct {
	Summary       loadgen.Summary
	Violations    []audit.Violation
	Traces        map[string][]string // traces of the requests with violations, by request ID
	Restarts      int                 // number of restarts of engines
	HeldAtEnd     int                 // number of reservations that were not released
	EngineRecords int
}

// Run runs the scenario with its files in dir, and prints its steps to out.
func (s *Scenario) Run(ctx context.Context, dir string, log *zap.Logger, out io.Writer) (Result, error) {
	records := &audit.Log{}
	fleet, err := StartFleet(dir, s.engineConfigs(), records)
	if err != nil {
		return Result{}, err
	}
	defer fleet.Stop()
	base := *s.Deployment
	base.EndpointFile = fleet.EndpointFile
	edges, err := StartEdges(s.Edges, base, log, records, uint64(s.Seed))
	if err != nil {
		return Result{}, err
	}
	defer edges.Stop()
	if err := edges.awaitReady(ctx); err != nil {
		return Result{}, err
	}
	runner := newFaultRunner(fleet, edges, out)
	steps := FaultSteps(s.Faults, len(fleet.Engines), s.PrefillEngines, s.Edges, uint64(s.Seed))
	var faults sync.WaitGroup
	faults.Go(func() { runner.run(ctx, steps) })
	s.traffic(edges, records).Run(ctx)
	faults.Wait()
	runner.background.Wait()
	result := Result{Restarts: runner.restarts, HeldAtEnd: awaitReleased(ctx, fleet, edges), Traces: map[string][]string{}}
	result.Violations = records.Check(AuditRules(s.Deployment), time.Now())
	for _, v := range result.Violations {
		result.Traces[v.RequestID] = records.Trace(v.RequestID)
	}
	result.EngineRecords = len(records.EngineRecords())
	result.Summary = loadgen.Summarize(records.ClientRecords(), s.routes())
	return result, ctx.Err()
}

func (s *Scenario) traffic(edges *Edges, records *audit.Log) loadgen.Traffic {
	return loadgen.Traffic{Edges: edges.Addrs, Routes: s.routes(), Rate: s.RequestRate, RateFactor: rateFactor(s.Faults),
		HotPrefixShare: hotPrefixShare(s.Faults), Duration: s.Duration, Seed: uint64(s.Seed), Prefixes: s.Prefixes, PrefixWords: s.PrefixWords,
		Turns: s.Turns, Retries: s.Retries, DisconnectShare: s.DisconnectShare, Log: records}
}

// Print writes the result as text.
func (r Result) Print(w io.Writer) {
	r.Summary.Print(w)
	fmt.Fprintf(w, "engine restarts: %d; reservations still held: %d; engine records: %d\n", r.Restarts, r.HeldAtEnd, r.EngineRecords)
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "all five invariants hold (simulated: fake engines on loopback)")
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "BROKEN", v)
		for _, line := range r.Traces[v.RequestID] {
			fmt.Fprintln(w, "  ", line)
		}
	}
}
