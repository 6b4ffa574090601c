package routing

import (
	"fmt"
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
	first := float64(hash(fmt.Sprint(e.Engine, int64(4*p.now/window)))%1e6) / 1e6 * nodes
	idle := p.countSince(e.sendTimes, window/4) == 0
	if math.Mod(float64(p.config.Node)+first, nodes) < rest*nodes/7.5 && idle {
		whole++
	}
	return p.countSince(e.sendTimes, window) < whole
}

// slowStartPlaces is this node's part of what an engine may be sent within a window: a share of what the
// engines of its role did for this node on average, removed ones too, which is what one can do at least.
func (p *Policy) slowStartPlaces(e *engine, window time.Duration) float64 {
	const span = 20 * time.Second // a node among many sends little, and all of a role may be warming up at once
	done, alike := 0.0, 0.0
	for _, other := range p.engines {
		recent := p.countSince(other.progressTimes, span)
		sameRole := other.canPrefill == e.canPrefill && other.canDecode == e.canDecode
		if sameRole && (other.Ready || recent > 0) {
			done, alike = done+recent, alike+1
		}
	}
	// 1.2: engines seldom do all that they can.
	places := 1.2 * p.config.SlowStart.Share * p.config.SlowStart.Multiple * done / max(1, alike) *
		float64(window) / float64(min(span, max(window, p.now-p.startedAt)))
	return places
}
