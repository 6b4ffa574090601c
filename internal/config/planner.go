package config

import (
	"path/filepath"
	"slices"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/planner/assignment"
)

// Planner is all that a planner's script says.
type Planner struct {
	File, Listen, Store, EndpointFile string
	TakeOver                          bool // by the command line: begin a new store though engines follow another planner
	Kinds                             []EngineKind
	RolePairs                         [][2]string // kinds that are two roles of the same engines
	Assignment                        assignment.Config
}

// LoadPlanner reads a planner's script from a file. Paths in it are taken from its folder.
func LoadPlanner(path string) (*Planner, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ReadPlanner(path, text)
	if err != nil {
		return nil, err
	}
	for _, file := range []*string{&p.Store, &p.EndpointFile} {
		if !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return p, nil
}

// DefaultPlanner are those of a script that names only its files and kinds.
func DefaultPlanner() *Planner {
	return &Planner{Listen: "127.0.0.1:9090", Store: "planner.db",
		Assignment: assignment.Config{DrainTimeout: 20 * time.Second, OrderTimeout: 3 * time.Second,
			LoadTimeout: 2 * time.Minute, TrialTimeout: 5 * time.Second, WarmUp: 12 * time.Second, Cooldown: 30 * time.Second,
			MinServing: 1, MaxChangingShare: 0.1, MaxSharePerMinute: 0.25,
			DrainGrace: 250 * time.Millisecond, RouteValues: map[string]float64{}}}
}

// ReadPlanner runs a planner's script. The error, if any, is of type script.Faults.
func ReadPlanner(name string, text []byte) (*Planner, error) {
	p := DefaultPlanner()
	p.File = name
	r := &p.Assignment
	kinds := Defaults()
	calls := map[string]script.Function{
		"kind": kinds.ScriptFunctions()["kind"],
		"planner": func() ([]script.Argument, func(faultFunc)) {
			return []script.Argument{{Name: "listen", Target: &p.Listen, Address: true},
				{Name: "store", Target: &p.Store, Required: true},
				{Name: "roster", Target: &p.EndpointFile, Required: true}}, nil
		},
		"pair": func() ([]script.Argument, func(faultFunc)) {
			var pair [2]string
			return []script.Argument{{Name: "read", Target: &pair[0], Required: true},
					{Name: "write", Target: &pair[1], Required: true}},
				func(say faultFunc) {
					for i, role := range []string{"read", "write"} {
						if pair[i] != "" && kinds.Role(pair[i]) != role {
							say(role, "%q is no kind named above with the role %s", pair[i], role)
						}
						if slices.ContainsFunc(p.RolePairs, func(o [2]string) bool { return o[i] == pair[i] }) {
							say(role, "%q is in a pair already", pair[i])
						}
					}
					p.RolePairs = append(p.RolePairs, pair)
				}
		},
		"value": func() ([]script.Argument, func(faultFunc)) {
			route, value := "", 1.0
			return []script.Argument{{Name: "route", Target: &route, Required: true},
					{Name: "value", Target: &value, Min: 0.001, Max: 1e6, Required: true}},
				func(faultFunc) { r.RouteValues[route] = value }
		},
		"changes": func() ([]script.Argument, func(faultFunc)) {
			explain := false
			return []script.Argument{{Name: "drain_time", Target: &r.DrainTimeout, Min: 0.1, Max: 3600},
				{Name: "order_time", Target: &r.OrderTimeout, Min: 0.1, Max: 600},
				{Name: "load_time", Target: &r.LoadTimeout, Min: 0.1, Max: 7200},
				{Name: "trial_time", Target: &r.TrialTimeout, Min: 0.1, Max: 600},
				{Name: "cold", Target: &r.WarmUp, Max: 600}, {Name: "rest", Target: &r.Cooldown, Min: 0.1, Max: 86400},
				{Name: "floor", Target: &r.MinServing, Min: 1, Max: 10000},
				{Name: "share", Target: &r.MaxChangingShare, Min: 0.001, Max: 0.5},
				{Name: "per_minute", Target: &r.MaxSharePerMinute, Min: 0.001, Max: 10},
				{Name: "drain_grace", Target: &r.DrainGrace, Min: 0.05, Max: 60},
				{Name: "read_pace", Target: &r.PrefillThroughput, Max: 1e9},
				{Name: "write_pace", Target: &r.DecodeThroughput, Max: 1e9},
				{Name: "explain_only", Target: &explain}}, func(faultFunc) { r.ExplainOnly = explain }
		},
	}
	err := script.Run(name, text, calls, func(say func(format string, args ...any)) {
		if p.EndpointFile == "" {
			say("planner: it is missing; it names listen, store and roster")
		}
		if len(kinds.Kinds) == 0 {
			say("kind: none is given")
		}
	})
	if err != nil {
		return nil, err
	}
	p.Kinds = kinds.Kinds
	return p, nil
}
