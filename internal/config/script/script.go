// Package script runs the operators' Starlark-like scripts: a script only calls functions with keys, each key is
// checked for its type and range, and all faults are told in one go with file, line and key.
package script

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Faults are all that is wrong with a script.
type Faults []string

func (f Faults) Error() string { return strings.Join(f, "\n") }

// Bounds of a script: a fleet of thousands of engines listed by loops stays far under these.
const (
	MaxBytes = 1 << 20
	maxSteps = 5_000_000
)

// Key is one key of a call: where its value goes, and what is allowed. Times are bounded in seconds.
type Key struct {
	Name     string
	To       any // *string, *float64, *int, *bool or *time.Duration
	Min, Max float64
	Words    []string
	Need     bool
	Address  bool
}

// Call is one function of a script. It makes a fresh set of keys for each call; done, if not nil, runs after the
// keys are set and may tell more faults.
type Call func() (keys []Key, done func(fault func(key, format string, args ...any)))

// told is a fault and the line that it stands in; 0 for the script as a whole.
type told struct {
	line int32
	text string
}

type reader struct {
	name   string
	calls  map[string]Call
	faults []told
	lines  map[syntax.Position]map[string]syntax.Position // of a call's bracket: where its keys stand
}

// ReadFile reads a script's text; the error, if any, is of type Faults.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > MaxBytes {
		err = fmt.Errorf("has %d bytes, at most %d are read", info.Size(), MaxBytes)
	}
	if err != nil {
		return nil, Faults{fmt.Sprintf("%s: %v", path, err)}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{fmt.Sprintf("%s: %v", path, err)}
	}
	return text, nil
}

// Run runs a script; the error, if any, is of type Faults. Whole, if not nil, checks what no single call can.
func Run(name string, text []byte, calls map[string]Call, whole func(fault func(format string, args ...any))) error {
	if len(text) > MaxBytes {
		return Faults{fmt.Sprintf("%s: has %d bytes, at most %d are read", name, len(text), MaxBytes)}
	}
	r := &reader{name: name, calls: calls, lines: map[syntax.Position]map[string]syntax.Position{}}
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return Faults{err.Error()}
	}
	syntax.Walk(file, r.note)
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(_ *starlark.Thread, module string) (starlark.StringDict, error) {
			return nil, fmt.Errorf("load(%q): a script is one file", module)
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	env := starlark.StringDict{}
	for fn := range calls {
		env[fn] = starlark.NewBuiltin(fn, r.call)
	}
	if _, err := starlark.ExecFileOptions(options, thread, name, text, env); err != nil {
		var e *starlark.EvalError
		if errors.As(err, &e) && len(e.CallStack) > 0 {
			line := e.CallStack[0].Pos.Line
			r.faults = append(r.faults, told{line, fmt.Sprintf("%s:%d: %s", name, line, e.Msg)})
		} else {
			r.faults = append(r.faults, told{0, err.Error()})
		}
	} else if whole != nil { // what a script lacks that was not run to its end is not known
		whole(func(format string, args ...any) {
			r.faults = append(r.faults, told{0, name + ": " + fmt.Sprintf(format, args...)})
		})
	}
	if len(r.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(r.faults, func(a, b told) int { return cmp.Compare(a.line, b.line) })
	var faults Faults
	for _, f := range slices.Compact(r.faults) {
		faults = append(faults, f.text)
	}
	return faults
}

// note remembers where each key of each call stands, which the interpreter does not tell.
func (r *reader) note(n syntax.Node) bool {
	if call, ok := n.(*syntax.CallExpr); ok {
		keys := map[string]syntax.Position{}
		for _, arg := range call.Args {
			if b, ok := arg.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				if id, ok := b.X.(*syntax.Ident); ok {
					keys[id.Name] = id.NamePos
				}
			}
		}
		r.lines[bare(call.Lparen)] = keys
	}
	return true
}

func bare(p syntax.Position) syntax.Position {
	return syntax.MakePosition(nil, p.Line, p.Col)
}

func (r *reader) fault(at syntax.Position, key, format string, args ...any) {
	if pos, ok := r.lines[bare(at)][key]; ok {
		at = pos
	}
	if key != "" {
		key += ": "
	}
	r.faults = append(r.faults, told{at.Line, fmt.Sprintf("%s:%d: %s%s", r.name, at.Line, key, fmt.Sprintf(format, args...))})
}

func (r *reader) call(thread *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple,
	kwargs []starlark.Tuple) (starlark.Value, error) {
	at := thread.CallFrame(1).Pos
	if len(args) > 0 {
		r.fault(at, "", "%s takes keys only, such as %s(name = ...)", fn.Name(), fn.Name())
	}
	keys, done := r.calls[fn.Name()]()
	given := map[string]bool{}
	for _, kw := range kwargs {
		name := string(kw[0].(starlark.String))
		given[name] = true
		i := slices.IndexFunc(keys, func(k Key) bool { return k.Name == name })
		if i < 0 {
			var names []string
			for _, k := range keys {
				names = append(names, k.Name)
			}
			r.fault(at, name, "unknown key of %s; it has %s", fn.Name(), strings.Join(names, ", "))
			continue
		}
		if why := keys[i].take(kw[1]); why != "" {
			r.fault(at, name, "%s, not %s", why, kw[1])
		}
	}
	for _, k := range keys {
		if k.Need && !given[k.Name] {
			r.fault(at, "", "%s needs the key %s", fn.Name(), k.Name)
		}
	}
	if done != nil {
		done(func(key, format string, args ...any) { r.fault(at, key, format, args...) })
	}
	return starlark.None, nil
}

// take sets a key, or says what is allowed.
func (k Key) take(v starlark.Value) string {
	switch to := k.To.(type) {
	case *string:
		s, ok := starlark.AsString(v)
		switch {
		case !ok || s == "" || len(s) > 256:
			return "it must be a text of 1 to 256 bytes"
		case len(k.Words) > 0 && !slices.Contains(k.Words, s):
			return "it must be one of " + strings.Join(k.Words, ", ")
		}
		if at, err := netip.ParseAddrPort(s); k.Address && (err != nil || !at.IsValid()) {
			return `it must be address:port, such as "127.0.0.1:8080"`
		}
		*to = s
	case *bool:
		b, ok := v.(starlark.Bool)
		if !ok {
			return "it must be True or False"
		}
		*to = bool(b)
	case *int:
		var n int
		if err := starlark.AsInt(v, &n); err != nil || float64(n) < k.Min || float64(n) > k.Max {
			return fmt.Sprintf("it must be a whole number of %.0f to %.0f", k.Min, k.Max)
		}
		*to = n
	case *float64:
		f, ok := starlark.AsFloat(v)
		if !ok || !(f >= k.Min && f <= k.Max) {
			return fmt.Sprintf("it must be a number of %g to %g", k.Min, k.Max)
		}
		*to = f
	case *time.Duration:
		s, _ := starlark.AsString(v)
		t, err := time.ParseDuration(s)
		if err != nil || t.Seconds() < k.Min || t.Seconds() > k.Max {
			return fmt.Sprintf(`it must be a time of %gs to %gs, such as "250ms"`, k.Min, k.Max)
		}
		*to = t
	}
	return ""
}
