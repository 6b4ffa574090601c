package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/scenario"
)

func scenarioCommand() *cobra.Command {
	var quiet, logs bool
	c := &cobra.Command{Use: "badday FILE", Short: "Play a scripted day of troubles and judge the five rules",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			day, err := scenario.LoadFile(args[0])
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "sandcourse-day-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			log, say := zap.NewNop(), c.ErrOrStderr()
			if logs {
				if log, err = zap.NewProduction(); err != nil {
					return err
				}
			}
			if quiet {
				say = io.Discard
			}
			res, err := day.Run(ctx, dir, log, say)
			if err != nil {
				return err
			}
			res.Print(c.OutOrStdout())
			if len(res.Violations) > 0 {
				return exitStatus(1)
			}
			return nil
		}}
	c.Flags().BoolVar(&quiet, "quiet", false, "do not tell troubles as they come")
	c.Flags().BoolVar(&logs, "logs", false, "print the edges' logs")
	var shrink float64
	var out string
	imp := &cobra.Command{Use: "import DAY.json", Short: "Turn a day that the bench has drawn into a script",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !(shrink > 0 && shrink <= 1) {
				return fmt.Errorf("--shrink must be over 0 and at most 1, not %g", shrink)
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			script, err := scenario.Import(text, shrink)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if out == "" {
				_, err = io.WriteString(c.OutOrStdout(), script)
				return err
			}
			return os.WriteFile(out, []byte(script), 0o644)
		}}
	imp.Flags().Float64Var(&shrink, "shrink", 0.5, "the script's length against the day's")
	imp.Flags().StringVarP(&out, "out", "o", "", "file to write; standard output if none")
	c.AddCommand(imp)
	return c
}
