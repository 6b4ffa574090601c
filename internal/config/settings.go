// Package settings reads an operator's script, checks it whole and turns it into one deployment: what a node
// listens on, its model routes, rules, bounds and engines, and the facts that the decision module is handed.
package config

import (
	"path/filepath"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/config/script"
	"sandcourse/internal/endpoint"
)

// Effects are what a further run of an inference may do, by the words of a route.
var Effects = []string{"retriable", "deduped", "non-retriable"}

// Route is one model route.
type Route struct {
	Name                                        string
	Effect                                      string
	PriorityWeight                              float64
	FirstTokenObjective, ObjectivePer1000Tokens time.Duration // target for the first token, and more of it for each 1,000 prompt tokens
	Timeout                                     time.Duration
	DedupWindow                                 time.Duration
	DedupGroup                                  string
}

// EngineKind is one kind of engine.
type EngineKind struct {
	Name, Role   string
	MemoryTokens float64 // tokens
}

// ConnectionLimits bounds a node's connections to engines.
type ConnectionLimits struct {
	PerEngine, ConcurrentDials            int
	DialTimeout                           time.Duration
	IdleTimeout, NonIdempotentIdleTimeout time.Duration // how long an idle one is used again; for what must not run twice
	Total                                 int           // to all engines together; 0 for any
	ReuseDelay                            time.Duration // how long one that carried a stream is not used again
}

// Rules are the figures of the five rules and what goes with them.
type Rules struct {
	DrainGrace, ReservationLimit, SlowStart, OverloadWindow time.Duration
	SlowStartShare, OverloadMultiple                        float64
}

// Deployment is all that a script says.
type Deployment struct {
	File                        string
	NodeName                    string
	NodeNumber, NodeCount       int
	Zone                        string
	ChatAddress, MetricsAddress string
	EndpointFile                string
	PlannerAddress              string // its address; plans take the place of a roster
	Engines                     []endpoint.Entry
	Kinds                       []EngineKind
	Routes                      []Route
	Rules                       Rules
	Connections                 ConnectionLimits
	Limits                      admission.Limits
	MaxBodyBytes, MaxHeadBytes  int // bytes of one call
	ClientBufferBytes           int // bytes of an answer that wait for a slow client
	MaxAttempts                 int
	TickInterval, StallTimeout  time.Duration
	MaxRetryAfter               time.Duration
	ShutdownTimeout             time.Duration // how long open inferences may go on once the node is told to stop
	HealthChecks                bool
	// What only a platform's configuration says: the module's facts as they are given, the names of zones by
	// their numbers, how long a node that is told to stop takes what still comes, how long it stays with its
	// clients where no other node is heard, when it hands over what came later than it had to take, and bytes
	// that may wait for its owner.
	GivenFacts           map[string]any
	Zones                []string
	ShutdownAcceptTime   time.Duration
	ShutdownStayTime     time.Duration
	ShutdownHandoverTime time.Duration
	QueueBytes           int
	// ReleaseFor is for how long releases are repeated after an attempt was given up, where engines forget them: an
	// attempt that goes on after its connection ended comes to hold its state, or gives it back, later.
	ReleaseRepeatTime time.Duration
}

// Engines that one script may list.
const maxEngines = 20_000

// Load reads a script from a file.
func Load(path string) (*Deployment, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d, err := Read(path, text)
	if err == nil && d.EndpointFile != "" && !filepath.IsAbs(d.EndpointFile) {
		d.EndpointFile = filepath.Join(filepath.Dir(path), d.EndpointFile)
	}
	return d, err
}

// Read runs a script. The error, if any, is of type script.Faults.
func Read(name string, text []byte) (*Deployment, error) {
	d := Defaults()
	d.File = name
	if err := script.Run(name, text, d.ScriptFunctions(), d.CheckScript); err != nil {
		return nil, err
	}
	return d, nil
}

// Defaults is a deployment with no route, kind or engine.
func Defaults() *Deployment {
	return &Deployment{NodeName: "edge", NodeCount: 1, ChatAddress: "127.0.0.1:8080",
		Rules: Rules{DrainGrace: 250 * time.Millisecond, ReservationLimit: time.Second, SlowStart: 12 * time.Second,
			OverloadWindow: time.Second, SlowStartShare: 0.25, OverloadMultiple: 3},
		Connections: ConnectionLimits{PerEngine: 512, ConcurrentDials: 16, DialTimeout: 250 * time.Millisecond, IdleTimeout: 15 * time.Second,
			NonIdempotentIdleTimeout: 2 * time.Second},
		Limits: admission.Limits{Connections: 12_000, OpenRequests: 8_000, BufferedBytes: 256 << 20, HeaderTimeout: 5 * time.Second,
			BodyTimeout: 15 * time.Second, IdleTimeout: 75 * time.Second, DrainTimeout: 2 * time.Second},
		MaxBodyBytes: 1 << 20, MaxHeadBytes: 16 << 10, ClientBufferBytes: 48 << 10, MaxAttempts: 4,
		// The module answers three ticks before a client gives up.
		TickInterval: 5 * time.Millisecond, StallTimeout: 5 * time.Second, MaxRetryAfter: time.Second, QueueBytes: 16 << 20, ShutdownTimeout: 20 * time.Second,
		HealthChecks: true}
}

type faultFunc = func(key, format string, args ...any)

// ScriptFunctions lists what a script may call, and the keys of each.
func (d *Deployment) ScriptFunctions() map[string]script.Function {
	return map[string]script.Function{
		"node": func() ([]script.Argument, func(faultFunc)) {

			return []script.Argument{{Name: "name", Target: &d.NodeName}, {Name: "zone", Target: &d.Zone},
				{Name: "number", Target: &d.NodeNumber, Max: 100_000}, {Name: "nodes", Target: &d.NodeCount, Min: 1, Max: 100_000}}, nil
		},
		"listen": func() ([]script.Argument, func(faultFunc)) {
			return []script.Argument{{Name: "chat", Target: &d.ChatAddress, Address: true}, {Name: "metrics", Target: &d.MetricsAddress, Address: true}}, nil
		},
		"roster": func() ([]script.Argument, func(faultFunc)) {
			return []script.Argument{{Name: "file", Target: &d.EndpointFile, Required: true}}, nil
		},
		"planner": func() ([]script.Argument, func(faultFunc)) {
			return []script.Argument{{Name: "at", Target: &d.PlannerAddress, Required: true, Address: true}}, nil
		},
		"kind": func() ([]script.Argument, func(faultFunc)) {
			k := EngineKind{}
			return []script.Argument{{Name: "name", Target: &k.Name, Required: true},
					{Name: "role", Target: &k.Role, Allowed: []string{"read", "write", "both"}, Required: true},
					{Name: "memory", Target: &k.MemoryTokens, Min: 1, Max: 1e9}},
				func(say faultFunc) {
					if slices.ContainsFunc(d.Kinds, func(o EngineKind) bool { return o.Name == k.Name }) {
						say("name", "kind %q stands twice", k.Name)
					}
					d.Kinds = append(d.Kinds, k)
				}
		},
		"route": func() ([]script.Argument, func(faultFunc)) {
			t := Route{PriorityWeight: 1, FirstTokenObjective: time.Second, Timeout: 5 * time.Second, DedupGroup: "all",
				DedupWindow: 5 * time.Second}
			return []script.Argument{{Name: "name", Target: &t.Name, Required: true},
					{Name: "effect", Target: &t.Effect, Allowed: Effects, Required: true},
					{Name: "value", Target: &t.PriorityWeight, Min: 0.001, Max: 1e6},
					{Name: "first_token_target", Target: &t.FirstTokenObjective, Min: 0.01, Max: 600},
					{Name: "target_per_1000_tokens", Target: &t.ObjectivePer1000Tokens, Max: 60},
					{Name: "route_timeout", Target: &t.Timeout, Min: 0.05, Max: 3600},
					{Name: "dedup_window", Target: &t.DedupWindow, Max: 3600},
					{Name: "dedup_group", Target: &t.DedupGroup, Allowed: []string{"all", "zone", "cell"}}},
				func(say faultFunc) {
					if slices.ContainsFunc(d.Routes, func(o Route) bool { return o.Name == t.Name }) {
						say("name", "route %q stands twice", t.Name)
					}
					if t.Timeout < t.FirstTokenObjective {
						say("route_timeout", "%v is under the first-token target of %v", t.Timeout, t.FirstTokenObjective)
					}
					d.Routes = append(d.Routes, t)
				}
		},
		"engine": func() ([]script.Argument, func(faultFunc)) {
			e := endpoint.Entry{State: endpoint.Ready, Weight: 1}
			return []script.Argument{{Name: "at", Target: &e.ID, Required: true, Address: true}, {Name: "kind", Target: &e.Kind, Required: true},
					{Name: "zone", Target: &e.Zone}, {Name: "cell", Target: &e.Cell},
					{Name: "weight", Target: &e.Weight, Min: 0.01, Max: 1000}},
				func(say faultFunc) {
					if len(d.Engines) >= maxEngines {
						say("", "more than %d engines", maxEngines)
						return
					}
					if slices.ContainsFunc(d.Engines, func(o endpoint.Entry) bool { return o.ID == e.ID }) {
						say("at", "engine %s stands twice", e.ID)
					}
					if !slices.ContainsFunc(d.Kinds,
						func(k EngineKind) bool { return k.Name == e.Kind }) {
						say("kind", "%q is no kind named above", e.Kind)
					}
					d.Engines = append(d.Engines, e)
				}
		},
		"rules": func() ([]script.Argument, func(faultFunc)) {
			u := &d.Rules
			return []script.Argument{{Name: "drain_grace", Target: &u.DrainGrace, Min: 0.05, Max: 60}, {Name: "pin", Target: &u.ReservationLimit, Min: 0.1, Max: 60},
				{Name: "cold", Target: &u.SlowStart, Max: 600}, {Name: "fall_window", Target: &u.OverloadWindow, Min: 0.1, Max: 60},
				{Name: "cold_share", Target: &u.SlowStartShare, Min: 0.01, Max: 1},
				{Name: "fall_multiple", Target: &u.OverloadMultiple, Min: 1, Max: 100}}, nil
		},
		"lines": func() ([]script.Argument, func(faultFunc)) {
			l := &d.Connections
			return []script.Argument{{Name: "per_engine", Target: &l.PerEngine, Min: 1, Max: 60_000}, {Name: "all", Target: &l.Total, Max: 1e6}, {Name: "dials", Target: &l.ConcurrentDials, Min: 1, Max: 10_000},
				{Name: "dial_time", Target: &l.DialTimeout, Min: 0.01, Max: 30}, {Name: "conn_idle", Target: &l.IdleTimeout, Min: 0, Max: 3600},
				{Name: "conn_idle_non_retriable", Target: &l.NonIdempotentIdleTimeout, Min: 0, Max: 3600}}, nil
		},
		"limits": func() ([]script.Argument, func(faultFunc)) {
			l := &d.Limits
			return []script.Argument{{Name: "connections", Target: &l.Connections, Min: 1, Max: 1e6}, {Name: "open", Target: &l.OpenRequests, Min: 1, Max: 1e6},
				{Name: "bytes", Target: &l.BufferedBytes, Min: 1 << 16, Max: 1 << 36}, {Name: "head_time", Target: &l.HeaderTimeout, Min: 0.01, Max: 600},
				{Name: "body_time", Target: &l.BodyTimeout, Min: 0.01, Max: 600}, {Name: "idle_time", Target: &l.IdleTimeout, Min: 0.01, Max: 86400},
				{Name: "drain_time", Target: &l.DrainTimeout, Min: 0.01, Max: 600}, {Name: "body", Target: &d.MaxBodyBytes, Min: 256, Max: 64 << 20},
				{Name: "head", Target: &d.MaxHeadBytes, Min: 256, Max: 1 << 20}, {Name: "client_buffer", Target: &d.ClientBufferBytes, Min: 1024, Max: 64 << 20},
				{Name: "sends", Target: &d.MaxAttempts, Min: 1, Max: 20}, {Name: "retry_share", Target: &l.RetryShare, Max: 1}, {Name: "probes", Target: &d.HealthChecks},
				{Name: "stall", Target: &d.StallTimeout, Min: 0.05, Max: 600}, {Name: "tick", Target: &d.TickInterval, Min: 0.001, Max: 0.1},
				{Name: "max_retry_after", Target: &d.MaxRetryAfter, Max: 600}, {Name: "finish_time", Target: &d.ShutdownTimeout, Max: 3600}}, nil
		},
	}
}

// minReservationLimit is the shortest limit for held states that a node can keep: a release needs a way there on a loaded machine.
const minReservationLimit = 20 * time.Millisecond

// Check checks what no single value can.
func (d *Deployment) Check(addFault func(format string, args ...any)) {
	if len(d.Routes) == 0 {
		addFault("route: none is given; at least one is needed")
	}
	reads := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != "write" })
	writes := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != "read" })
	if !reads || !writes {
		addFault("kind: there must be one that reads and one that writes")
	}
	if d.NodeNumber >= d.NodeCount {
		addFault("node: number %d must be under nodes, which is %d", d.NodeNumber, d.NodeCount)
	}
	if least := max(minReservationLimit, 8*d.TickInterval); d.Rules.ReservationLimit < least {
		addFault("rules: pin is %v; it must be at least %v: eight ticks, and %v", d.Rules.ReservationLimit, least, minReservationLimit)
	}
}

// CheckScript checks what no single call of a script can.
func (d *Deployment) CheckScript(addFault func(format string, args ...any)) {
	d.Check(addFault)
	given := 0
	for _, is := range []bool{d.EndpointFile != "", d.PlannerAddress != "", len(d.Engines) > 0} {
		if is {
			given++
		}
	}
	if given != 1 {
		addFault("roster, planner or engine: one of them is needed, and only one")
	}
}
