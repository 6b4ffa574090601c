package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/fluidmodel"
)

// sweepFactor is a property of the modelled day, and the levels at which the sweep looks.
type sweepFactor struct {
	name   string
	levels []float64
	apply  func(*fluidmodel.Scenario, float64)
}

var sweepFactors = []sweepFactor{
	{"period of the swing, s", []float64{10, 30, 60, 120, 240, 600, 1200},
		func(d *fluidmodel.Scenario, level float64) { d.Period = seconds(level) }},
	{"depth of the swing", []float64{0.1, 0.3, 0.5, 0.8, 1},
		func(d *fluidmodel.Scenario, level float64) { d.SkewDepth = level }},
	{"reload time, s", []float64{1, 5, 15, 40, 90},
		func(d *fluidmodel.Scenario, level float64) { d.ReloadTime = seconds(level) }},
	{"lag of reports, s", []float64{0, 1, 3, 8},
		func(d *fluidmodel.Scenario, level float64) { d.ReportDelay = seconds(level) }},
	{"engines", []float64{8, 20, 40, 110, 300},
		func(d *fluidmodel.Scenario, level float64) {
			n := int(level)
			d.Engines, d.PrefillEngines, d.Cells = n, n/2, max(1, n/10)
		}},
	{"load, of the best split", []float64{0.5, 0.7, 0.85, 1, 1.2},
		func(d *fluidmodel.Scenario, level float64) { d.Utilization = level }},
	{"reports missing, share", []float64{0, 0.33, 0.6},
		func(d *fluidmodel.Scenario, level float64) { d.MissingReports = level }},
}

func seconds(s float64) time.Duration { return time.Duration(s) * time.Second }

// sweepBase is the day that each point changes in one factor.
var sweepBase = fluidmodel.Scenario{Engines: 40, PrefillEngines: 20, Cells: 4, Edges: 6, Duration: 20 * time.Minute,
	Period: 10 * time.Minute, SkewDepth: 0.8, SquareWave: true,
	Utilization: 0.85, ReloadTime: 5 * time.Second, WarmUp: 10 * time.Second, DrainTime: 4 * time.Second}

// sweepArm is a way to assign roles.
type sweepArm string

// The arms of the sweep.
const (
	armRoles     sweepArm = "roles"
	armBestFixed sweepArm = "best fixed"
	armFixed     sweepArm = "fixed at start"
	armThreshold sweepArm = "threshold"
)

var sweepArms = []sweepArm{armRoles, armBestFixed, armFixed, armThreshold}

// sweepGroup is all points of one factor.
type sweepGroup struct {
	factor string
	points []*sweepPoint
}

// sweepPoint is one level of a factor, with each arm's results on the seeds.
type sweepPoint struct {
	level float64
	arms  map[sweepArm][]fluidmodel.Result
}

// sweepRun is a point's day on one seed.
type sweepRun struct {
	point *sweepPoint
	seed  int
	day   fluidmodel.Scenario
}

func sweepCommand() *cobra.Command {
	var out string
	var seeds int
	command := &cobra.Command{
		Use:   "sweep",
		Short: "Run days of shifting load in modelled time: where does changing roles pay?",
		Args:  cobra.NoArgs,
		Long:  "The real role assignment on a fluid model of a fleet, against fixed roles and a plain threshold. Writes a table and charts.",
		RunE:  func(c *cobra.Command, _ []string) error { return runSweep(out, seeds, c.OutOrStdout()) },
	}
	command.Flags().StringVar(&out, "out", "sweep", "folder for the table and the charts")
	command.Flags().IntVar(&seeds, "seeds", 3, "days of each setting")
	return command
}

// runSweep runs all points on all seeds, prints the table and writes it with a chart for each factor.
func runSweep(folder string, seeds int, out io.Writer) error {
	groups, runs := planSweep(seeds)
	onAllCores(len(runs), func(i int) { runs[i].run() })
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	table := formatSweep(groups, seeds)
	if err := os.WriteFile(filepath.Join(folder, "roles-sweep.md"), []byte(table), 0o644); err != nil {
		return err
	}
	for _, group := range groups {
		if err := plotFactor(folder, group); err != nil {
			return err
		}
	}
	fmt.Fprint(out, table)
	return nil
}

// planSweep lists the points by factor, and their days on all seeds.
func planSweep(seeds int) (groups []sweepGroup, runs []sweepRun) {
	for _, factor := range sweepFactors {
		group := sweepGroup{factor: factor.name}
		for _, level := range factor.levels {
			point := &sweepPoint{level: level, arms: map[sweepArm][]fluidmodel.Result{}}
			for _, arm := range sweepArms {
				point.arms[arm] = make([]fluidmodel.Result, seeds)
			}
			for seed := range seeds {
				day := sweepBase
				factor.apply(&day, level)
				day.Seed = uint64(seed + 1)
				runs = append(runs, sweepRun{point, seed, day})
			}
			group.points = append(group.points, point)
		}
		groups = append(groups, group)
	}
	return groups, runs
}

// run runs all arms. It is deterministic, and writes only what belongs to its seed.
func (r sweepRun) run() {
	arms := r.point.arms
	arms[armRoles][r.seed] = fluidmodel.Run(r.day, fluidmodel.Adaptive)
	arms[armBestFixed][r.seed], _ = fluidmodel.BestFixedSplit(r.day)
	arms[armFixed][r.seed] = fluidmodel.Run(r.day, fluidmodel.FixedSplit)
	arms[armThreshold][r.seed] = fluidmodel.Run(r.day, fluidmodel.Threshold)
}

// onAllCores does n independent things, as many at once as there are cores.
func onAllCores(n int, do func(i int)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			do(i)
		})
	}
	all.Wait()
}
