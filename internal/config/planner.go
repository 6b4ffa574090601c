package config

import (
	"slices"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/planner/assignment"
)

// Planner is the configuration of one planner.
type Planner struct {
	File         string // file name of the script
	Listen       string
	Store        string // path of the durable store
	EndpointFile string
	TakeOver     bool // a new store is started even if engines follow another planner; set by the command line
	Kinds        []EngineKind
	RolePairs    []RolePair
	Assignment   assignment.Config
}

// RolePair holds the two kinds of an engine that can change roles: one in the prefill role and one in the decode role.
type RolePair struct{ PrefillKind, DecodeKind string }

// Has reports whether a kind is one of the pair.
func (p RolePair) Has(kind string) bool { return kind == p.PrefillKind || kind == p.DecodeKind }

// LoadPlanner reads and runs a planner's script from a file. Paths in the script are relative to its directory.
func LoadPlanner(path string) (*Planner, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ReadPlanner(path, text)
	if err != nil {
		return nil, err
	}
	p.Store, p.EndpointFile = relativeTo(path, p.Store), relativeTo(path, p.EndpointFile)
	return p, nil
}

// DefaultPlanner returns a configuration with default values and without kinds. A script must set at least the files and kinds.
func DefaultPlanner() *Planner {
	return &Planner{
		Listen: "127.0.0.1:9090",
		Store:  "planner.db",
		Assignment: assignment.Config{
			DrainTimeout:      20 * time.Second,
			OrderTimeout:      3 * time.Second,
			LoadTimeout:       2 * time.Minute,
			TrialTimeout:      5 * time.Second,
			WarmUp:            12 * time.Second,
			Cooldown:          30 * time.Second,
			MinServing:        1,
			MaxChangingShare:  0.1,
			MaxSharePerMinute: 0.25,
			DrainGrace:        250 * time.Millisecond,
			RouteValues:       map[string]float64{},
		},
	}
}

// ReadPlanner runs a planner's script and returns the configuration. The error, if any, is of type script.Faults.
func ReadPlanner(name string, text []byte) (*Planner, error) {
	p := DefaultPlanner()
	p.File = name
	deployment := Defaults()
	functions := map[string]script.Function{
		"planner": fixedArguments(p.fileArguments()),
		"kind":    deployment.addKind,
		"pair":    func() ([]script.Argument, func(script.ReportFault)) { return p.addRolePair(deployment) },
		"value":   p.addRouteValue,
		"changes": p.changeArguments,
	}
	err := script.Run(name, text, functions, func(report script.ReportScriptFault) {
		if p.EndpointFile == "" {
			report("planner: a call with the arguments store and roster is required")
		}
		if len(deployment.Kinds) == 0 {
			report("kind: at least one kind is required")
		}
	})
	if err != nil {
		return nil, err
	}
	p.Kinds = deployment.Kinds
	return p, nil
}

func (p *Planner) fileArguments() []script.Argument {
	return []script.Argument{
		script.Address("listen", &p.Listen),
		script.Text("store", &p.Store).Required(),
		script.Text("roster", &p.EndpointFile).Required(),
	}
}

// addRolePair adds a pair of kinds, which must have been declared before.
func (p *Planner) addRolePair(deployment *Deployment) ([]script.Argument, func(script.ReportFault)) {
	var pair RolePair
	arguments := []script.Argument{
		script.Text(string(RolePrefill), &pair.PrefillKind).Required(),
		script.Text(string(RoleDecode), &pair.DecodeKind).Required(),
	}
	return arguments, func(report script.ReportFault) {
		checkKind := func(role Role, kind string, paired func(RolePair) bool) {
			if kind != "" && deployment.Role(kind) != role {
				report(string(role), "%q is not a kind declared above with the role %s", kind, role)
			}
			if slices.ContainsFunc(p.RolePairs, paired) {
				report(string(role), "%q is already in a pair", kind)
			}
		}
		checkKind(RolePrefill, pair.PrefillKind, func(other RolePair) bool { return other.PrefillKind == pair.PrefillKind })
		checkKind(RoleDecode, pair.DecodeKind, func(other RolePair) bool { return other.DecodeKind == pair.DecodeKind })
		p.RolePairs = append(p.RolePairs, pair)
	}
}

// addRouteValue sets the value of a completed request of a route.
func (p *Planner) addRouteValue() ([]script.Argument, func(script.ReportFault)) {
	route, value := "", 1.0
	arguments := []script.Argument{
		script.Text("route", &route).Required(),
		script.Number("value", &value, 0.001, 1e6).Required(),
	}
	return arguments, func(script.ReportFault) { p.Assignment.RouteValues[route] = value }
}

// changeArguments returns the arguments for role changes.
func (p *Planner) changeArguments() ([]script.Argument, func(script.ReportFault)) {
	a := &p.Assignment
	explainOnly := false
	arguments := []script.Argument{
		script.Number("drain_time", &a.DrainTimeout, 0.1, 3600),
		script.Number("order_time", &a.OrderTimeout, 0.1, 600),
		script.Number("load_time", &a.LoadTimeout, 0.1, 7200),
		script.Number("trial_time", &a.TrialTimeout, 0.1, 600),
		script.Number("cold", &a.WarmUp, 0, 600),
		script.Number("rest", &a.Cooldown, 0.1, 86400),
		script.Number("floor", &a.MinServing, 1, 10000),
		script.Number("share", &a.MaxChangingShare, 0.001, 0.5),
		script.Number("per_minute", &a.MaxSharePerMinute, 0.001, 10),
		script.Number("drain_grace", &a.DrainGrace, 0.05, 60),
		script.Number("read_pace", &a.PrefillThroughput, 0, 1e9),
		script.Number("write_pace", &a.DecodeThroughput, 0, 1e9),
		script.Bool("explain_only", &explainOnly),
	}
	return arguments, func(script.ReportFault) { a.ExplainOnly = explainOnly }
}
