package httpframing

import (
	"fmt"
	"net/http"
)

// Direction is which messages a connection carries towards this program.
type Direction uint8

// The directions: requests from a client, responses from an engine.
const (
	Requests Direction = iota
	Responses
)

// Limits are the most bytes that one head and one body may have.
type Limits struct{ HeadBytes, BodyBytes int }

// PartKind is the kind of a part.
type PartKind uint8

// The parts of a message: one head, any number of body parts, one end.
const (
	Head PartKind = iota
	Body
	End
)

// Part is one part of a message. Data is valid until the next Feed.
type Part struct {
	Kind     PartKind
	Request  *http.Request  // of a head of a request
	Response *http.Response // of a head of a response
	Data     []byte         // of a body
}

// MessageError refuses a message.
type MessageError struct {
	Status int // with which a server should respond
	Err    error
}

// Error returns the text of the cause.
func (e *MessageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

func messageError(status int, format string, args ...any) error {
	return &MessageError{status, fmt.Errorf(format, args...)}
}
