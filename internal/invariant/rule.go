package invariant

import "time"

// Rule names an invariant that the monitor checks. The values are also labels of metrics.
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

// Rules lists all rules, in the order in which they are shown.
var Rules = []Rule{AnsweredTwice, AttemptAfterAnswer, ConcurrentAttempts, ExecutedTwice, AttemptToDrainingEngine,
	ExcessiveTimeBudget, LateAnswer, ClosedUnanswered, ReservedTooLong}

// Violation reports a rule that was broken.
type Violation struct {
	Rule    Rule
	Request string
	Detail  string
}

// Limits holds the time spans that the monitor applies.
type Limits struct {
	DrainGrace       time.Duration // time for which attempts may be sent after the notification of a drain
	ReservationLimit time.Duration // time for which a reservation may exist without an attempt in flight that may consume it
	AnswerSlack      time.Duration // time after the client's deadline in which a final answer may be sent
	TimeBudgetSlack  time.Duration // time by which the time budget sent to an engine may exceed the time that is left
}

// The slack that the protocol adds to the time spans.
const (
	answerSlack      = 500 * time.Millisecond
	timeBudgetSlack  = 150 * time.Millisecond
	reservationSlack = 300 * time.Millisecond
)

// LimitsFor returns the limits for the time spans in the settings.
func LimitsFor(drainGrace, reservationLimit time.Duration) Limits {
	return Limits{
		DrainGrace:       drainGrace,
		ReservationLimit: reservationLimit + reservationSlack,
		AnswerSlack:      answerSlack,
		TimeBudgetSlack:  timeBudgetSlack,
	}
}
