package router

import (
	"runtime/debug"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// notifyPolicy hands an input to the module and carries out what it decides. Effects may make further inputs, which
// wait their turn.
func (r *Router) notifyPolicy(event routing.Event) {
	r.pendingEvents = append(r.pendingEvents, event)
	if r.notifying {
		return
	}
	r.notifying = true
	for len(r.pendingEvents) > 0 {
		event := r.pendingEvents[0]
		r.pendingEvents = r.pendingEvents[1:]
		actions, ok := r.runPolicy(event)
		if !ok {
			r.pendingEvents = nil
			r.restartPolicy()
			continue
		}
		for _, action := range actions {
			r.performAction(action)
		}
		// Not before all effects are carried out: letting go comes after the answer.
		for _, req := range r.justFinished {
			r.forgetRequest(req)
		}
		r.justFinished = r.justFinished[:0]
	}
	r.pendingEvents, r.notifying = nil, false
}

// runPolicy is the only place that calls the module. A panic there must not take the node's inferences with it.
func (r *Router) runPolicy(event routing.Event) (actions []routing.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.observer.PolicyPanicked(p, event, debug.Stack())
			actions, ok = nil, false
		}
	}()
	r.observer.AroundStep(event, func() { actions = r.policy.Step(r.now, event) })
	return actions, true
}

// restartPolicy answers all that is open, since the old module's view of it is lost, and starts a fresh one from the
// list at hand. What was out may have run, so the answers promise nothing.
func (r *Router) restartPolicy() {
	r.policyIncarnation++
	r.policy = routing.New(r.seed+r.policyIncarnation, r.config.RoutingConfig())
	if r.endpoints != nil { // before the calls that wait behind those answered now
		update, _ := r.config.EndpointUpdate(*r.endpoints)
		r.pendingEvents = append(r.pendingEvents, update)
	}
	for _, id := range r.requestIDs() {
		req := r.requests[id]
		r.finishRequest(req, outcomeErrored, "the router failed inside")
		for _, att := range req.attempts {
			if !att.ended {
				att.ended = true
				r.recordReservation(att, attempt.Canceled, attempt.Result{Verdict: routing.Canceled, MayLeaveReservation: true})
				if att.connection != nil && att.connection.attempt == att {
					att.connection.attempt = nil
					r.discardConnection(att.connection)
				}
			}
		}
		r.releaseReservations(req)
		delete(r.requests, id)
		delete(r.requestsByName, req.name)
		r.monitor.Forget(id)
	}
}

func (r *Router) performAction(action routing.Action) {
	switch action := action.(type) {
	case routing.Send:
		r.startAttempt(action)
	case routing.Shed:
		if req := r.requests[action.RequestID]; req != nil {
			r.shedRequest(req, action.RetryAfter)
		}
	case routing.Fail:
		if req := r.requests[action.RequestID]; req != nil {
			reason := "the answer could not be given"
			if r.deadlinePassed(req) {
				reason = "time is up"
			}
			r.finishRequest(req, outcomeErrored, reason)
		}
	case routing.CancelAttempt:
		if req := r.requests[action.RequestID]; req != nil && action.Attempt < len(req.attempts) {
			r.handleAttemptEvent(req.attempts[action.Attempt], attempt.Canceled, "withdrawn")
		}
	case routing.Release:
		if req := r.requests[action.RequestID]; req != nil {
			r.releaseReservations(req)
		}
	case routing.StartTimer:
		r.setTimer(action.After, timer{token: action.Token, incarnation: r.policyIncarnation})
	case routing.HealthCheck:
		r.startControl(&controlRequest{engine: action.Engine})
	case routing.SendGossip:
		r.transport.SendToPeer(action.To, action.Text)
	}
}
