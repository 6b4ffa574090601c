package script

import (
	"fmt"
	"slices"
	"time"

	"go.starlark.net/starlark"

	"sandcourse/internal/netaddr"
)

// maxTextBytes is the maximum size of a string argument.
const maxTextBytes = 256

// Argument is a named argument of a function. Text, OneOf, Address, Bool and Number return arguments.
type Argument struct {
	Name     string
	required bool
	// set stores a value. If the value is not allowed, it stores nothing and returns a description of the allowed values.
	set func(starlark.Value) (allowed string, ok bool)
}

// Required returns a copy of the argument that each call must have.
func (a Argument) Required() Argument {
	a.required = true
	return a
}

// Text returns an argument that is any string of 1 to 256 bytes.
func Text(name string, target *string) Argument {
	return text(name, target, func(string) (string, bool) { return "", true })
}

// OneOf returns an argument that is one of the given words.
func OneOf[T ~string](name string, target *T, words ...T) Argument {
	return text(name, target, func(s T) (string, bool) {
		allowed := "must be one of"
		for i, word := range words {
			if i > 0 {
				allowed += ","
			}
			allowed += " " + string(word)
		}
		return allowed, slices.Contains(words, s)
	})
}

// Address returns an argument that is an IP address and a port.
func Address(name string, target *string) Argument {
	return text(name, target, func(s string) (string, bool) {
		return `must be address:port, such as "127.0.0.1:8080"`, netaddr.CheckListen(s) == nil
	})
}

// text returns an argument that is a string accepted by check.
func text[T ~string](name string, target *T, check func(T) (allowed string, ok bool)) Argument {
	return Argument{Name: name, set: func(value starlark.Value) (string, bool) {
		s, ok := starlark.AsString(value)
		if !ok || s == "" || len(s) > maxTextBytes {
			return fmt.Sprintf("must be a string of 1 to %d bytes", maxTextBytes), false
		}
		if allowed, ok := check(T(s)); !ok {
			return allowed, false
		}
		*target = T(s)
		return "", true
	}}
}

// Bool returns an argument that is True or False.
func Bool(name string, target *bool) Argument {
	return Argument{Name: name, set: func(value starlark.Value) (string, bool) {
		b, ok := value.(starlark.Bool)
		if !ok {
			return "must be True or False", false
		}
		*target = bool(b)
		return "", true
	}}
}

// Number returns an argument that is a number or a duration from least to most. The bounds of a duration are in seconds.
func Number[T int | float64 | time.Duration](name string, target *T, least, most float64) Argument {
	bounds := bounds{least, most}
	return Argument{Name: name, set: func(value starlark.Value) (string, bool) {
		switch target := any(target).(type) {
		case *int:
			return bounds.setInt(target, value)
		case *float64:
			return bounds.setFloat(target, value)
		case *time.Duration:
			return bounds.setDuration(target, value)
		}
		panic("script: target has a type that Number does not support")
	}}
}

// bounds holds the least and the greatest allowed value of a number.
type bounds struct{ least, most float64 }

func (b bounds) contains(value float64) bool { return value >= b.least && value <= b.most }

func (b bounds) setInt(target *int, value starlark.Value) (string, bool) {
	var n int
	if err := starlark.AsInt(value, &n); err != nil || !b.contains(float64(n)) {
		return fmt.Sprintf("must be an integer from %.0f to %.0f", b.least, b.most), false
	}
	*target = n
	return "", true
}

func (b bounds) setFloat(target *float64, value starlark.Value) (string, bool) {
	f, ok := starlark.AsFloat(value)
	if !ok || !b.contains(f) {
		return fmt.Sprintf("must be a number from %g to %g", b.least, b.most), false
	}
	*target = f
	return "", true
}

func (b bounds) setDuration(target *time.Duration, value starlark.Value) (string, bool) {
	s, _ := starlark.AsString(value)
	duration, err := time.ParseDuration(s)
	if err != nil || !b.contains(duration.Seconds()) {
		return fmt.Sprintf(`must be a duration from %gs to %gs, such as "250ms"`, b.least, b.most), false
	}
	*target = duration
	return "", true
}
