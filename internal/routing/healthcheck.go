package routing

import "time"

// handleHealthCheck notes what an engine reports. Requests that waited for it go on, and attempts at an
// engine that did not answer are lost.
func (p *Policy) handleHealthCheck(result HealthCheckResult) {
	e := p.engines[result.Engine]
	if e == nil {
		return
	}
	e.checkAnsweredAt = p.now
	switch result.Verdict {
	case Completed:
		p.recordReport(e, result.Report)
	case NotSent: // for a cause at this node, which says nothing of the engine
	default:
		e.unresponsiveAt = p.now
	}
	for _, req := range p.checkAnswered(result.Engine) {
		p.fire(req, loadKnown)
		p.forgetIfDone(req)
	}
	// A busy engine answers that it is; one that does not answer has not received what was sent before
	// either.
	if result.Verdict != TimedOut && result.Verdict != NotConnected && result.Verdict != ConnectionLost {
		return
	}
	for _, req := range e.unansweredRequests() {
		if att := req.last(); att.sentAt < e.checkedAt && p.unanswered(att) {
			p.recordFault(e)
			p.fire(req, engineUnresponsive)
		}
	}
}

// responseTimeout is how long the last attempt may go without a sign of its engine. Nothing else tells an
// engine that is cut off from a busy one, and what is written to a reused connection may be lost. A prefill
// engine is checked after half the objective, as another prefill would be too late later.
func (p *Policy) responseTimeout(req *request) time.Duration {
	if req.last().decode {
		return p.config.DecodeResponseTimeout
	}
	return time.Duration(p.firstTokenObjective(req) / 2)
}

// checkUnresponsive checks an engine that is overdue. One that is warming up would count that as work.
func (p *Policy) checkUnresponsive(req *request) trigger {
	att := req.last()
	e := p.engines[att.engine]
	overdue := p.unanswered(att) && p.now-att.sentAt >= p.responseTimeout(req)
	if overdue && p.config.HealthChecks && !p.warmingUp(e) {
		p.healthCheck(e)
	}
	return noTrigger
}
