// Package node is one node without its sockets: it hands what happens to the decision module, to attempt,
// conns and limits, and turns what they decide into bytes for clients and engines. It does no I/O: sockets,
// clock and logs are behind interfaces, and the edge and the explorer drive the same code.
package router

import (
	"container/heap"
	"errors"
	"net/http"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// Transport is what a core asks of the sockets. Its calls must not call back into the core.
type Transport interface {
	// Dial connects a line; LineDialled follows, in a later event.
	Dial(l *EngineConnection)
	// Tell sends a short text to one node, or to all others where to is negative.
	SendToPeer(to int, text string)
}

// ClientSocket is a client's connection.
type ClientSocket interface {
	Send(data []byte) error
	Flushed() bool      // all that was sent is with the kernel
	StopReading()       // what still comes in is dropped
	Disconnected() bool // it has ended, though the core may not have been told yet
	// TryClose closes it unless a request has been read that the core has not answered, in whole or in part.
	CloseIfIdle() bool
	Close()
}

// EngineSocket is a connection to an engine. An error of Write is followed by LineBroken, in a later event.
type EngineSocket interface {
	Write(request []byte) error
	RequestWritten() bool // the last byte of the last request is with the kernel
	Close()
}

// Relay passes tokens of a stream past the core, once it has passed on all that came before.
type Relay interface {
	Forwarded(to ClientSocket, flush func()) // one that came through the core is passed on
	Close()                                  // no token passes any more
	LastTokenAt() int64                      // when one last passed, by the node's clock
	Tokens() int                             // tokens so far
}

// RequestSummary is one final answer, as logs have it.
type RequestSummary struct {
	Request, Route, Session, Outcome, Reason string
	Attempts                                 []string
	Duration, TimeToFirstToken               time.Duration
	PromptTokens, OutputTokens               int
}

// ShedRequest is a request that was refused before it was an inference.
type ShedRequest struct {
	Request, Route, Reason string
	PromptTokens           int
}

// AttemptSummary is the end of one attempt, as logs have it.
type AttemptSummary struct {
	Request, Engine      string
	Index                int
	Decode               bool
	Verdict, Reason      string
	Connecting, Duration time.Duration // until it was written, 0 if it was not; and in all
}

// CloseReason is why the node closes a client's connection.
type CloseReason string

// The reasons for which the node closes a client's connection.
const (
	CloseIdle         CloseReason = "idle"            // it had its time between two requests
	CloseShutdown     CloseReason = "stopping"        // the node ends, and its clients are to go elsewhere
	CloseEvicted      CloseReason = "crowded"         // another client needs the room
	CloseAnswered     CloseReason = "last answer out" // the last answer on it has been written
	CloseStreamBroken CloseReason = "stream broke"    // its client must not take what it has for the whole
	CloseUnread       CloseReason = "not read"        // its client did not take its answer in time
)

// ConnectionEvent is what became of a connection to an engine.
type ConnectionEvent string

// The events of connections to engines.
const (
	Dialled           ConnectionEvent = "dialled"
	DialFailed        ConnectionEvent = "dial failed"
	DialFailedLocally ConnectionEvent = "dial failed on this machine"
	ConnectionReused  ConnectionEvent = "reused"
	ConnectionBroken  ConnectionEvent = "broken"
	ConnectionClosed  ConnectionEvent = "closed"
)

// ErrLocal marks the failure of a dial that says nothing of the engine: descriptors or ports of this machine, or a node
// that ends.
var ErrLocal = errors.New("the connection could not be made on this machine")

// ReservationEvent is what happened to a state that engines hold for a request.
type ReservationEvent string

// The ways of a held state that no attempt has taken.
const (
	ReleaseSent         ReservationEvent = "sent"         // releases were sent, the first of a row
	ReleaseAcknowledged ReservationEvent = "acknowledged" // an engine has acknowledged one
	ReleaseOverdue      ReservationEvent = "overdue"      // the decision module kept the state for as long as it may be
	ReleaseUnconfirmed  ReservationEvent = "unconfirmed"  // the attempt that was to take it has not been heard of for as long
	ReleaseAbandoned    ReservationEvent = "given up"     // no engine acknowledges releases
	ReleaseTableFull    ReservationEvent = "no room"      // too many states are known: this one is not looked after
)

// Observer is told what happens; nothing hangs on it.
type Observer interface {
	AroundStep(in routing.Event, step func()) // runs a step of the module
	PolicyPanicked(p any, in routing.Event, stack []byte)
	RequestFinished(f RequestSummary)
	RequestShed(s ShedRequest) // before it was an inference
	FirstToken(route string, after time.Duration, prompt int)
	Rejected(why string)
	// Attempt tells of the end of an attempt.
	AttemptEnded(a AttemptSummary)
	// Barred tells of an attempt that a gate held back.
	AttemptBlocked(request string, why invariant.Reason)
	// Violated tells of a rule that was broken.
	InvariantViolated(v invariant.Violation)
	// Closed tells why the node closes a client's connection.
	ClientClosed(client int64, why CloseReason)
	// Connection tells what became of a connection to an engine.
	ConnectionChanged(engine string, what ConnectionEvent)
	// Released counts what became of a state that was held: see the reasons.
	ReservationChanged(how ReservationEvent)
	EndpointsUpdated(revision int64, engines int, unknown []string)
}

// ClientConnection is one connection of a client.
type ClientConnection struct {
	ID     int64
	Socket ClientSocket

	waiting        []*ClientRequest // calls behind the one that is served
	serving        bool
	current        *request
	disconnected   bool
	readingStopped bool // nothing more is read; it is closed behind the answers to what was
	closing        bool // to be closed once all is written
	// unfinished is how far a request has come that is not whole: HeadBegan or HeadWhole; nothing of one where partial is
	// not set.
	partialState admission.Event
	partial      bool
	// continues is set while the head of a request waits for the word to send its body.
	expectsContinue bool
	aborted         bool // and at once: its answer broke
	output          []byte
	queued          bool
	partialBytes    int
}

// ClientRequest is one request of a client, whole.
type ClientRequest struct {
	Request   *http.Request
	Call      *protocol.Request // nil where it is no call
	Caller    string            // who asks, empty for the connection itself
	Bytes     int
	Rejection *protocol.Response // to a call that is none

	excess   bool // more wait before it than may
	terminal bool // nothing behind it can be read
}

// EngineConnection is one connection to an engine.
type EngineConnection struct {
	ID     int64
	Engine string
	Host   string // where it is dialled

	socket        EngineSocket    // nil while it is dialled
	attempt       *engineAttempt  // what it carries
	control       *controlRequest // or this
	drainingSince int64           // what it carried is over, but not read to its end, since then
	reused        bool            // it has carried something before
	streamed      bool            // its last answer is a stream, as writers give
	writtenAt     int64           // when its last request was written
	dialedAt      int64
}

// SetTime sets the time before events of that time are handed over.
func (r *Router) SetTime(now int64) { r.now = now }

// SetEarliestEventTime says that what is handed over next happened after a time, however late the node comes to it.
func (r *Router) SetEarliestEventTime(at int64) { r.earliestEvent = at }

// RunDue runs what is due by now and flushes what clients are to get.
func (r *Router) RunDue(now int64) {
	r.now = now
	for _, reserved := range r.reservations.DueBy(now) {
		r.runReservation(reserved)
	}
	for len(r.timers) > 0 && r.timers[0].at <= r.now {
		r.fireTimer(heap.Pop(&r.timers).(timer))
	}
	if r.now-r.reapedAt >= reapInterval {
		r.reapedAt = r.now
		r.reap()
	}
	r.reportViolations()
	for _, client := range r.unflushed {
		client.queued = false
		r.flush(client)
		r.closeDrainingClient(client)
	}
	r.unflushed = r.unflushed[:0]
}

// NextDue is when Turn is next needed if nothing happens before.
func (r *Router) NextDue() int64 {
	due := min(r.reapedAt+reapInterval, r.reservations.NextDue())
	if len(r.timers) > 0 {
		due = min(due, r.timers[0].at)
	}
	return due
}

// Shutdown makes the node take nothing new. Where the settings let it linger, calls that are on their way are
// still taken for that long, and then it leaves: see leave.
func (r *Router) Shutdown() {
	if !r.stopping {
		r.stopping, r.stoppedAt = true, r.now
		r.drainClients()
	}
}

// AbandonAll gives everything that is open its error.
func (r *Router) AbandonAll(reason string) {
	for _, id := range r.requestIDs() {
		r.abortRequest(r.requests[id], reason)
	}
}

func (r *Router) abortRequest(req *request, reason string) {
	r.finishRequest(req, outcomeErrored, reason)
	r.cancelRequest(req)
}

// InFlight is what a node holds now.
type InFlight struct {
	Clients, Requests, Bytes, EngineConnections int
	ControlRequests                             int           // probes and releases under way, and states that are still to be released
	Reservations                                int           // states that engines hold, or may hold
	OldestReservation                           time.Duration // how long the oldest of these has been known
	Lingering                                   bool          // it is told to stop, and takes calls still
}

// InFlight counts.
func (r *Router) InFlight() InFlight {
	clients, _, bytes := r.admission.Usage()
	h := InFlight{Clients: clients, Requests: len(r.requests), Bytes: bytes, EngineConnections: len(r.engineConnections), ControlRequests: len(r.controlRequests) + r.reservations.Unreleased(),
		Reservations: r.reservations.Count(), Lingering: r.stopping && r.acceptsRequests()}
	if since := r.reservations.OldestSince(); since > 0 {
		h.OldestReservation = time.Duration(r.now - since)
	}
	return h
}
