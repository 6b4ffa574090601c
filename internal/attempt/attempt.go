// Package attempt decides what the events of a real network say about one send: whether it never ran, may have
// run or surely ran, what it leaves behind, and what becomes of its connection. It does no I/O.
//
// A wrong "never ran" is an effect that happens twice, so each line of the table that ends in one says what
// proves it; all else may have run.
package attempt

import (
	"fmt"
	"slices"

	"sandcourse/internal/routing"
)

// State is where a send stands.
type State uint8

const (
	Dialling  State = iota // no connection yet
	Writing                // some bytes of the request are not with the kernel
	Waiting                // all bytes are out, nothing has come back
	Answering              // a good status line has come, no token and no state yet
	Flowing                // the first token has come
	Over                   // has its outcome; nothing that comes later changes it
)

// Input is what happens to a send.
type Input uint8

const (
	Connected   Input = iota // a connection is there, the first byte is about to be written
	NoLine                   // it could not be connected in time, or no line may be opened
	Barred                   // its engine drains or is gone, longer than a send may still go there
	Written                  // the last byte is with the kernel
	Refused                  // the engine's own word: slots and queue full, draining, or an older epoch
	NoState                  // the engine's own word: there is no state to fetch
	Failed                   // a status of failure without such a word
	Garbled                  // what came is no answer: a bad status line, any second head, a bad frame
	Accepted                 // a good status line
	Read                     // the reader's answer, whole, naming the state
	Token                    // a token
	Finished                 // the writer's last event
	Reset                    // the connection broke or was closed by the other side
	Silent                   // a stream has stopped; before its first token the module's own timers end a wait
	WithdrawnBy              // the module gave up the wait
)

// Line is what becomes of the connection after an input.
type Line uint8

const (
	Stay  Line = iota // it still carries this send
	Keep              // it may carry another
	Close             // it must carry nothing else: an unread rest may follow
)

// step is one line of the table. Ends is false while the send goes on.
type step struct {
	from    []State
	in      Input
	next    State
	ends    bool
	verdict routing.Verdict
	line    Line
	leaves  bool // a reader may hold a state that nobody has named yet
}

var anyOpen = []State{Dialling, Writing, Waiting, Answering, Flowing}

var table = []step{
	{from: []State{Dialling}, in: Connected, next: Writing},
	{from: []State{Writing}, in: Written, next: Waiting},
	{from: []State{Writing, Waiting}, in: Accepted, next: Answering},
	{from: []State{Answering}, in: Token, next: Flowing},
	{from: []State{Flowing}, in: Token, next: Flowing},

	// Never ran. No byte was written:
	{from: []State{Dialling}, in: NoLine, next: Over, ends: true, verdict: routing.NotConnected, line: Close},
	{from: []State{Dialling}, in: Reset, next: Over, ends: true, verdict: routing.NotConnected, line: Close},
	{from: []State{Dialling}, in: Barred, next: Over, ends: true, verdict: routing.NotSent, line: Keep},
	{from: []State{Dialling}, in: WithdrawnBy, next: Over, ends: true, verdict: routing.NotSent, line: Close},
	// The length stands before the body, so an engine cannot have begun on a part of it:
	{from: []State{Writing}, in: Reset, next: Over, ends: true, verdict: routing.NotConnected, line: Close},
	{from: []State{Writing}, in: WithdrawnBy, next: Over, ends: true, verdict: routing.NotSent, line: Close},
	// The engine says so, before any token:
	{from: []State{Writing, Waiting}, in: Refused, next: Over, ends: true, verdict: routing.Full, line: Keep},
	{from: []State{Writing, Waiting}, in: NoState, next: Over, ends: true, verdict: routing.Full, line: Keep},

	// Surely ran.
	{from: []State{Answering}, in: Read, next: Over, ends: true, verdict: routing.PrefillDone, line: Keep},
	{from: []State{Answering, Flowing}, in: Finished, next: Over, ends: true, verdict: routing.Completed, line: Keep},

	// May have run.
	{from: []State{Writing, Waiting}, in: Failed, next: Over, ends: true, verdict: routing.EngineError,
		line: Keep, leaves: true},
	{from: anyOpen, in: Garbled, next: Over, ends: true, verdict: routing.EngineError, line: Close, leaves: true},
	{from: []State{Waiting, Answering, Flowing}, in: Reset, next: Over, ends: true,
		verdict: routing.ConnectionLost, line: Close, leaves: true},
	{from: []State{Flowing}, in: Silent, next: Over, ends: true, verdict: routing.ConnectionLost, line: Close},
	{from: []State{Waiting, Answering, Flowing}, in: WithdrawnBy, next: Over, ends: true,
		verdict: routing.Canceled, line: Close, leaves: true},
}

// Send is the state machine of one send. The zero value has just been asked for.
type Send struct {
	State State
	Began bool // its first token has come
}

// Result is what an input led to.
type Result struct {
	Ends    bool
	Verdict routing.Verdict
	Gone    bool // the state is gone, on Full
	Line    Line
	Leaves  bool // a reader may hold a state for it that must be let go
	First   bool // this was the first token
	Row     int  // of the table, from 1; 0 where none fitted
}

// Happen takes an input. What fits no line of the table changes nothing: a send has one outcome, whatever
// comes later.
func (s *Send) Happen(in Input) Result {
	i := slices.IndexFunc(table, func(t step) bool { return t.in == in && slices.Contains(t.from, s.State) })
	if i < 0 {
		return Result{}
	}
	t := table[i]
	r := Result{Ends: t.ends, Verdict: t.verdict, Gone: in == NoState && t.verdict == routing.Full, Line: t.line,
		Leaves: t.leaves, First: t.next == Flowing && s.State != Flowing, Row: i + 1}
	s.Began = s.Began || r.First
	s.State = t.next
	return r
}

// Rows names the rows of the table.
func Rows() []string {
	names := make([]string, len(table))
	for i, t := range table {
		names[i] = fmt.Sprintf("attempt row %d: states %v, input %d, next %d", i+1, t.from, t.in, t.next)
	}
	return names
}

// NeverRan is whether an outcome proves that its send never ran.
func NeverRan(v routing.Verdict) bool {
	return v == routing.Full || v == routing.NotConnected || v == routing.NotSent
}

// Stalled is whether a stream that was last heard of so long ago, in nanoseconds, counts as stopped.
func Stalled(s State, idle, stall int64) bool { return s == Flowing && idle > stall }

// Told is what is known of an engine's presence: when this node heard that it drains or is gone, and when it
// last heard that it is ready. A newer word of ready lifts the bar.
type Told map[string]int64

// Hear notes news about one engine.
func (t Told) Hear(engine string, ready bool, now int64) {
	if ready {
		delete(t, engine)
	} else if t[engine] == 0 {
		t[engine] = now
	}
}

// HearAll notes a whole list: what is not in it is gone.
func (t Told) HearAll(ready map[string]bool, known []string, now int64) {
	for _, engine := range known {
		t.Hear(engine, ready[engine], now)
	}
}
