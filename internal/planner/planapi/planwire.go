// Package planwire is what planner, edges, engines and operators say to one another: plans, reports and
// orders, as JSON, checked as they are read. It does no I/O.
package planapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"sandcourse/internal/endpoint"
)

// Paths at the planner, and at an engine.
const (
	StreamPath = "/plan/stream" // GET: plans, one JSON object a line, the newest whole one each time
	ReportPath = "/plan/report" // POST: an EdgeReport
	RolesPath  = "/plan/roles"  // GET: what the planner thinks, for people
	OrderPath  = "/plan/order"  // POST: an Order
	RolePath   = "/sandcourse/role"
)

// TrialPrefix begins the names of the planner's small pieces of work, by which an engine shows its role.
const TrialPrefix = "trial-"

// Roles of an engine.
const (
	Prefill = "read"
	Decode  = "write"
)

// OtherRole is the other role.
func OtherRole(role string) string {
	if role == Prefill {
		return Decode
	}
	return Prefill
}

// Engine is one engine of a plan. UpFor is how long it has been up when the plan is sent, in milliseconds,
// and 0 for long: clocks of planner and edges may differ, so no time of day is sent. Epoch is of its role: an
// engine refuses sends of another one.
type Engine struct {
	Engine       string  `json:"engine"`
	Kind         string  `json:"kind"`
	Zone         string  `json:"zone,omitempty"`
	Cell         string  `json:"cell,omitempty"`
	Weight       float64 `json:"weight,omitempty"`
	State        string  `json:"state"`
	Epoch        int64   `json:"epoch,omitempty"`
	UptimeMillis int64   `json:"up_for_ms,omitempty"`
}

// Plan is whole. Of two, the one of the later term counts, then that of the higher number.
type Plan struct {
	Term    int64    `json:"term"`
	Number  int64    `json:"number"`
	Engines []Engine `json:"engines"`
}

// Newer is whether p replaces o.
func (p Plan) Newer(other Plan) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Number > other.Number
}

// EndpointList is a plan as a node takes it. Now is the node's clock in Unix milliseconds.
func (p Plan) EndpointList(now int64) endpoint.List {
	list := endpoint.List{Revision: p.Number, Entries: []endpoint.Entry{}}
	for _, e := range p.Engines {
		entry := endpoint.Entry{ID: e.Engine, Kind: e.Kind, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight,
			State:     e.State,
			RoleEpoch: e.Epoch}
		if e.UptimeMillis > 0 {
			entry.StartedAtMs = now - e.UptimeMillis
		}
		list.Entries = append(list.Entries, entry)
	}
	return list
}

// EngineReport is an engine's answer to a question for its load. Counts grow while its life lasts.
type EngineReport struct {
	Engine        string  `json:"-"` // whoever asked knows
	Role          string  `json:"role"`
	Epoch         int64   `json:"epoch"`
	Term          int64   `json:"term"` // the latest of a planner that it has followed
	Incarnation   int64   `json:"life"` // differs between its lives
	UptimeMillis  int64   `json:"up_for_ms"`
	Changing      bool    `json:"changing"` // it loads for its next role and serves nothing
	Draining      bool    `json:"draining"`
	PrefillTokens float64 `json:"read_tokens"`    // prompt tokens read, kept ones not counted
	DecodeTokens  float64 `json:"written_tokens"` // tokens answered
	BusySeconds   float64 `json:"busy_seconds"`   // all slots for a second is one
	OpenRequests  int     `json:"open"`           // inferences that are read, written or wait
	Reservations  int     `json:"held"`           // states that wait here
	CachedTokens  float64 `json:"kept_tokens"`    // of beginnings that it remembers
	// Hot are the beginnings used most here, by hash, with their tokens.
	HotPrefixes map[string]float64 `json:"hot,omitempty"`
}

// RouteCount is what an edge has counted on one model route since its start.
type RouteCount struct {
	Route               string  `json:"route"`
	Arrived             float64 `json:"arrived"`
	PromptTokens        float64 `json:"prompt_tokens"` // of all that arrived
	Started             float64 `json:"began"`         // first tokens
	StartedPromptTokens float64 `json:"begun_tokens"`  // prompt tokens of those
	Completed           float64 `json:"ended"`         // of those that began
	CompletionTokens    float64 `json:"answer_tokens"` // of those that ended
	WithinObjective     float64 `json:"in_time"`       // first tokens within their target
	Shed                float64 `json:"shed"`
}

// EdgeReport is one edge's counts. Life differs between its lives. Plan is the number of the plan that it
// follows.
type EdgeReport struct {
	Edge        string       `json:"edge"`
	Incarnation int64        `json:"life"`
	Term        int64        `json:"term"`
	PlanNumber  int64        `json:"plan"`
	Routes      []RouteCount `json:"routes"`
}

// RoleOrder is what a planner asks of an engine. An engine follows the latest term and epoch only. Of its
// present epoch it takes drains and their end; a higher one makes it leave its role for the one named.
type RoleOrder struct {
	Term  int64  `json:"term"`
	Epoch int64  `json:"epoch"`
	Role  string `json:"role"`
	Drain bool   `json:"drain"`
}

// Order is an operator's.
type Order struct {
	Operation string `json:"op"` // pin, unpin, move, readmit, stop, go
	Engine    string `json:"engine,omitempty"`
	Operator  string `json:"who"`
	Reason    string `json:"why"`
	DryRun    bool   `json:"dry,omitempty"` // say only what would be done
}

// Operations are the operators' orders.
var Operations = []string{"pin", "unpin", "move", "readmit", "stop", "go"}

// The most bytes of each, far over what a fleet of thousands needs.
const (
	MaxPlanBytes   = 8 << 20
	MaxReportBytes = 1 << 18
)

func decodeJSON(data []byte, maxBytes int, target any) error {
	if len(data) > maxBytes {
		return fmt.Errorf("it has %d bytes, at most %d are read", len(data), maxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("it is cut short or no JSON of its kind: %w", err)
	}
	if decoder.More() {
		return fmt.Errorf("it is followed by something else")
	}
	return nil
}

// ParsePlan reads and checks a plan whole. Unknown fields are passed over: a later version may add some.
func ParsePlan(data []byte) (p Plan, err error) {
	if err := decodeJSON(data, MaxPlanBytes, &p); err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	if p.Term < 1 || p.Number < 1 || p.Engines == nil {
		return p, fmt.Errorf("plan: it needs a term and a number over 0, and engines")
	}
	for i, e := range p.Engines {
		if e.UptimeMillis < 0 || !inRange(e.Weight) {
			return p, fmt.Errorf("plan: engines[%d]: up_for_ms or weight is out of range", i)
		}
	}
	// The entries as a node takes them; the time only has to lie after all that they have been up for.
	if err := endpoint.Validate(p.EndpointList(math.MaxInt64).Entries); err != nil {
		return p, fmt.Errorf("plan: %w", err)
	}
	return p, nil
}

func inRange(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0 && v <= 1e15) || math.IsNaN(v) {
			return false
		}
	}
	return true
}

// ParseEngineReport reads and checks one; what is no sane figure makes all of it doubtful.
func ParseEngineReport(data []byte) (r EngineReport, err error) {
	if err := decodeJSON(data, MaxReportBytes, &r); err != nil {
		return r, fmt.Errorf("engine's report: %w", err)
	}
	if r.Role != Prefill && r.Role != Decode || r.Epoch < 0 || r.Term < 0 || r.UptimeMillis < 0 || r.OpenRequests < 0 ||
		r.Reservations < 0 ||
		!inRange(r.PrefillTokens, r.DecodeTokens, r.BusySeconds, r.CachedTokens) || len(r.HotPrefixes) > 64 {
		return r, fmt.Errorf("engine's report: role %q, epoch %d, or a count is out of range", r.Role,
			r.Epoch)
	}
	return r, nil
}

// ParseEdgeReport reads and checks one.
func ParseEdgeReport(data []byte) (r EdgeReport, err error) {
	if err := decodeJSON(data, MaxReportBytes, &r); err != nil {
		return r, fmt.Errorf("edge's report: %w", err)
	}
	if r.Edge == "" || len(r.Edge) > 256 || len(r.Routes) > 1000 {
		return r, fmt.Errorf("edge's report: it needs a name of 1 to 256 bytes and at most 1000 routes")
	}
	for i, t := range r.Routes {
		if t.Route == "" || !inRange(t.Arrived, t.PromptTokens, t.Started, t.StartedPromptTokens, t.Completed, t.CompletionTokens, t.WithinObjective,
			t.Shed) {
			return r, fmt.Errorf("edge's report: routes[%d]: no name, or a count out of range", i)
		}
	}
	return r, nil
}

// ParseRoleOrder reads and checks one.
func ParseRoleOrder(data []byte) (o RoleOrder, err error) {
	if err := decodeJSON(data, 1<<12, &o); err != nil {
		return o, fmt.Errorf("order: %w", err)
	}
	if o.Role != Prefill && o.Role != Decode || o.Epoch < 0 || o.Term < 1 {
		return o, fmt.Errorf("order: role %q, epoch %d, term %d", o.Role, o.Epoch, o.Term)
	}
	return o, nil
}

// ParseOrder reads and checks an operator's.
func ParseOrder(data []byte) (o Order, err error) {
	if err := decodeJSON(data, 1<<14, &o); err != nil {
		return o, fmt.Errorf("order: %w", err)
	}
	needs := map[string]bool{"pin": true, "unpin": true, "move": true, "readmit": true, "stop": false,
		"go": false}
	engine, known := needs[o.Operation]
	switch {
	case !known:
		return o, fmt.Errorf("order: op is one of %v, not %q", Operations, o.Operation)
	case engine != (o.Engine != ""):
		return o, fmt.Errorf("order: %s with engine %q", o.Operation, o.Engine)
	case len(o.Operator) > 256 || len(o.Reason) > 1024:
		return o, fmt.Errorf("order: who has at most 256 bytes, why 1024")
	}
	return o, nil
}
