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

// oneEngineList is a discovery list with one engine, at whose address no process listens.
const oneEngineList = `{"generation":1,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"a",
 "machineType":"read","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}]}`

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reserved.Close()
	return reserved.Addr().String()
}

// startCommand starts the process of an edge, and kills it at the end of the test.
func startCommand(t *testing.T, edge *exec.Cmd) {
	t.Helper()
	if err := edge.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { edge.Process.Kill(); edge.Wait() })
}

// A new configuration may follow a restart at once: SIGHUP arrives while the edge still reads its first configuration.
func TestReloadDuringStart(t *testing.T) {
	listen := freeAddress(t)
	config := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(config, 0o600); err != nil {
		t.Fatal(err)
	}
	edge := exec.Command(edgeBinary(t), "--config", config)
	startCommand(t, edge)
	text := fmt.Sprintf(nodeConfig, 0, listen, freeAddress(t), 1, oneEngineList, 0, 1, longObjective.Microseconds(), "")
	writer, err := os.OpenFile(config, os.O_WRONLY, 0) // OpenFile returns once the edge has opened the other end.
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
	// The reload starts once the edge runs, and its read, which blocks on the named pipe, must not delay the shutdown.
	terminateEdge(t, edge)
}

// waitForExit waits until a process exits, and checks its exit code.
func waitForExit(t *testing.T, edge *exec.Cmd, code int) {
	t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- edge.Wait() }()
	select {
	case err := <-exited:
		if got := edge.ProcessState.ExitCode(); got != code {
			t.Errorf("the edge exited with code %d (%v), want %d", got, err, code)
		}
	case <-time.After(10 * time.Second):
		t.Error("the edge did not exit within 10 s")
	}
}

// terminateEdge stops an edge with SIGTERM, and expects exit code 0.
func terminateEdge(t *testing.T, edge *exec.Cmd) {
	t.Helper()
	if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitForExit(t, edge, 0)
}

// expectServing checks that the first edge serves some requests, each of which it logs.
func (p *edgeProcesses) expectServing() {
	p.t.Helper()
	for i := range 3 {
		if status := p.call(http.DefaultClient, p.addresses[0], fmt.Sprintf("q%d", i), "chat", 2*time.Second); status != http.StatusOK {
			p.t.Fatalf("request %d got status %d", i, status)
		}
	}
}

// The reader of an edge's log may exit before the edge, as when a log collector is restarted.
func TestEdgeServesAfterLogReaderExits(t *testing.T) {
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

// An edge must not block if its log is no longer read. The pipe of the log is full from the start.
func TestEdgeServesWhileLogReaderStalls(t *testing.T) {
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

// fillPipe writes until the pipe is full.
func fillPipe(t *testing.T, writer *os.File) {
	t.Helper()
	if err := writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := writer.Write(make([]byte, 1<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the pipe is not full: %v", err)
	}
}

// A second SIGTERM arrives while the edge is still serving requests that it has accepted.
func TestSecondSIGTERMIsIgnored(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	answered := make(chan int, 1)
	started := p.attemptStarted()
	go func() { answered <- p.call(http.DefaultClient, p.addresses[0], "q", "chat", 5*time.Second) }()
	<-started
	for range 2 {
		if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond) // The edge needs time to handle the first signal, which cannot be observed from outside.
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("a request accepted before the first SIGTERM got status %d", status)
	}
	waitForExit(t, edge, 0)
}

// configWithOtherAgent returns the first edge's configuration with another discovery agent, which counts its polls.
func (p *edgeProcesses) configWithOtherAgent(polls *atomic.Int64) string {
	p.t.Helper()
	text, err := os.ReadFile(p.configs[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return strings.Replace(string(text), p.agentAddress, newDiscoveryAgent(p.t, oneEngineList, polls), 1)
}

// A new configuration arrives while the edge drains: its discovery address must be used, as the edge still needs discovery.
func TestReloadDuringShutdown(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	started := p.attemptStarted()
	go p.call(http.DefaultClient, p.addresses[0], "q", "chat", 5*time.Second)
	<-started
	if err := edge.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // The edge needs time to handle the signal, which cannot be observed from outside.
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

// A new configuration that is only partially written when SIGHUP arrives is read again.
func TestPartiallyWrittenConfigurationIsReadAgain(t *testing.T) {
	p, edge := startSingleEdge(t, nil)
	var polls atomic.Int64
	changed := p.configWithOtherAgent(&polls)
	if err := os.WriteFile(p.configs[0], []byte(changed[:len(changed)/2]), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := edge.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // The edge needs time to read the partial file, which cannot be observed from outside.
	if err := os.WriteFile(p.configs[0], []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); polls.Load() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the new discovery address was never polled")
		}
	}
}

// startSingleEdge starts one edge with a prefill and a decode engine. A decode takes decodeWorkTime.
func startSingleEdge(t *testing.T, prepare func(*exec.Cmd)) (*edgeProcesses, *exec.Cmd) {
	t.Helper()
	log := &audit.Log{}
	p := startPreparedEdges(t, 1, platformengine.NewFleet(log), log, []platformengine.Config{
		{ID: "s-1", Role: platformengine.Prefill, Slots: 8, WorkTime: time.Millisecond},
		{ID: "s-2", Role: platformengine.Decode, Slots: 8, WorkTime: decodeWorkTime(prepare), Events: 2},
	}, prepare)
	return p, p.commands[0]
}

// decodeWorkTime returns a short time for tests that prepare the command, because they wait for several responses in turn.
func decodeWorkTime(prepare func(*exec.Cmd)) time.Duration {
	if prepare != nil {
		return time.Millisecond
	}
	return 500 * time.Millisecond
}

// attemptStarted returns a channel that is closed once a decode engine has begun an attempt.
func (p *edgeProcesses) attemptStarted() <-chan struct{} {
	started := make(chan struct{})
	go func() {
		for range 1000 {
			for _, record := range p.log.EngineRecords() {
				if record.Event == audit.AttemptStarted && record.Decode {
					close(started)
					return
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return started
}

// The previous process may still use an edge's address for a moment: the edge has to wait for the address.
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
	time.Sleep(500 * time.Millisecond) // The address is in use for this time.
	listener.Close()
	(&edgeProcesses{t: t}).awaitReady(listener.Addr().String())
}
