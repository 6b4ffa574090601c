package modelcheck

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
)

const (
	maxWalkLength     = 2000
	faultKindShare    = 0.5 // of the kinds of fault that a walk may inject
	faultRedrawChance = 0.7 // that a fault which was drawn is drawn again
)

// walk is one random path.
type walk struct {
	world      World // with the kinds of fault that this walk may inject
	path       Path
	violations []string
	coverage   Coverage
	terminal   bool
}

// RandomWalks walks at random from seeds, deep into worlds that are too large to be explored exhaustively.
func RandomWalks(w World, seed uint64, count, workers int, stop func() bool) (r Result) {
	r.World = w
	walks := make([]walk, count)
	var next atomic.Int64
	var all sync.WaitGroup
	for range max(1, workers) {
		all.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= count || stop != nil && stop() {
					return
				}
				walks[i] = randomWalk(w, rand.New(rand.NewPCG(seed, uint64(i))))
			}
		})
	}
	all.Wait()
	for _, walked := range walks {
		r.Transitions += len(walked.path)
		r.Coverage.Add(walked.coverage)
		r.Depth = max(r.Depth, len(walked.path))
		if walked.terminal {
			r.Ends++
		}
		if len(walked.violations) > 0 && r.Path == nil {
			r.World, r.Violations, r.Path = walked.world, walked.violations, walked.path
		}
	}
	r.States = r.Transitions
	return r
}

// randomWalk walks until nothing can happen any more, a property is violated, or the walk is long enough.
func randomWalk(w World, random *rand.Rand) (result walk) {
	result.world = withSomeFaultKinds(w, random)
	x := newExecution(result.world, false)
	for range maxWalkLength {
		enabled := x.enabledEvents()
		if len(enabled) == 0 {
			if x.isTerminal() {
				x.checkTerminal()
				result.terminal = true
			}
			break
		}
		n := random.IntN(len(enabled))
		// Faults are one kind of event among many in a large world: choose them less often.
		if enabled[n].fault != noFault && random.Float64() < faultRedrawChance {
			n = random.IntN(len(enabled))
		}
		result.path = append(result.path, uint8(n))
		x.apply(enabled[n])
		if len(x.violations()) > 0 {
			break
		}
	}
	result.violations, result.coverage = x.violations(), x.coverage()
	if len(result.violations) > 0 {
		result.path = shrink(result.world, result.path)
	}
	return result
}

// withSomeFaultKinds leaves out some kinds of fault: walks that may each do less find more than walks that may do
// everything.
func withSomeFaultKinds(w World, random *rand.Rand) World {
	limited := w
	for _, kind := range FaultKinds() {
		if random.Float64() < faultKindShare && w.allows(kind) {
			limited.FaultKinds = append(limited.FaultKinds, kind)
		}
	}
	return limited
}

// shrink leaves out events that a violation does not need.
func shrink(w World, path Path) Path {
	full, _ := replayPath(w, path, false)
	if len(full.violations()) == 0 {
		return path
	}
	property := propertyName(full.violations()[0])
	for size := len(path) / 2; size > 0; size /= 2 {
		for i := 0; i+size <= len(path); {
			shorter := slices.Delete(slices.Clone(path), i, i+size)
			if x, ok := replayPath(w, shorter, false); ok && len(x.violations()) > 0 && propertyName(x.violations()[0]) == property {
				path = shorter
			} else {
				i += size
			}
		}
	}
	return path
}
