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

// withFullDisk runs something while no file of this process may grow or be written, as on a full disk.
func withFullDisk(t *testing.T, run func()) {
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

// otherFiles are the files beside a store.
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

// A planner that starts while its disk is full, or can't be read, has not lost its store: it must not create an empty one, as a
// planner that forgets its term sends orders that look old, or new ones under an old term.
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
	withFullDisk(t, func() {
		if s, _, err := Open(path); err == nil {
			s.Close() // nothing had to be written: that is fine, too
		}
	})
	s, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if stored.Term != 7 || len(stored.Faults) > 0 || len(otherFiles(t, path)) > 0 {
		t.Errorf("term %d, faults %q, beside the store lie %q; want term 7 and nothing else", stored.Term, stored.Faults, otherFiles(t, path))
	}
}

// A start that failed on a full disk leaves nothing that the next start takes for a damaged store.
func TestFailedStoreCreationLeavesNoFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	withFullDisk(t, func() {
		if s, _, err := Open(path); err == nil {
			t.Error("a store was created without a write")
			s.Close()
		}
	})
	s, stored, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if len(stored.Faults) > 0 || len(otherFiles(t, path)) > 0 {
		t.Errorf("faults %q, beside the store lie %q", stored.Faults, otherFiles(t, path))
	}
}

// Whatever happens to a store's bytes, Open returns an error, or a store that holds only what was saved.
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
			return // reported, and nothing is invented
		}
		defer store.Close()
		if stored.Term != 0 && stored.Term != storeTerm || len(stored.Records) > 1 ||
			len(stored.Records) == 1 && stored.Records[0] != saved {
			t.Fatalf("invented: %+v", stored)
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
