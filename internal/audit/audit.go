// Package audit checks whether the router kept its five rules, using the records of fake engines and test clients, which
// observe the router from outside. It uses neither the logs nor the metrics of the edge, and does no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is the number of a rule, which is printed in violations.
type Rule int

// The rules.
const (
	// RuleOneOutcome requires that each request has one final response before its deadline, and no attempt after it.
	RuleOneOutcome Rule = iota + 1
	// RuleOneExecution requires that a non-retriable request is executed at most once, and that attempts do not overlap.
	RuleOneExecution
	// RuleDrain requires that a draining engine receives no more attempts after the drain grace.
	RuleDrain
	// RuleSlowStart requires that no engine is overloaded while it warms up.
	RuleSlowStart
	// RuleReservation requires that no reservation is held past its limit while no attempt of its request is in flight.
	RuleReservation
)

// Rules contains the durations and routes that the checks use.
type Rules struct {
	NonRetriable     map[string]bool // non-retriable routes, by name
	DrainGrace       time.Duration
	ListDelay        time.Duration // time between the publication of an endpoint list and its arrival at an edge
	ReservationLimit time.Duration
	Tolerance        time.Duration // additional delay that the network and a loaded test machine may cause
}

// Violation is one violation of a rule.
type Violation struct {
	Rule      Rule
	Text      string
	RequestID string // ID of the request; empty if the violation does not concern a single request
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Text) }

// Check returns all violations of the five rules, ordered by rule and text. Until is the end of the recorded time.
func (l *Log) Check(rules Rules, until time.Time) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Clone(l.engineRecords)
	slices.SortStableFunc(records, func(a, b EngineRecord) int { return a.At.Compare(b.At) })
	c := &checker{rules: rules, until: until, log: l, records: records}
	c.spans = c.attemptSpans()
	c.checkOutcomes()
	c.checkExecutions()
	c.checkOverlaps()
	c.checkDrains()
	c.checkSlowStarts()
	c.checkReservations()
	slices.SortFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), strings.Compare(a.Text, b.Text))
	})
	return c.violations
}

// attemptSpan is the time during which an attempt was in flight at an engine.
type attemptSpan struct {
	from, to time.Time
	engine   string
}

// checker is the state of one call of Check, which holds the lock of the log.
type checker struct {
	rules      Rules
	until      time.Time
	log        *Log
	records    []EngineRecord           // records ordered by time
	spans      map[string][]attemptSpan // attempts by request ID
	violations []Violation
}

func (c *checker) report(rule Rule, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...), requestID})
}

// attemptSpans returns the attempts that engines recorded, by request ID.
func (c *checker) attemptSpans() map[string][]attemptSpan {
	spans := map[string][]attemptSpan{}
	for i, record := range c.records {
		if record.Event != AttemptStarted || record.RequestID == "" {
			continue
		}
		spans[record.RequestID] = append(spans[record.RequestID], attemptSpan{record.At, c.endOf(i, AttemptEnded), record.Engine})
	}
	return spans
}

// endOf returns the time at which the engine of record i recorded the end event for the request, or crashed, or else c.until.
func (c *checker) endOf(i int, end EngineEvent) time.Time {
	start := c.records[i]
	for _, record := range c.records[i+1:] {
		if record.Engine == start.Engine && (record.Event == Crashed || record.Event == end && record.RequestID == start.RequestID) {
			return record.At
		}
	}
	return c.until
}

// wasDown reports whether an edge was down at any time between from and to.
func (c *checker) wasDown(edge string, from, to time.Time) bool {
	return slices.ContainsFunc(c.log.outages, func(o Outage) bool {
		return o.Edge == edge && o.From.Before(to) && from.Before(o.To)
	})
}
