package script

import (
	"fmt"
	"strings"
)

// Faults are all faults of a configuration, in the order of its lines.
type Faults []error

// Error returns the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.Is and errors.As look into each fault.
func (f Faults) Unwrap() []error { return f }

// Fault is one fault of a script and the place where it is.
type Fault struct {
	File     string
	Line     int32  // 0 if the fault is not of one line
	Argument string // empty if the fault is not of one argument
	Err      error
}

// Error returns the place and the fault.
func (f *Fault) Error() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", place, f.Line)
	}
	if f.Argument != "" {
		place += ": " + f.Argument
	}
	return fmt.Sprintf("%s: %v", place, f.Err)
}

// Unwrap returns the fault without its place.
func (f *Fault) Unwrap() error { return f.Err }

// TooLargeError says that a script has more bytes than are read.
type TooLargeError struct{ Bytes int64 }

// Error returns the size and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("has %d bytes, at most %d are read", e.Bytes, MaxBytes)
}

// ValueError says which values an argument can have, and which one was given.
type ValueError struct {
	Allowed string
	Given   string
}

// Error returns what is allowed and what was given.
func (e *ValueError) Error() string { return fmt.Sprintf("%s, not %s", e.Allowed, e.Given) }

// UnknownArgumentError says that a function has no argument of a given name.
type UnknownArgumentError struct {
	Function string
	Known    []string
}

// Error returns the names that the function knows.
func (e *UnknownArgumentError) Error() string {
	return fmt.Sprintf("unknown key of %s; it has %s", e.Function, strings.Join(e.Known, ", "))
}

// MissingArgumentError says that a call lacks a required argument.
type MissingArgumentError struct{ Function, Argument string }

// Error returns the function and the argument that it needs.
func (e *MissingArgumentError) Error() string {
	return fmt.Sprintf("%s needs the key %s", e.Function, e.Argument)
}

// PositionalArgumentError says that a call has an argument without a name.
type PositionalArgumentError struct{ Function string }

// Error returns how the function is called.
func (e *PositionalArgumentError) Error() string {
	return fmt.Sprintf("%s takes keys only, such as %s(name = ...)", e.Function, e.Function)
}

// LoadError says that a script loads another one.
type LoadError struct{ Module string }

// Error returns what the script tried to load.
func (e *LoadError) Error() string { return fmt.Sprintf("load(%q): a script is one file", e.Module) }
