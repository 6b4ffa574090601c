package planner

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"sandcourse/internal/planner/assignment"
)

// runWithFullDisk calls run while this process cannot write to files, as on a full disk.
func runWithFullDisk(t *testing.T, run func()) {
	t.Helper()
	signal.Ignore(syscall.SIGXFSZ)
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 0, Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
			t.Fatal(err)
		}
	}()
	run()
}

// otherFiles returns the names of all files in the directory of a store except the store's file.
func otherFiles(t *testing.T, path string) (names []string) {
	t.Helper()
	entries, err := os.ReadDir(filepath.Dir(path))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if e.Name() != filepath.Base(path) {
			names = append(names, e.Name())
		}
	}
	return names
}

// A planner that starts while its disk is full or not readable must not replace its store by an empty one. Without its term, a
// planner sends orders that engines reject as old, or new orders under an old term.
func TestStoreIsKeptWhenOpenedOnFullDisk(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	s, _, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.SaveTerm(7); err != nil {
		t.Fatal(err)
	}
	s.Close()
	runWithFullDisk(t, func() {
		if s, _, err := Open(path); err == nil {
			s.Close() // Opening needs no write, so it may succeed.
		}
	})
	s, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if stored.Term != 7 || len(stored.Faults) > 0 || len(otherFiles(t, path)) > 0 {
		t.Errorf("term %d, faults %q, other files %q; want term 7 and no other file", stored.Term, stored.Faults, otherFiles(t, path))
	}
}

// A start that fails on a full disk must not leave a file that the next start treats as a damaged store.
func TestFailedStoreCreationLeavesNoFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	runWithFullDisk(t, func() {
		if s, _, err := Open(path); err == nil {
			t.Error("store was created although the disk is full")
			s.Close()
		}
	})
	s, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if len(stored.Faults) > 0 || len(otherFiles(t, path)) > 0 {
		t.Errorf("faults %q, other files %q", stored.Faults, otherFiles(t, path))
	}
}

// For any damage to the file, Open must return an error, or a store that contains only saved values.
func TestDamagedStoreIsDetected(t *testing.T) {
	directory := t.TempDir()
	saved := assignment.Record{Engine: "127.0.0.1:1", Role: "read", Epoch: 3, State: assignment.Ordered, NextRole: "write",
		NextEpoch: 4}
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		path := filepath.Join(directory, fmt.Sprint(n, ".db"))
		store, _, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		store.SaveTerm(storeTerm)
		changes := assignment.Persist{Records: []assignment.Record{saved}, Meta: assignment.Meta{PlanNumber: 9}}
		if err := store.Save(changes); err != nil {
			t.Fatal(err)
		}
		store.Close()
		data, _ := os.ReadFile(path)
		os.WriteFile(path, damage(t, data), 0o600)
		store, stored, err := Open(path)
		if err != nil {
			return // The damage was detected.
		}
		defer store.Close()
		if stored.Term != 0 && stored.Term != storeTerm || len(stored.Records) > 1 ||
			len(stored.Records) == 1 && stored.Records[0] != saved {
			t.Fatalf("store contains values that were not saved: %+v", stored)
		}
	})
}

// damage truncates data, flips some bits or clears some bytes, or leaves data as it is.
func damage(t *rapid.T, data []byte) []byte {
	switch rapid.SampledFrom([]string{"cut", "flip", "zero", "none"}).Draw(t, "damage") {
	case "cut":
		return data[:rapid.IntRange(0, len(data)).Draw(t, "at")]
	case "flip":
		for range rapid.IntRange(1, 4).Draw(t, "bits") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "byte")
			data[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		}
	case "zero":
		at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
		clear(data[at:min(len(data), at+4096)])
	}
	return data
}
