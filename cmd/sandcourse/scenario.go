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
	command.Flags().BoolVar(&quiet, "quiet", false, "do not print faults as they are injected")
	command.Flags().BoolVar(&logs, "logs", false, "print the logs of the edges")
	command.AddCommand(scenarioImportCommand())
	return command
}

// runScenario runs the scenario in a file until the scenario ends or the process receives SIGTERM or SIGINT.
func runScenario(c *cobra.Command, file string, log *zap.Logger, progress io.Writer) error {
	parsed, err := scenario.LoadFile(file)
	if err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "sandcourse-day-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	ctx, stop := withStopSignals(context.Background())
	defer stop()
	result, err := parsed.Run(ctx, folder, log, progress)
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
		Use:   "import SCENARIO.json",
		Short: "Convert a benchmark scenario to a scenario script",
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
	command.Flags().Float64Var(&shrink, "shrink", 0.5, "length of the script as a share of the length of the benchmark scenario")
	command.Flags().StringVarP(&out, "out", "o", "", "file to write the script to (default: standard output)")
	return command
}

// importScenario converts a benchmark scenario to a script that is shortened to a share of the scenario's length.
func importScenario(file string, shrink float64) (string, error) {
	if !(shrink > 0 && shrink <= 1) {
		return "", fmt.Errorf("--shrink must be greater than 0 and at most 1, not %g", shrink)
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
