// Package script runs scripts of operators, which are written in Starlark. A script calls functions with named arguments. The
// type and range of each argument are checked, and all faults are reported together with file, line and argument.
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

// Limits of a script. A script that lists thousands of engines in loops stays far below them.
const (
	MaxBytes = 1 << 20
	maxSteps = 5_000_000
)

// Function is a function that a script can call. It returns a new set of arguments for each call. If done is not nil, it is
// called after the arguments are set, and may report further faults.
type Function func() (arguments []Argument, done func(ReportFault))

// ReportFault reports a fault of one argument of a call, or of the whole call if argument is empty.
type ReportFault func(argument, format string, args ...any)

// ReportScriptFault reports a fault of a script as a whole.
type ReportScriptFault func(format string, args ...any)

// ReadFile reads the text of a script. The error, if any, is of type Faults.
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

// Run runs a script. If check is not nil, Run calls it after the script has ended without an execution error, to report faults
// that do not belong to a single call. The error, if any, is of type Faults.
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
	} else if check != nil { // A script that failed may lack calls that it did not reach.
		check(func(format string, args ...any) {
			in.faults = append(in.faults, locatedFault{0, &Fault{File: name, Err: fmt.Errorf(format, args...)}})
		})
	}
	return in.sortedFaults()
}

// interpreter is one run of a script.
type interpreter struct {
	name              string
	functions         map[string]Function
	faults            []locatedFault
	argumentPositions map[syntax.Position]map[string]syntax.Position // by the call's opening parenthesis and by argument
}

// locatedFault is a fault and the line by which it is sorted. The line is 0 for faults of the whole script.
type locatedFault struct {
	line int32
	err  error
}

// execute runs the text of the script with the functions predeclared.
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

// addExecutionFault records the error that ended the execution of the script.
func (in *interpreter) addExecutionFault(err error) {
	var evalError *starlark.EvalError
	if !errors.As(err, &evalError) || len(evalError.CallStack) == 0 {
		in.faults = append(in.faults, locatedFault{0, err})
		return
	}
	line := evalError.CallStack[0].Pos.Line
	in.faults = append(in.faults, locatedFault{line, &Fault{File: in.name, Line: line, Err: errors.New(evalError.Msg)}})
}

// sortedFaults returns all faults ordered by line, without duplicates.
func (in *interpreter) sortedFaults() error {
	if len(in.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(in.faults, func(a, b locatedFault) int { return cmp.Compare(a.line, b.line) })
	unique := slices.CompactFunc(in.faults, func(a, b locatedFault) bool {
		return a.line == b.line && a.err.Error() == b.err.Error()
	})
	var faults Faults
	for _, fault := range unique {
		faults = append(faults, fault.err)
	}
	return faults
}

// recordArguments records the position of each argument of a call, which the Starlark interpreter does not provide.
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

// withoutFile returns a position without a file name. Such positions can be compared with ==, while those of the Starlark
// interpreter have a pointer to the file name.
func withoutFile(p syntax.Position) syntax.Position {
	return syntax.MakePosition(nil, p.Line, p.Col)
}

// addFault records a fault of a call, with the line of the argument if the call has it, otherwise with the line of the call.
func (in *interpreter) addFault(call syntax.Position, argument string, err error) {
	line := call.Line
	if position, ok := in.argumentPositions[withoutFile(call)][argument]; ok {
		line = position.Line
	}
	in.faults = append(in.faults, locatedFault{line, &Fault{File: in.name, Line: line, Argument: argument, Err: err}})
}

// call handles each function call of the script.
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

// setArgument sets the argument with the given name to a value.
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
