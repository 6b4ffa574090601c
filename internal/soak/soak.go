// Package soak implements soak tests: a few dozen edge processes run with fake engines, proxies, discovery agents and clients on
// loopback, while several random faults, determined by a seed, overlap in time. A run checks the records of engines and clients,
// the violations that the edges log, and that all edges serve requests again after the last fault.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
)

// Config describes one run.
type Config struct {
	Binary           string        // path of the edge binary
	Seed             uint64        // seed of all random numbers
	Edges            int           // number of edge processes
	Engines          int           // number of engines of each role
	Clients          int           // number of concurrent clients
	ConcurrentFaults int           // number of faults injected at the same time
	Duration         time.Duration // time for which faults are injected
	Folder           string        // parent of the run's folder for configurations and logs; the run's folder is removed if there is no violation
}

const (
	// groupCount is the number of groups of edges. Each group has its own discovery agent and proxies to engines.
	groupCount = 3
	// readyTimeout is the time limit for a started edge to become ready.
	readyTimeout = 10 * time.Second
	// recoveryTimeout is the time limit for all edges to serve requests again after the last fault.
	recoveryTimeout = 8 * time.Second
	// resumeSeedInterval selects the seeds, one in three, whose clients may resume a broken stream. Edges then shut down
	// differently.
	resumeSeedInterval = 3
)

// Numbers of the random streams into which the seed is split. The run itself, each injector, each client and each recovery check
// have their own stream.
const (
	runStream          = 1
	floodStream        = 2
	injectorStreams    = 10
	clientStreams      = 100
	recoveryStreams    = 1000
	burstClientStreams = 10_000
)

// soakRun is the state of one run.
type soakRun struct {
	config    Config
	folder    string
	log       *audit.Log
	fleet     *platformengine.Fleet
	discovery *discovery
	edges     []*edgeProcess
	random    *rand.Rand
	startedAt time.Time

	mu                    sync.Mutex
	engines               []*listedEngine
	violations            []string
	injectedFaults        []string
	responses             map[string]int
	lastEngineNumber      int
	lastBurstClientNumber int                  // number of the latest burst client
	mostMemory            int                  // largest memory of an edge so far, in bytes
	unanswered            []audit.ClientRecord // requests without a response from an edge that was shutting down and was not killed
	irregularRequests     sync.WaitGroup
}

// Run executes one run and returns its report.
func Run(ctx context.Context, config Config) (Report, error) {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return Report{}, fmt.Errorf("soak: create folder: %w", err)
	}
	folder, err := os.MkdirTemp(config.Folder, fmt.Sprintf("seed-%d-", config.Seed))
	if err != nil {
		return Report{}, fmt.Errorf("soak: create folder: %w", err)
	}
	r := &soakRun{config: config, folder: folder, log: &audit.Log{}, startedAt: time.Now(), responses: map[string]int{}}
	r.random = r.randomStream(runStream)
	r.fleet = platformengine.NewFleet(r.log)
	if err := r.start(); err != nil {
		r.stop()
		return Report{}, err
	}
	r.runClientsAndFaults(ctx)
	r.awaitRecovery()
	r.stop()
	return r.report(), nil
}

func (r *soakRun) randomStream(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(r.config.Seed, uint64(stream)))
}

// start starts discovery, engines and edges, and waits until all edges are ready.
func (r *soakRun) start() (err error) {
	if r.discovery, err = newDiscovery(groupCount); err != nil {
		return err
	}
	for range r.config.Engines {
		for _, role := range []platformengine.Role{platformengine.Prefill, platformengine.Decode} {
			if err := r.addEngine(role); err != nil {
				return err
			}
		}
	}
	for i := range r.config.Edges {
		r.edges = append(r.edges, newEdgeProcess(r, i))
	}
	for _, p := range r.edges {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range r.edges {
		if err := p.awaitReady(readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// allowsResume reports whether clients of this run may resume a broken stream.
func (r *soakRun) allowsResume() bool { return r.config.Seed%resumeSeedInterval == 0 }

// runClientsAndFaults runs clients and fault injectors concurrently for the configured duration.
func (r *soakRun) runClientsAndFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	end := time.Now().Add(r.config.Duration)
	var workers sync.WaitGroup
	for i := range r.config.Clients {
		c := newClient(r, i, clientStreams+i)
		workers.Go(func() { c.run(end) })
	}
	workers.Go(func() { r.watchMemory(ctx) })
	if r.hasFloods() {
		workers.Go(func() { r.floodEdges(ctx, r.randomStream(floodStream)) })
	}
	for i := range r.config.ConcurrentFaults {
		random := r.randomStream(injectorStreams + i)
		workers.Go(func() { r.injectFaults(ctx, random) })
	}
	workers.Wait()
	r.irregularRequests.Wait()
}

// awaitRecovery checks that all edges are ready, waits until no engine holds a reservation, and checks that all edges serve
// requests.
func (r *soakRun) awaitRecovery() {
	for _, p := range r.edges {
		if err := p.awaitReady(readyTimeout); err != nil {
			r.recordViolation("at the end: %v", err)
		}
	}
	for end := time.Now().Add(recoveryTimeout); r.fleet.HeldReservations() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	var checks sync.WaitGroup
	for i, p := range r.edges {
		c := newClient(r, recoveryStreams+i, recoveryStreams+i)
		checks.Go(func() {
			defer c.closeAll()
			if !c.awaitCompletion(p, recoveryTimeout) {
				r.recordViolation("at the end: %s completed no request within %v", p.name(), recoveryTimeout)
			}
		})
	}
	checks.Wait()
}

// stop kills the edges and closes engines, proxies and discovery agents.
func (r *soakRun) stop() {
	for _, p := range r.edges {
		if p.command != nil {
			p.terminate(true, nil)
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

// recordViolation records a violation with the time since the start of the run.
func (r *soakRun) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, r.formatWithTime(format, args...))
}

// recordFault records an injected fault with the time since the start of the run.
func (r *soakRun) recordFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injectedFaults = append(r.injectedFaults, r.formatWithTime(format, args...))
}

func (r *soakRun) formatWithTime(format string, args ...any) string {
	return fmt.Sprintf("%6.2fs ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
}

// countResponse counts a response of an edge under its status or, for partial and pipelined requests, the kind.
func (r *soakRun) countResponse(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[kind]++
}

// recordUnanswered stores a request without a response for checkUnanswered, unless the edge was killed.
func (r *soakRun) recordUnanswered(p *edgeProcess, record audit.ClientRecord) {
	if p.wasKilled(record.Sent, record.End) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = append(r.unanswered, record)
}
