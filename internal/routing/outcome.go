package routing

import "time"

// handleFirstToken records which engines serve the session, and by how much the first token exceeded the objective.
func (p *Policy) handleFirstToken(req *request, first FirstToken) {
	att := &req.attempts[first.Attempt]
	if e := p.engines[att.engine]; e != nil && !att.streaming {
		e.markStreaming(req, first.Attempt)
	}
	att.streaming = true
	p.recordLatency(p.engines[first.Engine], first.Latency, att.sentAt)
	p.affinities[req.Session] = affinity{req.prefillEngine, first.Engine, p.now}
	p.gossipAffinity(req)
	overrun := p.now - req.arrivedAt - time.Duration(p.firstTokenObjective(req))
	p.firstTokenOverruns = appendBounded(p.firstTokenOverruns, sample{p.now, overrun}, 32)
	p.fire(req, firstToken)
}

// handleOutcome updates the records of an attempt's engine and continues its request.
func (p *Policy) handleOutcome(o Outcome) {
	req := p.requests[o.RequestID]
	if req == nil || o.Attempt < 0 || o.Attempt >= len(req.attempts) || !req.attempts[o.Attempt].inFlight {
		if o.Verdict == PrefillDone {
			p.emit(Release{o.RequestID}) // the prefill ended after its request was dropped
		}
		return
	}
	att := &req.attempts[o.Attempt]
	att.inFlight = false
	if e := p.engines[att.engine]; e != nil {
		e.removeAttempt(req, o.Attempt)
	}
	// A decode that never reached its engine has not begun to fetch the KV state, so the reservation stayed idle.
	if !att.decode || !att.canceled && o.Verdict != NotConnected && o.Verdict != NotSent {
		req.reservationIdleSince = p.now
	}
	p.recordReport(p.engines[o.Engine], o.Report)
	att.prefilled = o.Verdict == PrefillDone
	att.neverRan = !att.decode || o.Verdict == Full || o.Verdict == NotConnected || o.Verdict == NotSent
	p.recordOutcome(req, att, o)
	p.fire(req, att.outcomeTrigger(o))
	p.forgetIfDone(req)
}

// outcomeTrigger returns the trigger that an outcome of the attempt has for its request.
func (a *attempt) outcomeTrigger(o Outcome) trigger {
	switch {
	case o.RequestEnded:
		return finished
	case o.Verdict == PrefillDone:
		return prefillDone
	case !a.decode:
		return prefillFailed
	case o.Verdict == Full && o.ReservationLost:
		return reservationLost
	case a.neverRan:
		return decodeNotStarted
	}
	return mayHaveRun
}

// recordOutcome records what an outcome reveals about the engine.
func (p *Policy) recordOutcome(req *request, att *attempt, o Outcome) {
	e := p.engines[att.engine]
	if e == nil {
		return
	}
	switch o.Verdict {
	case Completed:
		e.suspect, e.healthyAt = false, p.now // a complete stream also proves the engine healthy
	case PrefillDone:
		p.recordCached(req, att.engine, o.CachedTokens)
		p.recordLatency(e, o.Latency, att.sentAt)
		p.recordWorkLatency(req, e, att, o)
	case Full:
		// About the time in which a busy decode engine completes one answer.
		const fullFor = 150 * time.Millisecond
		e.fullUntil, e.idle = p.now+fullFor, false
	case TimedOut, NotConnected, ConnectionLost:
		if !o.StaleConnection && req.state != ended && p.now < req.Deadline-p.deadlineMargin() {
			p.recordFault(e)
		}
	case EngineError:
		p.recordFault(e)
	}
}

// recordWorkLatency records the latency of a prefill per unit of work. The work is that of the prefill itself and that
// queued before it.
func (p *Policy) recordWorkLatency(req *request, e *engine, att *attempt, o Outcome) {
	if att.queuedWork <= 0 {
		return
	}
	// With less work than half a thousand tokens, latency depends more on the network than on the engine.
	const minWork = 0.5
	if work := att.queuedWork - 1 + (req.PromptTokens-o.CachedTokens)/1000; work > minWork {
		p.cachedWorkLatency.valid = false
		e.latencyPerWork = appendBounded(e.latencyPerWork, time.Duration(float64(o.Latency)/work), 5)
	}
	perWork := time.Duration(float64(o.Latency) / att.queuedWork)
	p.recentLatencyPerWork = appendBounded(p.recentLatencyPerWork, perWork, 32)
	p.lowerQuartileLatencyPerWork = lowerQuartile(p.recentLatencyPerWork)
}

// recordLatency records the latency of a response, which also proves the engine healthy. Engines serve attempts in order,
// so an attempt that has waited for a sixth of its objective while later ones were answered was lost on the network or in
// the engine.
func (p *Policy) recordLatency(e *engine, latency, sentAt time.Duration) {
	if e == nil {
		return
	}
	e.idle = false
	e.latencySamples = appendBounded(e.latencySamples, sample{p.now, latency}, 64)
	e.progressTimes, p.throughput.valid = appendBounded(e.progressTimes, p.now, 64), false
	// Longer than any overload: an engine that had a fault and has not been healthy since may have restarted unnoticed.
	const restartAfter = 3 * time.Second
	if e.suspect && p.now-e.healthyAt > restartAfter {
		e.warmingUpSince = p.now
	}
	e.suspect, e.healthyAt = false, p.now
	const lostAfterResponses = 2
	var passed []*request
	for _, req := range e.unansweredRequests() {
		att := req.lastAttempt()
		if att.sentAt < sentAt {
			att.laterResponses++
		}
		if att.laterResponses >= lostAfterResponses && float64(p.now-att.sentAt) > p.firstTokenObjective(req)/6 {
			passed = append(passed, req)
		}
	}
	for _, req := range passed {
		p.fire(req, passedByLaterResponse)
	}
}
