package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/audit"
	"sandcourse/internal/loadgen"
)

// maxResponseTokens bounds the responses that load asks for.
const maxResponseTokens = 64

func loadCommand() *cobra.Command {
	var traffic loadgen.Traffic
	var edges []string
	route := loadgen.Route{Share: 1, PriorityWeight: 1, MaxTokens: maxResponseTokens}
	command := &cobra.Command{
		Use:   "load",
		Short: "Send requests to edges and report the outcomes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := untilStopped(context.Background())
			defer stop()
			traffic.Log = &audit.Log{}
			traffic.Edges = func() []string { return edges }
			traffic.Routes = []loadgen.Route{route}
			traffic.Run(ctx)
			loadgen.Summarize(traffic.Log.ClientRecords(), traffic.Routes).Print(c.OutOrStdout())
			return nil
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&edges, "edge", []string{"127.0.0.1:8080"}, "edges to send to")
	flags.StringVar(&route.Name, "model", "clip-summary", "model route")
	flags.Float64Var(&traffic.Rate, "rate", 20, "requests a second, not counting retries")
	flags.DurationVar(&traffic.Duration, "for", 10*time.Second, "how long")
	flags.Uint64Var(&traffic.Seed, "seed", 1, "seed of arrivals and texts")
	flags.IntVar(&traffic.Prefixes, "beginnings", 6, "shared prefixes")
	flags.IntVar(&traffic.PrefixWords, "words", 200, "words of a shared prefix")
	flags.IntVar(&traffic.Turns, "turns", 3, "turns of a session")
	flags.IntVar(&traffic.Retries, "retries", 1, "retries of a client")
	flags.BoolVar(&route.Retriable, "retriable", true, "whether clients retry what failed")
	flags.DurationVar(&route.FirstTokenTarget, "target", time.Second, "latency objective of the first token")
	flags.DurationVar(&route.Timeout, "give-up", 4*time.Second, "a client's deadline")
	return command
}
