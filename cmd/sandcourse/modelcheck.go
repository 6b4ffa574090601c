package main

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/modelcheck"
)

// modelcheckOptions holds the flags of modelcheck.
type modelcheckOptions struct {
	workers, states, walks int
	timeLimit              time.Duration
	seed                   uint64
	snapshots, out         string
	asJSON                 bool
}

func modelcheckCommand() *cobra.Command {
	var o modelcheckOptions
	command := &cobra.Command{
		Use:     "modelcheck [WORLD ...]",
		Aliases: []string{"prove"},
		Short:   "Check the properties of routing and role changes with a model checker",
		Long: "A world is a small system to explore: requests, engines and faults. Without arguments, the small worlds are explored " +
			"completely and the large ones by random walks. `modelcheck list` prints the names.",
		RunE: func(c *cobra.Command, args []string) error { return runModelcheck(c, o, args) },
	}
	flags := command.Flags()
	flags.IntVar(&o.workers, "workers", runtime.NumCPU(), "number of states to expand in parallel; does not affect the verdict")
	flags.IntVar(&o.states, "states", 2_000_000, "maximum number of states per world; each takes about 200 bytes")
	flags.DurationVar(&o.timeLimit, "for", 10*time.Minute, "time limit for all worlds together")
	flags.IntVar(&o.walks, "walks", 2000, "number of random walks per large world")
	flags.Uint64Var(&o.seed, "seed", 1, "random seed of the walks and simulations")
	flags.StringVar(&o.snapshots, "snapshots", "", "folder to save unfinished explorations in and to resume them from")
	flags.StringVar(&o.out, "out", "", "folder to write counterexamples to")
	flags.BoolVar(&o.asJSON, "json", false, "print the results as JSON")
	command.AddCommand(replayCommand(), listWorldsCommand())
	return command
}

func listWorldsCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List worlds and properties", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			for _, w := range allWorlds() {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", w.Name, w.About)
			}
			for _, p := range modelcheck.Properties {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", p.Name, p.Text)
			}
		}}
}

func allWorlds() []modelcheck.World {
	return slices.Concat(modelcheck.Worlds, modelcheck.LargeWorlds, modelcheck.CrowdWorlds)
}

// unknownWorldError reports a name that no world has; its value is the name.
type unknownWorldError string

func (e unknownWorldError) Error() string {
	return fmt.Sprintf("unknown world %q; run \"sandcourse modelcheck list\" for the names", string(e))
}

// selectWorlds returns the worlds with the given names, or all worlds if no name is given.
func selectWorlds(names []string) (worlds []modelcheck.World, err error) {
	if len(names) == 0 {
		return allWorlds(), nil
	}
	for _, name := range names {
		w, ok := modelcheck.FindWorld(name)
		if !ok {
			return nil, unknownWorldError(name)
		}
		worlds = append(worlds, w)
	}
	return worlds, nil
}

// exploration holds the results of all worlds.
type exploration struct {
	worlds   []modelcheck.World
	results  []modelcheck.Result
	coverage modelcheck.Coverage
	violated bool
}

func runModelcheck(c *cobra.Command, o modelcheckOptions, names []string) error {
	worlds, err := selectWorlds(names)
	if err != nil {
		return err
	}
	explored, err := exploreWorlds(worlds, o, c.OutOrStdout(), c.ErrOrStderr())
	if err != nil {
		return err
	}
	if o.asJSON {
		return explored.printJSON(c.OutOrStdout())
	}
	explored.printTable(c.OutOrStdout())
	explored.printCoverage(c.OutOrStdout())
	if explored.violated {
		return exitFailed
	}
	return nil
}

// exploreWorlds explores the worlds one after the other, within one time limit for all of them. It prints counterexamples
// as they are found.
func exploreWorlds(worlds []modelcheck.World, o modelcheckOptions, out, progress io.Writer) (*exploration, error) {
	deadline := time.Now().Add(o.timeLimit)
	limits := modelcheck.Limits{Workers: o.workers, MaxStates: o.states,
		Stop: func() bool { return time.Now().After(deadline) }}
	explored := &exploration{worlds: worlds}
	for _, w := range worlds {
		startedAt := time.Now()
		r, err := exploreWorld(w, limits, o, progress)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%s: %.1f s, %.0f states per second\n", w.Name, time.Since(startedAt).Seconds(),
			float64(r.States)/time.Since(startedAt).Seconds())
		explored.coverage.Add(r.Coverage)
		explored.results = append(explored.results, r)
		if len(r.Violations) == 0 {
			continue
		}
		explored.violated = true
		if err := saveCounterexample(o.out, r, out); err != nil {
			return nil, err
		}
	}
	return explored, nil
}

// exploreWorld explores a small world completely, resuming from a snapshot if one exists. For a large world it runs random
// walks, and for a crowd a simulation.
func exploreWorld(w modelcheck.World, limits modelcheck.Limits, o modelcheckOptions, progress io.Writer) (modelcheck.Result, error) {
	if w.Crowd {
		return modelcheck.SimulateCrowd(w, o.seed, limits.Stop), nil
	}
	for _, large := range modelcheck.LargeWorlds {
		if large.Name == w.Name {
			return modelcheck.RandomWalks(w, o.seed, o.walks, limits.Workers, limits.Stop), nil
		}
	}
	snapshot, err := loadSnapshot(o.snapshots, w)
	if err != nil {
		return modelcheck.Result{}, err
	}
	startedAt, statesBefore := time.Now(), snapshot.Result.States
	r := snapshot.Explore(limits, func(r modelcheck.Result, frontier int) {
		rate := float64(r.States-statesBefore) / time.Since(startedAt).Seconds()
		fmt.Fprintf(progress, "%s: depth %d, %d states; next depth: %d states, about %.0f s\n", w.Name, r.Depth, r.States,
			frontier, float64(frontier)/max(rate, 1))
	})
	if r.Complete || r.Path != nil {
		removeSnapshot(o.snapshots, w)
		return r, nil
	}
	return r, saveSnapshot(o.snapshots, w, snapshot)
}

// printJSON prints the results as JSON.
func (e *exploration) printJSON(out io.Writer) error {
	return json.NewEncoder(out).Encode(struct {
		Results    []modelcheck.Result `json:"results"`
		NeverTaken []string            `json:"rows never taken"`
	}{e.results, e.coverage.Unfired()})
}

// printTable prints a table with a line for each world.
func (e *exploration) printTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "world\tstates\ttransitions\tmerged\tterminal states\tdepth\tverdict")
	for _, r := range e.results {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.World.Name, r.States, r.Transitions, r.Merged, r.TerminalStates, r.Depth,
			verdict(r))
	}
	table.Flush()
}

func verdict(r modelcheck.Result) string {
	switch {
	case len(r.Violations) > 0:
		return "BROKEN " + strings.Join(r.Violations, "; ")
	case r.World.Crowd && r.Complete:
		return fmt.Sprintf("simulated: all properties hold, at most %d attempts per window at an engine that is warming up", r.MaxColdAttempts)
	case !r.Complete:
		return "partial: no violation found"
	}
	return "complete: all properties hold"
}

// printCoverage prints how many transitions of the state machines fired, and the names of those that did not.
func (e *exploration) printCoverage(out io.Writer) {
	fired, total := e.coverage.Fired()
	fmt.Fprintf(out, "transitions fired: %d of %d\n", fired, total)
	for _, name := range e.coverage.Unfired() {
		if len(e.worlds) > 1 || strings.HasPrefix(name, "roles") == e.worlds[0].RoleChanges { // skips other worlds' transitions
			fmt.Fprintln(out, "  never fired:", name)
		}
	}
}
