package router

import (
	"runtime/debug"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// tell hands an input to the module and carries out what it decides. Effects may make further inputs, which
// wait their turn.
func (o *Core) tell(in routing.Event) {
	o.inputs = append(o.inputs, in)
	if o.busy {
		return
	}
	o.busy = true
	for len(o.inputs) > 0 {
		in := o.inputs[0]
		o.inputs = o.inputs[1:]
		effects, ok := o.step(in)
		if !ok {
			o.inputs = nil
			o.renew()
			continue
		}
		for _, e := range effects {
			o.carryOut(e)
		}
		// Not before all effects are carried out: letting go comes after the answer.
		for _, inf := range o.answeredNow {
			o.forget(inf)
		}
		o.answeredNow = o.answeredNow[:0]
	}
	o.inputs, o.busy = nil, false
}

// step is the only place that calls the module. A panic there must not take the node's inferences with it.
func (o *Core) step(in routing.Event) (effects []routing.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			o.watch.ModuleFailed(p, in, debug.Stack())
			effects, ok = nil, false
		}
	}()
	o.watch.Around(in, func() { effects = o.brain.Step(o.now, in) })
	return effects, true
}

// renew answers all that is open, since the old module's view of it is lost, and starts a fresh one from the
// list at hand. What was out may have run, so the answers promise nothing.
func (o *Core) renew() {
	o.lives++
	o.brain = routing.New(o.seed+o.lives, o.d.RoutingConfig())
	if o.list != nil { // before the calls that wait behind those answered now
		news, _ := o.d.EndpointUpdate(*o.list)
		o.inputs = append(o.inputs, news)
	}
	for _, id := range o.ids() {
		inf := o.infs[id]
		o.finish(inf, errored, "the router failed inside")
		for _, s := range inf.sends {
			if !s.ended {
				s.ended = true
				o.noteOutcome(s, attempt.WithdrawnBy, attempt.Result{Verdict: routing.Canceled, Leaves: true})
				if s.line != nil && s.line.send == s {
					s.line.send = nil
					o.spoil(s.line)
				}
			}
		}
		o.letGo(inf)
		delete(o.infs, id)
		delete(o.byName, inf.name)
		o.monitor.Forget(id)
	}
}

func (o *Core) carryOut(e routing.Action) {
	switch e := e.(type) {
	case routing.Send:
		o.send(e)
	case routing.Shed:
		if inf := o.infs[e.RequestID]; inf != nil {
			o.finishShed(inf, e.RetryAfter)
		}
	case routing.Fail:
		if inf := o.infs[e.RequestID]; inf != nil {
			why := "the answer could not be given"
			if o.timeUp(inf) {
				why = "time is up"
			}
			o.finish(inf, errored, why)
		}
	case routing.CancelAttempt:
		if inf := o.infs[e.RequestID]; inf != nil && e.Attempt < len(inf.sends) {
			o.happen(inf.sends[e.Attempt], attempt.WithdrawnBy, "withdrawn")
		}
	case routing.Release:
		if inf := o.infs[e.RequestID]; inf != nil {
			o.letGo(inf)
		}
	case routing.StartTimer:
		o.after(e.After, timer{token: e.Token, lives: o.lives})
	case routing.HealthCheck:
		o.startControl(&controlRequest{engine: e.Engine})
	case routing.SendGossip:
		o.wire.Tell(e.To, e.Text)
	}
}
