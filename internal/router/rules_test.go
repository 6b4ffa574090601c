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
	holdSlack   = 300 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// world is a node core among clients and engines that behave at random, and the judge of the rules. It believes only
// what reached clients and engines.
type world struct {
	ignoredEvents
	t        *rapid.T
	d        *config.Deployment
	core     *router.Core
	now      int64
	callers  []*caller
	dialling []*router.Line
	conns    []*engineConn
	list     map[string]endpoint.Entry
	toldAt   map[string]int64 // when an engine was told to drain or to be gone
	holds    []*hold
	// unnoticed are connections that the node has closed, with an attempt on them, and the engine does not know yet.
	unnoticed []*engineConn
	deaf      map[string]bool // engines that nothing reaches; their connections stay open
	late      time.Duration   // how long ago what happens now has happened: the process was not run meanwhile
}

// caller is one client with one request.
type caller struct {
	world    *world
	client   *router.Client
	name     string
	route    config.Route
	giveUpAt int64
	resumes  bool
	out      bytes.Buffer
	endedAt  int64 // when its answer began or was whole
	gone     bool
	closed   bool // by the node
	posts    []*post
}

// post is one attempt that reached an engine.
type post struct {
	engine   string
	at       int64
	reads    bool
	out      bool
	began    bool // its stream has
	cut      bool // the node has closed its connection
	neverRan bool
}

// waits is whether an attempt may still take a state.
func (p *post) waits() bool { return p.out && !p.reads && !p.began }

// engineConn is one connection to an engine and what it has to answer.
type engineConn struct {
	world   *world
	line    *router.Line
	closed  bool
	caller  *caller
	post    *post
	kind    string // of the request under way: POST, DELETE or GET; empty for none
	wroteAt int64  // when it was written
	began   bool
}

// hold is a state that waits at a reader.
type hold struct {
	caller *caller
	engine string
	since  int64 // the last time at which an attempt of its request was out
}

func (w *world) Dial(l *router.Line)                               { w.dialling = append(w.dialling, l) }
func (w *world) Violated(v invariant.Violation)                    { w.t.Fatalf("the monitor: %+v", v) }
func (w *world) Around(_ routing.Event, step func())               { step() }
func (w *world) ModuleFailed(p any, _ routing.Event, stack []byte) { w.t.Fatalf("%v\n%s", p, stack) }

func (c *caller) Send(data []byte) error { c.out.Write(data); return nil }
func (c *caller) Drained() bool          { return true }
func (c *caller) StopReading()           {}
func (c *caller) Gone() bool             { return c.gone }
func (c *caller) TryClose() bool         { c.closed = true; return true }
func (c *caller) Close()                 { c.closed = true }

// Write takes a request of the node and judges it.
func (e *engineConn) Write(request []byte) error {
	w := e.world
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil {
		w.t.Fatalf("%v: %q", err, request)
	}
	e.kind, e.began, e.wroteAt = r.Method, false, w.now
	if w.deaf[e.line.Engine] { // nothing arrives
		e.kind = ""
	}
	if e.kind == http.MethodDelete {
		w.release(strings.TrimPrefix(r.URL.Path, platform.ReservationsPath))
	}
	if r.Method != http.MethodPost {
		return nil
	}
	i := slices.IndexFunc(w.callers, func(c *caller) bool { return c.name == r.Header.Get(platform.HeaderRequestID) })
	e.caller = w.callers[i]
	e.post = &post{engine: e.line.Engine, at: w.now, reads: w.d.Role(w.list[e.line.Engine].Kind) == "read"}
	w.judgePost(e.caller, e.post)
	e.post.out = e.kind != ""
	e.caller.posts = append(e.caller.posts, e.post)
	return nil
}

func (e *engineConn) Written() bool { return true }

// Close is seen by the engine later than by the node: what the node writes on other connections may arrive before.
func (e *engineConn) Close() {
	if e.closed {
		return
	}
	e.closed = true
	if e.kind == http.MethodPost && e.post.out {
		e.post.cut = true
		e.world.unnoticed = append(e.world.unnoticed, e)
	}
}

// release lets go of what is held for a request and no attempt waits for.
func (w *world) release(name string) {
	w.holds = slices.DeleteFunc(w.holds, func(h *hold) bool {
		return h.caller.name == name && !slices.ContainsFunc(h.caller.posts, (*post).waits)
	})
}

// notice lets engines see the connections that the node has closed.
func (w *world) notice() {
	for _, e := range w.unnoticed {
		e.lose()
	}
	w.unnoticed = nil
}

// lose ends the attempt under way in a way that leaves open whether it ran. A read may have ended well just then.
func (e *engineConn) lose() {
	if e.kind == http.MethodPost {
		e.post.out = false
		if e.post.reads && !e.began {
			e.world.hold(e.caller, e.post.engine)
		}
	}
	e.kind = ""
}

func (w *world) hold(c *caller, engine string) {
	w.holds = append(w.holds, &hold{caller: c, engine: engine, since: w.now - int64(w.late)})
}

// judgePost is rules 1 to 3 for an attempt that begins.
func (w *world) judgePost(c *caller, p *post) {
	if c.gone || c.endedAt > 0 {
		w.t.Fatalf("%s: an attempt after its client had gone (%v) or been answered (%v)", c.name, c.gone, c.endedAt > 0)
	}
	if told := w.toldAt[p.engine]; told > 0 && w.now-told > int64(w.d.Rules.DrainGrace) {
		w.t.Fatalf("%s: an attempt at %s %v after it was told to drain", c.name, p.engine, time.Duration(w.now-told))
	}
	for _, before := range c.posts {
		if before.out && !before.cut {
			w.t.Fatalf("%s: a second copy while one is out at %s", c.name, before.engine)
		}
		if before.reads || before.neverRan || c.route.Effect == "retriable" {
			continue
		}
		inWindow := c.route.Effect == "deduped" && w.now-before.at < int64(c.route.DedupWindow)
		known := inWindow && (p.reads || c.route.DedupGroup == "all" ||
			c.route.DedupGroup == "zone" && w.list[p.engine].Zone == w.list[before.engine].Zone ||
			c.route.DedupGroup == "cell" && w.list[p.engine].Cell == w.list[before.engine].Cell)
		if !known {
			w.t.Fatalf("%s (%s, %s, %v): sent to %s, and may have run at %s %v before", c.name, c.route.Effect,
				c.route.DedupGroup, c.route.DedupWindow, p.engine, before.engine, time.Duration(w.now-before.at))
		}
	}
}

// judge looks at what has been answered and at what is held.
func (w *world) judge() {
	for _, c := range w.callers {
		w.judgeAnswer(c)
	}
	if !w.anyHears() {
		w.holds = nil // no release could reach anyone: such states are the engines' to drop
	}
	for _, h := range w.holds {
		if slices.ContainsFunc(h.caller.posts, func(p *post) bool { return p.out }) {
			h.since = w.now
		}
		if w.now-h.since > int64(w.d.Rules.ReservationLimit+holdSlack) {
			w.t.Fatalf("%s is held at %s for %v", h.caller.name, h.engine, time.Duration(w.now-h.since))
		}
	}
}

// anyHears is whether an engine of the list can be reached.
func (w *world) anyHears() bool {
	for id, e := range w.list {
		if e.State != "" && !w.deaf[id] {
			return true
		}
	}
	return false
}

func (w *world) judgeAnswer(c *caller) {
	if c.endedAt > 0 || c.gone {
		return
	}
	if c.out.Len() == 0 {
		if w.now > c.giveUpAt+int64(answerSlack) {
			w.t.Fatalf("%s: no answer %v after its time", c.name, time.Duration(w.now-c.giveUpAt))
		}
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.out.Bytes())), nil)
	if err != nil {
		w.t.Fatalf("%s: %v: %q", c.name, err, c.out.Bytes())
	}
	c.endedAt = w.now
	refused := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	harmless := c.route.Effect == "retriable" || c.route.Effect == "deduped" && c.route.DedupGroup == "all"
	ran := c.resumes || slices.ContainsFunc(c.posts, func(p *post) bool { return !p.reads && !p.neverRan })
	if refused && ran && !harmless {
		w.t.Fatalf("%s (%s): refused, though it may have run", c.name, c.route.Effect)
	}
}

// judgeEnd is for a world in which nothing is under way any more: one whole answer for each, and nothing behind it.
func (w *world) judgeEnd() {
	for _, c := range w.callers {
		if c.gone {
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
	if h := w.core.Holding(); h.Inferences > 0 || h.Controls > 0 || len(w.holds) > 0 {
		w.t.Fatalf("at the end the node holds %+v, engines %d states", h, len(w.holds))
	}
}

// do lets the core handle one event.
func (w *world) do(event func()) {
	w.core.Begin(w.now)
	event()
	w.core.Turn(w.now)
	w.judge()
}

// dialTime is how long a dial takes that no other event ends: what is held must be let go of by connections, too.
const dialTime = 20 * time.Millisecond

func (w *world) pass(d time.Duration) {
	for end := w.now + int64(d); w.now < end; {
		step := min(end, w.now+int64(dialTime))
		for w.now < step {
			w.now = min(step, max(w.now+1, w.core.Due()))
			w.core.Turn(w.now)
			w.judge()
		}
		for len(w.dialling) > 0 {
			w.connect(0, true)
		}
		w.notice()
	}
}

// ask is a new client with a request of a random class.
func (w *world) ask() {
	route := rapid.SampledFrom(w.d.Routes).Draw(w.t, "class")
	wait := time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "wait in ms")) * time.Millisecond
	c := &caller{world: w, name: fmt.Sprintf("q%d", len(w.callers)), route: route, giveUpAt: w.now + int64(wait)}
	c.client = &router.Client{ID: int64(len(w.callers) + 1), Socket: c}
	retry := rapid.SampledFrom([]string{"", "", "Client-Retry: 1\r\n", "Client-Retry: again\r\n"}).Draw(w.t, "retry")
	c.resumes = strings.Contains(retry, "again")
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nAffinity-Key: k%d\r\n"+
		"Request-Timeout: %.3f\r\n%sContent-Length: 2\r\n\r\n{}", platform.CompletionsPath, c.name, route.Name, len(w.callers)%3,
		wait.Seconds(), retry)
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		w.t.Fatal(err)
	}
	a := &router.Asked{Request: r, Bytes: 2}
	a.Call, a.Party, a.Wrong = platform.NewCodec(nil).ParseRequest(r, []byte("{}"))
	w.callers = append(w.callers, c)
	w.do(func() { w.core.ClientOpened(c.client); w.core.Ask(c.client, a) })
}

func (w *world) leave(c *caller) {
	c.gone = true
	w.do(func() { w.core.ClientGone(c.client) })
}

// connect ends a dial.
func (w *world) connect(i int, ok bool) {
	l := w.dialling[i]
	w.dialling = slices.Delete(w.dialling, i, i+1)
	if !ok {
		w.do(func() { w.core.LineDialled(l, nil, io.ErrUnexpectedEOF) })
		return
	}
	e := &engineConn{world: w, line: l}
	w.conns = append(w.conns, e)
	w.do(func() { w.core.LineDialled(l, e, nil) })
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

// say is an engine's next word on a connection that has something to answer.
func (w *world) say(e *engineConn, word string) {
	head := func(status int, fields ...string) {
		h := http.Header{}
		for i := 0; i+1 < len(fields); i += 2 {
			h.Set(fields[i], fields[i+1])
		}
		if e.kind == http.MethodPost && status != http.StatusOK {
			e.post.out = false // the whole answer is on its way
		}
		w.core.LineHead(e.line, &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: h}, nil)
	}
	end := func(body string) {
		if e.kind == http.MethodPost {
			e.post.out = false
		}
		e.kind = ""
		w.core.LineEnd(e.line, []byte(body), true)
	}
	stream := e.kind == http.MethodPost && !e.post.reads
	switch {
	case word == wordBreak || word == wordNonsense && e.began:
		e.closed = true
		e.lose()
		w.do(func() { w.core.LineBroken(e.line) })
	case word == wordNonsense:
		w.do(func() { w.core.LineGarbled(e.line, io.ErrUnexpectedEOF) })
	case e.began && word == wordDone:
		w.do(func() { end("") })
	case e.began:
		w.do(func() { w.core.LineEvent(e.line, []byte(`{"choices":[2]}`)) })
	case e.kind != http.MethodPost:
		w.do(func() { head(204); end("") })
	case word == wordRefused || word == wordNoState && !stream:
		e.post.neverRan = true
		w.do(func() { head(503, platform.HeaderNotStarted, "1"); end("") })
	case word == wordNoState:
		e.post.neverRan = true
		w.do(func() { head(410, platform.HeaderNotStarted, "1"); end("") })
	case word == wordError:
		if e.post.reads {
			w.hold(e.caller, e.post.engine)
		}
		w.do(func() { head(500); end("") })
	case !stream:
		w.hold(e.caller, e.post.engine)
		w.do(func() { head(202); end(`{"cached_tokens":0}`) })
	default:
		e.began, e.post.began = true, true
		w.holds = slices.DeleteFunc(w.holds, func(h *hold) bool { return h.caller == e.caller })
		w.do(func() {
			head(200, "Content-Type", "text/event-stream")
			w.core.LineEvent(e.line, []byte(`{"choices":[1]}`))
		})
	}
}

// tellList tells the list as it is now.
func (w *world) tellList() {
	list := endpoint.List{Revision: w.now}
	ids := []string{}
	for id := range w.list {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if w.list[id].State != "" {
			list.Entries = append(list.Entries, w.list[id])
		}
	}
	w.do(func() { w.core.TakeList(list) })
}

// change makes an engine drain, go, or be ready again.
func (w *world) change(id, state string) {
	e := w.list[id]
	e.State = state
	w.list[id] = e
	if state == endpoint.Ready {
		delete(w.toldAt, id)
	} else if w.toldAt[id] == 0 {
		w.toldAt[id] = w.now
	}
	w.tellList()
}

// anySettings draws a deployment: names, effects, limits and times of its own.
func anySettings(t *rapid.T) []byte {
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
	told, err := platform.ParseNodeConfig("settings", anySettings(t))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, now: 1e15, list: map[string]endpoint.Entry{}, toldAt: map[string]int64{},
		deaf: map[string]bool{}}
	if w.d, err = told.Deployment("settings"); err != nil {
		t.Fatal(err)
	}
	w.core = router.New(w.d, platform.NewCodec(told.LoadReportFields()), 1, 1, w.now, w, w)
	for i, kind := range []string{"p", "p", "d", "d", "m"}[:rapid.IntRange(3, 5).Draw(t, "engines")] {
		id := fmt.Sprint("s", i)
		w.list[id] = endpoint.Entry{ID: id, Address: "127.0.0.1:1", Kind: kind, Zone: []string{"a", "b"}[i%2], Weight: 1,
			Cell:  fmt.Sprint(i % 3),
			State: endpoint.Ready}
	}
	w.tellList()
	return w
}

// busy are the connections on which an engine has something to answer.
func (w *world) busy() (row []*engineConn) {
	w.conns = slices.DeleteFunc(w.conns, func(e *engineConn) bool { return e.closed })
	for _, e := range w.conns {
		if e.kind != "" && !w.deaf[e.line.Engine] {
			row = append(row, e)
		}
	}
	return row
}

// step is one random event.
func (w *world) step() {
	words := []string{wordDone, wordDone, wordDone, wordEvent, wordRefused, wordNoState, wordError, wordBreak, wordNonsense}
	switch what := rapid.IntRange(0, 12).Draw(w.t, "event"); {
	case what <= 1 && len(w.callers) < 12:
		w.ask()
	case what <= 4 && len(w.dialling) > 0:
		w.connect(rapid.IntRange(0, len(w.dialling)-1).Draw(w.t, "dial"), rapid.IntRange(0, 4).Draw(w.t, "comes up") > 0)
	case what <= 8 && len(w.busy()) > 0:
		engine, word := rapid.SampledFrom(w.busy()).Draw(w.t, "engine"), rapid.SampledFrom(words).Draw(w.t, "word")
		w.late = min(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50, 200}).Draw(w.t, "late in ms"))*time.Millisecond,
			time.Duration(w.now-engine.wroteAt))
		w.core.EventsSince(w.now - int64(w.late))
		w.say(engine, word)
		w.late = 0
		w.core.EventsSince(0)
	case what == 9 && len(w.callers) > 0:
		if c := rapid.SampledFrom(w.callers).Draw(w.t, "client"); !c.gone && c.endedAt == 0 {
			w.leave(c)
		}
	case what == 10:
		id := fmt.Sprint("s", rapid.IntRange(0, len(w.list)-1).Draw(w.t, "listed"))
		w.change(id, rapid.SampledFrom([]string{endpoint.Ready, endpoint.Ready, endpoint.Draining, ""}).Draw(w.t, "state"))
	case what == 12 && len(w.deaf) == 0: // one at a time, so that another can be told to let go
		w.deaf[fmt.Sprint("s", rapid.IntRange(0, len(w.list)-1).Draw(w.t, "deaf"))] = true
	case what == 12:
		clear(w.deaf)
	case what == 11 && rapid.IntRange(0, 5).Draw(w.t, "stops") == 0:
		w.do(w.core.Stopping)
	default:
		w.pass(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "time in ms")) * time.Millisecond)
	}
}

// settle lets all that is under way end well.
func (w *world) settle() {
	w.core.EventsSince(0)
	for range 400 {
		for len(w.dialling) > 0 {
			w.connect(0, true)
		}
		for _, e := range w.busy() {
			if !e.closed && e.kind != "" {
				w.say(e, wordDone)
			}
		}
		w.pass(50 * time.Millisecond)
	}
}

// Whatever the settings, and whatever engines, clients and the list do, the rules are kept. Nothing may depend on the
// names, classes or limits of one deployment.
func TestRulesOnAnySettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(5, 80).Draw(t, "events") {
			w.step()
		}
		w.settle()
		w.judgeEnd()
	})
}
