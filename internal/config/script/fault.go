package script

import (
	"fmt"
	"strings"
)

// Faults holds all faults of a configuration, ordered by line.
type Faults []error

// Error returns the messages of the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.Is and errors.As examine each of them.
func (f Faults) Unwrap() []error { return f }

// Fault is one fault of a script with its location.
type Fault struct {
	File     string
	Line     int32  // line of the fault; 0 if the fault does not belong to one line
	Argument string // name of the argument; empty if the fault does not belong to one argument
	Err      error
}

// Error returns the location and the message of the fault.
func (f *Fault) Error() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d", location, f.Line)
	}
	if f.Argument != "" {
		location += ": " + f.Argument
	}
	return fmt.Sprintf("%s: %v", location, f.Err)
}

// Unwrap returns the error without the location.
func (f *Fault) Unwrap() error { return f.Err }

// TooLargeError reports a script that is larger than MaxBytes.
type TooLargeError struct{ Bytes int64 }

// Error returns a message with the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("script has %d bytes, at most %d are allowed", e.Bytes, MaxBytes)
}

// ValueError reports an argument with a value that is not allowed.
type ValueError struct {
	Allowed string
	Given   string
}

// Error returns a message with the allowed values and the given value.
func (e *ValueError) Error() string { return fmt.Sprintf("%s, not %s", e.Allowed, e.Given) }

// UnknownArgumentError reports an argument that a function does not have.
type UnknownArgumentError struct {
	Function string
	Known    []string
}

// Error returns a message with the arguments that the function has.
func (e *UnknownArgumentError) Error() string {
	return fmt.Sprintf("unknown argument of %s; known arguments are %s", e.Function, strings.Join(e.Known, ", "))
}

// MissingArgumentError reports a call without a required argument.
type MissingArgumentError struct{ Function, Argument string }

// Error returns a message with the function and the required argument.
func (e *MissingArgumentError) Error() string {
	return fmt.Sprintf("%s requires the argument %s", e.Function, e.Argument)
}

// PositionalArgumentError reports a call with an argument without a name.
type PositionalArgumentError struct{ Function string }

// Error returns a message with the correct form of a call.
func (e *PositionalArgumentError) Error() string {
	return fmt.Sprintf("%s takes named arguments only, such as %s(name = ...)", e.Function, e.Function)
}

// LoadError reports a script that loads another script.
type LoadError struct{ Module string }

// Error returns a message with the script that was to be loaded.
func (e *LoadError) Error() string { return fmt.Sprintf("load(%q) is not supported", e.Module) }
