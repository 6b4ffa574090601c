package audit

import (
	"slices"
	"strings"
	"time"
)

// checkOutcomes checks RuleOneOutcome.
func (c *checker) checkOutcomes() {
	for _, r := range c.log.clientRecords {
		if c.wasDown(r.Edge, r.Sent, r.End.Add(c.rules.Tolerance)) {
			continue
		}
		name := r.ClientRequestID + " (" + r.RequestID + ")"
		switch {
		case r.Outcome == OutcomeLost:
			c.report(RuleOneOutcome, r.RequestID, "%s got no final answer from %s: %s", name, r.Edge, r.Reason)
		case r.Outcome != OutcomeAbandoned && r.OutcomeCount != 1:
			c.report(RuleOneOutcome, r.RequestID, "%s got %d final answers", name, r.OutcomeCount)
		case r.Outcome != OutcomeAbandoned && r.FirstToken == 0 && r.End.After(r.Deadline.Add(c.rules.Tolerance)):
			c.report(RuleOneOutcome, r.RequestID, "%s ended as %s %v after its client's deadline", name, r.Outcome, r.End.Sub(r.Deadline))
		}
		for _, span := range c.spans[r.RequestID] {
			if r.RequestID != "" && span.from.After(r.End.Add(c.rules.Tolerance)) {
				c.report(RuleOneOutcome, r.RequestID, "%s was sent to %s %v after it ended as %s", name, span.engine, span.from.Sub(r.End), r.Outcome)
			}
		}
	}
}

// checkExecutions checks the first part of RuleOneExecution: non-retriable requests are executed at most once.
func (c *checker) checkExecutions() {
	nonRetriable := map[string]bool{}
	for _, r := range c.log.clientRecords {
		nonRetriable[r.ClientRequestID] = c.rules.NonRetriable[r.Route]
	}
	executedBy := map[string][]string{}
	for _, record := range c.records {
		if record.Event == Executed && nonRetriable[record.ClientRequestID] {
			executedBy[record.ClientRequestID] = append(executedBy[record.ClientRequestID], record.Engine)
		}
	}
	for request, engines := range executedBy {
		if len(engines) > 1 {
			c.report(RuleOneExecution, "", "%s is non-retriable and ran at %s", request, strings.Join(engines, " and "))
		}
	}
}

// checkOverlaps checks the second part of RuleOneExecution: a request has at most one attempt in flight at a time.
func (c *checker) checkOverlaps() {
	for requestID, spans := range c.spans {
		slices.SortFunc(spans, func(a, b attemptSpan) int { return a.from.Compare(b.from) })
		for i := 1; i < len(spans); i++ {
			if spans[i].from.Add(c.rules.Tolerance).Before(spans[i-1].to) {
				c.report(RuleOneExecution, requestID, "%s had attempts in flight at %s and %s at the same time", requestID, spans[i-1].engine, spans[i].engine)
			}
		}
	}
}

// checkDrains checks RuleDrain.
func (c *checker) checkDrains() {
	changes := slices.Clone(c.log.readinessChanges)
	slices.SortStableFunc(changes, func(a, b ReadinessChange) int { return a.At.Compare(b.At) })
	for _, record := range c.records {
		if record.Event != AttemptStarted {
			continue
		}
		since := drainingSince(changes, record.Engine, record.At)
		late := record.At.Sub(since) - c.rules.DrainGrace - c.rules.ListDelay - c.rules.Tolerance
		if !since.IsZero() && late > 0 {
			c.report(RuleDrain, record.RequestID, "%s was sent to %s %v after the drain of the engine was published", record.RequestID, record.Engine, record.At.Sub(since))
		}
	}
}

// drainingSince returns the time since which an engine was published as not ready, as of a time; it is zero if it was ready.
func drainingSince(changes []ReadinessChange, engine string, at time.Time) (since time.Time) {
	for _, change := range changes {
		if change.Engine != engine || change.At.After(at) {
			continue
		}
		switch {
		case change.Ready:
			since = time.Time{}
		case since.IsZero():
			since = change.At
		}
	}
	return since
}

// checkSlowStarts checks RuleSlowStart.
func (c *checker) checkSlowStarts() {
	for _, record := range c.records {
		if record.Event == Overloaded {
			c.report(RuleSlowStart, "", "%s was overloaded while it warmed up: %s", record.Engine, record.Detail)
		}
	}
}

// checkReservations checks RuleReservation: while a reservation is held, no gap between attempts of its request may exceed
// the limit.
func (c *checker) checkReservations() {
	for i, record := range c.records {
		if record.Event != Reserved {
			continue
		}
		end := c.endOf(i, Released)
		edge, _, _ := strings.Cut(record.RequestID, "-")
		if c.wasDown(edge, record.At, end) {
			continue // A killed edge cannot release its reservations.
		}
		idleSince := record.At
		for _, attempt := range append(slices.Clone(c.spans[record.RequestID]), attemptSpan{from: end, to: end}) {
			if attempt.from.After(end) {
				attempt.from = end
			}
			if gap := attempt.from.Sub(idleSince); gap > c.rules.ReservationLimit+c.rules.Tolerance {
				c.report(RuleReservation, record.RequestID, "%s held a reservation of %s for %v with no attempt in flight", record.Engine, record.RequestID, gap)
				break
			}
			if attempt.to.After(idleSince) {
				idleSince = attempt.to
			}
		}
	}
}
