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

// demoOptions are the flags of demo.
type demoOptions struct {
	address         string
	prefill, decode int
	withTilt        bool
	tilt            tiltOptions
}

func demoCommand() *cobra.Command {
	var o demoOptions
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run an edge and fake engines in one process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if o.withTilt {
				return runTilt(c, o.tilt, o.prefill+1, o.decode+1)
			}
			return runDemo(c, o)
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.address, "chat", "127.0.0.1:8080", "address to take chat requests on")
	flags.IntVar(&o.prefill, "readers", 3, "fake prefill engines")
	flags.IntVar(&o.decode, "writers", 3, "fake decode engines")
	flags.BoolVar(&o.withTilt, "tilt", false, "load that shifts between prefill and decode, and a planner that follows (a minute)")
	flags.BoolVar(&o.tilt.fixed, "fixed", false, "with --tilt: roles stay as they are")
	flags.BoolVar(&o.tilt.kill, "kill", false, "with --tilt: the planner is killed every ten seconds or so")
	flags.DurationVar(&o.tilt.phase, "phase", 20*time.Second, "with --tilt: the length of each of its three phases")
	flags.Float64Var(&o.tilt.rate, "rate", 24, "with --tilt: requests a second")
	flags.Uint64Var(&o.tilt.seed, "seed", 1, "with --tilt: seed of the traffic")
	return command
}

// demoText is printed once the edge serves.
const demoText = `
%d readers and %d writers (stand-ins: the answers are made up) behind one edge. Try:

  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' \
    -d '{"model":"fan-alert","stream":true,"messages":[{"role":"user","content":"Who scored?"}]}'

Ctrl-C stops it. The roster is %s
`

// runDemo serves until SIGTERM or SIGINT; a second one ends the process at once.
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
	deployment.ChatAddress, deployment.EndpointFile = o.address, fleet.Path
	log, err := zap.NewDevelopment()
	if err != nil {
		return err
	}
	e := edge.New(deployment, log, nil, uint64(time.Now().UnixNano()))
	if err := e.Start(); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), demoText, o.prefill, o.decode, e.Addr(), fleet.Path)
	ctx, stop := untilStopped(context.Background())
	<-ctx.Done()
	stop()
	return e.Drain(context.Background())
}
