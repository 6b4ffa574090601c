package main

import (
	"fmt"
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
	c := &cobra.Command{Use: "lab", Short: "Experiments in simulated time on the real decision code"}
	var out string
	compare := &cobra.Command{Use: "compare FILE",
		Short: "Play an experiment's arms on paired seeds, and compare them", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := script.ReadFile(args[0])
			if err != nil {
				return err
			}
			x, err := emulator.ParseExperiment(args[0], text)
			if err != nil {
				return err
			}
			rows := x.Compare(runArms(x))
			table := formatArms(x, rows)
			fmt.Fprint(c.OutOrStdout(), table)
			if out == "" {
				return nil
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			name := strings.TrimSuffix(filepath.Base(args[0]), filepath.Ext(args[0]))
			if err := os.WriteFile(filepath.Join(out, name+".md"), []byte(table), 0o644); err != nil {
				return err
			}
			return plotArms(filepath.Join(out, name+".svg"), rows)
		}}
	compare.Flags().StringVar(&out, "out", "", "folder for a table and a chart")
	c.AddCommand(compare)
	return c
}

// runArms plays all days, spread over cores; each is one owner's and the same wherever it runs.
func runArms(x *emulator.Experiment) [][]emulator.Result {
	results := make([][]emulator.Result, len(x.Arms))
	for i := range results {
		results[i] = make([]emulator.Result, x.Seeds)
	}
	onAllCores(len(x.Arms)*x.Seeds, func(n int) {
		i, s := n/x.Seeds, n%x.Seeds
		d := x.Arms[i].Scenario
		d.Seed = uint64(s + 1)
		results[i][s] = emulator.Run(d)
	})
	return results
}

func formatArms(x *emulator.Experiment, rows []emulator.Comparison) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Simulated, %d seeds, paired. Difference to the first arm with 95 of 100 by bootstrap.\n\n", x.Seeds)
	b.WriteString("| arm | value in time | difference | worst 5 s | well again after | tries | refused | ran twice | pushed over |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i, r := range rows {
		diff, back := fmt.Sprintf("%+.3f (%+.3f to %+.3f)", r.Difference, r.Low, r.High), r.RecoveryTime.String()
		if i == 0 {
			diff = "-"
		}
		if r.RecoveryTime < 0 {
			back = "not by the day's end"
		}
		tries, refused, twice, pushed := 0, 0, 0, 0
		for _, o := range r.Results {
			tries, refused, twice, pushed = tries+o.Attempts, refused+o.Rejected, twice+o.RanTwice, pushed+o.Overloaded
		}
		n := len(r.Results)
		fmt.Fprintf(&b, "| %s | %.3f | %s | %.2f | %s | %d | %d | %d | %d |\n", r.Name, r.Share, diff,
			r.WorstWindow, back, tries/n, refused/n, twice, pushed)
	}
	return b.String()
}

func plotArms(path string, rows []emulator.Comparison) error {
	p := plot.New()
	p.Title.Text = "value in time by when clients first asked (simulated)"
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "seconds", "share", 0, 1.02
	var lines []any
	for _, r := range rows {
		var xy plotter.XYs
		for k, v := range r.ByWindow {
			xy = append(xy, plotter.XY{X: float64(k * 5), Y: v})
		}
		lines = append(lines, r.Name, xy)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 9*vg.Centimeter, path)
}
