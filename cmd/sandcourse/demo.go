package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/scenario"
	"sandcourse/settings"
)

// demoOptions holds the flags of demo.
type demoOptions struct {
	address         string
	prefill, decode int
	withLoadShift   bool
	loadShift       loadShiftOptions
}

func demoCommand() *cobra.Command {
	var o demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run an edge and fake engines in one process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.withLoadShift {
				return runLoadShift(c, o.loadShift, o.prefill+1, o.decode+1)
			}
			return runDemo(c, o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.address, "chat", "127.0.0.1:8080", "address that accepts chat requests")
	flags.IntVar(&o.prefill, "readers", 3, "number of fake prefill engines")
	flags.IntVar(&o.decode, "writers", 3, "number of fake decode engines")
	flags.BoolVar(&o.withLoadShift, "tilt", false,
		"run a load that shifts between prefill and decode, with a planner that reassigns roles; takes one minute by default")
	flags.BoolVar(&o.loadShift.fixed, "fixed", false, "with --tilt: the planner does not change roles")
	flags.BoolVar(&o.loadShift.kill, "kill", false, "with --tilt: kill and restart the planner about every ten seconds")
	flags.DurationVar(&o.loadShift.phase, "phase", 20*time.Second, "with --tilt: length of each of the three phases")
	flags.Float64Var(&o.loadShift.rate, "rate", 24, "with --tilt: requests per second")
	flags.Uint64Var(&o.loadShift.seed, "seed", 1, "with --tilt: random seed of the traffic")
	return command
}

// demoText is printed once the edge accepts requests.
const demoText = `
One edge with %d fake prefill engines and %d fake decode engines; their responses are generated text. Try:

  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"fan-alert","stream":true,"messages":[{"role":"user","content":"Who scored?"}]}'

Press Ctrl-C to stop. The endpoint list file is %s
`

// runDemo runs until SIGTERM or SIGINT and then drains the edge; a second signal ends the process at once.
func runDemo(c *cobra.Command, o demoOptions) error {
	folder, err := os.MkdirTemp("", "sandcourse-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	fleet, err := scenario.StartFleet(folder, fakeEngines(o.prefill, o.decode), &audit.Log{})
	if err != nil {
		return err
	}
	defer fleet.Stop()
	deployment, err := config.Read("demo.star", []byte(settings.Demo))
	if err != nil {
		return err
	}
	deployment.ChatAddress, deployment.EndpointFile = o.address, fleet.EndpointFile
	log, err := zap.NewDevelopment()
	if err != nil {
		return err
	}
	e := edge.New(deployment, log, nil, uint64(time.Now().UnixNano()))
	if err := e.Start(); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), demoText, o.prefill, o.decode, e.Addr(), fleet.EndpointFile)
	ctx, stop := withStopSignals(context.Background())
	<-ctx.Done()
	stop()
	return e.Drain(context.Background())
}
