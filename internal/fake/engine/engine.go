// Package engine implements a fake engine for tests, demos and fault scenarios: a prefill or decode engine on a loopback socket
// that implements the protocol of docs/engine-protocol.md. The engine has slots, a queue, KV memory, a prefix cache, warm-up
// after a cold start, and faults that can be set at run time. The default capacities and durations are not those of real engines.
package engine

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
)

// Config configures an engine. Start replaces zero values with defaults.
type Config struct {
	Name           string
	Role           string        // planapi.Prefill or planapi.Decode
	Addr           string        // listen address; port 0 for any free port
	Seed           uint64        // seed of the generated texts
	Slots          int           // number of requests processed concurrently
	QueueLimit     int           // maximum number of requests that wait for a slot
	OtherRoleSlots int           // value of Slots after a role change
	MemoryTokens   int           // KV memory, in tokens
	PrefillRate    float64       // prompt tokens per second, over all slots
	TokenTime      time.Duration // time to generate one output token
	// AttemptRate is the number of attempts per second that a warm engine handles. A cold engine handles a share of that rate and
	// crashes if it gets more than OverloadFactor times that share within OverloadWindow.
	AttemptRate    float64
	OverloadFactor float64
	OverloadWindow time.Duration
	WarmUp         time.Duration // time from a cold start to full speed
	WarmUpShare    float64       // share of full speed at a cold start
	RoleChangeTime time.Duration // duration of a role change, in which the engine serves no role
}

// capacity holds the defaults of a configuration that depend on the role.
type capacity struct{ slots, queueLimit, otherRoleSlots, memoryTokens int }

var (
	prefillCapacity = capacity{slots: 8, queueLimit: 48, otherRoleSlots: 64, memoryTokens: 200_000}
	decodeCapacity  = capacity{slots: 64, queueLimit: 32, otherRoleSlots: 8, memoryTokens: 150_000}
)

func (c Config) withDefaults() Config {
	defaults := decodeCapacity
	if c.Role == planapi.Prefill {
		defaults = prefillCapacity
	}
	c.Addr = cmp.Or(c.Addr, "127.0.0.1:0")
	c.Slots = cmp.Or(c.Slots, defaults.slots)
	c.QueueLimit = cmp.Or(c.QueueLimit, defaults.queueLimit)
	c.OtherRoleSlots = cmp.Or(c.OtherRoleSlots, defaults.otherRoleSlots)
	c.MemoryTokens = cmp.Or(c.MemoryTokens, defaults.memoryTokens)
	c.PrefillRate = cmp.Or(c.PrefillRate, 200_000)
	c.TokenTime = cmp.Or(c.TokenTime, 5*time.Millisecond)
	c.AttemptRate = cmp.Or(c.AttemptRate, 60)
	c.OverloadFactor = cmp.Or(c.OverloadFactor, 3)
	c.OverloadWindow = cmp.Or(c.OverloadWindow, time.Second)
	c.WarmUp = cmp.Or(c.WarmUp, 10*time.Second)
	c.WarmUpShare = cmp.Or(c.WarmUpShare, 0.3)
	c.RoleChangeTime = cmp.Or(c.RoleChangeTime, time.Second)
	return c
}

// Engine is one fake engine. mu guards all fields below it.
type Engine struct {
	config          Config
	log             *audit.Log
	idempotencyKeys *IdempotencyKeys

	mu             sync.Mutex
	server         *http.Server
	addr           string
	running        bool
	overloaded     bool
	draining       bool
	coldSince      time.Time // time of a cold start; zero if the incarnation started warm
	faults         Faults
	faultsChanged  chan struct{} // channel that is closed and replaced when faults change
	slots          chan struct{}
	occupancy      occupancy
	prefixes       prefixCache
	reservations   reservationTable
	recentAttempts []time.Time
	role           roleState
	incarnation    incarnation
	work           workCounters
}

// occupancy counts the resources that requests in flight occupy.
type occupancy struct {
	openRequests        int
	waiting             int // number of open requests without a slot
	queuedPrefillTokens int // number of uncached prompt tokens of open requests
	usedTokens          int // occupied KV memory
}

// workCounters holds the totals of the work of one incarnation.
type workCounters struct{ prefilledTokens, decodedTokens, busySeconds float64 }

// Start starts a warm engine. Engines may share the log and the idempotency keys, and both may be nil.
func Start(config Config, log *audit.Log, keys *IdempotencyKeys) (*Engine, error) {
	config = config.withDefaults()
	e := &Engine{
		config:          config,
		log:             log,
		idempotencyKeys: keys,
		addr:            config.Addr,
		role:            roleState{serving: config.Role, reported: config.Role, epoch: 1},
		faultsChanged:   make(chan struct{}),
	}
	return e, e.startIncarnation(false)
}

// Addr returns the address on which the engine listens, which is the same after a restart.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Role returns the role that the engine serves: planapi.Prefill or planapi.Decode.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role.serving
}

// Epoch returns the epoch of the engine's role.
func (e *Engine) Epoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role.epoch
}

// Drain makes the engine reject new requests if draining is set, and accept them again otherwise.
func (e *Engine) Drain(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = draining
}

// ClearCache empties the prefix cache.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.clear()
}

// HeldReservations returns the number of reservations that the engine holds.
func (e *Engine) HeldReservations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reservations.held)
}

// Overloaded reports whether the engine has crashed because of too many attempts while it was cold.
func (e *Engine) Overloaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overloaded
}

func (e *Engine) record(record audit.EngineRecord) {
	if e.log != nil {
		record.At, record.Engine = time.Now(), e.addr
		e.log.RecordEngine(record)
	}
}
