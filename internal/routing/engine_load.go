package routing

import (
	"cmp"
	"slices"
	"time"
)

// engineLoad is what this node has open at one engine.
type engineLoad struct {
	prefills, streams int
	promptTokens      float64         // of the streams
	waits             []time.Duration // of the attempts without a response
}

// openAttempt is an attempt in flight, as its engine lists it.
type openAttempt struct {
	request *request
	index   int // among the attempts of its request
}

func (o openAttempt) attempt() *attempt { return &o.request.attempts[o.index] }

// openAttempts are those in flight at one engine, with their sums.
type openAttempts struct {
	all          []openAttempt // in the order of their sends
	unanswered   []openAttempt // those that are not streaming
	streams      int           // decodes among all
	promptTokens float64       // of the decodes
}

// loadOf is what this node has open at an engine.
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

// unreportedTokens counts the prompt tokens of the decodes that an engine's report may not count yet.
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

// noteOpen adds the last attempt of a request to those in flight at its engine.
func (e *engine) noteOpen(req *request) {
	e.quiet = false
	opened := openAttempt{req, len(req.attempts) - 1}
	e.open.all, e.open.unanswered = append(e.open.all, opened), append(e.open.unanswered, opened)
	if opened.attempt().decode {
		e.open.streams++
		e.open.promptTokens += req.PromptTokens
	}
}

// noteStreaming notes that an attempt has its first token.
func (e *engine) noteStreaming(req *request, index int) {
	e.open.unanswered = withoutAttempt(e.open.unanswered, openAttempt{req, index})
}

// noteClosed takes an attempt of a request off those in flight.
func (e *engine) noteClosed(req *request, index int) {
	closed := openAttempt{req, index}
	e.open.all, e.open.unanswered = withoutAttempt(e.open.all, closed), withoutAttempt(e.open.unanswered, closed)
	if closed.attempt().decode {
		e.open.streams--
		e.open.promptTokens -= req.PromptTokens
	}
	if e.open.streams == 0 {
		e.open.promptTokens = 0 // nothing is left of rounding
	}
}

func withoutAttempt(attempts []openAttempt, gone openAttempt) []openAttempt {
	if i := slices.Index(attempts, gone); i >= 0 {
		return slices.Delete(attempts, i, i+1)
	}
	return attempts
}

// unansweredRequests are the requests whose attempt is in flight at an engine and not streaming, in order of
// their IDs.
func (e *engine) unansweredRequests() (found []*request) {
	for _, open := range e.open.unanswered {
		found = append(found, open.request)
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}
