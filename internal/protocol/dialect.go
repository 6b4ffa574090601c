// Package dialect is what a node needs of a protocol between itself, its clients and its engines. The core
// decides when something is said and to whom; a dialect knows the words. It does no I/O.
package protocol

import (
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/routing"
)

// Request is one inference as its client asks for it, whatever the protocol.
type Request struct {
	Route             string
	Session           string // empty where the client names none
	Prefix            string // names the shared beginning of the prompt; empty for none
	PromptTokens      int    // tokens
	PrefixTokens      int    // tokens of the beginning
	MaxOutputTokens   int    // tokens
	Stream            bool
	Idempotent        bool          // it carries a mark by which a repeat is known
	Resumes           bool          // it asks for the rest of a stream that broke
	Retried           bool          // its client has tried it before
	FirstTokenTimeout time.Duration // how long the client waits for a first token; 0 where it does not say
	ID                string        // by which engines shall know it; empty where the node is to name it
	ProtocolData      any           // what the dialect keeps of it; nobody else looks inside
}

// Response is a whole answer to a client.
type Response struct {
	Status      int
	ContentType string   // of the body
	Headers     []string // names and values in turn
	Body        []byte
}

// Target is whom a request is for. Epoch is of its role, 0 where that never changes.
type Target struct {
	Address   string
	RoleEpoch int64
}

// Collector makes one whole answer of a stream, for a client that wants it so.
type Collector interface {
	Add(event []byte) error
}

// ReservationHandle names what a reader holds of a prompt, in the dialect's own terms; nil for none.
type ReservationHandle any

// Codec is one protocol.
type Codec interface {
	// Parse reads a request of a client. A call that is none gets wrong; where both are nil it is no call.
	ParseRequest(r *http.Request, body []byte) (call *Request, party string, wrong *Response)
	// Page answers what is no call. NotReady says why the node can't serve, empty where it can.
	AuxiliaryResponse(r *http.Request, notReady string) Response

	// Refusal answers what a client must change; what was refused was never an inference.
	InvalidRequestResponse(status int, code, param, why string) Response
	// Shed says that a further try is harmless. Name is empty for what was never an inference, again 0 for no
	// advice.
	ShedResponse(status int, name, why string, again time.Duration) Response
	// Errored promises nothing.
	ErrorResponse(name, why string, late bool) Response

	// Collect returns nil where the client takes the stream itself.
	NewCollector(c *Request) Collector
	CompleteResponse(c *Request, name string, from Collector) Response
	// Open, Event and Close are the bytes of a streamed answer. Close says whether the connection may be kept;
	// with what ends a stream that broke it need not be.
	StreamHead(name string) []byte
	StreamEvent(event []byte) []byte
	StreamEnd(completed bool, why string) (data []byte, keep bool)

	// MixedAnswers is whether an engine of both roles that gets an inference without a state reads it and answers
	// at once. Else it is asked to read first, like a reader.
	MixedEnginePrefillsOnDecode() bool
	// Read and Write ask engines; send is its number among the inference's sends, left how long the client
	// waits.
	PrefillRequest(c *Request, name string, to Target, send int, left time.Duration) ([]byte, error)
	DecodeRequest(c *Request, name string, to Target, from ReservationHandle, left time.Duration) ([]byte, error)
	HealthCheckRequest(to Target) []byte
	ReleaseRequest(to Target, name string, send int) []byte
	// ReleasesAnywhere is whether any engine that is asked to release lets go of what others hold, too.
	ReleaseReachesAllEngines() bool
	// Sort says what an answer's head means for a send.
	ClassifyResponse(head *http.Response, writes bool) attempt.Event
	// Held reads a reader's whole answer: what it holds, and how many tokens it had kept.
	ParseReservation(body []byte) (ReservationHandle, int, error)
	// Load reads the load report that came with an answer; body is only given for a probe's. Nil for none.
	ParseLoadReport(head *http.Response, body []byte) *routing.LoadReport
	// Comment reads a comment line of a stream, which may be a load report too.
	ParseLoadComment(line []byte) *routing.LoadReport
	// Last is whether an event ends its stream and is not passed on.
	IsFinalEvent(event []byte) bool
	// Cut says what the end of a stream's framing means where no event has ended it, and why.
	ClassifyStreamEnd(began bool) (attempt.Event, string)
}
