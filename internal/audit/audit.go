// Package audit checks the five rules from what fake engines and test clients saw on their own sockets. The edge's own
// log and metrics are not consulted. It does no I/O.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule is the number of a rule, as it is printed in verdicts.
type Rule int

// The rules.
const (
	// RuleOneOutcome: each request ends with one final response before its deadline, and no attempt follows it.
	RuleOneOutcome Rule = iota + 1
	// RuleOneExecution: a non-retriable request is executed at most once, and attempts of one request do not overlap.
	RuleOneExecution
	// RuleDrain: a draining engine is sent no more requests.
	RuleDrain
	// RuleSlowStart: no engine is overloaded while it warms up.
	RuleSlowStart
	// RuleReservation: no reservation outlives its limit while no attempt of its request is in flight.
	RuleReservation
)

// Rules are the durations and routes to check by.
type Rules struct {
	NonRetriable     map[string]bool // routes
	DrainGrace       time.Duration
	ListDelay        time.Duration // between publishing a change of the endpoint list and an edge receiving it
	ReservationLimit time.Duration
	Tolerance        time.Duration // what the network and a loaded test machine may add
}

// Violation is a rule that was broken once.
type Violation struct {
	Rule      Rule
	Text      string
	RequestID string // empty where no single request is concerned
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Text) }

// Check returns all violations of the five rules, ordered by rule and text. The records end at until.
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

// attemptSpan is the time in which an engine had an attempt in flight.
type attemptSpan struct {
	from, to time.Time
	engine   string
}

// checker is the state of one check. The caller of Check holds the log's lock.
type checker struct {
	rules      Rules
	until      time.Time
	log        *Log
	records    []EngineRecord           // in order of time
	spans      map[string][]attemptSpan // of each request ID
	violations []Violation
}

func (c *checker) report(rule Rule, requestID, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, fmt.Sprintf(format, args...), requestID})
}

// attemptSpans returns the attempts of each request that engines saw.
func (c *checker) attemptSpans() map[string][]attemptSpan {
	spans := map[string][]attemptSpan{}
	for i, s := range c.records {
		if s.Event != AttemptStarted || s.RequestID == "" {
			continue
		}
		spans[s.RequestID] = append(spans[s.RequestID], attemptSpan{s.At, c.endOf(i, AttemptEnded), s.Engine})
	}
	return spans
}

// endOf returns when what record i began ended: by an event of the same request, or by a crash of the engine.
func (c *checker) endOf(i int, end EngineEvent) time.Time {
	start := c.records[i]
	for _, s := range c.records[i+1:] {
		if s.Engine == start.Engine && (s.Event == Crashed || s.Event == end && s.RequestID == start.RequestID) {
			return s.At
		}
	}
	return c.until
}

// wasDown is whether an edge was down at any moment between from and to.
func (c *checker) wasDown(edge string, from, to time.Time) bool {
	return slices.ContainsFunc(c.log.outages, func(o Outage) bool {
		return o.Edge == edge && o.From.Before(to) && from.Before(o.To)
	})
}
