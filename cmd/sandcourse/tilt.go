package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/scenario"
)

type tiltOptions struct {
	on, fixed, kill bool
	phase           time.Duration
	rate            float64
	seed            uint64
}

// runTilt plays a day that tilts: long prompts, then long answers, then long prompts.
func runTilt(c *cobra.Command, o tiltOptions, prefill, decode int) error {
	dir, err := os.MkdirTemp("", "sandcourse-tilt-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	was, begun := "", time.Now()
	t := scenario.LoadShift{PrefillEngines: prefill, DecodeEngines: decode, Edges: 2, FixedRoles: o.fixed, KillPlanner: o.kill,
		Seed: o.seed, Phases: []scenario.Phase{
			{Name: "long prompts", Duration: o.phase, RequestRate: o.rate, UserWords: 1500, MaxTokens: 24},
			{Name: "long answers", Duration: o.phase, RequestRate: o.rate, UserWords: 40, MaxTokens: 200},
			{Name: "long prompts again", Duration: o.phase, RequestRate: o.rate, UserWords: 1500, MaxTokens: 24}},
		OnPlan: func(p planapi.Plan) {
			count := map[string]int{}
			for _, e := range p.Engines {
				count[e.Kind+" "+e.State]++
			}
			now := fmt.Sprintf("%d read, %d write, %d drain, %d change", count["prefill ready"],
				count["decode ready"],
				count["prefill draining"]+count["decode draining"], prefill+decode-len(p.Engines))
			if now != was {
				was = now
				fmt.Fprintf(c.OutOrStdout(), "  %5.1f s plan %d of term %d: %s\n",
					time.Since(begun).Seconds(), p.Number, p.Term, now)
			}
		}}
	res, err := t.Run(ctx, dir, zap.NewNop(), c.OutOrStdout())
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "role changes: %d; planner killed %d times; states left held: %d\n",
		res.RoleChanges, res.PlannerKills, res.HeldAtEnd)
	if len(res.Violations) > 0 {
		for _, b := range res.Violations {
			fmt.Fprintln(c.OutOrStdout(), "BROKEN", b)
		}
		return exitStatus(1)
	}
	fmt.Fprintln(c.OutOrStdout(),
		strings.TrimSpace("all five rules kept (simulated: stand-in engines on loopback)"))
	return nil
}
