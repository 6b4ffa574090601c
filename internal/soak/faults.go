package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// maxFaultPause is the longest pause between two faults of one injector.
const maxFaultPause = 400 * time.Millisecond

// injector injects one fault and returns when the fault is over or ctx is done.
type injector func(ctx context.Context, random *rand.Rand)

// injectors returns the faults to draw from. A fault listed twice is drawn twice as often. The order of the list determines which
// sequence of faults a seed draws.
func (r *soakRun) injectors() []injector {
	return []injector{
		r.onRandomEdge(r.restartEdge), r.onRandomEdge(r.restartEdge), r.onRandomEdge(r.killEdge),
		r.reloadGroup, r.reloadGroup, r.stallAgent, r.slowDownAgent,
		r.stallEngine, r.resetEngineConnections, r.refuseEngineConnections, r.degradeEngineConnections, r.degradeEngineConnections,
		r.replaceEngine, r.replaceEngine,
		r.onRandomEdge(r.pauseEdge), r.onRandomEdge(r.exhaustDescriptors), r.onRandomEdge(r.interruptSystemCalls),
		r.onRandomEdge(r.throttleEdge), r.replaceManyEngines, r.sendClientBurst,
	}
}

// injectFaults injects random faults, one at a time, until ctx is done.
func (r *soakRun) injectFaults(ctx context.Context, random *rand.Rand) {
	injectors := r.injectors()
	for ctx.Err() == nil {
		injectors[random.IntN(len(injectors))](ctx, random)
		sleep(ctx, time.Duration(random.Int64N(int64(maxFaultPause))))
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// drawDuration returns a random duration of at least shortest and less than longest.
func drawDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
