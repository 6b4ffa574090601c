// Command sandcourse-edge is one node: it takes chat calls and routes them over the engines that its settings
// or its roster name.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/config/script"
	"sandcourse/internal/edge"
	"sandcourse/internal/process"
)

func main() {
	asked := process.CatchSignals()
	var file, config string
	c := &cobra.Command{Use: "sandcourse-edge --settings FILE | --config FILE", Short: "One node of sandcourse", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if config != "" {
				return onPlatform(config, asked)
			}
			return run(file, asked)
		}}
	c.Flags().StringVar(&file, "settings", "", "the settings script")
	c.Flags().StringVar(&config, "config", "", "the operators' platform's configuration, in place of a script")
	c.MarkFlagsOneRequired("settings", "config")
	c.MarkFlagsMutuallyExclusive("settings", "config")
	if err := c.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-edge:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func run(file string, asked process.Signals) error {
	d, err := config.Load(file)
	if err != nil {
		return err
	}
	log := process.NewLogger()
	defer log.Sync()
	n := edge.New(d, log, nil, uint64(time.Now().UnixNano()))
	if err := n.Start(); err != nil {
		return err
	}
	asked.AwaitStop(log)
	signal.Reset(syscall.SIGTERM, os.Interrupt) // a second one ends it at once
	if err := n.Drain(context.Background()); err != nil {
		log.Warn("stopped with inferences open", zap.Error(err))
	}
	return nil
}
