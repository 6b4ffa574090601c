// Package edge runs one router on sockets. Pollers read and parse the input from clients and engines. One goroutine, the
// owner, applies it to package router, which does no I/O and makes all decisions. Tokens of a stream in progress are
// forwarded from an engine's poller to the client without passing through the owner.
//
// State is owned as follows. The router, the load counters and all other data that tasks access belong to the owner;
// other goroutines reach them only through the inbox. A connection's parser belongs to its poller; where the owner may
// access the parser too, it is guarded by the connection's lock. Counters shared by both are atomic.
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

// defaultPollers is the number of pollers for clients and for engines each. It does not grow with the connections.
const defaultPollers = 2

// Edge is one running router: its sockets, its state in package router, and the goroutine that owns that state.
type Edge struct {
	deployment  *config.Deployment
	log         *zap.Logger
	protocol    protocol.Codec
	endpoints   endpoint.Source // source of endpoint lists; nil if the settings list the engines
	startedAt   time.Time
	incarnation int64 // Unix milliseconds of the start: request names differ between incarnations

	inbox    *inbox         // tasks for the owner
	owner    *ownerLoop     // accessed only by the owner
	router   *router.Router // accessed only by the owner
	loads    loadCounters   // accessed only by the owner
	sessions sessionFence
	metrics  *metrics

	clients clientSide
	engines engineSide
	gossip  *gossip // gossip with peers; nil if the edge has no peers

	metricsListener net.Listener // listener of the metrics page; nil if metrics are not served
	pollersPerSide  int

	lifetime    context.Context // canceled by Stop
	endLifetime context.CancelFunc
	stopped     chan struct{} // closed by Stop
	goroutines  sync.WaitGroup

	// Test hooks, nil in production; set before Start or by the owner.
	decisionHook  func(routing.Event)
	syncPointHook func(SyncPoint)
}

// New returns an edge that serves the chat API. The source may be nil if the settings define where the engines are listed.
func New(deployment *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64) *Edge {
	var routes []string
	for _, route := range deployment.Routes {
		routes = append(routes, route.Name)
	}
	return NewWithProtocol(deployment, log, source, seed, chatapi.NewCodec(routes))
}

// NewWithProtocol returns an edge that uses the given protocol with clients and engines.
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
	e.owner = &ownerLoop{edge: e, turnStartedAt: e.clock(), delay: newDelayReport(e)}
	e.incarnation = e.startedAt.UnixMilli()
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.clients = clientSide{edge: e, reuse: reuseGuard{stopped: e.stopped}, limit: newConnectionLimit(deployment.Limits.Connections + spareConnections)}
	e.engines = engineSide{edge: e, reuse: reuseGuard{stopped: e.stopped}, dial: dialTCP}
	e.engines.buffer.maxBytes = int64(deployment.ResponseBytes)
	if e.endpoints == nil {
		e.endpoints = e.configuredSource()
	}
	e.router = router.New(deployment, protocol, seed, e.incarnation, e.clock(), e, observer{e})
	return e
}

// configuredSource returns the configured source of the endpoint list, or nil if the settings contain the list itself.
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

// clock returns Unix nanoseconds that never go back: the wall time of the start plus the monotonic time elapsed since.
func (e *Edge) clock() int64 { return e.startedAt.UnixNano() + int64(time.Since(e.startedAt)) }

// Addr returns the address that clients connect to.
func (e *Edge) Addr() string { return e.clients.listener.Addr().String() }

// loadReport returns the edge's report to the planner.
func (e *Edge) loadReport(ctx context.Context) (planapi.EdgeReport, error) {
	return queryOwner(ctx, e, func() planapi.EdgeReport {
		return planapi.EdgeReport{Edge: e.deployment.NodeName, Incarnation: e.incarnation, Routes: e.loads.snapshot()}
	})
}

// Usage returns the number of connections, requests, bytes and reservations that the edge holds now.
func (e *Edge) Usage(ctx context.Context) (router.InFlight, error) {
	return queryOwner(ctx, e, func() router.InFlight { return e.router.InFlight() })
}
