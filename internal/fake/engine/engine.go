// Package engine is a fake engine for tests, demos and fault scenarios: a prefill or decode engine on a loopback socket
// that speaks the protocol of docs/engine-protocol.md. It has slots, a queue, KV memory, a prefix cache, warm-up after a
// cold start, and faults on demand. Its default figures are invented.
package engine

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/planner/planapi"
)

// Config is what an engine can do. Start replaces zero values by defaults.
type Config struct {
	Name           string
	Role           string        // planapi.Prefill or planapi.Decode
	Addr           string        // to listen on; its port may be 0
	Seed           uint64        // of the texts that it generates
	Slots          int           // requests that it works on at once
	QueueLimit     int           // requests that may wait for a slot
	OtherRoleSlots int           // Slots once it has changed its role
	MemoryTokens   int           // KV memory, in tokens
	PrefillRate    float64       // prompt tokens a second, over all slots
	TokenTime      time.Duration // of one output token
	// AttemptRate is how many attempts a second a warm engine handles. A cold one that gets OverloadFactor times its share
	// of it within OverloadWindow crashes.
	AttemptRate    float64
	OverloadFactor float64
	OverloadWindow time.Duration
	WarmUp         time.Duration // from a cold start to full speed
	WarmUpShare    float64       // of full speed at a cold start
	Reload         time.Duration // between the end of one role and the start of the other
}

// capacity is the part of a configuration whose defaults depend on the role.
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
	c.Reload = cmp.Or(c.Reload, time.Second)
	return c
}

// Engine is one fake engine. Methods whose comment says so need its lock; the parts below have no locks of their own.
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
	coldSince      time.Time // zero if this incarnation started warm
	faults         Faults
	faultsChanged  chan struct{} // closed when faults change
	slots          chan struct{}
	occupancy      occupancy
	prefixes       prefixCache
	reservations   reservationTable
	recentAttempts []time.Time
	role           roleState
	incarnation    incarnation
	work           workCounters
}

// occupancy is what requests in flight take up.
type occupancy struct {
	openRequests        int
	waiting             int // open requests without a slot
	queuedPrefillTokens int // prompt tokens of open requests that are not cached
	usedTokens          int // of KV memory
}

// workCounters count the work of one incarnation.
type workCounters struct{ prefilledTokens, decodedTokens, busySeconds float64 }

// Start starts a warm engine. The log and the idempotency keys, which engines may share, may be nil.
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
	return e, e.listen(false)
}

// Addr is the address that it listens on, the same over restarts.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Role is the role that it serves in: planapi.Prefill or planapi.Decode.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role.serving
}

// Epoch is the epoch of its role.
func (e *Engine) Epoch() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role.epoch
}

// Drain makes it reject new requests, or accept them again.
func (e *Engine) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = on
}

// ClearCache empties its prefix cache.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prefixes.clear()
}

// HeldReservations is how many reservations it holds.
func (e *Engine) HeldReservations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.reservations.held)
}

// Overloaded is whether too many attempts crashed it while it was cold.
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
