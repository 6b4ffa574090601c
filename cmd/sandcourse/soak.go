package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/soak"
)

func soakCommand() *cobra.Command {
	config := soak.Config{}
	seeds := 1
	c := &cobra.Command{Use: "soak", Short: "Real nodes against troubles that overlap, judged by the rules", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop() // the nodes' processes are ended whatever happens
			faults := 0
			for i := 0; i < seeds && ctx.Err() == nil; i++ {
				one := config
				one.Seed += uint64(i)
				report, err := soak.Run(ctx, one)
				if err != nil {
					return err
				}
				fmt.Fprint(cmd.OutOrStdout(), report)
				faults += len(report.Violations)
			}
			if faults > 0 {
				return errors.New("faults were found")
			}
			return nil
		}}
	beside := ""
	if self, err := os.Executable(); err == nil {
		beside = filepath.Join(filepath.Dir(self), "sandcourse-edge")
	}
	f := c.Flags()
	f.StringVar(&config.Binary, "edge", beside, "the node's binary")
	f.Uint64Var(&config.Seed, "seed", 1, "the first seed; it draws the troubles")
	f.IntVar(&seeds, "seeds", 1, "how many seeds are played, one after the other")
	f.IntVar(&config.Routers, "nodes", 24, "how many nodes, each a process")
	f.IntVar(&config.Engines, "engines", 6, "how many stand-in engines of each role")
	f.IntVar(&config.Clients, "clients", 60, "how many clients ask at the same time")
	f.IntVar(&config.ConcurrentFaults, "overlap", 3, "how many troubles run at the same time")
	f.DurationVar(&config.Duration, "for", 20*time.Second, "how long the troubles last")
	f.StringVar(&config.Folder, "folder", filepath.Join(os.TempDir(), "sandcourse-soak"), "for configurations and logs")
	return c
}
