// Package edge puts a node on sockets: pollers read messages and calls, one goroutine owns the core that node
// describes, and answers are streamed back. It decides nothing itself; see node, brain, attempt, conns and
// limits.
package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
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

// Edge is one running edge.
type Edge struct {
	deployment        *config.Deployment
	log               *zap.Logger
	endpoints         endpoint.Source
	seed              uint64
	incarnation       int64 // Unix milliseconds of the start: names of inferences differ between lives
	startedAt         time.Time
	lastClientID      atomic.Int64
	sessionsPublished atomic.Int64 // see connOpened

	inbox          *inbox
	core           *router.Router
	protocol       protocol.Codec
	peers          *peers           // nil where nodes tell one another nothing
	clientLimit    *connectionLimit // for clients' connections
	pollersPerSide int              // of each side
	// See barrier: descriptors of each side are used again.
	clientReuseGuard, engineReuseGuard reuseGuard
	clientPollers                      *nbio.Engine
	enginePollers                      *nbio.Engine
	clientListener                     net.Listener
	metricsListener                    net.Listener
	metrics                            *metrics

	lifetime      context.Context // until Stop
	endLifetime   context.CancelFunc
	stopped       chan struct{}
	goroutines    sync.WaitGroup
	decisionHook  func(routing.Event) // a test's panic inside the module
	syncPointHook func(SyncPoint)     // a test's stop at a point; set before Start
	dial          func(ctx context.Context, address string) (net.Conn, error)
	routeCounts   map[string]*planapi.RouteCount
}

// New makes a node that speaks the chat API. Source may be nil where the settings list the engines.
func New(deployment *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64) *Edge {
	var routes []string
	for _, route := range deployment.Routes {
		routes = append(routes, route.Name)
	}
	return NewWithProtocol(deployment, log, source, seed, chatapi.NewCodec(routes))
}

// NewWithProtocol makes a node that speaks a dialect.
func NewWithProtocol(deployment *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64,
	protocol protocol.Codec) *Edge {
	e := &Edge{deployment: deployment, log: log.With(zap.String("node", deployment.NodeName)), endpoints: source, seed: seed, inbox: newInbox(deployment.QueueBytes),
		startedAt: time.Now(), stopped: make(chan struct{}), protocol: protocol, clientLimit: newConnectionLimit(deployment.Limits.Connections + 16),
		pollersPerSide: defaultPollers, dial: dialTCP}
	e.incarnation = e.startedAt.UnixMilli()
	e.lifetime, e.endLifetime = context.WithCancel(context.Background())
	e.metrics = newMetrics()
	if e.endpoints == nil && deployment.EndpointFile != "" {
		e.endpoints = endpoint.FileSource{Path: deployment.EndpointFile}
	}
	if e.endpoints == nil && deployment.PlannerAddress != "" {
		e.endpoints = planclient.Client{Addr: deployment.PlannerAddress, Report: e.loadReport, Now: func() int64 { return e.clock() / int64(time.Millisecond) }}
	}
	e.routeCounts = map[string]*planapi.RouteCount{}
	e.core = router.New(deployment, protocol, seed, e.incarnation, e.clock(), e, observer{e})
	return e
}

// routeCount is the owner's: what the node has counted on one model route.
func (e *Edge) routeCount(route string) *planapi.RouteCount {
	count := e.routeCounts[route]
	if count == nil {
		count = &planapi.RouteCount{Route: route}
		e.routeCounts[route] = count
	}
	return count
}

// loadReport asks the owner for its counts.
func (e *Edge) loadReport(ctx context.Context) (planapi.EdgeReport, error) {
	result := make(chan planapi.EdgeReport, 1)
	e.inbox.put(0, func() {
		report := planapi.EdgeReport{Edge: e.deployment.NodeName, Incarnation: e.incarnation}
		for _, route := range slices.Sorted(maps.Keys(e.routeCounts)) {
			report.Routes = append(report.Routes, *e.routeCounts[route])
		}
		result <- report
	})
	select {
	case report := <-result:
		return report, nil
	case <-e.stopped:
		return planapi.EdgeReport{}, errors.New("the node has stopped")
	case <-ctx.Done():
		return planapi.EdgeReport{}, ctx.Err()
	}
}

// clock is Unix nanoseconds that never go back: the start's wall time and what has passed since.
func (e *Edge) clock() int64 { return e.startedAt.UnixNano() + int64(time.Since(e.startedAt)) }

// defaultPollers is how many goroutines wait on sockets, on each side. Their number does not grow with connections.
const defaultPollers = 2

// Start listens and runs until Stop.
func (e *Edge) Start() error {
	logging.SetLevel(logging.LevelNone)
	var err error
	listen := func() error {
		e.clientListener, err = net.Listen("tcp", e.deployment.ChatAddress)
		return err
	}
	if err := e.retryStartup(listen); err != nil {
		return fmt.Errorf("listen for chat calls on %s: %w", e.deployment.ChatAddress, err)
	}
	addr := e.clientListener.Addr().String()
	e.clientPollers = nbio.NewEngine(nbio.Config{Name: "front", Network: "tcp", Addrs: []string{addr}, NPoller: e.pollersPerSide,
		MaxWriteBufferSize: e.deployment.ClientBufferBytes,
		Listen: func(string, string) (net.Listener, error) {
			return limitedListener{e.clientListener, e.clientLimit}, nil
		}})
	e.clientPollers.OnOpen(e.clientOpened)
	e.clientPollers.OnClose(e.clientClosed)
	e.clientPollers.OnRead(e.clientReadable)
	e.clientPollers.OnWrittenSize(e.clientWritten)
	e.enginePollers = nbio.NewEngine(nbio.Config{Name: "back", NPoller: e.pollersPerSide,
		MaxWriteBufferSize: 2 * e.deployment.MaxBodyBytes})
	e.enginePollers.OnOpen(e.engineOpened)
	e.enginePollers.OnClose(e.engineClosed)
	e.enginePollers.OnRead(e.engineReadable)
	e.enginePollers.OnWrittenSize(e.engineWritten)
	if err := e.retryStartup(e.enginePollers.Start); err != nil {
		e.clientListener.Close()
		return fmt.Errorf("start the side of engines: %w", err)
	}
	if err := e.engineReuseGuard.start(e, e.enginePollers); err != nil {
		e.clientListener.Close()
		e.enginePollers.Stop()
		return err
	}
	ctx := e.lifetime
	if e.deployment.MetricsAddress != "" {
		if e.metricsListener, err = net.Listen("tcp", e.deployment.MetricsAddress); err != nil {
			e.clientListener.Close()
			e.enginePollers.Stop()
			return fmt.Errorf("listen for metrics on %s: %w", e.deployment.MetricsAddress, err)
		}
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
		e.goroutines.Go(func() { server.Serve(e.metricsListener) })
		context.AfterFunc(ctx, func() { server.Close() })
	}
	e.goroutines.Go(func() { e.runOwner() })
	apply := func(list endpoint.List) {
		e.reach(EndpointListRead)
		e.inbox.putUrgent(func() { e.core.UpdateEndpoints(list) })
	}
	if e.endpoints != nil {
		e.goroutines.Go(func() {
			e.endpoints.Run(ctx, apply, func(err error) { e.log.Warn("roster", zap.Error(err)) })
		})
	} else {
		apply(endpoint.List{Revision: 1, Entries: e.deployment.Engines})
	}
	if err := e.clientPollers.Start(); err != nil {
		e.Stop()
		return fmt.Errorf("start the side of clients: %w", err)
	}
	if err := e.clientReuseGuard.start(e, e.clientPollers); err != nil {
		e.Stop()
		return err
	}
	e.log.Info("serving", zap.String("chat", addr), zap.String("metrics", e.deployment.MetricsAddress))
	return nil
}

// Addr is where chat calls are taken.
func (e *Edge) Addr() string { return e.clientListener.Addr().String() }

// Usage asks the owner what it holds.
func (e *Edge) Usage(ctx context.Context) (usage router.InFlight, err error) {
	result := make(chan router.InFlight, 1)
	e.inbox.put(0, func() { result <- e.core.InFlight() })
	select {
	case usage = <-result:
		return usage, nil
	case <-e.stopped:
		return usage, errors.New("the node has stopped")
	case <-ctx.Done():
		return usage, ctx.Err()
	}
}

// maxTurnDelay is how long answers and timers may wait while a full inbox is worked through. Events of a stream have
// 0.3 s to reach the client in all.
const maxTurnDelay = int64(5 * time.Millisecond)

// runOwner is the one goroutine that owns the core.
func (e *Edge) runOwner() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	var tasks []func()
	var metricsAt int64
	// When the owner last took what waited, and when it did the time before: a poller that waits for room in a full inbox
	// hands over what it read before the last time.
	lastTaken, previouslyTaken := e.clock(), e.clock()
	for {
		wake.Reset(max(0, time.Duration(e.core.NextDue()-e.clock())))
		select {
		case <-e.stopped:
			return
		case <-e.inbox.wake:
		case <-wake.C:
		}
		turnedAt := e.clock()
		e.core.SetTime(turnedAt)
		e.core.SetEarliestEventTime(previouslyTaken)
		lastTaken, previouslyTaken = turnedAt, lastTaken
		tasks = e.inbox.take(tasks)
		for _, task := range tasks {
			now := e.clock()
			if now-turnedAt >= maxTurnDelay {
				e.core.RunDue(now)
				turnedAt = now
			}
			e.core.SetTime(now)
			e.runUrgent()
			task()
		}
		e.runUrgent()
		e.core.RunDue(e.clock())
		// Gauges are read every few seconds: they need not be set at every event.
		if now := e.clock(); now-metricsAt >= int64(100*time.Millisecond) {
			metricsAt = now
			e.metrics.setUsage(e.core.InFlight())
		}
	}
}

// runUrgent runs what passes the queue.
func (e *Edge) runUrgent() {
	for _, urgent := range e.inbox.takeUrgent() {
		urgent()
	}
}

// DecisionSeconds is how long the decision module has worked.
func (e *Edge) DecisionSeconds() float64 {
	var m dto.Metric
	if err := e.metrics.decisionSeconds.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

// Drain takes no new inference and waits until those open are answered; past the settings' finish time, or
// when ctx ends, the rest gets its error. Then the node stops.
func (e *Edge) Drain(ctx context.Context) error {
	e.log.Info("stopping: no new inference is taken", zap.Duration("linger", e.deployment.ShutdownAcceptTime))
	e.inbox.put(0, func() { e.core.Shutdown() })
	ctx, cancel := context.WithTimeout(ctx, e.deployment.ShutdownTimeout)
	defer cancel()
	var err error
	for err == nil {
		var usage router.InFlight
		if usage, err = e.Usage(ctx); err == nil && usage.Requests == 0 && usage.ControlRequests == 0 && !usage.Lingering {
			break
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	if err == nil {
		e.closeClients(ctx)
	} else {
		finished := make(chan struct{})
		e.inbox.put(0, func() {
			defer close(finished)
			e.core.AbandonAll("this node is stopping")
			e.core.RunDue(e.clock())
		})
		select {
		case <-finished:
		case <-time.After(time.Second):
		}
		// What was written last must leave the sockets before they close.
		time.Sleep(100 * time.Millisecond)
	}
	e.Stop()
	return err
}

// clientCloseTimeout is how long a node that has answered everything waits for clients that have sent a part of a request,
// or do not read their answers, before it ends. The kill comes 0.7 s after the longest wait of a client.
const clientCloseTimeout = time.Second

// closeClients accepts nobody new and closes all connections, each between two requests: one that has been read
// already is answered first.
func (e *Edge) closeClients(ctx context.Context) {
	e.clientListener.Close()
	ctx, cancel := context.WithTimeout(ctx, clientCloseTimeout)
	defer cancel()
	for {
		busy := make(chan int, 1)
		e.inbox.put(0, func() { busy <- e.core.CloseIdleClients() })
		select {
		case count := <-busy:
			if count == 0 {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// Stop ends the node at once: what it holds is lost to it, as when it is killed.
func (e *Edge) Stop() {
	e.endLifetime()
	e.clientListener.Close()
	// The owner first: it dials, and the socket library must not be stopped under a dial.
	close(e.stopped)
	e.inbox.close()
	e.clientLimit.close()
	if e.peers != nil {
		e.peers.conn.Close()
	}
	e.goroutines.Wait()
	e.clientPollers.Stop()
	e.enginePollers.Stop()
	e.clientReuseGuard.close()
	e.engineReuseGuard.close()
}

// publishSession and connUsed order what is written of a connection when it opens before what its poller reads of
// it later. The socket library leaves that to the kernel, which the race detector does not see.
func (e *Edge) publishSession() { e.sessionsPublished.Add(1) }

func (e *Edge) acquireSession() { e.sessionsPublished.Load() }
