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
	Name                 string
	Effect               string
	Value                float64
	FirstToken, PerTokns time.Duration // target for the first token, and more of it for each 1,000 prompt tokens
	Timeout              time.Duration
	DedupWindow          time.Duration
	DedupGroup           string
}

// EngineKind is one kind of engine.
type EngineKind struct {
	Name, Role string
	Memory     float64 // tokens
}

// Lines bounds a node's connections to engines.
type Lines struct {
	PerEngine, Dials int
	DialTime         time.Duration
	Idle, IdleUnsafe time.Duration // how long an idle one is used again; for what must not run twice
	All              int           // to all engines together; 0 for any
	Settle           time.Duration // how long one that carried a stream is not used again
}

// Rules are the figures of the five rules and what goes with them.
type Rules struct {
	DrainGrace, Pin, Cold, FallWindow time.Duration
	ColdShare, FallMultiple           float64
}

// Deployment is all that a script says.
type Deployment struct {
	File          string
	Node          string
	Me, Nodes     int
	Zone          string
	Chat, Metrics string
	Roster        string
	Planner       string // its address; plans take the place of a roster
	Engines       []endpoint.Entry
	Kinds         []EngineKind
	Routes        []Route
	Rules         Rules
	Lines         Lines
	Limits        admission.Bounds
	Body, Head    int // bytes of one call
	ClientBuffer  int // bytes of an answer that wait for a slow client
	Sends         int
	Tick, Stall   time.Duration
	RetryAfter    time.Duration
	Finish        time.Duration // how long open inferences may go on once the node is told to stop
	Probes        bool
	// What only a platform's configuration says: the module's facts as they are given, the names of zones by
	// their numbers, how long a node that is told to stop takes what still comes, how long it stays with its
	// clients where no other node is heard, when it hands over what came later than it had to take, and bytes
	// that may wait for its owner.
	Given    map[string]any
	Zones    []string
	Linger   time.Duration
	Stay     time.Duration
	HandOver time.Duration
	Inbox    int
	// ReleaseFor is for how long releases are repeated after an attempt was given up, where engines forget them: an
	// attempt that goes on after its connection ended comes to hold its state, or gives it back, later.
	ReleaseFor time.Duration
}

// Engines that one script may list.
const maxListed = 20_000

// Load reads a script from a file.
func Load(path string) (*Deployment, error) {
	text, err := script.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d, err := Read(path, text)
	if err == nil && d.Roster != "" && !filepath.IsAbs(d.Roster) {
		d.Roster = filepath.Join(filepath.Dir(path), d.Roster)
	}
	return d, err
}

// Read runs a script. The error, if any, is of type script.Faults.
func Read(name string, text []byte) (*Deployment, error) {
	d := Defaults()
	d.File = name
	if err := script.Run(name, text, d.Calls(), d.Whole); err != nil {
		return nil, err
	}
	return d, nil
}

// Defaults is a deployment with no route, kind or engine.
func Defaults() *Deployment {
	return &Deployment{Node: "edge", Nodes: 1, Chat: "127.0.0.1:8080",
		Rules: Rules{DrainGrace: 250 * time.Millisecond, Pin: time.Second, Cold: 12 * time.Second,
			FallWindow: time.Second, ColdShare: 0.25, FallMultiple: 3},
		Lines: Lines{PerEngine: 512, Dials: 16, DialTime: 250 * time.Millisecond, Idle: 15 * time.Second,
			IdleUnsafe: 2 * time.Second},
		Limits: admission.Bounds{Conns: 12_000, Open: 8_000, Bytes: 256 << 20, HeadTime: 5 * time.Second,
			BodyTime: 15 * time.Second, IdleTime: 75 * time.Second, DrainTime: 2 * time.Second},
		Body: 1 << 20, Head: 16 << 10, ClientBuffer: 48 << 10, Sends: 4,
		// The module answers three ticks before a client gives up.
		Tick: 5 * time.Millisecond, Stall: 5 * time.Second, RetryAfter: time.Second, Inbox: 16 << 20, Finish: 20 * time.Second,
		Probes: true}
}

type fault = func(key, format string, args ...any)

// Calls lists what a script may call, and the keys of each.
func (d *Deployment) Calls() map[string]script.Call {
	return map[string]script.Call{
		"node": func() ([]script.Key, func(fault)) {

			return []script.Key{{Name: "name", To: &d.Node}, {Name: "zone", To: &d.Zone},
				{Name: "number", To: &d.Me, Max: 100_000}, {Name: "nodes", To: &d.Nodes, Min: 1, Max: 100_000}}, nil
		},
		"listen": func() ([]script.Key, func(fault)) {
			return []script.Key{{Name: "chat", To: &d.Chat, Address: true}, {Name: "metrics", To: &d.Metrics, Address: true}}, nil
		},
		"roster": func() ([]script.Key, func(fault)) {
			return []script.Key{{Name: "file", To: &d.Roster, Need: true}}, nil
		},
		"planner": func() ([]script.Key, func(fault)) {
			return []script.Key{{Name: "at", To: &d.Planner, Need: true, Address: true}}, nil
		},
		"kind": func() ([]script.Key, func(fault)) {
			k := EngineKind{}
			return []script.Key{{Name: "name", To: &k.Name, Need: true},
					{Name: "role", To: &k.Role, Words: []string{"read", "write", "both"}, Need: true},
					{Name: "memory", To: &k.Memory, Min: 1, Max: 1e9}},
				func(say fault) {
					if slices.ContainsFunc(d.Kinds, func(o EngineKind) bool { return o.Name == k.Name }) {
						say("name", "kind %q stands twice", k.Name)
					}
					d.Kinds = append(d.Kinds, k)
				}
		},
		"route": func() ([]script.Key, func(fault)) {
			t := Route{Value: 1, FirstToken: time.Second, Timeout: 5 * time.Second, DedupGroup: "all",
				DedupWindow: 5 * time.Second}
			return []script.Key{{Name: "name", To: &t.Name, Need: true},
					{Name: "effect", To: &t.Effect, Words: Effects, Need: true},
					{Name: "value", To: &t.Value, Min: 0.001, Max: 1e6},
					{Name: "first_token_target", To: &t.FirstToken, Min: 0.01, Max: 600},
					{Name: "target_per_1000_tokens", To: &t.PerTokns, Max: 60},
					{Name: "route_timeout", To: &t.Timeout, Min: 0.05, Max: 3600},
					{Name: "dedup_window", To: &t.DedupWindow, Max: 3600},
					{Name: "dedup_group", To: &t.DedupGroup, Words: []string{"all", "zone", "cell"}}},
				func(say fault) {
					if slices.ContainsFunc(d.Routes, func(o Route) bool { return o.Name == t.Name }) {
						say("name", "route %q stands twice", t.Name)
					}
					if t.Timeout < t.FirstToken {
						say("route_timeout", "%v is under the first-token target of %v", t.Timeout, t.FirstToken)
					}
					d.Routes = append(d.Routes, t)
				}
		},
		"engine": func() ([]script.Key, func(fault)) {
			e := endpoint.Entry{State: endpoint.Ready, Weight: 1}
			return []script.Key{{Name: "at", To: &e.ID, Need: true, Address: true}, {Name: "kind", To: &e.Kind, Need: true},
					{Name: "zone", To: &e.Zone}, {Name: "cell", To: &e.Cell},
					{Name: "weight", To: &e.Weight, Min: 0.01, Max: 1000}},
				func(say fault) {
					if len(d.Engines) >= maxListed {
						say("", "more than %d engines", maxListed)
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
		"rules": func() ([]script.Key, func(fault)) {
			u := &d.Rules
			return []script.Key{{Name: "drain_grace", To: &u.DrainGrace, Min: 0.05, Max: 60}, {Name: "pin", To: &u.Pin, Min: 0.1, Max: 60},
				{Name: "cold", To: &u.Cold, Max: 600}, {Name: "fall_window", To: &u.FallWindow, Min: 0.1, Max: 60},
				{Name: "cold_share", To: &u.ColdShare, Min: 0.01, Max: 1},
				{Name: "fall_multiple", To: &u.FallMultiple, Min: 1, Max: 100}}, nil
		},
		"lines": func() ([]script.Key, func(fault)) {
			l := &d.Lines
			return []script.Key{{Name: "per_engine", To: &l.PerEngine, Min: 1, Max: 60_000}, {Name: "all", To: &l.All, Max: 1e6}, {Name: "dials", To: &l.Dials, Min: 1, Max: 10_000},
				{Name: "dial_time", To: &l.DialTime, Min: 0.01, Max: 30}, {Name: "conn_idle", To: &l.Idle, Min: 0, Max: 3600},
				{Name: "conn_idle_non_retriable", To: &l.IdleUnsafe, Min: 0, Max: 3600}}, nil
		},
		"limits": func() ([]script.Key, func(fault)) {
			l := &d.Limits
			return []script.Key{{Name: "connections", To: &l.Conns, Min: 1, Max: 1e6}, {Name: "open", To: &l.Open, Min: 1, Max: 1e6},
				{Name: "bytes", To: &l.Bytes, Min: 1 << 16, Max: 1 << 36}, {Name: "head_time", To: &l.HeadTime, Min: 0.01, Max: 600},
				{Name: "body_time", To: &l.BodyTime, Min: 0.01, Max: 600}, {Name: "idle_time", To: &l.IdleTime, Min: 0.01, Max: 86400},
				{Name: "drain_time", To: &l.DrainTime, Min: 0.01, Max: 600}, {Name: "body", To: &d.Body, Min: 256, Max: 64 << 20},
				{Name: "head", To: &d.Head, Min: 256, Max: 1 << 20}, {Name: "client_buffer", To: &d.ClientBuffer, Min: 1024, Max: 64 << 20},
				{Name: "sends", To: &d.Sends, Min: 1, Max: 20}, {Name: "retry_share", To: &l.Retries, Max: 1}, {Name: "probes", To: &d.Probes},
				{Name: "stall", To: &d.Stall, Min: 0.05, Max: 600}, {Name: "tick", To: &d.Tick, Min: 0.001, Max: 0.1},
				{Name: "max_retry_after", To: &d.RetryAfter, Max: 600}, {Name: "finish_time", To: &d.Finish, Max: 3600}}, nil
		},
	}
}

// leastPin is the shortest limit for held states that a node can keep: a release needs a way there on a loaded machine.
const leastPin = 20 * time.Millisecond

// Check checks what no single value can.
func (d *Deployment) Check(say func(format string, args ...any)) {
	if len(d.Routes) == 0 {
		say("route: none is given; at least one is needed")
	}
	reads := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != "write" })
	writes := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != "read" })
	if !reads || !writes {
		say("kind: there must be one that reads and one that writes")
	}
	if d.Me >= d.Nodes {
		say("node: number %d must be under nodes, which is %d", d.Me, d.Nodes)
	}
	if least := max(leastPin, 8*d.Tick); d.Rules.Pin < least {
		say("rules: pin is %v; it must be at least %v: eight ticks, and %v", d.Rules.Pin, least, leastPin)
	}
}

// Whole checks what no single call of a script can.
func (d *Deployment) Whole(say func(format string, args ...any)) {
	d.Check(say)
	given := 0
	for _, is := range []bool{d.Roster != "", d.Planner != "", len(d.Engines) > 0} {
		if is {
			given++
		}
	}
	if given != 1 {
		say("roster, planner or engine: one of them is needed, and only one")
	}
}
