package scenario

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sandcourse/internal/config"
)

// FaultKind is a kind of fault, by its name in scripts.
type FaultKind string

// The kinds of fault.
const (
	FaultCrash          FaultKind = "crash"           // engines crash and restart
	FaultVanish         FaultKind = "vanish"          // engines become unresponsive, and restart
	FaultMassRestart    FaultKind = "mass_restart"    // many engines crash and restart
	FaultSlow           FaultKind = "slow"            // engines are slower
	FaultNoisyNeighbour FaultKind = "neighbour"       // engines are slower, as with another tenant on the machine
	FaultAgeing         FaultKind = "ageing"          // engines become slower in steps
	FaultPauses         FaultKind = "pauses"          // engines are unresponsive for a part of each second
	FaultCacheFlush     FaultKind = "flush"           // engines lose their cached prefixes
	FaultSlowAccept     FaultKind = "handshake_slow"  // engines are slow to begin a response
	FaultStallFirst     FaultKind = "stall_first"     // engines stop before the first token
	FaultStall          FaultKind = "stall"           // engines stop in the middle of a stream
	FaultBreak          FaultKind = "break"           // engines reset the connection in the middle of a stream
	FaultHalfResponse   FaultKind = "half_answer"     // prefill responses are truncated
	FaultFalseLoad      FaultKind = "lie"             // engines report an empty load
	FaultFail           FaultKind = "fail"            // engines respond to attempts with an error status and no reason
	FaultDrain          FaultKind = "drain"           // engines drain
	FaultPreempt        FaultKind = "preempt"         // engines drain for a notice period and crash
	FaultBurst          FaultKind = "burst"           // more requests arrive
	FaultHotPrefix      FaultKind = "hot_key"         // many requests share a new prefix
	FaultStaleList      FaultKind = "discovery_stale" // the endpoint list is published late
	FaultEdgeCrash      FaultKind = "balancer_crash"  // edges crash and restart
	FaultEdgeRoll       FaultKind = "balancer_roll"   // edges restart one after the other
)

// faultTarget is the part of the system that a kind of fault affects.
type faultTarget uint8

const (
	targetEngines faultTarget = iota
	targetEdges
	targetTraffic
	targetList
)

// faultKindInfo holds the target and the default size of each kind of fault.
var faultKindInfo = map[FaultKind]struct {
	target faultTarget
	size   float64
}{
	FaultCrash: {targetEngines, 0}, FaultVanish: {targetEngines, 0}, FaultMassRestart: {targetEngines, 0}, FaultSlow: {targetEngines, 5},
	FaultNoisyNeighbour: {targetEngines, 2}, FaultAgeing: {targetEngines, 4}, FaultPauses: {targetEngines, 0.2},
	FaultCacheFlush: {targetEngines, 0}, FaultSlowAccept: {targetEngines, 0.1}, FaultStallFirst: {targetEngines, 0},
	FaultStall: {targetEngines, 1}, FaultBreak: {targetEngines, 3}, FaultHalfResponse: {targetEngines, 0}, FaultFalseLoad: {targetEngines, 0},
	FaultFail: {targetEngines, 500}, FaultDrain: {targetEngines, 0}, FaultPreempt: {targetEngines, 1}, FaultBurst: {targetTraffic, 2},
	FaultHotPrefix: {targetTraffic, 0.2}, FaultStaleList: {targetList, 2}, FaultEdgeCrash: {targetEdges, 0}, FaultEdgeRoll: {targetEdges, 0.2},
}

// FaultKinds returns the kinds of fault, sorted by name.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(faultKindInfo)) }

// size returns the size of the fault, or the default of its kind.
func (f Fault) size() float64 { return cmp.Or(f.Size, faultKindInfo[f.Kind].size) }

// seconds converts a size in seconds to a duration.
func seconds(size float64) time.Duration { return time.Duration(size * 1e9) }

// noTarget is the Engine of a step that affects no engine, and the Edge of a step that affects no edge.
const noTarget = -1

// Step is one action on an engine, an edge or the endpoint list.
type Step struct {
	At        time.Duration // time since the start of the scenario
	Kind      FaultKind
	Engine    int // index of an engine, or noTarget
	Edge      int // index of an edge, or noTarget
	Size      float64
	Duration  time.Duration
	EndsFault bool // the step ends the fault instead of starting it
}

// FaultSteps returns the steps of faults, ordered by time. The same faults and seed give the same steps.
func FaultSteps(faults []Fault, engineCount, prefillCount, edgeCount int, seed uint64) []Step {
	var steps []Step
	for n, f := range faults {
		random := rand.New(rand.NewPCG(seed+uint64(f.Selector), uint64(n)))
		switch faultKindInfo[f.Kind].target {
		case targetTraffic: // There are no steps: the load generator calls rateFactor and hotPrefixShare.
		case targetList:
			steps = append(steps, Step{At: f.At, Kind: f.Kind, Engine: noTarget, Edge: noTarget, Size: f.size()},
				Step{At: f.At + f.Duration, Kind: f.Kind, Engine: noTarget, Edge: noTarget, EndsFault: true})
		case targetEdges:
			for i, edge := range pickTargets(random, 0, edgeCount, f.Fraction) {
				steps = append(steps, f.edgeStep(i, edge, edgeCount))
			}
		case targetEngines:
			var picked []int
			if f.Role != config.RoleDecode {
				picked = append(picked, pickTargets(random, 0, prefillCount, f.Fraction)...)
			}
			if f.Role != config.RolePrefill {
				picked = append(picked, pickTargets(random, prefillCount, engineCount, f.Fraction)...)
			}
			for _, engine := range picked {
				steps = append(steps, f.engineSteps(engine)...)
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// edgeStep returns the step of a fault for its i-th edge. A rolling restart spreads the steps over its duration.
func (f Fault) edgeStep(i, edge, edgeCount int) Step {
	s := Step{At: f.At, Kind: f.Kind, Engine: noTarget, Edge: edge, Duration: f.Duration}
	if f.Kind == FaultEdgeRoll {
		s.At, s.Duration = f.At+time.Duration(i)*f.Duration/time.Duration(edgeCount), seconds(f.size())
	}
	return s
}

// ageingSteps is the number of steps in which an ageing engine reaches the full slowdown.
const ageingSteps = 4

// engineSteps returns the steps of a fault for one engine.
func (f Fault) engineSteps(engine int) (steps []Step) {
	begin := Step{At: f.At, Kind: f.Kind, Engine: engine, Edge: noTarget, Size: f.size(), Duration: f.Duration}
	end := begin
	end.At, end.EndsFault = f.At+f.Duration, true
	switch f.Kind {
	case FaultCacheFlush:
		return []Step{begin}
	case FaultPauses: // The steps are a pause of size seconds in every second.
		for at := time.Duration(0); at < f.Duration; at += time.Second {
			pause, resume := begin, end
			pause.At, resume.At = f.At+at, f.At+at+seconds(f.size())
			steps = append(steps, pause, resume)
		}
		return steps
	case FaultAgeing:
		for i := range ageingSteps {
			s := begin
			s.At, s.Size = f.At+time.Duration(i)*f.Duration/ageingSteps, 1+(f.size()-1)*float64(i+1)/ageingSteps
			steps = append(steps, s)
		}
		return append(steps, end)
	}
	return []Step{begin, end}
}

// pickTargets picks a random fraction of the indexes from low to high-1, at least one if the fraction is not zero.
func pickTargets(random *rand.Rand, low, high int, fraction float64) []int {
	count := int(fraction*float64(high-low) + 0.5)
	if fraction > 0 && high > low {
		count = max(1, count)
	}
	picked := random.Perm(high - low)[:min(count, high-low)]
	for i := range picked {
		picked[i] += low
	}
	slices.Sort(picked)
	return picked
}

// rateFactor returns the factor by which bursts multiply the request rate, as a function of time.
func rateFactor(faults []Fault) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		factor := 1.0
		for _, f := range faults {
			if f.Kind == FaultBurst && f.active(at) {
				factor *= f.size()
			}
		}
		return factor
	}
}

// hotPrefixShare returns the share of new sessions that begin with a hot prefix, as a function of time.
func hotPrefixShare(faults []Fault) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		share := 0.0
		for _, f := range faults {
			if f.Kind == FaultHotPrefix && f.active(at) {
				share = max(share, f.size())
			}
		}
		return share
	}
}
