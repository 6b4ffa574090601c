package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sandcourse/internal/config/script"
	"sandcourse/internal/emulator"
)

func emulateCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "emulate",
		Aliases: []string{"lab"},
		Short:   "Run experiments in simulated time with the production routing code",
	}
	var out string
	compare := &cobra.Command{
		Use:   "compare FILE",
		Short: "Run all arms of an experiment on the same seeds and compare them",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return runCompare(args[0], out, c.OutOrStdout()) },
	}
	compare.Flags().StringVar(&out, "out", "", "folder to write the table and a chart to")
	command.AddCommand(compare)
	return command
}

// runCompare runs an experiment and prints its table. If a folder is given, it also writes the table and a chart there.
func runCompare(file, folder string, out io.Writer) error {
	text, err := script.ReadFile(file)
	if err != nil {
		return err
	}
	experiment, err := emulator.ParseExperiment(file, text)
	if err != nil {
		return err
	}
	arms := experiment.Compare(runExperiment(experiment))
	table := formatComparison(experiment, arms)
	fmt.Fprint(out, table)
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	if err := os.WriteFile(filepath.Join(folder, name+".md"), []byte(table), 0o644); err != nil {
		return err
	}
	return plotComparison(filepath.Join(folder, name+".svg"), arms)
}

// runExperiment runs each arm on each seed, in parallel on all cores. A run uses one goroutine and is deterministic.
func runExperiment(experiment *emulator.Experiment) [][]emulator.Result {
	results := make([][]emulator.Result, len(experiment.Arms))
	for i := range results {
		results[i] = make([]emulator.Result, experiment.Seeds)
	}
	runParallel(len(experiment.Arms)*experiment.Seeds, func(n int) {
		arm, seed := n/experiment.Seeds, n%experiment.Seeds
		scenario := experiment.Arms[arm].Scenario
		scenario.Seed = uint64(seed + 1)
		results[arm][seed] = emulator.Run(scenario)
	})
	return results
}

// formatComparison returns a table that compares the arms with the first one.
func formatComparison(experiment *emulator.Experiment, arms []emulator.Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Simulated with %d seeds, which all arms share. Differences from the first arm, with 95 percent bootstrap intervals.\n\n",
		experiment.Seeds)
	b.WriteString("| arm | share of value completed in time | difference | worst 5 s | recovery time | attempts | rejected | run twice | overloaded |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i, arm := range arms {
		difference, recovery := fmt.Sprintf("%+.3f (%+.3f to %+.3f)", arm.Difference, arm.Low, arm.High), arm.RecoveryTime.String()
		if i == 0 {
			difference = "-"
		}
		if arm.RecoveryTime < 0 {
			recovery = "not recovered"
		}
		var attempts, rejected, ranTwice, overloaded int
		for _, r := range arm.Results {
			attempts += r.Attempts
			rejected += r.Rejected
			ranTwice += r.RanTwice
			overloaded += r.Overloaded
		}
		runs := len(arm.Results)
		fmt.Fprintf(&b, "| %s | %.3f | %s | %.2f | %s | %d | %d | %d | %d |\n", arm.Name, arm.Share, difference,
			arm.WorstWindow, recovery, attempts/runs, rejected/runs, ranTwice, overloaded)
	}
	return b.String()
}

// windowSeconds is the length of the windows of emulator.Comparison.ByWindow, in seconds.
const windowSeconds = 5

func plotComparison(path string, arms []emulator.Comparison) error {
	p := plot.New()
	p.Title.Text = "share of value completed in time, by time of the first attempt (simulated)"
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "seconds", "share", 0, 1.02
	var lines []any
	for _, arm := range arms {
		var points plotter.XYs
		for i, share := range arm.ByWindow {
			points = append(points, plotter.XY{X: float64(i * windowSeconds), Y: share})
		}
		lines = append(lines, arm.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
