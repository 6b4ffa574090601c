package routing

// The table in this file is the place to start reading: a state and a trigger determine the next state of a request and a
// function, which may return a further trigger. The interface of the package is in events.go, actions.go and config.go: New
// returns the policy of one node, and Policy.Step takes an event and the time and returns the actions in order. The state is
// in policy.go, request.go and engine.go, the decisions are in the files that deploy/balancer.toml lists.

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
	{states(prefilling, decoding), triggers(firstToken), streaming, nil}, // mixed engines decode in the same attempt
	{states(prefilling), triggers(objectiveMissed), prefilling, (*Policy).shedLatePrefill},
	{states(prefilling), triggers(responseOverdue), prefilling, (*Policy).checkOverdueEngine},
	{states(decoding), triggers(responseOverdue), decoding, (*Policy).checkOverdueEngine},
	{states(prefilling), triggers(passedByLaterResponse, engineUnresponsive), prefilling, (*Policy).cancelLastAttempt},
	{states(decoding), triggers(passedByLaterResponse, engineUnresponsive), decoding, (*Policy).cancelLastAttempt},
	{openStates, triggers(deadlineNear, attemptsExhausted, cannotMeetObjective), ended, (*Policy).reject},
	{allStates, triggers(clientDisconnected, finished), ended, (*Policy).releaseAll},
	// Outcomes after the end of a request still release its reservations.
	{states(ended), triggers(prefillDone, prefillFailed, decodeNotStarted, reservationLost, mayHaveRun), ended,
		(*Policy).releaseAll},
}

// fire runs the transition of a trigger and those of the triggers that follow from it.
func (p *Policy) fire(req *request, current trigger) {
	for current != noTrigger {
		i := slices.IndexFunc(transitions, func(t transition) bool {
			return slices.Contains(t.from, req.state) && slices.Contains(t.triggers, current)
		})
		if i < 0 {
			return
		}
		p.setState(req, transitions[i].next)
		req.lastTrigger, current = current, noTrigger
		p.firedTransitions |= 1 << i
		if transitions[i].run != nil {
			current = transitions[i].run(p, req)
		}
	}
}

// setState sets the state of a request and keeps the set of reserved requests up to date.
func (p *Policy) setState(req *request, next state) {
	req.state = next
	if next == reserved {
		p.reserved[req.RequestID] = req
	} else {
		delete(p.reserved, req.RequestID)
	}
}

// handleEndpointUpdate applies a watch event, and schedules another watch after one that failed.
func (p *Policy) handleEndpointUpdate(update EndpointUpdate) {
	if !update.Failed {
		p.updateEndpoints(update)
		return
	}
	// The timer runs for up to twice the delay: all nodes fail at once, and discovery serves one call at a time.
	const delay = 300 * time.Millisecond
	p.startTimer(noRequest, retryDue, delay+time.Duration(p.random.next()*float64(delay)))
}
