package invariant

import (
	"fmt"
	"time"
)

// maxReportedReservations limits the record of reported reservations that prevents repeated reports.
const maxReportedReservations = 1000

// AcceptedRequest describes a request to the monitor.
type AcceptedRequest struct {
	Name        string
	Effect      Effect
	DedupWindow time.Duration // time for which engines remember a run of a deduplicated request
	Deadline    int64         // deadline of the client
}

// WrittenAttempt is an attempt whose first byte has been written.
type WrittenAttempt struct {
	Index           int // position among the attempts of its request, from 0
	Decode          bool
	WrittenAt       int64
	DrainNotifiedAt int64         // time of the notification that the engine drains or was removed; 0 if the engine is ready
	TimeBudget      time.Duration // timeout that was sent to the engine
}

// Monitor keeps its own record of the actions for each request, and checks the rules against it.
type Monitor struct {
	limits   Limits
	requests map[int64]*requestRecord
	// reportedReservations holds the requests whose reservation was reported, with how long it was unclaimed at that time.
	reportedReservations map[string]time.Duration
	violations           []Violation // violations that TakeViolations has not returned yet
}

// requestRecord holds the recorded events of one request.
type requestRecord struct {
	AcceptedRequest
	answerStarted bool // the first event has been sent to the client
	answered      bool
	attempts      []attemptRecord
}

type attemptRecord struct {
	decode    bool
	writtenAt int64
	ended     bool
	neverRan  bool
}

// NewMonitor returns a monitor without records.
func NewMonitor(limits Limits) *Monitor {
	return &Monitor{limits: limits, requests: map[int64]*requestRecord{}, reportedReservations: map[string]time.Duration{}}
}

// RequestAccepted records a request that the router has accepted.
func (m *Monitor) RequestAccepted(id int64, request AcceptedRequest) {
	m.requests[id] = &requestRecord{AcceptedRequest: request}
}

// AttemptWritten records that the first byte of an attempt has been written.
func (m *Monitor) AttemptWritten(id int64, attempt WrittenAttempt) {
	record := m.requests[id]
	if record == nil {
		m.report(AttemptAfterAnswer, "", "attempt %d of unknown request %d", attempt.Index, id)
		return
	}
	m.checkAttempt(record, attempt)
	m.checkPriorAttempts(record, attempt)
	for len(record.attempts) <= attempt.Index {
		record.attempts = append(record.attempts, attemptRecord{ended: true, neverRan: true})
	}
	record.attempts[attempt.Index] = attemptRecord{decode: attempt.Decode, writtenAt: attempt.WrittenAt}
}

func (m *Monitor) checkAttempt(record *requestRecord, attempt WrittenAttempt) {
	if record.answered {
		m.report(AttemptAfterAnswer, record.Name, "attempt %d", attempt.Index)
	}
	sinceDrain := time.Duration(attempt.WrittenAt - attempt.DrainNotifiedAt)
	if attempt.DrainNotifiedAt != 0 && sinceDrain > m.limits.DrainGrace {
		m.report(AttemptToDrainingEngine, record.Name, "attempt %d, %v after the notification", attempt.Index, sinceDrain)
	}
	timeLeft := time.Duration(max(0, record.Deadline-attempt.WrittenAt))
	if excess := attempt.TimeBudget - timeLeft; excess > m.limits.TimeBudgetSlack {
		m.report(ExcessiveTimeBudget, record.Name, "attempt %d, %v more than the time left", attempt.Index, excess)
	}
}

func (m *Monitor) checkPriorAttempts(record *requestRecord, attempt WrittenAttempt) {
	for i, prior := range record.attempts {
		if !prior.ended {
			m.report(ConcurrentAttempts, record.Name, "attempts %d and %d", i, attempt.Index)
		}
		interval := time.Duration(attempt.WrittenAt - prior.writtenAt)
		mayHaveRun := prior.decode && !prior.neverRan
		forgotten := record.Effect == Deduped && interval >= record.DedupWindow
		if attempt.Decode && mayHaveRun && (record.Effect == NonRetriable || forgotten) {
			m.report(ExecutedTwice, record.Name, "attempts %d and %d, %v apart", i, attempt.Index, interval)
		}
	}
}

// AttemptEnded records the outcome of an attempt. An attempt that was never written is ignored.
func (m *Monitor) AttemptEnded(id int64, attempt int, neverRan bool) {
	record := m.requests[id]
	if record == nil || attempt >= len(record.attempts) {
		return
	}
	record.attempts[attempt].ended, record.attempts[attempt].neverRan = true, neverRan
}

// AnswerStarted records that the first event of an answer has been sent to the client, which meets the client's deadline.
func (m *Monitor) AnswerStarted(id int64) {
	if record := m.requests[id]; record != nil {
		record.answerStarted = true
	}
}

// RequestAnswered records a final answer.
func (m *Monitor) RequestAnswered(id int64, now int64) {
	record := m.requests[id]
	if record == nil {
		m.report(AnsweredTwice, "", "unknown request %d", id)
		return
	}
	late := time.Duration(now - record.Deadline)
	switch {
	case record.answered:
		m.report(AnsweredTwice, record.Name, "")
	case !record.answerStarted && late > m.limits.AnswerSlack:
		m.report(LateAnswer, record.Name, "%v after the client's deadline", late)
	}
	record.answered = true
}

// Forget drops the record of a request that has its answer and no attempt in flight.
func (m *Monitor) Forget(id int64) { delete(m.requests, id) }

// ConnectionClosing records that the router closes a client's connection.
func (m *Monitor) ConnectionClosing(c Connection, cause string) {
	if MayClose(c) == RequestUnanswered {
		m.report(ClosedUnanswered, "", "%d requests, cause of the close: %s", c.Unanswered, cause)
	}
}

// ReservationUnclaimed records how long no attempt that may consume a reservation of a request has been in flight.
func (m *Monitor) ReservationUnclaimed(request string, unclaimed time.Duration) {
	if unclaimed <= m.limits.ReservationLimit {
		return
	}
	previous, reported := m.reportedReservations[request]
	if !reported || unclaimed < previous { // A shorter time belongs to another reservation of the same request.
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

// TakeViolations returns the violations since the last call.
func (m *Monitor) TakeViolations() []Violation {
	violations := m.violations
	m.violations = nil
	return violations
}
