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
	Began    = "began"   // a send has come, whole
	Ended    = "ended"   // its answer is out, or its connection is gone
	Ran      = "ran"     // it had its effect: the first token was made
	Repeat   = "repeat"  // it would have run, but its mark was known
	Holds    = "holds"   // a state waits at this reader
	LetGo    = "let go"  // it was fetched, released, or dropped by the engine itself
	FellOver = "fell"    // a cold engine was pushed over
	Up       = "up"      // the engine started
	Broke    = "crashed" // the engine is gone with all it held
)

// Seen is one record of an engine. Inference is the name that the edge gave; Request is the client's own.
type Seen struct {
	At                 time.Time
	Engine, What       string
	Inference, Request string
	Writes             bool
	How                string
}

// Call is one try of a client, as it saw it.
type Call struct {
	Request   string // the same for all tries of one client
	Route     string
	Edge      string
	Inference string // as the answer named it, empty if there was none
	Sent, End time.Time
	GiveUp    time.Time
	Final     string // completed, shed, errored; left where the client went; lost where the connection broke
	Finals    int    // how many final answers it saw
	First     time.Duration
	Tokens    int
	Why       string
}

// Told is one change of an engine's presence, as it was published.
type Told struct {
	At     time.Time
	Engine string
	Ready  bool
}

// Down is a time in which an edge was killed and not yet back.
type Down struct {
	Edge     string
	From, To time.Time
}

// Log collects records from many goroutines.
type Log struct {
	mu    sync.Mutex
	seen  []Seen
	calls []Call
	told  []Told
	downs []Down
}

// See adds an engine's record.
func (l *Log) See(s Seen) { l.mu.Lock(); l.seen = append(l.seen, s); l.mu.Unlock() }

// Hear adds a client's record.
func (l *Log) Hear(c Call) { l.mu.Lock(); l.calls = append(l.calls, c); l.mu.Unlock() }

// Tell adds a change of the roster.
func (l *Log) Tell(t Told) { l.mu.Lock(); l.told = append(l.told, t); l.mu.Unlock() }

// Killed adds a time in which an edge was down.
func (l *Log) Killed(d Down) { l.mu.Lock(); l.downs = append(l.downs, d); l.mu.Unlock() }

// Calls are a copy of the clients' records.
func (l *Log) Calls() []Call { l.mu.Lock(); defer l.mu.Unlock(); return slices.Clone(l.calls) }

// Seen are a copy of the engines' records.
func (l *Log) Seen() []Seen { l.mu.Lock(); defer l.mu.Unlock(); return slices.Clone(l.seen) }

// Rules are the figures to judge by. Slack is what the way and a loaded test machine may add.
type Rules struct {
	NonRetriable map[string]bool // model routes
	DrainGrace   time.Duration
	Notice       time.Duration // between publishing a change and an edge hearing of it
	Pin          time.Duration
	Slack        time.Duration
}

// Break is one rule that did not hold.
type Break struct {
	Rule      int
	What      string
	Inference string // empty where no single one is concerned
}

func (b Break) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.What) }

type span struct {
	from, to time.Time
	engine   string
	writes   bool
}

// Judge looks for breaks of all five rules, in order of rule and text. Until is when the records end.
func (l *Log) Judge(r Rules, until time.Time) []Break {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []Break
	say := func(rule int, inference, format string, args ...any) {
		breaks = append(breaks, Break{rule, fmt.Sprintf(format, args...), inference})
	}
	seen := slices.Clone(l.seen)
	slices.SortStableFunc(seen, func(a, b Seen) int { return a.At.Compare(b.At) })
	spans := l.spans(seen, until)
	l.finals(r, spans, say)
	l.effects(r, seen, spans, say)
	l.drains(r, seen, say)
	for _, s := range seen {
		if s.What == FellOver {
			say(4, "", "%s was pushed over while cold: %s", s.Engine, s.How)
		}
	}
	l.pins(r, seen, spans, until, say)
	slices.SortFunc(breaks, func(a, b Break) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), strings.Compare(a.What, b.What))
	})
	return breaks
}

// spans are the sends of each inference that engines saw.
func (l *Log) spans(seen []Seen, until time.Time) map[string][]span {
	spans := map[string][]span{}
	for i, s := range seen {
		if s.What != Began || s.Inference == "" {
			continue
		}
		end := until
		for _, e := range seen[i+1:] {
			if e.Engine == s.Engine && (e.What == Broke || e.What == Ended && e.Inference == s.Inference) {
				end = e.At
				break
			}
		}
		spans[s.Inference] = append(spans[s.Inference], span{s.At, end, s.Engine, s.Writes})
	}
	return spans
}

func (l *Log) killed(edge string, from, to time.Time) bool {
	return slices.ContainsFunc(l.downs, func(d Down) bool {
		return d.Edge == edge && d.From.Before(to) && from.Before(d.To)
	})
}

// Story tells, in order, what engines saw of an inference, and what its client did.
func (l *Log) Story(inference string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	type told struct {
		at   time.Time
		line string
	}
	var row []told
	for _, s := range l.seen {
		if s.Inference == inference {
			row = append(row, told{s.At, fmt.Sprintf("%s %s %s", s.Engine, s.What, s.How)})
		}
	}
	for _, c := range l.calls {
		if c.Inference == inference {
			row = append(row, told{c.Sent, "client " + c.Request + " asks"},
				told{c.End, "client " + c.Request + " has " + c.Final + " " + c.Why})
		}
	}
	slices.SortStableFunc(row, func(a, b told) int { return a.at.Compare(b.at) })
	lines := make([]string, len(row))
	for i, t := range row {
		lines[i] = fmt.Sprintf("%8.3fs %s", t.at.Sub(row[0].at).Seconds(), t.line)
	}
	return lines
}

func (l *Log) finals(r Rules, spans map[string][]span, say func(int, string, string, ...any)) {
	for _, c := range l.calls {
		name := c.Request + " (" + c.Inference + ")"
		if l.killed(c.Edge, c.Sent, c.End.Add(r.Slack)) {
			continue
		}
		switch {
		case c.Final == "lost":
			say(1, c.Inference, "%s got no final answer from %s: %s", name, c.Edge, c.Why)
		case c.Final != "left" && c.Finals != 1:
			say(1, c.Inference, "%s got %d final answers", name, c.Finals)
		case c.Final != "left" && c.First == 0 && c.End.After(c.GiveUp.Add(r.Slack)):
			say(1, c.Inference, "%s was %s %v after its client gave up", name, c.Final, c.End.Sub(c.GiveUp))
		}
		for _, s := range spans[c.Inference] {
			if c.Inference != "" && s.from.After(c.End.Add(r.Slack)) {
				say(1, c.Inference, "%s was sent to %s %v after it was %s", name, s.engine, s.from.Sub(c.End), c.Final)
			}
		}
	}
}

func (l *Log) effects(r Rules, seen []Seen, spans map[string][]span, say func(int, string, string, ...any)) {
	unsafe := map[string]bool{}
	for _, c := range l.calls {
		unsafe[c.Request] = r.NonRetriable[c.Route]
	}
	ran := map[string][]string{}
	for _, s := range seen {
		if s.What == Ran && unsafe[s.Request] {
			ran[s.Request] = append(ran[s.Request], s.Engine)
		}
	}
	for request, engines := range ran {
		if len(engines) > 1 {
			say(2, "", "%s is non-retriable and ran at %s", request, strings.Join(engines, " and "))
		}
	}
	for name, row := range spans {
		slices.SortFunc(row, func(a, b span) int { return a.from.Compare(b.from) })
		for i := 1; i < len(row); i++ {
			if row[i].from.Add(r.Slack).Before(row[i-1].to) {
				say(2, name, "%s was out at %s and %s at once", name, row[i-1].engine, row[i].engine)
			}
		}
	}
}

func (l *Log) drains(r Rules, seen []Seen, say func(int, string, string, ...any)) {
	told := slices.Clone(l.told)
	slices.SortStableFunc(told, func(a, b Told) int { return a.At.Compare(b.At) })
	for _, s := range seen {
		if s.What != Began {
			continue
		}
		var since time.Time // when the engine was last published as not ready, by then
		for _, t := range told {
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
		if late := s.At.Sub(since) - r.DrainGrace - r.Notice - r.Slack; !since.IsZero() && late > 0 {
			say(3, s.Inference, "%s was sent to %s %v after it was told to drain", s.Inference, s.Engine, s.At.Sub(since))
		}
	}
}

// pins looks, for each state, for the longest time in which it waited and no send of its inference was out.
func (l *Log) pins(r Rules, seen []Seen, spans map[string][]span, until time.Time, say func(int, string, string, ...any)) {
	for i, s := range seen {
		if s.What != Holds {
			continue
		}
		end := until
		for _, e := range seen[i+1:] {
			if e.Engine == s.Engine && (e.What == Broke || e.What == LetGo && e.Inference == s.Inference) {
				end = e.At
				break
			}
		}
		edge, _, _ := strings.Cut(s.Inference, "-")
		if l.killed(edge, s.At, end) {
			continue // what a killed node held is not its to let go
		}
		free := s.At
		for _, sp := range append(slices.Clone(spans[s.Inference]), span{from: end, to: end}) {
			if sp.from.After(end) {
				sp.from = end
			}
			if gap := sp.from.Sub(free); gap > r.Pin+r.Slack {
				say(5, s.Inference, "%s held a state of %s for %v with no send out", s.Engine, s.Inference, gap)
				break
			}
			if sp.to.After(free) {
				free = sp.to
			}
		}
	}
}
