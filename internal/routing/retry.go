package routing

import (
	"slices"
	"time"
)

// sendTo is the gate that each attempt passes: it sends to an engine, or returns what stands against it.
func (p *Policy) sendTo(req *request, e *engine) trigger {
	switch {
	case len(req.attempts) >= p.config.MaxAttempts || !p.mayRetryOn(req, e):
		return attemptsExhausted
	case p.now >= req.Deadline-p.deadlineMargin():
		return attemptsExhausted
	case req.inFlight(), !e.Ready, !p.withinSlowStart(e):
		return noDecodeEngine
	}
	e.sendTimes = appendBounded(e.sendTimes, p.now, 64)
	att := attempt{engine: e.Engine, sentAt: p.now, decode: e.canDecode, inFlight: true}
	if p.hasFreshLoad(e) {
		att.queuedWork = 1 + e.queuedWork
	}
	req.attempts = append(req.attempts, att)
	e.noteOpen(req)
	p.act(Send{RequestID: req.RequestID, Engine: e.Engine})
	p.startTimer(req.RequestID, responseOverdue, p.responseTimeout(req))
	return noTrigger
}

// mayRetryOn keeps a request from running twice: what may have run is sent again only as its route allows. A
// prefill has no effect.
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

// mayRetryOnNewEngine is whether the request's earlier attempts forbid no engine.
func (p *Policy) mayRetryOnNewEngine(req *request) bool {
	mayHaveRun := func(att attempt) bool { return att.decode && !att.neverRan }
	return p.route(req).Effect == Retriable || !slices.ContainsFunc(req.attempts, mayHaveRun)
}

// retryDelay is a few steps of a decode engine, so that free capacity does not stay idle for long.
const retryDelay = 30 * time.Millisecond

// triedJustNow is whether an attempt at an engine has just come back. Without the delay, an engine that is
// gone, and refuses at once, would use up all attempts of a request within a millisecond.
func (p *Policy) triedJustNow(req *request, e *engine) bool {
	return slices.ContainsFunc(req.attempts, func(att attempt) bool {
		return att.engine == e.Engine && att.decode == e.canDecode && p.now-att.sentAt < retryDelay
	})
}

// scheduleRetry tries again after the retry delay.
func (p *Policy) scheduleRetry(req *request) trigger {
	if !req.retryScheduled {
		req.retryScheduled = true
		p.startTimer(req.RequestID, retryDue, retryDelay)
	}
	return noTrigger
}

// deadlineMargin is how long before the deadline the answer must go: timer and answer may each be a tick
// late.
func (p *Policy) deadlineMargin() time.Duration { return 3 * p.config.Tick }

// reject is the gate of final answers: it sheds where the client may retry, else it fails the request.
func (p *Policy) reject(req *request) trigger {
	route := p.route(req)
	mayShed := route.Effect == Retriable || route.Effect == Deduped && route.DedupGroup == DedupAll
	// A resumed stream has run before, under another ID. An attempt in flight may run, a prefill too.
	mayRun := func(att attempt) bool { return att.inFlight || !att.neverRan }
	ran := req.Resumed || slices.ContainsFunc(req.attempts, mayRun)
	if mayShed || !ran {
		var retryAfter time.Duration
		if p.config.SuggestRetryAfter {
			// Longer than it takes to work off a few prefills, shorter than most clients wait.
			retryAfter = min(500*time.Millisecond, p.config.MaxRetryAfter)
		}
		p.act(Shed{req.RequestID, retryAfter, req.lastTrigger.String()})
	} else {
		p.act(Fail{req.RequestID, req.lastTrigger.String()})
	}
	return p.releaseAll(req)
}

// releaseAll cancels what is in flight and releases reservations. A prefill that still ends is released then.
func (p *Policy) releaseAll(req *request) trigger {
	for i, att := range req.attempts {
		if att.inFlight && !att.streaming && p.config.Cancel {
			p.act(CancelAttempt{req.RequestID, i})
		}
	}
	p.act(Release{req.RequestID})
	return noTrigger
}

// cancelLast cancels the attempt in flight, if another may follow. Else its reservation is released all the
// same: most likely it was not fetched, and if the decode is still queued, its engine will report it.
func (p *Policy) cancelLast(req *request) trigger {
	att := req.last()
	// A prefill has no effect, yet clients count canceled ones as such that may have run: see docs/incidents.
	mayRetry := p.route(req).Effect == Retriable
	switch {
	case att.canceled:
	case mayRetry && len(req.attempts) < p.config.MaxAttempts && p.config.Cancel:
		att.canceled = true
		p.act(CancelAttempt{req.RequestID, len(req.attempts) - 1})
	case att.decode:
		p.act(Release{req.RequestID})
	}
	return noTrigger
}
