package routing

// isQuiet reports whether an engine has had no recent activity: it has no attempt in flight, and none of its latencies,
// load reports or faults is recent enough to count. The health of a quiet engine need not be checked. Most engines of a
// large fleet are quiet. Every activity of an engine has to reset its field quiet, since a quiet engine is not examined
// again.
func (p *Policy) isQuiet(e *engine) bool { return e.quiet || p.updateQuiet(e) }

func (p *Policy) updateQuiet(e *engine) bool {
	e.quiet = len(e.open.all) == 0 && !e.suspect && e.fullUntil <= p.now &&
		p.countSince(e.faultTimes, faultWindow) == 0 && !p.mayHaveLatency(e, engineLoad{})
	return e.quiet
}
