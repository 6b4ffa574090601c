package routing

// How to call it: New makes the policy of one node, Step takes an event and the time and returns the actions
// in order. The interface is in events.go, actions.go and config.go, state in policy.go, request.go and
// engine.go. The decisions are in the files that deploy/balancer.toml names; read them from this table down.
// A state and a trigger give the next state and a function, which may return a further trigger.

import (
	"slices"
	"time"
)

// transitions is the state machine of a request.
var transitions = []transition{
	{states(pending), triggers(arrived), checkingLoad, (*Policy).requestLoad},
	{states(checkingLoad), triggers(loadKnown), pending, (*Policy).choosePrefill},
	{states(pending), triggers(retryDue), pending, (*Policy).choosePrefill},
	{states(pending), triggers(prefillChosen), pending, (*Policy).admit},
	{states(pending), triggers(admitted), prefilling, (*Policy).sendToPrefill},
	{states(pending, prefilling), triggers(noPrefillEngine, noDecodeEngine), pending, (*Policy).scheduleRetry},
	{states(prefilling), triggers(prefillFailed, decodeNotStarted, mayHaveRun, reservationLost), pending,
		(*Policy).choosePrefill},
	{states(prefilling), triggers(prefillDone), reserved, (*Policy).requestDecodeLoad},
	{states(reserved), triggers(loadKnown, retryDue), decoding, (*Policy).sendToDecode},
	{states(decoding), triggers(decodeNotStarted, mayHaveRun), decoding, (*Policy).sendToDecode},
	{states(decoding), triggers(noDecodeEngine), reserved, (*Policy).scheduleRetry},
	{states(decoding), triggers(reservationLost), pending, (*Policy).choosePrefill},
	{states(prefilling, decoding), triggers(firstToken), streaming, nil}, // mixed engines answer at once
	{states(prefilling), triggers(objectiveMissed), prefilling, (*Policy).shedLate},
	{states(prefilling), triggers(responseOverdue), prefilling, (*Policy).checkUnresponsive},
	{states(decoding), triggers(responseOverdue), decoding, (*Policy).checkUnresponsive},
	{states(prefilling), triggers(passedByLaterResponse, engineUnresponsive), prefilling, (*Policy).cancelLast},
	{states(decoding), triggers(passedByLaterResponse, engineUnresponsive), decoding, (*Policy).cancelLast},
	{openStates, triggers(deadlineNear, attemptsExhausted, cannotMeetObjective), ended, (*Policy).reject},
	{allStates, triggers(clientDisconnected, finished), ended, (*Policy).releaseAll},
	// What comes after the end still releases reservations.
	{states(ended), triggers(prefillDone, prefillFailed, decodeNotStarted, reservationLost, mayHaveRun), ended,
		(*Policy).releaseAll},
}

// fire runs the transitions of a trigger and of those that follow from it.
func (p *Policy) fire(req *request, event trigger) {
	for event != noTrigger {
		i := slices.IndexFunc(transitions, func(t transition) bool {
			return slices.Contains(t.from, req.state) && slices.Contains(t.triggers, event)
		})
		if i < 0 {
			return
		}
		p.enter(req, transitions[i].next)
		req.lastTrigger, event = event, noTrigger
		p.firedTransitions |= 1 << i
		if transitions[i].run != nil {
			event = transitions[i].run(p, req)
		}
	}
}

// enter puts a request into a state.
func (p *Policy) enter(req *request, next state) {
	req.state = next
	if next == reserved {
		p.reserved[req.RequestID] = req
	} else {
		delete(p.reserved, req.RequestID)
	}
}

// handleEndpoints takes over a watch event, and watches again after one that failed.
func (p *Policy) handleEndpoints(update EndpointUpdate) {
	if !update.Failed {
		p.updateEndpoints(update)
		return
	}
	// Up to twice the delay: all nodes fail at once, and discovery serves one call at a time.
	const delay = 300 * time.Millisecond
	p.startTimer(noRequest, retryDue, delay+time.Duration(p.random.next()*float64(delay)))
}
