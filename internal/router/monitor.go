package router

import (
	"slices"
	"time"

	"sandcourse/internal/attempt"
)

// checkHeldEvery is how often the monitor looks at what is held: a violation is not told sooner for being looked for more.
const checkHeldEvery = int64(200 * time.Millisecond)

// tellViolations hands over what the monitor has found since the last turn.
func (o *Core) tellViolations() {
	if o.now-o.heldChecked >= checkHeldEvery {
		o.heldChecked = o.now
		o.checkHeld()
	}
	for _, v := range o.monitor.Take() {
		o.watch.Violated(v)
	}
}

// checkHeld looks for states that have been held for too long while no attempt was out that may take them.
func (o *Core) checkHeld() {
	for _, h := range o.holds.All() {
		free := time.Duration(o.now - h.FreeSince())
		if h.Acknowledged() || free <= o.d.Rules.ReservationLimit || o.mayBeTaken(h.ID.Request) {
			continue
		}
		o.monitor.Held(h.ID.Request, free)
	}
}

// mayBeTaken is whether an attempt of a request is out that may take its state.
func (o *Core) mayBeTaken(request string) bool {
	inf := o.byName[request]
	return inf != nil && slices.ContainsFunc(inf.sends, func(s *send) bool {
		return s.writes && !s.ended && s.machine.State != attempt.Dialling
	})
}
