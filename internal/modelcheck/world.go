// Package modelcheck explores the states of a router exhaustively in search of a way to violate a property. A world is
// the production code of the router core with its routing policy, attempts, connection pool and admission, and a small
// adversary that plays the engines, the network, the endpoint list, the clients and the clock. Every event that the
// adversary may cause is tried from every state; equal states are expanded once. It does no I/O.
package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/config"
)

// World is what is explored: engines, clients and the faults that the adversary may inject.
type World struct {
	Name                 string          `json:"name"`
	About                string          `json:"about"`
	PrefillEngines       int             `json:"readers"`
	DecodeEngines        int             `json:"writers"`
	Effects              []config.Effect `json:"effects"` // one request for each
	Faults               int             `json:"faults"`  // how many the adversary may inject
	FaultKinds           []FaultKind     `json:"kinds"`   // that it may inject; all if empty
	ConnectionsPerEngine int             `json:"lines_per_engine"`
	HealthChecks         bool            `json:"probes"` // engines are polled for their load
	MaxOpenRequests      int             `json:"open"`   // that a router admits at once; 0 for no limit
	Routers              int             `json:"nodes"`  // on the same engines, each with these requests; 0 and 1 are the same
	AllOrders            bool            `json:"plain"`  // every order of events of different routers is tried
	RoleChanges          bool            `json:"roles"`  // the planner and engines that change role, and no requests
	Crowd                bool            `json:"crowd"`  // not explored: one long seeded run, see SimulateCrowd
}

// FaultKind names a kind of fault that the adversary may inject.
type FaultKind string

// The kinds of fault; noFault marks an event that is none.
const (
	noFault            FaultKind = ""
	FaultConnect       FaultKind = "connect"  // a connection hangs or fails
	FaultDrain         FaultKind = "drain"    // an engine drains
	FaultError         FaultKind = "error"    // an engine fails without a reason
	FaultFull          FaultKind = "full"     // an engine rejects for want of capacity
	FaultGarbled       FaultKind = "garbled"  // bytes or claims that make no sense
	FaultHalf          FaultKind = "half"     // a response stops in its middle
	FaultKill          FaultKind = "kill"     // a process is killed
	FaultLate          FaultKind = "late"     // a timer or message is delayed
	FaultLeave         FaultKind = "leave"    // a client disconnects, or an operator intervenes
	FaultNoReservation FaultKind = "no-state" // a decode engine finds no reservation
	FaultPartialWrite  FaultKind = "part"     // a connection accepts part of a request
	FaultReset         FaultKind = "reset"    // a connection or message is lost
	FaultRestart       FaultKind = "restart"  // an engine restarts
	FaultRetry         FaultKind = "retry"    // a client repeats its request
	FaultSilent        FaultKind = "silent"   // something becomes unresponsive
)

// FaultKinds lists the kinds of fault by name.
func FaultKinds() []FaultKind {
	return []FaultKind{FaultConnect, FaultDrain, FaultError, FaultFull, FaultGarbled, FaultHalf, FaultKill, FaultLate, FaultLeave,
		FaultNoReservation, FaultPartialWrite, FaultReset, FaultRestart, FaultRetry, FaultSilent}
}

// allows reports whether the adversary may inject faults of a kind at all.
func (w World) allows(kind FaultKind) bool {
	return len(w.FaultKinds) == 0 || slices.Contains(w.FaultKinds, kind)
}

// mayInject reports whether a fault of a kind may follow after used others.
func (w World) mayInject(kind FaultKind, used int) bool {
	return kind == noFault || used < w.Faults && w.allows(kind)
}

// The times of all worlds are short, so that few timers lie between a request and its end. Their order is that of the
// defaults: tick below drain grace below reservation limit below client timeout.
const (
	clientTimeout      = 300 * time.Millisecond
	firstTokenTarget   = 100 * time.Millisecond
	tick               = 5 * time.Millisecond
	drainGrace         = 50 * time.Millisecond
	reservationLimit   = 200 * time.Millisecond
	stallTimeout       = 100 * time.Millisecond
	idleTimeout        = 150 * time.Millisecond
	dialTimeout        = 100 * time.Millisecond
	dedupWindow        = time.Second
	defaultPerEngine   = 4 // connections
	timeoutMarginTicks = 4 // ticks before a client's timeout at which a response may give up on it
	// timerDelay is how late a loaded machine may run a timer: more than a tick, less than the margin before a
	// client's timeout, which is three ticks.
	timerDelay = 12 * time.Millisecond
)

// startTime is the clock of every world at its start, in nanoseconds.
const startTime = int64(1000 * time.Second)

// Deployment is the configuration that a world's routers run with.
func (w World) Deployment() *config.Deployment {
	d := config.Defaults()
	d.NodeName, d.TickInterval, d.StallTimeout, d.HealthChecks = "n", tick, stallTimeout, w.HealthChecks
	d.Rules.DrainGrace, d.Rules.ReservationLimit = drainGrace, reservationLimit
	d.Connections.IdleTimeout, d.Connections.DialTimeout = idleTimeout, dialTimeout
	d.Connections.PerEngine = max(1, w.ConnectionsPerEngine)
	if w.ConnectionsPerEngine == 0 {
		d.Connections.PerEngine = defaultPerEngine
	}
	if w.MaxOpenRequests > 0 {
		d.Limits.OpenRequests = w.MaxOpenRequests
	}
	d.NodeCount = max(1, w.Routers)
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	for _, effect := range config.Effects {
		d.Routes = append(d.Routes, config.Route{Name: string(effect), Effect: effect, PriorityWeight: 1, FirstTokenObjective: firstTokenTarget,
			Timeout: clientTimeout, DedupWindow: dedupWindow, DedupGroup: "all"})
	}
	return d
}

// EngineNames are the engines of a world as its events name them, prefill engines first.
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
