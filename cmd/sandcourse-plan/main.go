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
	asked := process.CatchSignals()
	var file string
	var takeOver, check bool
	c := &cobra.Command{Use: "sandcourse-plan --settings FILE", Short: "The planner of sandcourse", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(file, asked, takeOver, check) }}
	c.Flags().StringVar(&file, "settings", "", "the planner's script")
	c.Flags().BoolVar(&takeOver, "take-over", false, "begin a new store though engines follow another planner, which is fenced off")
	c.Flags().BoolVar(&check, "check", false, "check the script and end")
	c.MarkFlagRequired("settings")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-plan:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run(file string, asked process.Signals, takeOver, check bool) error {
	d, err := config.LoadPlanner(file)
	if err != nil || check {
		return err
	}
	d.TakeOver = takeOver
	log := process.NewLog()
	defer log.Sync()
	p := planner.New(d, log)
	if err := p.Start(); err != nil {
		return err
	}
	asked.AwaitStop(log)
	p.Stop()
	return nil
}
