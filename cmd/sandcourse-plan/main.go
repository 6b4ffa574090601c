// Command sandcourse-plan is the planner: it watches the reports of engines and edges, changes the roles of engines between
// prefill and decode, and streams plans to edges.
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

// options are the command line.
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

// command is the command line with its flags.
func command(signals process.Signals) *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:           "sandcourse-plan --settings FILE",
		Short:         "The planner of sandcourse",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(o, signals) },
	}
	c.Flags().StringVar(&o.settings, "settings", "", "the planner's script")
	c.Flags().BoolVar(&o.takeOver, "take-over", false, "begin a new store though engines follow another planner, which is fenced off")
	c.Flags().BoolVar(&o.check, "check", false, "check the script and end")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err) // no such flag
	}
	return c
}

// run runs a planner until a signal stops it, or only checks its settings.
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
