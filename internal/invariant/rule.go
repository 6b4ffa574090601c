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

// Violation is one rule that was broken, and how.
type Violation struct {
	Rule    Rule
	Request string
	Detail  string
}

// Limits are the time spans that the monitor applies.
type Limits struct {
	DrainGrace       time.Duration // for attempts, after the notification of a drain
	ReservationLimit time.Duration // for a reservation that no attempt in flight may consume
	AnswerSlack      time.Duration // for a final answer, after its client's deadline
	TimeBudgetSlack  time.Duration // by which the time budget sent to an engine may exceed the time that is left
}

// The slack that the protocol adds.
const (
	answerSlack      = 500 * time.Millisecond
	timeBudgetSlack  = 150 * time.Millisecond
	reservationSlack = 300 * time.Millisecond
)

// LimitsFor returns the limits for the time spans of the settings.
func LimitsFor(drainGrace, reservationLimit time.Duration) Limits {
	return Limits{
		DrainGrace:       drainGrace,
		ReservationLimit: reservationLimit + reservationSlack,
		AnswerSlack:      answerSlack,
		TimeBudgetSlack:  timeBudgetSlack,
	}
}
