package audit

import (
	"slices"
	"strings"
	"time"
)

// checkOutcomes checks rule 1.
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
			c.report(RuleOneOutcome, r.RequestID, "%s was %s %v after its client gave up", name, r.Outcome, r.End.Sub(r.Deadline))
		}
		for _, s := range c.spans[r.RequestID] {
			if r.RequestID != "" && s.from.After(r.End.Add(c.rules.Tolerance)) {
				c.report(RuleOneOutcome, r.RequestID, "%s was sent to %s %v after it was %s", name, s.engine, s.from.Sub(r.End), r.Outcome)
			}
		}
	}
}

// checkExecutions checks the first half of rule 2: non-retriable requests are executed at most once.
func (c *checker) checkExecutions() {
	nonRetriable := map[string]bool{}
	for _, r := range c.log.clientRecords {
		nonRetriable[r.ClientRequestID] = c.rules.NonRetriable[r.Route]
	}
	executedBy := map[string][]string{}
	for _, s := range c.records {
		if s.Event == Executed && nonRetriable[s.ClientRequestID] {
			executedBy[s.ClientRequestID] = append(executedBy[s.ClientRequestID], s.Engine)
		}
	}
	for request, engines := range executedBy {
		if len(engines) > 1 {
			c.report(RuleOneExecution, "", "%s is non-retriable and ran at %s", request, strings.Join(engines, " and "))
		}
	}
}

// checkOverlaps checks the second half of rule 2: a request has one attempt in flight at a time.
func (c *checker) checkOverlaps() {
	for name, spans := range c.spans {
		slices.SortFunc(spans, func(a, b attemptSpan) int { return a.from.Compare(b.from) })
		for i := 1; i < len(spans); i++ {
			if spans[i].from.Add(c.rules.Tolerance).Before(spans[i-1].to) {
				c.report(RuleOneExecution, name, "%s was out at %s and %s at once", name, spans[i-1].engine, spans[i].engine)
			}
		}
	}
}

// checkDrains checks rule 3.
func (c *checker) checkDrains() {
	changes := slices.Clone(c.log.readinessChanges)
	slices.SortStableFunc(changes, func(a, b ReadinessChange) int { return a.At.Compare(b.At) })
	for _, s := range c.records {
		if s.Event != AttemptStarted {
			continue
		}
		since := drainingSince(changes, s.Engine, s.At)
		late := s.At.Sub(since) - c.rules.DrainGrace - c.rules.ListDelay - c.rules.Tolerance
		if !since.IsZero() && late > 0 {
			c.report(RuleDrain, s.RequestID, "%s was sent to %s %v after it was told to drain", s.RequestID, s.Engine, s.At.Sub(since))
		}
	}
}

// drainingSince returns since when an engine was published as not ready at a moment; zero where it was ready.
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

// checkSlowStarts checks rule 4.
func (c *checker) checkSlowStarts() {
	for _, s := range c.records {
		if s.Event == Overloaded {
			c.report(RuleSlowStart, "", "%s was pushed over while cold: %s", s.Engine, s.Detail)
		}
	}
}

// checkReservations checks rule 5. It looks for a gap, in the time of each reservation, in which no attempt of its request
// was in flight.
func (c *checker) checkReservations() {
	for i, s := range c.records {
		if s.Event != Reserved {
			continue
		}
		end := c.endOf(i, Released)
		edge, _, _ := strings.Cut(s.RequestID, "-")
		if c.wasDown(edge, s.At, end) {
			continue // a killed edge can't release its reservations
		}
		idleSince := s.At
		for _, attempt := range append(slices.Clone(c.spans[s.RequestID]), attemptSpan{from: end, to: end}) {
			if attempt.from.After(end) {
				attempt.from = end
			}
			if gap := attempt.from.Sub(idleSince); gap > c.rules.ReservationLimit+c.rules.Tolerance {
				c.report(RuleReservation, s.RequestID, "%s held a state of %s for %v with no send out", s.Engine, s.RequestID, gap)
				break
			}
			if attempt.to.After(idleSince) {
				idleSince = attempt.to
			}
		}
	}
}
