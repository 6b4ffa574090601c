package routing

import (
	"time"
)

// An overload lasts longer than the window, and a few late answers are none.
const (
	overloadWindow     = 4 * time.Second
	overloadMinSamples = 32
)

// admit sheds at once what would miss its objective: queues that only grow make all late and never clear,
// whatever filled them: too much traffic, engines that are lost or slow, or caches that were lost. It does
// harm where latencies are high but harmless. Resumed streams are always admitted.
func (p *Policy) admit(req *request) trigger {
	decoders := p.usableEngines(req, &p.decodeEngines, everyEngine)
	if len(decoders) == 0 || req.Resumed {
		return admitted
	}
	weight := p.weightShare(req)
	// Where all known decode engines are out of memory, reservations queue: the least weight is shed first.
	if memory, known := p.leastMemoryShare(decoders); known && memory > 0.9+0.1*weight {
		return cannotMeetObjective
	}
	prefill, objective := p.engines[req.prefillEngine], p.firstTokenObjective(req)
	expected := p.expectedLatency(req, prefill, decoders)
	overrun := sample{p.now, time.Duration(expected - 0.25*objective)}
	p.expectedOverruns = appendBounded(p.expectedOverruns, overrun, 48)
	// Latencies are known late and vary, so the limit is under the objective: 0.8 of it for the highest
	// weight, down to 0.4. Recent late answers show what latencies do not, and in a lasting overload, of
	// first tokens or of latencies, prompts that are not cached feed it.
	uncached := 1 - p.cachedTokens(req, prefill)/max(req.PromptTokens, 1)
	late := shareAbove(p.firstTokenOverruns, p.now, overloadWindow, overloadMinSamples)
	overload := shareAbove(p.expectedOverruns, p.now, overloadWindow, overloadMinSamples)
	limit := latencyLimit(weight) * (1 - late*(0.4+0.6*uncached)) * (1 - 0.6*overload*uncached)
	if expected > limit*objective {
		return cannotMeetObjective
	}
	return admitted
}

// latencyLimit is the share of its objective that a request of a weight may be expected to take.
func latencyLimit(weight float64) float64 { return 0.4 + 0.4*weight }

// hasWaitedTooLong is whether a request has waited at this node for longer than it may be expected to take in all. A
// node that is late works it off by shedding what is old, the least weight first, in place of making all late.
func (p *Policy) hasWaitedTooLong(req *request) bool {
	limit := latencyLimit(p.weightShare(req)) * p.firstTokenObjective(req)
	return !req.Resumed && float64(req.Waited) > limit
}

// expectedLatency is when the first token of a request is expected, in nanoseconds since its arrival.
// Reservations that wait here for a decode engine say more than any latency.
func (p *Policy) expectedLatency(req *request, prefill *engine, decoders []*engine) float64 {
	var decodeLatencies []time.Duration
	none := 0
	for _, e := range decoders {
		if p.isQuiet(e) {
			none++
		} else if latency, _ := p.latency(e, p.loadOf(e)); latency > 0 {
			decodeLatencies = append(decodeLatencies, latency)
		} else {
			none++
		}
	}
	latency, _ := p.latency(prefill, p.loadOf(prefill))
	return float64(p.now - req.arrivedAt + median(p.reservationWaits()) + latency + medianWithZeros(decodeLatencies, none))
}

// shedLate sheds a request that is not prefilled by its objective, where it may be shed with an attempt in
// flight: in an overload it takes the place of one that could be in time.
func (p *Policy) shedLate(req *request) trigger {
	late := shareAbove(p.firstTokenOverruns, p.now, overloadWindow, overloadMinSamples)
	if p.route(req).Effect == Retriable && !req.Resumed && late > 0.2 {
		return cannotMeetObjective
	}
	return noTrigger
}
