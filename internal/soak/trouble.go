package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/fake/platformengine"
)

// injectFaults plays one trouble after the other until ctx ends.
func (r *soakRun) injectFaults(ctx context.Context, random *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){r.restart, r.restart, r.kill, r.reload, r.reload, r.silentAgent, r.slowAgent,
		r.silentEngine, r.resetEngine, r.refusingEngine, r.brokenConnection, r.brokenConnection, r.replace, r.replace, r.pause, r.fewDescriptors, r.interrupt}
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))](ctx, random)
		pause(ctx, time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// pickRouter takes a node that no other trouble has.
func (r *soakRun) pickRouter(random *rand.Rand) *routerProcess {
	for range 10 {
		n := r.routers[random.IntN(len(r.routers))]
		n.mu.Lock()
		free := !n.faulty
		n.faulty = n.faulty || free
		n.mu.Unlock()
		if free {
			return n
		}
	}
	return nil
}

func (n *routerProcess) releaseFromFault() {
	n.mu.Lock()
	n.faulty = false
	n.mu.Unlock()
}

// restart ends a node by SIGTERM and starts it again. Reloads and further SIGTERMs may come while it ends and while it
// starts.
func (r *soakRun) restart(ctx context.Context, random *rand.Rand) {
	n := r.pickRouter(random)
	if n == nil {
		return
	}
	defer n.releaseFromFault()
	r.noteFault("%s is told to end", n.name())
	n.stop(false, func() {
		if random.IntN(2) == 0 {
			pause(context.Background(), between(random, 0, 300*time.Millisecond))
			n.signal(syscall.SIGHUP)
		}
		if random.IntN(3) == 0 {
			n.signal(syscall.SIGTERM)
		}
	})
	r.startAgain(n, random)
}

// startAgain starts a node that has ended.
func (r *soakRun) startAgain(n *routerProcess, random *rand.Rand) {
	if err := n.start(); err != nil {
		r.violate("%s: %v", n.name(), err)
		return
	}
	if random.IntN(2) == 0 { // a reload that coincides with the start
		pause(context.Background(), between(random, 5*time.Millisecond, 60*time.Millisecond))
		n.signal(syscall.SIGHUP)
	}
	if err := n.awaitReady(readyTime); err != nil {
		r.violate("%v", err)
	}
	n.recovered()
}

func (r *soakRun) kill(ctx context.Context, random *rand.Rand) {
	n := r.pickRouter(random)
	if n == nil {
		return
	}
	defer n.releaseFromFault()
	r.noteFault("%s is killed", n.name())
	from := time.Now()
	n.stop(true, nil)
	pause(context.Background(), between(random, 0, time.Second))
	r.startAgain(n, random)
	r.log.RecordOutage(audit.Outage{Edge: n.name(), From: from, To: time.Now()})
}

// reload moves the agent of a group of nodes and tells them, once or twice in a row, by a configuration that may be half
// written when they read it.
func (r *soakRun) reload(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	times := 1 + random.IntN(2)
	r.noteFault("discovery of group %d moves %d times", group, times)
	for range times {
		if _, err := r.discovery.moveAgent(group); err != nil {
			r.violate("discovery: %v", err)
			return
		}
		for _, n := range r.routers {
			if n.group != group {
				continue
			}
			half := random.IntN(4) == 0
			n.configure(half)
			n.signal(syscall.SIGHUP)
			if half {
				time.AfterFunc(between(random, 0, 200*time.Millisecond), func() { n.configure(false) })
			}
		}
		pause(ctx, between(random, 0, 300*time.Millisecond))
	}
}

func (r *soakRun) silentAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.noteFault("discovery of group %d is silent", group)
	r.discovery.setSilent(group, true)
	pause(ctx, between(random, time.Second, 4*time.Second))
	r.discovery.setSilent(group, false)
}

func (r *soakRun) slowAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groupCount)
	r.noteFault("discovery of group %d is slow", group)
	r.discovery.setSlow(group, between(random, 50*time.Millisecond, 300*time.Millisecond))
	pause(ctx, between(random, time.Second, 3*time.Second))
	r.discovery.setSlow(group, 0)
}

// pickProxy is the way from a group of nodes to an engine that is listed.
func (r *soakRun) pickProxy(random *rand.Rand) (*listedEngine, *Proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[random.IntN(len(r.engines))]
	return e, e.proxies[random.IntN(groupCount)]
}

func (r *soakRun) silentEngine(ctx context.Context, random *rand.Rand) {
	e, way := r.pickProxy(random)
	r.noteFault("a way to %s falls silent", e.ID)
	way.Set(Silent)
	pause(ctx, between(random, 300*time.Millisecond, 3*time.Second))
	way.Set(Pass)
}

func (r *soakRun) refusingEngine(ctx context.Context, random *rand.Rand) {
	e, way := r.pickProxy(random)
	r.noteFault("a way to %s refuses", e.ID)
	way.Set(Refuse)
	pause(ctx, between(random, 100*time.Millisecond, time.Second))
	way.Set(Pass)
}

// brokenConnection cuts, spoils or delays what passes.
func (r *soakRun) brokenConnection(ctx context.Context, random *rand.Rand) {
	e, way := r.pickProxy(random)
	fault := []Fault{Cut, Spoil, Late}[random.IntN(3)]
	r.noteFault("a way to %s has fault %d", e.ID, fault)
	way.Set(fault)
	pause(ctx, between(random, 100*time.Millisecond, time.Second))
	way.Set(Pass)
}

func (r *soakRun) resetEngine(_ context.Context, random *rand.Rand) {
	e, way := r.pickProxy(random)
	r.noteFault("a way to %s is reset", e.ID)
	way.ResetAll()
}

// replace drains an engine, and puts another one in its place.
func (r *soakRun) replace(ctx context.Context, random *rand.Rand) {
	r.mu.Lock()
	at := random.IntN(len(r.engines))
	old := r.engines[at]
	r.engines = slices.Delete(slices.Clone(r.engines), at, at+1)
	r.mu.Unlock()
	r.noteFault("%s is replaced", old.ID)
	if _, err := r.addEngine(platformengine.Role(old.listed.kind)); err != nil {
		r.violate("an engine: %v", err)
		return
	}
	r.setState(old, draining)
	r.announceDrain(old.ID)
	pause(context.Background(), between(random, 500*time.Millisecond, 2*time.Second))
	r.setState(old, deleted)
	pause(context.Background(), 2*time.Second)
	old.close()
}

// listDelay is how long after a change the last node counts as told: agents may be silent for four seconds, move, or be slow.
const listDelay = 8 * time.Second

// announceDrain notes a drain for the judge, from when all nodes count as told.
func (r *soakRun) announceDrain(id string) {
	r.log.RecordReadiness(audit.ReadinessChange{At: time.Now().Add(listDelay), Engine: id, Ready: false})
}

// pause keeps a node from running for moments, and for longer ones.
func (r *soakRun) pause(ctx context.Context, random *rand.Rand) {
	n := r.pickRouter(random)
	if n == nil {
		return
	}
	defer n.releaseFromFault()
	r.noteFault("%s is held up", n.name())
	for range 1 + random.IntN(6) {
		n.signal(syscall.SIGSTOP)
		pause(context.Background(), between(random, 10*time.Millisecond, 150*time.Millisecond))
		n.signal(syscall.SIGCONT)
		pause(ctx, between(random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

// fewDescriptors lets a node's calls fail with EMFILE for a moment: accept, socket, dup.
func (r *soakRun) fewDescriptors(ctx context.Context, random *rand.Rand) {
	n := r.pickRouter(random)
	if n == nil {
		return
	}
	defer n.releaseFromFault()
	r.noteFault("%s has few descriptors", n.name())
	if err := n.limitDescriptors(random.IntN(4), between(random, 100*time.Millisecond, 800*time.Millisecond)); err != nil {
		r.violate("limit of descriptors: %v", err)
	}
}

// interrupt sends signals that only interrupt system calls.
func (r *soakRun) interrupt(ctx context.Context, random *rand.Rand) {
	n := r.pickRouter(random)
	if n == nil {
		return
	}
	defer n.releaseFromFault()
	r.noteFault("calls of %s are interrupted", n.name())
	for range 100 {
		n.signal(syscall.SIGWINCH)
		pause(ctx, between(random, time.Millisecond, 5*time.Millisecond))
	}
}
