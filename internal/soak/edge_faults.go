package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"sandcourse/internal/audit"
)

const (
	pickAttempts     = 10  // to find an edge that no other injector has
	interruptSignals = 100 // of one fault
)

// onEdge plays a fault on a random edge that no other injector has; none where all that were drawn are taken.
func (r *soakRun) onEdge(fault func(context.Context, *rand.Rand, *edgeProcess)) injector {
	return func(ctx context.Context, random *rand.Rand) {
		p := r.pickEdge(random)
		if p == nil {
			return
		}
		defer p.releaseFromFault()
		fault(ctx, random, p)
	}
}

func (r *soakRun) pickEdge(random *rand.Rand) *edgeProcess {
	for range pickAttempts {
		p := r.edges[random.IntN(len(r.edges))]
		p.mu.Lock()
		free := !p.faulty
		p.faulty = true
		p.mu.Unlock()
		if free {
			return p
		}
	}
	return nil
}

func (p *edgeProcess) releaseFromFault() {
	p.mu.Lock()
	p.faulty = false
	p.mu.Unlock()
}

// restart ends an edge by SIGTERM and starts it again. Reloads and further SIGTERMs may come while it shuts down and while it
// starts.
func (r *soakRun) restart(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.noteFault("%s is terminated", p.name())
	p.end(false, func() { p.signalSeries(random) })
	r.startAgain(p, random)
}

// signalSeries sends up to three signals to an edge that is shutting down, some at once and some apart.
func (p *edgeProcess) signalSeries(random *rand.Rand) {
	for range random.IntN(4) {
		if random.IntN(2) == 0 {
			time.Sleep(between(random, 0, 300*time.Millisecond))
		}
		p.signal([]syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)])
	}
}

// startAgain starts an edge that has ended.
func (r *soakRun) startAgain(p *edgeProcess, random *rand.Rand) {
	if err := p.start(); err != nil {
		r.violate("%s: %v", p.name(), err)
		return
	}
	if random.IntN(2) == 0 { // a reload that coincides with the start
		time.Sleep(between(random, 5*time.Millisecond, 60*time.Millisecond))
		p.signal(syscall.SIGHUP)
	}
	if err := p.awaitReady(readyTimeout); err != nil {
		r.violate("%v", err)
	}
	p.recovered()
}

// kill ends an edge by SIGKILL and starts it again.
func (r *soakRun) kill(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.noteFault("%s is killed", p.name())
	from := time.Now()
	p.end(true, nil)
	time.Sleep(between(random, 0, time.Second))
	r.startAgain(p, random)
	r.log.RecordOutage(audit.Outage{Edge: p.name(), From: from, To: time.Now()})
}

// pauseEdge keeps an edge from being scheduled, again and again.
func (r *soakRun) pauseEdge(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	r.noteFault("%s is paused", p.name())
	for range 1 + random.IntN(6) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(between(random, 10*time.Millisecond, 150*time.Millisecond))
		p.signal(syscall.SIGCONT)
		sleep(ctx, between(random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

// throttleEdge gives an edge a share of a core for a while.
func (r *soakRun) throttleEdge(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	const leastShare, mostShare = 0.1, 0.4 // the most is what the operators' deployment allows
	share := leastShare + (mostShare-leastShare)*random.Float64()
	ctx, cancel := context.WithTimeout(ctx, between(random, 500*time.Millisecond, 3*time.Second))
	defer cancel()
	r.noteFault("%s has %.2f of a core", p.name(), share)
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	Throttle(ctx, pid, share)
}

// throttlePeriod is how often a process with a share of a core runs.
const throttlePeriod = 40 * time.Millisecond

// Throttle gives a process a share of a core until ctx ends, by stopping it for the rest of each period. It ends early where
// the process has ended.
func Throttle(ctx context.Context, pid int, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	for ctx.Err() == nil {
		if syscall.Kill(pid, syscall.SIGSTOP) != nil {
			return
		}
		time.Sleep(throttlePeriod - running)
		_ = syscall.Kill(pid, syscall.SIGCONT) // fails where it has been killed meanwhile
		time.Sleep(running)
	}
}

// exhaustDescriptors lets an edge's accept, socket and dup calls fail with EMFILE for a moment.
func (r *soakRun) exhaustDescriptors(_ context.Context, random *rand.Rand, p *edgeProcess) {
	r.noteFault("%s has few descriptors left", p.name())
	if err := p.limitDescriptors(random.IntN(4), between(random, 100*time.Millisecond, 800*time.Millisecond)); err != nil {
		r.violate("limit of descriptors: %v", err)
	}
}

// interruptSystemCalls sends signals that do nothing but interrupt system calls.
func (r *soakRun) interruptSystemCalls(ctx context.Context, random *rand.Rand, p *edgeProcess) {
	r.noteFault("system calls of %s are interrupted", p.name())
	for range interruptSignals {
		p.signal(syscall.SIGWINCH)
		sleep(ctx, between(random, time.Millisecond, 5*time.Millisecond))
	}
}
