package invariant

import (
	"fmt"
	"time"
)

// Rule names a rule that the monitor checks.
type Rule string

// The rules.
const (
	AnsweredTwice           Rule = "answered twice"
	AttemptAfterAnswer      Rule = "attempt after the final answer"
	ConcurrentAttempts      Rule = "two attempts out"
	ExecutedTwice           Rule = "run more than once"
	AttemptToDrainingEngine Rule = "attempt to a draining engine"
	ExcessiveTimeBudget     Rule = "an engine is told more time than is left"
	LateAnswer              Rule = "answer late"
	ClosedUnanswered        Rule = "connection closed with a request unanswered"
	ReservedTooLong         Rule = "state held too long"
)

// Rules are all rules, in the order in which they are shown.
var Rules = []Rule{AnsweredTwice, AttemptAfterAnswer, ConcurrentAttempts, ExecutedTwice, AttemptToDrainingEngine, ExcessiveTimeBudget, LateAnswer, ClosedUnanswered, ReservedTooLong}

// Violation is one rule that was broken, and how.
type Violation struct {
	Rule    Rule
	Request string
	Detail  string
}

// Limits are the spans that the monitor judges by, in nanoseconds.
type Limits struct {
	DrainGrace       int64 // after the news of a drain
	ReservationLimit int64 // that a state may be held while no attempt is out
	AnswerSlack      int64 // that a final answer may come after its client's time
	TimeBudgetSlack  int64 // by which the time that an engine is told may be over what is left
}

// The slack that the protocol adds.
const (
	answerSlack      = 500 * time.Millisecond
	timeBudgetSlack  = 150 * time.Millisecond
	reservationSlack = 300 * time.Millisecond
)

// LimitsFor are the limits for the spans that the settings give.
func LimitsFor(drainGrace, reservationLimit time.Duration) Limits {
	return Limits{DrainGrace: int64(drainGrace), ReservationLimit: int64(reservationLimit + reservationSlack), AnswerSlack: int64(answerSlack), TimeBudgetSlack: int64(timeBudgetSlack)}
}

// Monitor keeps its own account of what has been done for each request.
type Monitor struct {
	limits               Limits
	requests             map[int64]*requestRecord
	reportedReservations map[string]time.Duration // requests whose state was told of as held too long, and for how long it was then
	// violations that have not been handed over.
	violations []Violation
}

// maxReportedReservations is how many requests are remembered whose state was told of, so that it is told of once.
const maxReportedReservations = 1000

// requestRecord is what has happened for one request.
type requestRecord struct {
	name          string
	effect        Effect
	dedupWindow   int64
	deadline      int64
	answerStarted bool // its client has the first event
	answered      bool
	attempts      []*attemptRecord
}

type attemptRecord struct {
	decode    bool
	writtenAt int64
	ended     bool
	neverRan  bool
}

// NewMonitor makes a monitor that knows of nothing.
func NewMonitor(limits Limits) *Monitor {
	return &Monitor{limits: limits, requests: map[int64]*requestRecord{}, reportedReservations: map[string]time.Duration{}}
}

// RequestAccepted notes a request that the node has taken.
func (m *Monitor) RequestAccepted(id int64, name string, effect Effect, dedupWindow, deadline int64) {
	m.requests[id] = &requestRecord{name: name, effect: effect, dedupWindow: dedupWindow, deadline: deadline}
}

// AttemptWritten notes that the first byte of an attempt has been written. Drained is when the news of its engine's drain came, 0
// for none; left is the time that the engine was told.
func (m *Monitor) AttemptWritten(id int64, attempt int, decode bool, now, drainNotifiedAt int64, timeBudget time.Duration) {
	record := m.requests[id]
	if record == nil {
		m.report(AttemptAfterAnswer, "", "attempt %d of request %d, which is not known", attempt, id)
		return
	}
	m.checkAttempt(record, attempt, decode, now, drainNotifiedAt, timeBudget)
	for len(record.attempts) <= attempt {
		record.attempts = append(record.attempts, &attemptRecord{ended: true, neverRan: true})
	}
	record.attempts[attempt] = &attemptRecord{decode: decode, writtenAt: now}
}

func (m *Monitor) checkAttempt(record *requestRecord, attempt int, decode bool, now, drainNotifiedAt int64, timeBudget time.Duration) {
	if record.answered {
		m.report(AttemptAfterAnswer, record.name, "attempt %d", attempt)
	}
	if drainNotifiedAt != 0 && now-drainNotifiedAt > m.limits.DrainGrace {
		m.report(AttemptToDrainingEngine, record.name, "attempt %d, %v after the news", attempt, time.Duration(now-drainNotifiedAt))
	}
	if excess := int64(timeBudget) - max(0, record.deadline-now); excess > m.limits.TimeBudgetSlack {
		m.report(ExcessiveTimeBudget, record.name, "attempt %d, %v too much", attempt, time.Duration(excess))
	}
	for i, prior := range record.attempts {
		if !prior.ended {
			m.report(ConcurrentAttempts, record.name, "attempts %d and %d", i, attempt)
		}
		mayHaveRun := prior.decode && !prior.neverRan
		forgotten := record.effect == Deduplicated && now-prior.writtenAt >= record.dedupWindow
		if decode && mayHaveRun && (record.effect == NonRetriable || forgotten) {
			m.report(ExecutedTwice, record.name, "attempts %d and %d, %v apart", i, attempt, time.Duration(now-prior.writtenAt))
		}
	}
}

// AttemptEnded notes the outcome of an attempt.
func (m *Monitor) AttemptEnded(id int64, attempt int, neverRan bool) {
	record := m.requests[id]
	if record == nil || attempt >= len(record.attempts) {
		return // it was never written
	}
	record.attempts[attempt].ended, record.attempts[attempt].neverRan = true, neverRan
}

// AnswerStarted notes that the first event of an answer has gone to the client: its time does not run any more.
func (m *Monitor) AnswerStarted(id int64) {
	if record := m.requests[id]; record != nil {
		record.answerStarted = true
	}
}

// RequestAnswered notes a final answer.
func (m *Monitor) RequestAnswered(id int64, now int64) {
	record := m.requests[id]
	switch {
	case record == nil:
		m.report(AnsweredTwice, "", "request %d, which is not known", id)
	case record.answered:
		m.report(AnsweredTwice, record.name, "")
	case !record.answerStarted && now-record.deadline > m.limits.AnswerSlack:
		m.report(LateAnswer, record.name, "%v after its client's time", time.Duration(now-record.deadline))
	}
	if record != nil {
		record.answered = true
	}
}

// Forget drops a request that has its answer and no attempt out.
func (m *Monitor) Forget(id int64) { delete(m.requests, id) }

// ConnectionClosing notes that a client's connection is closed by the node, though a gate may speak against it.
func (m *Monitor) ConnectionClosing(c Connection, cause string) {
	if reason := MayClose(c); reason == RequestUnanswered {
		m.report(ClosedUnanswered, "", "%d requests, closed as: %s", c.Unanswered, cause)
	}
}

// ReservationUnclaimed notes for how long a state has been held while no attempt that may take it was out.
func (m *Monitor) ReservationUnclaimed(request string, unclaimed time.Duration) {
	if int64(unclaimed) <= m.limits.ReservationLimit {
		return
	}
	previous, reported := m.reportedReservations[request]
	if !reported || unclaimed < previous { // another state of the same request
		m.report(ReservedTooLong, request, "%v", unclaimed)
	}
	if len(m.reportedReservations) >= maxReportedReservations {
		clear(m.reportedReservations)
	}
	m.reportedReservations[request] = unclaimed
}

func (m *Monitor) report(rule Rule, request, format string, args ...any) {
	m.violations = append(m.violations, Violation{rule, request, fmt.Sprintf(format, args...)})
}

// TakeViolations hands over the violations since the last call.
func (m *Monitor) TakeViolations() []Violation {
	violations := m.violations
	m.violations = nil
	return violations
}
