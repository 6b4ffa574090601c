package routing

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Fingerprint writes all state that later steps may depend on, in a canonical order and with times relative to now, so
// that policies that will behave alike have equal fingerprints. Model checkers compare them; no decision depends on them.
func (p *Policy) Fingerprint(w io.Writer) {
	fmt.Fprintln(w, p.random.draws, p.rotation, int64(p.now-p.startedAt), p.recentPrefixes,
		nanoseconds(p.recentLatencyPerWork), p.cache.recentHitsPPM, p.relativeSamples(p.expectedOverruns),
		p.relativeSamples(p.firstTokenOverruns))
	for _, e := range p.sortedEngines {
		p.fingerprintEngine(w, e)
	}
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		req := p.requests[id]
		fmt.Fprintln(w, id, uint8(req.state), int64(p.now-req.arrivedAt), req.prefillEngine, req.decodeEngine,
			int64(p.now-req.reservationIdleSince), req.retryScheduled, req.awaitedEngines)
		for _, att := range req.attempts {
			att.sentAt = p.now - att.sentAt
			fmt.Fprintln(w, att)
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(p.cache.keysByEngine)) {
		for _, key := range slices.SortedFunc(slices.Values(p.cache.keysByEngine[engine]), cacheKey.compare) {
			entry, _ := p.cache.get(key, engine)
			fmt.Fprintln(w, key, engine, entry.tokens, int64(p.now-entry.updatedAt))
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
	fmt.Fprintln(w, e.Endpoint, p.ages(e.sendTimes), p.ages(e.progressTimes), p.relativeSamples(e.latencySamples),
		nanoseconds(e.latencyPerWork), p.ages(e.faultTimes), e.suspect, ago(e.warmingUpSince),
		int64(max(0, e.fullUntil-p.now)),
		e.memoryShare, ago(e.reportedAt), e.queuedWork, ago(e.checkSentAt), removedFor, ago(e.checkEndedAt),
		ago(e.unresponsiveAt), ago(e.healthyAt))
}

// compare orders cache keys.
func (k cacheKey) compare(other cacheKey) int {
	return cmp.Or(cmp.Compare(k.id, other.id), cmp.Compare(fmt.Sprint(k.isSession), fmt.Sprint(other.isSession)))
}

// ages returns times relative to now, in nanoseconds.
func (p *Policy) ages(times []time.Duration) (out []int64) {
	for _, at := range times {
		out = append(out, int64(p.now-at))
	}
	return out
}

// relativeSamples returns samples with their times relative to now, in nanoseconds.
func (p *Policy) relativeSamples(samples []sample) (out []int64) {
	for _, s := range samples {
		out = append(out, int64(p.now-s.at), int64(s.value))
	}
	return out
}

// nanoseconds returns durations as integers, which are faster to print.
func nanoseconds(durations []time.Duration) (out []int64) {
	for _, d := range durations {
		out = append(out, int64(d))
	}
	return out
}

// DescribeTimer returns the request and the trigger of a pending timer, or an empty string if the timer no longer has an
// effect.
func (p *Policy) DescribeTimer(token int64) string {
	t, ok := p.timers.pending[token]
	if !ok || t.requestID != noRequest && p.requests[t.requestID] == nil {
		return ""
	}
	return fmt.Sprint(t.requestID, "/", t.trigger)
}

// FiredTransitions has a bit set for each transition that has fired so far.
func (p *Policy) FiredTransitions() uint64 { return p.firedTransitions }

// TransitionNames names the transitions in the order of the bits of Policy.FiredTransitions.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, t := range transitions {
		names[i] = fmt.Sprintf("policy transition %d: states %v, triggers %v, next %v", i+1, t.from, t.triggers, t.next)
	}
	return names
}
