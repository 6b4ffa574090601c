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

// Wire is what a core asks of the sockets. Its calls must not call back into the core.
type Wire interface {
	// Dial connects a line; LineDialled follows, in a later event.
	Dial(l *Line)
	// Tell sends a short text to one node, or to all others where to is negative.
	Tell(to int, text string)
}

// ClientSocket is a client's connection.
type ClientSocket interface {
	Send(data []byte) error
	Drained() bool // all that was sent is with the kernel
	StopReading()  // what still comes in is dropped
	Gone() bool    // it has ended, though the core may not have been told yet
	// TryClose closes it unless a request has been read that the core has not answered, in whole or in part.
	TryClose() bool
	Close()
}

// LineSocket is a connection to an engine. An error of Write is followed by LineBroken, in a later event.
type LineSocket interface {
	Write(request []byte) error
	Written() bool // the last byte of the last request is with the kernel
	Close()
}

// Relay passes tokens of a stream past the core, once it has passed on all that came before.
type Relay interface {
	Took(to ClientSocket, flush func()) // one that came through the core is passed on
	Close()                             // no token passes any more
	Last() int64                        // when one last passed, by the node's clock
	Passed() int                        // tokens so far
}

// Final is one final answer, as logs have it.
type Final struct {
	Inference, Route, Session, Final, Why string
	Sends                                 []string
	Took, First                           time.Duration
	Prompt, Tokens                        int
}

// Shed is a request that was refused before it was an inference.
type Shed struct {
	Request, Route, Why string
	Prompt              int
}

// AttemptEnd is the end of one attempt, as logs have it.
type AttemptEnd struct {
	Request, Engine  string
	Number           int
	Decode           bool
	Verdict, Why     string
	Connecting, Took time.Duration // until it was written, 0 if it was not; and in all
}

// CloseReason is why the node closes a client's connection.
type CloseReason string

// The reasons for which the node closes a client's connection.
const (
	CloseIdle     CloseReason = "idle"            // it had its time between two requests
	CloseStopping CloseReason = "stopping"        // the node ends, and its clients are to go elsewhere
	CloseCrowded  CloseReason = "crowded"         // another client needs the room
	CloseAnswered CloseReason = "last answer out" // the last answer on it has been written
	CloseBroken   CloseReason = "stream broke"    // its client must not take what it has for the whole
	CloseUnread   CloseReason = "not read"        // its client did not take its answer in time
)

// ConnectionEvent is what became of a connection to an engine.
type ConnectionEvent string

// The events of connections to engines.
const (
	Dialled          ConnectionEvent = "dialled"
	DialFailed       ConnectionEvent = "dial failed"
	DialFailedHere   ConnectionEvent = "dial failed on this machine"
	ConnectionReused ConnectionEvent = "reused"
	ConnectionBroken ConnectionEvent = "broken"
	ConnectionClosed ConnectionEvent = "closed"
)

// ErrLocal marks the failure of a dial that says nothing of the engine: descriptors or ports of this machine, or a node
// that ends.
var ErrLocal = errors.New("the connection could not be made on this machine")

// Release is what happened to a state that engines hold for a request.
type Release string

// The ways of a held state that no attempt has taken.
const (
	ReleaseSent         Release = "sent"         // releases were sent, the first of a row
	ReleaseAcknowledged Release = "acknowledged" // an engine has acknowledged one
	ReleaseOverdue      Release = "overdue"      // the decision module kept the state for as long as it may be
	ReleaseUnconfirmed  Release = "unconfirmed"  // the attempt that was to take it has not been heard of for as long
	ReleaseGivenUp      Release = "given up"     // no engine acknowledges releases
	ReleaseNoRoom       Release = "no room"      // too many states are known: this one is not looked after
)

// Watch is told what happens; nothing hangs on it.
type Watch interface {
	Around(in routing.Event, step func()) // runs a step of the module
	ModuleFailed(p any, in routing.Event, stack []byte)
	Final(f Final)
	Shed(s Shed) // before it was an inference
	First(route string, after time.Duration, prompt int)
	Refused(why string)
	// Attempt tells of the end of an attempt.
	Attempt(a AttemptEnd)
	// Barred tells of an attempt that a gate held back.
	Barred(request string, why invariant.Reason)
	// Violated tells of a rule that was broken.
	Violated(v invariant.Violation)
	// Closed tells why the node closes a client's connection.
	Closed(client int64, why CloseReason)
	// Connection tells what became of a connection to an engine.
	Connection(engine string, what ConnectionEvent)
	// Released counts what became of a state that was held: see the reasons.
	Released(how Release)
	Listed(revision int64, engines int, unknown []string)
}

// Client is one connection of a client.
type Client struct {
	ID     int64
	Socket ClientSocket

	waiting []*Asked // calls behind the one that is served
	serving bool
	current *inference
	gone    bool
	last    bool // nothing more is read; it is closed behind the answers to what was
	closing bool // to be closed once all is written
	// unfinished is how far a request has come that is not whole: HeadBegan or HeadWhole; nothing of one where partial is
	// not set.
	unfinished admission.Input
	partial    bool
	// continues is set while the head of a request waits for the word to send its body.
	continues bool
	cut       bool // and at once: its answer broke
	out       []byte
	dirty     bool
	held      int
}

// Asked is one request of a client, whole.
type Asked struct {
	Request *http.Request
	Call    *protocol.Request // nil where it is no call
	Party   string            // who asks, empty for the connection itself
	Bytes   int
	Wrong   *protocol.Response // to a call that is none

	excess bool // more wait before it than may
	ends   bool // nothing behind it can be read
}

// Line is one connection to an engine.
type Line struct {
	ID     int64
	Engine string
	Host   string // where it is dialled

	socket    LineSocket      // nil while it is dialled
	send      *send           // what it carries
	control   *controlRequest // or this
	restSince int64           // what it carried is over, but not read to its end, since then
	again     bool            // it has carried something before
	streamed  bool            // its last answer is a stream, as writers give
	wroteAt   int64           // when its last request was written
	dialAt    int64
}

// Begin sets the time before events of that time are handed over.
func (o *Core) Begin(now int64) { o.now = now }

// EventsSince says that what is handed over next happened after a time, however late the node comes to it.
func (o *Core) EventsSince(at int64) { o.eventsSince = at }

// Turn runs what is due by now and flushes what clients are to get.
func (o *Core) Turn(now int64) {
	o.now = now
	for _, h := range o.holds.DueBy(now) {
		o.release(h)
	}
	for len(o.timers) > 0 && o.timers[0].at <= o.now {
		o.due(heap.Pop(&o.timers).(timer))
	}
	if o.now-o.swept >= sweepEvery {
		o.swept = o.now
		o.sweep()
	}
	o.tellViolations()
	for _, c := range o.dirty {
		c.dirty = false
		o.flush(c)
		o.leaveClient(c)
	}
	o.dirty = o.dirty[:0]
}

// Due is when Turn is next needed if nothing happens before.
func (o *Core) Due() int64 {
	due := min(o.swept+sweepEvery, o.holds.Next())
	if len(o.timers) > 0 {
		due = min(due, o.timers[0].at)
	}
	return due
}

// Stopping makes the node take nothing new. Where the settings let it linger, calls that are on their way are
// still taken for that long, and then it leaves: see leave.
func (o *Core) Stopping() {
	if !o.stopping {
		o.stopping, o.stopAt = true, o.now
		o.leave()
	}
}

// Abandon gives everything that is open its error.
func (o *Core) Abandon(why string) {
	for _, id := range o.ids() {
		o.abandon(o.infs[id], why)
	}
}

func (o *Core) abandon(inf *inference, why string) {
	o.finish(inf, errored, why)
	o.clientLeft(inf)
}

// Holding is what a node holds now.
type Holding struct {
	Clients, Inferences, Bytes, Lines int
	Controls                          int           // probes and releases under way, and states that are still to be released
	Held                              int           // states that engines hold, or may hold
	OldestHold                        time.Duration // how long the oldest of these has been known
	Stays                             bool          // it is told to stop, and takes calls still
}

// Holding counts.
func (o *Core) Holding() Holding {
	clients, _, bytes := o.gate.Holding()
	h := Holding{Clients: clients, Inferences: len(o.infs), Bytes: bytes, Lines: len(o.lines), Controls: len(o.controls) + o.holds.Owed(),
		Held: o.holds.Count(), Stays: o.stopping && o.taking()}
	if since := o.holds.Oldest(); since > 0 {
		h.OldestHold = time.Duration(o.now - since)
	}
	return h
}
