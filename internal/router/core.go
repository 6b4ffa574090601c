package router

import (
	"cmp"
	"container/heap"
	"net/http"
	"slices"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// Router is the state of one node: the module, its timers and all that is open. It is not safe for concurrent
// use.
type Router struct {
	config      *config.Deployment
	seed        uint64
	incarnation int64 // names of inferences differ between lives of a node
	transport   Transport
	observer    Observer
	now         int64
	// protocol is how clients and engines are met; it may keep nothing of its own that changes.
	protocol protocol.Codec

	policy            *routing.Policy
	policyIncarnation uint64 // of the module: a panic begins a new one
	pendingEvents     []routing.Event
	notifying         bool // inputs are being handed over
	timers            timers
	timersSet         int64

	endpoints    *endpoint.List
	starts       engineStarts
	listHistory  listHistory
	drains       attempt.UnavailableSince
	knownEngines []string // all engines ever listed
	// answeredAt is when an engine's last answer began.
	lastResponseAt map[string]int64
	requestNames   recentNames // of inferences, where clients give them
	admission      *admission.Controller
	clientRetries  *admission.RetryBudget
	pool           *connpool.Pool

	clients           map[int64]*ClientConnection
	closing           map[int64]int64
	unflushed         []*ClientConnection
	engineConnections map[int64]*EngineConnection
	controlRequests   map[*controlRequest]bool
	reservations      *reservation.Table
	monitor           *invariant.Monitor
	requests          map[int64]*request
	requestsByName    map[string]*request // the same, by what engines know them by
	lastRequestID     int64
	firedTransitions  uint64 // rows of attempt's table taken so far, a bit each, from bit 1
	// answeredNow are those that got their final answer while the present input is carried out.
	justFinished          []*request
	stopping              bool
	stoppedAt             int64 // when it was told to stop
	clientsDrained        bool  // it has left its clients since
	peerHeardAt           int64 // when another node was last heard
	reapedAt              int64
	reservationsCheckedAt int64 // when the monitor last looked at what is held
	earliestEvent         int64 // events that are handed over now happened after this; 0 where that is not known
}

// timer is the module's.
type timer struct {
	at, sequence int64
	token        int64
	incarnation  uint64 // of the module that set it; an older one's timers are of no effect
}

// timers is a heap; those that fall due together go in the order in which they were set.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].at, t[j].at), cmp.Compare(t[i].sequence, t[j].sequence)) < 0
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return x
}

// New makes the core of a node that starts at now. Epoch must differ between lives of a node.
func New(cfg *config.Deployment, protocol protocol.Codec, seed uint64, incarnation, now int64, transport Transport,
	observer Observer) *Router {
	r := &Router{config: cfg, protocol: protocol, seed: seed, incarnation: incarnation, transport: transport, observer: observer, now: now, drains: attempt.UnavailableSince{},
		admission: admission.New(cfg.Limits), clientRetries: admission.NewRetryBudget(cfg.Limits.RetryShare), pool: connpool.New(connpool.Limits{PerEngine: cfg.Connections.PerEngine,
			ConcurrentDials: cfg.Connections.ConcurrentDials, Total: cfg.Connections.Total, IdleTimeout: cfg.Connections.IdleTimeout, SettleTime: cfg.Connections.ReuseDelay}),
		clients: map[int64]*ClientConnection{}, closing: map[int64]int64{}, engineConnections: map[int64]*EngineConnection{},
		controlRequests: map[*controlRequest]bool{}, reservations: reservation.New(reservation.LimitsFor(cfg.Rules.ReservationLimit, protocol.ReleaseReachesAllEngines(),
			reservationsPerRequest*cfg.Limits.OpenRequests)), monitor: invariant.NewMonitor(invariant.LimitsFor(cfg.Rules.DrainGrace, cfg.Rules.ReservationLimit)), requests: map[int64]*request{}, requestsByName: map[string]*request{}, lastResponseAt: map[string]int64{}}
	r.policy = routing.New(seed, cfg.RoutingConfig())
	return r
}

// setTimer sets a timer.
func (r *Router) setTimer(in int64, t timer) {
	r.timersSet++
	t.at, t.sequence = r.now+in, r.timersSet
	heap.Push(&r.timers, t)
}

func (r *Router) fireTimer(t timer) {
	if t.incarnation == r.policyIncarnation {
		r.notifyPolicy(routing.TimerFired{Token: t.token})
	}
}

// How often what has no timer of its own is looked through: stalled streams, slow clients, old connections.
const reapInterval = int64(25 * time.Millisecond)

func (r *Router) reap() {
	r.drainClients()
	r.abandonLateRequests()
	r.reapplyEndpoints()
	r.reapConnections()
	r.closeFlushed()
	for _, due := range r.admission.Expired(r.now) {
		r.expireClient(r.clients[due.ID], due.State)
	}
	for _, id := range r.requestIDs() {
		req := r.requests[id]
		for _, att := range req.attempts {
			if att.ended {
				continue
			}
			idle := time.Duration(r.now - max(att.startedAt, att.lastTokenAt))
			if att.relay != nil {
				idle = min(idle, time.Duration(r.now-att.relay.LastTokenAt()))
			}
			if attempt.Stalled(att.machine.State, idle, r.config.StallTimeout) {
				r.handleAttemptEvent(att, attempt.StreamStalled, "no token for "+idle.String())
			}
		}
	}
}

// expireClient ends a connection whose time in its state is up.
func (r *Router) expireClient(client *ClientConnection, state admission.State) {
	switch state {
	case admission.Idle:
		if !r.closeIfIdle(client, CloseIdle) {
			return // a request has come in this moment
		}
	case admission.ReadingHeader, admission.ReadingBody:
		r.reply(client, nil, r.protocol.InvalidRequestResponse(http.StatusRequestTimeout, "too_slow", "",
			"the request did not come in time"))
	default:
		r.closeClient(client, CloseUnread)
	}
	r.observer.Rejected("slow or idle")
}

func (r *Router) requestIDs() []int64 {
	ids := make([]int64, 0, len(r.requests))
	for id := range r.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
