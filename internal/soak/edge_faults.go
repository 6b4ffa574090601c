package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"sandcourse/internal/audit"
)

const (
	claimAttempts    = 10  // number of random picks to find an edge that no other injector has claimed
	interruptSignals = 100 // number of signals that one interruptSystemCalls fault sends
)

// onRandomEdge returns an injector that runs a fault on a random edge that no other injector has claimed. The injector does
// nothing if every drawn edge is claimed.
func (r *soakRun) onRandomEdge(fault func(context.Context, *rand.Rand, *edgeProcess)) injector {
	return func(ctx context.Context, random *rand.Rand) {
		p := r.claimEdge(random)
		if p == nil {
			return
		}
		defer p.releaseClaim()
		fault(ctx, random, p)
	}
}

// claimEdge claims a random edge for one injector. It returns nil if every drawn edge is claimed.
func (r *soakRun) claimEdge(random *rand.Rand) *edgeProcess {
	for range claimAttempts {
		p := r.edges[random.IntN(len(r.edges))]
		p.mu.Lock()
		free := !p.claimed
		p.claimed = true
		p.mu.Unlock()
		if free {
			return p
		}
	}
	return nil
}

func (p *edgeProcess) releaseClaim() {
	p.mu.Lock()
	p.claimed = false
	p.mu.Unlock()
}

// restartEdge terminates an edge by SIGTERM and starts it again. The edge may receive SIGHUP (reload) and further SIGTERMs while
// it shuts down, and SIGHUP while it starts.
func (r *soakRun) restartEdge(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.recordFault("%s is terminated", p.name())
	p.terminate(false, func() { p.sendSignals(random) })
	r.startAfterExit(p, random)
}

// sendSignals sends up to three signals to an edge that is shutting down, each with or without a delay before it.
func (p *edgeProcess) sendSignals(random *rand.Rand) {
	for range random.IntN(4) {
		if random.IntN(2) == 0 {
			time.Sleep(drawDuration(random, 0, 300*time.Millisecond))
		}
		p.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
	}
}

// startAfterExit starts an edge whose process has exited, and waits until the edge is ready.
func (r *soakRun) startAfterExit(p *edgeProcess, random *rand.Rand) {
	if err := p.start(); err != nil {
		r.recordViolation("%s: %v", p.name(), err)
		return
	}
	if random.IntN(2) == 0 { // The edge has to reload during its start.
		time.Sleep(drawDuration(random, 5*time.Millisecond, 60*time.Millisecond))
		p.signal(syscall.SIGHUP)
	}
	if err := p.awaitReady(readyTimeout); err != nil {
		r.recordViolation("%v", err)
	}
	p.recordRecovery()
}

// killEdge terminates an edge by SIGKILL and starts it again.
func (r *soakRun) killEdge(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.recordFault("%s is killed", p.name())
	from := time.Now()
	p.terminate(true, nil)
	time.Sleep(drawDuration(random, 0, time.Second))
	r.startAfterExit(p, random)
	r.log.RecordOutage(audit.Outage{Edge: p.name(), From: from, To: time.Now()})
}

// pauseEdge stops and continues an edge's process a few times.
func (r *soakRun) pauseEdge(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	r.recordFault("%s is paused", p.name())
	for range 1 + random.IntN(6) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(drawDuration(random, 10*time.Millisecond, 150*time.Millisecond))
		p.signal(syscall.SIGCONT)
		sleep(ctx, drawDuration(random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

// throttleEdge limits an edge to a share of a core for a random time.
func (r *soakRun) throttleEdge(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	const minShare, maxShare = 0.1, 0.4 // maxShare is the CPU limit of the operators' deployment
	share := minShare + (maxShare-minShare)*random.Float64()
	ctx, cancel := context.WithTimeout(ctx, drawDuration(random, 500*time.Millisecond, 3*time.Second))
	defer cancel()
	r.recordFault("%s is limited to %.2f of a core", p.name(), share)
	Throttle(ctx, p.pid(), share)
}

// throttlePeriod is the length of one cycle in which a throttled process is stopped and then runs.
const throttlePeriod = 40 * time.Millisecond

// Throttle limits a process to a share of a core until ctx ends, by stopping the process for the rest of each period. It returns
// early if the process has exited.
func Throttle(ctx context.Context, pid int, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		if syscall.Kill(pid, syscall.SIGSTOP) != nil {
			return
		}
		time.Sleep(throttlePeriod - running)
		_ = syscall.Kill(pid, syscall.SIGCONT) // Kill fails if the process has been killed meanwhile.
		time.Sleep(running)
	}
}

// exhaustDescriptors makes an edge's accept, socket and dup calls fail with EMFILE for a short time.
func (r *soakRun) exhaustDescriptors(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.recordFault("%s has few free descriptors", p.name())
	if err := p.limitDescriptors(random.IntN(4), drawDuration(random, 100*time.Millisecond, 800*time.Millisecond)); err != nil {
		r.recordViolation("limit descriptors: %v", err)
	}
}

// interruptSystemCalls sends SIGWINCH signals, whose only effect is to interrupt system calls.
func (r *soakRun) interruptSystemCalls(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	r.recordFault("system calls of %s are interrupted", p.name())
	for range interruptSignals {
		p.signal(syscall.SIGWINCH)
		sleep(ctx, drawDuration(random, time.Millisecond, 5*time.Millisecond))
	}
}
