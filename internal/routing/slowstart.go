package routing

import (
	"math"
	"time"
)

// warmingUp is whether an engine has started so recently that its slow start limits what it is sent.
func (p *Policy) warmingUp(e *engine) bool {
	return e.warmingSince != 0 && p.now-e.warmingSince <= p.config.SlowStart.Duration
}

// withinSlowStart keeps all nodes together from overloading an engine that is warming up. Whole places are
// this node's own; for the rest all nodes draw the same lots.
func (p *Policy) withinSlowStart(e *engine) bool {
	if !p.warmingUp(e) {
		return true
	}
	window := max(4, p.config.SlowStart.Window)
	nodes := max(1, float64(p.config.Nodes))
	whole, rest := math.Modf(p.slowStartPlaces(e, window))
	// Any window touches five quarters at most, so each quarter gives out a fifth. Lots get two thirds of it,
	// as they fall unevenly.
	first := e.lotIn(int64(4*p.now/window)) * nodes
	idle := p.countSince(e.sendTimes, window/4) == 0
	if math.Mod(float64(p.config.Node)+first, nodes) < rest*nodes/7.5 && idle {
		whole++
	}
	return p.countSince(e.sendTimes, window) < whole
}

// slowStartLot is an engine's lot of one quarter of a window, from 0 to 1, the same at all nodes.
type slowStartLot struct {
	quarter int64
	value   float64
}

// lotIn draws the lot of a quarter, once.
func (e *engine) lotIn(quarter int64) float64 {
	if e.lot.quarter != quarter || quarter == 0 {
		drawn := fnvHash(fnvOffset).add(e.Engine).addNumber(uint64(quarter)).sum()
		e.lot = slowStartLot{quarter, float64(drawn%1e6) / 1e6}
	}
	return e.lot.value
}

// slowStartSpan is the time whose work counts: a node among many sends little, and all of a role may be warming up
// at once.
const slowStartSpan = 20 * time.Second

// slowStartPlaces is this node's part of what an engine may be sent within a window: a share of what the
// engines of its role did for this node on average, removed ones too, which is what one can do at least.
func (p *Policy) slowStartPlaces(e *engine, window time.Duration) float64 {
	rate := p.slowStartRate(e)
	// 1.2: engines seldom do all that they can.
	places := 1.2 * p.config.SlowStart.Share * p.config.SlowStart.Multiple * rate.done / max(1, rate.engines) *
		float64(window) / float64(min(slowStartSpan, max(window, p.now-p.startedAt)))
	return places
}

// slowStartRates are what engines did for this node lately, by role. They hold until an engine makes progress, the
// endpoint list changes, or the oldest progress that counts is over.
type slowStartRates struct {
	valid  bool
	counts int // how often they were counted so far
	until  time.Duration
	byRole [roleCount]slowStartRate
}

// roleCount is how many roles there are: prefill, decode, both or none.
const roleCount = 4

// roleIndex numbers what an engine can do.
func (e *engine) roleIndex() (index int) {
	if e.canPrefill {
		index++
	}
	if e.canDecode {
		index += 2
	}
	return index
}

// slowStartRate is what the engines of a role did for this node.
type slowStartRate struct{ done, engines float64 }

// slowStartRate is that of an engine's role.
func (p *Policy) slowStartRate(e *engine) slowStartRate {
	if !p.slowStartRates.valid || p.now >= p.slowStartRates.until {
		p.slowStartRates = p.countSlowStartRates()
	}
	return p.slowStartRates.byRole[e.roleIndex()]
}

// countSlowStartRates looks at all engines.
func (p *Policy) countSlowStartRates() slowStartRates {
	rates := slowStartRates{valid: true, counts: p.slowStartRates.counts + 1, until: math.MaxInt64}
	for _, e := range p.ordered {
		recent := p.countSince(e.progressTimes, slowStartSpan)
		if recent > 0 {
			oldest := e.progressTimes[len(e.progressTimes)-int(recent)]
			rates.until = min(rates.until, oldest+slowStartSpan)
		}
		if e.Ready || recent > 0 {
			rate := &rates.byRole[e.roleIndex()]
			rate.done, rate.engines = rate.done+recent, rate.engines+1
		}
	}
	return rates
}

// slowStartClosure says that each engine of a group is warming up and may not be sent anything now. It holds until
// the time, unless what engines did for this node is counted anew: requests that wait for an engine ask often.
type slowStartClosure struct {
	until  time.Duration
	counts int // of the rates that it was found with
}

// isClosed is whether all engines of a group are known to be closed.
func (p *Policy) isClosed(group *engineGroup) bool {
	ratesHold := p.slowStartRates.valid && p.now < p.slowStartRates.until
	return p.now < group.closed.until && ratesHold && group.closed.counts == p.slowStartRates.counts
}

// closure is that of engines which all are closed now.
func (p *Policy) closure(engines []*engine) slowStartClosure {
	closed := slowStartClosure{until: math.MaxInt64, counts: p.slowStartRates.counts}
	for _, e := range engines {
		closed.until = min(closed.until, p.mayReopenAt(e))
	}
	return closed
}

// mayReopenAt is the earliest time at which an engine that is closed may be sent something, if no rate changes: with
// the next lots, once a send is long enough ago, or when it is warm.
func (p *Policy) mayReopenAt(e *engine) time.Duration {
	window := max(4, p.config.SlowStart.Window)
	nextLots := time.Duration(int64(4*p.now/window)+1) * window / 4
	at := min(nextLots, e.warmingSince+p.config.SlowStart.Duration)
	if sends := int(p.countSince(e.sendTimes, window)); sends > 0 {
		oldest, last := e.sendTimes[len(e.sendTimes)-sends], e.sendTimes[len(e.sendTimes)-1]
		at = min(at, oldest+window)
		if idleAt := last + window/4; idleAt > p.now {
			at = min(at, idleAt)
		}
	}
	return at
}
