// Package edge runs one router on sockets. Pollers read and parse what clients and engines send, and one goroutine,
// the owner, applies it to package router, which does no I/O and makes all decisions. Tokens of a stream
// that is under way go from an engine's poller to the client without the owner.
//
// State is owned as follows. The router, the load counters and whatever a task reads or writes belong to the owner;
// others reach them through the inbox only. A connection's parser belongs to its poller, and to whoever holds the
// connection's lock where the owner may look at it too. Counters shared by both are atomic.
package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
	"sandcourse/internal/planner/planclient"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// defaultPollers is how many goroutines wait on sockets on each side. It does not grow with connections.
const defaultPollers = 2

// Edge is one running router: its sockets, its state in package router, and the goroutine that owns that state.
type Edge struct {
	deployment  *config.Deployment
	log         *zap.Logger
	protocol    protocol.Codec
	endpoints   endpoint.Source // nil where the settings list the engines
	startedAt   time.Time
	incarnation int64 // Unix milliseconds of the start: request names differ between incarnations

	inbox    *inbox         // the way to the owner
	owner    *ownerLoop     // the owner's
	router   *router.Router // the owner's
	loads    loadCounters   // the owner's
	sessions sessionFence
	metrics  *metrics

	clients clientSide
	engines engineSide
	gossip  *gossip // nil where peers exchange nothing

	metricsListener net.Listener // nil where metrics are not served
	pollersPerSide  int

	lifetime    context.Context // ends with Stop
	endLifetime context.CancelFunc
	stopped     chan struct{} // closed by Stop
	goroutines  sync.WaitGroup

	// Hooks of tests, nil in service, set before Start or by the owner.
	decisionHook  func(routing.Event)
	syncPointHook func(SyncPoint)
}

// New makes an edge that speaks the chat API. Source may be nil where the settings list the engines.
func New(deployment *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64) *Edge {
	var routes []string
	for _, route := range deployment.Routes {
		routes = append(routes, route.Name)
	}
	return NewWithProtocol(deployment, log, source, seed, chatapi.NewCodec(routes))
}

// NewWithProtocol makes an edge that speaks a given protocol to clients and engines.
func NewWithProtocol(deployment *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64,
	protocol protocol.Codec) *Edge {
	e := &Edge{
		deployment:     deployment,
		log:            log.With(zap.String("node", deployment.NodeName)),
		protocol:       protocol,
		endpoints:      source,
		startedAt:      time.Now(),
		loads:          loadCounters{},
		metrics:        newMetrics(),
		pollersPerSide: defaultPollers,
		stopped:        make(chan struct{}),
	}
	e.inbox = newInbox(deployment.QueueBytes, e.clock)
	e.owner = &ownerLoop{edge: e, turnedAt: e.clock(), delay: newDelayReport(e)}
	e.incarnation = e.startedAt.UnixMilli()
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.clients = clientSide{edge: e, limit: newConnectionLimit(deployment.Limits.Connections + spareConnections)}
	e.engines = engineSide{edge: e, dial: dialTCP}
	if e.endpoints == nil {
		e.endpoints = e.configuredSource()
	}
	e.router = router.New(deployment, protocol, seed, e.incarnation, e.clock(), e, observer{e})
	return e
}

// configuredSource is where the settings have the endpoint list come from; nil where they hold the list itself.
func (e *Edge) configuredSource() endpoint.Source {
	switch {
	case e.deployment.EndpointFile != "":
		return endpoint.FileSource{Path: e.deployment.EndpointFile}
	case e.deployment.PlannerAddress != "":
		return planclient.Client{
			Addr:   e.deployment.PlannerAddress,
			Report: e.loadReport,
			Now:    func() int64 { return e.clock() / int64(time.Millisecond) },
		}
	}
	return nil
}

// clock is Unix nanoseconds that never go back: the start's wall time and the monotonic time since.
func (e *Edge) clock() int64 { return e.startedAt.UnixNano() + int64(time.Since(e.startedAt)) }

// Addr is the address that clients connect to.
func (e *Edge) Addr() string { return e.clients.listener.Addr().String() }

// loadReport is what the edge reports to the planner.
func (e *Edge) loadReport(ctx context.Context) (planapi.EdgeReport, error) {
	return queryOwner(ctx, e, func() planapi.EdgeReport {
		return planapi.EdgeReport{Edge: e.deployment.NodeName, Incarnation: e.incarnation, Routes: e.loads.list()}
	})
}

// Usage is what the edge holds now: connections, requests, bytes, reservations.
func (e *Edge) Usage(ctx context.Context) (router.InFlight, error) {
	return queryOwner(ctx, e, func() router.InFlight { return e.router.InFlight() })
}
