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

// listDelay is the time after a change of the endpoint list by which every edge is expected to have it: agents may be unresponsive
// for four seconds, move, or be slow.
const listDelay = 8 * time.Second

// deletedEngineRunTime is how long an engine keeps running after its deletion from discovery.
const deletedEngineRunTime = 2 * time.Second

// reloadGroup moves the discovery agent of a group of edges and reloads the edges' configurations, once or twice in a row. An
// edge may read a truncated configuration.
func (r *soakRun) reloadGroup(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	times := 1 + random.IntN(2)
	r.recordFault("discovery agent of group %d moves %d times", group, times)
	for range times {
		if err := r.discovery.moveAgent(group); err != nil {
			r.recordViolation("discovery: %v", err)
			return
		}
		for _, p := range r.edges {
			if p.group == group {
				r.reloadEdge(random, p)
			}
		}
		sleep(ctx, drawDuration(random, 0, 300*time.Millisecond))
	}
}

// reloadEdge makes an edge reload its configuration. One configuration in four is truncated at first and complete up to 200 ms
// later.
func (r *soakRun) reloadEdge(random *rand.Rand, p *edgeProcess) {
	truncated := random.IntN(4) == 0
	if err := p.writeConfig(truncated); err != nil {
		r.recordViolation("configuration of %s: %v", p.name(), err)
	}
	p.signal(syscall.SIGHUP)
	if truncated {
		time.AfterFunc(drawDuration(random, 0, 200*time.Millisecond), func() {
			_ = p.writeConfig(false) // The run's folder may have been removed by then.
		})
	}
}

func (r *soakRun) stallAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.recordFault("discovery agent of group %d is unresponsive", group)
	r.discovery.setUnresponsive(group, true)
	sleep(ctx, drawDuration(random, time.Second, 4*time.Second))
	r.discovery.setUnresponsive(group, false)
}

func (r *soakRun) slowDownAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.recordFault("discovery agent of group %d is slow", group)
	r.discovery.setChunkDelay(group, drawDuration(random, 50*time.Millisecond, 300*time.Millisecond))
	sleep(ctx, drawDuration(random, time.Second, 3*time.Second))
	r.discovery.setChunkDelay(group, 0)
}

// pickProxy returns a random engine and its proxy for a random group of edges.
func (r *soakRun) pickProxy(random *rand.Rand) (*listedEngine, *proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[random.IntN(len(r.engines))]
	return e, e.proxies[random.IntN(groupCount)]
}

// injectProxyFault sets the fault of a proxy for the given duration.
func (r *soakRun) injectProxyFault(ctx context.Context, e *listedEngine, p *proxy, fault proxyFault, duration time.Duration) {
	r.recordFault("connections to %s: %v", e.ID, fault)
	p.setFault(fault)
	sleep(ctx, duration)
	p.setFault(noFault)
}

func (r *soakRun) stallEngine(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.injectProxyFault(ctx, e, p, connectionsStalled, drawDuration(random, 300*time.Millisecond, 3*time.Second))
}

func (r *soakRun) refuseEngineConnections(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.injectProxyFault(ctx, e, p, connectionsRefused, drawDuration(random, 100*time.Millisecond, time.Second))
}

// degradeEngineConnections cuts or garbles responses, or delays requests, on the connections to an engine.
func (r *soakRun) degradeEngineConnections(ctx context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	fault := []proxyFault{responsesCut, responsesGarbled, requestsDelayed}[random.IntN(3)]
	r.injectProxyFault(ctx, e, p, fault, drawDuration(random, 100*time.Millisecond, time.Second))
}

func (r *soakRun) resetEngineConnections(_ context.Context, random *rand.Rand) {
	e, p := r.pickProxy(random)
	r.recordFault("connections to %s: reset", e.ID)
	p.resetAll()
}

// replaceEngine replaces a random engine.
func (r *soakRun) replaceEngine(_ context.Context, random *rand.Rand) {
	r.replaceWithNewEngine(r.removeFaultTarget(random), drawDuration(random, 500*time.Millisecond, 2*time.Second))
}

// replaceManyEngines replaces half of the engines at once.
func (r *soakRun) replaceManyEngines(_ context.Context, random *rand.Rand) {
	var replacements sync.WaitGroup
	for range r.config.Engines {
		old, drainTime := r.removeFaultTarget(random), drawDuration(random, 500*time.Millisecond, 2*time.Second)
		replacements.Go(func() { r.replaceWithNewEngine(old, drainTime) })
	}
	replacements.Wait()
}

// removeFaultTarget removes a random engine from the targets of faults and returns it. It returns nil if only one engine is
// left.
func (r *soakRun) removeFaultTarget(random *rand.Rand) *listedEngine {
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

// replaceWithNewEngine starts an engine with the role of an old one, and drains, deletes and stops the old one.
func (r *soakRun) replaceWithNewEngine(old *listedEngine, drainTime time.Duration) {
	if old == nil {
		return
	}
	r.recordFault("%s is replaced", old.ID)
	if err := r.addEngine(platformengine.Role(old.entry.kind)); err != nil {
		r.recordViolation("start replacement engine: %v", err)
		return
	}
	r.setInstanceState(old, instanceDraining)
	r.recordDrain(old.ID)
	time.Sleep(drainTime)
	r.setInstanceState(old, instanceDeleted)
	time.Sleep(deletedEngineRunTime)
	old.close()
}

// recordDrain records a drain for the audit. The drain starts when every edge is expected to have the changed endpoint list.
func (r *soakRun) recordDrain(id string) {
	r.log.RecordReadiness(audit.ReadinessChange{At: time.Now().Add(listDelay), Engine: id, Ready: false})
}
