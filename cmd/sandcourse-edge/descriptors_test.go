package main_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Descriptors run out for a moment, just as a client comes: the node has one left, which the accepted connection takes, and
// none to hand it over. The client waits, and is answered.
func TestDescriptorsRunOut(t *testing.T) {
	p, node := startOne(t, nil)
	pid := node.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		t.Fatal(err)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	few := unix.Rlimit{Cur: uint64(len(open)) + 1, Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		t.Fatal(err)
	}
	raised := make(chan error, 1)
	time.AfterFunc(300*time.Millisecond, func() { raised <- unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) })
	client := &http.Client{Transport: &http.Transport{}}
	if status := p.ask(client, p.nodes[0], "q", "chat", 4*time.Second); status != http.StatusOK {
		t.Errorf("a client that came while descriptors had run out is answered %d", status)
	}
	if err := <-raised; err != nil {
		t.Fatal(err)
	}
}
