package main_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
)

// oneEngineList is a discovery list with one engine, where nobody listens.
const oneEngineList = `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a",
 "machineType":"read","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}`

// freeAddress is an address on loopback on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Close()
	return reserved.Addr().String()
}

// startCommand starts an edge's process, which is killed at the end of the test.
func startCommand(t *testing.T, edge *exec.Cmd) {
	t.Helper()
	if err := edge.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { edge.Process.Kill(); edge.Wait() })
}

// A restart and a new configuration may coincide: SIGHUP comes while the edge still reads the first one.
func TestReloadDuringStart(t *testing.T) {
	listen := freeAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	edge := exec.Command(edgeBinary(t), "--config", config)
	startCommand(t, edge)
	text := fmt.Sprintf(nodeConfig, 0, listen, freeAddress(t), 1, oneEngineList, 0, 1, longObjective.Microseconds(), "")
	writer, err := os.OpenFile(config, os.O_WRONLY, 0) // returns once the edge has opened the other end
	if err != nil {
		t.Fatal(err)
	}
	if err := edge.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	io.WriteString(writer, text)
	writer.Close()
	p := &edgeProcesses{t: t}
	p.awaitReady(listen)
	// The reload is done once the edge runs, and a read that waits for a configuration delays no shutdown.
	terminateEdge(t, edge)
}

// waitForExit waits for the end of a process and looks at its exit code.
func waitForExit(t *testing.T, edge *exec.Cmd, code int) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- edge.Wait() }()
	select {
	case err := <-ended:
		if got := edge.ProcessState.ExitCode(); got != code {
			t.Errorf("the edge exits with code %d (%v), want %d", got, err, code)
		}
	case <-time.After(10 * time.Second):
		t.Error("the edge does not exit")
	}
}

// terminateEdge ends an edge by SIGTERM.
func terminateEdge(t *testing.T, edge *exec.Cmd) {
	t.Helper()
	if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitForExit(t, edge, 0)
}

// expectServing checks that the first edge answers some requests, each of which it logs.
func (p *edgeProcesses) expectServing() {
	p.t.Helper()
	for i := range 3 {
		if status := p.call(http.DefaultClient, p.addresses[0], fmt.Sprintf("q%d", i), "chat", 2*time.Second); status != http.StatusOK {
			p.t.Fatalf("request %d is answered %d", i, status)
		}
	}
}

// The reader of an edge's log may exit before the edge, as when a log collector is restarted.
func TestLogReaderExits(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p, edge := startSingleEdge(t, func(c *exec.Cmd) { c.Stdout, c.Stderr = writer, writer })
	writer.Close()
	reader.Close()
	p.expectServing()
	terminateEdge(t, edge)
}

// An edge whose log is not read any more must not wait for its reader. The pipe is full from the start.
func TestLogReaderStalls(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	fillPipe(t, writer)
	p, edge := startSingleEdge(t, func(c *exec.Cmd) { c.Stdout, c.Stderr = writer, writer })
	writer.Close()
	p.expectServing()
	terminateEdge(t, edge)
}

// fillPipe writes until the pipe takes nothing more.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	if err := writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the pipe is not full: %v", err)
	}
}

// A second SIGTERM comes while the edge still answers what it has accepted.
func TestSecondSIGTERMIsIgnored(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	answered := make(chan int, 1)
	began := p.attemptStarted()
	go func() { answered <- p.call(http.DefaultClient, p.addresses[0], "q", "chat", 5*time.Second) }()
	<-began
	for range 2 {
		if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // the edge must have handled the first; nothing outside shows that
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("what was accepted before the first SIGTERM is answered %d", status)
	}
	waitForExit(t, edge, 0)
}

// configWithOtherAgent is the configuration of the first edge with another discovery address, whose polls are counted.
func (p *edgeProcesses) configWithOtherAgent(polls *atomic.Int64) string {
	p.t.Helper()
	text, err := os.ReadFile(p.configs[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.Replace(string(text), p.agent, newDiscoveryAgent(p.t, oneEngineList, polls), 1)
}

// A new configuration comes while the edge drains: discovery counts until its end.
func TestReloadDuringShutdown(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	began := p.attemptStarted()
	go p.call(http.DefaultClient, p.addresses[0], "q", "chat", 5*time.Second)
	<-began
	if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the edge must have handled it; nothing outside shows that
	var polls atomic.Int64
	changed := p.configWithOtherAgent(&polls)
	if err := os.WriteFile(p.configs[0], []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := edge.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	waitForExit(t, edge, 0)
	if polls.Load() == 0 {
		t.Error("the new discovery address was never polled")
	}
}

// A new configuration that is half written when SIGHUP comes is read again.
func TestHalfWrittenConfiguration(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	var polls atomic.Int64
	changed := p.configWithOtherAgent(&polls)
	if err := os.WriteFile(p.configs[0], []byte(changed[:len(changed)/2]), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := edge.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // the edge must have read the half; nothing outside shows that
	if err := os.WriteFile(p.configs[0], []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); polls.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new discovery address was never polled")
		}
	}
}

// startSingleEdge starts one edge with a prefill and a decode engine that take half a second for a response.
func startSingleEdge(t *testing.T, prepare func(*exec.Cmd)) (*edgeProcesses, *exec.Cmd) {
	t.Helper()
	log := &audit.Log{}
	p := startPreparedEdges(t, 1, platformengine.NewFleet(log), log, []platformengine.Config{
		{ID: "s-1", Role: platformengine.Prefill, Slots: 8, WorkTime: time.Millisecond},
		{ID: "s-2", Role: platformengine.Decode, Slots: 8, WorkTime: decodeWorkTime(prepare), Events: 2},
	}, prepare)
	return p, p.commands[0]
}

// decodeWorkTime is short where many responses are waited for, one after the other.
func decodeWorkTime(prepare func(*exec.Cmd)) time.Duration {
	if prepare != nil {
		return time.Millisecond
	}
	return 500 * time.Millisecond
}

// attemptStarted is closed once a decode engine has begun an attempt.
func (p *edgeProcesses) attemptStarted() <-chan struct{} {
	began := make(chan struct{})
	go func() {
		for range 1000 {
			for _, seen := range p.log.EngineRecords() {
				if seen.Event == audit.AttemptStarted && seen.Decode {
					close(began)
					return
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return began
}

// The process before it may hold an edge's address a little longer: the edge waits for it.
func TestStartWhileAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(nodeConfig, 0, listener.Addr().String(), freeAddress(t), 1, oneEngineList, 0, 1, longObjective.Microseconds(), "")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	startCommand(t, exec.Command(edgeBinary(t), "--config", config))
	time.Sleep(500 * time.Millisecond) // for so long the address is in use
	listener.Close()
	(&edgeProcesses{t: t}).awaitReady(listener.Addr().String())
}
