package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/soak"
)

// errViolationsFound is returned by a soak test that found violations; they have been printed.
var errViolationsFound = errors.New("violations were found")

func soakCommand() *cobra.Command {
	config := soak.Config{}
	seeds := 1
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run real edges against overlapping faults and check the invariants",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := withStopSignals(c.Context())
			defer stop() // The cancellation also ends the edge processes.
			return runSoak(ctx, config, seeds, c.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Binary, "edge", edgeBinary(), "path of the edge binary")
	flags.Uint64Var(&config.Seed, "seed", 1, "first seed; the faults are drawn from it")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds to run, one after the other")
	flags.IntVar(&config.Edges, "nodes", 24, "number of edges, each a process of its own")
	flags.IntVar(&config.Engines, "engines", 6, "number of fake engines of each role")
	flags.IntVar(&config.Clients, "clients", 60, "number of clients that send requests at the same time")
	flags.IntVar(&config.ConcurrentFaults, "overlap", 3, "number of faults injected at the same time")
	flags.DurationVar(&config.Duration, "for", 20*time.Second, "how long to inject faults")
	flags.StringVar(&config.Folder, "folder", filepath.Join(os.TempDir(), "sandcourse-soak"), "folder for configurations and logs")
	return command
}

// edgeBinary returns the path of the edge binary in the folder of this program.
func edgeBinary() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Join(filepath.Dir(self), "sandcourse-edge")
}

// runSoak runs seeds one after the other and prints a report for each.
func runSoak(ctx context.Context, config soak.Config, seeds int, out io.Writer) error {
	violations := 0
	for i := 0; i < seeds && ctx.Err() == nil; i++ {
		report, err := soak.Run(ctx, config)
		if err != nil {
			return err
		}
		fmt.Fprint(out, report)
		violations += len(report.Violations)
		config.Seed++
	}
	if violations > 0 {
		return errViolationsFound
	}
	return nil
}
