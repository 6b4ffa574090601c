// Package script runs the operators' scripts, which are Starlark. A script only calls functions with named arguments.
// Each argument is checked for its type and range, and all faults are reported at once with file, line and argument.
package script

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Bounds of a script: a fleet of thousands of engines listed by loops stays far under these.
const (
	MaxBytes = 1 << 20
	maxSteps = 5_000_000
)

// Function is one function that a script can call. It makes a new set of arguments for each call. If done is not nil, it
// runs once the arguments are set, and may report further faults.
type Function func() (arguments []Argument, done func(ReportFault))

// ReportFault reports a fault of one argument of a call, or of the whole call if argument is empty.
type ReportFault func(argument, format string, args ...any)

// ReportScriptFault reports a fault of a script as a whole.
type ReportScriptFault func(format string, args ...any)

// ReadFile reads a script's text. The error, if any, is of type Faults.
func ReadFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > MaxBytes {
		err = &TooLargeError{Bytes: info.Size()}
	}
	var text []byte
	if err == nil {
		text, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, Faults{&Fault{File: path, Err: err}}
	}
	return text, nil
}

// Run runs a script. Check, if not nil, runs after a script that ended without an error and reports what no single call can.
// The error, if any, is of type Faults.
func Run(name string, text []byte, functions map[string]Function, check func(ReportScriptFault)) error {
	if len(text) > MaxBytes {
		return Faults{&Fault{File: name, Err: &TooLargeError{Bytes: int64(len(text))}}}
	}
	in := &interpreter{name: name, functions: functions, argumentPositions: map[syntax.Position]map[string]syntax.Position{}}
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return Faults{err}
	}
	syntax.Walk(file, in.recordArguments)
	if err := in.execute(options, text); err != nil {
		in.addExecutionFault(err)
	} else if check != nil { // what a script lacks that did not run to its end is not known
		check(func(format string, args ...any) {
			in.faults = append(in.faults, located{0, &Fault{File: name, Err: fmt.Errorf(format, args...)}})
		})
	}
	return in.sortedFaults()
}

// interpreter is one run of a script.
type interpreter struct {
	name              string
	functions         map[string]Function
	faults            []located
	argumentPositions map[syntax.Position]map[string]syntax.Position // by a call's opening bracket, then by argument
}

// located is a fault and the line that it is sorted by; 0 for the script as a whole.
type located struct {
	line int32
	err  error
}

// execute runs the script's text with the functions predeclared.
func (in *interpreter) execute(options *syntax.FileOptions, text []byte) error {
	thread := &starlark.Thread{Name: in.name, Print: func(*starlark.Thread, string) {},
		Load: func(_ *starlark.Thread, module string) (starlark.StringDict, error) {
			return nil, &LoadError{Module: module}
		}}
	thread.SetMaxExecutionSteps(maxSteps)
	predeclared := starlark.StringDict{}
	for function := range in.functions {
		predeclared[function] = starlark.NewBuiltin(function, in.call)
	}
	_, err := starlark.ExecFileOptions(options, thread, in.name, text, predeclared)
	return err
}

// addExecutionFault records why a script did not run to its end.
func (in *interpreter) addExecutionFault(err error) {
	var evalError *starlark.EvalError
	if !errors.As(err, &evalError) || len(evalError.CallStack) == 0 {
		in.faults = append(in.faults, located{0, err})
		return
	}
	line := evalError.CallStack[0].Pos.Line
	in.faults = append(in.faults, located{line, &Fault{File: in.name, Line: line, Err: errors.New(evalError.Msg)}})
}

// sortedFaults returns all faults by line, those that are the same once.
func (in *interpreter) sortedFaults() error {
	if len(in.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(in.faults, func(a, b located) int { return cmp.Compare(a.line, b.line) })
	unique := slices.CompactFunc(in.faults, func(a, b located) bool {
		return a.line == b.line && a.err.Error() == b.err.Error()
	})
	var faults Faults
	for _, fault := range unique {
		faults = append(faults, fault.err)
	}
	return faults
}

// recordArguments records the position of each argument of each call, which the interpreter does not tell.
func (in *interpreter) recordArguments(n syntax.Node) bool {
	call, ok := n.(*syntax.CallExpr)
	if !ok {
		return true
	}
	positions := map[string]syntax.Position{}
	for _, arg := range call.Args {
		if assignment, ok := arg.(*syntax.BinaryExpr); ok && assignment.Op == syntax.EQ {
			if name, ok := assignment.X.(*syntax.Ident); ok {
				positions[name.Name] = name.NamePos
			}
		}
	}
	in.argumentPositions[withoutFile(call.Lparen)] = positions
	return true
}

// withoutFile returns a position that is comparable: the interpreter's positions point to names of files.
func withoutFile(p syntax.Position) syntax.Position {
	return syntax.MakePosition(nil, p.Line, p.Col)
}

// addFault records a fault of a call, at the line of the argument if there is one.
func (in *interpreter) addFault(call syntax.Position, argument string, err error) {
	line := call.Line
	if position, ok := in.argumentPositions[withoutFile(call)][argument]; ok {
		line = position.Line
	}
	in.faults = append(in.faults, located{line, &Fault{File: in.name, Line: line, Argument: argument, Err: err}})
}

// call is what runs for each call of a function by the script.
func (in *interpreter) call(thread *starlark.Thread, function *starlark.Builtin, args starlark.Tuple,
	kwargs []starlark.Tuple) (starlark.Value, error) {
	position := thread.CallFrame(1).Pos
	if len(args) > 0 {
		in.addFault(position, "", &PositionalArgumentError{Function: function.Name()})
	}
	arguments, done := in.functions[function.Name()]()
	given := map[string]bool{}
	for _, pair := range kwargs {
		name := string(pair[0].(starlark.String))
		given[name] = true
		if err := setArgument(function.Name(), arguments, name, pair[1]); err != nil {
			in.addFault(position, name, err)
		}
	}
	for _, argument := range arguments {
		if argument.required && !given[argument.Name] {
			in.addFault(position, "", &MissingArgumentError{Function: function.Name(), Argument: argument.Name})
		}
	}
	if done != nil {
		done(func(argument, format string, args ...any) {
			in.addFault(position, argument, fmt.Errorf(format, args...))
		})
	}
	return starlark.None, nil
}

// setArgument stores the value of the argument of that name.
func setArgument(function string, arguments []Argument, name string, value starlark.Value) error {
	i := slices.IndexFunc(arguments, func(a Argument) bool { return a.Name == name })
	if i < 0 {
		var known []string
		for _, argument := range arguments {
			known = append(known, argument.Name)
		}
		return &UnknownArgumentError{Function: function, Known: known}
	}
	if allowed, ok := arguments[i].set(value); !ok {
		return &ValueError{Allowed: allowed, Given: value.String()}
	}
	return nil
}
