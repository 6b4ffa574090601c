package routing

// isIdle reports whether an engine has had no recent activity: it has no attempt in flight, and none of its latencies,
// load reports or faults is recent enough to count. The health of an idle engine need not be checked. Most engines of a
// large fleet are idle. Every activity of an engine has to reset its field idle, since an idle engine is not examined
// again.
func (p *Policy) isIdle(e *engine) bool { return e.idle || p.updateIdle(e) }

func (p *Policy) updateIdle(e *engine) bool {
	e.idle = len(e.open.all) == 0 && !e.suspect && e.fullUntil <= p.now &&
		p.countSince(e.faultTimes, faultWindow) == 0 && !p.mayHaveLatency(e, engineLoad{})
	return e.idle
}
