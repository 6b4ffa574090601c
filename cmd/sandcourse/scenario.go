package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"sandcourse/internal/scenario"
)

func scenarioCommand() *cobra.Command {
	var quiet, logs bool
	command := &cobra.Command{
		Use:     "scenario FILE",
		Aliases: []string{"badday"},
		Short:   "Run a scripted fault scenario and check the five invariants",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			log, progress := zap.NewNop(), c.ErrOrStderr()
			if logs {
				var err error
				if log, err = zap.NewProduction(); err != nil {
					return err
				}
			}
			if quiet {
				progress = io.Discard
			}
			return runScenario(c, args[0], log, progress)
		},
	}
	command.Flags().BoolVar(&quiet, "quiet", false, "do not report faults as they are injected")
	command.Flags().BoolVar(&logs, "logs", false, "print the edges' logs")
	command.AddCommand(scenarioImportCommand())
	return command
}

// runScenario runs the scenario of a file until its end, SIGTERM or SIGINT.
func runScenario(c *cobra.Command, file string, log *zap.Logger, progress io.Writer) error {
	day, err := scenario.LoadFile(file)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "sandcourse-day-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, stop := untilStopped(context.Background())
	defer stop()
	result, err := day.Run(ctx, folder, log, progress)
	if err != nil {
		return err
	}
	result.Print(c.OutOrStdout())
	if len(result.Violations) > 0 {
		return exitFailed
	}
	return nil
}

func scenarioImportCommand() *cobra.Command {
	var shrink float64
	var out string
	command := &cobra.Command{
		Use:   "import DAY.json",
		Short: "Turn a day that the bench has drawn into a scenario script",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := importScenario(args[0], shrink)
			if err != nil {
				return err
			}
			if out == "" {
				_, err = io.WriteString(c.OutOrStdout(), script)
				return err
			}
			return os.WriteFile(out, []byte(script), 0o644)
		},
	}
	command.Flags().Float64Var(&shrink, "shrink", 0.5, "the script's length against the day's")
	command.Flags().StringVarP(&out, "out", "o", "", "file to write; standard output if none")
	return command
}

// importScenario is the script of a day, shrunk to a part of its length.
func importScenario(file string, shrink float64) (string, error) {
	if !(shrink > 0 && shrink <= 1) {
		return "", fmt.Errorf("--shrink must be over 0 and at most 1, not %g", shrink)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	script, err := scenario.Import(text, shrink)
	if err != nil {
		return "", fmt.Errorf("%s: %w", file, err)
	}
	return script, nil
}
