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

// counterexample is one as a file keeps it: enough to replay it.
type counterexample struct {
	World  modelcheck.World `json:"world"`
	Path   modelcheck.Path  `json:"path"`
	Broken []string         `json:"broken"`
	Story  []string         `json:"story"`
}

// saveCounterexample prints the path to a violated property, and writes it to a folder if one is given.
func saveCounterexample(folder string, r modelcheck.Result, out io.Writer) error {
	lines, broken := modelcheck.Describe(r.World, r.Path)
	if r.World.Crowd { // a walk of its own: its seed replays it
		lines, broken = nil, r.Violations
	}
	fmt.Fprintln(out, strings.Join(lines, "\n"))
	if folder == "" {
		return nil
	}
	text, err := json.MarshalIndent(counterexample{r.World, r.Path, broken, lines}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, r.World.Name+".json"), append(text, '\n'), 0o644)
}

func readCounterexample(file string) (f counterexample, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return f, err
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, fmt.Errorf("%s is no counterexample: %w", file, err)
	}
	return f, nil
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
	command.Flags().BoolVar(&sockets, "sockets", false, "also through a real edge and scripted engines on loopback")
	return command
}

func runReplay(example counterexample, sockets bool, out io.Writer) error {
	lines, broken := modelcheck.Describe(example.World, example.Path)
	fmt.Fprintln(out, strings.Join(lines, "\n"))
	if sockets {
		got, want, err := replay.Play(example.World, example.Path)
		if err != nil {
			return fmt.Errorf("on sockets: %w", err)
		}
		for i, call := range got {
			fmt.Fprintf(out, "on sockets client %d has %s, %d final answers; the explorer's had %q\n", i, call.Outcome, call.OutcomeCount, want[i])
		}
	}
	if len(broken) > 0 {
		return exitFailed
	}
	fmt.Fprintln(out, "nothing breaks on this text")
	return nil
}

// snapshotPath is where an unfinished exploration of a world is kept.
func snapshotPath(folder string, w modelcheck.World) string {
	return filepath.Join(folder, w.Name+".prove")
}

// loadSnapshot is the unfinished exploration of a world, or a new one where none is kept.
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

// saveSnapshot keeps an unfinished exploration, in place of an older one.
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

// removeSnapshot drops what was kept of an exploration that has ended.
func removeSnapshot(folder string, w modelcheck.World) {
	if folder != "" {
		os.Remove(snapshotPath(folder, w))
	}
}
