package invariant

import (
	"fmt"
	"time"
)

// Rule names a rule that the monitor checks.
type Rule string

// The rules.
const (
	AnsweredTwice   Rule = "answered twice"
	SentAfterFinal  Rule = "attempt after the final answer"
	TwoOut          Rule = "two attempts out"
	RanTwice        Rule = "run more than once"
	SentToDraining  Rule = "attempt to a draining engine"
	TooMuchTimeTold Rule = "an engine is told more time than is left"
	AnswerLate      Rule = "answer late"
	ClosedEarly     Rule = "connection closed with a request unanswered"
	HeldTooLong     Rule = "state held too long"
)

// Rules are all rules, in the order in which they are shown.
var Rules = []Rule{AnsweredTwice, SentAfterFinal, TwoOut, RanTwice, SentToDraining, TooMuchTimeTold, AnswerLate, ClosedEarly, HeldTooLong}

// Violation is one rule that was broken, and how.
type Violation struct {
	Rule    Rule
	Request string
	How     string
}

// Limits are the spans that the monitor judges by, in nanoseconds.
type Limits struct {
	Grace      int64 // after the news of a drain
	Pin        int64 // that a state may be held while no attempt is out
	AnswerLate int64 // that a final answer may come after its client's time
	TimeTold   int64 // by which the time that an engine is told may be over what is left
}

// The slack that the protocol adds.
const (
	answerSlack = 500 * time.Millisecond
	toldSlack   = 150 * time.Millisecond
	pinSlack    = 300 * time.Millisecond
)

// LimitsFor are the limits for the spans that the settings give.
func LimitsFor(grace, pin time.Duration) Limits {
	return Limits{Grace: int64(grace), Pin: int64(pin + pinSlack), AnswerLate: int64(answerSlack), TimeTold: int64(toldSlack)}
}

// Monitor keeps its own account of what has been done for each request.
type Monitor struct {
	limits   Limits
	requests map[int64]*account
	held     map[string]time.Duration // requests whose state was told of as held too long, and for how long it was then
	// violations that have not been handed over.
	violations []Violation
}

// heldKept is how many requests are remembered whose state was told of, so that it is told of once.
const heldKept = 1000

// account is what has happened for one request.
type account struct {
	name     string
	effect   Effect
	window   int64
	giveUpAt int64
	began    bool // its client has the first event
	answered bool
	attempts []*attemptAccount
}

type attemptAccount struct {
	decode    bool
	writtenAt int64
	over      bool
	neverRan  bool
}

// NewMonitor makes a monitor that knows of nothing.
func NewMonitor(limits Limits) *Monitor {
	return &Monitor{limits: limits, requests: map[int64]*account{}, held: map[string]time.Duration{}}
}

// Taken notes a request that the node has taken.
func (m *Monitor) Taken(id int64, name string, effect Effect, window, giveUpAt int64) {
	m.requests[id] = &account{name: name, effect: effect, window: window, giveUpAt: giveUpAt}
}

// Written notes that the first byte of an attempt has been written. Drained is when the news of its engine's drain came, 0
// for none; left is the time that the engine was told.
func (m *Monitor) Written(id int64, attempt int, decode bool, now, drained int64, left time.Duration) {
	a := m.requests[id]
	if a == nil {
		m.say(SentAfterFinal, "", "attempt %d of request %d, which is not known", attempt, id)
		return
	}
	m.judgeWritten(a, attempt, decode, now, drained, left)
	for len(a.attempts) <= attempt {
		a.attempts = append(a.attempts, &attemptAccount{over: true, neverRan: true})
	}
	a.attempts[attempt] = &attemptAccount{decode: decode, writtenAt: now}
}

func (m *Monitor) judgeWritten(a *account, attempt int, decode bool, now, drained int64, left time.Duration) {
	if a.answered {
		m.say(SentAfterFinal, a.name, "attempt %d", attempt)
	}
	if drained != 0 && now-drained > m.limits.Grace {
		m.say(SentToDraining, a.name, "attempt %d, %v after the news", attempt, time.Duration(now-drained))
	}
	if over := int64(left) - max(0, a.giveUpAt-now); over > m.limits.TimeTold {
		m.say(TooMuchTimeTold, a.name, "attempt %d, %v too much", attempt, time.Duration(over))
	}
	for i, before := range a.attempts {
		if !before.over {
			m.say(TwoOut, a.name, "attempts %d and %d", i, attempt)
		}
		mayHaveRun := before.decode && !before.neverRan
		forgotten := a.effect == Deduplicated && now-before.writtenAt >= a.window
		if decode && mayHaveRun && (a.effect == NonRetriable || forgotten) {
			m.say(RanTwice, a.name, "attempts %d and %d, %v apart", i, attempt, time.Duration(now-before.writtenAt))
		}
	}
}

// Over notes the outcome of an attempt.
func (m *Monitor) Over(id int64, attempt int, neverRan bool) {
	a := m.requests[id]
	if a == nil || attempt >= len(a.attempts) {
		return // it was never written
	}
	a.attempts[attempt].over, a.attempts[attempt].neverRan = true, neverRan
}

// Began notes that the first event of an answer has gone to the client: its time does not run any more.
func (m *Monitor) Began(id int64) {
	if a := m.requests[id]; a != nil {
		a.began = true
	}
}

// Answered notes a final answer.
func (m *Monitor) Answered(id int64, now int64) {
	a := m.requests[id]
	switch {
	case a == nil:
		m.say(AnsweredTwice, "", "request %d, which is not known", id)
	case a.answered:
		m.say(AnsweredTwice, a.name, "")
	case !a.began && now-a.giveUpAt > m.limits.AnswerLate:
		m.say(AnswerLate, a.name, "%v after its client's time", time.Duration(now-a.giveUpAt))
	}
	if a != nil {
		a.answered = true
	}
}

// Forget drops a request that has its answer and no attempt out.
func (m *Monitor) Forget(id int64) { delete(m.requests, id) }

// Closing notes that a client's connection is closed by the node, though a gate may speak against it.
func (m *Monitor) Closing(c Connection, why string) {
	if reason := MayClose(c); reason == Unanswered {
		m.say(ClosedEarly, "", "%d requests, closed as: %s", c.Waiting, why)
	}
}

// Held notes for how long a state has been held while no attempt that may take it was out.
func (m *Monitor) Held(request string, free time.Duration) {
	if int64(free) <= m.limits.Pin {
		return
	}
	before, told := m.held[request]
	if !told || free < before { // another state of the same request
		m.say(HeldTooLong, request, "%v", free)
	}
	if len(m.held) >= heldKept {
		clear(m.held)
	}
	m.held[request] = free
}

func (m *Monitor) say(rule Rule, request, format string, args ...any) {
	m.violations = append(m.violations, Violation{rule, request, fmt.Sprintf(format, args...)})
}

// Take hands over the violations since the last call.
func (m *Monitor) Take() []Violation {
	row := m.violations
	m.violations = nil
	return row
}
