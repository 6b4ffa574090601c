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
	d     *config.Planning
	log   *zap.Logger
	store *Store
	term  int64
	began time.Time

	in     chan func()
	core   *assignment.Controller
	kinds  map[string]config.EngineKind
	listen net.Listener
	server *http.Server
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	over   sync.WaitGroup

	// OnPublish, if set before Start, is told of each plan before edges can have it.
	OnPublish func(planapi.Plan)
	// Crash, if set before Start, is asked before each effect; true ends the planner there, as a kill would.
	Crash func(assignment.Action) bool

	mu      sync.Mutex
	line    []byte // the newest plan, as sent
	number  int64
	sent    time.Time // when it was made
	changed chan struct{}
	engines []string // to ask
	urgent  []string // those that are changing
	streams int

	unkept   map[string]assignment.Record // what could not be kept yet
	unkeptAs assignment.Meta
	stuck    bool
	meters   meters
}

// Bounds of the planner's sockets.
const (
	maxStreams = 5000
	maxInbox   = 4096
	askers     = 16
	askTime    = time.Second
	askEvery   = time.Second
	urgentTime = 100 * time.Millisecond // between two questions to an engine that is changing
	beat       = time.Second            // a stream with no news says at least this often that it is there
)

// New makes a planner; Start runs it.
func New(d *config.Planning, log *zap.Logger) *Planner {
	p := &Planner{d: d, log: log, in: make(chan func(), maxInbox), began: time.Now(),
		changed: make(chan struct{}),
		kinds:   map[string]config.EngineKind{}, unkept: map[string]assignment.Record{}, meters: newMeters()}
	for _, k := range d.Kinds {
		p.kinds[k.Name] = k
	}
	p.client = &http.Client{Timeout: askTime, Transport: &http.Transport{MaxIdleConnsPerHost: 2,
		MaxConnsPerHost: 4,
		IdleConnTimeout: time.Minute}}
	return p
}

// clock is Unix nanoseconds that never go back within a life.
func (p *Planner) clock() int64 { return p.began.UnixNano() + int64(time.Since(p.began)) }

// A disk may be full or fail for a while: the store is tried again for so long before the planner gives its start up.
const (
	storeTime  = 30 * time.Second
	storePause = 200 * time.Millisecond
)

func (p *Planner) openStore() (*Store, Kept, error) {
	end := time.Now().Add(storeTime)
	for {
		store, kept, err := Open(p.d.Store)
		if err == nil || !retriable(err) || time.Now().After(end) {
			return store, kept, err
		}
		p.log.Warn("store", zap.Error(err))
		time.Sleep(storePause)
	}
}

// retriable is whether the system may let a store be opened later. What is not there or not permitted stays so.
func retriable(err error) bool {
	return ofTheSystem(err) && !errors.Is(err, os.ErrPermission) && !errors.Is(err, os.ErrNotExist)
}

// Start opens the store, takes a new term, and runs until Stop.
func (p *Planner) Start() error {
	store, kept, err := p.openStore()
	if err != nil {
		return err
	}
	p.store = store
	for _, f := range kept.Faults {
		p.log.Error("store", zap.String("fault", f))
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if p.term, err = p.newTerm(kept); err == nil {
		err = store.SaveTerm(p.term)
	}
	if err == nil {
		p.listen, err = net.Listen("tcp", p.d.Listen)
	}
	if err != nil {
		store.Close()
		return err
	}
	p.core = assignment.New(p.d.Roles, p.term, p.clock(), kept.Records, kept.Meta)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+planapi.StreamPath, p.serveStream)
	mux.HandleFunc("POST "+planapi.ReportPath, p.serveReport)
	mux.HandleFunc("GET "+planapi.RolesPath, p.serveRoles)
	mux.HandleFunc("POST "+planapi.OrderPath, p.serveOrder)
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.meters.registry, promhttp.HandlerOpts{}))
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	p.over.Go(func() { p.server.Serve(p.listen) })
	p.over.Go(p.loop)
	p.over.Go(p.askAll)
	p.over.Go(func() {
		take := func(list endpoint.List) { p.put(func() { p.step(assignment.EnginesListed{Engines: p.boxes(list)}) }) }
		endpoint.FileSource{Path: p.d.Roster}.Run(p.ctx, take, func(err error) {
			p.log.Warn("roster",
				zap.Error(err))
		})
	})
	p.log.Info("planning", zap.String("at", p.Addr()), zap.Int64("term", p.term), zap.Int("records",
		len(kept.Records)))
	return nil
}

// newTerm is over all that this store had. A planner whose store is new and whose engines follow another one
// would fence that one off, so it only starts if it is told to.
func (p *Planner) newTerm(kept Kept) (int64, error) {
	if kept.Term > 0 {
		return kept.Term + 1, nil
	}
	data, err := readFile(p.d.Roster)
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
	room := make(chan struct{}, askers)
	for _, e := range list.Entries {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			if r, err := p.ask(p.ctx, e.ID); err == nil {
				mu.Lock()
				if r.Term > most {
					most, at = r.Term, e.ID
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if most > 0 && !p.d.TakeOver {
		return 0, fmt.Errorf("store %s is new, and %s follows a planner of term %d; if that one is gone for good, start with --take-over",
			p.d.Store, at, most)
	}
	return most + 1, nil
}

// Addr is where it listens.
func (p *Planner) Addr() string { return p.listen.Addr().String() }

// Stop ends it. Half-done changes are taken up by the next life.
func (p *Planner) Stop() {
	p.cancel()
	p.server.Close()
	p.over.Wait()
	p.store.Close()
	p.client.CloseIdleConnections()
}

// Done is closed when the planner ends.
func (p *Planner) Done() <-chan struct{} { return p.ctx.Done() }

func (p *Planner) put(event func()) {
	select {
	case p.in <- event:
	case <-p.ctx.Done():
	}
}

// loop is the one goroutine that owns the core.
func (p *Planner) loop() {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case event := <-p.in:
			event()
		case <-tick.C:
			if p.stuck {
				p.keep(assignment.Persist{Meta: p.unkeptAs})
			}
			p.step(assignment.Tick{})
			p.meters.see(p.core)
		}
	}
}

func (p *Planner) step(in assignment.Event) { p.carryOut(p.core.Step(p.clock(), in)) }

// carryOut does what roles decided, in order. What could not be kept must not be followed by what hangs on
// it: until a save goes well nothing is asked or published, and asking again is roles' habit anyway.
func (p *Planner) carryOut(effects []assignment.Action) {
	for _, e := range effects {
		if p.ctx.Err() != nil {
			return
		}
		if p.Crash != nil && p.Crash(e) {
			p.cancel()
			return
		}
		switch e := e.(type) {
		case assignment.Persist:
			p.keep(e)
		case assignment.PublishPlan:
			if !p.stuck {
				p.publish(e.Plan)
			}
		case assignment.SendRoleOrder:
			if !p.stuck {
				p.over.Go(func() { p.order(e) })
			}
		case assignment.StartTrial:
			if !p.stuck {
				p.over.Go(func() {
					err := p.try(e)
					in := assignment.TrialEnded{Engine: e.Engine, Number: e.Number, OK: err == nil}
					if err != nil {
						in.Reason = err.Error()
					}
					p.put(func() { p.step(in) })
				})
			}
		case assignment.NotifyOperators:
			p.log.Warn("roles", zap.String("what", e.Text))
		case assignment.StepDown:
			p.log.Error("deposed: this planner orders and publishes nothing more", zap.Int64("by_term",
				e.Term))
			p.mu.Lock()
			p.line = nil // edges that ask are sent away
			close(p.changed)
			p.changed = make(chan struct{})
			p.mu.Unlock()
		}
	}
	p.whom()
}

func (p *Planner) keep(k assignment.Persist) {
	for _, r := range k.Records {
		p.unkept[r.Engine] = r
	}
	p.unkeptAs = k.Meta
	k.Records = k.Records[:0:0]
	for _, r := range p.unkept {
		k.Records = append(k.Records, r)
	}
	if err := p.store.Save(k); err != nil {
		if !p.stuck {
			p.log.Error("nothing can be kept: no order and no plan goes out until it can", zap.Error(err))
		}
		p.stuck = true
		return
	}
	clear(p.unkept)
	if p.stuck {
		p.stuck = false
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
	p.line, p.number, p.sent = append(line, '\n'), plan.Number, time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
	p.mu.Unlock()
	p.meters.plans.Inc()
}

// whom notes which engines to ask, and which of them often.
func (p *Planner) whom() {
	all, urgent := p.core.ReportTargets()
	p.mu.Lock()
	p.engines, p.urgent = all, urgent
	p.mu.Unlock()
}

// boxes are discovery's engines as roles knows them.
func (p *Planner) boxes(list endpoint.List) (row []assignment.ListedEngine) {
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
		for _, pair := range p.d.Pairs {
			if pair[0] == k.Name || pair[1] == k.Name {
				for _, name := range pair {
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

// askAll asks all engines for their reports, those that are changing more often.
func (p *Planner) askAll() {
	jobs := make(chan string)
	var workers sync.WaitGroup
	for range askers {
		workers.Go(func() {
			for engine := range jobs {
				asked := p.clock()
				r, err := p.ask(p.ctx, engine)
				if err != nil {
					continue // that nothing was heard of it is seen by the time
				}
				p.put(func() {
					p.step(assignment.EngineReported{RequestedAt: asked, Report: r})
				})
			}
		})
	}
	defer workers.Wait()
	defer close(jobs)
	tick := time.NewTicker(urgentTime)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		all, urgent := p.engines, p.urgent
		p.mu.Unlock()
		// Each tick asks a tenth of all: an even load on both sides.
		const parts = int(askEvery / urgentTime)
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

func (p *Planner) ask(ctx context.Context, engine string) (planapi.EngineReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+engine+loadPath, nil)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	answer, err := p.client.Do(r)
	if err != nil {
		return planapi.EngineReport{}, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, planapi.MaxReport+1))
	if err != nil {
		return planapi.EngineReport{}, err
	}
	if answer.StatusCode != http.StatusOK {
		return planapi.EngineReport{}, errors.New(answer.Status)
	}
	report, err := planapi.ReadEngineReport(data)
	report.Engine = engine
	return report, err
}

// order sends an order; whether it arrived shows in the engine's reports.
func (p *Planner) order(a assignment.SendRoleOrder) {
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
	p.meters.streams.Inc()
	defer func() {
		p.mu.Lock()
		p.streams--
		p.mu.Unlock()
		p.meters.streams.Dec()
	}()
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	beats := time.NewTicker(beat)
	defer beats.Stop()
	sent := int64(0)
	for {
		p.mu.Lock()
		line, number, made, changed := p.line, p.number, p.sent, p.changed
		p.mu.Unlock()
		// A slow edge gets the newest plan when it has taken the one before: there is no queue.
		out.SetWriteDeadline(time.Now().Add(5 * time.Second))
		var err error
		switch {
		case line == nil && sent > 0:
			return // deposed
		case line != nil && number != sent:
			sent = number
			_, err = w.Write(aged(line, time.Since(made)))
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

// aged is a plan as it reads some time after it was made: engines have been up for longer.
func aged(line []byte, by time.Duration) []byte {
	if by < 50*time.Millisecond {
		return line
	}
	var plan planapi.Plan
	if json.Unmarshal(line, &plan) != nil {
		return line
	}
	for i := range plan.Engines {
		if plan.Engines[i].UpFor > 0 {
			plan.Engines[i].UpFor += by.Milliseconds()
		}
	}
	data, err := json.Marshal(plan)
	if err != nil {
		return line
	}
	return append(data, '\n')
}

func (p *Planner) body(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, planapi.MaxReport+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return data, err == nil
}

func (p *Planner) serveReport(w http.ResponseWriter, r *http.Request) {
	data, ok := p.body(w, r)
	if !ok {
		return
	}
	report, err := planapi.ReadEdgeReport(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.put(func() { p.step(assignment.EdgeReported{Report: report}) })
	w.WriteHeader(http.StatusNoContent)
}

// Shown is what operators see.
type Shown struct {
	Term     int64                   `json:"term"`
	Number   int64                   `json:"number"`
	Deposed  bool                    `json:"deposed"`
	Stuck    bool                    `json:"stuck"`
	Edges    int                     `json:"edges_following"`
	Engines  []assignment.EngineView `json:"engines"`
	Decision assignment.Decision     `json:"decision"`
}

func (p *Planner) serveRoles(w http.ResponseWriter, r *http.Request) {
	got := make(chan Shown, 1)
	p.put(func() {
		s := Shown{Term: p.term, Deposed: p.core.SteppedDown(), Stuck: p.stuck, Engines: p.core.Engines(),
			Decision: p.core.LastDecision()}
		p.mu.Lock()
		s.Number, s.Edges = p.number, p.streams
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

func (p *Planner) serveOrder(w http.ResponseWriter, r *http.Request) {
	data, ok := p.body(w, r)
	if !ok {
		return
	}
	o, err := planapi.ReadOrder(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	type answer struct {
		text string
		err  error
	}
	got := make(chan answer, 1)
	p.put(func() {
		if p.core.SteppedDown() {
			got <- answer{err: errors.New("this planner is deposed")}
			return
		}
		text, effects, err := p.core.ApplyOrder(p.clock(), o)
		if err == nil {
			p.carryOut(effects)
			if p.stuck {
				err = errors.New("it could not be kept, and takes effect once it can")
			}
		}
		p.log.Info("operator", zap.String("op", o.Op), zap.String("engine", o.Engine), zap.String("who",
			o.Who), zap.String("why", o.Why),
			zap.Bool("dry", o.Dry), zap.Error(err))
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

// meters are the planner's metrics.
type meters struct {
	registry *prometheus.Registry
	plans    prometheus.Counter
	streams  prometheus.Gauge
	engines  *prometheus.GaugeVec
	need     *prometheus.GaugeVec
}

func newMeters() meters {
	m := meters{registry: prometheus.NewRegistry(),
		plans: prometheus.NewCounter(prometheus.CounterOpts{Name: "sandcourse_plans_total",
			Help: "Plans published."}),
		streams: prometheus.NewGauge(prometheus.GaugeOpts{Name: "sandcourse_plan_streams",
			Help: "Edges that follow."}),
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_roles",
			Help: "Engines by role and state."},
			[]string{"role", "state"}),
		need: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "sandcourse_roles_needed",
			Help: "Engines that what arrives keeps busy, by role."}, []string{"role"})}
	m.registry.MustRegister(m.plans, m.streams, m.engines, m.need)
	return m
}

func (m meters) see(c *assignment.Controller) {
	m.engines.Reset()
	for as, n := range c.CountEngines() {
		m.engines.WithLabelValues(as[0], as[1]).Set(float64(n))
	}
	for role, need := range c.LastDecision().RequiredEngines {
		m.need.WithLabelValues(role).Set(need)
	}
}
