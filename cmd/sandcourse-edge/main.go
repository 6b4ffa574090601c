// Command sandcourse-edge runs one edge router: it accepts chat requests and routes them to the engines listed in its
// settings, in an endpoint list or by discovery.
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

// Exit statuses.
const (
	exitFailed        = 1
	exitInvalidConfig = 2 // the settings or the configuration are invalid
)

func main() {
	signals := process.CatchSignals()
	if err := newCommand(signals).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sandcourse-edge:", err)
		var faults script.Faults
		if errors.As(err, &faults) {
			os.Exit(exitInvalidConfig)
		}
		os.Exit(exitFailed)
	}
}

func newCommand(signals process.Signals) *cobra.Command {
	var settingsFile, configFile string
	command := &cobra.Command{
		Use:           "sandcourse-edge --settings FILE | --config FILE",
		Short:         "Run an edge router of sandcourse",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if configFile != "" {
				return runOnPlatform(configFile, signals)
			}
			return runOnSettings(settingsFile, signals)
		},
	}
	command.Flags().StringVar(&settingsFile, "settings", "", "settings script")
	command.Flags().StringVar(&configFile, "config", "", "platform configuration, instead of a script")
	command.MarkFlagsOneRequired("settings", "config")
	command.MarkFlagsMutuallyExclusive("settings", "config")
	return command
}

// runOnSettings runs the edge that a settings script describes, until SIGTERM or SIGINT. A second signal ends the process at
// once.
func runOnSettings(file string, signals process.Signals) error {
	deployment, err := config.Load(file)
	if err != nil {
		return err
	}
	log := process.NewLogger()
	defer log.Sync()
	e := edge.New(deployment, log, nil, uint64(time.Now().UnixNano()))
	if err := e.Start(); err != nil {
		return err
	}
	signals.AwaitStop(log)
	signal.Reset(syscall.SIGTERM, os.Interrupt)
	drain(e, log)
	return nil
}

// drain stops an edge gracefully.
func drain(e *edge.Edge, log *zap.Logger) {
	if err := e.Drain(context.Background()); err != nil {
		log.Warn("drain incomplete, requests abandoned", zap.Error(err))
	}
}
