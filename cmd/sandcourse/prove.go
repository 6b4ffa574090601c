package main

import (
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sandcourse/internal/modelcheck"
	"sandcourse/internal/replay"
)

// counterexample is a counterexample as a file keeps it: enough to play it again.
type counterexample struct {
	World  modelcheck.World `json:"world"`
	Path   modelcheck.Path  `json:"path"`
	Broken []string         `json:"broken"`
	Story  []string         `json:"story"`
}

func modelcheckCommand() *cobra.Command {
	var workers, states, walks int
	var length time.Duration
	var seed uint64
	var snapshots, out string
	var asJSON bool
	c := &cobra.Command{Use: "prove [WORLD ...]", Short: "Explore the attempt machine for a broken property",
		Long: "Without a world, all small ones are explored whole and the large ones walked at random. `prove list` names them.",
		RunE: func(c *cobra.Command, args []string) error {
			var worlds []modelcheck.World
			for _, name := range args {
				w, ok := modelcheck.FindWorld(name)
				if !ok {
					return fmt.Errorf("there is no world %q; see sandcourse prove list", name)
				}
				worlds = append(worlds, w)
			}
			if len(args) == 0 {
				worlds = slices.Concat(modelcheck.Worlds, modelcheck.LargeWorlds, modelcheck.CrowdWorlds)
			}
			end := time.Now().Add(length)
			until := func() bool { return time.Now().After(end) }
			var rows []modelcheck.Result
			var took modelcheck.Coverage
			bad := 0
			for _, w := range worlds {
				begun := time.Now()
				r, err := exploreWorld(w, modelcheck.Limits{Workers: workers, MaxStates: states, Stop: until}, seed, walks, snapshots,
					c.ErrOrStderr())
				if err != nil {
					return err
				}
				fmt.Fprintf(c.ErrOrStderr(), "%s: %.1f s, %.0f states a second\n", w.Name, time.Since(begun).Seconds(),
					float64(r.States)/time.Since(begun).Seconds())
				took.Add(r.Coverage)
				rows = append(rows, r)
				if len(r.Violations) > 0 {
					bad++
					if err := saveCounterexample(out, r, c.OutOrStdout()); err != nil {
						return err
					}
				}
			}
			if asJSON {
				return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"results": rows, "rows never taken": took.Unfired()})
			}
			t := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "world\tstates\ttransitions\tmerged\tends\tdepth\tverdict")
			for _, r := range rows {
				verdict := "whole: all properties hold"
				if !r.Complete {
					verdict = "in part: no break found"
				}
				if w := r.World; w.Crowd && r.Complete {
					verdict = fmt.Sprintf("walked: holds, a cold engine had %d sends in a window at most", r.MaxColdAttempts)
				}
				if len(r.Violations) > 0 {
					verdict = "BROKEN " + strings.Join(r.Violations, "; ")
				}
				fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\n", r.World.Name, r.States, r.Transitions, r.Merged, r.Ends, r.Depth, verdict)
			}
			t.Flush()
			taken, of := took.Fired()
			fmt.Fprintf(c.OutOrStdout(), "rows of the tables taken: %d of %d\n", taken, of)
			for _, name := range took.Unfired() {
				if len(worlds) > 1 || strings.HasPrefix(name, "roles") == worlds[0].RoleChanges { // those that the world could take
					fmt.Fprintln(c.OutOrStdout(), "  never taken:", name)
				}
			}
			if bad > 0 {
				return exitStatus(1)
			}
			return nil
		}}
	f := c.Flags()
	f.IntVar(&workers, "workers", runtime.NumCPU(), "states opened at once; the verdict does not hang on it")
	f.IntVar(&states, "states", 2_000_000, "states of one world at most: about 200 bytes each")
	f.DurationVar(&length, "for", 10*time.Minute, "how long at most")
	f.IntVar(&walks, "walks", 2000, "random walks through each large world")
	f.Uint64Var(&seed, "seed", 1, "seed of the walks")
	f.StringVar(&snapshots, "snapshots", "", "folder to keep unfinished explorations in, and to go on from")
	f.StringVar(&out, "out", "", "folder to write counterexamples to")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	var sockets bool
	replay := &cobra.Command{Use: "replay FILE", Short: "Play a counterexample again and tell its story", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			var f counterexample
			if err := json.Unmarshal(text, &f); err != nil {
				return fmt.Errorf("%s is no counterexample: %w", args[0], err)
			}
			lines, broken := modelcheck.Describe(f.World, f.Path)
			fmt.Fprintln(c.OutOrStdout(), strings.Join(lines, "\n"))
			if sockets {
				got, want, err := replay.Play(f.World, f.Path)
				if err != nil {
					return fmt.Errorf("on sockets: %w", err)
				}
				for i, call := range got {
					fmt.Fprintf(c.OutOrStdout(), "on sockets client %d has %s, %d final answers; the explorer's had %q\n", i, call.Outcome,
						call.OutcomeCount, want[i])
				}
			}
			if len(broken) > 0 {
				return exitStatus(1)
			}
			fmt.Fprintln(c.OutOrStdout(), "nothing breaks on this text")
			return nil
		}}
	replay.Flags().BoolVar(&sockets, "sockets", false, "also through a real edge and scripted engines on loopback")
	c.AddCommand(replay, &cobra.Command{Use: "list", Short: "Name worlds and properties", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			for _, w := range slices.Concat(modelcheck.Worlds, modelcheck.LargeWorlds, modelcheck.CrowdWorlds) {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", w.Name, w.About)
			}
			for _, p := range modelcheck.Properties {
				fmt.Fprintf(c.OutOrStdout(), "%-14s %s\n", p.Name, p.Text)
			}
		}})
	return c
}

func exploreWorld(w modelcheck.World, b modelcheck.Limits, seed uint64, walks int, snapshots string, say io.Writer) (modelcheck.Result, error) {
	if w.Crowd {
		return modelcheck.SimulateCrowd(w, seed, b.Stop), nil
	}
	for _, l := range modelcheck.LargeWorlds {
		if l.Name == w.Name {
			return modelcheck.RandomWalks(w, seed, walks, b.Workers, b.Stop), nil
		}
	}
	snap := modelcheck.NewSnapshot(w)
	path := filepath.Join(snapshots, w.Name+".prove")
	if snapshots != "" {
		f, err := os.Open(path)
		if err == nil {
			err = gob.NewDecoder(f).Decode(snap)
			f.Close()
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return modelcheck.Result{}, fmt.Errorf("snapshot %s: %w; remove it to begin anew", path, err)
		}
	}
	begun, before := time.Now(), snap.Result.States
	r := snap.Explore(b, func(r modelcheck.Result, front int) {
		rate := float64(r.States-before) / time.Since(begun).Seconds()
		fmt.Fprintf(say, "%s: depth %d, %d states, %d to open next, about %.0f s for them\n", w.Name, r.Depth, r.States,
			front, float64(front)/max(rate, 1))
	})
	if snapshots == "" || r.Complete || r.Path != nil {
		if snapshots != "" {
			os.Remove(path)
		}
		return r, nil
	}
	f, err := os.CreateTemp(snapshots, ".prove-*")
	if err != nil {
		return r, err
	}
	defer os.Remove(f.Name())
	err = gob.NewEncoder(f).Encode(snap)
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	return r, err
}

func saveCounterexample(dir string, r modelcheck.Result, say io.Writer) error {
	lines, broken := modelcheck.Describe(r.World, r.Path)
	if r.World.Crowd { // a walk of its own: the seed plays it again
		lines, broken = nil, r.Violations
	}
	fmt.Fprintln(say, strings.Join(lines, "\n"))
	if dir == "" {
		return nil
	}
	text, err := json.MarshalIndent(counterexample{r.World, r.Path, broken, lines}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.World.Name+".json"), append(text, '\n'), 0o644)
}
