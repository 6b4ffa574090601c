package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/scenario"
	"sandcourse/settings"
)

func demoCommand() *cobra.Command {
	var addr string
	var prefill, decode int
	var tilt tiltOptions
	c := &cobra.Command{Use: "demo", Short: "Run an edge and stand-in engines in one process", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if tilt.on {
				return runTilt(c, tilt, prefill+1, decode+1)
			}
			dir, err := os.MkdirTemp("", "sandcourse-demo-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			log := &audit.Log{}
			fleet, err := scenario.StartFleet(dir, fakeEngines(prefill, decode), log)
			if err != nil {
				return err
			}
			defer fleet.Stop()
			d, err := config.Read("demo.star", []byte(settings.Demo))
			if err != nil {
				return err
			}
			d.ChatAddress, d.EndpointFile = addr, fleet.Path
			logger, err := zap.NewDevelopment()
			if err != nil {
				return err
			}
			n := edge.New(d, logger, nil, uint64(time.Now().UnixNano()))
			if err := n.Start(); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), `
%d readers and %d writers (stand-ins: the answers are made up) behind one edge. Try:

  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"fan-alert","stream":true,"messages":[{"role":"user","content":"Who scored?"}]}'

Ctrl-C stops it. The roster is %s
`, prefill, decode, n.Addr(), fleet.Path)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			<-ctx.Done()
			stop()
			return n.Drain(context.Background())
		}}
	c.Flags().StringVar(&addr, "chat", "127.0.0.1:8080", "address to take chat calls on")
	c.Flags().IntVar(&prefill, "readers", 3, "stand-in readers")
	c.Flags().IntVar(&decode, "writers", 3, "stand-in writers")
	c.Flags().BoolVar(&tilt.on, "tilt", false, "load that tilts between reading and writing, and a planner that follows (a minute)")
	c.Flags().BoolVar(&tilt.fixed, "fixed", false, "with --tilt: roles stay as they are")
	c.Flags().BoolVar(&tilt.kill, "kill", false, "with --tilt: the planner is killed every ten seconds or so")
	c.Flags().DurationVar(&tilt.phase, "phase", 20*time.Second, "with --tilt: the length of each of its three phases")
	c.Flags().Float64Var(&tilt.rate, "rate", 24, "with --tilt: inferences a second")
	c.Flags().Uint64Var(&tilt.seed, "seed", 1, "with --tilt: seed of the traffic")
	return c
}

func fakeEngines(prefill, decode int) (row []engine.Config) {
	for i := range prefill {
		row = append(row, engine.Config{Name: fmt.Sprint("reader", i), Role: "read", Seed: uint64(i)})
	}
	for i := range decode {
		row = append(row, engine.Config{Name: fmt.Sprint("writer", i), Role: "write", Seed: 7})
	}
	return row
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a settings script whole", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := config.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d model routes, %d kinds, %d engines listed, roster %q: no fault\n",
				args[0], len(d.Routes), len(d.Kinds), len(d.Engines), d.EndpointFile)
			return nil
		}}
}

func fakeEngineCommand() *cobra.Command {
	var m engine.Config
	c := &cobra.Command{Use: "standin", Short: "Run one stand-in engine", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if m.Role != "read" && m.Role != "write" {
				return fmt.Errorf("--role must be read or write, not %q", m.Role)
			}
			e, err := engine.Start(m, nil, &engine.IdempotencyKeys{})
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "stand-in", m.Role, "at", e.Addr())
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			<-ctx.Done()
			e.Stop()
			return nil
		}}
	c.Flags().StringVar(&m.Addr, "at", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&m.Role, "role", "read", "read or write")
	c.Flags().Uint64Var(&m.Seed, "seed", 1, "seed of its answers")
	return c
}

func loadCommand() *cobra.Command {
	var t loadgen.Traffic
	var edges []string
	var model string
	var target, giveUp time.Duration
	var retriable bool
	c := &cobra.Command{Use: "load", Short: "Send calls to edges and tell how they fared", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			t.Log = &audit.Log{}
			t.Edges = func() []string { return edges }
			t.Routes = []loadgen.Route{{Name: model, Share: 1, PriorityWeight: 1, Retriable: retriable, FirstTokenTarget: target,
				Timeout: giveUp, MaxTokens: 64}}
			t.Run(ctx)
			loadgen.Summarize(t.Log.ClientRecords(), t.Routes).Print(c.OutOrStdout())
			return nil
		}}
	f := c.Flags()
	f.StringSliceVar(&edges, "edge", []string{"127.0.0.1:8080"}, "edges to send to")
	f.StringVar(&model, "model", "clip-summary", "model route")
	f.Float64Var(&t.Rate, "rate", 20, "first tries a second")
	f.DurationVar(&t.Length, "for", 10*time.Second, "how long")
	f.Uint64Var(&t.Seed, "seed", 1, "seed of arrivals and texts")
	f.IntVar(&t.Prefixes, "beginnings", 6, "shared beginnings")
	f.IntVar(&t.PrefixWords, "words", 200, "words of a shared beginning")
	f.IntVar(&t.Turns, "turns", 3, "turns of a session")
	f.IntVar(&t.Retries, "retries", 1, "retries of a client")
	f.BoolVar(&retriable, "retriable", true, "whether clients repeat what was errored")
	f.DurationVar(&target, "target", time.Second, "first-token target")
	f.DurationVar(&giveUp, "give-up", 4*time.Second, "a client's patience")
	return c
}
