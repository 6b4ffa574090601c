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
		Short:   "Experiments in emulated time on the real decision code",
	}
	var out string
	compare := &cobra.Command{
		Use:   "compare FILE",
		Short: "Run an experiment's arms on paired seeds, and compare them",
		Args:  cobra.ExactArgs(1),
		RunE:  func(c *cobra.Command, args []string) error { return runCompare(args[0], out, c.OutOrStdout()) },
	}
	compare.Flags().StringVar(&out, "out", "", "folder for a table and a chart")
	command.AddCommand(compare)
	return command
}

// runCompare prints an experiment's table, and writes it with a chart to a folder if one is given.
func runCompare(file, folder string, out io.Writer) error {
	text, err := script.ReadFile(file)
	if err != nil {
		return err
	}
	experiment, err := emulator.ParseExperiment(file, text)
	if err != nil {
		return err
	}
	arms := experiment.Compare(runArms(experiment))
	table := formatArms(experiment, arms)
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
	return plotArms(filepath.Join(folder, name+".svg"), arms)
}

// runArms runs each arm on each seed, spread over the cores; a run is one goroutine's, and the same wherever it is.
func runArms(experiment *emulator.Experiment) [][]emulator.Result {
	results := make([][]emulator.Result, len(experiment.Arms))
	for i := range results {
		results[i] = make([]emulator.Result, experiment.Seeds)
	}
	onAllCores(len(experiment.Arms)*experiment.Seeds, func(n int) {
		arm, seed := n/experiment.Seeds, n%experiment.Seeds
		day := experiment.Arms[arm].Scenario
		day.Seed = uint64(seed + 1)
		results[arm][seed] = emulator.Run(day)
	})
	return results
}

// formatArms is a table of the arms, the first of which is what the others are compared with.
func formatArms(experiment *emulator.Experiment, arms []emulator.Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Simulated, %d seeds, paired. Difference to the first arm with 95 of 100 by bootstrap.\n\n", experiment.Seeds)
	b.WriteString("| arm | value in time | difference | worst 5 s | well again after | tries | refused | ran twice | pushed over |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i, arm := range arms {
		difference, recovery := fmt.Sprintf("%+.3f (%+.3f to %+.3f)", arm.Difference, arm.Low, arm.High), arm.RecoveryTime.String()
		if i == 0 {
			difference = "-"
		}
		if arm.RecoveryTime < 0 {
			recovery = "not by the day's end"
		}
		var attempts, rejected, twice, pushed int
		for _, r := range arm.Results {
			attempts += r.Attempts
			rejected += r.Rejected
			twice += r.RanTwice
			pushed += r.Overloaded
		}
		n := len(arm.Results)
		fmt.Fprintf(&b, "| %s | %.3f | %s | %.2f | %s | %d | %d | %d | %d |\n", arm.Name, arm.Share, difference,
			arm.WorstWindow, recovery, attempts/n, rejected/n, twice, pushed)
	}
	return b.String()
}

// courseInterval is the seconds between two points of an arm's course.
const courseInterval = 5

func plotArms(path string, arms []emulator.Comparison) error {
	p := plot.New()
	p.Title.Text = "value in time by when clients first asked (simulated)"
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "seconds", "share", 0, 1.02
	var lines []any
	for _, arm := range arms {
		var points plotter.XYs
		for i, share := range arm.ByWindow {
			points = append(points, plotter.XY{X: float64(i * courseInterval), Y: share})
		}
		lines = append(lines, arm.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
