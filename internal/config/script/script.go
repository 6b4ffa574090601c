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

// Argument is one key of a call: where its value goes, and what is allowed. Times are bounded in seconds.
type Argument struct {
	Name     string
	Target   any // *string, *float64, *int, *bool or *time.Duration
	Min, Max float64
	Allowed  []string
	Required bool
	Address  bool
}

// Function is one function of a script. It makes a fresh set of keys for each call; done, if not nil, runs after the
// keys are set and may tell more faults.
type Function func() (keys []Argument, done func(fault func(key, format string, args ...any)))

// locatedFault is a fault and the line that it stands in; 0 for the script as a whole.
type locatedFault struct {
	line int32
	text string
}

type interpreter struct {
	name              string
	functions         map[string]Function
	faults            []locatedFault
	argumentPositions map[syntax.Position]map[string]syntax.Position // of a call's bracket: where its keys stand
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
func Run(name string, text []byte, functions map[string]Function, check func(fault func(format string, args ...any))) error {
	if len(text) > MaxBytes {
		return Faults{fmt.Sprintf("%s: has %d bytes, at most %d are read", name, len(text), MaxBytes)}
	}
	in := &interpreter{name: name, functions: functions, argumentPositions: map[syntax.Position]map[string]syntax.Position{}}
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return Faults{err.Error()}
	}
	syntax.Walk(file, in.recordArguments)
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {},
		Load: func(_ *starlark.Thread, module string) (starlark.StringDict, error) {
			return nil, fmt.Errorf("load(%q): a script is one file", module)
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	predeclared := starlark.StringDict{}
	for fn := range functions {
		predeclared[fn] = starlark.NewBuiltin(fn, in.call)
	}
	if _, err := starlark.ExecFileOptions(options, thread, name, text, predeclared); err != nil {
		var evalError *starlark.EvalError
		if errors.As(err, &evalError) && len(evalError.CallStack) > 0 {
			line := evalError.CallStack[0].Pos.Line
			in.faults = append(in.faults, locatedFault{line, fmt.Sprintf("%s:%d: %s", name, line, evalError.Msg)})
		} else {
			in.faults = append(in.faults, locatedFault{0, err.Error()})
		}
	} else if check != nil { // what a script lacks that was not run to its end is not known
		check(func(format string, args ...any) {
			in.faults = append(in.faults, locatedFault{0, name + ": " + fmt.Sprintf(format, args...)})
		})
	}
	if len(in.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(in.faults, func(a, b locatedFault) int { return cmp.Compare(a.line, b.line) })
	var faults Faults
	for _, f := range slices.Compact(in.faults) {
		faults = append(faults, f.text)
	}
	return faults
}

// recordArguments remembers where each key of each call stands, which the interpreter does not tell.
func (in *interpreter) recordArguments(n syntax.Node) bool {
	if call, ok := n.(*syntax.CallExpr); ok {
		keys := map[string]syntax.Position{}
		for _, arg := range call.Args {
			if b, ok := arg.(*syntax.BinaryExpr); ok && b.Op == syntax.EQ {
				if id, ok := b.X.(*syntax.Ident); ok {
					keys[id.Name] = id.NamePos
				}
			}
		}
		in.argumentPositions[withoutFile(call.Lparen)] = keys
	}
	return true
}

func withoutFile(p syntax.Position) syntax.Position {
	return syntax.MakePosition(nil, p.Line, p.Col)
}

func (in *interpreter) addFault(position syntax.Position, key, format string, args ...any) {
	if argument, ok := in.argumentPositions[withoutFile(position)][key]; ok {
		position = argument
	}
	if key != "" {
		key += ": "
	}
	in.faults = append(in.faults, locatedFault{position.Line, fmt.Sprintf("%s:%d: %s%s", in.name, position.Line, key, fmt.Sprintf(format, args...))})
}

func (in *interpreter) call(thread *starlark.Thread, fn *starlark.Builtin, args starlark.Tuple,
	kwargs []starlark.Tuple) (starlark.Value, error) {
	position := thread.CallFrame(1).Pos
	if len(args) > 0 {
		in.addFault(position, "", "%s takes keys only, such as %s(name = ...)", fn.Name(), fn.Name())
	}
	arguments, done := in.functions[fn.Name()]()
	given := map[string]bool{}
	for _, keyword := range kwargs {
		name := string(keyword[0].(starlark.String))
		given[name] = true
		i := slices.IndexFunc(arguments, func(k Argument) bool { return k.Name == name })
		if i < 0 {
			var names []string
			for _, k := range arguments {
				names = append(names, k.Name)
			}
			in.addFault(position, name, "unknown key of %s; it has %s", fn.Name(), strings.Join(names, ", "))
			continue
		}
		if allowed := arguments[i].set(keyword[1]); allowed != "" {
			in.addFault(position, name, "%s, not %s", allowed, keyword[1])
		}
	}
	for _, k := range arguments {
		if k.Required && !given[k.Name] {
			in.addFault(position, "", "%s needs the key %s", fn.Name(), k.Name)
		}
	}
	if done != nil {
		done(func(key, format string, args ...any) { in.addFault(position, key, format, args...) })
	}
	return starlark.None, nil
}

// set sets a key, or says what is allowed.
func (a Argument) set(value starlark.Value) string {
	switch target := a.Target.(type) {
	case *string:
		s, ok := starlark.AsString(value)
		switch {
		case !ok || s == "" || len(s) > 256:
			return "it must be a text of 1 to 256 bytes"
		case len(a.Allowed) > 0 && !slices.Contains(a.Allowed, s):
			return "it must be one of " + strings.Join(a.Allowed, ", ")
		}
		if at, err := netip.ParseAddrPort(s); a.Address && (err != nil || !at.IsValid()) {
			return `it must be address:port, such as "127.0.0.1:8080"`
		}
		*target = s
	case *bool:
		b, ok := value.(starlark.Bool)
		if !ok {
			return "it must be True or False"
		}
		*target = bool(b)
	case *int:
		var n int
		if err := starlark.AsInt(value, &n); err != nil || float64(n) < a.Min || float64(n) > a.Max {
			return fmt.Sprintf("it must be a whole number of %.0f to %.0f", a.Min, a.Max)
		}
		*target = n
	case *float64:
		f, ok := starlark.AsFloat(value)
		if !ok || !(f >= a.Min && f <= a.Max) {
			return fmt.Sprintf("it must be a number of %g to %g", a.Min, a.Max)
		}
		*target = f
	case *time.Duration:
		s, _ := starlark.AsString(value)
		t, err := time.ParseDuration(s)
		if err != nil || t.Seconds() < a.Min || t.Seconds() > a.Max {
			return fmt.Sprintf(`it must be a time of %gs to %gs, such as "250ms"`, a.Min, a.Max)
		}
		*target = t
	}
	return ""
}
