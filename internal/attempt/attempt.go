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
	Dialing          State = iota // no connection yet
	Writing                       // some bytes of the request are not with the kernel
	AwaitingResponse              // all bytes are out, nothing has come back
	Responding                    // a good status line has come, no token and no state yet
	Streaming                     // the first token has come
	Ended                         // has its outcome; nothing that comes later changes it
)

// Event is what happens to a send.
type Event uint8

const (
	Connected           Event = iota // a connection is there, the first byte is about to be written
	ConnectFailed                    // it could not be connected in time, or no line may be opened
	EngineUnavailable                // its engine drains or is gone, longer than a send may still go there
	RequestWritten                   // the last byte is with the kernel
	Rejected                         // the engine's own word: slots and queue full, draining, or an older epoch
	ReservationNotFound              // the engine's own word: there is no state to fetch
	ErrorStatus                      // a status of failure without such a word
	MalformedResponse                // what came is no answer: a bad status line, any second head, a bad frame
	SuccessStatus                    // a good status line
	PrefillCompleted                 // the reader's answer, whole, naming the state
	TokenReceived                    // a token
	DecodeCompleted                  // the writer's last event
	ConnectionReset                  // the connection broke or was closed by the other side
	StreamStalled                    // a stream has stopped; before its first token the module's own timers end a wait
	Canceled                         // the module gave up the wait
)

// ConnectionDisposition is what becomes of the connection after an input.
type ConnectionDisposition uint8

const (
	InUse     ConnectionDisposition = iota // it still carries this send
	Reusable                               // it may carry another
	MustClose                              // it must carry nothing else: an unread rest may follow
)

// transition is one line of the table. Ends is false while the send goes on.
type transition struct {
	from                []State
	event               Event
	next                State
	final               bool
	verdict             routing.Verdict
	connection          ConnectionDisposition
	mayLeaveReservation bool // a reader may hold a state that nobody has named yet
}

var anyUnfinished = []State{Dialing, Writing, AwaitingResponse, Responding, Streaming}

var transitions = []transition{
	{from: []State{Dialing}, event: Connected, next: Writing},
	{from: []State{Writing}, event: RequestWritten, next: AwaitingResponse},
	{from: []State{Writing, AwaitingResponse}, event: SuccessStatus, next: Responding},
	{from: []State{Responding}, event: TokenReceived, next: Streaming},
	{from: []State{Streaming}, event: TokenReceived, next: Streaming},

	// Never ran. No byte was written:
	{from: []State{Dialing}, event: ConnectFailed, next: Ended, final: true, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Dialing}, event: ConnectionReset, next: Ended, final: true, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Dialing}, event: EngineUnavailable, next: Ended, final: true, verdict: routing.NotSent, connection: Reusable},
	{from: []State{Dialing}, event: Canceled, next: Ended, final: true, verdict: routing.NotSent, connection: MustClose},
	// The length stands before the body, so an engine cannot have begun on a part of it:
	{from: []State{Writing}, event: ConnectionReset, next: Ended, final: true, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Writing}, event: Canceled, next: Ended, final: true, verdict: routing.NotSent, connection: MustClose},
	// The engine says so, before any token:
	{from: []State{Writing, AwaitingResponse}, event: Rejected, next: Ended, final: true, verdict: routing.Full, connection: Reusable},
	{from: []State{Writing, AwaitingResponse}, event: ReservationNotFound, next: Ended, final: true, verdict: routing.Full, connection: Reusable},

	// Surely ran.
	{from: []State{Responding}, event: PrefillCompleted, next: Ended, final: true, verdict: routing.PrefillDone, connection: Reusable},
	{from: []State{Responding, Streaming}, event: DecodeCompleted, next: Ended, final: true, verdict: routing.Completed, connection: Reusable},

	// May have run.
	{from: []State{Writing, AwaitingResponse}, event: ErrorStatus, next: Ended, final: true, verdict: routing.EngineError,
		connection: Reusable, mayLeaveReservation: true},
	{from: anyUnfinished, event: MalformedResponse, next: Ended, final: true, verdict: routing.EngineError, connection: MustClose, mayLeaveReservation: true},
	{from: []State{AwaitingResponse, Responding, Streaming}, event: ConnectionReset, next: Ended, final: true,
		verdict: routing.ConnectionLost, connection: MustClose, mayLeaveReservation: true},
	{from: []State{Streaming}, event: StreamStalled, next: Ended, final: true, verdict: routing.ConnectionLost, connection: MustClose},
	{from: []State{AwaitingResponse, Responding, Streaming}, event: Canceled, next: Ended, final: true,
		verdict: routing.Canceled, connection: MustClose, mayLeaveReservation: true},
}

// Attempt is the state machine of one send. The zero value has just been asked for.
type Attempt struct {
	State              State
	FirstTokenReceived bool // its first token has come
}

// Result is what an input led to.
type Result struct {
	Final               bool
	Verdict             routing.Verdict
	ReservationMissing  bool // the state is gone, on Full
	Connection          ConnectionDisposition
	MayLeaveReservation bool // a reader may hold a state for it that must be let go
	FirstToken          bool // this was the first token
	Transition          int  // of the table, from 1; 0 where none fitted
}

// Handle takes an input. What fits no line of the table changes nothing: a send has one outcome, whatever
// comes later.
func (a *Attempt) Handle(event Event) Result {
	i := slices.IndexFunc(transitions, func(candidate transition) bool {
		return candidate.event == event && slices.Contains(candidate.from, a.State)
	})
	if i < 0 {
		return Result{}
	}
	candidate := transitions[i]
	r := Result{Final: candidate.final, Verdict: candidate.verdict, ReservationMissing: event == ReservationNotFound && candidate.verdict == routing.Full, Connection: candidate.connection,
		MayLeaveReservation: candidate.mayLeaveReservation, FirstToken: candidate.next == Streaming && a.State != Streaming, Transition: i + 1}
	a.FirstTokenReceived = a.FirstTokenReceived || r.FirstToken
	a.State = candidate.next
	return r
}

// TransitionNames names the rows of the table.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, candidate := range transitions {
		names[i] = fmt.Sprintf("attempt row %d: states %v, input %d, next %d", i+1, candidate.from, candidate.event, candidate.next)
	}
	return names
}

// NeverRan is whether an outcome proves that its send never ran.
func NeverRan(v routing.Verdict) bool {
	return v == routing.Full || v == routing.NotConnected || v == routing.NotSent
}

// Stalled is whether a stream that was last heard of so long ago, in nanoseconds, counts as stopped.
func Stalled(state State, idle, stall int64) bool { return state == Streaming && idle > stall }

// UnavailableSince is what is known of an engine's presence: when this node heard that it drains or is gone, and when it
// last heard that it is ready. A newer word of ready lifts the bar.
type UnavailableSince map[string]int64

// Note notes news about one engine.
func (u UnavailableSince) Note(engine string, ready bool, now int64) {
	if ready {
		delete(u, engine)
	} else if u[engine] == 0 {
		u[engine] = now
	}
}

// NoteAll notes a whole list: what is not in it is gone.
func (u UnavailableSince) NoteAll(ready map[string]bool, known []string, now int64) {
	for _, engine := range known {
		u.Note(engine, ready[engine], now)
	}
}
