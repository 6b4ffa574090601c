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
	unreportedTokens  float64         // of the streams that a report may not count yet
	waits             []time.Duration // of the attempts without a response
}

// openAttempt is an attempt in flight, as its engine lists it.
type openAttempt struct {
	request *request
	index   int // among the attempts of its request
}

func (o openAttempt) attempt() *attempt { return &o.request.attempts[o.index] }

// loadOf counts what this node has open at an engine.
func (p *Policy) loadOf(e *engine) (load engineLoad) {
	for _, open := range e.open {
		load.add(open.attempt(), open.request.PromptTokens, e.reportedAt, p.now)
	}
	return load
}

// add counts one attempt that is in flight.
func (l *engineLoad) add(a *attempt, promptTokens float64, reportedAt, now time.Duration) {
	if a.decode {
		l.streams++
		l.promptTokens += promptTokens
		if a.sentAt > reportedAt-reportDelay {
			l.unreportedTokens += promptTokens
		}
	} else {
		l.prefills++
	}
	if !a.streaming {
		l.waits = append(l.waits, now-a.sentAt)
	}
}

// noteOpen adds the last attempt of a request to those in flight at its engine.
func (e *engine) noteOpen(req *request) {
	e.quiet = false
	e.open = append(e.open, openAttempt{req, len(req.attempts) - 1})
}

// noteClosed takes an attempt of a request off those in flight.
func (e *engine) noteClosed(req *request, index int) {
	e.open = slices.DeleteFunc(e.open, func(o openAttempt) bool { return o.request == req && o.index == index })
}

// unansweredRequests are the requests whose attempt is in flight at an engine and not streaming, in order of
// their IDs.
func (e *engine) unansweredRequests() (found []*request) {
	for _, open := range e.open {
		if !open.attempt().streaming {
			found = append(found, open.request)
		}
	}
	slices.SortFunc(found, func(x, y *request) int { return cmp.Compare(x.RequestID, y.RequestID) })
	return found
}
