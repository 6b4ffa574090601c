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

// modelcheckOptions are the flags of modelcheck.
type modelcheckOptions struct {
	workers, states, walks int
	length                 time.Duration
	seed                   uint64
	snapshots, out         string
	asJSON                 bool
}

func modelcheckCommand() *cobra.Command {
	var o modelcheckOptions
	command := &cobra.Command{
		Use:     "modelcheck [WORLD ...]",
		Aliases: []string{"prove"},
		Short:   "Explore the attempt state machine for a violated property",
		Long: "Without a world, all small ones are explored completely and the large ones by random walks. " +
			"`modelcheck list` names them.",
		RunE: func(c *cobra.Command, args []string) error { return runModelcheck(c, o, args) },
	}
	flags := command.Flags()
	flags.IntVar(&o.workers, "workers", runtime.NumCPU(), "states expanded at once; the verdict does not depend on it")
	flags.IntVar(&o.states, "states", 2_000_000, "states of one world at most: about 200 bytes each")
	flags.DurationVar(&o.length, "for", 10*time.Minute, "how long at most")
	flags.IntVar(&o.walks, "walks", 2000, "random walks through each large world")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of the walks")
	flags.StringVar(&o.snapshots, "snapshots", "", "folder of snapshots of unfinished explorations, to resume from")
	flags.StringVar(&o.out, "out", "", "folder to write counterexamples to")
	flags.BoolVar(&o.asJSON, "json", false, "print JSON")
	command.AddCommand(replayCommand(), worldsCommand())
	return command
}

func worldsCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Name worlds and properties", Args: cobra.NoArgs,
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

// unknownWorldError is a name that no world has.
type unknownWorldError string

func (e unknownWorldError) Error() string {
	return fmt.Sprintf("there is no world %q; see sandcourse modelcheck list", string(e))
}

// selectWorlds finds worlds by their names; without names it is all of them.
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

// exploration is what modelcheck found in all worlds.
type exploration struct {
	worlds   []modelcheck.World
	results  []modelcheck.Result
	cover    modelcheck.Coverage
	violated bool
}

func runModelcheck(c *cobra.Command, o modelcheckOptions, names []string) error {
	worlds, err := selectWorlds(names)
	if err != nil {
		return err
	}
	found, err := exploreWorlds(worlds, o, c.OutOrStdout(), c.ErrOrStderr())
	if err != nil {
		return err
	}
	if o.asJSON {
		return found.printJSON(c.OutOrStdout())
	}
	found.printTable(c.OutOrStdout())
	found.printCover(c.OutOrStdout())
	if found.violated {
		return exitFailed
	}
	return nil
}

// exploreWorlds explores one world after the other, within the options' time for all. It prints counterexamples as they
// are found.
func exploreWorlds(worlds []modelcheck.World, o modelcheckOptions, out, progress io.Writer) (*exploration, error) {
	deadline := time.Now().Add(o.length)
	bounds := modelcheck.Limits{Workers: o.workers, MaxStates: o.states,
		Stop: func() bool { return time.Now().After(deadline) }}
	found := &exploration{worlds: worlds}
	for _, w := range worlds {
		startedAt := time.Now()
		r, err := exploreWorld(w, bounds, o, progress)
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(progress, "%s: %.1f s, %.0f states a second\n", w.Name, time.Since(startedAt).Seconds(),
			float64(r.States)/time.Since(startedAt).Seconds())
		found.cover.Add(r.Coverage)
		found.results = append(found.results, r)
		if len(r.Violations) == 0 {
			continue
		}
		found.violated = true
		if err := saveCounterexample(o.out, r, out); err != nil {
			return nil, err
		}
	}
	return found, nil
}

// exploreWorld explores a small world, resuming from its snapshot if there is one, and walks through a large one.
func exploreWorld(w modelcheck.World, bounds modelcheck.Limits, o modelcheckOptions, progress io.Writer) (modelcheck.Result, error) {
	if w.Crowd {
		return modelcheck.SimulateCrowd(w, o.seed, bounds.Stop), nil
	}
	for _, large := range modelcheck.LargeWorlds {
		if large.Name == w.Name {
			return modelcheck.RandomWalks(w, o.seed, o.walks, bounds.Workers, bounds.Stop), nil
		}
	}
	snapshot, err := loadSnapshot(o.snapshots, w)
	if err != nil {
		return modelcheck.Result{}, err
	}
	startedAt, before := time.Now(), snapshot.Result.States
	r := snapshot.Explore(bounds, func(r modelcheck.Result, frontier int) {
		rate := float64(r.States-before) / time.Since(startedAt).Seconds()
		fmt.Fprintf(progress, "%s: depth %d, %d states, %d to open next, about %.0f s for them\n", w.Name, r.Depth, r.States,
			frontier, float64(frontier)/max(rate, 1))
	})
	if r.Complete || r.Path != nil {
		removeSnapshot(o.snapshots, w)
		return r, nil
	}
	return r, saveSnapshot(o.snapshots, w, snapshot)
}

// printJSON prints what was found for a program to read.
func (e *exploration) printJSON(out io.Writer) error {
	return json.NewEncoder(out).Encode(struct {
		Results    []modelcheck.Result `json:"results"`
		NeverTaken []string            `json:"rows never taken"`
	}{e.results, e.cover.Unfired()})
}

// printTable prints a line for each world.
func (e *exploration) printTable(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "world\tstates\ttransitions\tmerged\tends\tdepth\tverdict")
	for _, r := range e.results {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.World.Name, r.States, r.Transitions, r.Merged, r.Ends, r.Depth,
			verdict(r))
	}
	table.Flush()
}

func verdict(r modelcheck.Result) string {
	switch {
	case len(r.Violations) > 0:
		return "BROKEN " + strings.Join(r.Violations, "; ")
	case r.World.Crowd && r.Complete:
		return fmt.Sprintf("walked: holds, a cold engine had %d sends in a window at most", r.MaxColdAttempts)
	case !r.Complete:
		return "in part: no break found"
	}
	return "whole: all properties hold"
}

// printCover prints how many transitions of the state machines fired, and names those that did not.
func (e *exploration) printCover(out io.Writer) {
	taken, of := e.cover.Fired()
	fmt.Fprintf(out, "rows of the tables taken: %d of %d\n", taken, of)
	for _, name := range e.cover.Unfired() {
		if len(e.worlds) > 1 || strings.HasPrefix(name, "roles") == e.worlds[0].RoleChanges { // those that the world could take
			fmt.Fprintln(out, "  never taken:", name)
		}
	}
}
