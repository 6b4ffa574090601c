package routing

import (
	"time"
)

// The window over which overload is measured is shorter than a typical overload. A share of late answers is computed as if
// there were at least overloadMinSamples answers, so that a few late ones do not count as an overload.
const (
	overloadWindow     = 4 * time.Second
	overloadMinSamples = 32
)

// admit sheds a request at once if it is expected to miss its objective. Without this rule, queues filled by too much
// traffic, by lost or slow engines or by lost caches would only grow, make every request late and never drain. The rule is
// harmful where high latencies are acceptable. Resumed streams are always admitted.
func (p *Policy) admit(req *request) trigger {
	decoders := p.usableEngines(req, &p.decodeEngines, everyEngine)
	if len(decoders) == 0 || req.Resumed {
		return admitted
	}
	weight := p.relativeWeight(req)
	// Reservations queue when all decode engines with a known load are out of memory: requests of the lowest weight are shed
	// first.
	if memory, known := p.leastMemoryShare(decoders); known && memory > 0.9+0.1*weight {
		return cannotMeetObjective
	}
	prefill, objective := p.engines[req.prefillEngine], p.firstTokenObjective(req)
	expected := p.expectedLatency(req, prefill, decoders)
	overrun := sample{p.now, time.Duration(expected - 0.25*objective)}
	p.expectedOverruns = appendBounded(p.expectedOverruns, overrun, 48)
	// Latencies vary and are measured late, so the limit is below the objective: 0.8 of it for the highest weight, down
	// to 0.4. Recent late first tokens reveal overload that latencies do not show. In a lasting overload, which late first
	// tokens or high expected latencies indicate, the limit is lower for uncached prompts, which add most to the load.
	uncachedShare := 1 - p.cachedTokens(req, prefill)/max(req.PromptTokens, 1)
	lateShare := positiveShare(p.firstTokenOverruns, p.now, overloadWindow, overloadMinSamples)
	overloadShare := positiveShare(p.expectedOverruns, p.now, overloadWindow, overloadMinSamples)
	limit := maxLatencyShare(weight) * (1 - lateShare*(0.4+0.6*uncachedShare)) * (1 - 0.6*overloadShare*uncachedShare)
	if expected > limit*objective {
		return cannotMeetObjective
	}
	return admitted
}

// maxLatencyShare returns the largest acceptable expected latency for a weight, as a share of the objective.
func maxLatencyShare(weight float64) float64 { return 0.4 + 0.4*weight }

// hasWaitedTooLong reports whether a request has waited at this node for longer than its largest acceptable expected
// latency. A node that falls behind sheds its oldest requests, the lowest weight first, rather than answer all of them late.
func (p *Policy) hasWaitedTooLong(req *request) bool {
	limit := maxLatencyShare(p.relativeWeight(req)) * p.firstTokenObjective(req)
	return !req.Resumed && float64(req.Waited) > limit
}

// expectedLatency returns the expected time from the arrival of a request to its first token, in nanoseconds. The time that
// reservations of this node wait for a decode engine is a better predictor than any latency.
func (p *Policy) expectedLatency(req *request, prefill *engine, decoders []*engine) float64 {
	var decodeLatencies []time.Duration
	unknownCount := 0
	for _, e := range decoders {
		if p.isIdle(e) {
			unknownCount++
		} else if latency, _ := p.latency(e, p.loadOf(e)); latency > 0 {
			decodeLatencies = append(decodeLatencies, latency)
		} else {
			unknownCount++
		}
	}
	latency, _ := p.latency(prefill, p.loadOf(prefill))
	return float64(p.now - req.arrivedAt + median(p.reservationWaits()) + latency + medianWithZeros(decodeLatencies, unknownCount))
}

// shedLatePrefill sheds a request whose objective has passed before its prefill ended, if it may be shed with an attempt in
// flight: in an overload a late request takes capacity from requests that could be in time.
func (p *Policy) shedLatePrefill(req *request) trigger {
	lateShare := positiveShare(p.firstTokenOverruns, p.now, overloadWindow, overloadMinSamples)
	if p.route(req).Effect == Retriable && !req.Resumed && lateShare > 0.2 {
		return cannotMeetObjective
	}
	return noTrigger
}
