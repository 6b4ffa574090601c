// Package dialect is what a node needs of a protocol between itself, its clients and its engines. The core
// decides when something is said and to whom; a dialect knows the words. It does no I/O.
package protocol

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
)

// Call is one inference as its client asks for it, whatever the protocol.
type Call struct {
	Route        string
	Session      string // empty where the client names none
	Beginning    string // names the shared beginning of the prompt; empty for none
	Prompt       int    // tokens
	BeginningLen int    // tokens of the beginning
	MaxAnswer    int    // tokens
	Stream       bool
	Repeat       bool          // it carries a mark by which a repeat is known
	Resumed      bool          // it asks for the rest of a stream that broke
	Retried      bool          // its client has tried it before
	GiveUp       time.Duration // how long the client waits for a first token; 0 where it does not say
	Name         string        // by which engines shall know it; empty where the node is to name it
	Own          any           // what the dialect keeps of it; nobody else looks inside
}

// Answer is a whole answer to a client.
type Answer struct {
	Status  int
	Type    string   // of the body
	Headers []string // names and values in turn
	Body    []byte
}

// Engine is whom a request is for. Epoch is of its role, 0 where that never changes.
type Engine struct {
	Host  string
	Epoch int64
}

// Collector makes one whole answer of a stream, for a client that wants it so.
type Collector interface {
	Take(event []byte) error
}

// State names what a reader holds of a prompt, in the dialect's own terms; nil for none.
type State any

// Dialect is one protocol.
type Dialect interface {
	// Parse reads a request of a client. A call that is none gets wrong; where both are nil it is no call.
	Parse(r *http.Request, body []byte) (call *Call, party string, wrong *Answer)
	// Page answers what is no call. NotReady says why the node can't serve, empty where it can.
	Page(r *http.Request, notReady string) Answer

	// Refusal answers what a client must change; what was refused was never an inference.
	Refusal(status int, code, param, why string) Answer
	// Shed says that a further try is harmless. Name is empty for what was never an inference, again 0 for no
	// advice.
	Shed(status int, name, why string, again time.Duration) Answer
	// Errored promises nothing.
	Errored(name, why string, late bool) Answer

	// Collect returns nil where the client takes the stream itself.
	Collect(c *Call) Collector
	Whole(c *Call, name string, from Collector) Answer
	// Open, Event and Close are the bytes of a streamed answer. Close says whether the connection may be kept;
	// with what ends a stream that broke it need not be.
	Open(name string) []byte
	Event(event []byte) []byte
	Close(completed bool, why string) (data []byte, keep bool)

	// MixedAnswers is whether an engine of both roles that gets an inference without a state reads it and answers
	// at once. Else it is asked to read first, like a reader.
	MixedAnswers() bool
	// Read and Write ask engines; send is its number among the inference's sends, left how long the client
	// waits.
	Read(c *Call, name string, to Engine, send int, left time.Duration) ([]byte, error)
	Write(c *Call, name string, to Engine, from State, left time.Duration) ([]byte, error)
	Probe(to Engine) []byte
	Release(to Engine, name string, send int) []byte
	// ReleasesAnywhere is whether any engine that is asked to release lets go of what others hold, too.
	ReleasesAnywhere() bool
	// Sort says what an answer's head means for a send.
	Sort(head *http.Response, writes bool) attempt.Input
	// Held reads a reader's whole answer: what it holds, and how many tokens it had kept.
	Held(body []byte) (State, int, error)
	// Load reads the load report that came with an answer; body is only given for a probe's. Nil for none.
	Load(head *http.Response, body []byte) map[string]float64
	// Comment reads a comment line of a stream, which may be a load report too.
	Comment(line []byte) map[string]float64
	// Last is whether an event ends its stream and is not passed on.
	Last(event []byte) bool
	// Cut says what the end of a stream's framing means where no event has ended it, and why.
	Cut(began bool) (attempt.Input, string)
}
