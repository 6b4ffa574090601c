// Package config reads and validates an operator's script and converts it into the configuration of one program: a Deployment
// for a router (its addresses, model routes, rules, limits and engines) or a Planner for a planner.
package config

import (
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/routing"
)

// Effect is the effect of running a request of a route a second time. Its values are those of the settings.
type Effect string

// The effects of a second run.
const (
	EffectRetriable    Effect = "retriable"     // the request is idempotent
	EffectDeduped      Effect = "deduped"       // an idempotency key makes it idempotent within the route's window and group
	EffectNonRetriable Effect = "non-retriable" // the request is not idempotent
)

// Effects lists all valid effects.
var Effects = []Effect{EffectRetriable, EffectDeduped, EffectNonRetriable}

// DedupGroup is the set of engines that share idempotency keys for deduplication. Its values are those of the settings.
type DedupGroup string

// The deduplication groups.
const (
	DedupGroupAll  DedupGroup = "all"
	DedupGroupZone DedupGroup = "zone"
	DedupGroupCell DedupGroup = "cell"
)

// Role is the role of a kind of engine. Its values are those of the settings.
type Role string

// The roles of engines.
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
	ObjectivePer1000Tokens time.Duration // increase of the objective for each 1,000 prompt tokens
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
	Total                    int // limit for all engines together; 0 for no limit
	ConcurrentDials          int
	DialTimeout              time.Duration
	IdleTimeout              time.Duration // time for which an idle connection may be reused
	NonIdempotentIdleTimeout time.Duration // IdleTimeout for requests that are not idempotent
	ReuseDelay               time.Duration // time for which a connection that carried a stream is not reused
}

// Rules holds the parameters of the routing rules.
type Rules struct {
	DrainGrace       time.Duration
	ReservationLimit time.Duration // time for which a prefill engine may hold the KV state of a request for its decode
	SlowStart        time.Duration // duration of an engine's warm-up after its start
	SlowStartShare   float64       // share of an engine's capacity at the start of its warm-up
	OverloadWindow   time.Duration
	OverloadMultiple float64
}

// Deployment is the configuration of one router.
type Deployment struct {
	File                  string // file name of the script
	NodeName              string
	NodeNumber, NodeCount int // this router's number, and the number of routers
	Zone                  string
	ChatAddress           string
	MetricsAddress        string
	EndpointFile          string
	PlannerAddress        string // if set, plans of the planner replace the endpoint file
	Engines               []endpoint.Entry
	Kinds                 []EngineKind
	Routes                []Route
	Rules                 Rules
	Connections           ConnectionLimits
	Limits                admission.Limits
	MaxBodyBytes          int // maximum size of a request body
	MaxHeadBytes          int // maximum size of a request head
	ClientBufferBytes     int // bytes of a response that may be buffered for a slow client
	ResponseBytes         int // maximum size of all incomplete responses of engines together
	MaxAttempts           int // maximum number of attempts per request
	TickInterval          time.Duration
	StallTimeout          time.Duration
	MaxRetryAfter         time.Duration
	ShutdownTimeout       time.Duration // time for which open requests may continue after the signal to stop
	HealthChecks          bool

	// The fields below are set only from the configuration of a platform.

	PlatformRouting      *routing.Config // routing configuration from the platform, to which the deployment adds its own settings
	Zones                []string        // names of the zones, indexed by zone number
	ShutdownAcceptTime   time.Duration   // time for which a router accepts connections after the signal to stop
	ShutdownStayTime     time.Duration   // time for which a stopping router keeps client connections without gossip from a peer
	ShutdownHandoverTime time.Duration   // time at which a stopping router hands over requests that it was not required to accept
	QueueBytes           int             // maximum size of events queued for the router's core
	// ReleaseRepeatTime is how long releases are repeated after an attempt was abandoned, for engines that do not remember
	// releases. Such an attempt may continue after its connection ended, and make or return its reservation only later.
	ReleaseRepeatTime time.Duration
	// AbandonWait is how long a router that has abandoned an attempt, and has ended its sending, waits for the engine to end its
	// side. An engine that ends it has noticed. 0 if connections of abandoned attempts are closed at once.
	AbandonWait time.Duration
}

// Defaults returns a deployment with default values and without routes, kinds or engines.
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
		ResponseBytes:     128 << 20,
		MaxAttempts:       4,
		TickInterval:      5 * time.Millisecond, // Routing responds three ticks before a client's timeout.
		StallTimeout:      5 * time.Second,
		MaxRetryAfter:     time.Second,
		QueueBytes:        16 << 20,
		ShutdownTimeout:   20 * time.Second,
		HealthChecks:      true,
	}
}
