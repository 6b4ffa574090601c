package routing

import (
	"cmp"
	"slices"
	"time"
)

// engineLoad summarizes the attempts of this node that are in flight at one engine.
type engineLoad struct {
	prefills, streams int
	promptTokens      float64         // prompt tokens of the streams
	waits             []time.Duration // the time that each attempt without a response has waited
}

// openAttempt identifies an attempt in flight in the lists of its engine.
type openAttempt struct {
	request *request
	index   int // position among the attempts of its request
}

func (o openAttempt) attempt() *attempt { return &o.request.attempts[o.index] }

// openAttempts holds the attempts in flight at one engine, with their totals.
type openAttempts struct {
	all          []openAttempt // all attempts in flight, in the order in which they were sent
	unanswered   []openAttempt // attempts that are not streaming
	streams      int           // number of decodes
	promptTokens float64       // prompt tokens of the decodes
}

// loadOf returns the load of this node's attempts in flight at an engine.
func (p *Policy) loadOf(e *engine) engineLoad {
	open := &e.open
	if len(open.all) == 0 {
		return engineLoad{}
	}
	load := engineLoad{prefills: len(open.all) - open.streams, streams: open.streams, promptTokens: open.promptTokens}
	for _, unanswered := range open.unanswered {
		load.waits = append(load.waits, p.now-unanswered.attempt().sentAt)
	}
	return load
}

// unreportedTokens returns the prompt tokens of the decodes that the engine's last report may not include.
func (e *engine) unreportedTokens() (promptTokens float64) {
	for _, open := range slices.Backward(e.open.all) {
		att := open.attempt()
		if att.sentAt <= e.reportedAt-reportDelay {
			break
		}
		if att.decode {
			promptTokens += open.request.PromptTokens
		}
	}
	return promptTokens
}

// addAttempt adds the last attempt of a request to those in flight at its engine.
func (e *engine) addAttempt(req *request) {
	e.idle = false
	opened := openAttempt{req, len(req.attempts) - 1}
	e.open.all, e.open.unanswered = append(e.open.all, opened), append(e.open.unanswered, opened)
	if opened.attempt().decode {
		e.open.streams++
		e.open.promptTokens += req.PromptTokens
	}
}

// markStreaming records that the first token of an attempt has arrived.
func (e *engine) markStreaming(req *request, index int) {
	e.open.unanswered = withoutAttempt(e.open.unanswered, openAttempt{req, index})
}

// removeAttempt removes an attempt of a request from those in flight.
func (e *engine) removeAttempt(req *request, index int) {
	closed := openAttempt{req, index}
	e.open.all, e.open.unanswered = withoutAttempt(e.open.all, closed), withoutAttempt(e.open.unanswered, closed)
	if closed.attempt().decode {
		e.open.streams--
		e.open.promptTokens -= req.PromptTokens
	}
	if e.open.streams == 0 {
		e.open.promptTokens = 0 // clears rounding errors
	}
}

func withoutAttempt(attempts []openAttempt, removed openAttempt) []openAttempt {
	if i := slices.Index(attempts, removed); i >= 0 {
		return slices.Delete(attempts, i, i+1)
	}
	return attempts
}

// unansweredRequests returns the requests with an attempt in flight at the engine that is not streaming, in the order of
// their IDs.
func (e *engine) unansweredRequests() (found []*request) {
	for _, open := range e.open.unanswered {
		found = append(found, open.request)
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}
