package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"sandcourse/internal/modelcheck"
	"sandcourse/internal/replay"
)

// counterexample is the file format of a counterexample, with all that is needed to replay it.
type counterexample struct {
	World      modelcheck.World `json:"world"`
	Path       modelcheck.Path  `json:"path"`
	Violations []string         `json:"broken"`
	Steps      []string         `json:"story"`
}

// saveCounterexample prints the steps that lead to a violated property. If a folder is given, it also writes a
// counterexample file there.
func saveCounterexample(folder string, r modelcheck.Result, out io.Writer) error {
	steps, violations := modelcheck.Describe(r.World, r.Path)
	if r.World.Crowd { // A crowd has no path: the seed reproduces the simulation.
		steps, violations = nil, r.Violations
	}
	fmt.Fprintln(out, strings.Join(steps, "\n"))
	if folder == "" {
		return nil
	}
	text, err := json.MarshalIndent(counterexample{r.World, r.Path, violations, steps}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, r.World.Name+".json"), append(text, '\n'), 0o644)
}

func readCounterexample(file string) (example counterexample, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return example, err
	}
	if err := json.Unmarshal(text, &example); err != nil {
		return example, fmt.Errorf("%s is not a counterexample file: %w", file, err)
	}
	return example, nil
}

func replayCommand() *cobra.Command {
	var sockets bool
	command := &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a counterexample and print its steps",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			example, err := readCounterexample(args[0])
			if err != nil {
				return err
			}
			return runReplay(example, sockets, c.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&sockets, "sockets", false, "also replay through a real edge and scripted engines on loopback")
	return command
}

func runReplay(example counterexample, sockets bool, out io.Writer) error {
	steps, violations := modelcheck.Describe(example.World, example.Path)
	fmt.Fprintln(out, strings.Join(steps, "\n"))
	if sockets {
		got, want, err := replay.Play(example.World, example.Path)
		if err != nil {
			return fmt.Errorf("replay on sockets: %w", err)
		}
		for i, call := range got {
			fmt.Fprintf(out, "replay on sockets: client %d: %s, %d final answers; the model checker predicted %q\n",
				i, call.Outcome, call.OutcomeCount, want[i])
		}
	}
	if len(violations) > 0 {
		return exitFailed
	}
	fmt.Fprintln(out, "no property is violated in this version of the code")
	return nil
}

// snapshotPath returns the path of the snapshot of an unfinished exploration.
func snapshotPath(folder string, w modelcheck.World) string {
	return filepath.Join(folder, w.Name+".prove")
}

// loadSnapshot returns the unfinished exploration of a world, or a new one if none was saved.
func loadSnapshot(folder string, w modelcheck.World) (*modelcheck.Snapshot, error) {
	if folder == "" {
		return modelcheck.NewSnapshot(w), nil
	}
	path := snapshotPath(folder, w)
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return modelcheck.NewSnapshot(w), nil
	}
	var snapshot *modelcheck.Snapshot
	if err == nil {
		snapshot, err = modelcheck.DecodeSnapshot(f)
		f.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("snapshot %s: %w; remove it to start over", path, err)
	}
	return snapshot, nil
}

// saveSnapshot saves an unfinished exploration, replacing any older snapshot of the same world.
func saveSnapshot(folder string, w modelcheck.World, snapshot *modelcheck.Snapshot) error {
	if folder == "" {
		return nil
	}
	f, err := os.CreateTemp(folder, ".prove-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if err := errors.Join(snapshot.Encode(f), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), snapshotPath(folder, w))
}

// removeSnapshot removes the snapshot of a finished exploration.
func removeSnapshot(folder string, w modelcheck.World) {
	if folder != "" {
		os.Remove(snapshotPath(folder, w))
	}
}
