// Command sandcourse-plan is the planner: it watches what engines and edges report, moves engines between reading and
// writing, and streams plans to edges.
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

func main() {
	signals := process.CatchSignals()
	var file string
	var takeOver, check bool
	command := &cobra.Command{Use: "sandcourse-plan --settings FILE", Short: "The planner of sandcourse", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(file, signals, takeOver, check) }}
	command.Flags().StringVar(&file, "settings", "", "the planner's script")
	command.Flags().BoolVar(&takeOver, "take-over", false, "begin a new store though engines follow another planner, which is fenced off")
	command.Flags().BoolVar(&check, "check", false, "check the script and end")
	command.MarkFlagRequired("settings")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-plan:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run(file string, signals process.Signals, takeOver, check bool) error {
	settings, err := config.LoadPlanner(file)
	if err != nil || check {
		return err
	}
	settings.TakeOver = takeOver
	log := process.NewLogger()
	defer log.Sync()
	server := planner.New(settings, log)
	if err := server.Start(); err != nil {
		return err
	}
	signals.AwaitStop(log)
	server.Stop()
	return nil
}
