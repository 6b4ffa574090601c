// Command sandcourse-plan is the planner: it watches what engines and edges report, moves engines between reading and
// writing, and streams plans to edges.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/plan"
	"sandcourse/script"
	"sandcourse/settings"
)

func main() {
	var file string
	var takeOver, check bool
	c := &cobra.Command{Use: "sandcourse-plan --settings FILE", Short: "The planner of sandcourse", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return run(file, takeOver, check) }}
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

func run(file string, takeOver, check bool) error {
	d, err := settings.LoadPlanner(file)
	if err != nil || check {
		return err
	}
	d.TakeOver = takeOver
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer log.Sync()
	p := plan.New(d, log)
	if err := p.Start(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	<-ctx.Done()
	p.Stop()
	return nil
}
