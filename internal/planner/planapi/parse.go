package planapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Size limits of messages, far above what a fleet of thousands of engines needs.
const (
	MaxPlanBytes   = 8 << 20
	MaxReportBytes = 1 << 18
)

// maxValue is the highest count or weight that is accepted.
const maxValue = 1e15

// MessageKind is a kind of message.
type MessageKind string

// Kinds of messages.
const (
	MessagePlan         MessageKind = "plan"
	MessageEngineReport MessageKind = "engine's report"
	MessageEdgeReport   MessageKind = "edge's report"
	MessageOrder        MessageKind = "order"
)

// ErrTrailingData reports that a message is followed by other data.
var ErrTrailingData = errors.New("message is followed by other data")

// MessageError reports which kind of message could not be parsed, and why.
type MessageError struct {
	Kind MessageKind
	Err  error
}

// Error returns the kind of message and the reason.
func (e *MessageError) Error() string { return fmt.Sprintf("%s: %v", e.Kind, e.Err) }

// Unwrap returns the reason.
func (e *MessageError) Unwrap() error { return e.Err }

// TooLargeError reports that a message is over its size limit.
type TooLargeError struct{ Bytes, Max int }

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message has %d bytes, at most %d are allowed", e.Bytes, e.Max)
}

// SyntaxError reports that a message is truncated, or not valid JSON of its kind.
type SyntaxError struct{ Err error }

// Error returns the reason.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("JSON is truncated or invalid: %v", e.Err)
}

// Unwrap returns the reason.
func (e *SyntaxError) Unwrap() error { return e.Err }

// InvalidError reports which value of a message is not allowed.
type InvalidError struct{ Reason string }

// Error returns the reason.
func (e *InvalidError) Error() string { return e.Reason }

func newInvalidError(format string, args ...any) error {
	return &InvalidError{Reason: fmt.Sprintf(format, args...)}
}

// parse parses and checks one message. Its errors are of type *MessageError.
func parse[T any](kind MessageKind, data []byte, maxBytes int, check func(T) error) (T, error) {
	var value T
	err := decodeJSON(data, maxBytes, &value)
	if err == nil {
		err = check(value)
	}
	if err != nil {
		return value, &MessageError{Kind: kind, Err: err}
	}
	return value, nil
}

// decodeJSON decodes data, which must be exactly one JSON value.
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

// allInRange reports whether all values are valid counts or weights. NaN is out of range, as every comparison with it is false.
func allInRange(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0 && value <= maxValue) {
			return false
		}
	}
	return true
}
