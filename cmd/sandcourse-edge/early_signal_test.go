package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// deployCommand returns the command that starts an edge in the deploy file, with the test's binary and configuration.
func deployCommand(t *testing.T, config string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^run = '(.*?)'`).FindSubmatch(text)
	if line == nil {
		t.Fatal("the deploy file has no run line")
	}
	return strings.NewReplacer("bin/sandcourse-edge", edgeBinary(t), `"$NODE_CONFIG"`, strconv.Quote(config)).Replace(string(line[1]))
}

// awaitExec returns once a process executes the edge's program instead of the shell that starts it.
func awaitExec(t *testing.T, pid int) {
	t.Helper()
	edge, err := os.Stat(edgeBinary(t))
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		program, err := os.Stat(filepath.Join("/proc", strconv.Itoa(pid), "exe"))
		if err == nil && os.SameFile(program, edge) {
			return
		}
	}
	t.Fatal("the shell did not start the edge within 5 s")
}

func TestReloadRightAfterExecDoesNotEndEdge(t *testing.T) {
	const starts = 40
	config := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(config, 0o600); err != nil { // The edge blocks while it reads its configuration.
		t.Fatal(err)
	}
	terminated := 0
	for range starts {
		edge := exec.Command("/bin/sh", "-c", deployCommand(t, config))
		startCommand(t, edge)
		awaitExec(t, edge.Process.Pid)
		if err := edge.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if err := edge.Process.Signal(syscall.SIGKILL); errors.Is(err, os.ErrProcessDone) {
			t.Fatal(err)
		}
		edge.Wait()
		if status := edge.ProcessState.Sys().(syscall.WaitStatus); status.Signal() == syscall.SIGHUP {
			terminated++
		}
	}
	if terminated > 0 {
		t.Errorf("%d of %d edges were terminated by a SIGHUP right after exec", terminated, starts)
	}
}
