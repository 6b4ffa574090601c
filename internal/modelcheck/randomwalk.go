package modelcheck

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	maxWalkLength          = 2000
	faultKindProbability   = 0.5 // probability that a walk may inject a kind of fault
	faultRedrawProbability = 0.7 // probability that a drawn fault is replaced by another draw
)

// walk is the result of one random walk.
type walk struct {
	world           World // world with only the kinds of fault that this walk may inject
	path            Path
	violations      []string
	coverage        Coverage
	reachedTerminal bool
}

// RandomWalks runs a number of seeded random walks in a world that is too large to be explored exhaustively.
func RandomWalks(w World, seed uint64, count, workers int, stop func() bool) (r Result) {
	r.World = w
	walks := make([]walk, count)
	var nextWalk atomic.Int64
	var workersDone sync.WaitGroup
	for range max(1, workers) {
		workersDone.Go(func() {
			for {
				i := int(nextWalk.Add(1)) - 1
				if i >= count || stop != nil && stop() {
					return
				}
				walks[i] = randomWalk(w, rand.New(rand.NewPCG(seed, uint64(i))))
			}
		})
	}
	workersDone.Wait()
	for _, walked := range walks {
		r.Transitions += len(walked.path)
		r.Coverage.Add(walked.coverage)
		r.Depth = max(r.Depth, len(walked.path))
		if walked.reachedTerminal {
			r.TerminalStates++
		}
		if len(walked.violations) > 0 && r.Path == nil {
			r.World, r.Violations, r.Path = walked.world, walked.violations, walked.path
		}
	}
	r.States = r.Transitions
	return r
}

// randomWalk applies random events until no event is enabled, a property is violated or the walk reaches its maximum length.
func randomWalk(w World, random *rand.Rand) (result walk) {
	result.world = withRandomFaultKinds(w, random)
	exec := newExecution(result.world, false)
	for range maxWalkLength {
		enabled := exec.enabledEvents()
		if len(enabled) == 0 {
			if exec.isTerminal() {
				exec.checkTerminal()
				result.reachedTerminal = true
			}
			break
		}
		n := random.IntN(len(enabled))
		// Many of the enabled events of a large world are faults: choose them less often.
		if enabled[n].fault != noFault && random.Float64() < faultRedrawProbability {
			n = random.IntN(len(enabled))
		}
		result.path = append(result.path, uint8(n))
		exec.apply(enabled[n])
		if len(exec.violations()) > 0 {
			break
		}
	}
	result.violations, result.coverage = exec.violations(), exec.coverage()
	if len(result.violations) > 0 {
		result.path = shrink(result.world, result.path)
	}
	return result
}

// withRandomFaultKinds returns the world with a random subset of its kinds of fault. Walks with different subsets find more
// violations than walks that may inject every kind (swarm testing).
func withRandomFaultKinds(w World, random *rand.Rand) World {
	limited := w
	for _, kind := range FaultKinds() {
		if random.Float64() < faultKindProbability && w.allows(kind) {
			limited.FaultKinds = append(limited.FaultKinds, kind)
		}
	}
	return limited
}

// shrink removes events from a path while the shorter path still violates the same property.
func shrink(w World, path Path) Path {
	original, _ := replayPath(w, path, false)
	if len(original.violations()) == 0 {
		return path
	}
	property := propertyName(original.violations()[0])
	for size := len(path) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(path); {
			shorter := slices.Delete(slices.Clone(path), i, i+size)
			if exec, ok := replayPath(w, shorter, false); ok && len(exec.violations()) > 0 && propertyName(exec.violations()[0]) == property {
				path = shorter
			} else {
				i += size
			}
		}
	}
	return path
}
