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

// Node is one running edge.
type Node struct {
	d       *config.Deployment
	log     *zap.Logger
	source  endpoint.Source
	seed    uint64
	epoch   int64 // Unix milliseconds of the start: names of inferences differ between lives
	started time.Time
	ids     atomic.Int64
	opened  atomic.Int64 // see connOpened

	in       *inbox
	core     *router.Router
	protocol protocol.Codec
	peers    *peers // nil where nodes tell one another nothing
	room     *room  // for clients' connections
	pollers  int    // of each side
	// See barrier: descriptors of each side are used again.
	frontBarrier, backBarrier barrier
	front                     *nbio.Engine
	back                      *nbio.Engine
	chat                      net.Listener
	pages                     net.Listener
	metrics                   *meters

	alive  context.Context // until Stop
	cancel context.CancelFunc
	done   chan struct{}
	over   sync.WaitGroup
	fail   func(routing.Event) // a test's panic inside the module
	hold   func(Point)         // a test's stop at a point; set before Start
	dial   func(ctx context.Context, address string) (net.Conn, error)
	counts map[string]*planapi.RouteCount
}

// New makes a node that speaks the chat API. Source may be nil where the settings list the engines.
func New(d *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64) *Node {
	var routes []string
	for _, t := range d.Routes {
		routes = append(routes, t.Name)
	}
	return NewOn(d, log, source, seed, chatapi.NewCodec(routes))
}

// NewOn makes a node that speaks a dialect.
func NewOn(d *config.Deployment, log *zap.Logger, source endpoint.Source, seed uint64,
	protocol protocol.Codec) *Node {
	n := &Node{d: d, log: log.With(zap.String("node", d.NodeName)), source: source, seed: seed, in: newInbox(d.QueueBytes),
		started: time.Now(), done: make(chan struct{}), protocol: protocol, room: newRoom(d.Limits.Connections + 16),
		pollers: defaultPollers, dial: dialTCP}
	n.epoch = n.started.UnixMilli()
	n.alive, n.cancel = context.WithCancel(context.Background())
	n.metrics = newMeters()
	if n.source == nil && d.EndpointFile != "" {
		n.source = endpoint.FileSource{Path: d.EndpointFile}
	}
	if n.source == nil && d.PlannerAddress != "" {
		n.source = planclient.Client{Addr: d.PlannerAddress, Report: n.report, Now: func() int64 { return n.clock() / int64(time.Millisecond) }}
	}
	n.counts = map[string]*planapi.RouteCount{}
	n.core = router.New(d, protocol, seed, n.epoch, n.clock(), n, watch{n})
	return n
}

// count is the owner's: what the node has counted on one model route.
func (n *Node) count(route string) *planapi.RouteCount {
	c := n.counts[route]
	if c == nil {
		c = &planapi.RouteCount{Route: route}
		n.counts[route] = c
	}
	return c
}

// report asks the owner for its counts.
func (n *Node) report(ctx context.Context) (planapi.EdgeReport, error) {
	got := make(chan planapi.EdgeReport, 1)
	n.in.put(0, func() {
		r := planapi.EdgeReport{Edge: n.d.NodeName, Incarnation: n.epoch}
		for _, route := range slices.Sorted(maps.Keys(n.counts)) {
			r.Routes = append(r.Routes, *n.counts[route])
		}
		got <- r
	})
	select {
	case r := <-got:
		return r, nil
	case <-n.done:
		return planapi.EdgeReport{}, errors.New("the node has stopped")
	case <-ctx.Done():
		return planapi.EdgeReport{}, ctx.Err()
	}
}

// clock is Unix nanoseconds that never go back: the start's wall time and what has passed since.
func (n *Node) clock() int64 { return n.started.UnixNano() + int64(time.Since(n.started)) }

// defaultPollers is how many goroutines wait on sockets, on each side. Their number does not grow with connections.
const defaultPollers = 2

// Start listens and runs until Stop.
func (n *Node) Start() error {
	logging.SetLevel(logging.LevelNone)
	var err error
	listen := func() error {
		n.chat, err = net.Listen("tcp", n.d.ChatAddress)
		return err
	}
	if err := n.untilItStands(listen); err != nil {
		return fmt.Errorf("listen for chat calls on %s: %w", n.d.ChatAddress, err)
	}
	addr := n.chat.Addr().String()
	n.front = nbio.NewEngine(nbio.Config{Name: "front", Network: "tcp", Addrs: []string{addr}, NPoller: n.pollers,
		MaxWriteBufferSize: n.d.ClientBufferBytes,
		Listen:             func(string, string) (net.Listener, error) { return boundedListener{n.chat, n.room}, nil }})
	n.front.OnOpen(n.frontOpened)
	n.front.OnClose(n.frontClosed)
	n.front.OnRead(n.frontReadable)
	n.front.OnWrittenSize(n.frontWrote)
	n.back = nbio.NewEngine(nbio.Config{Name: "back", NPoller: n.pollers,
		MaxWriteBufferSize: 2 * n.d.MaxBodyBytes})
	n.back.OnOpen(n.backOpened)
	n.back.OnClose(n.backClosed)
	n.back.OnRead(n.backReadable)
	n.back.OnWrittenSize(n.backWrote)
	if err := n.untilItStands(n.back.Start); err != nil {
		n.chat.Close()
		return fmt.Errorf("start the side of engines: %w", err)
	}
	if err := n.backBarrier.start(n, n.back); err != nil {
		n.chat.Close()
		n.back.Stop()
		return err
	}
	ctx := n.alive
	if n.d.MetricsAddress != "" {
		if n.pages, err = net.Listen("tcp", n.d.MetricsAddress); err != nil {
			n.chat.Close()
			n.back.Stop()
			return fmt.Errorf("listen for metrics on %s: %w", n.d.MetricsAddress, err)
		}
		mux := http.NewServeMux()
		mux.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
		server := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
		n.over.Go(func() { server.Serve(n.pages) })
		context.AfterFunc(ctx, func() { server.Close() })
	}
	n.over.Go(func() { n.loop() })
	take := func(list endpoint.List) {
		n.pass(ListRead)
		n.in.putUrgent(func() { n.core.UpdateEndpoints(list) })
	}
	if n.source != nil {
		n.over.Go(func() {
			n.source.Run(ctx, take, func(err error) { n.log.Warn("roster", zap.Error(err)) })
		})
	} else {
		take(endpoint.List{Revision: 1, Entries: n.d.Engines})
	}
	if err := n.front.Start(); err != nil {
		n.Stop()
		return fmt.Errorf("start the side of clients: %w", err)
	}
	if err := n.frontBarrier.start(n, n.front); err != nil {
		n.Stop()
		return err
	}
	n.log.Info("serving", zap.String("chat", addr), zap.String("metrics", n.d.MetricsAddress))
	return nil
}

// Addr is where chat calls are taken.
func (n *Node) Addr() string { return n.chat.Addr().String() }

// Look asks the owner what it holds.
func (n *Node) Look(ctx context.Context) (h router.InFlight, err error) {
	got := make(chan router.InFlight, 1)
	n.in.put(0, func() { got <- n.core.InFlight() })
	select {
	case h = <-got:
		return h, nil
	case <-n.done:
		return h, errors.New("the node has stopped")
	case <-ctx.Done():
		return h, ctx.Err()
	}
}

// turnEvery is how long answers and timers may wait while a full inbox is worked through. Events of a stream have
// 0.3 s to reach the client in all.
const turnEvery = int64(5 * time.Millisecond)

// loop is the one goroutine that owns the core.
func (n *Node) loop() {
	wake := time.NewTimer(0)
	defer wake.Stop()
	var row []func()
	var seen int64
	// When the owner last took what waited, and when it did the time before: a poller that waits for room in a full inbox
	// hands over what it read before the last time.
	looked, before := n.clock(), n.clock()
	for {
		wake.Reset(max(0, time.Duration(n.core.NextDue()-n.clock())))
		select {
		case <-n.done:
			return
		case <-n.in.wake:
		case <-wake.C:
		}
		turned := n.clock()
		n.core.SetTime(turned)
		n.core.SetEarliestEventTime(before)
		looked, before = turned, looked
		row = n.in.take(row)
		for _, event := range row {
			now := n.clock()
			if now-turned >= turnEvery {
				n.core.RunDue(now)
				turned = now
			}
			n.core.SetTime(now)
			n.runUrgent()
			event()
		}
		n.runUrgent()
		n.core.RunDue(n.clock())
		// Gauges are read every few seconds: they need not be set at every event.
		if now := n.clock(); now-seen >= int64(100*time.Millisecond) {
			seen = now
			n.metrics.see(n.core.InFlight())
		}
	}
}

// runUrgent runs what passes the queue.
func (n *Node) runUrgent() {
	for _, urgent := range n.in.takeUrgent() {
		urgent()
	}
}

// ModuleSeconds is how long the decision module has worked.
func (n *Node) ModuleSeconds() float64 {
	var m dto.Metric
	if err := n.metrics.module.Write(&m); err != nil {
		return 0
	}
	return m.GetCounter().GetValue()
}

// Drain takes no new inference and waits until those open are answered; past the settings' finish time, or
// when ctx ends, the rest gets its error. Then the node stops.
func (n *Node) Drain(ctx context.Context) error {
	n.log.Info("stopping: no new inference is taken", zap.Duration("linger", n.d.ShutdownAcceptTime))
	n.in.put(0, func() { n.core.Shutdown() })
	ctx, cancel := context.WithTimeout(ctx, n.d.ShutdownTimeout)
	defer cancel()
	var err error
	for err == nil {
		var h router.InFlight
		if h, err = n.Look(ctx); err == nil && h.Requests == 0 && h.ControlRequests == 0 && !h.Lingering {
			break
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	if err == nil {
		n.closeClients(ctx)
	} else {
		finished := make(chan struct{})
		n.in.put(0, func() {
			defer close(finished)
			n.core.AbandonAll("this node is stopping")
			n.core.RunDue(n.clock())
		})
		select {
		case <-finished:
		case <-time.After(time.Second):
		}
		// What was written last must leave the sockets before they close.
		time.Sleep(100 * time.Millisecond)
	}
	n.Stop()
	return err
}

// closeTime is how long a node that has answered everything waits for clients that have sent a part of a request,
// or do not read their answers, before it ends. The kill comes 0.7 s after the longest wait of a client.
const closeTime = time.Second

// closeClients accepts nobody new and closes all connections, each between two requests: one that has been read
// already is answered first.
func (n *Node) closeClients(ctx context.Context) {
	n.chat.Close()
	ctx, cancel := context.WithTimeout(ctx, closeTime)
	defer cancel()
	for {
		busy := make(chan int, 1)
		n.in.put(0, func() { busy <- n.core.CloseIdleClients() })
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
func (n *Node) Stop() {
	n.cancel()
	n.chat.Close()
	// The owner first: it dials, and the socket library must not be stopped under a dial.
	close(n.done)
	n.in.close()
	n.room.close()
	if n.peers != nil {
		n.peers.conn.Close()
	}
	n.over.Wait()
	n.front.Stop()
	n.back.Stop()
	n.frontBarrier.close()
	n.backBarrier.close()
}

// connOpened and connUsed order what is written of a connection when it opens before what its poller reads of
// it later. The socket library leaves that to the kernel, which the race detector does not see.
func (n *Node) connOpened() { n.opened.Add(1) }

func (n *Node) connUsed() { n.opened.Load() }
