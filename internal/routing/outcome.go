package routing

import "time"

// handleFirstToken notes which engines serve the session, and how far over the objective the first token
// came.
func (p *Policy) handleFirstToken(req *request, first FirstToken) {
	att := &req.attempts[first.Attempt]
	if e := p.engines[att.engine]; e != nil && !att.streaming {
		e.noteStreaming(req, first.Attempt)
	}
	att.streaming = true
	p.recordLatency(p.engines[first.Engine], first.Latency, att.sentAt)
	p.affinities[req.Session] = affinity{req.prefillEngine, first.Engine, p.now}
	p.gossipAffinity(req)
	overrun := p.now - req.arrivedAt - time.Duration(p.firstTokenObjective(req))
	p.firstTokenOverruns = appendBounded(p.firstTokenOverruns, sample{p.now, overrun}, 32)
	p.fire(req, firstToken)
}

// handleOutcome learns from the end of an attempt and continues its request.
func (p *Policy) handleOutcome(o Outcome) {
	req := p.requests[o.RequestID]
	if req == nil || o.Attempt < 0 || o.Attempt >= len(req.attempts) || !req.attempts[o.Attempt].inFlight {
		if o.Verdict == PrefillDone {
			p.act(Release{o.RequestID}) // it came after the request was forgotten
		}
		return
	}
	att := &req.attempts[o.Attempt]
	att.inFlight = false
	if e := p.engines[att.engine]; e != nil {
		e.noteClosed(req, o.Attempt)
	}
	// A decode that never reached its engine has not begun to fetch the KV state: the reservation has waited
	// on.
	if !att.decode || !att.canceled && o.Verdict != NotConnected && o.Verdict != NotSent {
		req.idleSince = p.now
	}
	p.recordReport(p.engines[o.Engine], o.Report)
	att.prefilled = o.Verdict == PrefillDone
	att.neverRan = !att.decode || o.Verdict == Full || o.Verdict == NotConnected || o.Verdict == NotSent
	p.recordOutcome(req, att, o)
	p.fire(req, att.trigger(o))
	p.forgetIfDone(req)
}

// trigger is what an outcome means for the request of the attempt.
func (a *attempt) trigger(o Outcome) trigger {
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

// recordOutcome notes what an outcome says of the engine.
func (p *Policy) recordOutcome(req *request, att *attempt, o Outcome) {
	e := p.engines[att.engine]
	if e == nil {
		return
	}
	switch o.Verdict {
	case Completed:
		e.suspect, e.healthyAt = false, p.now // a complete stream is a sign of health too
	case PrefillDone:
		p.recordCached(req, att.engine, o.CachedTokens)
		p.recordLatency(e, o.Latency, att.sentAt)
		p.recordWork(req, e, att, o)
	case Full:
		// About the time in which a busy decode engine ends one answer.
		const fullFor = 150 * time.Millisecond
		e.fullUntil, e.quiet = p.now+fullFor, false
	case TimedOut, NotConnected, ConnectionLost:
		if !o.StaleConnection && req.state != ended && p.now < req.Deadline-p.deadlineMargin() {
			p.recordFault(e)
		}
	case EngineError:
		p.recordFault(e)
	}
}

// recordWork notes how long a prefill took for the work that was queued before it and its own.
func (p *Policy) recordWork(req *request, e *engine, att *attempt, o Outcome) {
	if att.queuedWork <= 0 {
		return
	}
	// Less work than half a thousand tokens says more of the network than of the engine.
	const leastWork = 0.5
	if work := att.queuedWork - 1 + (req.PromptTokens-o.CachedTokens)/1000; work > leastWork {
		p.usualWorkLatency.known = false
		e.latencyPerWork = appendBounded(e.latencyPerWork, time.Duration(float64(o.Latency)/work), 5)
	}
	perWork := time.Duration(float64(o.Latency) / att.queuedWork)
	p.recentLatencyPerWork = appendBounded(p.recentLatencyPerWork, perWork, 32)
	p.quickLatencyPerWork = lowerQuartile(p.recentLatencyPerWork)
}

// recordLatency takes a response as a sign of health. Engines serve attempts in turn, so an attempt that
// later responses have passed, though it has waited a sixth of its objective, was lost on the network or in
// the engine.
func (p *Policy) recordLatency(e *engine, latency, sentAt time.Duration) {
	if e == nil {
		return
	}
	e.quiet = false
	e.latencySamples = appendBounded(e.latencySamples, sample{p.now, latency}, 64)
	e.progressTimes, p.slowStartRates.valid = appendBounded(e.progressTimes, p.now, 64), false
	// Longer than any overload: an engine that failed and was not healthy since may have restarted unnoticed.
	const restartAfter = 3 * time.Second
	if e.suspect && p.now-e.healthyAt > restartAfter {
		e.warmingSince = p.now
	}
	e.suspect, e.healthyAt = false, p.now
	const lostAfterResponses = 2
	var passed []*request
	for _, req := range e.unansweredRequests() {
		att := req.last()
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
