package routing

import "time"

// handleHealthCheck records the result of a health check. Requests that waited for it continue, and attempts at an engine
// that did not answer count as lost.
func (p *Policy) handleHealthCheck(result HealthCheckResult) {
	e := p.engines[result.Engine]
	if e == nil {
		return
	}
	e.checkEndedAt = p.now
	switch result.Verdict {
	case Completed:
		p.recordReport(e, result.Report)
	case NotSent: // the cause is at this node, not at the engine
	default:
		e.unresponsiveAt = p.now
	}
	for _, req := range p.takeUnblockedRequests(result.Engine) {
		p.fire(req, loadKnown)
		p.forgetIfDone(req)
	}
	// A busy engine still answers health checks. An engine that does not answer has not received earlier attempts either.
	if result.Verdict != TimedOut && result.Verdict != NotConnected && result.Verdict != ConnectionLost {
		return
	}
	for _, req := range e.unansweredRequests() {
		if att := req.lastAttempt(); att.sentAt < e.checkSentAt && p.isUnanswered(att) {
			p.recordFault(e)
			p.fire(req, engineUnresponsive)
		}
	}
}

// responseTimeout returns how long the last attempt may go without a response before its engine is checked. Only a health
// check distinguishes an engine that is cut off from a busy one, and data written to a reused connection may be lost. A
// prefill engine is checked after half the objective, as a second prefill after a later check would be too late.
func (p *Policy) responseTimeout(req *request) time.Duration {
	if req.lastAttempt().decode {
		return p.config.DecodeResponseTimeout
	}
	return time.Duration(p.firstTokenObjective(req) / 2)
}

// checkOverdueEngine sends a health check to the engine of an overdue attempt. An engine that is warming up is not checked,
// as a health check counts as work there.
func (p *Policy) checkOverdueEngine(req *request) trigger {
	att := req.lastAttempt()
	e := p.engines[att.engine]
	overdue := p.isUnanswered(att) && p.now-att.sentAt >= p.responseTimeout(req)
	if overdue && p.config.HealthChecks && !p.isWarmingUp(e) {
		p.healthCheck(e)
	}
	return noTrigger
}
