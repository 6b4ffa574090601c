package planner

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
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

// otherFiles lists what lies beside a store.
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

// A planner that starts while its disk is full, or cannot be read, has not lost its store: it must not begin an empty one,
// as a planner that forgets its term gives orders that look old, or new ones under an old term.
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

// A start that failed on a full disk leaves nothing that the next one takes for a damaged store.
func TestFailedStoreCreationLeavesNoFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store.db")
	withFullDisk(t, func() {
		if s, _, err := Open(path); err == nil {
			t.Error("a store was made without a write")
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
