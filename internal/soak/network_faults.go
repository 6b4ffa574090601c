package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
)

// listDelay is how long after a change all edges count as notified: agents may be unresponsive for four seconds, move, or be
// slow.
const listDelay = 8 * time.Second

// replacedEngineTime is how long an engine runs on after it has been deleted from discovery.
const replacedEngineTime = 2 * time.Second

// reload moves the discovery agent of a group of edges and reloads their configurations, once or twice in a row. A
// configuration may be truncated when they read it.
func (r *soakRun) reload(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	times := 1 + random.IntN(2)
	r.noteFault("discovery of group %d moves %d times", group, times)
	for range times {
		if err := r.discovery.moveAgent(group); err != nil {
			r.violate("discovery: %v", err)
			return
		}
		for _, p := range r.edges {
			if p.group == group {
				r.reloadEdge(random, p)
			}
		}
		sleep(ctx, between(random, 0, 300*time.Millisecond))
	}
}

// reloadEdge lets an edge read its configuration anew. One in four is truncated at first.
func (r *soakRun) reloadEdge(random *rand.Rand, p *edgeProcess) {
	truncated := random.IntN(4) == 0
	if err := p.configure(truncated); err != nil {
		r.violate("configuration of %s: %v", p.name(), err)
	}
	p.signal(syscall.SIGHUP)
	if truncated {
		time.AfterFunc(between(random, 0, 200*time.Millisecond), func() {
			_ = p.configure(false) // the run's folder may have been removed by then
		})
	}
}

func (r *soakRun) unresponsiveAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.noteFault("discovery of group %d is unresponsive", group)
	r.discovery.setUnresponsive(group, true)
	sleep(ctx, between(random, time.Second, 4*time.Second))
	r.discovery.setUnresponsive(group, false)
}

func (r *soakRun) slowAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.noteFault("discovery of group %d is slow", group)
	r.discovery.setChunkDelay(group, between(random, 50*time.Millisecond, 300*time.Millisecond))
	sleep(ctx, between(random, time.Second, 3*time.Second))
	r.discovery.setChunkDelay(group, 0)
}

// pickProxy draws a listed engine, and the proxy between it and a group of edges.
func (r *soakRun) pickProxy(random *rand.Rand) (*listedEngine, *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[random.IntN(len(r.engines))]
	return e, e.proxies[random.IntN(groupCount)]
}

// playProxyFault gives a proxy a fault for a time.
func (r *soakRun) playProxyFault(ctx context.Context, e *listedEngine, p *proxy, fault proxyFault, duration time.Duration) {
	r.noteFault("connections to %s: %v", e.ID, fault)
	p.setFault(fault)
	sleep(ctx, duration)
	p.setFault(noFault)
}

func (r *soakRun) unresponsiveEngine(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.playProxyFault(ctx, e, p, unresponsive, between(random, 300*time.Millisecond, 3*time.Second))
}

func (r *soakRun) refusingEngine(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.playProxyFault(ctx, e, p, connectionsRefused, between(random, 100*time.Millisecond, time.Second))
}

// faultyConnections cuts, garbles or delays what passes.
func (r *soakRun) faultyConnections(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	fault := []proxyFault{responsesCut, responsesGarbled, requestsDelayed}[random.IntN(3)]
	r.playProxyFault(ctx, e, p, fault, between(random, 100*time.Millisecond, time.Second))
}

func (r *soakRun) resetEngine(_ context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.noteFault("connections to %s: reset", e.ID)
	p.resetAll()
}

// replaceEngine drains an engine, and starts another one in its place.
func (r *soakRun) replaceEngine(_ context.Context, random *rand.Rand) {
	r.replace(r.takeEngine(random), between(random, 500*time.Millisecond, 2*time.Second))
}

// replaceManyEngines replaces half of the engines at once.
func (r *soakRun) replaceManyEngines(_ context.Context, random *rand.Rand) {
	var all sync.WaitGroup
	for range r.config.Engines {
		old, drainTime := r.takeEngine(random), between(random, 500*time.Millisecond, 2*time.Second)
		all.Go(func() { r.replace(old, drainTime) })
	}
	all.Wait()
}

// takeEngine takes an engine off those that faults are drawn for; nil where there is none.
func (r *soakRun) takeEngine(random *rand.Rand) *listedEngine {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.engines) <= 1 {
		return nil
	}
	at := random.IntN(len(r.engines))
	old := r.engines[at]
	r.engines = slices.Delete(slices.Clone(r.engines), at, at+1)
	return old
}

// replace drains an engine that was taken, and starts another one in its place.
func (r *soakRun) replace(old *listedEngine, drainTime time.Duration) {
	if old == nil {
		return
	}
	r.noteFault("%s is replaced", old.ID)
	if err := r.addEngine(platformengine.Role(old.listed.kind)); err != nil {
		r.violate("an engine: %v", err)
		return
	}
	r.setState(old, draining)
	r.recordDrain(old.ID)
	time.Sleep(drainTime)
	r.setState(old, deleted)
	time.Sleep(replacedEngineTime)
	old.close()
}

// recordDrain records a drain for the audit, from when all edges count as notified.
func (r *soakRun) recordDrain(id string) {
	r.log.RecordReadiness(audit.ReadinessChange{At: time.Now().Add(listDelay), Engine: id, Ready: false})
}
