package script

import (
	"errors"
	"path/filepath"
	"testing"
	"time"
)

// Each kind of fault must have its own error type and its location, and no invalid value may be stored.
func TestFaultsAreTypedAndLocated(t *testing.T) {
	count, duration, word := 5, time.Second, "a"
	functions := map[string]Function{"f": func() ([]Argument, func(ReportFault)) {
		return []Argument{Number("count", &count, 1, 10).Required(), Number("time", &duration, 0.5, 2), OneOf("word", &word, "a", "b")}, nil
	}}
	err := Run("s.star", []byte("f(count = 11,\n  time = \"3s\",\n  colour = 1)\nf(\"x\", word = \"c\")\n"), functions, nil)
	var value *ValueError
	var unknown *UnknownArgumentError
	var missing *MissingArgumentError
	var positional *PositionalArgumentError
	for _, target := range []any{&value, &unknown, &missing, &positional} {
		if !errors.As(err, target) {
			t.Errorf("no %T in: %v", target, err)
		}
	}
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 6 {
		t.Fatalf("%d faults: %v", len(faults), err)
	}
	var fault *Fault
	if !errors.As(faults[1], &fault) || fault.File != "s.star" || fault.Line != 2 || fault.Argument != "time" {
		t.Errorf("%+v", fault)
	}
	if count != 5 || duration != time.Second || word != "a" {
		t.Errorf("stored: %d %v %q", count, duration, word)
	}
}

// A script that is too large must not be parsed, and a file that cannot be read must be reported as Faults.
func TestScriptSizeIsLimited(t *testing.T) {
	var tooLarge *TooLargeError
	if err := Run("s.star", make([]byte, MaxBytes+1), nil, nil); !errors.As(err, &tooLarge) || tooLarge.Bytes != MaxBytes+1 {
		t.Error(err)
	}
	var faults Faults
	if _, err := ReadFile(filepath.Join(t.TempDir(), "absent.star")); !errors.As(err, &faults) {
		t.Error(err)
	}
}
