package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/scenario"
)

// loadShiftOptions holds the flags of demo --tilt.
type loadShiftOptions struct {
	fixed, kill bool
	phase       time.Duration
	rate        float64
	seed        uint64
}

// phases returns three phases: long prompts, long responses, and long prompts again.
func (o loadShiftOptions) phases() []scenario.Phase {
	return []scenario.Phase{
		{Name: "long prompts", Duration: o.phase, RequestRate: o.rate, UserWords: 1500, MaxTokens: 24},
		{Name: "long responses", Duration: o.phase, RequestRate: o.rate, UserWords: 40, MaxTokens: 200},
		{Name: "long prompts again", Duration: o.phase, RequestRate: o.rate, UserWords: 1500, MaxTokens: 24},
	}
}

// runLoadShift runs a fleet and a planner under a load that shifts between prefill and decode, and checks the invariants.
func runLoadShift(c *cobra.Command, o loadShiftOptions, prefill, decode int) error {
	folder, err := os.MkdirTemp("", "sandcourse-tilt-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, stop := withStopSignals(context.Background())
	defer stop()
	out := c.OutOrStdout()
	plans := planPrinter{out: out, engines: prefill + decode, startedAt: time.Now()}
	shift := scenario.LoadShift{PrefillEngines: prefill, DecodeEngines: decode, Edges: 2,
		FixedRoles: o.fixed, KillPlanner: o.kill, Seed: o.seed, Phases: o.phases(), OnPlan: plans.print}
	result, err := shift.Run(ctx, folder, zap.NewNop(), out)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "role changes: %d; planner killed %d times; reservations still held: %d\n",
		result.RoleChanges, result.PlannerKills, result.HeldAtEnd)
	for _, violation := range result.Violations {
		fmt.Fprintln(out, "BROKEN", violation)
	}
	if len(result.Violations) > 0 {
		return exitFailed
	}
	fmt.Fprintln(out, "all five invariants hold (simulated: fake engines on loopback)")
	return nil
}

// planPrinter prints each plan that changes the numbers of engines by role and state.
type planPrinter struct {
	out         io.Writer
	engines     int
	startedAt   time.Time
	lastSummary string
}

func (p *planPrinter) print(plan planapi.Plan) {
	counts := map[string]int{} // number of engines, by kind and state
	for _, e := range plan.Engines {
		counts[e.Kind+" "+e.State]++
	}
	summary := fmt.Sprintf("%d prefill, %d decode, %d draining, %d changing role", counts["prefill ready"], counts["decode ready"],
		counts["prefill draining"]+counts["decode draining"], p.engines-len(plan.Engines))
	if summary == p.lastSummary {
		return
	}
	p.lastSummary = summary
	fmt.Fprintf(p.out, "  %5.1f s: plan %d of term %d: %s\n", time.Since(p.startedAt).Seconds(), plan.Number, plan.Term, summary)
}
