// Package router implements the core of one router, without sockets. Events on the connections of clients and engines
// arrive as method calls. The router passes them to the packages that decide (routing, attempt, connpool, reservation,
// admission, invariant) and turns the decisions into bytes for clients and engines. The package does no I/O and reads no
// clock: sockets and logs are behind interfaces, and the caller sets the time. The edge, the emulator and the model checker
// thus run the same code.
package router

import (
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/config"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
)

// Router combines the components of one router. Each component owns its state; the methods of Router implement the
// operations that span components. A Router is not safe for concurrent use.
type Router struct {
	environment
	clock

	policy          policyRunner
	endpoints       endpointState
	admission       admissionControl
	clients         clientConnections
	connections     engineConnections
	requests        requestTable
	streams         streamIndex
	reservations    *reservation.Table
	controlRequests controlRequests
	shutdown        shutdownState
	gossip          gossipState
	monitor         invariantMonitor
}

// environment holds the settings and dependencies of a router. They do not change after the router is created.
type environment struct {
	config *config.Deployment
	// protocol encodes and decodes the messages of clients and engines. A codec has no state that changes.
	protocol    protocol.Codec
	transport   Transport
	observer    Observer
	incarnation int64 // makes request names differ between runs of the same router
}

// admissionControl decides which connections and requests of clients are admitted.
type admissionControl struct {
	*admission.Controller
	retries *admission.RetryBudget
}

// New returns a router that starts at the time now. The incarnation must differ between runs of the same router.
func New(cfg *config.Deployment, protocol protocol.Codec, seed uint64, incarnation, now int64, transport Transport,
	observer Observer) *Router {
	return &Router{
		environment: environment{config: cfg, protocol: protocol, transport: transport, observer: observer, incarnation: incarnation},
		clock:       clock{now: now},

		policy:          newPolicyRunner(seed, cfg),
		endpoints:       newEndpointState(),
		admission:       admissionControl{Controller: admission.New(cfg.Limits), retries: admission.NewRetryBudget(cfg.Limits.RetryShare)},
		clients:         newClientConnections(),
		connections:     newEngineConnections(cfg.Connections),
		requests:        newRequestTable(),
		reservations:    newReservationTable(cfg, protocol),
		controlRequests: controlRequests{},
		monitor:         invariantMonitor{Monitor: invariant.NewMonitor(invariant.LimitsFor(cfg.Rules.DrainGrace, cfg.Rules.ReservationLimit))},
	}
}

// RunDue processes the timers, releases and timeouts that are due at the time now, and flushes the output to clients.
func (r *Router) RunDue(now int64) {
	r.SetTime(now)
	r.advanceDueReservations()
	r.fireTimers()
	r.endStalledStreams()
	if r.startReapIfDue() {
		r.reap()
	}
	r.reportViolations()
	r.flushClients()
}

// NextDue returns when RunDue must be called next if no other event occurs before.
func (r *Router) NextDue() int64 {
	return min(r.nextReapAt(), r.reservations.NextDue(), r.policy.timers.next(), r.streams.nextDue())
}

// reap enforces the time limits that have no timer of their own: those of slow clients, idle connections, shutdowns and
// drains.
func (r *Router) reap() {
	r.drainClients()
	r.abandonLateRequests()
	r.reapplyEndpoints()
	r.reapConnections()
	r.closeFlushed()
	for _, expired := range r.admission.Expired(r.clientsObserved()) {
		r.expireClient(r.clients.byID[expired.ID], expired.State)
	}
}

// AbandonAll answers every open request with an error and cancels its attempts.
func (r *Router) AbandonAll(reason FailureReason) {
	for _, id := range r.requests.ids() {
		r.abortRequest(r.requests.byID[id], reason)
	}
}

// InFlight counts the open connections, requests and reservations of a router.
type InFlight struct {
	Clients, Requests, Bytes, EngineConnections int

	// ControlRequests counts health checks and releases in flight, and reservations that are not released yet.
	ControlRequests   int
	Reservations      int           // reservations that engines hold or may hold
	OldestReservation time.Duration // time since the oldest reservation became known
	Lingering         bool          // the router is shutting down and still accepts requests
}

// InFlight returns the current counts of the router's open connections, requests and reservations.
func (r *Router) InFlight() InFlight {
	clients, _, bytes := r.admission.Usage()
	inFlight := InFlight{
		Clients:           clients,
		Requests:          len(r.requests.byID),
		Bytes:             bytes,
		EngineConnections: len(r.connections.byID),
		ControlRequests:   len(r.controlRequests) + r.reservations.Unreleased(),
		Reservations:      r.reservations.Count(),
		Lingering:         r.shutdown.requested && r.acceptsRequests(),
	}
	if since := r.reservations.OldestSince(); since > 0 {
		inFlight.OldestReservation = time.Duration(r.now - since)
	}
	return inFlight
}
