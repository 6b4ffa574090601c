// Package planner implements the planner's server. It polls engines and receives reports from edges, passes both to package
// assignment, which makes all decisions, and executes the resulting actions: it saves records before anything that depends on
// them, sends role orders to engines and streams plans to edges.
package planner

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// Planner is a planner server. Its event loop owns the controller and the saver; other parts are safe for concurrent use.
type Planner struct {
	settings  *config.Planner
	log       *zap.Logger
	store     *Store
	term      int64
	startedAt time.Time

	events     chan func()
	controller *assignment.Controller
	saver      *recordSaver
	poller     *poller
	stream     *planStream
	metrics    metrics
	kinds      map[string]config.EngineKind
	listener   net.Listener
	server     *http.Server
	client     *http.Client
	ctx        context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	// OnPublish, if set before Start, is called with each plan before it is sent to edges.
	OnPublish func(planapi.Plan)
	// CrashBefore, if set before Start, is called before each action; if it returns true, the planner stops as if killed.
	CrashBefore func(assignment.Action) bool
}

// Limits of the planner's event loop and its connections.
const (
	eventQueueLength           = 4096
	tickInterval               = 100 * time.Millisecond
	engineRequestTimeout       = time.Second
	maxConnectionsToEngine     = 4
	maxIdleConnectionsToEngine = 2
	engineIdleTimeout          = time.Minute
	headerTimeout              = 5 * time.Second
	maxHeaderBytes             = 16 << 10
	maxDiscardedBody           = 4096 // limit on the bytes read of an unused response body
)

// New returns a planner that has not been started.
func New(settings *config.Planner, log *zap.Logger) *Planner {
	p := &Planner{
		settings:  settings,
		log:       log,
		startedAt: time.Now(),
		events:    make(chan func(), eventQueueLength),
		metrics:   newMetrics(),
		kinds:     map[string]config.EngineKind{},
		client: &http.Client{Timeout: engineRequestTimeout, Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnectionsToEngine,
			MaxConnsPerHost:     maxConnectionsToEngine,
			IdleConnTimeout:     engineIdleTimeout,
		}},
	}
	for _, kind := range settings.Kinds {
		p.kinds[kind.Name] = kind
	}
	p.stream = newPlanStream(p.metrics.streams)
	p.poller = &poller{client: p.client, now: p.now, deliverEvent: p.enqueueEvent}
	return p
}

// now returns the time in Unix nanoseconds. It never decreases while the planner runs.
func (p *Planner) now() int64 { return p.startedAt.UnixNano() + int64(time.Since(p.startedAt)) }

// serveHTTP serves edges and operators until Stop closes the server.
func (p *Planner) serveHTTP() {
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		p.log.Error("HTTP server failed", zap.Error(err))
	}
}

// Start opens the store, starts a new term, and runs the planner until Stop.
func (p *Planner) Start() error {
	store, stored, err := openWithRetry(p.settings.Store, p.log)
	if err != nil {
		return err
	}
	for _, fault := range stored.Faults {
		p.log.Error("stored record not readable", zap.Error(fault))
	}
	p.store, p.saver = store, newRecordSaver(store, p.log)
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.term, err = p.nextTerm(stored); err == nil {
		err = store.SaveTerm(p.term)
	}
	if err == nil {
		p.listener, err = net.Listen("tcp", p.settings.Listen)
	}
	if err != nil {
		store.Close()
		return err
	}
	p.controller = assignment.New(p.settings.Assignment, p.term, p.now(), stored.Records, stored.Meta)
	p.server = &http.Server{Handler: p.routes(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	p.tasks.Go(p.serveHTTP)
	p.tasks.Go(p.run)
	p.tasks.Go(func() { p.poller.run(p.ctx) })
	p.tasks.Go(p.watchEndpointFile)
	p.log.Info("planner started", zap.String("address", p.Addr()), zap.Int64("term", p.term),
		zap.Int("records", len(stored.Records)))
	return nil
}

// routes returns the handlers of the planner's paths.
func (p *Planner) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+planapi.StreamPath, p.serveStream)
	mux.HandleFunc("POST "+planapi.ReportPath, p.serveEdgeReport)
	mux.HandleFunc("GET "+planapi.RolesPath, p.serveStatus)
	mux.HandleFunc("POST "+planapi.OrderPath, p.serveOperatorOrder)
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

// Addr returns the address that the planner listens on.
func (p *Planner) Addr() string { return p.listener.Addr().String() }

// Stop shuts the planner down. The next planner on the same store continues incomplete role changes.
func (p *Planner) Stop() {
	p.cancel()
	p.server.Close()
	p.tasks.Wait()
	p.store.Close()
	p.client.CloseIdleConnections()
}

// Done returns a channel that is closed when the planner stops.
func (p *Planner) Done() <-chan struct{} { return p.ctx.Done() }

// enqueue adds a function to the queue of the event loop.
func (p *Planner) enqueue(event func()) {
	select {
	case p.events <- event:
	case <-p.ctx.Done():
	}
}

// enqueueEvent adds a controller event to the queue of the event loop.
func (p *Planner) enqueueEvent(event assignment.Event) { p.enqueue(func() { p.step(event) }) }

// run is the event loop: the one goroutine that owns the controller and the saver.
func (p *Planner) run() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case event := <-p.events:
			event()
		case <-tick.C:
			if p.saver.retryFailed() {
				p.publish(p.controller.Plan())
			}
			p.step(assignment.Tick{})
			p.metrics.observe(p.controller)
		}
	}
}

func (p *Planner) step(event assignment.Event) { p.executeActions(p.controller.Step(p.now(), event)) }

// executeActions executes the controller's actions in order. While saving fails, no order, trial or plan is sent, as it would
// depend on records that are not saved. No order is lost, as the controller sends orders again until they are followed.
func (p *Planner) executeActions(actions []assignment.Action) {
	for _, action := range actions {
		if p.ctx.Err() != nil {
			return
		}
		if p.CrashBefore != nil && p.CrashBefore(action) {
			p.cancel()
			return
		}
		p.executeAction(action)
	}
	p.poller.setTargets(p.controller.ReportTargets())
}

func (p *Planner) executeAction(action assignment.Action) {
	switch action := action.(type) {
	case assignment.Persist:
		if p.saver.save(action) {
			p.publish(p.controller.Plan())
		}
	case assignment.PublishPlan:
		if !p.saver.failing {
			p.publish(action.Plan)
		}
	case assignment.SendRoleOrder:
		if !p.saver.failing {
			p.tasks.Go(func() { p.sendRoleOrder(action) })
		}
	case assignment.StartTrial:
		if !p.saver.failing {
			p.tasks.Go(func() { p.enqueueEvent(p.runTrial(action)) })
		}
	case assignment.EngineQuarantined:
		p.log.Warn("engine quarantined", zap.String("engine", action.Engine), zap.String("fault", action.Fault),
			zap.Duration("retry_after", action.RetryAfter))
	case assignment.DrainTimedOut:
		p.log.Warn("drain timed out", zap.String("engine", action.Engine), zap.Duration("timeout", action.Timeout))
	case assignment.LaterTermFollowed:
		p.log.Warn("engine follows a planner with a later term", zap.String("engine", action.Engine),
			zap.Int64("term", action.Term), zap.Int64("own_term", action.OwnTerm))
	case assignment.StepDown:
		p.log.Error("planner deposed", zap.Int64("by_term", action.Term))
		p.stream.close()
	}
}

// publish encodes a plan and makes it the newest plan of the stream.
func (p *Planner) publish(plan planapi.Plan) {
	line, err := json.Marshal(plan)
	if err != nil {
		p.log.Error("plan encoding failed", zap.Error(err))
		return
	}
	if p.OnPublish != nil {
		p.OnPublish(plan)
	}
	p.stream.publish(append(line, '\n'), plan.Number)
	p.metrics.plans.Inc()
}

// watchEndpointFile passes each version of the endpoint file to the controller.
func (p *Planner) watchEndpointFile() {
	handleList := func(list endpoint.List) {
		p.enqueue(func() { p.step(assignment.EnginesListed{Engines: p.listedEngines(list)}) })
	}
	reportFault := func(err error) { p.log.Warn("endpoint file not usable", zap.Error(err)) }
	endpoint.FileSource{Path: p.settings.EndpointFile}.Run(p.ctx, handleList, reportFault)
}

// listedEngines converts an endpoint list to the controller's engines.
func (p *Planner) listedEngines(list endpoint.List) (engines []assignment.ListedEngine) {
	for _, entry := range list.Entries {
		kind, known := p.kinds[entry.Kind]
		if !known || kind.Role == config.RoleBoth {
			p.log.Warn("engine ignored: kind is unknown or has both roles", zap.String("engine", entry.ID),
				zap.String("kind", entry.Kind))
			continue
		}
		engine := assignment.ListedEngine{
			Engine:  entry.ID,
			Role:    string(kind.Role),
			Zone:    entry.Zone,
			Cell:    entry.Cell,
			Weight:  entry.Weight,
			Ready:   entry.State == endpoint.Ready,
			UpSince: entry.StartedAtMs * int64(time.Millisecond),
			Kinds:   map[string]string{string(kind.Role): kind.Name},
		}
		for _, pair := range p.settings.RolePairs {
			if pair.Has(kind.Name) {
				engine.Kinds[string(p.kinds[pair.PrefillKind].Role)] = pair.PrefillKind
				engine.Kinds[string(p.kinds[pair.DecodeKind].Role)] = pair.DecodeKind
				engine.CanChange = true
			}
		}
		engines = append(engines, engine)
	}
	return engines
}
