package routing

import (
	"math"
	"time"
)

// isWarmingUp reports whether an engine has started so recently that slow start limits its attempts.
func (p *Policy) isWarmingUp(e *engine) bool {
	return e.warmingUpSince != 0 && p.now-e.warmingUpSince <= p.config.SlowStart.Duration
}

// withinSlowStartBudget reports whether this node may send an attempt to an engine. The budget prevents the nodes together
// from overloading an engine that is warming up. The integer part of the budget is available to each node. For the
// fractional part, a random number that is the same at all nodes selects the nodes that may send.
func (p *Policy) withinSlowStartBudget(e *engine) bool {
	if !p.isWarmingUp(e) {
		return true
	}
	window := max(4, p.config.SlowStart.Window)
	nodes := max(1, float64(p.config.Nodes))
	whole, fraction := math.Modf(p.slowStartBudget(e, window))
	// A window overlaps five quarters at most, so each quarter grants a fifth of the fraction. As the random selection
	// is uneven, only two thirds of that are granted.
	firstNode := e.sharedDraw(int64(4*p.now/window)) * nodes
	idle := p.countSince(e.sendTimes, window/4) == 0
	if math.Mod(float64(p.config.Node)+firstNode, nodes) < fraction*nodes/7.5 && idle {
		whole++
	}
	return p.countSince(e.sendTimes, window) < whole
}

// quarterDraw is an engine's random number for one quarter of a window, from 0 to 1, the same at all nodes.
type quarterDraw struct {
	quarter int64
	value   float64
}

// sharedDraw returns the random number of a quarter, which it computes once.
func (e *engine) sharedDraw(quarter int64) float64 {
	if e.quarterDraw.quarter != quarter || quarter == 0 {
		drawn := fnvHash(fnvOffset).add(e.Engine).addNumber(uint64(quarter)).sum()
		e.quarterDraw = quarterDraw{quarter, float64(drawn%1e6) / 1e6}
	}
	return e.quarterDraw.value
}

// throughputWindow is the time over which throughput is counted. It is long, as a node among many sends little, and all
// engines of a role may be warming up at once.
const throughputWindow = 20 * time.Second

// slowStartBudget returns how many attempts this node may send to an engine within a window: a share of what the engines
// of its role, including removed ones, completed for this node on average. An engine can complete at least that much.
func (p *Policy) slowStartBudget(e *engine, window time.Duration) float64 {
	throughput := p.throughputOfRole(e)
	// The factor 1.2 corrects for engines that seldom run at full capacity.
	budget := 1.2 * p.config.SlowStart.Share * p.config.SlowStart.Multiple * throughput.completed / max(1, throughput.engines) *
		float64(window) / float64(min(throughputWindow, max(window, p.now-p.startedAt)))
	return budget
}

// throughputTable holds the recent throughput of engines for this node, by role. It is valid until an engine makes
// progress, the endpoint list changes, or the oldest progress leaves the throughput window.
type throughputTable struct {
	valid      bool
	version    int // number of times that the table was computed so far
	validUntil time.Duration
	byRole     [roleCount]roleThroughput
}

// roleCount is the number of values of roleIndex: prefill, decode, both or none.
const roleCount = 4

// roleIndex returns a number for the stages that an engine can run.
func (e *engine) roleIndex() (index int) {
	if e.canPrefill {
		index++
	}
	if e.canDecode {
		index += 2
	}
	return index
}

// roleThroughput holds the attempts that the engines of a role completed for this node in the window, and their number.
type roleThroughput struct{ completed, engines float64 }

// throughputOfRole returns the throughput of the engine's role.
func (p *Policy) throughputOfRole(e *engine) roleThroughput {
	if !p.throughput.valid || p.now >= p.throughput.validUntil {
		p.throughput = p.countThroughput()
	}
	return p.throughput.byRole[e.roleIndex()]
}

// countThroughput computes the throughput from the records of all engines.
func (p *Policy) countThroughput() throughputTable {
	table := throughputTable{valid: true, version: p.throughput.version + 1, validUntil: math.MaxInt64}
	for _, e := range p.sortedEngines {
		completed := p.countSince(e.progressTimes, throughputWindow)
		if completed > 0 {
			oldest := e.progressTimes[len(e.progressTimes)-int(completed)]
			table.validUntil = min(table.validUntil, oldest+throughputWindow)
		}
		if e.Ready || completed > 0 {
			role := &table.byRole[e.roleIndex()]
			role.completed, role.engines = role.completed+completed, role.engines+1
		}
	}
	return table
}

// budgetExhaustion records that each engine of a group is warming up and has no slow start budget left. The record is valid
// until the given time, unless throughput is recomputed before. It saves scans of the group, as requests that wait for an
// engine retry often.
type budgetExhaustion struct {
	until             time.Duration
	throughputVersion int // throughputTable.version when the record was made
}

// isBudgetExhausted reports whether all engines of a group are known to have no slow start budget left.
func (p *Policy) isBudgetExhausted(group *engineGroup) bool {
	throughputValid := p.throughput.valid && p.now < p.throughput.validUntil
	return p.now < group.exhaustion.until && throughputValid && group.exhaustion.throughputVersion == p.throughput.version
}

// budgetExhaustionOf returns the record for engines none of which has slow start budget left.
func (p *Policy) budgetExhaustionOf(engines []*engine) budgetExhaustion {
	exhaustion := budgetExhaustion{until: math.MaxInt64, throughputVersion: p.throughput.version}
	for _, e := range engines {
		exhaustion.until = min(exhaustion.until, p.earliestBudgetAt(e))
	}
	return exhaustion
}

// earliestBudgetAt returns the earliest time at which an engine without slow start budget may be sent an attempt, if the
// throughput does not change: at the next draw, once a send leaves the window, or at the end of the slow start.
func (p *Policy) earliestBudgetAt(e *engine) time.Duration {
	window := max(4, p.config.SlowStart.Window)
	nextDraw := time.Duration(int64(4*p.now/window)+1) * window / 4
	at := min(nextDraw, e.warmingUpSince+p.config.SlowStart.Duration)
	if sends := int(p.countSince(e.sendTimes, window)); sends > 0 {
		oldest, last := e.sendTimes[len(e.sendTimes)-sends], e.sendTimes[len(e.sendTimes)-1]
		at = min(at, oldest+window)
		if idleAt := last + window/4; idleAt > p.now {
			at = min(at, idleAt)
		}
	}
	return at
}
