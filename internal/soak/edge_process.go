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

// killDelay is the time between SIGTERM and SIGKILL in a planned restart, as on the platform: 0.7 s more than the longest request
// timeout.
const killDelay = maxRequestTimeout + 700*time.Millisecond

// edgeProcess is one edge under test: addresses, configuration file and current process.
type edgeProcess struct {
	soak       *soakRun
	number     int
	group      int
	addr       string
	peerAddr   string // UDP address for gossip
	configPath string

	mu          sync.Mutex
	command     *exec.Cmd
	exited      chan struct{}
	stopping    bool // the process has been sent SIGTERM or SIGKILL
	claimed     bool // an injector is running a fault on the edge
	incarnation int
	// outages are the intervals in which the process was shutting down or not running. Clients may get no response in them.
	outages []outage
}

// outage is an interval without service. A zero to means that the outage has not ended.
type outage struct {
	from, to time.Time
	killed   bool
}

// startScript starts an edge with the command of deploy/balancer.toml. The trap keeps a SIGHUP from ending the process before
// the edge has set its handler.
const startScript = `trap "" HUP; exec "$0" --config "$1"`

// execTimeout bounds the wait for the shell of startScript to execute the edge.
const execTimeout = 2 * time.Second

// awaitExec waits until the shell of startScript has executed the edge, so that signals reach the edge and not the shell.
func awaitExec(pid int) {
	exe := fmt.Sprintf("/proc/%d/exe", pid)
	for end := time.Now().Add(execTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if target, err := os.Readlink(exe); err == nil && filepath.Base(target) == "sandcourse-edge" {
			return
		}
	}
}

func newEdgeProcess(r *soakRun, number int) *edgeProcess {
	return &edgeProcess{soak: r, number: number, group: number % groupCount, addr: edgeAddress(number, clientPort),
		peerAddr: edgeAddress(number, peerPort), configPath: fmt.Sprintf("%s/n%d.json", r.folder, number)}
}

// Ports of edges. Each edge has its own loopback address, so that no outgoing connection of another process can occupy one of
// these ports and keep a starting edge from listening.
const (
	clientPort = 8000
	peerPort   = 8001
)

// edgeAddress returns an address of an edge in 127.0.0.0/8. The process ID is part of the address, because runs may be
// concurrent.
func edgeAddress(number, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8&63, pid&255, number+1, port)
}

func (p *edgeProcess) name() string { return fmt.Sprintf("n%d", p.number) }

// start starts the next incarnation of the edge.
func (p *edgeProcess) start() error {
	if err := p.writeConfig(false); err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", startScript, p.soak.config.Binary, p.configPath)
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
			p.soak.recordViolation("%s incarnation %d exited unexpectedly: %v", p.name(), incarnation, err)
		}
		close(exited)
	}()
	return nil
}

// pid returns the process ID of the current or last incarnation.
func (p *edgeProcess) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.Process.Pid
}

// signal sends a signal to the current process, if any.
func (p *edgeProcess) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s) // Signal fails if the process has exited already.
	}
}

// terminate ends an incarnation: by SIGTERM and, if the process has not exited after killDelay, SIGKILL; or by SIGKILL at once if
// kill is set. duringShutdown, unless nil, is called between SIGTERM and the wait.
func (p *edgeProcess) terminate(kill bool, duringShutdown func()) {
	p.mu.Lock()
	p.stopping = true
	process, exited := p.command.Process, p.exited
	p.outages = append(p.outages, outage{from: time.Now()})
	p.mu.Unlock()
	if !kill {
		_ = process.Signal(syscall.SIGTERM) // Signal fails if the process has exited already.
		if duringShutdown != nil {
			duringShutdown()
		}
		select {
		case <-exited:
			return
		case <-time.After(killDelay):
		}
	}
	p.mu.Lock()
	p.outages[len(p.outages)-1].killed = true
	p.mu.Unlock()
	_ = process.Signal(syscall.SIGKILL) // Signal fails if the process has exited already.
	<-exited
}

// recordRecovery ends the current outage of the edge.
func (p *edgeProcess) recordRecovery() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := len(p.outages) - 1; last >= 0 && p.outages[last].to.IsZero() {
		p.outages[last].to = time.Now()
	}
}

// wasDown reports whether the edge was shutting down or not running at any time between from and to.
func (p *edgeProcess) wasDown(from, to time.Time) bool {
	return p.hasOutage(from, to, func(outage) bool { return true })
}

// wasKilled reports whether the edge was down at any time between from and to because of a SIGKILL.
func (p *edgeProcess) wasKilled(from, to time.Time) bool {
	return p.hasOutage(from, to, func(o outage) bool { return o.killed })
}

func (p *edgeProcess) hasOutage(from, to time.Time, matches func(outage) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.outages, func(o outage) bool {
		return o.from.Before(to) && (o.to.IsZero() || from.Before(o.to)) && matches(o)
	})
}

// notReadyError reports that an edge did not become ready in time.
type notReadyError struct {
	edge    string
	timeout time.Duration
}

func (e *notReadyError) Error() string {
	return e.edge + " did not become ready within " + e.timeout.String()
}

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
