// Package prove explores the state of a node for a way to break a property. A world is the real code of node,
// brain, attempt, conns and limits, and a small adversary that plays engines, wire, roster, clients and
// clock. Every event that the adversary may bring is tried from every state; states that are alike are opened
// once. It does no I/O.
package modelcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/chat"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/protocol/engineapi"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// World is what is explored.
type World struct {
	Name                 string   `json:"name"`
	About                string   `json:"about"`
	PrefillEngines       int      `json:"readers"`
	DecodeEngines        int      `json:"writers"`
	Effects              []string `json:"effects"` // one inference for each
	Faults               int      `json:"faults"`  // that the adversary has
	FaultKinds           []string `json:"kinds"`   // of faults it may use; all if empty
	ConnectionsPerEngine int      `json:"lines_per_engine"`
	HealthChecks         bool     `json:"probes"` // engines are asked for their load
	MaxOpenRequests      int      `json:"open"`   // inferences that a node takes at once; 0 for no bound
	Routers              int      `json:"nodes"`  // on the same engines, each with these inferences; 0 and 1 are the same
	AllOrders            bool     `json:"plain"`  // every order of events of different nodes is tried
	RoleChanges          bool     `json:"roles"`  // the planner and engines that change role, and no inference
	Crowd                bool     `json:"crowd"`  // not explored: one long seeded walk, see Crowd
}

// The times of all worlds are short, so that few timers lie between an inference and its end. Their order is
// that of the defaults: tick under wait step under grace under pin under time-out.
const (
	clientTimeout    = 300 * time.Millisecond
	firstTokenTarget = 100 * time.Millisecond
	tick             = 5 * time.Millisecond
	drainGrace       = 50 * time.Millisecond
	reservationLimit = 200 * time.Millisecond
	stallTimeout     = 100 * time.Millisecond
	// timerDelay is how late a loaded machine may run a timer: more than a tick, less than the margin before a
	// client gives up, which is three ticks.
	timerDelay = 12 * time.Millisecond
)

// engineRequest is one request to an engine that has been written and not answered to its end.
type engineRequest struct {
	connection      *simulatedConnection
	requestID       string // its name, empty for a probe
	kind            string // read, write, release or probe
	attempt         int    // of a read or a release: which
	unresponsive    bool   // nothing comes until it wakes
	secondTokenSent bool   // its second token is out too
	firstTokenSent  bool   // its first token is out
}

type simulatedConnection struct {
	core          *router.EngineConnection
	established   bool
	closed        bool
	unreadRest    bool // bytes of an answer that is over are unread
	request       *engineRequest
	simulation    *simulation
	partlyWritten bool  // the last request is not wholly with the kernel
	hangingSince  int64 // since when its dial has not been answered; 0 if it does not hang
}

// heldReservation is a state that waits at a reader, by truth.
type heldReservation struct {
	requestID, engine string
	attempt           int
	lostReleases      int   // tries to let go of it that the wire has swallowed
	idleSince         int64 // the last time at which a send of its inference was out
}

type simulatedClient struct {
	simulation     *simulation
	core           *router.ClientConnection
	number         int
	effect         string
	received       []byte
	requested      bool
	disconnected   bool
	sentAt         int64
	endedAt        int64
	outcome        string
	outcomeCount   int
	requestID      string // of its inference
	decodeFinished bool   // a writer has given its last event
	retried        bool   // it has come back with the same after it left
	possibleRuns   int    // writers that may have run it
}

// simulation is one execution.
type simulation struct {
	world           World
	deployment      *config.Deployment
	now             int64
	core            *router.Router
	clients         []*simulatedClient
	connections     []*simulatedConnection
	reservations    []heldReservation
	faultsUsed      int
	endpoints       endpoint.List
	drainNotifiedAt map[string]int64 // when an engine was told to drain or gone, by truth
	violated        []string         // properties, with words
	trace           []string
	tracing         bool
	incarnation     int           // of the node: it may be killed and start anew
	earlierCoverage Coverage      // by earlier lives
	requestsSent    map[int]int   // of each life
	clientsJoined   int           // clients so far
	routerIndex     int           // among several
	coldAttempts    []coldAttempt // sends to engines that have started anew
	inFleet         bool          // one of several nodes: list, restarts and time are the fleet's
}

// coldAttempt is one send to an engine that had started anew at since.
type coldAttempt struct {
	engine        string
	at, startedAt int64
}

func (w World) deployment() *config.Deployment {
	d := config.Defaults()
	d.NodeName, d.TickInterval, d.StallTimeout, d.HealthChecks = "n", tick, stallTimeout, w.HealthChecks
	d.Rules.DrainGrace, d.Rules.ReservationLimit = drainGrace, reservationLimit
	d.Connections.IdleTimeout, d.Connections.DialTimeout = 150*time.Millisecond, 100*time.Millisecond
	d.Connections.PerEngine = max(1, w.ConnectionsPerEngine)
	if w.ConnectionsPerEngine == 0 {
		d.Connections.PerEngine = 4
	}
	if w.MaxOpenRequests > 0 {
		d.Limits.OpenRequests = w.MaxOpenRequests
	}
	d.NodeCount = max(1, w.Routers)
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	for _, effect := range []string{"retriable", "deduped", "non-retriable"} {
		d.Routes = append(d.Routes, config.Route{Name: effect, Effect: config.Effect(effect), PriorityWeight: 1, FirstTokenObjective: firstTokenTarget,
			Timeout: clientTimeout, DedupWindow: time.Second, DedupGroup: "all"})
	}
	return d
}

func newSimulation(w World, tell bool) *simulation { return newRouterSimulation(w, 0, tell) }

// newRouterSimulation is one node of a world, by its number.
func newRouterSimulation(w World, me int, tell bool) *simulation {
	s := &simulation{world: w, deployment: w.deployment(), now: int64(1000 * time.Second), drainNotifiedAt: map[string]int64{}, tracing: tell,
		requestsSent: map[int]int{}, routerIndex: me, inFleet: w.Routers > 1 || w.Crowd}
	s.deployment.NodeNumber = me
	if s.inFleet {
		s.deployment.NodeName = fmt.Sprint("n", me)
	}
	s.startRouter()
	for i := range w.PrefillEngines + w.DecodeEngines {
		kind := "prefill"
		if i >= w.PrefillEngines {
			kind = "decode"
		}
		s.endpoints.Entries = append(s.endpoints.Entries, endpoint.Entry{ID: engineName(w, i), Kind: kind, Weight: 1, State: endpoint.Ready})
	}
	s.endpoints.Revision = 1
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
	for _, effect := range w.Effects {
		s.addClient(effect)
	}
	return s
}

// addClient is a client's connection.
func (s *simulation) addClient(effect string) *simulatedClient {
	c := &simulatedClient{simulation: s, number: s.clientsJoined, effect: effect}
	s.clientsJoined++
	c.core = &router.ClientConnection{ID: int64(s.clientsJoined), Socket: c}
	s.clients = append(s.clients, c)
	s.handle(func() { s.core.ClientOpened(c.core) })
	return c
}

// chatProtocol is the chat API's: it keeps nothing that changes.
var chatProtocol = chatapi.NewCodec(nil)

// startRouter starts a life of the node.
func (s *simulation) startRouter() {
	s.incarnation++
	s.core = router.New(s.deployment, chatProtocol, uint64(s.incarnation+16*s.routerIndex), int64(s.incarnation), s.now, s, violationObserver{s})
}

// killRouter ends the node outright and starts it anew with its last list. What it held is its clients' loss and
// its engines' to drop; nothing more may be sent for it.
func (s *simulation) killRouter() {
	s.earlierCoverage.Add(s.coverage())
	for _, connection := range s.connections {
		if !connection.closed && connection.request != nil && connection.request.kind == "write" && !connection.partlyWritten {
			s.markRun(connection.request)
		}
		connection.closed, connection.request = true, nil
	}
	s.connections, s.reservations = nil, nil
	for _, c := range s.clients {
		if c.requested && c.endedAt == 0 {
			c.disconnected, c.endedAt, c.outcome = true, s.now, "lost"
		}
	}
	s.startRouter()
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
	for _, c := range s.clients {
		if !c.requested {
			s.handle(func() { s.core.ClientOpened(c.core) })
		}
	}
}

func engineName(w World, i int) string {
	if i < w.PrefillEngines {
		return fmt.Sprintf("127.0.0.1:%d", 1001+i)
	}
	return fmt.Sprintf("127.0.0.1:%d", 2001+i-w.PrefillEngines)
}

// handle hands events to the core as the edge's loop does.
func (s *simulation) handle(event func()) {
	s.core.SetTime(s.now)
	event()
	s.core.RunDue(s.now)
}

// ---- the wire

func (s *simulation) SendToPeer(int, string) {}

func (s *simulation) Dial(connection *router.EngineConnection) {
	s.connections = append(s.connections, &simulatedConnection{core: connection, simulation: s})
}

func (c *simulatedConnection) Write(data []byte) error {
	s := c.simulation
	if c.closed || !c.established {
		s.violate("P8 a closed connection is written to")
		return io.ErrClosedPipe
	}
	cutter := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20})
	pieces, err := cutter.Feed(data)
	if err != nil || len(pieces) == 0 || !cutter.AtBoundary() {
		s.violate("P8 what is written is not one whole request: %v", err)
		return nil
	}
	if c.request != nil || c.unreadRest {
		s.violate("P8 connection to %s is written to while it carries something else", c.core.Engine)
	}
	head := pieces[0].Request
	r := &engineRequest{connection: c, requestID: head.Header.Get(chat.HeaderRequestID)}
	switch head.URL.Path {
	case engineapi.LoadPath:
		r.kind = "probe"
	case engineapi.ReleasePath:
		r.kind = "release"
		var body struct {
			Inference string
			Send      int
		}
		for _, p := range pieces {
			if p.Kind == httpframing.Body {
				json.Unmarshal(p.Data, &body)
			}
		}
		r.requestID, r.attempt = body.Inference, body.Send
	default:
		r.kind = "read"
		r.attempt, _ = strconv.Atoi(head.Header.Get(engineapi.HeaderAttempt))
		for _, p := range pieces {
			if p.Kind == httpframing.Body && bytes.Contains(p.Data, []byte(`"do_remote_prefill":true`)) {
				r.kind = "write"
			}
		}
		s.checkAttempt(r)
	}
	c.request = r
	return nil
}

func (connection *simulatedConnection) RequestWritten() bool { return !connection.partlyWritten }

func (c *simulatedConnection) Close() {
	if !c.closed {
		c.closed = true
		if r := c.request; r != nil {
			c.simulation.requestDropped(r)
		}
		c.request = nil
	}
}

// requestDropped is what becomes of a request whose connection the node closes: a read may still end and its state
// wait there, a writer may have run.
func (s *simulation) requestDropped(r *engineRequest) {
	if r.connection.partlyWritten { // an engine does not begin on a part
		s.restartIdleTime(r.requestID)
		return
	}
	switch r.kind {
	case "read":
		s.reserve(r)
	case "write":
		s.markRun(r)
	case "release":
		s.releaseLost(r)
	}
	s.restartIdleTime(r.requestID)
}

// ---- clients

func (c *simulatedClient) Send(data []byte) error {
	c.received = append(c.received, data...)
	c.countOutcomes()
	return nil
}
func (c *simulatedClient) Flushed() bool      { return true }
func (c *simulatedClient) StopReading()       {}
func (c *simulatedClient) Disconnected() bool { return c.disconnected }
func (c *simulatedClient) CloseIfIdle() bool  { return true }
func (c *simulatedClient) Close()             {}

// countOutcomes counts the final answers in what a client has got.
func (c *simulatedClient) countOutcomes() {
	finals, final := 0, ""
	text := string(c.received)
	heads := strings.Count(text, "HTTP/1.1 ")
	if strings.HasPrefix(text, "HTTP/1.1 200") {
		done, failed := strings.Count(text, "data: [DONE]"), strings.Count(text, `data: {"error"`)
		finals = done + failed + heads - 1
		if done+failed == 0 && strings.Contains(text, "\r\n0\r\n\r\n") {
			c.simulation.violate("P1 client %d's stream ends with neither its last event nor an error", c.number)
		}
		if done > 0 {
			final = "completed"
		} else if failed > 0 {
			final = "errored"
		}
		if i := strings.Index(text, "\r\n0\r\n\r\n"); finals > 0 && i >= 0 && i+7 < len(text) {
			c.simulation.violate("P1 client %d gets more after the end of its stream", c.number)
		}
	} else if heads > 0 {
		finals, final = heads, "errored"
		if strings.Contains(text, chat.HeaderOutcome+": shed") {
			final = "shed"
		}
	}
	if finals > 0 && c.endedAt == 0 {
		c.endedAt, c.outcome = c.simulation.now, final
		c.simulation.checkOutcome(c)
	}
	if finals > 1 && c.outcomeCount <= 1 {
		c.simulation.violate("P1 client %d has %d final answers", c.number, finals)
	}
	c.outcomeCount = finals
}

// violationObserver learns the names of inferences, and nothing else.
type violationObserver struct{ simulation *simulation }

func (w violationObserver) AroundStep(_ routing.Event, step func()) { step() }
func (w violationObserver) PolicyPanicked(p any, in routing.Event, _ []byte) {
	w.simulation.violate("P12 the module fails on %T: %v", in, p)
}
func (w violationObserver) RequestFinished(router.RequestSummary) {}
func (w violationObserver) RequestShed(router.ShedRequest)        {}
func (w violationObserver) AttemptEnded(router.AttemptSummary)    {}

// AttemptBlocked: the module must never ask for what would be a second run, or for two attempts at once.
func (w violationObserver) AttemptBlocked(request string, why invariant.Reason) {
	switch why {
	case invariant.MayHaveRun:
		w.simulation.violate("P3 the module asks for an attempt of %s, though %s", request, why)
	case invariant.AttemptInFlight:
		w.simulation.violate("P2 the module asks for an attempt of %s, though %s", request, why)
	}
}
func (w violationObserver) InvariantViolated(v invariant.Violation) {
	w.simulation.violate("P15 the node's own monitor says of %s: %s %s", v.Request, v.Rule, v.Detail)
}
func (w violationObserver) ClientClosed(int64, router.CloseReason)           {}
func (w violationObserver) ConnectionChanged(string, router.ConnectionEvent) {}

func (w violationObserver) FirstToken(string, time.Duration, int) {}
func (w violationObserver) Rejected(why router.RejectReason) {
	w.simulation.violate("P12 refused: %s", why)
}
func (w violationObserver) ReservationChanged(how router.ReservationEvent) {
	if how == router.ReleaseOverdue {
		w.simulation.violate("P5 the module keeps a state until the node lets go of it")
	}
}
func (w violationObserver) EndpointsUpdated(int64, int, []string) {}

// ---- truth about states

func (s *simulation) reserve(r *engineRequest) {
	s.reservations = append(s.reservations, heldReservation{requestID: r.requestID, engine: r.connection.core.Engine, attempt: r.attempt, idleSince: s.now})
}

// releaseLost notes that the wire has swallowed a try to let go.
func (s *simulation) releaseLost(r *engineRequest) {
	for i, h := range s.reservations {
		if h.requestID == r.requestID && h.engine == r.connection.core.Engine && h.attempt == r.attempt {
			s.reservations[i].lostReleases++
		}
	}
}

// dialUnanswered notes a dial that an engine did not answer, for all that waits there: it may have been for letting go.
func (s *simulation) dialUnanswered(engine string) {
	for i := range s.reservations {
		if s.reservations[i].engine == engine {
			s.reservations[i].lostReleases++
		}
	}
}

// restartIdleTime starts the time of an inference's states again: an outcome has come.
func (s *simulation) restartIdleTime(requestID string) {
	for i := range s.reservations {
		if s.reservations[i].requestID == requestID {
			s.reservations[i].idleSince = s.now
		}
	}
}

func (s *simulation) release(requestID, reader string, send int) {
	s.reservations = slices.DeleteFunc(s.reservations, func(h heldReservation) bool {
		return h.requestID == requestID && h.engine == reader && h.attempt == send
	})
}

func (s *simulation) attemptsInFlight(requestID string) (n int) {
	for _, connection := range s.connections {
		if !connection.closed && connection.request != nil && connection.request.requestID == requestID && (connection.request.kind == "read" || connection.request.kind == "write") {
			n++
		}
	}
	return n
}

func (s *simulation) clientOf(requestID string) *simulatedClient {
	for _, c := range s.clients {
		if c.requestID == requestID {
			return c
		}
	}
	return nil
}

func (s *simulation) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(s.violated, text) {
		s.violated = append(s.violated, text)
	}
}

// ---- events

// Event is one thing that the adversary may do.
type Event struct {
	Name      string
	faultKind string // kind of fault, empty for none
	apply     func()
}

func (s *simulation) mayInject(kind string) bool {
	return s.faultsUsed < s.world.Faults && (len(s.world.FaultKinds) == 0 || slices.Contains(s.world.FaultKinds, kind))
}

// enabledEvents lists what may happen now, in an order that hangs on nothing but the state.
func (s *simulation) enabledEvents() []Event {
	list, pending := s.routerEvents()
	if s.inFleet {
		return list
	}
	add := func(name, faultKind string, apply func()) {
		if faultKind == "" || s.mayInject(faultKind) {
			list = append(list, Event{name, faultKind, apply})
		}
	}
	for i, e := range s.endpoints.Entries {
		if e.State == endpoint.Ready {
			add("the list says that "+e.ID+" drains", "drain", func() {
				s.endpoints.Revision++
				s.endpoints.Entries = slices.Clone(s.endpoints.Entries)
				s.endpoints.Entries[i].State = endpoint.Draining
				s.updateEndpoints()
			})
			add(e.ID+" restarts cold", "restart", func() {
				s.endpoints.Revision++
				s.endpoints.Entries = slices.Clone(s.endpoints.Entries)
				s.endpoints.Entries[i].StartedAtMs = s.now / 1e6
				s.restartEngine(e.ID)
			})
		}
	}
	if !pending && !s.isQuiescent() {
		due := s.core.NextDue()
		add("time passes", "", func() { s.advanceTo(max(due, s.now)) })
		add(fmt.Sprintf("time passes, and the timer runs %v late", timerDelay), "late", func() {
			s.advanceTo(max(due, s.now) + int64(timerDelay))
		})
	}
	return list
}

// updateEndpoints hands the list to the node, and notes by truth what it was told.
func (s *simulation) updateEndpoints() {
	for _, e := range s.endpoints.Entries {
		if _, ok := s.drainNotifiedAt[e.ID]; !ok && e.State == endpoint.Draining {
			s.drainNotifiedAt[e.ID] = s.now
		}
	}
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
}

// routerEvents lists what may happen at this node and on its connections. Pending is whether some of it happens by
// itself before time passes.
func (s *simulation) routerEvents() (list []Event, pending bool) {
	add := func(name, faultKind string, apply func()) {
		if faultKind == "" || s.mayInject(faultKind) {
			list = append(list, Event{name, faultKind, apply})
		}
	}
	for _, c := range s.clients {
		if !c.requested {
			pending = true
			add(fmt.Sprintf("client %d asks (%s)", c.number, c.effect), "", func() { s.sendRequest(c) })
		} else if c.endedAt == 0 && !c.disconnected {
			add(fmt.Sprintf("client %d leaves", c.number), "leave", func() {
				c.disconnected, c.endedAt, c.outcome = true, s.now, "left"
				s.handle(func() { s.core.ClientDisconnected(c.core) })
			})
		} else if c.outcome == "left" && !c.retried {
			add(fmt.Sprintf("client %d comes back and asks the same again", c.number), "retry", func() {
				c.retried = true
				s.sendRequest(s.addClient(c.effect))
			})
		}
	}
	for _, connection := range s.connections {
		if connection.closed {
			continue
		}
		if connection.hangingSince > 0 {
			add("connection to "+connection.core.Engine+" is there after all", "", func() {
				connection.established, connection.hangingSince = true, 0
				s.handle(func() { s.core.EngineConnected(connection.core, connection, nil) })
			})
			continue
		}
		if !connection.established {
			pending = true
			add("connection to "+connection.core.Engine+" hangs", "connect", func() {
				connection.hangingSince = s.now
				s.dialUnanswered(connection.core.Engine)
			})
			add("connection to "+connection.core.Engine+" is there, and takes a part of the request", "part", func() {
				connection.established, connection.partlyWritten = true, true
				s.handle(func() { s.core.EngineConnected(connection.core, connection, nil) })
			})
			add("connection to "+connection.core.Engine+" is there", "", func() {
				connection.established = true
				s.handle(func() { s.core.EngineConnected(connection.core, connection, nil) })
			})
			add("connection to "+connection.core.Engine+" fails", "connect", func() {
				connection.closed = true
				s.dialUnanswered(connection.core.Engine)
				s.handle(func() { s.core.EngineConnected(connection.core, nil, io.ErrUnexpectedEOF) })
			})
			continue
		}
		if connection.unreadRest && connection.request == nil {
			pending = true
			add("the rest of the answer from "+connection.core.Engine+" comes, and bytes that were not asked for", "garbled", func() {
				s.handle(func() { s.core.ResponseComplete(connection.core, nil, false) })
			})
			add("the rest of the answer from "+connection.core.Engine+" comes", "", func() {
				connection.unreadRest = false
				s.handle(func() { s.core.ResponseComplete(connection.core, nil, true) })
			})
			continue
		}
		r := connection.request
		if r == nil {
			add("bytes come from "+connection.core.Engine+" on an idle connection", "garbled", func() {
				s.handle(func() { s.core.ResponseHead(connection.core, responseHead(200, "", false), nil) })
			})
			continue
		}
		if connection.partlyWritten {
			if !r.unresponsive {
				pending = true
				add("the rest of the request to "+connection.core.Engine+" goes out", "", func() { connection.partlyWritten = false })
				add("the rest of the request to "+connection.core.Engine+" waits", "", func() { r.unresponsive = true })
			} else {
				add("the rest of the request to "+connection.core.Engine+" goes out late", "", func() { connection.partlyWritten, r.unresponsive = false, false })
			}
			add("connection to "+connection.core.Engine+" breaks with a part of the request out", "reset", func() { s.resetConnection(connection) })
			continue
		}
		if r.unresponsive {
			add(fmt.Sprintf("%s at %s wakes", r.describe(), connection.core.Engine), "", func() { r.unresponsive = false })
			continue
		}
		pending = true
		s.addResponses(r, add)
	}
	if slices.ContainsFunc(s.clients, func(c *simulatedClient) bool { return c.requested && c.endedAt == 0 }) {
		add("the node is killed and starts anew", "kill", s.killRouter)
	}
	return list, pending
}

func (r *engineRequest) describe() string {
	if r.requestID == "" {
		return r.kind
	}
	return r.kind + " of " + r.requestID
}

// isQuiescent is whether nothing is left to happen.
func (s *simulation) isQuiescent() bool {
	h := s.core.InFlight()
	if h.Requests > 0 || h.ControlRequests > 0 || h.Reservations > 0 || len(s.reservations) > 0 {
		return false
	}
	for _, c := range s.clients {
		if !c.requested || c.endedAt == 0 {
			return false
		}
	}
	return true
}

func (s *simulation) sendRequest(c *simulatedClient) {
	c.requested, c.sentAt = true, s.now
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, c.effect)
	call, err := chat.ParseRequest(body, nil)
	if err != nil {
		panic(err)
	}
	r, _ := http.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	s.requestsSent[s.incarnation]++
	c.requestID = fmt.Sprintf("%s-%x-%d", s.deployment.NodeName, s.incarnation, s.requestsSent[s.incarnation])
	before := s.core.InFlight().Requests
	s.handle(func() {
		s.core.ReceiveRequest(c.core, &router.ClientRequest{Request: r, Call: chatapi.ToRequest(call), Bytes: len(body)})
	})
	if c.endedAt > 0 && !strings.Contains(string(c.received), chat.HeaderRequestID) { // refused before it was an inference
		s.requestsSent[s.incarnation]--
		c.requestID = ""
		if s.world.MaxOpenRequests == 0 || before < s.world.MaxOpenRequests {
			s.violate("P13 client %d is refused with %d inferences open", c.number, before)
		}
	}
}

func (s *simulation) advanceTo(to int64) {
	s.now = to
	for _, connection := range s.connections {
		if !connection.closed && connection.hangingSince > 0 && s.now-connection.hangingSince >= int64(s.deployment.Connections.DialTimeout) {
			connection.closed = true
			s.handle(func() { s.core.EngineConnected(connection.core, nil, io.ErrUnexpectedEOF) })
		}
	}
	s.handle(func() {})
}

func responseHead(status int, refused string, stream bool) *http.Response {
	h := http.Header{"Content-Type": {"application/json"}}
	if stream {
		h.Set("Content-Type", "text/event-stream")
	}
	if refused != "" {
		h.Set(engineapi.HeaderRejected, refused)
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// addResponses are the ways in which an engine, or the wire, may end a request.
func (s *simulation) addResponses(r *engineRequest, add func(name, faultKind string, apply func())) {
	connection := r.connection
	subject := r.describe() + " at " + connection.core.Engine
	answer := func(status int, refused string) { // a whole answer, read to its end in one go
		connection.request = nil
		s.restartIdleTime(r.requestID)
		s.core.ResponseHead(connection.core, responseHead(status, refused, false), nil)
		if !connection.closed {
			s.core.ResponseComplete(connection.core, nil, true)
		}
	}
	if r.kind == "release" || r.kind == "probe" {
		add(subject+" is answered", "", func() {
			s.release(r.requestID, connection.core.Engine, r.attempt)
			s.handle(func() { answer(200, "") })
		})
		add(subject+" is lost with its connection", "reset", func() { s.resetConnection(connection) })
		add(subject+" is not heard of", "silent", func() { r.unresponsive = true })
		return
	}
	if r.kind == "read" {
		add(subject+" ends", "", func() {
			s.reserve(r)
			s.handle(func() {
				s.core.ResponseHead(connection.core, responseHead(200, "", false), nil)
				connection.request = nil
				s.restartIdleTime(r.requestID)
				s.core.ResponseComplete(connection.core, s.prefillResponse(connection.core.Engine, r.requestID), true)
			})
		})
		add(subject+" ends, half its answer comes", "half", func() {
			s.reserve(r)
			s.handle(func() { s.core.ResponseHead(connection.core, responseHead(200, "", false), nil) })
			s.resetConnection(connection)
		})
		add(subject+" ends, its answer names no state", "garbled", func() {
			s.reserve(r)
			s.handle(func() {
				s.core.ResponseHead(connection.core, responseHead(200, "", false), nil)
				connection.request = nil
				s.restartIdleTime(r.requestID)
				s.core.ResponseComplete(connection.core, []byte("{}"), true)
			})
		})
	} else if !r.firstTokenSent {
		add(subject+" gives its first token", "", func() {
			s.markRun(r)
			s.fetchReservation(r.requestID)
			r.firstTokenSent = true
			s.handle(func() {
				s.core.ResponseHead(connection.core, responseHead(200, "", true), nil)
				s.core.StreamEvent(connection.core, []byte(`{"choices":[]}`))
			})
		})
		add(subject+" finds no state", "no-state", func() {
			s.fetchReservation(r.requestID)
			s.handle(func() { answer(409, engineapi.RejectedNoReservation) })
		})
		add(subject+" runs, and its answer is a second head", "garbled", func() {
			s.markRun(r)
			s.handle(func() {
				s.core.ResponseHead(connection.core, responseHead(200, "", true), nil)
				s.core.ResponseHead(connection.core, responseHead(200, "", true), nil)
			})
		})
	} else {
		add(subject+" ends well", "", func() {
			connection.request, connection.unreadRest = nil, true
			if c := s.clientOf(r.requestID); c != nil {
				c.decodeFinished = true
			}
			s.restartIdleTime(r.requestID)
			s.handle(func() { s.core.StreamEvent(connection.core, []byte(chat.Done)) })
		})
		if !r.secondTokenSent {
			add(subject+" gives another token", "", func() {
				r.secondTokenSent = true
				s.handle(func() { s.core.StreamEvent(connection.core, []byte(`{"choices":[]}`)) })
			})
		}
		add(subject+" ends without its last event", "half", func() {
			connection.request = nil
			s.restartIdleTime(r.requestID)
			s.handle(func() { s.core.ResponseComplete(connection.core, nil, true) })
		})
	}
	if !r.firstTokenSent {
		add(subject+" is refused: full", "full", func() { s.handle(func() { answer(429, engineapi.RejectedFull) }) })
		add(subject+" fails without a word why", "error", func() {
			if r.kind == "write" {
				s.markRun(r)
			} else {
				s.reserve(r)
			}
			s.handle(func() { answer(503, "") })
		})
	}
	add(subject+" is lost with its connection", "reset", func() {
		if r.kind == "write" {
			s.markRun(r)
		} else {
			s.reserve(r)
		}
		s.resetConnection(connection)
	})
	add(subject+" is not heard of", "silent", func() { r.unresponsive = true })
}

// fetchReservation takes the newest state of an inference, which is the one that the node names to a writer.
func (s *simulation) fetchReservation(requestID string) {
	for i := len(s.reservations) - 1; i >= 0; i-- {
		if s.reservations[i].requestID == requestID {
			s.reservations = slices.Delete(s.reservations, i, i+1)
			return
		}
	}
}

func (s *simulation) prefillResponse(addr, name string) []byte {
	host, port, _ := strings.Cut(addr, ":")
	return fmt.Appendf(nil, `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`,
		name, host, port)
}

func (s *simulation) resetConnection(connection *simulatedConnection) {
	r := connection.request
	connection.closed, connection.request = true, nil
	if r != nil {
		s.restartIdleTime(r.requestID)
		if r.kind == "release" {
			s.releaseLost(r)
		}
	}
	s.handle(func() { s.core.EngineDisconnected(connection.core) })
}

// restartEngine ends an engine with all it holds, as the list says already.
func (s *simulation) restartEngine(name string) {
	s.reservations = slices.DeleteFunc(s.reservations, func(h heldReservation) bool { return h.engine == name })
	for _, connection := range s.connections {
		if connection.core.Engine == name && connection.established && !connection.closed {
			if connection.request != nil && connection.request.kind == "write" && !connection.partlyWritten {
				s.markRun(connection.request)
			}
			s.resetConnection(connection)
		}
	}
	s.updateEndpoints()
}

func (s *simulation) markRun(r *engineRequest) {
	if c := s.clientOf(r.requestID); c != nil && !r.firstTokenSent {
		c.possibleRuns++
	}
}

// ---- digest

// fingerprint is the same for states from which the same may follow.
func (s *simulation) fingerprint() uint64 {
	h := xxhash.New()
	s.core.Fingerprint(h)
	for _, c := range s.clients {
		fmt.Fprintln(h, c.requested, c.disconnected, c.endedAt > 0, c.outcome, c.outcomeCount, c.requestID, c.possibleRuns, c.decodeFinished, c.retried, s.now-c.sentAt)
	}
	var rows []string
	for _, connection := range s.connections {
		if connection.closed {
			continue
		}
		hangs := int64(0)
		if connection.hangingSince > 0 {
			hangs = 1 + s.now - connection.hangingSince
		}
		list := fmt.Sprint(connection.core.Engine, connection.established, connection.unreadRest, connection.partlyWritten, hangs)
		if r := connection.request; r != nil {
			list += fmt.Sprint(r.requestID, r.kind, r.attempt, r.unresponsive, r.firstTokenSent, r.secondTokenSent)
		}
		rows = append(rows, list)
	}
	slices.Sort(rows)
	fmt.Fprintln(h, rows, s.faultsUsed, s.incarnation)
	for _, x := range s.reservations {
		fmt.Fprintln(h, x.requestID, x.engine, x.attempt, x.lostReleases, s.now-x.idleSince)
	}
	for _, e := range s.endpoints.Entries {
		fmt.Fprintln(h, e.State, e.StartedAtMs)
	}
	for _, name := range slices.Sorted(maps.Keys(s.drainNotifiedAt)) {
		fmt.Fprintln(h, name, s.now-s.drainNotifiedAt[name])
	}
	for _, x := range s.coldAttempts {
		fmt.Fprintln(h, x.engine, s.now-x.at, s.now-x.startedAt)
	}
	return h.Sum64()
}
