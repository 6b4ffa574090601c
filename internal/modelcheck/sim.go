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
	Name    string   `json:"name"`
	About   string   `json:"about"`
	Readers int      `json:"readers"`
	Writers int      `json:"writers"`
	Effects []string `json:"effects"` // one inference for each
	Faults  int      `json:"faults"`  // that the adversary has
	Kinds   []string `json:"kinds"`   // of faults it may use; all if empty
	PerConn int      `json:"lines_per_engine"`
	Probes  bool     `json:"probes"` // engines are asked for their load
	Open    int      `json:"open"`   // inferences that a node takes at once; 0 for no bound
	Nodes   int      `json:"nodes"`  // on the same engines, each with these inferences; 0 and 1 are the same
	Plain   bool     `json:"plain"`  // every order of events of different nodes is tried
	Roles   bool     `json:"roles"`  // the planner and engines that change role, and no inference
	Crowd   bool     `json:"crowd"`  // not explored: one long seeded walk, see Crowd
}

// The times of all worlds are short, so that few timers lie between an inference and its end. Their order is
// that of the defaults: tick under wait step under grace under pin under time-out.
const (
	giveUp = 300 * time.Millisecond
	target = 100 * time.Millisecond
	tick   = 5 * time.Millisecond
	grace  = 50 * time.Millisecond
	pin    = 200 * time.Millisecond
	stall  = 100 * time.Millisecond
	// lateBy is how late a loaded machine may run a timer: more than a tick, less than the margin before a
	// client gives up, which is three ticks.
	lateBy = 12 * time.Millisecond
)

// request is one request to an engine that has been written and not answered to its end.
type request struct {
	line      *simLine
	inference string // its name, empty for a probe
	kind      string // read, write, release or probe
	send      int    // of a read or a release: which
	silent    bool   // nothing comes until it wakes
	more      bool   // its second token is out too
	began     bool   // its first token is out
}

type simLine struct {
	core   *router.EngineConnection
	open   bool
	closed bool
	rest   bool // bytes of an answer that is over are unread
	req    *request
	sim    *sim
	part   bool  // the last request is not wholly with the kernel
	hangs  int64 // since when its dial has not been answered; 0 if it does not hang
}

// held is a state that waits at a reader, by truth.
type held struct {
	inference, reader string
	send              int
	lost              int   // tries to let go of it that the wire has swallowed
	since             int64 // the last time at which a send of its inference was out
}

type simClient struct {
	sim    *sim
	core   *router.ClientConnection
	n      int
	effect string
	out    []byte
	asked  bool
	gone   bool
	at     int64
	endAt  int64
	final  string
	finals int
	name   string // of its inference
	done   bool   // a writer has given its last event
	again  bool   // it has come back with the same after it left
	ran    int    // writers that may have run it
}

// sim is one execution.
type sim struct {
	w       World
	d       *config.Deployment
	now     int64
	core    *router.Router
	clients []*simClient
	lines   []*simLine
	held    []held
	faults  int
	list    endpoint.List
	toldAt  map[string]int64 // when an engine was told to drain or gone, by truth
	broken  []string         // properties, with words
	story   []string
	tell    bool
	life    int         // of the node: it may be killed and start anew
	took    Cover       // by earlier lives
	asks    map[int]int // of each life
	joined  int         // clients so far
	node    int         // among several
	toCold  []coldSend  // sends to engines that have started anew
	apart   bool        // one of several nodes: list, restarts and time are the fleet's
}

// coldSend is one send to an engine that had started anew at since.
type coldSend struct {
	engine    string
	at, since int64
}

func (w World) deployment() *config.Deployment {
	d := config.Defaults()
	d.NodeName, d.TickInterval, d.StallTimeout, d.HealthChecks = "n", tick, stall, w.Probes
	d.Rules.DrainGrace, d.Rules.ReservationLimit = grace, pin
	d.Connections.IdleTimeout, d.Connections.DialTimeout = 150*time.Millisecond, 100*time.Millisecond
	d.Connections.PerEngine = max(1, w.PerConn)
	if w.PerConn == 0 {
		d.Connections.PerEngine = 4
	}
	if w.Open > 0 {
		d.Limits.OpenRequests = w.Open
	}
	d.NodeCount = max(1, w.Nodes)
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read"}, {Name: "decode", Role: "write"}}
	for _, effect := range []string{"retriable", "deduped", "non-retriable"} {
		d.Routes = append(d.Routes, config.Route{Name: effect, Effect: effect, PriorityWeight: 1, FirstTokenObjective: target,
			Timeout: giveUp, DedupWindow: time.Second, DedupGroup: "all"})
	}
	return d
}

func newSim(w World, tell bool) *sim { return newNode(w, 0, tell) }

// newNode is one node of a world, by its number.
func newNode(w World, me int, tell bool) *sim {
	s := &sim{w: w, d: w.deployment(), now: int64(1000 * time.Second), toldAt: map[string]int64{}, tell: tell,
		asks: map[int]int{}, node: me, apart: w.Nodes > 1 || w.Crowd}
	s.d.NodeNumber = me
	if s.apart {
		s.d.NodeName = fmt.Sprint("n", me)
	}
	s.begin()
	for i := range w.Readers + w.Writers {
		kind := "prefill"
		if i >= w.Readers {
			kind = "decode"
		}
		s.list.Entries = append(s.list.Entries, endpoint.Entry{ID: engineName(w, i), Kind: kind, Weight: 1, State: endpoint.Ready})
	}
	s.list.Revision = 1
	s.do(func() { s.core.UpdateEndpoints(s.list) })
	for _, effect := range w.Effects {
		s.join(effect)
	}
	return s
}

// join is a client's connection.
func (s *sim) join(effect string) *simClient {
	c := &simClient{sim: s, n: s.joined, effect: effect}
	s.joined++
	c.core = &router.ClientConnection{ID: int64(s.joined), Socket: c}
	s.clients = append(s.clients, c)
	s.do(func() { s.core.ClientOpened(c.core) })
	return c
}

// chatProtocol is the chat API's: it keeps nothing that changes.
var chatProtocol = chatapi.NewCodec(nil)

// begin starts a life of the node.
func (s *sim) begin() {
	s.life++
	s.core = router.New(s.d, chatProtocol, uint64(s.life+16*s.node), int64(s.life), s.now, s, watch{s})
}

// kill ends the node outright and starts it anew with its last list. What it held is its clients' loss and
// its engines' to drop; nothing more may be sent for it.
func (s *sim) kill() {
	s.took.Add(s.cover())
	for _, l := range s.lines {
		if !l.closed && l.req != nil && l.req.kind == "write" && !l.part {
			s.ran(l.req)
		}
		l.closed, l.req = true, nil
	}
	s.lines, s.held = nil, nil
	for _, c := range s.clients {
		if c.asked && c.endAt == 0 {
			c.gone, c.endAt, c.final = true, s.now, "lost"
		}
	}
	s.begin()
	s.do(func() { s.core.UpdateEndpoints(s.list) })
	for _, c := range s.clients {
		if !c.asked {
			s.do(func() { s.core.ClientOpened(c.core) })
		}
	}
}

func engineName(w World, i int) string {
	if i < w.Readers {
		return fmt.Sprintf("127.0.0.1:%d", 1001+i)
	}
	return fmt.Sprintf("127.0.0.1:%d", 2001+i-w.Readers)
}

// do hands events to the core as the edge's loop does.
func (s *sim) do(event func()) {
	s.core.SetTime(s.now)
	event()
	s.core.RunDue(s.now)
}

// ---- the wire

func (s *sim) SendToPeer(int, string) {}

func (s *sim) Dial(l *router.EngineConnection) { s.lines = append(s.lines, &simLine{core: l, sim: s}) }

func (l *simLine) Write(data []byte) error {
	s := l.sim
	if l.closed || !l.open {
		s.say("P8 a closed connection is written to")
		return io.ErrClosedPipe
	}
	cutter := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20})
	pieces, err := cutter.Feed(data)
	if err != nil || len(pieces) == 0 || !cutter.AtBoundary() {
		s.say("P8 what is written is not one whole request: %v", err)
		return nil
	}
	if l.req != nil || l.rest {
		s.say("P8 connection to %s is written to while it carries something else", l.core.Engine)
	}
	head := pieces[0].Request
	r := &request{line: l, inference: head.Header.Get(chat.HeaderRequestID)}
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
		r.inference, r.send = body.Inference, body.Send
	default:
		r.kind = "read"
		r.send, _ = strconv.Atoi(head.Header.Get(engineapi.HeaderAttempt))
		for _, p := range pieces {
			if p.Kind == httpframing.Body && bytes.Contains(p.Data, []byte(`"do_remote_prefill":true`)) {
				r.kind = "write"
			}
		}
		s.checkSend(r)
	}
	l.req = r
	return nil
}

func (l *simLine) RequestWritten() bool { return !l.part }

func (l *simLine) Close() {
	if !l.closed {
		l.closed = true
		if r := l.req; r != nil {
			l.sim.dropped(r)
		}
		l.req = nil
	}
}

// dropped is what becomes of a request whose connection the node closes: a read may still end and its state
// wait there, a writer may have run.
func (s *sim) dropped(r *request) {
	if r.line.part { // an engine does not begin on a part
		s.freed(r.inference)
		return
	}
	switch r.kind {
	case "read":
		s.hold(r)
	case "write":
		s.ran(r)
	case "release":
		s.lost(r)
	}
	s.freed(r.inference)
}

// ---- clients

func (c *simClient) Send(data []byte) error {
	c.out = append(c.out, data...)
	c.read()
	return nil
}
func (c *simClient) Flushed() bool      { return true }
func (c *simClient) StopReading()       {}
func (c *simClient) Disconnected() bool { return c.gone }
func (c *simClient) CloseIfIdle() bool  { return true }
func (c *simClient) Close()             {}

// read counts the final answers in what a client has got.
func (c *simClient) read() {
	finals, final := 0, ""
	text := string(c.out)
	heads := strings.Count(text, "HTTP/1.1 ")
	if strings.HasPrefix(text, "HTTP/1.1 200") {
		done, failed := strings.Count(text, "data: [DONE]"), strings.Count(text, `data: {"error"`)
		finals = done + failed + heads - 1
		if done+failed == 0 && strings.Contains(text, "\r\n0\r\n\r\n") {
			c.sim.say("P1 client %d's stream ends with neither its last event nor an error", c.n)
		}
		if done > 0 {
			final = "completed"
		} else if failed > 0 {
			final = "errored"
		}
		if i := strings.Index(text, "\r\n0\r\n\r\n"); finals > 0 && i >= 0 && i+7 < len(text) {
			c.sim.say("P1 client %d gets more after the end of its stream", c.n)
		}
	} else if heads > 0 {
		finals, final = heads, "errored"
		if strings.Contains(text, chat.HeaderOutcome+": shed") {
			final = "shed"
		}
	}
	if finals > 0 && c.endAt == 0 {
		c.endAt, c.final = c.sim.now, final
		c.sim.checkFinal(c)
	}
	if finals > 1 && c.finals <= 1 {
		c.sim.say("P1 client %d has %d final answers", c.n, finals)
	}
	c.finals = finals
}

// watch learns the names of inferences, and nothing else.
type watch struct{ s *sim }

func (w watch) AroundStep(_ routing.Event, step func()) { step() }
func (w watch) PolicyPanicked(p any, in routing.Event, _ []byte) {
	w.s.say("P12 the module fails on %T: %v", in, p)
}
func (w watch) RequestFinished(router.RequestSummary) {}
func (w watch) RequestShed(router.ShedRequest)        {}
func (w watch) AttemptEnded(router.AttemptSummary)    {}

// AttemptBlocked: the module must never ask for what would be a second run, or for two attempts at once.
func (w watch) AttemptBlocked(request string, why invariant.Reason) {
	switch why {
	case invariant.MayHaveRun:
		w.s.say("P3 the module asks for an attempt of %s, though %s", request, why)
	case invariant.AttemptInFlight:
		w.s.say("P2 the module asks for an attempt of %s, though %s", request, why)
	}
}
func (w watch) InvariantViolated(v invariant.Violation) {
	w.s.say("P15 the node's own monitor says of %s: %s %s", v.Request, v.Rule, v.Detail)
}
func (w watch) ClientClosed(int64, router.CloseReason)           {}
func (w watch) ConnectionChanged(string, router.ConnectionEvent) {}

func (w watch) FirstToken(string, time.Duration, int) {}
func (w watch) Rejected(why string)                   { w.s.say("P12 refused: %s", why) }
func (w watch) ReservationChanged(how router.ReservationEvent) {
	if how == router.ReleaseOverdue {
		w.s.say("P5 the module keeps a state until the node lets go of it")
	}
}
func (w watch) EndpointsUpdated(int64, int, []string) {}

// ---- truth about states

func (s *sim) hold(r *request) {
	s.held = append(s.held, held{inference: r.inference, reader: r.line.core.Engine, send: r.send, since: s.now})
}

// lost notes that the wire has swallowed a try to let go.
func (s *sim) lost(r *request) {
	for i, h := range s.held {
		if h.inference == r.inference && h.reader == r.line.core.Engine && h.send == r.send {
			s.held[i].lost++
		}
	}
}

// deaf notes a dial that an engine did not answer, for all that waits there: it may have been for letting go.
func (s *sim) deaf(engine string) {
	for i := range s.held {
		if s.held[i].reader == engine {
			s.held[i].lost++
		}
	}
}

// freed starts the time of an inference's states again: an outcome has come.
func (s *sim) freed(inference string) {
	for i := range s.held {
		if s.held[i].inference == inference {
			s.held[i].since = s.now
		}
	}
}

func (s *sim) letGo(inference, reader string, send int) {
	s.held = slices.DeleteFunc(s.held, func(h held) bool {
		return h.inference == inference && h.reader == reader && h.send == send
	})
}

func (s *sim) out(inference string) (n int) {
	for _, l := range s.lines {
		if !l.closed && l.req != nil && l.req.inference == inference && (l.req.kind == "read" || l.req.kind == "write") {
			n++
		}
	}
	return n
}

func (s *sim) client(inference string) *simClient {
	for _, c := range s.clients {
		if c.name == inference {
			return c
		}
	}
	return nil
}

func (s *sim) say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if !slices.Contains(s.broken, text) {
		s.broken = append(s.broken, text)
	}
}

// ---- events

// Event is one thing that the adversary may do.
type Event struct {
	Name  string
	fault string // kind of fault, empty for none
	do    func()
}

func (s *sim) may(kind string) bool {
	return s.faults < s.w.Faults && (len(s.w.Kinds) == 0 || slices.Contains(s.w.Kinds, kind))
}

// events lists what may happen now, in an order that hangs on nothing but the state.
func (s *sim) events() []Event {
	row, pending := s.own()
	if s.apart {
		return row
	}
	add := func(name, fault string, do func()) {
		if fault == "" || s.may(fault) {
			row = append(row, Event{name, fault, do})
		}
	}
	for i, e := range s.list.Entries {
		if e.State == endpoint.Ready {
			add("the list says that "+e.ID+" drains", "drain", func() {
				s.list.Revision++
				s.list.Entries = slices.Clone(s.list.Entries)
				s.list.Entries[i].State = endpoint.Draining
				s.hear()
			})
			add(e.ID+" restarts cold", "restart", func() {
				s.list.Revision++
				s.list.Entries = slices.Clone(s.list.Entries)
				s.list.Entries[i].StartedAtMs = s.now / 1e6
				s.restart(e.ID)
			})
		}
	}
	if !pending && !s.quiet() {
		due := s.core.NextDue()
		add("time passes", "", func() { s.pass(max(due, s.now)) })
		add(fmt.Sprintf("time passes, and the timer runs %v late", lateBy), "late", func() {
			s.pass(max(due, s.now) + int64(lateBy))
		})
	}
	return row
}

// hear hands the list to the node, and notes by truth what it was told.
func (s *sim) hear() {
	for _, e := range s.list.Entries {
		if _, ok := s.toldAt[e.ID]; !ok && e.State == endpoint.Draining {
			s.toldAt[e.ID] = s.now
		}
	}
	s.do(func() { s.core.UpdateEndpoints(s.list) })
}

// own lists what may happen at this node and on its connections. Pending is whether some of it happens by
// itself before time passes.
func (s *sim) own() (row []Event, pending bool) {
	add := func(name, fault string, do func()) {
		if fault == "" || s.may(fault) {
			row = append(row, Event{name, fault, do})
		}
	}
	for _, c := range s.clients {
		if !c.asked {
			pending = true
			add(fmt.Sprintf("client %d asks (%s)", c.n, c.effect), "", func() { s.ask(c) })
		} else if c.endAt == 0 && !c.gone {
			add(fmt.Sprintf("client %d leaves", c.n), "leave", func() {
				c.gone, c.endAt, c.final = true, s.now, "left"
				s.do(func() { s.core.ClientDisconnected(c.core) })
			})
		} else if c.final == "left" && !c.again {
			add(fmt.Sprintf("client %d comes back and asks the same again", c.n), "retry", func() {
				c.again = true
				s.ask(s.join(c.effect))
			})
		}
	}
	for _, l := range s.lines {
		if l.closed {
			continue
		}
		if l.hangs > 0 {
			add("connection to "+l.core.Engine+" is there after all", "", func() {
				l.open, l.hangs = true, 0
				s.do(func() { s.core.EngineConnected(l.core, l, nil) })
			})
			continue
		}
		if !l.open {
			pending = true
			add("connection to "+l.core.Engine+" hangs", "connect", func() {
				l.hangs = s.now
				s.deaf(l.core.Engine)
			})
			add("connection to "+l.core.Engine+" is there, and takes a part of the request", "part", func() {
				l.open, l.part = true, true
				s.do(func() { s.core.EngineConnected(l.core, l, nil) })
			})
			add("connection to "+l.core.Engine+" is there", "", func() {
				l.open = true
				s.do(func() { s.core.EngineConnected(l.core, l, nil) })
			})
			add("connection to "+l.core.Engine+" fails", "connect", func() {
				l.closed = true
				s.deaf(l.core.Engine)
				s.do(func() { s.core.EngineConnected(l.core, nil, io.ErrUnexpectedEOF) })
			})
			continue
		}
		if l.rest && l.req == nil {
			pending = true
			add("the rest of the answer from "+l.core.Engine+" comes, and bytes that were not asked for", "garbled", func() {
				s.do(func() { s.core.ResponseComplete(l.core, nil, false) })
			})
			add("the rest of the answer from "+l.core.Engine+" comes", "", func() {
				l.rest = false
				s.do(func() { s.core.ResponseComplete(l.core, nil, true) })
			})
			continue
		}
		r := l.req
		if r == nil {
			add("bytes come from "+l.core.Engine+" on an idle connection", "garbled", func() {
				s.do(func() { s.core.ResponseHead(l.core, head(200, "", false), nil) })
			})
			continue
		}
		if l.part {
			if !r.silent {
				pending = true
				add("the rest of the request to "+l.core.Engine+" goes out", "", func() { l.part = false })
				add("the rest of the request to "+l.core.Engine+" waits", "", func() { r.silent = true })
			} else {
				add("the rest of the request to "+l.core.Engine+" goes out late", "", func() { l.part, r.silent = false, false })
			}
			add("connection to "+l.core.Engine+" breaks with a part of the request out", "reset", func() { s.reset(l) })
			continue
		}
		if r.silent {
			add(fmt.Sprintf("%s at %s wakes", r.what(), l.core.Engine), "", func() { r.silent = false })
			continue
		}
		pending = true
		s.answers(r, add)
	}
	if slices.ContainsFunc(s.clients, func(c *simClient) bool { return c.asked && c.endAt == 0 }) {
		add("the node is killed and starts anew", "kill", s.kill)
	}
	return row, pending
}

func (r *request) what() string {
	if r.inference == "" {
		return r.kind
	}
	return r.kind + " of " + r.inference
}

// quiet is whether nothing is left to happen.
func (s *sim) quiet() bool {
	h := s.core.InFlight()
	if h.Requests > 0 || h.ControlRequests > 0 || h.Reservations > 0 || len(s.held) > 0 {
		return false
	}
	for _, c := range s.clients {
		if !c.asked || c.endAt == 0 {
			return false
		}
	}
	return true
}

func (s *sim) ask(c *simClient) {
	c.asked, c.at = true, s.now
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"messages":[{"role":"user","content":"x"}]}`, c.effect)
	call, err := chat.ParseRequest(body, nil)
	if err != nil {
		panic(err)
	}
	r, _ := http.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	s.asks[s.life]++
	c.name = fmt.Sprintf("%s-%x-%d", s.d.NodeName, s.life, s.asks[s.life])
	before := s.core.InFlight().Requests
	s.do(func() {
		s.core.ReceiveRequest(c.core, &router.ClientRequest{Request: r, Call: chatapi.ToRequest(call), Bytes: len(body)})
	})
	if c.endAt > 0 && !strings.Contains(string(c.out), chat.HeaderRequestID) { // refused before it was an inference
		s.asks[s.life]--
		c.name = ""
		if s.w.Open == 0 || before < s.w.Open {
			s.say("P13 client %d is refused with %d inferences open", c.n, before)
		}
	}
}

func (s *sim) pass(to int64) {
	s.now = to
	for _, l := range s.lines {
		if !l.closed && l.hangs > 0 && s.now-l.hangs >= int64(s.d.Connections.DialTimeout) {
			l.closed = true
			s.do(func() { s.core.EngineConnected(l.core, nil, io.ErrUnexpectedEOF) })
		}
	}
	s.do(func() {})
}

func head(status int, refused string, stream bool) *http.Response {
	h := http.Header{"Content-Type": {"application/json"}}
	if stream {
		h.Set("Content-Type", "text/event-stream")
	}
	if refused != "" {
		h.Set(engineapi.HeaderRejected, refused)
	}
	return &http.Response{StatusCode: status, Status: http.StatusText(status), Header: h}
}

// answers are the ways in which an engine, or the wire, may end a request.
func (s *sim) answers(r *request, add func(name, fault string, do func())) {
	l := r.line
	at := r.what() + " at " + l.core.Engine
	whole := func(status int, refused string) { // a whole answer, read to its end in one go
		l.req = nil
		s.freed(r.inference)
		s.core.ResponseHead(l.core, head(status, refused, false), nil)
		if !l.closed {
			s.core.ResponseComplete(l.core, nil, true)
		}
	}
	if r.kind == "release" || r.kind == "probe" {
		add(at+" is answered", "", func() {
			s.letGo(r.inference, l.core.Engine, r.send)
			s.do(func() { whole(200, "") })
		})
		add(at+" is lost with its connection", "reset", func() { s.reset(l) })
		add(at+" is not heard of", "silent", func() { r.silent = true })
		return
	}
	if r.kind == "read" {
		add(at+" ends", "", func() {
			s.hold(r)
			s.do(func() {
				s.core.ResponseHead(l.core, head(200, "", false), nil)
				l.req = nil
				s.freed(r.inference)
				s.core.ResponseComplete(l.core, s.stateBody(l.core.Engine, r.inference), true)
			})
		})
		add(at+" ends, half its answer comes", "half", func() {
			s.hold(r)
			s.do(func() { s.core.ResponseHead(l.core, head(200, "", false), nil) })
			s.reset(l)
		})
		add(at+" ends, its answer names no state", "garbled", func() {
			s.hold(r)
			s.do(func() {
				s.core.ResponseHead(l.core, head(200, "", false), nil)
				l.req = nil
				s.freed(r.inference)
				s.core.ResponseComplete(l.core, []byte("{}"), true)
			})
		})
	} else if !r.began {
		add(at+" gives its first token", "", func() {
			s.ran(r)
			s.fetch(r.inference)
			r.began = true
			s.do(func() {
				s.core.ResponseHead(l.core, head(200, "", true), nil)
				s.core.StreamEvent(l.core, []byte(`{"choices":[]}`))
			})
		})
		add(at+" finds no state", "no-state", func() {
			s.fetch(r.inference)
			s.do(func() { whole(409, engineapi.RejectedNoReservation) })
		})
		add(at+" runs, and its answer is a second head", "garbled", func() {
			s.ran(r)
			s.do(func() {
				s.core.ResponseHead(l.core, head(200, "", true), nil)
				s.core.ResponseHead(l.core, head(200, "", true), nil)
			})
		})
	} else {
		add(at+" ends well", "", func() {
			l.req, l.rest = nil, true
			if c := s.client(r.inference); c != nil {
				c.done = true
			}
			s.freed(r.inference)
			s.do(func() { s.core.StreamEvent(l.core, []byte(chat.Done)) })
		})
		if !r.more {
			add(at+" gives another token", "", func() {
				r.more = true
				s.do(func() { s.core.StreamEvent(l.core, []byte(`{"choices":[]}`)) })
			})
		}
		add(at+" ends without its last event", "half", func() {
			l.req = nil
			s.freed(r.inference)
			s.do(func() { s.core.ResponseComplete(l.core, nil, true) })
		})
	}
	if !r.began {
		add(at+" is refused: full", "full", func() { s.do(func() { whole(429, engineapi.RejectedFull) }) })
		add(at+" fails without a word why", "error", func() {
			if r.kind == "write" {
				s.ran(r)
			} else {
				s.hold(r)
			}
			s.do(func() { whole(503, "") })
		})
	}
	add(at+" is lost with its connection", "reset", func() {
		if r.kind == "write" {
			s.ran(r)
		} else {
			s.hold(r)
		}
		s.reset(l)
	})
	add(at+" is not heard of", "silent", func() { r.silent = true })
}

// fetch takes the newest state of an inference, which is the one that the node names to a writer.
func (s *sim) fetch(inference string) {
	for i := len(s.held) - 1; i >= 0; i-- {
		if s.held[i].inference == inference {
			s.held = slices.Delete(s.held, i, i+1)
			return
		}
	}
}

func (s *sim) stateBody(addr, name string) []byte {
	host, port, _ := strings.Cut(addr, ":")
	return fmt.Appendf(nil, `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":%q,"remote_host":%q,"remote_port":%s}}`,
		name, host, port)
}

func (s *sim) reset(l *simLine) {
	r := l.req
	l.closed, l.req = true, nil
	if r != nil {
		s.freed(r.inference)
		if r.kind == "release" {
			s.lost(r)
		}
	}
	s.do(func() { s.core.EngineDisconnected(l.core) })
}

// restart ends an engine with all it holds, as the list says already.
func (s *sim) restart(name string) {
	s.held = slices.DeleteFunc(s.held, func(h held) bool { return h.reader == name })
	for _, l := range s.lines {
		if l.core.Engine == name && l.open && !l.closed {
			if l.req != nil && l.req.kind == "write" && !l.part {
				s.ran(l.req)
			}
			s.reset(l)
		}
	}
	s.hear()
}

func (s *sim) ran(r *request) {
	if c := s.client(r.inference); c != nil && !r.began {
		c.ran++
	}
}

// ---- digest

// digest is the same for states from which the same may follow.
func (s *sim) digest() uint64 {
	h := xxhash.New()
	s.core.Fingerprint(h)
	for _, c := range s.clients {
		fmt.Fprintln(h, c.asked, c.gone, c.endAt > 0, c.final, c.finals, c.name, c.ran, c.done, c.again, s.now-c.at)
	}
	var rows []string
	for _, l := range s.lines {
		if l.closed {
			continue
		}
		hangs := int64(0)
		if l.hangs > 0 {
			hangs = 1 + s.now - l.hangs
		}
		row := fmt.Sprint(l.core.Engine, l.open, l.rest, l.part, hangs)
		if r := l.req; r != nil {
			row += fmt.Sprint(r.inference, r.kind, r.send, r.silent, r.began, r.more)
		}
		rows = append(rows, row)
	}
	slices.Sort(rows)
	fmt.Fprintln(h, rows, s.faults, s.life)
	for _, x := range s.held {
		fmt.Fprintln(h, x.inference, x.reader, x.send, x.lost, s.now-x.since)
	}
	for _, e := range s.list.Entries {
		fmt.Fprintln(h, e.State, e.StartedAtMs)
	}
	for _, name := range slices.Sorted(maps.Keys(s.toldAt)) {
		fmt.Fprintln(h, name, s.now-s.toldAt[name])
	}
	for _, x := range s.toCold {
		fmt.Fprintln(h, x.engine, s.now-x.at, s.now-x.since)
	}
	return h.Sum64()
}
