package attempt

import (
	"fmt"

	"sandcourse/internal/routing"
)

// transition is one row of the state machine. An attempt has its outcome, the verdict, once the next state is Ended.
type transition struct {
	from                []State
	event               Event
	next                State
	verdict             routing.Verdict
	connection          ConnectionDisposition
	mayLeaveReservation bool // a prefill engine may hold a reservation that it has not reported
}

var unfinishedStates = []State{Dialing, Writing, AwaitingResponse, Responding, Streaming}

var transitions = []transition{
	{from: []State{Dialing}, event: Connected, next: Writing},
	{from: []State{Writing}, event: RequestWritten, next: AwaitingResponse},
	{from: []State{Writing, AwaitingResponse}, event: SuccessStatus, next: Responding},
	{from: []State{Responding}, event: TokenReceived, next: Streaming},
	{from: []State{Streaming}, event: TokenReceived, next: Streaming},

	// The attempt has not run, as no byte was written.
	{from: []State{Dialing}, event: ConnectFailed, next: Ended, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Dialing}, event: ConnectionReset, next: Ended, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Dialing}, event: EngineUnavailable, next: Ended, verdict: routing.NotSent, connection: Reusable},
	{from: []State{Dialing}, event: Canceled, next: Ended, verdict: routing.NotSent, connection: MustClose},
	// The attempt has not run, as only a part of its request was written: the content length precedes the body, so an engine
	// cannot have begun before the body was complete.
	{from: []State{Writing}, event: ConnectionReset, next: Ended, verdict: routing.NotConnected, connection: MustClose},
	{from: []State{Writing}, event: Canceled, next: Ended, verdict: routing.NotSent, connection: MustClose},
	// The attempt has not run, as the engine reports so before any token.
	{from: []State{Writing, AwaitingResponse}, event: Rejected, next: Ended, verdict: routing.Full, connection: Reusable},
	{from: []State{Writing, AwaitingResponse}, event: ReservationNotFound, next: Ended, verdict: routing.Full, connection: Reusable},

	// The attempt has run.
	{from: []State{Responding}, event: PrefillCompleted, next: Ended, verdict: routing.PrefillDone, connection: Reusable},
	{from: []State{Responding, Streaming}, event: DecodeCompleted, next: Ended, verdict: routing.Completed, connection: Reusable},

	// The attempt may have run.
	{from: []State{Writing, AwaitingResponse}, event: ErrorStatus, next: Ended, verdict: routing.EngineError,
		connection: Reusable, mayLeaveReservation: true},
	{from: unfinishedStates, event: MalformedResponse, next: Ended, verdict: routing.EngineError,
		connection: MustClose, mayLeaveReservation: true},
	{from: []State{AwaitingResponse, Responding, Streaming}, event: ConnectionReset, next: Ended,
		verdict: routing.ConnectionLost, connection: MustClose, mayLeaveReservation: true},
	{from: []State{Streaming}, event: StreamStalled, next: Ended, verdict: routing.ConnectionLost, connection: MustClose},
	{from: []State{AwaitingResponse, Responding, Streaming}, event: Canceled, next: Ended,
		verdict: routing.Canceled, connection: MustClose, mayLeaveReservation: true},
}

// TransitionNames names the transitions in the order of Result.Transition.
func TransitionNames() []string {
	names := make([]string, len(transitions))
	for i, t := range transitions {
		names[i] = fmt.Sprintf("attempt transition %d: states %v, event %v, next %v", i+1, t.from, t.event, t.next)
	}
	return names
}
