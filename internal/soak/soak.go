// Package soak runs a few dozen real edges, each a process of its own, against fake engines, proxies, discovery agents and
// clients on loopback, while faults that a seed draws overlap in time. It checks what engines and clients saw, what the
// edges' own monitors report, and whether all edges serve again once the faults are over.
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
	Binary           string        // of the edge
	Seed             uint64        // draws all faults
	Edges            int           // processes
	Engines          int           // of each role
	Clients          int           // that send requests at the same time
	ConcurrentFaults int           // injected at the same time
	Duration         time.Duration // of the injection
	Folder           string        // for configurations and logs; created anew, and removed where nothing was found
}

const (
	// groupCount is how many groups of edges there are, each with its own discovery agent and proxies to engines.
	groupCount = 3
	// readyTimeout is within what an edge has to be ready.
	readyTimeout = 10 * time.Second
	// recoveryTimeout is within what all edges have to serve again after the last fault.
	recoveryTimeout = 8 * time.Second
	// resumeSeeds: every so manyth seed lets clients resume a broken stream, which changes how edges shut down.
	resumeSeeds = 3
)

// Streams of random numbers that the seed is split into. The run itself, each injector, each client and each recovery check
// have their own.
const (
	runStream       = 1
	injectorStreams = 10
	clientStreams   = 100
	recoveryStreams = 1000
	crowdStreams    = 10_000
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

	mu             sync.Mutex
	engines        []*listedEngine
	violations     []string
	injectedFaults []string
	responses      map[string]int
	lastEngine     int
	lastInCrowd    int                  // the number of the last client of a crowd
	unanswered     []audit.ClientRecord // of edges that were shutting down and were not killed
	auxiliary      sync.WaitGroup
}

// Run plays one seed.
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
	r.inject(ctx)
	r.awaitRecovery()
	r.stop()
	return r.report(), nil
}

func (r *soakRun) randomStream(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(r.config.Seed, uint64(stream)))
}

// start starts discovery, engines and edges, and waits until the edges are ready.
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

// resumes is whether clients of this run may resume a broken stream.
func (r *soakRun) resumes() bool { return r.config.Seed%resumeSeeds == 0 }

// inject runs clients and fault injectors side by side, for the duration of the run.
func (r *soakRun) inject(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.config.Duration)
	defer cancel()
	end := time.Now().Add(r.config.Duration)
	var all sync.WaitGroup
	for i := range r.config.Clients {
		c := newClient(r, i, clientStreams+i)
		all.Go(func() { c.run(end) })
	}
	for i := range r.config.ConcurrentFaults {
		random := r.randomStream(injectorStreams + i)
		all.Go(func() { r.injectFaults(ctx, random) })
	}
	all.Wait()
	r.auxiliary.Wait()
}

// awaitRecovery checks that all edges are ready and serve, and waits until no engine holds a reservation.
func (r *soakRun) awaitRecovery() {
	for _, p := range r.edges {
		if err := p.awaitReady(readyTimeout); err != nil {
			r.violate("at the end: %v", err)
		}
	}
	for end := time.Now().Add(recoveryTimeout); r.fleet.HeldReservations() > 0 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	var all sync.WaitGroup
	for i, p := range r.edges {
		c := newClient(r, recoveryStreams+i, recoveryStreams+i)
		all.Go(func() {
			defer c.closeAll()
			if !c.awaitServed(p, recoveryTimeout) {
				r.violate("at the end: %s serves nothing in %v", p.name(), recoveryTimeout)
			}
		})
	}
	all.Wait()
}

// stop kills the edges and closes everything else.
func (r *soakRun) stop() {
	for _, p := range r.edges {
		if p.command != nil {
			p.end(true, nil)
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

// violate notes a violation with its time.
func (r *soakRun) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, r.stamp(format, args...))
}

// noteFault notes an injected fault with its time.
func (r *soakRun) noteFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injectedFaults = append(r.injectedFaults, r.stamp(format, args...))
}

func (r *soakRun) stamp(format string, args ...any) string {
	return fmt.Sprintf("%6.2fs ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
}

// countResponse counts a response of an edge, by status or by kind of client.
func (r *soakRun) countResponse(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responses[kind]++
}

// noteUnanswered keeps a request without a response for checkUnanswered, unless its edge was killed.
func (r *soakRun) noteUnanswered(p *edgeProcess, record audit.ClientRecord) {
	if p.wasKilled(record.Sent, record.End) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = append(r.unanswered, record)
}
