package endpoint

import (
	"errors"
	"fmt"
)

// Reasons why a list is rejected. Parse and Validate wrap them in errors with the entry and its field.
var (
	ErrMalformed       = errors.New("list is truncated or malformed")
	ErrTrailingData    = errors.New("list is followed by other data")
	ErrNoEngines       = errors.New("list has no engines field; an empty list is written as []")
	ErrDuplicateEngine = errors.New("is listed twice")
	ErrMissing         = errors.New("is missing")
	ErrUnknownState    = fmt.Errorf("is not %s or %s", Ready, Draining)
	ErrNegative        = errors.New("weight, up_since_ms and epoch must not be negative")
)

// SizeError reports a list that is over the size limit.
type SizeError struct{ Bytes, Limit int }

// Error returns the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("list has %d bytes, at most %d are allowed", e.Bytes, e.Limit)
}

// RollbackError reports a list with a lower revision than the last valid list.
type RollbackError struct{ Revision, Last int64 }

// Error returns both revisions.
func (e *RollbackError) Error() string {
	return fmt.Sprintf("revision %d is older than the current revision %d", e.Revision, e.Last)
}
