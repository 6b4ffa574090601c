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

// trouble plays one trouble after the other until ctx ends.
func (r *run) trouble(ctx context.Context, random *rand.Rand) {
	kinds := []func(context.Context, *rand.Rand){r.restart, r.restart, r.kill, r.reload, r.reload, r.silentAgent, r.slowAgent,
		r.silentEngine, r.resetEngine, r.refusingEngine, r.brokenWay, r.brokenWay, r.replace, r.replace, r.pause, r.fewDescriptors, r.interrupt}
	for ctx.Err() == nil {
		kinds[random.IntN(len(kinds))](ctx, random)
		rest(ctx, time.Duration(random.Int64N(int64(400*time.Millisecond))))
	}
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// pick takes a node that no other trouble has.
func (r *run) pick(random *rand.Rand) *node {
	for range 10 {
		n := r.nodes[random.IntN(len(r.nodes))]
		n.mu.Lock()
		free := !n.taken
		n.taken = n.taken || free
		n.mu.Unlock()
		if free {
			return n
		}
	}
	return nil
}

func (n *node) giveBack() {
	n.mu.Lock()
	n.taken = false
	n.mu.Unlock()
}

// restart ends a node by SIGTERM and starts it again. Reloads and further SIGTERMs may come while it ends and while it
// starts.
func (r *run) restart(ctx context.Context, random *rand.Rand) {
	n := r.pick(random)
	if n == nil {
		return
	}
	defer n.giveBack()
	r.note("%s is told to end", n.name())
	n.stop(false, func() {
		if random.IntN(2) == 0 {
			rest(context.Background(), between(random, 0, 300*time.Millisecond))
			n.signal(syscall.SIGHUP)
		}
		if random.IntN(3) == 0 {
			n.signal(syscall.SIGTERM)
		}
	})
	r.again(n, random)
}

// again starts a node that has ended.
func (r *run) again(n *node, random *rand.Rand) {
	if err := n.start(); err != nil {
		r.fault("%s: %v", n.name(), err)
		return
	}
	if random.IntN(2) == 0 { // a reload that coincides with the start
		rest(context.Background(), between(random, 5*time.Millisecond, 60*time.Millisecond))
		n.signal(syscall.SIGHUP)
	}
	if err := n.awaitReady(readyTime); err != nil {
		r.fault("%v", err)
	}
	n.back()
}

func (r *run) kill(ctx context.Context, random *rand.Rand) {
	n := r.pick(random)
	if n == nil {
		return
	}
	defer n.giveBack()
	r.note("%s is killed", n.name())
	from := time.Now()
	n.stop(true, nil)
	rest(context.Background(), between(random, 0, time.Second))
	r.again(n, random)
	r.log.Killed(audit.Down{Edge: n.name(), From: from, To: time.Now()})
}

// reload moves the agent of a group of nodes and tells them, once or twice in a row, by a configuration that may be half
// written when they read it.
func (r *run) reload(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groups)
	times := 1 + random.IntN(2)
	r.note("discovery of group %d moves %d times", group, times)
	for range times {
		if _, err := r.discovery.move(group); err != nil {
			r.fault("discovery: %v", err)
			return
		}
		for _, n := range r.nodes {
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
		rest(ctx, between(random, 0, 300*time.Millisecond))
	}
}

func (r *run) silentAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groups)
	r.note("discovery of group %d is silent", group)
	r.discovery.setSilent(group, true)
	rest(ctx, between(random, time.Second, 4*time.Second))
	r.discovery.setSilent(group, false)
}

func (r *run) slowAgent(ctx context.Context, random *rand.Rand) {
	group := random.IntN(groups)
	r.note("discovery of group %d is slow", group)
	r.discovery.setSlow(group, between(random, 50*time.Millisecond, 300*time.Millisecond))
	rest(ctx, between(random, time.Second, 3*time.Second))
	r.discovery.setSlow(group, 0)
}

// way is the way from a group of nodes to an engine that is listed.
func (r *run) way(random *rand.Rand) (*listedEngine, *Proxy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[random.IntN(len(r.engines))]
	return e, e.proxies[random.IntN(groups)]
}

func (r *run) silentEngine(ctx context.Context, random *rand.Rand) {
	e, way := r.way(random)
	r.note("a way to %s falls silent", e.ID)
	way.Set(Silent)
	rest(ctx, between(random, 300*time.Millisecond, 3*time.Second))
	way.Set(Pass)
}

func (r *run) refusingEngine(ctx context.Context, random *rand.Rand) {
	e, way := r.way(random)
	r.note("a way to %s refuses", e.ID)
	way.Set(Refuse)
	rest(ctx, between(random, 100*time.Millisecond, time.Second))
	way.Set(Pass)
}

// brokenWay cuts, spoils or delays what passes.
func (r *run) brokenWay(ctx context.Context, random *rand.Rand) {
	e, way := r.way(random)
	fault := []Fault{Cut, Spoil, Late}[random.IntN(3)]
	r.note("a way to %s has fault %d", e.ID, fault)
	way.Set(fault)
	rest(ctx, between(random, 100*time.Millisecond, time.Second))
	way.Set(Pass)
}

func (r *run) resetEngine(_ context.Context, random *rand.Rand) {
	e, way := r.way(random)
	r.note("a way to %s is reset", e.ID)
	way.ResetAll()
}

// replace drains an engine, and puts another one in its place.
func (r *run) replace(ctx context.Context, random *rand.Rand) {
	r.mu.Lock()
	at := random.IntN(len(r.engines))
	old := r.engines[at]
	r.engines = slices.Delete(slices.Clone(r.engines), at, at+1)
	r.mu.Unlock()
	r.note("%s is replaced", old.ID)
	if _, err := r.addEngine(platformengine.Role(old.listed.kind)); err != nil {
		r.fault("an engine: %v", err)
		return
	}
	r.change(old, draining)
	r.tellDrain(old.ID)
	rest(context.Background(), between(random, 500*time.Millisecond, 2*time.Second))
	r.change(old, deleted)
	rest(context.Background(), 2*time.Second)
	old.close()
}

// toldLate is how long after a change the last node counts as told: agents may be silent for four seconds, move, or be slow.
const toldLate = 8 * time.Second

// tellDrain notes a drain for the judge, from when all nodes count as told.
func (r *run) tellDrain(id string) {
	r.log.Tell(audit.Told{At: time.Now().Add(toldLate), Engine: id, Ready: false})
}

// pause keeps a node from running for moments, and for longer ones.
func (r *run) pause(ctx context.Context, random *rand.Rand) {
	n := r.pick(random)
	if n == nil {
		return
	}
	defer n.giveBack()
	r.note("%s is held up", n.name())
	for range 1 + random.IntN(6) {
		n.signal(syscall.SIGSTOP)
		rest(context.Background(), between(random, 10*time.Millisecond, 150*time.Millisecond))
		n.signal(syscall.SIGCONT)
		rest(ctx, between(random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

// fewDescriptors lets a node's calls fail with EMFILE for a moment: accept, socket, dup.
func (r *run) fewDescriptors(ctx context.Context, random *rand.Rand) {
	n := r.pick(random)
	if n == nil {
		return
	}
	defer n.giveBack()
	r.note("%s has few descriptors", n.name())
	if err := n.limitDescriptors(random.IntN(4), between(random, 100*time.Millisecond, 800*time.Millisecond)); err != nil {
		r.fault("limit of descriptors: %v", err)
	}
}

// interrupt sends signals that only interrupt system calls.
func (r *run) interrupt(ctx context.Context, random *rand.Rand) {
	n := r.pick(random)
	if n == nil {
		return
	}
	defer n.giveBack()
	r.note("calls of %s are interrupted", n.name())
	for range 100 {
		n.signal(syscall.SIGWINCH)
		rest(ctx, between(random, time.Millisecond, 5*time.Millisecond))
	}
}
