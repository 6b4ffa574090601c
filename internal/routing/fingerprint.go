package routing

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Fingerprint writes all that later steps may depend on, in an order of its own and with times relative to
// now, so that two policies that will act alike write the same. Model checkers compare it; no decision
// depends on it.
func (p *Policy) Fingerprint(w io.Writer) {
	fmt.Fprintln(w, p.random.draws, p.rotation, int64(p.now-p.startedAt), p.recentPrefixes,
		numbers(p.recentLatencyPerWork), p.cache.recentHits, p.samples(p.expectedOverruns),
		p.samples(p.firstTokenOverruns))
	for _, e := range p.ordered {
		p.fingerprintEngine(w, e)
	}
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		req := p.requests[id]
		fmt.Fprintln(w, id, uint8(req.state), int64(p.now-req.arrivedAt), req.prefillEngine, req.decodeEngine,
			int64(p.now-req.idleSince), req.retryScheduled, req.awaitedEngines)
		for _, att := range req.attempts {
			att.sentAt = p.now - att.sentAt
			fmt.Fprintln(w, att)
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(p.cache.texts)) {
		for _, text := range slices.SortedFunc(slices.Values(p.cache.texts[engine]), cachedText.compare) {
			entry, _ := p.cache.get(text, engine)
			fmt.Fprintln(w, text, engine, entry.tokens, int64(p.now-entry.at))
		}
	}
	for _, session := range slices.Sorted(maps.Keys(p.affinities)) {
		a := p.affinities[session]
		fmt.Fprintln(w, session, a.prefillEngine, a.decodeEngine, int64(p.now-a.servedAt))
	}
}

func (p *Policy) fingerprintEngine(w io.Writer, e *engine) {
	ago := func(at time.Duration) int64 { return int64(p.now - at) }
	removedFor := int64(0)
	if e.removedAt > 0 {
		removedFor = ago(e.removedAt)
	}
	fmt.Fprintln(w, e.Endpoint, p.ages(e.sendTimes), p.ages(e.progressTimes), p.samples(e.latencySamples),
		numbers(e.latencyPerWork), p.ages(e.faultTimes), e.suspect, ago(e.warmingSince),
		int64(max(0, e.fullUntil-p.now)),
		e.memoryShare, ago(e.reportedAt), e.queuedWork, ago(e.checkedAt), removedFor, ago(e.checkAnsweredAt),
		ago(e.unresponsiveAt), ago(e.healthyAt))
}

// compare orders texts.
func (t cachedText) compare(other cachedText) int {
	return cmp.Or(cmp.Compare(t.key, other.key), cmp.Compare(fmt.Sprint(t.isSession), fmt.Sprint(other.isSession)))
}

// ages are times relative to now, in nanoseconds.
func (p *Policy) ages(times []time.Duration) (out []int64) {
	for _, at := range times {
		out = append(out, int64(p.now-at))
	}
	return out
}

// samples are samples with their times relative to now, in nanoseconds.
func (p *Policy) samples(samples []sample) (out []int64) {
	for _, s := range samples {
		out = append(out, int64(p.now-s.at), int64(s.value))
	}
	return out
}

// numbers are durations in nanoseconds, which are quicker to print.
func numbers(durations []time.Duration) (out []int64) {
	for _, d := range durations {
		out = append(out, int64(d))
	}
	return out
}

// DescribeTimer is what a token stands for: a request and a trigger, or nothing any more.
func (p *Policy) DescribeTimer(token int64) string {
	t, ok := p.timers.pending[token]
	if !ok || t.requestID != noRequest && p.requests[t.requestID] == nil {
		return ""
	}
	return fmt.Sprint(t.requestID, "/", t.trigger)
}

// FiredTransitions is which transitions have fired so far, a bit each.
func (p *Policy) FiredTransitions() uint64 { return p.firedTransitions }

// TransitionNames are the transitions by name, in the order of FiredTransitions' bits.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, t := range transitions {
		names[i] = fmt.Sprintf("policy transition %d: states %v, triggers %v, next %v", i+1, t.from, t.triggers, t.next)
	}
	return names
}
