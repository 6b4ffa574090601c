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
	signals := process.CatchSignals()
	var settingsFile, configFile string
	command := &cobra.Command{Use: "sandcourse-edge --settings FILE | --config FILE", Short: "One node of sandcourse", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if configFile != "" {
				return runOnPlatform(configFile, signals)
			}
			return runOnSettings(settingsFile, signals)
		}}
	command.Flags().StringVar(&settingsFile, "settings", "", "the settings script")
	command.Flags().StringVar(&configFile, "config", "", "the operators' platform's configuration, in place of a script")
	command.MarkFlagsOneRequired("settings", "config")
	command.MarkFlagsMutuallyExclusive("settings", "config")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-edge:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func runOnSettings(file string, signals process.Signals) error {
	deployment, err := config.Load(file)
	if err != nil {
		return err
	}
	log := process.NewLogger()
	defer log.Sync()
	node := edge.New(deployment, log, nil, uint64(time.Now().UnixNano()))
	if err := node.Start(); err != nil {
		return err
	}
	signals.AwaitStop(log)
	signal.Reset(syscall.SIGTERM, os.Interrupt) // a second one ends it at once
	if err := node.Drain(context.Background()); err != nil {
		log.Warn("stopped with inferences open", zap.Error(err))
	}
	return nil
}
