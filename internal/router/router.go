// Package router is the core of one router, without its sockets. What happens on connections of clients and engines is
// handed to it as method calls; it asks the deciding packages (routing, attempt, connpool, reservation, admission,
// invariant) what to do, and turns their decisions into bytes for clients and engines. It does no I/O. Sockets, the clock
// and the log are behind interfaces, so that the edge, the emulator and the model checker run the same code.
package router

import (
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/config"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
)

// Router joins the parts of one router. Each part owns its state; the methods of Router are the flows that cross parts.
// It is not safe for concurrent use.
type Router struct {
	environment
	clock

	policy          policyRunner
	endpoints       endpointState
	admission       admissionControl
	clients         clientConnections
	connections     engineConnections
	requests        requestTable
	reservations    *reservation.Table
	controlRequests controlRequests
	shutdown        shutdownState
	gossip          gossipState
	monitor         invariantMonitor
}

// environment is what a router is given when it is made. None of it changes.
type environment struct {
	config *config.Deployment
	// protocol encodes and decodes the messages of clients and engines. It keeps no state that changes.
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

// New makes a router that starts at the time now. The incarnation must differ between runs of the same router.
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

// RunDue does what is due by now and flushes what clients are to get.
func (r *Router) RunDue(now int64) {
	r.SetTime(now)
	for _, reserved := range r.reservations.DueBy(now) {
		r.advanceReservation(reserved)
	}
	r.fireTimers()
	if r.startReapIfDue() {
		r.reap()
	}
	r.reportViolations()
	r.flushClients()
}

// NextDue is when RunDue is next needed if nothing happens before.
func (r *Router) NextDue() int64 {
	return min(r.nextReapAt(), r.reservations.NextDue(), r.policy.timers.next())
}

// reap ends what has waited too long and has no timer of its own: stalled streams, slow clients, idle connections.
func (r *Router) reap() {
	r.drainClients()
	r.abandonLateRequests()
	r.reapplyEndpoints()
	r.reapConnections()
	r.closeFlushed()
	for _, expired := range r.admission.Expired(r.clientsObserved()) {
		r.expireClient(r.clients.byID[expired.ID], expired.State)
	}
	r.reapStalledStreams()
}

// AbandonAll answers every open request with an error.
func (r *Router) AbandonAll(reason FailureReason) {
	for _, id := range r.requests.ids() {
		r.abortRequest(r.requests.byID[id], reason)
	}
}

// InFlight counts what a router has open.
type InFlight struct {
	Clients, Requests, Bytes, EngineConnections int

	// ControlRequests counts health checks and releases in flight, and reservations that are not released yet.
	ControlRequests   int
	Reservations      int           // that engines hold, or may hold
	OldestReservation time.Duration // how long the oldest of these has been known
	Lingering         bool          // it is shutting down, and still accepts requests
}

// InFlight counts what the router has open now.
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
