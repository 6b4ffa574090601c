package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sandcourse/internal/fluidmodel"
)

// metricFunc returns one metric of a result.
type metricFunc func(fluidmodel.Result) float64

func valueInTime(r fluidmodel.Result) float64    { return r.Value }
func worstWindow(r fluidmodel.Result) float64    { return r.WorstWindow }
func roleChanges(r fluidmodel.Result) float64    { return float64(r.Changes) }
func lostEngineTime(r fluidmodel.Result) float64 { return r.LostEngineTime }

// values returns a metric of an arm for each seed.
func (p *sweepPoint) values(arm sweepArm, metric metricFunc) (out []float64) {
	for _, r := range p.results[arm] {
		out = append(out, metric(r))
	}
	return out
}

func (p *sweepPoint) mean(arm sweepArm, metric metricFunc) float64 {
	return stat.Mean(p.values(arm, metric), nil)
}

const sweepHeader = "\n%s: share of value completed in time, mean of %d runs (± standard deviation of roles):\n\n| level | roles | best fixed | fixed at start | threshold | " +
	"worst 10 s of roles | worst 10 s of best fixed | role changes | engine time lost to changes |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// formatSweep returns a table for each factor.
func formatSweep(groups []sweepGroup, seeds int) string {
	var b strings.Builder
	for _, group := range groups {
		fmt.Fprintf(&b, sweepHeader, group.factor, seeds)
		for _, p := range group.points {
			mean, deviation := stat.MeanStdDev(p.values(armAdaptive, valueInTime), nil)
			if seeds < 2 {
				deviation = 0
			}
			fmt.Fprintf(&b, "| %s | %.3f ± %.3f | %.3f | %.3f | %.3f | %.2f | %.2f | %.0f | %.3f |\n", fmt.Sprint(p.level),
				mean, deviation,
				p.mean(armBestFixed, valueInTime), p.mean(armFixed, valueInTime), p.mean(armThreshold, valueInTime),
				p.mean(armAdaptive, worstWindow), p.mean(armBestFixed, worstWindow),
				p.mean(armAdaptive, roleChanges), p.mean(armAdaptive, lostEngineTime))
		}
	}
	return b.String()
}

// logScaleRatio is the ratio of the last level to the first above which a chart has a logarithmic scale.
const logScaleRatio = 20

// plotFactor writes a chart of the arms over the levels of a factor.
func plotFactor(folder string, group sweepGroup) error {
	p := plot.New()
	p.Title.Text = "share of value completed in time (simulated)"
	p.X.Label.Text, p.Y.Label.Text = group.factor, "share of value"
	p.Legend.Top = false
	var lines []any
	for _, arm := range sweepArms {
		var points plotter.XYs
		for _, point := range group.points {
			points = append(points, plotter.XY{X: point.level, Y: point.mean(arm, valueInTime)})
		}
		lines = append(lines, string(arm), points)
	}
	first, last := group.points[0].level, group.points[len(group.points)-1].level
	if first > 0 && last > logScaleRatio*max(first, 0.01) {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	name := strings.NewReplacer(" ", "-", ",", "").Replace("roles-" + group.factor + ".svg")
	return p.Save(15*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, name))
}
