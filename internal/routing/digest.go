package routing

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Fingerprint writes all that a later step may hang on, in an order of its own and with times as they lie from
// now, so that two brains that will act alike write the same. It is for explorers and decides nothing.
func (p *Policy) Fingerprint(w io.Writer) {
	ago := func(row []int64) (out []int64) {
		for _, at := range row {
			out = append(out, p.now-at)
		}
		return out
	}
	samples := func(row []sample) (out []int64) {
		for _, s := range row {
			out = append(out, p.now-s.at, s.value)
		}
		return out
	}
	fmt.Fprintln(w, p.randomDraws, p.roundRobinTurn, p.now-p.startedAt, p.recentPrefixes, p.recentLatencyPerWork, p.recentCacheHits, samples(p.expectedOverruns), samples(p.firstTokenOverruns))
	for _, id := range p.engineIDs {
		e := p.engines[id]
		fmt.Fprintln(w, e.Endpoint, ago(e.sendTimes), ago(e.progressTimes), samples(e.latencySamples), e.latencyPerWork, ago(e.faultTimes), e.suspect,
			p.now-e.warmingSince, max(0, e.fullUntil-p.now), e.memoryShare, p.now-e.reportedAt, e.queuedWork, p.now-e.checkedAt, min(e.removedAt, 1)*(p.now-e.removedAt),
			p.now-e.checkAnsweredAt, p.now-e.unresponsiveAt, p.now-e.healthyAt)
	}
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		req := p.requests[id]
		fmt.Fprintln(w, id, req.state, p.now-req.arrivedAt, req.prefillEngine, req.decodeEngine, p.now-req.idleSince, req.retryScheduled, req.awaitedEngines)
		for _, s := range req.attempts {
			at := s
			at.sentAt = p.now - s.sentAt
			fmt.Fprintln(w, at)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(p.cached), func(x, y cacheKey) int {
		return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.engine, y.engine))
	}) {
		fmt.Fprintln(w, k, p.cached[k].tokens, p.now-p.cached[k].at)
	}
	for _, s := range slices.Sorted(maps.Keys(p.affinities)) {
		fmt.Fprintln(w, s, p.affinities[s].prefillEngine, p.affinities[s].decodeEngine, p.now-p.affinities[s].servedAt)
	}
}

// DescribeTimer says what a token stands for: an inference and an input, or nothing any more.
func (p *Policy) DescribeTimer(token int64) string {
	t, ok := p.timers[token]
	if !ok || t.requestID >= 0 && p.requests[t.requestID] == nil {
		return ""
	}
	return fmt.Sprint(t.requestID, "/", t.trigger)
}

// FiredTransitions is which rows of the table were taken so far, a bit each.
func (p *Policy) FiredTransitions() uint64 { return p.firedTransitions }

// TransitionNames names the rows of the table.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, r := range transitions {
		names[i] = fmt.Sprintf("brain row %d: states %v, inputs %v, next %d", i+1, r.from, r.triggers, r.next)
	}
	return names
}
