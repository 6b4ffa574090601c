package protocol

import "time"

// Request is a completion request of a client, independent of the protocol.
type Request struct {
	ID                string // request ID to send to engines; empty if the node must generate one
	Route             string
	Session           string        // key of session affinity; empty if the client sent none
	Prefix            string        // identifies the shared prefix of the prompt; empty without one
	PromptTokens      int           // tokens of the complete prompt
	PrefixTokens      int           // tokens of the shared prefix
	MaxOutputTokens   int           // limit of output tokens
	Stream            bool          // the client requested a streamed response
	Idempotent        bool          // engines recognize a repeated request by its key
	Resumes           bool          // the request is for the rest of a truncated stream
	Retried           bool          // the client has sent the request before
	FirstTokenTimeout time.Duration // time that the client waits for the first token; 0 if unspecified
	ProtocolData      any           // private data of the codec that parsed the request
}

// Response is a complete response to a client.
type Response struct {
	Status      int
	ContentType string
	Headers     []Header // headers in addition to those of every response
	Body        []byte
}

// Header is one header field.
type Header struct{ Name, Value string }

// Target is the engine that a request is sent to.
type Target struct {
	Address   string // address as host:port
	RoleEpoch int64  // epoch of the engine's role; 0 if the role never changes
}

// Collector assembles the events of a stream into one complete response, for a client that did not request a stream.
type Collector interface {
	// Add appends the next event. After an error the collector must not be used.
	Add(event []byte) error
}

// ReservationHandle identifies the KV state that a prefill engine holds for a request. Its type depends on the codec; nil means
// that there is no reservation.
type ReservationHandle any

// DefaultMaxOutputTokens is the limit of output tokens for requests that set none; it suits most clients. Engines usually stop
// earlier, at the end of the output.
const DefaultMaxOutputTokens = 512
