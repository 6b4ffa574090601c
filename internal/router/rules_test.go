package router_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// The slack of the protocol: what is held has 300 ms more than the settings say, an answer half a second.
const (
	reservationSlack = 300 * time.Millisecond
	responseSlack    = 500 * time.Millisecond
)

// world is a node core among clients and engines that behave at random, and the judge of the rules. It believes only
// what reached clients and engines.
type world struct {
	ignoredObserver
	t               *rapid.T
	d               *config.Deployment
	core            *router.Router
	now             int64
	clients         []*simulatedClient
	dialing         []*router.EngineConnection
	engines         []*simulatedEngine
	endpoints       map[string]endpoint.Entry
	drainNotifiedAt map[string]int64 // when an engine was told to drain or to be gone
	reservations    []*simulatedReservation
	// unnoticed are connections that the node has closed, with an attempt on them, and the engine does not know yet.
	unnoticedCloses []*simulatedEngine
	unreachable     map[string]bool // engines that nothing reaches; their connections stay open
	delay           time.Duration   // how long ago what happens now has happened: the process was not run meanwhile
}

// simulatedClient is one client with one request.
type simulatedClient struct {
	world        *world
	client       *router.ClientConnection
	name         string
	route        config.Route
	deadline     int64
	resumed      bool
	out          bytes.Buffer
	respondedAt  int64 // when its answer began or was whole
	disconnected bool
	closed       bool // by the node
	attempts     []*postedAttempt
}

// postedAttempt is one attempt that reached an engine.
type postedAttempt struct {
	engine     string
	receivedAt int64
	prefill    bool
	inFlight   bool
	streaming  bool // its stream has
	cancelled  bool // the node has closed its connection
	neverRan   bool
}

// mayClaim is whether an attempt may still take a state.
func (p *postedAttempt) mayClaim() bool { return p.inFlight && !p.prefill && !p.streaming }

// simulatedEngine is one connection to an engine and what it has to answer.
type simulatedEngine struct {
	world      *world
	conn       *router.EngineConnection
	closed     bool
	client     *simulatedClient
	attempt    *postedAttempt
	method     string // of the request under way: POST, DELETE or GET; empty for none
	writtenAt  int64  // when it was written
	responding bool
}

// simulatedReservation is a state that waits at a reader.
type simulatedReservation struct {
	client            *simulatedClient
	engine            string
	attemptInFlightAt int64 // the last time at which an attempt of its request was out
}

func (w *world) Dial(conn *router.EngineConnection)                  { w.dialing = append(w.dialing, conn) }
func (w *world) InvariantViolated(v invariant.Violation)             { w.t.Fatalf("the monitor: %+v", v) }
func (w *world) AroundStep(_ routing.Event, step func())             { step() }
func (w *world) PolicyPanicked(p any, _ routing.Event, stack []byte) { w.t.Fatalf("%v\n%s", p, stack) }

func (c *simulatedClient) Send(data []byte) error { c.out.Write(data); return nil }
func (c *simulatedClient) Flushed() bool          { return true }
func (c *simulatedClient) StopReading()           {}
func (c *simulatedClient) Disconnected() bool     { return c.disconnected }
func (c *simulatedClient) CloseIfIdle() bool      { c.closed = true; return true }
func (c *simulatedClient) Close()                 { c.closed = true }

// Write takes a request of the node and judges it.
func (e *simulatedEngine) Write(request []byte) error {
	w := e.world
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil {
		w.t.Fatalf("%v: %q", err, request)
	}
	e.method, e.responding, e.writtenAt = r.Method, false, w.now
	if w.unreachable[e.conn.Engine] { // nothing arrives
		e.method = ""
	}
	if e.method == http.MethodDelete {
		w.releaseReservations(strings.TrimPrefix(r.URL.Path, platform.ReservationsPath))
	}
	if r.Method != http.MethodPost {
		return nil
	}
	i := slices.IndexFunc(w.clients, func(c *simulatedClient) bool { return c.name == r.Header.Get(platform.HeaderRequestID) })
	e.client = w.clients[i]
	e.attempt = &postedAttempt{engine: e.conn.Engine, receivedAt: w.now, prefill: w.d.Role(w.endpoints[e.conn.Engine].Kind) == "read"}
	w.checkAttempt(e.client, e.attempt)
	e.attempt.inFlight = e.method != ""
	e.client.attempts = append(e.client.attempts, e.attempt)
	return nil
}

func (e *simulatedEngine) RequestWritten() bool { return true }

// Close is seen by the engine later than by the node: what the node writes on other connections may arrive before.
func (e *simulatedEngine) Close() {
	if e.closed {
		return
	}
	e.closed = true
	if e.method == http.MethodPost && e.attempt.inFlight {
		e.attempt.cancelled = true
		e.world.unnoticedCloses = append(e.world.unnoticedCloses, e)
	}
}

// releaseReservations lets go of what is held for a request and no attempt waits for.
func (w *world) releaseReservations(name string) {
	w.reservations = slices.DeleteFunc(w.reservations, func(h *simulatedReservation) bool {
		return h.client.name == name && !slices.ContainsFunc(h.client.attempts, (*postedAttempt).mayClaim)
	})
}

// noticeCloses lets engines see the connections that the node has closed.
func (w *world) noticeCloses() {
	for _, e := range w.unnoticedCloses {
		e.loseAttempt()
	}
	w.unnoticedCloses = nil
}

// loseAttempt ends the attempt under way in a way that leaves open whether it ran. A read may have ended well just then.
func (e *simulatedEngine) loseAttempt() {
	if e.method == http.MethodPost {
		e.attempt.inFlight = false
		if e.attempt.prefill && !e.responding {
			e.world.addReservation(e.client, e.attempt.engine)
		}
	}
	e.method = ""
}

func (w *world) addReservation(c *simulatedClient, engine string) {
	w.reservations = append(w.reservations, &simulatedReservation{client: c, engine: engine, attemptInFlightAt: w.now - int64(w.delay)})
}

// checkAttempt is rules 1 to 3 for an attempt that begins.
func (w *world) checkAttempt(c *simulatedClient, p *postedAttempt) {
	if c.disconnected || c.respondedAt > 0 {
		w.t.Fatalf("%s: an attempt after its client had gone (%v) or been answered (%v)", c.name, c.disconnected, c.respondedAt > 0)
	}
	if told := w.drainNotifiedAt[p.engine]; told > 0 && w.now-told > int64(w.d.Rules.DrainGrace) {
		w.t.Fatalf("%s: an attempt at %s %v after it was told to drain", c.name, p.engine, time.Duration(w.now-told))
	}
	for _, before := range c.attempts {
		if before.inFlight && !before.cancelled {
			w.t.Fatalf("%s: a second copy while one is out at %s", c.name, before.engine)
		}
		if before.prefill || before.neverRan || c.route.Effect == "retriable" {
			continue
		}
		inWindow := c.route.Effect == "deduped" && w.now-before.receivedAt < int64(c.route.DedupWindow)
		known := inWindow && (p.prefill || c.route.DedupGroup == "all" ||
			c.route.DedupGroup == "zone" && w.endpoints[p.engine].Zone == w.endpoints[before.engine].Zone ||
			c.route.DedupGroup == "cell" && w.endpoints[p.engine].Cell == w.endpoints[before.engine].Cell)
		if !known {
			w.t.Fatalf("%s (%s, %s, %v): sent to %s, and may have run at %s %v before", c.name, c.route.Effect,
				c.route.DedupGroup, c.route.DedupWindow, p.engine, before.engine, time.Duration(w.now-before.receivedAt))
		}
	}
}

// checkReservations looks at what has been answered and at what is held.
func (w *world) checkReservations() {
	for _, c := range w.clients {
		w.checkResponse(c)
	}
	if !w.anyReachable() {
		w.reservations = nil // no release could reach anyone: such states are the engines' to drop
	}
	for _, h := range w.reservations {
		if slices.ContainsFunc(h.client.attempts, func(p *postedAttempt) bool { return p.inFlight }) {
			h.attemptInFlightAt = w.now
		}
		if w.now-h.attemptInFlightAt > int64(w.d.Rules.ReservationLimit+reservationSlack) {
			w.t.Fatalf("%s is held at %s for %v", h.client.name, h.engine, time.Duration(w.now-h.attemptInFlightAt))
		}
	}
}

// anyReachable is whether an engine of the list can be reached.
func (w *world) anyReachable() bool {
	for id, e := range w.endpoints {
		if e.State != "" && !w.unreachable[id] {
			return true
		}
	}
	return false
}

func (w *world) checkResponse(c *simulatedClient) {
	if c.respondedAt > 0 || c.disconnected {
		return
	}
	if c.out.Len() == 0 {
		if w.now > c.deadline+int64(responseSlack) {
			w.t.Fatalf("%s: no answer %v after its time", c.name, time.Duration(w.now-c.deadline))
		}
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.out.Bytes())), nil)
	if err != nil {
		w.t.Fatalf("%s: %v: %q", c.name, err, c.out.Bytes())
	}
	c.respondedAt = w.now
	refused := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	harmless := c.route.Effect == "retriable" || c.route.Effect == "deduped" && c.route.DedupGroup == "all"
	ran := c.resumed || slices.ContainsFunc(c.attempts, func(p *postedAttempt) bool { return !p.prefill && !p.neverRan })
	if refused && ran && !harmless {
		w.t.Fatalf("%s (%s): refused, though it may have run", c.name, c.route.Effect)
	}
}

// checkFinalState is for a world in which nothing is under way any more: one whole answer for each, and nothing behind it.
func (w *world) checkFinalState() {
	for _, c := range w.clients {
		if c.disconnected {
			continue
		}
		in := bufio.NewReader(&c.out)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			w.t.Fatalf("%s: %v", c.name, err)
		}
		_, err = io.ReadAll(r.Body)
		if err != nil && !c.closed {
			w.t.Fatalf("%s: a stream without its end, and its connection stays open: %v", c.name, err)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			w.t.Fatalf("%s: %q behind the answer", c.name, rest)
		}
	}
	if h := w.core.InFlight(); h.Requests > 0 || h.ControlRequests > 0 || len(w.reservations) > 0 {
		w.t.Fatalf("at the end the node holds %+v, engines %d states", h, len(w.reservations))
	}
}

// do lets the core handle one event.
func (w *world) do(event func()) {
	w.core.SetTime(w.now)
	event()
	w.core.RunDue(w.now)
	w.checkReservations()
}

// dialTime is how long a dial takes that no other event ends: what is held must be let go of by connections, too.
const dialTime = 20 * time.Millisecond

func (w *world) pass(d time.Duration) {
	for end := w.now + int64(d); w.now < end; {
		step := min(end, w.now+int64(dialTime))
		for w.now < step {
			w.now = min(step, max(w.now+1, w.core.NextDue()))
			w.core.RunDue(w.now)
			w.checkReservations()
		}
		for len(w.dialing) > 0 {
			w.connect(0, true)
		}
		w.noticeCloses()
	}
}

// sendRequest is a new client with a request of a random class.
func (w *world) sendRequest() {
	route := rapid.SampledFrom(w.d.Routes).Draw(w.t, "class")
	wait := time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "wait in ms")) * time.Millisecond
	c := &simulatedClient{world: w, name: fmt.Sprintf("q%d", len(w.clients)), route: route, deadline: w.now + int64(wait)}
	c.client = &router.ClientConnection{ID: int64(len(w.clients) + 1), Socket: c}
	retry := rapid.SampledFrom([]string{"", "", "Client-Retry: 1\r\n", "Client-Retry: again\r\n"}).Draw(w.t, "retry")
	c.resumed = strings.Contains(retry, "again")
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nAffinity-Key: k%d\r\n"+
		"Request-Timeout: %.3f\r\n%sContent-Length: 2\r\n\r\n{}", platform.CompletionsPath, c.name, route.Name, len(w.clients)%3,
		wait.Seconds(), retry)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		w.t.Fatal(err)
	}
	a := &router.ClientRequest{Request: r, Bytes: 2}
	a.Call, a.Caller, a.Rejection = platform.NewCodec(nil).ParseRequest(r, []byte("{}"))
	w.clients = append(w.clients, c)
	w.do(func() { w.core.ClientOpened(c.client); w.core.ReceiveRequest(c.client, a) })
}

func (w *world) disconnect(c *simulatedClient) {
	c.disconnected = true
	w.do(func() { w.core.ClientDisconnected(c.client) })
}

// connect ends a dial.
func (w *world) connect(i int, ok bool) {
	conn := w.dialing[i]
	w.dialing = slices.Delete(w.dialing, i, i+1)
	if !ok {
		w.do(func() { w.core.EngineConnected(conn, nil, io.ErrUnexpectedEOF) })
		return
	}
	e := &simulatedEngine{world: w, conn: conn}
	w.engines = append(w.engines, e)
	w.do(func() { w.core.EngineConnected(conn, e, nil) })
}

// The words of an engine.
const (
	wordDone     = "done"
	wordRefused  = "refused"
	wordNoState  = "no state"
	wordError    = "error"
	wordBreak    = "break"
	wordEvent    = "event"
	wordNonsense = "nonsense"
)

// respond is an engine's next word on a connection that has something to answer.
func (w *world) respond(e *simulatedEngine, word string) {
	head := func(status int, fields ...string) {
		h := http.Header{}
		for i := 0; i+1 < len(fields); i += 2 {
			h.Set(fields[i], fields[i+1])
		}
		if e.method == http.MethodPost && status != http.StatusOK {
			e.attempt.inFlight = false // the whole answer is on its way
		}
		w.core.ResponseHead(e.conn, &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: h}, nil)
	}
	end := func(body string) {
		if e.method == http.MethodPost {
			e.attempt.inFlight = false
		}
		e.method = ""
		w.core.ResponseComplete(e.conn, []byte(body), true)
	}
	stream := e.method == http.MethodPost && !e.attempt.prefill
	switch {
	case word == wordBreak || word == wordNonsense && e.responding:
		e.closed = true
		e.loseAttempt()
		w.do(func() { w.core.EngineDisconnected(e.conn) })
	case word == wordNonsense:
		w.do(func() { w.core.ResponseInvalid(e.conn, io.ErrUnexpectedEOF) })
	case e.responding && word == wordDone:
		w.do(func() { end("") })
	case e.responding:
		w.do(func() { w.core.StreamEvent(e.conn, []byte(`{"choices":[2]}`)) })
	case e.method != http.MethodPost:
		w.do(func() { head(204); end("") })
	case word == wordRefused || word == wordNoState && !stream:
		e.attempt.neverRan = true
		w.do(func() { head(503, platform.HeaderNotStarted, "1"); end("") })
	case word == wordNoState:
		e.attempt.neverRan = true
		w.do(func() { head(410, platform.HeaderNotStarted, "1"); end("") })
	case word == wordError:
		if e.attempt.prefill {
			w.addReservation(e.client, e.attempt.engine)
		}
		w.do(func() { head(500); end("") })
	case !stream:
		w.addReservation(e.client, e.attempt.engine)
		w.do(func() { head(202); end(`{"cached_tokens":0}`) })
	default:
		e.responding, e.attempt.streaming = true, true
		w.reservations = slices.DeleteFunc(w.reservations, func(h *simulatedReservation) bool { return h.client == e.client })
		w.do(func() {
			head(200, "Content-Type", "text/event-stream")
			w.core.StreamEvent(e.conn, []byte(`{"choices":[1]}`))
		})
	}
}

// publishEndpoints tells the list as it is now.
func (w *world) publishEndpoints() {
	list := endpoint.List{Revision: w.now}
	ids := []string{}
	for id := range w.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w.endpoints[id].State != "" {
			list.Entries = append(list.Entries, w.endpoints[id])
		}
	}
	w.do(func() { w.core.UpdateEndpoints(list) })
}

// setState makes an engine drain, go, or be ready again.
func (w *world) setState(id, state string) {
	e := w.endpoints[id]
	e.State = state
	w.endpoints[id] = e
	if state == endpoint.Ready {
		delete(w.drainNotifiedAt, id)
	} else if w.drainNotifiedAt[id] == 0 {
		w.drainNotifiedAt[id] = w.now
	}
	w.publishEndpoints()
}

// randomSettings draws a deployment: names, effects, limits and times of its own.
func randomSettings(t *rapid.T) []byte {
	ms := func(name string, from, to int) int { return 1000 * rapid.IntRange(from, to).Draw(t, name+" in ms") }
	var classes []map[string]any
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		classes = append(classes, map[string]any{"name": fmt.Sprintf("%s-%d", rapid.StringMatching(`[a-z]{1,9}`).Draw(t, "name"), i),
			"effect":          rapid.SampledFrom([]string{"retryable", "dedup", "fragile"}).Draw(t, "effect"),
			"dedup_scope":     rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "scope"),
			"memory_span_us":  ms("window", 50, 5000),
			"worth":           rapid.Float64Range(0.1, 20).Draw(t, "worth"),
			"objective_us":    ms("target", 100, 3000),
			"deadline_us":     ms("deadline", 500, 8000),
			"unknown_setting": 1})
	}
	told := map[string]any{"name": "n0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "1",
		"limits": map[string]any{"sockets": rapid.SampledFrom([]int{128, 1024}).Draw(t, "sockets")},
		"settings": map[string]any{"areas": []string{"a", "b"}, "zone": 0, "index": 0,
			"peers_total": rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "nodes"), "tick_us": 4000, "flavors": []string{"p", "d", "m"},
			"ceilings": map[string]any{"try_limit": rapid.IntRange(1, 6).Draw(t, "attempts"), "cancel": true,
				"probes": rapid.Bool().Draw(t, "probes"), "retry_after": rapid.Bool().Draw(t, "retry after"),
				"max_retry_after_us": 1000000, "dial_timeout_us": ms("dial", 50, 500), "conn_idle_us": ms("idle", 2000, 20000)},
			"family_info": map[string]any{"stage_of_kind": []string{"read", "write", "both"}, "pin_limit_us": ms("pin", 500, 3000),
				"resume": rapid.Bool().Draw(t, "resume"), "kind_memory_tokens": []int{100000, 100000, 100000}},
			"classes": classes, "obligations": map[string]any{"drain_grace_us": ms("grace", 100, 500)}}}
	data, err := json.Marshal(told)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func newWorld(t *rapid.T) *world {
	told, err := platform.ParseNodeConfig("settings", randomSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, now: 1e15, endpoints: map[string]endpoint.Entry{}, drainNotifiedAt: map[string]int64{},
		unreachable: map[string]bool{}}
	if w.d, err = told.Deployment("settings"); err != nil {
		t.Fatal(err)
	}
	w.core = router.New(w.d, platform.NewCodec(told.LoadReportFields()), 1, 1, w.now, w, w)
	for i, kind := range []string{"p", "p", "d", "d", "m"}[:rapid.IntRange(3, 5).Draw(t, "engines")] {
		id := fmt.Sprint("s", i)
		w.endpoints[id] = endpoint.Entry{ID: id, Address: "127.0.0.1:1", Kind: kind, Zone: []string{"a", "b"}[i%2], Weight: 1,
			Cell:  fmt.Sprint(i % 3),
			State: endpoint.Ready}
	}
	w.publishEndpoints()
	return w
}

// busyEngines are the connections on which an engine has something to answer.
func (w *world) busyEngines() (rows []*simulatedEngine) {
	w.engines = slices.DeleteFunc(w.engines, func(e *simulatedEngine) bool { return e.closed })
	for _, e := range w.engines {
		if e.method != "" && !w.unreachable[e.conn.Engine] {
			rows = append(rows, e)
		}
	}
	return rows
}

// step is one random event.
func (w *world) step() {
	words := []string{wordDone, wordDone, wordDone, wordEvent, wordRefused, wordNoState, wordError, wordBreak, wordNonsense}
	switch what := rapid.IntRange(0, 12).Draw(w.t, "event"); {
	case what <= 1 && len(w.clients) < 12:
		w.sendRequest()
	case what <= 4 && len(w.dialing) > 0:
		w.connect(rapid.IntRange(0, len(w.dialing)-1).Draw(w.t, "dial"), rapid.IntRange(0, 4).Draw(w.t, "comes up") > 0)
	case what <= 8 && len(w.busyEngines()) > 0:
		engine, word := rapid.SampledFrom(w.busyEngines()).Draw(w.t, "engine"), rapid.SampledFrom(words).Draw(w.t, "word")
		w.delay = min(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50, 200}).Draw(w.t, "late in ms"))*time.Millisecond,
			time.Duration(w.now-engine.writtenAt))
		w.core.SetEarliestEventTime(w.now - int64(w.delay))
		w.respond(engine, word)
		w.delay = 0
		w.core.SetEarliestEventTime(0)
	case what == 9 && len(w.clients) > 0:
		if c := rapid.SampledFrom(w.clients).Draw(w.t, "client"); !c.disconnected && c.respondedAt == 0 {
			w.disconnect(c)
		}
	case what == 10:
		id := fmt.Sprint("s", rapid.IntRange(0, len(w.endpoints)-1).Draw(w.t, "listed"))
		w.setState(id, rapid.SampledFrom([]string{endpoint.Ready, endpoint.Ready, endpoint.Draining, ""}).Draw(w.t, "state"))
	case what == 12 && len(w.unreachable) == 0: // one at a time, so that another can be told to let go
		w.unreachable[fmt.Sprint("s", rapid.IntRange(0, len(w.endpoints)-1).Draw(w.t, "deaf"))] = true
	case what == 12:
		clear(w.unreachable)
	case what == 11 && rapid.IntRange(0, 5).Draw(w.t, "stops") == 0:
		w.do(w.core.Shutdown)
	default:
		w.pass(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "time in ms")) * time.Millisecond)
	}
}

// settle lets all that is under way end well.
func (w *world) settle() {
	w.core.SetEarliestEventTime(0)
	for range 400 {
		for len(w.dialing) > 0 {
			w.connect(0, true)
		}
		for _, e := range w.busyEngines() {
			if !e.closed && e.method != "" {
				w.respond(e, wordDone)
			}
		}
		w.pass(50 * time.Millisecond)
	}
}

// Whatever the settings, and whatever engines, clients and the list do, the rules are kept. Nothing may depend on the
// names, classes or limits of one deployment.
func TestInvariantsOnRandomSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 80).Draw(t, "events") {
			w.step()
		}
		w.settle()
		w.checkFinalState()
	})
}
