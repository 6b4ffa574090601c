// Package soak plays a few dozen real nodes, each a process of its own, against stand-in engines, proxies, agents of
// discovery and clients on loopback, while troubles that a seed draws overlap in time. It judges by what engines and clients
// saw, by the nodes' own monitors, and by whether all nodes serve again once the troubles are over.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
)

// Config is one run.
type Config struct {
	Binary           string        // the node's binary
	Seed             uint64        // draws all troubles
	Routers          int           // processes
	Engines          int           // of each role
	Clients          int           // that ask at the same time
	ConcurrentFaults int           // troubles at the same time
	Duration         time.Duration // of the troubles
	Folder           string        // for configurations and logs; made anew, and removed where nothing was found
}

// Report is what came of a run.
type Report struct {
	Seed           uint64
	Violations     []string       // rules broken, crashes, nodes that do not serve again
	Traces         []string       // of the requests concerned
	Responses      map[string]int // by status, and of the other clients by kind
	InjectedFaults []string       // what was played, with its time
	Requests       int
	// Unanswered are the calls without an answer at nodes that were ending or killed, which are no fault by themselves.
	Unanswered int
	Folder     string // of the logs, where something was found
}

// groupCount is how many groups of nodes there are, each with an agent of discovery and ways to engines of its own.
const groupCount = 3

// soakRun is the state of one run.
type soakRun struct {
	config    Config
	folder    string
	log       *audit.Log
	fleet     *platformengine.Fleet
	discovery *discovery
	routers   []*routerProcess
	random    *rand.Rand
	startedAt time.Time

	mu             sync.Mutex
	engines        []*listedEngine
	violations     []string
	injectedFaults []string
	responses      map[string]int
	lastEngine     int
	unanswered     []audit.ClientRecord // at nodes that were ending and were not killed
	auxiliary      sync.WaitGroup
}

// listedEngine is a stand-in with its ways from each group of nodes.
type listedEngine struct {
	*platformengine.Engine
	proxies []*Proxy
	listed  *instance
}

func (r *soakRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%6.2fs ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (r *soakRun) noteFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injectedFaults = append(r.injectedFaults, fmt.Sprintf("%6.2fs ", time.Since(r.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (r *soakRun) countResponse(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[what]++
}

// addEngine starts an engine and lists it.
func (r *soakRun) addEngine(role platformengine.Role) (*listedEngine, error) {
	r.mu.Lock()
	r.lastEngine++
	id := fmt.Sprintf("s-%d", r.lastEngine)
	r.mu.Unlock()
	config := platformengine.Config{ID: id, Role: role, Slots: 16, WorkTime: 10 * time.Millisecond, Events: 5, IdleTime: r.idleTime()}
	e, err := r.fleet.Start(config)
	if err != nil {
		return nil, err
	}
	l := &listedEngine{Engine: e, listed: &instance{id: id, kind: string(role), state: serving}}
	for range groupCount {
		p, err := NewProxy(e.Addr, func(address string) { r.fleet.RouterClosed(id, address) })
		if err != nil {
			return nil, err
		}
		l.proxies = append(l.proxies, p)
		l.listed.hosts = append(l.listed.hosts, p.Addr())
	}
	r.mu.Lock()
	r.engines = append(r.engines, l)
	r.mu.Unlock()
	r.discovery.put(l.listed)
	return l, nil
}

// idleTime is after what an engine closes idle connections: any time up to the settings' own.
func (r *soakRun) idleTime() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return between(r.random, 500*time.Millisecond, connIdle)
}

// setState lists an engine in another state.
func (r *soakRun) setState(l *listedEngine, state string) {
	changed := *l.listed
	changed.state = state
	l.listed = &changed
	r.discovery.put(&changed)
}

func (l *listedEngine) close() {
	l.Stop()
	for _, p := range l.proxies {
		p.Close()
	}
}

// Run plays one seed.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return Report{}, err
	}
	folder, err := os.MkdirTemp(config.Folder, fmt.Sprintf("seed-%d-", config.Seed))
	if err != nil {
		return Report{}, err
	}
	r := &soakRun{config: config, folder: folder, log: &audit.Log{}, random: rand.New(rand.NewPCG(config.Seed, 1)), startedAt: time.Now(),
		responses: map[string]int{}}
	r.fleet = platformengine.NewFleet(r.log)
	if err := r.start(); err != nil {
		r.finish()
		return Report{}, err
	}
	r.inject(ctx)
	r.awaitSettled()
	r.finish()
	return r.report(), nil
}

func (r *soakRun) start() (err error) {
	if r.discovery, err = newDiscovery(groupCount); err != nil {
		return err
	}
	for range r.config.Engines {
		for _, role := range []platformengine.Role{platformengine.Prefill, platformengine.Decode} {
			if _, err := r.addEngine(role); err != nil {
				return err
			}
		}
	}
	for i := range r.config.Routers {
		r.routers = append(r.routers, &routerProcess{number: i, group: i % groupCount, addr: address(i, clientPort), peerAddr: address(i, peerPort),
			config: fmt.Sprintf("%s/n%d.json", r.folder, i), run: r})
	}
	for _, n := range r.routers {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.routers {
		if err := n.awaitReady(readyTime); err != nil {
			return err
		}
	}
	return nil
}

// resumes is whether clients of this run ask for the rest of a stream that broke, which changes how nodes end.
func (r *soakRun) resumes() bool { return r.config.Seed%3 == 0 }

// readyTime is within what a node has to be ready.
const readyTime = 10 * time.Second

// inject runs clients and troubles side by side.
func (r *soakRun) inject(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	end := time.Now().Add(r.config.Duration)
	var all sync.WaitGroup
	for i := range r.config.Clients {
		c := &client{run: r, number: i, random: rand.New(rand.NewPCG(r.config.Seed, uint64(100+i))), conns: map[*routerProcess]*clientConnection{}}
		all.Go(func() { c.work(end) })
	}
	for i := range r.config.ConcurrentFaults {
		random := rand.New(rand.NewPCG(r.config.Seed, uint64(10+i)))
		all.Go(func() { r.injectFaults(ctx, random) })
	}
	all.Wait()
	r.auxiliary.Wait()
}

// awaitSettled waits until all troubles are over, and looks whether every node serves.
func (r *soakRun) awaitSettled() {
	for _, n := range r.routers {
		if err := n.awaitReady(readyTime); err != nil {
			r.violate("at the end: %v", err)
		}
	}
	for end := time.Now().Add(settleTime); r.fleet.HeldReservations() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	var all sync.WaitGroup
	for i, n := range r.routers {
		c := &client{run: r, number: 1000 + i, random: rand.New(rand.NewPCG(r.config.Seed, uint64(1000+i))), conns: map[*routerProcess]*clientConnection{}}
		all.Go(func() {
			defer c.closeAll()
			if !c.servedWithin(n, settleTime) {
				r.violate("at the end: %s serves nothing in %v", n.name(), settleTime)
			}
		})
	}
	all.Wait()
}

// settleTime is how long after the troubles all has to be well again.
const settleTime = 8 * time.Second

// servedWithin asks a node until it serves.
func (c *client) servedWithin(n *routerProcess, most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		conn, err := c.connect(n)
		if err != nil {
			continue
		}
		r := c.request(n)
		r.wait = longestDeadline
		conn.conn.SetDeadline(time.Now().Add(longestDeadline + time.Second))
		call := audit.ClientRecord{ClientRequestID: r.name, RequestID: r.name, Route: r.class, Edge: n.name(), Sent: time.Now()}
		call.Deadline = call.Sent.Add(r.wait)
		if _, err = conn.conn.Write([]byte(r.text())); err == nil {
			err = c.readResponse(conn, &call)
		}
		if err != nil {
			c.closeConnection(n)
		}
		if call.Outcome == audit.OutcomeCompleted {
			return true
		}
	}
	return false
}

func (r *soakRun) finish() {
	for _, n := range r.routers {
		if n.process != nil {
			n.stop(true, nil)
		}
	}
	for _, e := range r.engines {
		e.close()
	}
	if r.discovery != nil {
		for _, a := range r.discovery.agents {
			a.server.Close()
		}
	}
}

// Slack is what the protocol and a machine that runs dozens of processes add to the times of the rules.
const (
	slack  = 700 * time.Millisecond
	notice = 300 * time.Millisecond
)

func (r *soakRun) report() Report {
	out := Report{Seed: r.config.Seed, Violations: r.violations, Responses: r.responses, InjectedFaults: r.injectedFaults, Requests: len(r.log.ClientRecords()),
		Unanswered: len(r.unanswered), Folder: r.folder}
	out.Violations = append(out.Violations, r.judgeUnanswered()...)
	out.Violations = append(out.Violations, r.judgeWindows()...)
	rules := audit.Rules{NonRetriable: map[string]bool{"alert": true}, DrainGrace: 250 * time.Millisecond, ListDelay: notice,
		ReservationLimit: time.Second, Tolerance: slack}
	for _, b := range r.log.Check(rules, time.Now()) {
		out.Violations = append(out.Violations, b.String())
		if b.RequestID != "" {
			out.Traces = append(out.Traces, b.String()+"\n\t"+strings.Join(r.log.Trace(b.RequestID), "\n\t"))
		}
	}
	if len(out.Violations) == 0 {
		os.RemoveAll(r.folder)
		out.Folder = ""
	}
	return out
}

// judgeUnanswered looks for calls that a node sent on before it ended, and never answered.
func (r *soakRun) judgeUnanswered() (faults []string) {
	began := map[string]bool{}
	for _, s := range r.log.EngineRecords() {
		if s.Event == audit.AttemptStarted {
			began[s.RequestID] = true
		}
	}
	for _, c := range r.unanswered {
		if began[c.RequestID] {
			faults = append(faults, fmt.Sprintf("rule 1: %s was sent on by %s, which was told to end, and has no answer", c.RequestID, c.Edge))
		}
	}
	return faults
}

// judgeWindows looks for deduplicated requests that ran again when engines had forgotten the first run.
func (r *soakRun) judgeWindows() (faults []string) {
	class := map[string]string{}
	for _, c := range r.log.ClientRecords() {
		class[c.RequestID] = c.Route
	}
	first := map[string]time.Time{}
	for _, s := range r.log.EngineRecords() {
		if s.Event != audit.Executed || class[s.RequestID] != "label" {
			continue
		}
		if at, ran := first[s.RequestID]; ran && s.At.Sub(at) > dedupWindow {
			faults = append(faults, fmt.Sprintf("rule 2: %s ran again after %v, engines remember for %v", s.RequestID, s.At.Sub(at), dedupWindow))
		} else if !ran {
			first[s.RequestID] = s.At
		}
	}
	return faults
}

// String is the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d calls, %d troubles, %d faults, %d calls without an answer at nodes that ended;", r.Seed, r.Requests,
		len(r.InjectedFaults), len(r.Violations), r.Unanswered)
	for _, what := range slices.Sorted(maps.Keys(r.Responses)) {
		fmt.Fprintf(&b, " %s: %d", what, r.Responses[what])
	}
	b.WriteString("\n")
	for _, f := range r.Violations {
		fmt.Fprintf(&b, "  FAULT %s\n", f)
	}
	for _, s := range r.Traces {
		fmt.Fprintf(&b, "  %s\n", s)
	}
	if len(r.Violations) > 0 {
		for _, t := range r.InjectedFaults {
			fmt.Fprintf(&b, "  trouble %s\n", t)
		}
		fmt.Fprintf(&b, "  logs in %s\n", r.Folder)
	}
	return b.String()
}
