// Package config reads an operator's script, checks it as a whole and turns it into the configuration of one program: a
// Deployment for a router (what it listens on, its model routes, rules, limits and engines) or a Planner for a planner.
package config

import (
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/routing"
)

// Effect is what a second run of a request does, as a route's settings name it.
type Effect string

// The effects.
const (
	EffectRetriable    Effect = "retriable"     // idempotent
	EffectDeduped      Effect = "deduped"       // idempotent with an idempotency key, within the route's window and group
	EffectNonRetriable Effect = "non-retriable" // not idempotent
)

// Effects are all effects that a route may have.
var Effects = []Effect{EffectRetriable, EffectDeduped, EffectNonRetriable}

// DedupGroup is the set of engines that know of one another's idempotency keys, as a route's settings name it.
type DedupGroup string

// The groups.
const (
	DedupGroupAll  DedupGroup = "all"
	DedupGroupZone DedupGroup = "zone"
	DedupGroupCell DedupGroup = "cell"
)

// Role is the role of a kind of engine, as settings name it.
type Role string

// The roles.
const (
	RolePrefill Role = planapi.Prefill
	RoleDecode  Role = planapi.Decode
	RoleBoth    Role = "both"
)

// Route is one model route.
type Route struct {
	Name                   string
	Effect                 Effect
	PriorityWeight         float64
	FirstTokenObjective    time.Duration // latency objective of the first token
	ObjectivePer1000Tokens time.Duration // added to it for each 1,000 prompt tokens
	Timeout                time.Duration
	DedupWindow            time.Duration
	DedupGroup             DedupGroup
}

// EngineKind is one kind of engine.
type EngineKind struct {
	Name         string
	Role         Role
	MemoryTokens float64
}

// ConnectionLimits bounds a router's connections to engines.
type ConnectionLimits struct {
	PerEngine                int
	Total                    int // to all engines together; 0 for no bound
	ConcurrentDials          int
	DialTimeout              time.Duration
	IdleTimeout              time.Duration // how long an idle connection may be used again
	NonIdempotentIdleTimeout time.Duration // the same, for requests that are not idempotent
	ReuseDelay               time.Duration // how long a connection that carried a stream is not used again
}

// Rules are the figures of the routing rules.
type Rules struct {
	DrainGrace       time.Duration
	ReservationLimit time.Duration // how long an engine may hold the KV state of a request for the next step
	SlowStart        time.Duration // how long an engine that has started is warming up
	SlowStartShare   float64       // of its capacity that it has at the start of that
	OverloadWindow   time.Duration
	OverloadMultiple float64
}

// Deployment is the configuration of one router.
type Deployment struct {
	File                  string // the script that it was read from
	NodeName              string
	NodeNumber, NodeCount int // this router's number among all routers
	Zone                  string
	ChatAddress           string
	MetricsAddress        string
	EndpointFile          string
	PlannerAddress        string // its plans take the place of the endpoint file
	Engines               []endpoint.Entry
	Kinds                 []EngineKind
	Routes                []Route
	Rules                 Rules
	Connections           ConnectionLimits
	Limits                admission.Limits
	MaxBodyBytes          int // of a client's request
	MaxHeadBytes          int
	ClientBufferBytes     int // of a response that wait for a slow client
	MaxAttempts           int // of one request
	TickInterval          time.Duration
	StallTimeout          time.Duration
	MaxRetryAfter         time.Duration
	ShutdownTimeout       time.Duration // how long open requests may go on once the router was told to stop
	HealthChecks          bool

	// The fields below are set by a platform's configuration only.

	PlatformRouting      *routing.Config // of routing decisions, before what the deployment adds
	Zones                []string        // the names of zones by their numbers
	ShutdownAcceptTime   time.Duration   // how long a router that was told to stop accepts connections
	ShutdownStayTime     time.Duration   // how long it keeps its clients if it hears of no peer
	ShutdownHandoverTime time.Duration   // when it hands over requests that came later than it had to accept them
	QueueBytes           int             // of events that wait for the router's core
	// ReleaseRepeatTime is for how long releases are repeated after an attempt was abandoned, where engines forget them:
	// an attempt that goes on after its connection ended reserves its state, or gives it back, later.
	ReleaseRepeatTime time.Duration
}

// Defaults is a deployment with no route, kind or engine.
func Defaults() *Deployment {
	return &Deployment{
		NodeName:    "edge",
		NodeCount:   1,
		ChatAddress: "127.0.0.1:8080",
		Rules: Rules{
			DrainGrace:       250 * time.Millisecond,
			ReservationLimit: time.Second,
			SlowStart:        12 * time.Second,
			SlowStartShare:   0.25,
			OverloadWindow:   time.Second,
			OverloadMultiple: 3,
		},
		Connections: ConnectionLimits{
			PerEngine:                512,
			ConcurrentDials:          16,
			DialTimeout:              250 * time.Millisecond,
			IdleTimeout:              15 * time.Second,
			NonIdempotentIdleTimeout: 2 * time.Second,
		},
		Limits: admission.Limits{
			Connections:   12_000,
			OpenRequests:  8_000,
			BufferedBytes: 256 << 20,
			HeaderTimeout: 5 * time.Second,
			BodyTimeout:   15 * time.Second,
			IdleTimeout:   75 * time.Second,
			DrainTimeout:  2 * time.Second,
		},
		MaxBodyBytes:      1 << 20,
		MaxHeadBytes:      16 << 10,
		ClientBufferBytes: 48 << 10,
		MaxAttempts:       4,
		TickInterval:      5 * time.Millisecond, // routing answers three ticks before a client's timeout
		StallTimeout:      5 * time.Second,
		MaxRetryAfter:     time.Second,
		QueueBytes:        16 << 20,
		ShutdownTimeout:   20 * time.Second,
		HealthChecks:      true,
	}
}
