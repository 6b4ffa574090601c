package config

import (
	"path/filepath"
	"slices"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/planner/assignment"
)

// Planning is all that a planner's script says.
type Planning struct {
	File, Listen, Store, Roster string
	TakeOver                    bool // by the command line: begin a new store though engines follow another planner
	Kinds                       []EngineKind
	Pairs                       [][2]string // kinds that are two roles of the same engines
	Roles                       assignment.Config
}

// LoadPlanner reads a planner's script from a file. Paths in it are taken from its folder.
func LoadPlanner(path string) (*Planning, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ReadPlanner(path, text)
	if err != nil {
		return nil, err
	}
	for _, file := range []*string{&p.Store, &p.Roster} {
		if !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return p, nil
}

// PlanningDefaults are those of a script that names only its files and kinds.
func PlanningDefaults() *Planning {
	return &Planning{Listen: "127.0.0.1:9090", Store: "planner.db",
		Roles: assignment.Config{DrainTimeout: 20 * time.Second, OrderTimeout: 3 * time.Second,
			LoadTimeout: 2 * time.Minute, TrialTimeout: 5 * time.Second, WarmUp: 12 * time.Second, Cooldown: 30 * time.Second,
			MinServing: 1, MaxChangingShare: 0.1, MaxSharePerMinute: 0.25,
			DrainGrace: 250 * time.Millisecond, RouteValues: map[string]float64{}}}
}

// ReadPlanner runs a planner's script. The error, if any, is of type script.Faults.
func ReadPlanner(name string, text []byte) (*Planning, error) {
	p := PlanningDefaults()
	p.File = name
	r := &p.Roles
	kinds := Defaults()
	calls := map[string]script.Call{
		"kind": kinds.Calls()["kind"],
		"planner": func() ([]script.Key, func(fault)) {
			return []script.Key{{Name: "listen", To: &p.Listen, Address: true},
				{Name: "store", To: &p.Store, Need: true},
				{Name: "roster", To: &p.Roster, Need: true}}, nil
		},
		"pair": func() ([]script.Key, func(fault)) {
			var pair [2]string
			return []script.Key{{Name: "read", To: &pair[0], Need: true},
					{Name: "write", To: &pair[1], Need: true}},
				func(say fault) {
					for i, role := range []string{"read", "write"} {
						if pair[i] != "" && kinds.Role(pair[i]) != role {
							say(role, "%q is no kind named above with the role %s", pair[i], role)
						}
						if slices.ContainsFunc(p.Pairs, func(o [2]string) bool { return o[i] == pair[i] }) {
							say(role, "%q is in a pair already", pair[i])
						}
					}
					p.Pairs = append(p.Pairs, pair)
				}
		},
		"value": func() ([]script.Key, func(fault)) {
			route, value := "", 1.0
			return []script.Key{{Name: "route", To: &route, Need: true},
					{Name: "value", To: &value, Min: 0.001, Max: 1e6, Need: true}},
				func(fault) { r.RouteValues[route] = value }
		},
		"changes": func() ([]script.Key, func(fault)) {
			explain := false
			return []script.Key{{Name: "drain_time", To: &r.DrainTimeout, Min: 0.1, Max: 3600},
				{Name: "order_time", To: &r.OrderTimeout, Min: 0.1, Max: 600},
				{Name: "load_time", To: &r.LoadTimeout, Min: 0.1, Max: 7200},
				{Name: "trial_time", To: &r.TrialTimeout, Min: 0.1, Max: 600},
				{Name: "cold", To: &r.WarmUp, Max: 600}, {Name: "rest", To: &r.Cooldown, Min: 0.1, Max: 86400},
				{Name: "floor", To: &r.MinServing, Min: 1, Max: 10000},
				{Name: "share", To: &r.MaxChangingShare, Min: 0.001, Max: 0.5},
				{Name: "per_minute", To: &r.MaxSharePerMinute, Min: 0.001, Max: 10},
				{Name: "drain_grace", To: &r.DrainGrace, Min: 0.05, Max: 60},
				{Name: "read_pace", To: &r.PrefillThroughput, Max: 1e9},
				{Name: "write_pace", To: &r.DecodeThroughput, Max: 1e9},
				{Name: "explain_only", To: &explain}}, func(fault) { r.ExplainOnly = explain }
		},
	}
	err := script.Run(name, text, calls, func(say func(format string, args ...any)) {
		if p.Roster == "" {
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
