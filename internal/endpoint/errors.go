package endpoint

import (
	"errors"
	"fmt"
)

// Reasons why a list is refused. The errors of Parse and Validate wrap them and name the entry and its field.
var (
	ErrMalformed       = errors.New("list is cut short or is no JSON")
	ErrTrailingData    = errors.New("list is followed by something else")
	ErrNoEngines       = errors.New("list has no engines field; an empty one is written []")
	ErrDuplicateEngine = errors.New("is listed twice")
	ErrMissing         = errors.New("is missing")
	ErrUnknownState    = fmt.Errorf("is not %s or %s", Ready, Draining)
	ErrNegative        = errors.New("weight, up_since_ms and epoch must not be negative")
)

// SizeError refuses a list of more bytes than are read.
type SizeError struct{ Bytes, Limit int }

// Error returns the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("list has %d bytes, at most %d are read", e.Bytes, e.Limit)
}

// RollbackError refuses a list whose revision is below that of the list before.
type RollbackError struct{ Revision, Last int64 }

// Error returns both revisions.
func (e *RollbackError) Error() string {
	return fmt.Sprintf("revision %d is older than %d", e.Revision, e.Last)
}
