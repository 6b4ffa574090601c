package httpframing

import (
	"fmt"
	"net/http"
)

// Direction selects whether a parser expects requests or responses.
type Direction uint8

// The directions: a router receives requests from clients and responses from engines.
const (
	Requests Direction = iota
	Responses
)

// Limits are the maximum sizes of one head and one body.
type Limits struct{ HeadBytes, BodyBytes int }

// PartKind is the kind of a part.
type PartKind uint8

// The kinds of parts. A message has one head, any number of body parts and one end.
const (
	Head PartKind = iota
	Body
	End
)

// Part is one part of a message. Data is valid until the next Feed.
type Part struct {
	Kind     PartKind
	Request  *http.Request  // set for the head of a request; its body is empty, as the body's parts follow
	Response *http.Response // set for the head of a response; its body is empty, too
	Size     int            // size of an encoded head
	Data     []byte         // bytes of a body part
}

// MessageError reports an invalid message.
type MessageError struct {
	Status int // status of the response that a server should send
	Err    error
}

// Error returns the text of the cause.
func (e *MessageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Err }

func messageError(status int, format string, args ...any) error {
	return &MessageError{status, fmt.Errorf(format, args...)}
}
