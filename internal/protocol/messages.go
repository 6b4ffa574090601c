package protocol

import "time"

// Request is a request for a completion as its client sends it, whatever the protocol.
type Request struct {
	ID                string // by which engines shall know it; empty where the node has to choose one
	Route             string
	Session           string        // for affinity; empty where the client names none
	Prefix            string        // identifies the shared prefix of the prompt; empty for none
	PromptTokens      int           // all of the prompt
	PrefixTokens      int           // of the shared prefix
	MaxOutputTokens   int           // that the client wants at most
	Stream            bool          // the client takes a stream
	Idempotent        bool          // engines can recognize a repetition by its key
	Resumes           bool          // it asks for the rest of a stream that was cut short
	Retried           bool          // its client has sent it before
	FirstTokenTimeout time.Duration // how long the client waits for a first token; 0 where it does not say
	ProtocolData      any           // of the codec that has made it; nobody else reads it
}

// Response is a complete response to a client.
type Response struct {
	Status      int
	ContentType string
	Headers     []Header // beside those of every response
	Body        []byte
}

// Header is one header field.
type Header struct{ Name, Value string }

// Target is the engine that a request goes to.
type Target struct {
	Address   string // host:port
	RoleEpoch int64  // 0 where the role never changes
}

// Collector makes one complete response of the events of a stream, for a client that takes no stream.
type Collector interface {
	// Add takes the next event. An error ends the collection.
	Add(event []byte) error
}

// ReservationHandle identifies the KV state that a prefill engine holds for a request, in the terms of the codec; nil for none.
type ReservationHandle any

// DefaultMaxOutputTokens is the output length of clients that ask for none: what most of them mean. Engines stop earlier by
// themselves.
const DefaultMaxOutputTokens = 512
