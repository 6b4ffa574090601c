package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sandcourse/internal/edge"
)

// routerProcess is one node under test: an address, a configuration, and the process that runs now.
type routerProcess struct {
	number int
	group  int
	addr   string
	config string
	// peerAddr is where it hears others, by UDP.
	peerAddr string
	run      *soakRun

	mu          sync.Mutex
	process     *exec.Cmd
	exited      chan struct{}
	stopping    bool // it was told to end, or killed
	faulty      bool // by a trouble
	incarnation int
	// away are the times in which the process was ending or not there: clients' calls then may find nobody.
	outages []outage
}

// outage is a time; to is zero while it lasts.
type outage struct {
	from, to time.Time
	killed   bool
}

// The spans of the settings that engines and the judge keep to as well.
const (
	connIdle    = 5 * time.Second
	dedupWindow = time.Second
)

func (n *routerProcess) name() string { return fmt.Sprintf("n%d", n.number) }

// configText is a configuration in the platform's form.
const configText = `{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":128,"sockets":512},"known":%s,
 "peer_listen":%q,"peers":[%s],"settings":{"areas":["a"],"zone":0,"index":%d,"peers_total":%d,"tick_us":4000,"flavors":["read","write"],"ceilings":{
 "try_limit":5,"cancel":true,"probes":true,"peers":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000,
 "conn_idle_us":5000000},"report":{"how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],
 "pin_limit_us":1000000,"resume":%v,"kind_memory_tokens":[1000000,1000000]},"classes":[
 {"name":"chat","effect":"retryable","worth":1,"objective_us":900000},
 {"name":"label","effect":"dedup","dedup_scope":"all","memory_span_us":1000000,"worth":1,"objective_us":900000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":900000}],"obligations":{"drain_grace_us":250000}}}`

// configure writes the configuration as it is now. Half leaves off its end, as an editor does for a moment.
func (n *routerProcess) configure(half bool) error {
	var peers []string
	for _, other := range n.run.routers {
		peers = append(peers, strconv.Quote(other.peerAddr))
	}
	text := fmt.Sprintf(configText, n.number, n.addr, n.run.discovery.agentAddr(n.group), n.incarnation+1, n.run.discovery.snapshot(n.group),
		n.peerAddr, strings.Join(peers, ","), n.number, len(n.run.routers), n.run.resumes())
	if half {
		text = text[:len(text)/2]
	}
	return os.WriteFile(n.config, []byte(text), 0o600)
}

func (d *discovery) agentAddr(group int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[group].addr
}

// start begins a life of the node.
func (n *routerProcess) start() error {
	if err := n.configure(false); err != nil {
		return err
	}
	command := exec.Command(n.run.config.Binary, "--config", n.config)
	output, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited, n.stopping = command, exited, false
	n.incarnation++
	life := n.incarnation
	n.mu.Unlock()
	go func() {
		n.run.readLog(n.name(), life, output)
		err := command.Wait()
		n.mu.Lock()
		ending := n.stopping
		n.mu.Unlock()
		if !ending {
			n.run.violate("%s life %d ended by itself: %v", n.name(), life, err)
		}
		close(exited)
	}()
	return nil
}

// logLine is what the run reads of a line of an edge's log.
type logLine struct {
	Msg, Rule, Request, Detail string
}

// reportsFault is whether a line of an edge's log reports a fault of the program.
func reportsFault(line []byte) bool {
	return bytes.Contains(line, []byte(`"msg":"`+edge.LogInvariantViolated+`"`)) ||
		bytes.Contains(line, []byte(`"msg":"`+edge.LogPolicyPanicked+`"`))
}

// readLog keeps a node's log, and takes broken rules from it.
func (r *soakRun) readLog(name string, life int, from io.Reader) {
	file, err := os.Create(filepath.Join(r.folder, fmt.Sprintf("%s.%d.log", name, life)))
	if err != nil {
		r.violate("log of %s: %v", name, err)
		io.Copy(io.Discard, from)
		return
	}
	defer file.Close()
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		file.Write(line)
		if reportsFault(line) {
			var l logLine
			if json.Unmarshal(line, &l) == nil {
				r.violate("%s life %d says: %s %s %s %s", name, life, l.Msg, l.Rule, l.Request, l.Detail)
			}
		}
		if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) {
			r.violate("%s life %d: %s", name, life, strings.TrimSpace(string(line)))
		}
		if err != nil {
			return
		}
	}
}

// signal sends a signal to the process that runs now, if there is one.
func (n *routerProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.Process.Signal(s)
	}
}

// LeaveDescriptors lets a process have so many more descriptors than it has open, until restore is called.
func LeaveDescriptors(pid, more int) (restore func() error, err error) {
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return nil, err
	}
	open, err := openDescriptors(pid)
	if err != nil {
		return nil, err
	}
	// The limit is on numbers, not on how many there are: those below it that are not open can be had.
	limit := 0
	for free := 0; free <= more; limit++ {
		if !open[strconv.Itoa(limit)] {
			free++
		}
	}
	few := unix.Rlimit{Cur: uint64(limit - 1), Max: before.Max}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &few, nil); err != nil {
		return nil, err
	}
	return func() error { return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) }, nil
}

// openDescriptors are the numbers of a process's descriptors, as text.
func openDescriptors(pid int) (map[string]bool, error) {
	folder, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	names, err := folder.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	open := map[string]bool{}
	for _, name := range names {
		open[name] = true
	}
	if pid == os.Getpid() { // the one that this look took
		delete(open, strconv.Itoa(int(folder.Fd())))
	}
	return open, nil
}

// limitDescriptors leaves the process a few descriptors more than it has, for a time.
func (n *routerProcess) limitDescriptors(more int, length time.Duration) error {
	n.mu.Lock()
	pid := n.process.Process.Pid
	n.mu.Unlock()
	restore, err := LeaveDescriptors(pid, more)
	if err != nil {
		return err
	}
	time.Sleep(length)
	return restore()
}

// Times of a planned restart, from the platform's page: the kill comes 0.7 s after the longest deadline.
const killAfter = longestDeadline + 700*time.Millisecond

// stop ends a life: by SIGTERM and, where the process has not ended by then, SIGKILL; or by SIGKILL at once. While it ends,
// meanwhile is run.
func (n *routerProcess) stop(kill bool, meanwhile func()) {
	n.mu.Lock()
	n.stopping = true
	process, exited := n.process, n.exited
	n.outages = append(n.outages, outage{from: time.Now()})
	n.mu.Unlock()
	if !kill {
		process.Process.Signal(syscall.SIGTERM)
		if meanwhile != nil {
			meanwhile()
		}
		select {
		case <-exited:
			return
		case <-time.After(killAfter):
		}
	}
	n.mu.Lock()
	n.outages[len(n.outages)-1].killed = true
	n.mu.Unlock()
	process.Process.Signal(syscall.SIGKILL)
	<-exited
}

// recovered notes that the node is there again.
func (n *routerProcess) recovered() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if last := len(n.outages) - 1; last >= 0 && n.outages[last].to.IsZero() {
		n.outages[last].to = time.Now()
	}
}

// wasAway is whether the node was ending or not there at any moment of a time.
func (n *routerProcess) wasAway(from, to time.Time) bool {
	return n.wasOut(from, to, func(outage) bool { return true })
}

// wasKilled is whether it was away then because it was killed.
func (n *routerProcess) wasKilled(from, to time.Time) bool {
	return n.wasOut(from, to, func(s outage) bool { return s.killed })
}

func (n *routerProcess) wasOut(from, to time.Time, fits func(outage) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(n.outages, func(s outage) bool {
		return s.from.Before(to) && (s.to.IsZero() || from.Before(s.to)) && fits(s)
	})
}

// awaitReady waits until the node says that it is ready.
func (n *routerProcess) awaitReady(most time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + n.addr + "/_health")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name() + " is not ready in " + most.String())
}

// Ports of nodes. Their addresses are their own, so that no connection of another process can have one of these ports as
// its near end: such a connection would keep a node that starts from its address.
const (
	clientPort = 8000
	peerPort   = 8001
)

// address is an address of a node's own in 127.0.0.0/8, different in runs side by side.
func address(number, port int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>8&63, pid&255, number+1, port)
}
