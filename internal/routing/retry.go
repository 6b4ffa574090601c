package routing

import (
	"slices"
	"time"
)

// sendTo performs every attempt: it sends a request to an engine, or returns a trigger for the reason why the attempt is
// not allowed.
func (p *Policy) sendTo(req *request, e *engine) trigger {
	switch {
	case len(req.attempts) >= p.config.MaxAttempts || !p.mayRetryOn(req, e):
		return attemptsExhausted
	case p.now >= req.Deadline-p.deadlineMargin():
		return attemptsExhausted
	case req.hasAttemptInFlight(), !e.Ready, !p.withinSlowStartBudget(e):
		return noDecodeEngine
	}
	e.sendTimes = appendBounded(e.sendTimes, p.now, 64)
	att := attempt{engine: e.Engine, sentAt: p.now, decode: e.canDecode, inFlight: true}
	if p.hasFreshLoad(e) {
		att.queuedWork = 1 + e.queuedWork
	}
	req.attempts = append(req.attempts, att)
	e.addAttempt(req)
	p.emit(Send{RequestID: req.RequestID, Engine: e.Engine})
	p.startTimer(req.RequestID, responseOverdue, p.responseTimeout(req))
	return noTrigger
}

// mayRetryOn reports whether a request may be sent to an engine without the risk that it runs twice: one that may have run
// is sent again only as its route allows. A prefill has no effect.
func (p *Policy) mayRetryOn(req *request, e *engine) bool {
	route := p.route(req)
	if route.Effect == Retriable {
		return true
	}
	for _, att := range req.attempts {
		if att.neverRan || !att.decode {
			continue
		}
		if route.Effect != Deduped || p.now-att.sentAt >= route.DedupWindow {
			return false
		}
		if e.canDecode && !route.DedupGroup.spans(p.engines[att.engine], e) {
			return false
		}
	}
	return true
}

// mayRetryAnywhere reports whether the request's earlier attempts forbid no engine.
func (p *Policy) mayRetryAnywhere(req *request) bool {
	mayHaveRun := func(att attempt) bool { return att.decode && !att.neverRan }
	return p.route(req).Effect == Retriable || !slices.ContainsFunc(req.attempts, mayHaveRun)
}

// retryDelay is a few decode steps of an engine, so that free capacity does not stay idle for long.
const retryDelay = 30 * time.Millisecond

// triedRecently reports whether the request was sent to an engine less than the retry delay ago. Without the delay, an
// engine that is gone and refuses connections at once would use up all attempts of a request within a millisecond.
func (p *Policy) triedRecently(req *request, e *engine) bool {
	return slices.ContainsFunc(req.attempts, func(att attempt) bool {
		return att.engine == e.Engine && att.decode == e.canDecode && p.now-att.sentAt < retryDelay
	})
}

// scheduleRetry starts a timer for another try after the retry delay.
func (p *Policy) scheduleRetry(req *request) trigger {
	if !req.retryScheduled {
		req.retryScheduled = true
		p.startTimer(req.RequestID, retryDue, retryDelay)
	}
	return noTrigger
}

// deadlineMargin returns how long before the deadline the answer must be sent: timer and answer may each be a tick late.
func (p *Policy) deadlineMargin() time.Duration { return 3 * p.config.Tick }

// reject gives every final answer of the policy: it sheds a request that the client may retry, and fails any other.
func (p *Policy) reject(req *request) trigger {
	route := p.route(req)
	mayShed := route.Effect == Retriable || route.Effect == Deduped && route.DedupGroup == DedupAll
	// A resumed stream has run before, under another ID. An attempt in flight may still run, even if it is a prefill.
	mayRun := func(att attempt) bool { return att.inFlight || !att.neverRan }
	ran := req.Resumed || slices.ContainsFunc(req.attempts, mayRun)
	if mayShed || !ran {
		var retryAfter time.Duration
		if p.config.SuggestRetryAfter {
			// Longer than a few prefills take, shorter than most clients wait.
			retryAfter = min(500*time.Millisecond, p.config.MaxRetryAfter)
		}
		p.emit(Shed{req.RequestID, retryAfter, req.lastTrigger.String()})
	} else {
		p.emit(Fail{req.RequestID, req.lastTrigger.String()})
	}
	return p.releaseAll(req)
}

// releaseAll cancels the attempts in flight and releases all reservations. A prefill that completes nevertheless is
// released on completion.
func (p *Policy) releaseAll(req *request) trigger {
	for i, att := range req.attempts {
		if att.inFlight && !att.streaming && p.config.CanCancel {
			p.emit(CancelAttempt{req.RequestID, i})
		}
	}
	p.emit(Release{req.RequestID})
	return noTrigger
}

// cancelLastAttempt cancels the attempt in flight if another one may follow. Otherwise it releases the reservation of a
// decode: most likely the reservation was not fetched, and if the decode is still queued, its engine will report the
// reservation missing.
func (p *Policy) cancelLastAttempt(req *request) trigger {
	att := req.lastAttempt()
	// A prefill has no effect, yet clients treat a canceled one as an attempt that may have run: see docs/incidents.
	mayRetry := p.route(req).Effect == Retriable
	switch {
	case att.canceled:
	case mayRetry && len(req.attempts) < p.config.MaxAttempts && p.config.CanCancel:
		att.canceled = true
		p.emit(CancelAttempt{req.RequestID, len(req.attempts) - 1})
	case att.decode:
		p.emit(Release{req.RequestID})
	}
	return noTrigger
}
