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

// sweepFactor is a parameter of the modelled scenario with the levels that the sweep tries.
type sweepFactor struct {
	name   string
	levels []float64
	apply  func(*fluidmodel.Scenario, float64)
}

var sweepFactors = []sweepFactor{
	{"period of the swing, s", []float64{10, 30, 60, 120, 240, 600, 1200},
		func(s *fluidmodel.Scenario, level float64) { s.Period = seconds(level) }},
	{"depth of the swing", []float64{0.1, 0.3, 0.5, 0.8, 1},
		func(s *fluidmodel.Scenario, level float64) { s.SkewDepth = level }},
	{"reload time, s", []float64{1, 5, 15, 40, 90},
		func(s *fluidmodel.Scenario, level float64) { s.ReloadTime = seconds(level) }},
	{"lag of reports, s", []float64{0, 1, 3, 8},
		func(s *fluidmodel.Scenario, level float64) { s.ReportDelay = seconds(level) }},
	{"engines", []float64{8, 20, 40, 110, 300},
		func(s *fluidmodel.Scenario, level float64) {
			n := int(level)
			s.Engines, s.PrefillEngines, s.Cells = n, n/2, max(1, n/10)
		}},
	{"load, of the best split", []float64{0.5, 0.7, 0.85, 1, 1.2},
		func(s *fluidmodel.Scenario, level float64) { s.Utilization = level }},
	{"reports missing, share", []float64{0, 0.33, 0.6},
		func(s *fluidmodel.Scenario, level float64) { s.MissingReports = level }},
}

func seconds(s float64) time.Duration { return time.Duration(s) * time.Second }

// sweepBaseline is the scenario in which each point changes one factor.
var sweepBaseline = fluidmodel.Scenario{Engines: 40, PrefillEngines: 20, Cells: 4, Edges: 6, Duration: 20 * time.Minute,
	Period: 10 * time.Minute, SkewDepth: 0.8, SquareWave: true,
	Utilization: 0.85, ReloadTime: 5 * time.Second, WarmUp: 10 * time.Second, DrainTime: 4 * time.Second}

// sweepArm is a way to assign roles.
type sweepArm string

// The arms of the sweep.
const (
	armAdaptive  sweepArm = "roles"
	armBestFixed sweepArm = "best fixed"
	armFixed     sweepArm = "fixed at start"
	armThreshold sweepArm = "threshold"
)

var sweepArms = []sweepArm{armAdaptive, armBestFixed, armFixed, armThreshold}

// sweepGroup holds all points of one factor.
type sweepGroup struct {
	factor string
	points []*sweepPoint
}

// sweepPoint is one level of a factor with the results of each arm by seed.
type sweepPoint struct {
	level   float64
	results map[sweepArm][]fluidmodel.Result
}

// sweepRun is the scenario of a point for one seed.
type sweepRun struct {
	point    *sweepPoint
	seed     int
	scenario fluidmodel.Scenario
}

func sweepCommand() *cobra.Command {
	var out string
	var seeds int
	command := &cobra.Command{
		Use:   "sweep",
		Short: "Compare role changes with fixed roles under shifting load in a fluid model",
		Args:  cobra.NoArgs,
		Long:  "Runs the production role assignment, fixed roles and a threshold rule in a fluid model of a fleet. Writes a table and charts.",
		RunE:  func(c *cobra.Command, _ []string) error { return runSweep(out, seeds, c.OutOrStdout()) },
	}
	command.Flags().StringVar(&out, "out", "sweep", "folder to write the table and the charts to")
	command.Flags().IntVar(&seeds, "seeds", 3, "number of simulated runs of each arm per level")
	return command
}

// runSweep runs all points on all seeds, prints the table, and writes the table and a chart for each factor.
func runSweep(folder string, seeds int, out io.Writer) error {
	groups, runs := planSweep(seeds)
	runParallel(len(runs), func(i int) { runs[i].run() })
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

// planSweep returns the points by factor and the runs of all points on all seeds.
func planSweep(seeds int) (groups []sweepGroup, runs []sweepRun) {
	for _, factor := range sweepFactors {
		group := sweepGroup{factor: factor.name}
		for _, level := range factor.levels {
			point := &sweepPoint{level: level, results: map[sweepArm][]fluidmodel.Result{}}
			for _, arm := range sweepArms {
				point.results[arm] = make([]fluidmodel.Result, seeds)
			}
			for seed := range seeds {
				scenario := sweepBaseline
				factor.apply(&scenario, level)
				scenario.Seed = uint64(seed + 1)
				runs = append(runs, sweepRun{point, seed, scenario})
			}
			group.points = append(group.points, point)
		}
		groups = append(groups, group)
	}
	return groups, runs
}

// run simulates all arms. It is deterministic and writes only the results of its own seed, so runs can be concurrent.
func (r sweepRun) run() {
	arms := r.point.results
	arms[armAdaptive][r.seed] = fluidmodel.Run(r.scenario, fluidmodel.Adaptive)
	arms[armBestFixed][r.seed], _ = fluidmodel.BestFixedSplit(r.scenario)
	arms[armFixed][r.seed] = fluidmodel.Run(r.scenario, fluidmodel.FixedSplit)
	arms[armThreshold][r.seed] = fluidmodel.Run(r.scenario, fluidmodel.Threshold)
}

// runParallel runs n independent tasks, at most one per core at a time.
func runParallel(n int, task func(i int)) {
	var running sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range n {
		running.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			task(i)
		})
	}
	running.Wait()
}
