package main

import (
	"bytes"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startPlanner builds the planner and starts it on a free port with the sample script, with its output written to log.
func startPlanner(t *testing.T, log *os.File) (command *exec.Cmd, address string) {
	t.Helper()
	directory := t.TempDir()
	binary := filepath.Join(directory, "sandcourse-plan")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	script, err := os.ReadFile("../../settings/planner.star")
	if err != nil {
		t.Fatal(err)
	}
	const listen = "127.0.0.1:9090"
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = reserved.Addr().String()
	reserved.Close()
	if !bytes.Contains(script, []byte(listen)) {
		t.Fatalf("sample script does not listen on %s", listen)
	}
	file := filepath.Join(directory, "planner.star")
	if err := os.WriteFile(file, bytes.Replace(script, []byte(listen), []byte(address), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	command = exec.Command(binary, "--settings", file)
	command.Stderr, command.Stdout = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { command.Process.Kill(); command.Wait() })
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if response, err := http.Get("http://" + address + "/metrics"); err == nil {
			response.Body.Close()
			return command, address
		}
		if time.Now().After(end) {
			t.Fatal("planner did not respond within 10 s")
		}
	}
}

// A planner must keep running and logging until SIGTERM, even if the reader of its log is gone and its terminal hangs up.
func TestPlannerServesAfterLogReaderExits(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command, address := startPlanner(t, writer)
	writer.Close()
	reader.Close()
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond) // The planner logs meanwhile that its endpoint file does not exist.
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatalf("planner does not respond after SIGHUP: %v", err)
	}
	response.Body.Close()
	if err := command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := command.Wait(); err != nil && !strings.Contains(err.Error(), "already") {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}
