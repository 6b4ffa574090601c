package routing

// isQuiet is whether nothing has happened at an engine lately: nothing is in flight there, no latency, load or
// fault of it counts any more. Then its health needs no look. Most engines of a large fleet are quiet.
//
// What ends an engine's quiet has to reset the field, since a quiet engine is not looked at again.
func (p *Policy) isQuiet(e *engine) bool { return e.quiet || p.becomesQuiet(e) }

func (p *Policy) becomesQuiet(e *engine) bool {
	e.quiet = len(e.open.all) == 0 && !e.suspect && e.fullUntil <= p.now &&
		p.countSince(e.faultTimes, faultWindow) == 0 && !p.mayHaveLatency(e, engineLoad{})
	return e.quiet
}
