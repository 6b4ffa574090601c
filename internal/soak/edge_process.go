package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"sandcourse/internal/protocol/platform"
)

// killAfter is how long a planned restart waits before SIGKILL, as on the platform: 0.7 s more than the longest deadline.
const killAfter = longestDeadline + 700*time.Millisecond

// edgeProcess is one edge under test: its addresses, its configuration, and the process that runs now.
type edgeProcess struct {
	soak       *soakRun
	number     int
	group      int
	addr       string
	peerAddr   string // for gossip, by UDP
	configPath string

	mu          sync.Mutex
	command     *exec.Cmd
	exited      chan struct{}
	stopping    bool // it has been signaled to shut down, or killed
	faulty      bool // an injector has it
	incarnation int
	// outages are the times in which the process was shutting down or not running: clients may then find nobody.
	outages []outage
}

// outage is a time; to is zero while it lasts.
type outage struct {
	from, to time.Time
	killed   bool
}

// runLine starts an edge as the deploy file does: a reload in its first moment does not end it.
const runLine = `trap "" HUP; exec "$0" --config "$1"`

// shellTime is how long the shell may take that starts an edge.
const shellTime = 2 * time.Second

// awaitExec waits until a process runs the edge and not the shell that starts it: signals are for the edge.
func awaitExec(pid int) {
	exe := fmt.Sprintf("/proc/%d/exe", pid)
	for end := time.Now().Add(shellTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if target, err := os.Readlink(exe); err == nil && filepath.Base(target) == "sandcourse-edge" {
			return
		}
	}
}

func newEdgeProcess(r *soakRun, number int) *edgeProcess {
	return &edgeProcess{soak: r, number: number, group: number % groupCount, addr: edgeAddress(number, clientPort),
		peerAddr: edgeAddress(number, peerPort), configPath: fmt.Sprintf("%s/n%d.json", r.folder, number)}
}

// Ports of edges. Each edge has an address of its own, so that no outgoing connection of another process can occupy one of
// these ports: it would keep a starting edge from listening.
const (
	clientPort = 8000
	peerPort   = 8001
)

// edgeAddress returns an address of an edge in 127.0.0.0/8. It differs between runs side by side.
func edgeAddress(number, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8&63, pid&255, number+1, port)
}

func (p *edgeProcess) name() string { return fmt.Sprintf("n%d", p.number) }

// start begins the next incarnation of the edge.
func (p *edgeProcess) start() error {
	if err := p.configure(false); err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", runLine, p.soak.config.Binary, p.configPath)
	output, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	awaitExec(command.Process.Pid)
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited, p.stopping = command, exited, false
	p.incarnation++
	incarnation := p.incarnation
	p.mu.Unlock()
	go func() {
		p.soak.readLog(p.name(), incarnation, output)
		err := command.Wait()
		p.mu.Lock()
		stopping := p.stopping
		p.mu.Unlock()
		if !stopping {
			p.soak.violate("%s life %d ended by itself: %v", p.name(), incarnation, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that runs now, if there is one.
func (p *edgeProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // fails where it has exited already
	}
}

// end ends an incarnation: by SIGTERM and, where the process has not exited after killAfter, SIGKILL; or by SIGKILL at once.
// Between SIGTERM and the wait, meanwhile is called.
func (p *edgeProcess) end(kill bool, meanwhile func()) {
	p.mu.Lock()
	p.stopping = true
	process, exited := p.command.Process, p.exited
	p.outages = append(p.outages, outage{from: time.Now()})
	p.mu.Unlock()
	if !kill {
		_ = process.Signal(syscall.SIGTERM) // fails where it has exited already
		if meanwhile != nil {
			meanwhile()
		}
		select {
		case <-exited:
			return
		case <-time.After(killAfter):
		}
	}
	p.mu.Lock()
	p.outages[len(p.outages)-1].killed = true
	p.mu.Unlock()
	_ = process.Signal(syscall.SIGKILL) // fails where it has exited already
	<-exited
}

// recovered notes that the edge serves again.
func (p *edgeProcess) recovered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.outages) - 1; last >= 0 && p.outages[last].to.IsZero() {
		p.outages[last].to = time.Now()
	}
}

// wasDown is whether the edge was shutting down or not running at any moment between from and to.
func (p *edgeProcess) wasDown(from, to time.Time) bool {
	return p.hadOutage(from, to, func(outage) bool { return true })
}

// wasKilled is whether it was down then because it was killed.
func (p *edgeProcess) wasKilled(from, to time.Time) bool {
	return p.hadOutage(from, to, func(o outage) bool { return o.killed })
}

func (p *edgeProcess) hadOutage(from, to time.Time, matches func(outage) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.outages, func(o outage) bool {
		return o.from.Before(to) && (o.to.IsZero() || from.Before(o.to)) && matches(o)
	})
}

// notReadyError says that an edge did not become ready in time.
type notReadyError struct {
	edge    string
	timeout time.Duration
}

func (e *notReadyError) Error() string { return e.edge + " is not ready in " + e.timeout.String() }

// awaitReady waits until the edge's health check succeeds.
func (p *edgeProcess) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + p.addr + platform.HealthPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return &notReadyError{p.name(), timeout}
}
