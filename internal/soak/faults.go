package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// longestFaultPause is the longest time between two faults of one injector.
const longestFaultPause = 400 * time.Millisecond

// injector plays one fault from its begin to its end, or to the end of ctx.
type injector func(ctx context.Context, random *rand.Rand)

// injectors lists the faults to draw from. A fault listed twice is drawn twice as often. The seed determines the sequence of
// faults through the order of this list.
func (r *soakRun) injectors() []injector {
	return []injector{
		r.onEdge(r.restart), r.onEdge(r.restart), r.onEdge(r.kill),
		r.reload, r.reload, r.unresponsiveAgent, r.slowAgent,
		r.unresponsiveEngine, r.resetEngine, r.refusingEngine, r.faultyConnections, r.faultyConnections,
		r.replaceEngine, r.replaceEngine,
		r.onEdge(r.pauseEdge), r.onEdge(r.exhaustDescriptors), r.onEdge(r.interruptSystemCalls),
		r.onEdge(r.throttleEdge), r.replaceManyEngines, r.crowd,
	}
}

// injectFaults plays one fault after the other until ctx ends.
func (r *soakRun) injectFaults(ctx context.Context, random *rand.Rand) {
	injectors := r.injectors()
	for ctx.Err() == nil {
		injectors[random.IntN(len(injectors))](ctx, random)
		sleep(ctx, time.Duration(random.Int64N(int64(longestFaultPause))))
	}
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// between draws a duration.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
