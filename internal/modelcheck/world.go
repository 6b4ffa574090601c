// Package modelcheck is an explicit-state model checker for the router core and the planner's role assignment. A world runs
// their production code, including the routing policy, attempts, connection pool and admission of a router, against an
// adversary that simulates the engines, the network, the endpoint list, the clients and the clock. The checker tries every
// enabled event in every state and expands equal states once. The package does no I/O.
package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/config"
)

// World is a configuration to explore: its engines and clients, and the faults that the adversary may inject.
type World struct {
	Name                 string          `json:"name"`
	About                string          `json:"about"`
	PrefillEngines       int             `json:"readers"`
	DecodeEngines        int             `json:"writers"`
	Effects              []config.Effect `json:"effects"` // effect of each request, one request per client
	Faults               int             `json:"faults"`  // maximum number of faults that the adversary may inject
	FaultKinds           []FaultKind     `json:"kinds"`   // kinds of fault that the adversary may inject; all if empty
	ConnectionsPerEngine int             `json:"lines_per_engine"`
	HealthChecks         bool            `json:"probes"`     // the router polls the load of engines
	MaxOpenRequests      int             `json:"open"`       // maximum number of admitted requests per router; 0 for no limit
	Routers              int             `json:"nodes"`      // routers that share the engines, each with its own clients; 0 means 1
	AllInterleavings     bool            `json:"plain"`      // all interleavings of events of different routers are tried
	RoleChanges          bool            `json:"roles"`      // the planner and role changes are simulated, without requests
	HalfClose            bool            `json:"half_close"` // the router awaits the engines' ends of abandoned attempts
	Crowd                bool            `json:"crowd"`      // one long seeded simulation is run instead, see SimulateCrowd
}

// FaultKind names a kind of fault that the adversary may inject.
type FaultKind string

// The kinds of fault; noFault marks an event that is not a fault.
const (
	noFault            FaultKind = ""
	FaultConnect       FaultKind = "connect"  // a connection hangs or fails
	FaultDrain         FaultKind = "drain"    // an engine drains
	FaultError         FaultKind = "error"    // an engine responds with an error status and no reason
	FaultNoCapacity    FaultKind = "full"     // an engine rejects an attempt because it is at capacity
	FaultGarbled       FaultKind = "garbled"  // an engine sends malformed or unexpected bytes, or a false report
	FaultTruncated     FaultKind = "half"     // a response is truncated
	FaultKill          FaultKind = "kill"     // the router or the planner is killed
	FaultDelay         FaultKind = "late"     // a timer or message is delayed
	FaultDisconnect    FaultKind = "leave"    // a client disconnects, or an operator intervenes
	FaultNoReservation FaultKind = "no-state" // a decode engine does not find the reservation
	FaultPartialWrite  FaultKind = "part"     // a connection accepts part of a request
	FaultReset         FaultKind = "reset"    // a connection or message is lost
	FaultRestart       FaultKind = "restart"  // an engine restarts
	FaultRetry         FaultKind = "retry"    // a client sends its request again
	FaultUnresponsive  FaultKind = "silent"   // an engine stops responding
)

// FaultKinds returns all kinds of fault, ordered by name.
func FaultKinds() []FaultKind {
	return []FaultKind{FaultConnect, FaultDrain, FaultError, FaultNoCapacity, FaultGarbled, FaultTruncated, FaultKill, FaultDelay, FaultDisconnect,
		FaultNoReservation, FaultPartialWrite, FaultReset, FaultRestart, FaultRetry, FaultUnresponsive}
}

// allows reports whether the world permits faults of a kind.
func (w World) allows(kind FaultKind) bool {
	return len(w.FaultKinds) == 0 || slices.Contains(w.FaultKinds, kind)
}

// mayInject reports whether the adversary may inject a fault of a kind if it has already injected a number of faults.
func (w World) mayInject(kind FaultKind, injected int) bool {
	return kind == noFault || injected < w.Faults && w.allows(kind)
}

// The durations in all worlds are short, so that few timers fire between the start and the end of a request. They
// have the same order as the defaults: tick < drain grace < reservation limit < client timeout.
const (
	clientTimeout               = 300 * time.Millisecond
	firstTokenTarget            = 100 * time.Millisecond
	tick                        = 5 * time.Millisecond
	drainGrace                  = 50 * time.Millisecond
	reservationLimit            = 200 * time.Millisecond
	releaseRepeatTime           = 3 * reservationLimit
	stallTimeout                = 100 * time.Millisecond
	idleTimeout                 = 150 * time.Millisecond
	dialTimeout                 = 100 * time.Millisecond
	dedupWindow                 = time.Second
	defaultConnectionsPerEngine = 4
	timeoutMarginTicks          = 4 // an error response is allowed from this number of ticks before the client's timeout
	// timerDelay is the simulated delay of a timer on a loaded machine: more than one tick, but less than the three ticks
	// that the router leaves before a client's timeout.
	timerDelay = 12 * time.Millisecond
)

// startTime is the initial time of every world, in nanoseconds.
const startTime = int64(1000 * time.Second)

// Deployment returns the configuration of the routers of a world.
func (w World) Deployment() *config.Deployment {
	d := config.Defaults()
	d.NodeName, d.TickInterval, d.StallTimeout, d.HealthChecks = "n", tick, stallTimeout, w.HealthChecks
	d.Rules.DrainGrace, d.Rules.ReservationLimit = drainGrace, reservationLimit
	d.Connections.IdleTimeout, d.Connections.DialTimeout = idleTimeout, dialTimeout
	d.Connections.PerEngine = max(1, w.ConnectionsPerEngine)
	if w.ConnectionsPerEngine == 0 {
		d.Connections.PerEngine = defaultConnectionsPerEngine
	}
	if w.MaxOpenRequests > 0 {
		d.Limits.OpenRequests = w.MaxOpenRequests
	}
	if w.HalfClose {
		d.AbandonWait, d.ReleaseRepeatTime = reservationLimit, releaseRepeatTime
	}
	d.NodeCount = max(1, w.Routers)
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	for _, effect := range config.Effects {
		d.Routes = append(d.Routes, config.Route{Name: string(effect), Effect: effect, PriorityWeight: 1, FirstTokenObjective: firstTokenTarget,
			Timeout: clientTimeout, DedupWindow: dedupWindow, DedupGroup: "all"})
	}
	return d
}

// EngineNames returns the names of the engines as they appear in events, prefill engines first.
func (w World) EngineNames() (names []string) {
	for i := range w.PrefillEngines + w.DecodeEngines {
		names = append(names, w.engineName(i))
	}
	return names
}

func (w World) engineName(i int) string {
	if i < w.PrefillEngines {
		return fmt.Sprintf("127.0.0.1:%d", 1001+i)
	}
	return fmt.Sprintf("127.0.0.1:%d", 2001+i-w.PrefillEngines)
}
