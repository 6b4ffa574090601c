// Command sandcourse-plan is the planner: it evaluates the load reports of engines and edges, changes the roles of engines
// between prefill and decode, and streams plans to edges.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
	"sandcourse/internal/planner"
	"sandcourse/internal/process"
)

// Exit statuses.
const (
	exitFailed          = 1
	exitInvalidSettings = 2
)

// options holds the flags of the command line.
type options struct {
	settings string
	takeOver bool
	check    bool
}

func main() {
	signals := process.CatchSignals()
	if err := command(signals).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-plan:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(exitInvalidSettings)
		}
		os.Exit(exitFailed)
	}
}

// command returns the root command with its flags.
func command(signals process.Signals) *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           "sandcourse-plan --settings FILE",
		Short:         "Run the planner of sandcourse",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(o, signals) },
	}
	c.Flags().StringVar(&o.settings, "settings", "", "settings script")
	c.Flags().BoolVar(&o.takeOver, "take-over", false, "start with a new store although engines follow another planner, and fence that planner off")
	c.Flags().BoolVar(&o.check, "check", false, "check the script and exit")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // The flag is not defined.
	}
	return c
}

// run runs a planner until a signal stops it. If the check flag is set, it only checks the settings.
func run(o options, signals process.Signals) error {
	settings, err := config.LoadPlanner(o.settings)
	if err != nil || o.check {
		return err
	}
	settings.TakeOver = o.takeOver
	log := process.NewLogger()
	defer log.Sync()
	p := planner.New(settings, log)
	if err := p.Start(); err != nil {
		return err
	}
	signals.AwaitStop(log)
	p.Stop()
	return nil
}
