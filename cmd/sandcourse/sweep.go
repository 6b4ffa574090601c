package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sandcourse/internal/fluidmodel"
)

// sweepPoint is one setting of a sweep, with what each arm came to on its seeds.
type sweepPoint struct {
	factor, level string
	value         float64
	arms          map[string][]fluidmodel.Result
	best          []int // readers of the best fixed split
	duration      time.Duration
}

var armNames = []string{"roles", "best fixed", "fixed at start", "threshold"}

func sweepCommand() *cobra.Command {
	var out string
	var seeds int
	c := &cobra.Command{Use: "sweep",
		Short: "Play tilting days in simulated time: where does changing roles pay?", Args: cobra.NoArgs,
		Long: "The real roles code on a fluid fleet, against fixed roles and a plain threshold. Writes a table and charts.",
		RunE: func(c *cobra.Command, _ []string) error {
			base := fluidmodel.Scenario{Engines: 40, PrefillEngines: 20, Cells: 4, Edges: 6, Duration: 20 * time.Minute,
				Period: 10 * time.Minute, SkewDepth: 0.8, SquareWave: true,
				Utilization: 0.85, ReloadTime: 5 * time.Second, WarmUp: 10 * time.Second, DrainTime: 4 * time.Second}
			var points []*sweepPoint
			var days []sweepRun
			add := func(factor, level string, at float64, change func(*fluidmodel.Scenario)) {
				points = append(points, &sweepPoint{factor: factor, level: level, value: at,
					arms: map[string][]fluidmodel.Result{}})
				p := points[len(points)-1]
				for seed := range seeds {
					d := base
					change(&d)
					d.Seed = uint64(seed + 1)
					p.best = append(p.best, 0)
					days = append(days, sweepRun{p, seed, d})
				}
				for _, arm := range armNames {
					p.arms[arm] = make([]fluidmodel.Result, seeds)
				}
			}
			for _, s := range []float64{10, 30, 60, 120, 240, 600, 1200} {
				add("period of the swing, s", fmt.Sprint(s), s,
					func(d *fluidmodel.Scenario) { d.Period = time.Duration(s) * time.Second })
			}
			for _, depth := range []float64{0.1, 0.3, 0.5, 0.8, 1} {
				add("depth of the swing", fmt.Sprint(depth), depth, func(d *fluidmodel.Scenario) { d.SkewDepth = depth })
			}
			for _, s := range []float64{1, 5, 15, 40, 90} {
				add("reload time, s", fmt.Sprint(s), s,
					func(d *fluidmodel.Scenario) { d.ReloadTime = time.Duration(s) * time.Second })
			}
			for _, s := range []float64{0, 1, 3, 8} {
				add("lag of reports, s", fmt.Sprint(s), s,
					func(d *fluidmodel.Scenario) { d.ReportDelay = time.Duration(s) * time.Second })
			}
			for _, n := range []int{8, 20, 40, 110, 300} {
				add("engines", fmt.Sprint(n), float64(n), func(d *fluidmodel.Scenario) {
					d.Engines, d.PrefillEngines,
						d.Cells = n, n/2, max(1, n/10)
				})
			}
			for _, load := range []float64{0.5, 0.7, 0.85, 1, 1.2} {
				add("load, of the best split", fmt.Sprint(load), load, func(d *fluidmodel.Scenario) { d.Utilization = load })
			}
			for _, part := range []float64{0, 0.33, 0.6} {
				add("reports missing, share", fmt.Sprint(part), part, func(d *fluidmodel.Scenario) { d.MissingReports = part })
			}
			runSweep(days)
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(out, "roles-sweep.md"), []byte(formatSweep(points, seeds)),
				0o644); err != nil {
				return err
			}
			for i := 0; i < len(points); {
				j := i
				for j < len(points) && points[j].factor == points[i].factor {
					j++
				}
				if err := plotFactor(out, points[i:j]); err != nil {
					return err
				}
				i = j
			}
			fmt.Fprint(c.OutOrStdout(), formatSweep(points, seeds))
			return nil
		}}
	c.Flags().StringVar(&out, "out", "sweep", "folder for the table and the charts")
	c.Flags().IntVar(&seeds, "seeds", 3, "days of each setting")
	return c
}

type sweepRun struct {
	point *sweepPoint
	seed  int
	day   fluidmodel.Scenario
}

// runSweep plays all on all cores; each day is deterministic by itself.
func runSweep(days []sweepRun) {
	onAllCores(len(days), func(i int) {
		t := days[i]
		begun := time.Now()
		t.point.arms["roles"][t.seed] = fluidmodel.Run(t.day, fluidmodel.Strategy{Adaptive: true})
		if t.seed == 0 {
			t.point.duration = time.Since(begun)
		}
		t.point.arms["best fixed"][t.seed], t.point.best[t.seed] = fluidmodel.BestFixedSplit(t.day)
		t.point.arms["fixed at start"][t.seed] = fluidmodel.Run(t.day, fluidmodel.Strategy{})
		t.point.arms["threshold"][t.seed] = fluidmodel.Run(t.day, fluidmodel.Strategy{Threshold: true})
	})
}

// onAllCores does n things that have nothing to do with each other, as many at once as there are cores.
func onAllCores(n int, do func(i int)) {
	var all sync.WaitGroup
	room := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			do(i)
		})
	}
	all.Wait()
}

func values(row []fluidmodel.Result, of func(fluidmodel.Result) float64) (out []float64) {
	for _, r := range row {
		out = append(out, of(r))
	}
	return out
}

func formatSweep(points []*sweepPoint, seeds int) string {
	var b strings.Builder
	factor := ""
	for _, p := range points {
		if p.factor != factor {
			factor = p.factor
			fmt.Fprintf(&b, "\n%s, mean of %d days (± standard deviation of roles):\n\n| level | roles | best fixed | fixed at start | threshold | "+
				"worst 10 s of roles | of best fixed | changes | lost to changing |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n", factor, seeds)
		}
		value := func(r fluidmodel.Result) float64 { return r.Value }
		mean, dev := stat.MeanStdDev(values(p.arms["roles"], value), nil)
		if seeds < 2 {
			dev = 0
		}
		m := func(arm string, of func(fluidmodel.Result) float64) float64 {
			return stat.Mean(values(p.arms[arm],
				of), nil)
		}
		fmt.Fprintf(&b, "| %s | %.3f ± %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %.0f | %.3f |\n", p.level,
			mean, dev, m("best fixed", value),
			m("fixed at start", value), m("threshold", value), m("roles",
				func(r fluidmodel.Result) float64 { return r.WorstWindow }),
			m("best fixed", func(r fluidmodel.Result) float64 { return r.WorstWindow }),
			m("roles", func(r fluidmodel.Result) float64 { return float64(r.Changes) }), m("roles",
				func(r fluidmodel.Result) float64 { return r.LostEngineTime }))
	}
	return b.String()
}

func plotFactor(out string, points []*sweepPoint) error {
	p := plot.New()
	p.Title.Text = "value in time (simulated)"
	p.X.Label.Text, p.Y.Label.Text = points[0].factor, "share of value"
	p.Legend.Top = false
	var rows []any
	for _, arm := range armNames {
		var xy plotter.XYs
		for _, x := range points {
			xy = append(xy, plotter.XY{X: x.value, Y: stat.Mean(values(x.arms[arm],
				func(r fluidmodel.Result) float64 { return r.Value }), nil)})
		}
		rows = append(rows, arm, xy)
	}
	if points[len(points)-1].value > 20*max(points[0].value, 0.01) && points[0].value > 0 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if err := plotutil.AddLinePoints(p, rows...); err != nil {
		return err
	}
	name := strings.NewReplacer(" ", "-", ",", "").Replace("roles-" + points[0].factor + ".svg")
	return p.Save(15*vg.Centimeter, 9*vg.Centimeter, filepath.Join(out, name))
}
