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

// errFaultsFound says that a soak test found faults; they have been printed.
var errFaultsFound = errors.New("faults were found")

func soakCommand() *cobra.Command {
	config := soak.Config{}
	seeds := 1
	command := &cobra.Command{
		Use:   "soak",
		Short: "Run real edges against overlapping faults and check the invariants",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := untilStopped(c.Context())
			defer stop() // the edges' processes are ended whatever happens
			return runSoak(ctx, config, seeds, c.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&config.Binary, "edge", edgeBinary(), "the edge's binary")
	flags.Uint64Var(&config.Seed, "seed", 1, "the first seed; it draws the faults")
	flags.IntVar(&seeds, "seeds", 1, "how many seeds are run, one after the other")
	flags.IntVar(&config.Edges, "nodes", 24, "how many edges, each a process")
	flags.IntVar(&config.Engines, "engines", 6, "how many fake engines of each role")
	flags.IntVar(&config.Clients, "clients", 60, "how many clients send requests at the same time")
	flags.IntVar(&config.ConcurrentFaults, "overlap", 3, "how many faults run at the same time")
	flags.DurationVar(&config.Duration, "for", 20*time.Second, "how long faults are injected")
	flags.StringVar(&config.Folder, "folder", filepath.Join(os.TempDir(), "sandcourse-soak"), "for configurations and logs")
	return command
}

// edgeBinary is the edge's binary beside this one.
func edgeBinary() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	return filepath.Join(filepath.Dir(self), "sandcourse-edge")
}

// runSoak runs seeds one after the other, and prints a report for each.
func runSoak(ctx context.Context, config soak.Config, seeds int, out io.Writer) error {
	faults := 0
	for i := 0; i < seeds && ctx.Err() == nil; i++ {
		report, err := soak.Run(ctx, config)
		if err != nil {
			return err
		}
		fmt.Fprint(out, report)
		faults += len(report.Violations)
		config.Seed++
	}
	if faults > 0 {
		return errFaultsFound
	}
	return nil
}
