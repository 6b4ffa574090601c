package router

import (
	"runtime/debug"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/routing"
)

// policyRunner runs the routing policy: it queues events while another one is handled, and keeps the policy's timers.
type policyRunner struct {
	*routing.Policy
	seed     uint64
	restarts uint64          // number of times that the policy was replaced after a panic
	pending  []routing.Event // events that are not handled yet
	running  bool            // an event is being handled
	timers   timerQueue
}

func newPolicyRunner(seed uint64, cfg *config.Deployment) policyRunner {
	return policyRunner{Policy: routing.New(seed, cfg.RoutingConfig()), seed: seed}
}

func (p *policyRunner) restart(cfg *config.Deployment) {
	p.restarts++
	p.Policy = routing.New(p.seed+p.restarts, cfg.RoutingConfig())
}

// notifyPolicy passes an event to the routing policy and performs the resulting actions. Actions may cause further events,
// which are queued.
func (r *Router) notifyPolicy(event routing.Event) {
	r.policy.pending = append(r.policy.pending, event)
	if r.policy.running {
		return
	}
	r.policy.running = true
	for len(r.policy.pending) > 0 {
		event := r.policy.pending[0]
		r.policy.pending = r.policy.pending[1:]
		actions, ok := r.runPolicy(event)
		if !ok {
			r.policy.pending = nil
			r.restartPolicy()
			continue
		}
		r.catchUp()
		for _, action := range actions {
			r.performAction(action)
		}
		// Requests are removed only after all actions are performed, as a release follows the answer.
		for _, req := range r.requests.justFinished {
			r.removeIfFinished(req)
		}
		r.requests.justFinished = r.requests.justFinished[:0]
	}
	r.policy.pending, r.policy.running = nil, false
}

// catchUp lets the transport update the time and the endpoint list after a decision, which may have taken a while. The
// times of the current event stay the same.
func (r *Router) catchUp() {
	readAt, earliestEvent := r.readAt, r.earliestEvent
	r.transport.CatchUp()
	r.readAt, r.earliestEvent = readAt, earliestEvent
}

// runPolicy is the only function that runs a step of the policy. A panic of the policy must not end the whole router.
func (r *Router) runPolicy(event routing.Event) (actions []routing.Action, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			r.observer.PolicyPanicked(p, event, debug.Stack())
			actions, ok = nil, false
		}
	}()
	r.observer.AroundStep(event, func() { actions = r.policy.Step(time.Duration(r.now), event) })
	return actions, true
}

// restartPolicy answers all open requests with an error, since the old policy's state of them is lost, and starts a new
// policy from the current endpoint list. Attempts in flight may have run, so the answers must not imply that a retry is safe.
func (r *Router) restartPolicy() {
	r.policy.restart(r.config)
	if r.endpoints.current != nil { // The update is queued first, as the answers below let pipelined requests start.
		update, _ := r.config.EndpointUpdate(*r.endpoints.current)
		r.policy.pending = append(r.policy.pending, update)
	}
	for _, id := range r.requests.ids() {
		req := r.requests.byID[id]
		r.finishRequest(req, OutcomeErrored, reasonPolicyFailed)
		for _, att := range req.attempts {
			if !att.ended {
				r.dropAttempt(att)
			}
		}
		r.releaseReservations(req)
		r.removeRequest(req)
	}
}

// dropAttempt ends an attempt that is unknown to the new policy.
func (r *Router) dropAttempt(att *engineAttempt) {
	att.ended = true
	r.streams.Remove(att)
	r.recordReservation(att, attempt.Canceled, attempt.Result{Verdict: routing.Canceled, MayLeaveReservation: true})
	if conn := att.connection; conn != nil && conn.attempt == att {
		conn.attempt = nil
		r.discardConnection(conn)
	}
}

// performAction performs one action of the policy.
func (r *Router) performAction(action routing.Action) {
	switch action := action.(type) {
	case routing.Send:
		r.startAttempt(action)
	case routing.Shed:
		if req := r.requests.byID[action.RequestID]; req != nil {
			req.cause = action.Cause
			r.shedRequest(req, int64(action.RetryAfter))
		}
	case routing.Fail:
		if req := r.requests.byID[action.RequestID]; req != nil {
			req.cause = action.Cause
			r.failRequest(req)
		}
	case routing.CancelAttempt:
		if req := r.requests.byID[action.RequestID]; req != nil && action.Attempt < len(req.attempts) {
			r.handleAttemptEvent(req.attempts[action.Attempt], attempt.Canceled, reasonCanceled)
		}
	case routing.Release:
		if req := r.requests.byID[action.RequestID]; req != nil {
			r.releaseReservations(req)
		}
	case routing.StartTimer:
		r.policy.timers.set(timer{at: r.now + int64(action.After), token: action.Token, restarts: r.policy.restarts})
	case routing.HealthCheck:
		r.startControlRequest(&controlRequest{engine: action.Engine})
	case routing.SendGossip:
		r.transport.SendToPeer(action.To, action.Text)
	}
}

// fireTimers notifies the policy of its timers that are due, and drops those of an earlier policy.
func (r *Router) fireTimers() {
	for {
		t, ok := r.policy.timers.popDue(r.now)
		if !ok {
			return
		}
		if t.restarts == r.policy.restarts {
			r.notifyPolicy(routing.TimerFired{Token: t.token})
		}
	}
}
