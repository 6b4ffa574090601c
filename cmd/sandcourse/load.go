package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/audit"
	"sandcourse/internal/loadgen"
)

// maxResponseTokens is the max_tokens of the requests that the load command sends.
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
			ctx, stop := withStopSignals(context.Background())
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
	flags.StringSliceVar(&edges, "edge", []string{"127.0.0.1:8080"}, "addresses of the edges to send requests to")
	flags.StringVar(&route.Name, "model", "clip-summary", "model route to request")
	flags.Float64Var(&traffic.Rate, "rate", 20, "requests per second, not counting retries")
	flags.DurationVar(&traffic.Duration, "for", 10*time.Second, "how long to send requests")
	flags.Uint64Var(&traffic.Seed, "seed", 1, "random seed of arrival times and prompts")
	flags.IntVar(&traffic.Prefixes, "beginnings", 6, "number of shared prompt prefixes")
	flags.IntVar(&traffic.PrefixWords, "words", 200, "words per shared prefix")
	flags.IntVar(&traffic.Turns, "turns", 3, "turns per session")
	flags.IntVar(&traffic.Retries, "retries", 1, "maximum retries per request")
	flags.BoolVar(&route.Retriable, "retriable", true, "whether clients retry all failed requests, not only shed ones")
	flags.DurationVar(&route.FirstTokenTarget, "target", time.Second, "objective for the time to the first token")
	flags.DurationVar(&route.Timeout, "give-up", 4*time.Second, "time limit for the first token, sent to the edge with each request")
	return command
}
