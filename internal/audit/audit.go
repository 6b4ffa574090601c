// Package audit judges the five rules from what stand-in engines and test clients saw on their own sockets. The
// edge's account of itself is not asked.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// What an engine saw.
const (
	AttemptStarted = "began"   // a send has come, whole
	AttemptEnded   = "ended"   // its answer is out, or its connection is gone
	Executed       = "ran"     // it had its effect: the first token was made
	Deduplicated   = "repeat"  // it would have run, but its mark was known
	Reserved       = "holds"   // a state waits at this reader
	Released       = "let go"  // it was fetched, released, or dropped by the engine itself
	Overloaded     = "fell"    // a cold engine was pushed over
	Started        = "up"      // the engine started
	Crashed        = "crashed" // the engine is gone with all it held
)

// EngineRecord is one record of an engine. Inference is the name that the edge gave; Request is the client's own.
type EngineRecord struct {
	At                 time.Time
	Engine, Event      string
	Inference, Request string
	Decode             bool
	Detail             string
}

// ClientRecord is one try of a client, as it saw it.
type ClientRecord struct {
	Request      string // the same for all tries of one client
	Route        string
	Edge         string
	Inference    string // as the answer named it, empty if there was none
	Sent, End    time.Time
	Deadline     time.Time
	Outcome      string // completed, shed, errored; left where the client went; lost where the connection broke
	OutcomeCount int    // how many final answers it saw
	FirstToken   time.Duration
	Tokens       int
	Reason       string
}

// ReadinessChange is one change of an engine's presence, as it was published.
type ReadinessChange struct {
	At     time.Time
	Engine string
	Ready  bool
}

// Outage is a time in which an edge was killed and not yet back.
type Outage struct {
	Edge     string
	From, To time.Time
}

// Log collects records from many goroutines.
type Log struct {
	mu               sync.Mutex
	engineRecords    []EngineRecord
	clientRecords    []ClientRecord
	readinessChanges []ReadinessChange
	outages          []Outage
}

// RecordEngine adds an engine's record.
func (l *Log) RecordEngine(record EngineRecord) {
	l.mu.Lock()
	l.engineRecords = append(l.engineRecords, record)
	l.mu.Unlock()
}

// RecordClient adds a client's record.
func (l *Log) RecordClient(record ClientRecord) {
	l.mu.Lock()
	l.clientRecords = append(l.clientRecords, record)
	l.mu.Unlock()
}

// RecordReadiness adds a change of the roster.
func (l *Log) RecordReadiness(change ReadinessChange) {
	l.mu.Lock()
	l.readinessChanges = append(l.readinessChanges, change)
	l.mu.Unlock()
}

// RecordOutage adds a time in which an edge was down.
func (l *Log) RecordOutage(outage Outage) {
	l.mu.Lock()
	l.outages = append(l.outages, outage)
	l.mu.Unlock()
}

// ClientRecords are a copy of the clients' records.
func (l *Log) ClientRecords() []ClientRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.clientRecords)
}

// EngineRecords are a copy of the engines' records.
func (l *Log) EngineRecords() []EngineRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.engineRecords)
}

// Rules are the figures to judge by. Slack is what the way and a loaded test machine may add.
type Rules struct {
	NonRetriable     map[string]bool // model routes
	DrainGrace       time.Duration
	ListDelay        time.Duration // between publishing a change and an edge hearing of it
	ReservationLimit time.Duration
	Tolerance        time.Duration
}

// Violation is one rule that did not hold.
type Violation struct {
	Rule      int
	Text      string
	Inference string // empty where no single one is concerned
}

func (b Violation) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.Text) }

type attemptSpan struct {
	from, to time.Time
	engine   string
	decode   bool
}

// Judge looks for breaks of all five rules, in order of rule and text. Until is when the records end.
func (l *Log) Judge(r Rules, until time.Time) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []Violation
	report := func(rule int, inference, format string, args ...any) {
		breaks = append(breaks, Violation{rule, fmt.Sprintf(format, args...), inference})
	}
	seen := slices.Clone(l.engineRecords)
	slices.SortStableFunc(seen, func(a, b EngineRecord) int { return a.At.Compare(b.At) })
	spans := l.attemptSpans(seen, until)
	l.checkOutcomes(r, spans, report)
	l.checkRuns(r, seen, spans, report)
	l.checkDrains(r, seen, report)
	for _, s := range seen {
		if s.Event == Overloaded {
			report(4, "", "%s was pushed over while cold: %s", s.Engine, s.Detail)
		}
	}
	l.checkReservations(r, seen, spans, until, report)
	slices.SortFunc(breaks, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), strings.Compare(a.Text, b.Text))
	})
	return breaks
}

// attemptSpans are the sends of each inference that engines saw.
func (l *Log) attemptSpans(seen []EngineRecord, until time.Time) map[string][]attemptSpan {
	spans := map[string][]attemptSpan{}
	for i, s := range seen {
		if s.Event != AttemptStarted || s.Inference == "" {
			continue
		}
		end := until
		for _, e := range seen[i+1:] {
			if e.Engine == s.Engine && (e.Event == Crashed || e.Event == AttemptEnded && e.Inference == s.Inference) {
				end = e.At
				break
			}
		}
		spans[s.Inference] = append(spans[s.Inference], attemptSpan{s.At, end, s.Engine, s.Decode})
	}
	return spans
}

func (l *Log) wasDown(edge string, from, to time.Time) bool {
	return slices.ContainsFunc(l.outages, func(d Outage) bool {
		return d.Edge == edge && d.From.Before(to) && from.Before(d.To)
	})
}

// Trace tells, in order, what engines saw of an inference, and what its client did.
func (l *Log) Trace(inference string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	type told struct {
		at   time.Time
		line string
	}
	var list []told
	for _, s := range l.engineRecords {
		if s.Inference == inference {
			list = append(list, told{s.At, fmt.Sprintf("%s %s %s", s.Engine, s.Event, s.Detail)})
		}
	}
	for _, c := range l.clientRecords {
		if c.Inference == inference {
			list = append(list, told{c.Sent, "client " + c.Request + " asks"},
				told{c.End, "client " + c.Request + " has " + c.Outcome + " " + c.Reason})
		}
	}
	slices.SortStableFunc(list, func(a, b told) int { return a.at.Compare(b.at) })
	lines := make([]string, len(list))
	for i, t := range list {
		lines[i] = fmt.Sprintf("%8.3fs %s", t.at.Sub(list[0].at).Seconds(), t.line)
	}
	return lines
}

func (l *Log) checkOutcomes(r Rules, spans map[string][]attemptSpan, report func(int, string, string, ...any)) {
	for _, c := range l.clientRecords {
		name := c.Request + " (" + c.Inference + ")"
		if l.wasDown(c.Edge, c.Sent, c.End.Add(r.Tolerance)) {
			continue
		}
		switch {
		case c.Outcome == "lost":
			report(1, c.Inference, "%s got no final answer from %s: %s", name, c.Edge, c.Reason)
		case c.Outcome != "left" && c.OutcomeCount != 1:
			report(1, c.Inference, "%s got %d final answers", name, c.OutcomeCount)
		case c.Outcome != "left" && c.FirstToken == 0 && c.End.After(c.Deadline.Add(r.Tolerance)):
			report(1, c.Inference, "%s was %s %v after its client gave up", name, c.Outcome, c.End.Sub(c.Deadline))
		}
		for _, s := range spans[c.Inference] {
			if c.Inference != "" && s.from.After(c.End.Add(r.Tolerance)) {
				report(1, c.Inference, "%s was sent to %s %v after it was %s", name, s.engine, s.from.Sub(c.End), c.Outcome)
			}
		}
	}
}

func (l *Log) checkRuns(r Rules, seen []EngineRecord, spans map[string][]attemptSpan, report func(int, string, string, ...any)) {
	nonRetriable := map[string]bool{}
	for _, c := range l.clientRecords {
		nonRetriable[c.Request] = r.NonRetriable[c.Route]
	}
	executedBy := map[string][]string{}
	for _, s := range seen {
		if s.Event == Executed && nonRetriable[s.Request] {
			executedBy[s.Request] = append(executedBy[s.Request], s.Engine)
		}
	}
	for request, engines := range executedBy {
		if len(engines) > 1 {
			report(2, "", "%s is non-retriable and ran at %s", request, strings.Join(engines, " and "))
		}
	}
	for name, list := range spans {
		slices.SortFunc(list, func(a, b attemptSpan) int { return a.from.Compare(b.from) })
		for i := 1; i < len(list); i++ {
			if list[i].from.Add(r.Tolerance).Before(list[i-1].to) {
				report(2, name, "%s was out at %s and %s at once", name, list[i-1].engine, list[i].engine)
			}
		}
	}
}

func (l *Log) checkDrains(r Rules, seen []EngineRecord, report func(int, string, string, ...any)) {
	changes := slices.Clone(l.readinessChanges)
	slices.SortStableFunc(changes, func(a, b ReadinessChange) int { return a.At.Compare(b.At) })
	for _, s := range seen {
		if s.Event != AttemptStarted {
			continue
		}
		var since time.Time // when the engine was last published as not ready, by then
		for _, t := range changes {
			if t.Engine != s.Engine || t.At.After(s.At) {
				continue
			}
			switch {
			case t.Ready:
				since = time.Time{}
			case since.IsZero():
				since = t.At
			}
		}
		if late := s.At.Sub(since) - r.DrainGrace - r.ListDelay - r.Tolerance; !since.IsZero() && late > 0 {
			report(3, s.Inference, "%s was sent to %s %v after it was told to drain", s.Inference, s.Engine, s.At.Sub(since))
		}
	}
}

// checkReservations looks, for each state, for the longest time in which it waited and no send of its inference was out.
func (l *Log) checkReservations(r Rules, seen []EngineRecord, spans map[string][]attemptSpan, until time.Time, report func(int, string, string, ...any)) {
	for i, s := range seen {
		if s.Event != Reserved {
			continue
		}
		end := until
		for _, e := range seen[i+1:] {
			if e.Engine == s.Engine && (e.Event == Crashed || e.Event == Released && e.Inference == s.Inference) {
				end = e.At
				break
			}
		}
		edge, _, _ := strings.Cut(s.Inference, "-")
		if l.wasDown(edge, s.At, end) {
			continue // what a killed node held is not its to let go
		}
		free := s.At
		for _, attempt := range append(slices.Clone(spans[s.Inference]), attemptSpan{from: end, to: end}) {
			if attempt.from.After(end) {
				attempt.from = end
			}
			if gap := attempt.from.Sub(free); gap > r.ReservationLimit+r.Tolerance {
				report(5, s.Inference, "%s held a state of %s for %v with no send out", s.Engine, s.Inference, gap)
				break
			}
			if attempt.to.After(free) {
				free = attempt.to
			}
		}
	}
}
