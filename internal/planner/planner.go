// Package plan is the planner on sockets: it asks engines and takes edges' reports, hands them to roles,
// keeps what roles wants kept before anything that follows from it, and streams plans to edges. It decides
// nothing itself.
package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/assignment"
	"sandcourse/internal/planner/planapi"
)

// Planner is one running planner.
type Planner struct {
	settings *config.Planner
	log      *zap.Logger
	store    *Store
	term     int64
	started  time.Time

	events   chan func()
	core     *assignment.Controller
	kinds    map[string]config.EngineKind
	listener net.Listener
	server   *http.Server
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	// OnPublish, if set before Start, is told of each plan before edges can have it.
	OnPublish func(planapi.Plan)
	// Crash, if set before Start, is asked before each effect; true ends the planner there, as a kill would.
	CrashBefore func(assignment.Action) bool

	mu              sync.Mutex
	planLine        []byte // the newest plan, as sent
	planNumber      int64
	planMadeAt      time.Time // when it was made
	planChanged     chan struct{}
	polledEngines   []string // to ask
	changingEngines []string // those that are changing
	streams         int

	unsavedRecords map[string]assignment.Record // what could not be kept yet
	unsavedMeta    assignment.Meta
	saveFailing    bool
	metrics        metrics
}

// Bounds of the planner's sockets.
const (
	maxStreams           = 5000
	eventQueueLength     = 4096
	pollers              = 16
	pollTimeout          = time.Second
	pollInterval         = time.Second
	changingPollInterval = 100 * time.Millisecond // between two questions to an engine that is changing
	heartbeatInterval    = time.Second            // a stream with no news says at least this often that it is there
)

// New makes a planner; Start runs it.
func New(settings *config.Planner, log *zap.Logger) *Planner {
	p := &Planner{settings: settings, log: log, events: make(chan func(), eventQueueLength), started: time.Now(),
		planChanged: make(chan struct{}),
		kinds:       map[string]config.EngineKind{}, unsavedRecords: map[string]assignment.Record{}, metrics: newMetrics()}
	for _, k := range settings.Kinds {
		p.kinds[k.Name] = k
	}
	p.client = &http.Client{Timeout: pollTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2,
		MaxConnsPerHost: 4,
		IdleConnTimeout: time.Minute}}
	return p
}

// now is Unix nanoseconds that never go back within a life.
func (p *Planner) now() int64 { return p.started.UnixNano() + int64(time.Since(p.started)) }

// A disk may be full or fail for a while: the store is tried again for so long before the planner gives its start up.
const (
	storeOpenTimeout       = 30 * time.Second
	storeOpenRetryInterval = 200 * time.Millisecond
)

func (p *Planner) openStore() (*Store, StoredState, error) {
	end := time.Now().Add(storeOpenTimeout)
	for {
		store, stored, err := Open(p.settings.Store)
		if err == nil || !retryable(err) || time.Now().After(end) {
			return store, stored, err
		}
		p.log.Warn("store", zap.Error(err))
		time.Sleep(storeOpenRetryInterval)
	}
}

// retryable is whether the system may let a store be opened later. What is not there or not permitted stays so.
func retryable(err error) bool {
	return isSystemError(err) && !errors.Is(err, os.ErrPermission) && !errors.Is(err, os.ErrNotExist)
}

// Start opens the store, takes a new term, and runs until Stop.
func (p *Planner) Start() error {
	store, stored, err := p.openStore()
	if err != nil {
		return err
	}
	p.store = store
	for _, f := range stored.Faults {
		p.log.Error("store", zap.String("fault", f))
	}
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
	p.core = assignment.New(p.settings.Assignment, p.term, p.now(), stored.Records, stored.Meta)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+planapi.StreamPath, p.serveStream)
	mux.HandleFunc("POST "+planapi.ReportPath, p.serveEdgeReport)
	mux.HandleFunc("GET "+planapi.RolesPath, p.serveStatus)
	mux.HandleFunc("POST "+planapi.OrderPath, p.serveOperatorOrder)
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.metrics.registry, promhttp.HandlerOpts{}))
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	p.tasks.Go(func() { p.server.Serve(p.listener) })
	p.tasks.Go(p.run)
	p.tasks.Go(p.pollEngines)
	p.tasks.Go(func() {
		take := func(list endpoint.List) {
			p.enqueue(func() { p.step(assignment.EnginesListed{Engines: p.engineRecords(list)}) })
		}
		endpoint.FileSource{Path: p.settings.EndpointFile}.Run(p.ctx, take, func(err error) {
			p.log.Warn("roster",
				zap.Error(err))
		})
	})
	p.log.Info("planning", zap.String("at", p.Addr()), zap.Int64("term", p.term), zap.Int("records",
		len(stored.Records)))
	return nil
}

// nextTerm is over all that this store had. A planner whose store is new and whose engines follow another one
// would fence that one off, so it only starts if it is told to.
func (p *Planner) nextTerm(stored StoredState) (int64, error) {
	if stored.Term > 0 {
		return stored.Term + 1, nil
	}
	data, err := readEndpointFile(p.settings.EndpointFile)
	if err != nil {
		return 1, nil // nothing is known of engines yet
	}
	list, err := endpoint.Parse(data)
	if err != nil {
		return 1, nil
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	most, at := int64(0), ""
	room := make(chan struct{}, pollers)
	for _, e := range list.Entries {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if r, err := p.poll(p.ctx, e.ID); err == nil {
				mu.Lock()
				if r.Term > most {
					most, at = r.Term, e.ID
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if most > 0 && !p.settings.TakeOver {
		return 0, fmt.Errorf("store %s is new, and %s follows a planner of term %d; if that one is gone for good, start with --take-over",
			p.settings.Store, at, most)
	}
	return most + 1, nil
}

// Addr is where it listens.
func (p *Planner) Addr() string { return p.listener.Addr().String() }

// Stop ends it. Half-done changes are taken up by the next life.
func (p *Planner) Stop() {
	p.cancel()
	p.server.Close()
	p.tasks.Wait()
	p.store.Close()
	p.client.CloseIdleConnections()
}

// Done is closed when the planner ends.
func (p *Planner) Done() <-chan struct{} { return p.ctx.Done() }

func (p *Planner) enqueue(event func()) {
	select {
	case p.events <- event:
	case <-p.ctx.Done():
	}
}

// run is the one goroutine that owns the core.
func (p *Planner) run() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case event := <-p.events:
			event()
		case <-tick.C:
			if p.saveFailing {
				p.save(assignment.Persist{Meta: p.unsavedMeta})
			}
			p.step(assignment.Tick{})
			p.metrics.observe(p.core)
		}
	}
}

func (p *Planner) step(in assignment.Event) { p.applyEffects(p.core.Step(p.now(), in)) }

// applyEffects does what roles decided, in order. What could not be kept must not be followed by what hangs on
// it: until a save goes well nothing is asked or published, and asking again is roles' habit anyway.
func (p *Planner) applyEffects(effects []assignment.Action) {
	for _, e := range effects {
		if p.ctx.Err() != nil {
			return
		}
		if p.CrashBefore != nil && p.CrashBefore(e) {
			p.cancel()
			return
		}
		switch e := e.(type) {
		case assignment.Persist:
			p.save(e)
		case assignment.PublishPlan:
			if !p.saveFailing {
				p.publish(e.Plan)
			}
		case assignment.SendRoleOrder:
			if !p.saveFailing {
				p.tasks.Go(func() { p.sendRoleOrder(e) })
			}
		case assignment.StartTrial:
			if !p.saveFailing {
				p.tasks.Go(func() {
					err := p.runTrial(e)
					in := assignment.TrialEnded{Engine: e.Engine, Number: e.Number, OK: err == nil}
					if err != nil {
						in.Reason = err.Error()
					}
					p.enqueue(func() { p.step(in) })
				})
			}
		case assignment.NotifyOperators:
			p.log.Warn("roles", zap.String("what", e.Text))
		case assignment.StepDown:
			p.log.Error("deposed: this planner orders and publishes nothing more", zap.Int64("by_term",
				e.Term))
			p.mu.Lock()
			p.planLine = nil // edges that ask are sent away
			close(p.planChanged)
			p.planChanged = make(chan struct{})
			p.mu.Unlock()
		}
	}
	p.updatePollTargets()
}

func (p *Planner) save(k assignment.Persist) {
	for _, r := range k.Records {
		p.unsavedRecords[r.Engine] = r
	}
	p.unsavedMeta = k.Meta
	k.Records = k.Records[:0:0]
	for _, r := range p.unsavedRecords {
		k.Records = append(k.Records, r)
	}
	if err := p.store.Save(k); err != nil {
		if !p.saveFailing {
			p.log.Error("nothing can be kept: no order and no plan goes out until it can", zap.Error(err))
		}
		p.saveFailing = true
		return
	}
	clear(p.unsavedRecords)
	if p.saveFailing {
		p.saveFailing = false
		p.log.Info("kept again")
		p.publish(p.core.Plan())
	}
}

func (p *Planner) publish(plan planapi.Plan) {
	line, err := json.Marshal(plan)
	if err != nil {
		p.log.Error("plan", zap.Error(err))
		return
	}
	if p.OnPublish != nil {
		p.OnPublish(plan)
	}
	p.mu.Lock()
	p.planLine, p.planNumber, p.planMadeAt = append(line, '\n'), plan.Number, time.Now()
	close(p.planChanged)
	p.planChanged = make(chan struct{})
	p.mu.Unlock()
	p.metrics.plans.Inc()
}

// updatePollTargets notes which engines to ask, and which of them often.
func (p *Planner) updatePollTargets() {
	all, urgent := p.core.ReportTargets()
	p.mu.Lock()
	p.polledEngines, p.changingEngines = all, urgent
	p.mu.Unlock()
}

// engineRecords are discovery's engines as roles knows them.
func (p *Planner) engineRecords(list endpoint.List) (row []assignment.ListedEngine) {
	for _, e := range list.Entries {
		k, ok := p.kinds[e.Kind]
		if !ok || k.Role == "both" {
			p.log.Warn("an engine of a kind that changes nothing here is left out", zap.String("engine",
				e.ID), zap.String("kind", e.Kind))
			continue
		}
		b := assignment.ListedEngine{Engine: e.ID, Role: k.Role, Zone: e.Zone, Cell: e.Cell, Weight: e.Weight,
			Ready:   e.State == endpoint.Ready,
			UpSince: e.StartedAtMs * int64(time.Millisecond), Kinds: map[string]string{k.Role: k.Name}}
		for _, pair := range p.settings.RolePairs {
			if pair.Has(k.Name) {
				for _, name := range []string{pair.PrefillKind, pair.DecodeKind} {
					b.Kinds[p.kinds[name].Role] = name
				}
				b.CanChange = true
			}
		}
		row = append(row, b)
	}
	return row
}

// ---- engines

// pollEngines asks all engines for their reports, those that are changing more often.
func (p *Planner) pollEngines() {
	jobs := make(chan string)
	var workers sync.WaitGroup
	for range pollers {
		workers.Go(func() {
			for engine := range jobs {
				asked := p.now()
				r, err := p.poll(p.ctx, engine)
				if err != nil {
					continue // that nothing was heard of it is seen by the time
				}
				p.enqueue(func() {
					p.step(assignment.EngineReported{RequestedAt: asked, Report: r})
				})
			}
		})
	}
	defer workers.Wait()
	defer close(jobs)
	tick := time.NewTicker(changingPollInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		all, urgent := p.polledEngines, p.changingEngines
		p.mu.Unlock()
		// Each tick asks a tenth of all: an even load on both sides.
		const parts = int(pollInterval / changingPollInterval)
		row := slices.Clone(urgent)
		for i := n % parts; i < len(all); i += parts {
			if !slices.Contains(urgent, all[i]) {
				row = append(row, all[i])
			}
		}
		for _, engine := range row {
			select {
			case jobs <- engine:
			case <-p.ctx.Done():
				return
			}
		}
	}
}

func (p *Planner) poll(ctx context.Context, engine string) (planapi.EngineReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+loadPath, nil)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	answer, err := p.client.Do(r)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, planapi.MaxReportBytes+1))
	if err != nil {
		return planapi.EngineReport{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return planapi.EngineReport{}, errors.New(answer.Status)
	}
	report, err := planapi.ParseEngineReport(data)
	report.Engine = engine
	return report, err
}

// sendRoleOrder sends an order; whether it arrived shows in the engine's reports.
func (p *Planner) sendRoleOrder(a assignment.SendRoleOrder) {
	data, err := json.Marshal(a.Order)
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+a.Engine+planapi.RolePath,
		strings.NewReader(string(data)))
	if err != nil {
		return
	}
	answer, err := p.client.Do(r)
	if err != nil {
		p.log.Info("order not delivered", zap.String("engine", a.Engine), zap.Error(err))
		return
	}
	io.Copy(io.Discard, io.LimitReader(answer.Body, 4096))
	answer.Body.Close()
	p.log.Info("order", zap.String("engine", a.Engine), zap.String("role", a.Order.Role), zap.Int64("epoch",
		a.Order.Epoch),
		zap.Bool("drain", a.Order.Drain), zap.Int("status", answer.StatusCode))
}

// ---- edges and operators

func (p *Planner) serveStream(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	if p.streams >= maxStreams {
		p.mu.Unlock()
		http.Error(w, "as many edges follow as may", http.StatusServiceUnavailable)
		return
	}
	p.streams++
	p.mu.Unlock()
	p.metrics.streams.Inc()
	defer func() {
		p.mu.Lock()
		p.streams--
		p.mu.Unlock()
		p.metrics.streams.Dec()
	}()
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	beats := time.NewTicker(heartbeatInterval)
	defer beats.Stop()
	sent := int64(0)
	for {
		p.mu.Lock()
		line, number, made, changed := p.planLine, p.planNumber, p.planMadeAt, p.planChanged
		p.mu.Unlock()
		// A slow edge gets the newest plan when it has taken the one before: there is no queue.
		out.SetWriteDeadline(time.Now().Add(5 * time.Second))
		var err error
		switch {
		case line == nil && sent > 0:
			return // deposed
		case line != nil && number != sent:
			sent = number
			_, err = w.Write(withUptimeAdded(line, time.Since(made)))
		default:
			_, err = w.Write([]byte("\n"))
		}
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			return
		}
		select {
		case <-changed:
		case <-beats.C:
		case <-r.Context().Done():
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// withUptimeAdded is a plan as it reads some time after it was made: engines have been up for longer.
func withUptimeAdded(line []byte, by time.Duration) []byte {
	if by < 50*time.Millisecond {
		return line
	}
	var plan planapi.Plan
	if json.Unmarshal(line, &plan) != nil {
		return line
	}
	for i := range plan.Engines {
		if plan.Engines[i].UptimeMillis > 0 {
			plan.Engines[i].UptimeMillis += by.Milliseconds()
		}
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return line
	}
	return append(data, '\n')
}

func (p *Planner) readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, planapi.MaxReportBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return data, err == nil
}

func (p *Planner) serveEdgeReport(w http.ResponseWriter, r *http.Request) {
	data, ok := p.readBody(w, r)
	if !ok {
		return
	}
	report, err := planapi.ParseEdgeReport(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.enqueue(func() { p.step(assignment.EdgeReported{Report: report}) })
	w.WriteHeader(http.StatusNoContent)
}

// Status is what operators see.
type Status struct {
	Term           int64                   `json:"term"`
	Number         int64                   `json:"number"`
	Deposed        bool                    `json:"deposed"`
	SaveFailing    bool                    `json:"stuck"`
	FollowingEdges int                     `json:"edges_following"`
	Engines        []assignment.EngineView `json:"engines"`
	Decision       assignment.Decision     `json:"decision"`
}

func (p *Planner) serveStatus(w http.ResponseWriter, r *http.Request) {
	got := make(chan Status, 1)
	p.enqueue(func() {
		s := Status{Term: p.term, Deposed: p.core.SteppedDown(), SaveFailing: p.saveFailing, Engines: p.core.Engines(),
			Decision: p.core.LastDecision()}
		p.mu.Lock()
		s.Number, s.FollowingEdges = p.planNumber, p.streams
		p.mu.Unlock()
		got <- s
	})
	select {
	case s := <-got:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(s)
	case <-r.Context().Done():
	case <-p.ctx.Done():
		http.Error(w, "the planner stops", http.StatusServiceUnavailable)
	}
}

func (p *Planner) serveOperatorOrder(w http.ResponseWriter, r *http.Request) {
	data, ok := p.readBody(w, r)
	if !ok {
		return
	}
	o, err := planapi.ParseOrder(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	type answer struct {
		text string
		err  error
	}
	got := make(chan answer, 1)
	p.enqueue(func() {
		if p.core.SteppedDown() {
			got <- answer{err: errors.New("this planner is deposed")}
			return
		}
		text, effects, err := p.core.ApplyOrder(p.now(), o)
		if err == nil {
			p.applyEffects(effects)
			if p.saveFailing {
				err = errors.New("it could not be kept, and takes effect once it can")
			}
		}
		p.log.Info("operator", zap.String("op", o.Operation), zap.String("engine", o.Engine), zap.String("who",
			o.Operator), zap.String("why", o.Reason),
			zap.Bool("dry", o.DryRun), zap.Error(err))
		got <- answer{text, err}
	})
	select {
	case a := <-got:
		if a.err != nil {
			http.Error(w, a.err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, a.text)
	case <-r.Context().Done():
	case <-p.ctx.Done():
		http.Error(w, "the planner stops", http.StatusServiceUnavailable)
	}
}

// metrics are the planner's metrics.
type metrics struct {
	registry      *prometheus.Registry
	plans         prometheus.Counter
	streams       prometheus.Gauge
	engines       *prometheus.GaugeVec
	neededEngines *prometheus.GaugeVec
}

func newMetrics() metrics {
	m := metrics{registry: prometheus.NewRegistry(),
		plans: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_plans_total",
			Help: "Plans published."}),
		streams: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_plan_streams",
			Help: "Edges that follow."}),
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_roles",
			Help: "Engines by role and state."},
			[]string{"role", "state"}),
		neededEngines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_roles_needed",
			Help: "Engines that what arrives keeps busy, by role."}, []string{"role"})}
	m.registry.MustRegister(m.plans, m.streams, m.engines, m.neededEngines)
	return m
}

func (m metrics) observe(c *assignment.Controller) {
	m.engines.Reset()
	for as, n := range c.CountEngines() {
		m.engines.WithLabelValues(as[0], as[1]).Set(float64(n))
	}
	for role, need := range c.LastDecision().RequiredEngines {
		m.neededEngines.WithLabelValues(role).Set(need)
	}
}
