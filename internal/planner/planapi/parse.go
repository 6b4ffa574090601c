package planapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// The most bytes of a message, far over what a fleet of thousands needs.
const (
	MaxPlanBytes   = 8 << 20
	MaxReportBytes = 1 << 18
)

// maxValue is the highest count or weight that is taken for one.
const maxValue = 1e15

// Message is a kind of message.
type Message string

// Kinds of messages.
const (
	MessagePlan         Message = "plan"
	MessageEngineReport Message = "engine's report"
	MessageEdgeReport   Message = "edge's report"
	MessageOrder        Message = "order"
)

// ErrTrailingData says that a message is followed by something else.
var ErrTrailingData = errors.New("it is followed by something else")

// MessageError says which kind of message could not be parsed, and why.
type MessageError struct {
	Message Message
	Err     error
}

// Error returns the kind of message and the reason.
func (e *MessageError) Error() string { return fmt.Sprintf("%s: %v", e.Message, e.Err) }

// Unwrap returns the reason.
func (e *MessageError) Unwrap() error { return e.Err }

// TooLargeError says that a message has more bytes than are read.
type TooLargeError struct{ Bytes, Max int }

// Error returns the size and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("it has %d bytes, at most %d are read", e.Bytes, e.Max)
}

// SyntaxError says that a message is not complete, or no JSON of its kind.
type SyntaxError struct{ Err error }

// Error returns the reason.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("it is cut short or no JSON of its kind: %v", e.Err)
}

// Unwrap returns the reason.
func (e *SyntaxError) Unwrap() error { return e.Err }

// InvalidError says which value of a message is not allowed.
type InvalidError struct{ Reason string }

// Error returns the value and what is allowed.
func (e *InvalidError) Error() string { return e.Reason }

func invalid(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// parse parses one message and checks it. The error, if any, is a MessageError.
func parse[T any](message Message, data []byte, maxBytes int, check func(T) error) (T, error) {
	var value T
	err := decodeJSON(data, maxBytes, &value)
	if err == nil {
		err = check(value)
	}
	if err != nil {
		return value, &MessageError{Message: message, Err: err}
	}
	return value, nil
}

// decodeJSON decodes data, which must be one JSON value and nothing else.
func decodeJSON(data []byte, maxBytes int, target any) error {
	if len(data) > maxBytes {
		return &TooLargeError{Bytes: len(data), Max: maxBytes}
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(target); err != nil {
		return &SyntaxError{Err: err}
	}
	if decoder.More() {
		return ErrTrailingData
	}
	return nil
}

func isRole(role string) bool { return role == Prefill || role == Decode }

// inRange is whether all values are possible counts or weights. No comparison holds for one that is not a number.
func inRange(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0 && value <= maxValue) {
			return false
		}
	}
	return true
}
