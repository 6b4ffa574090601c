package router_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
	"sandcourse/settings"
)

// recorder is a core on a simulated clock, with everything that it puts on a wire written down: the time, the connection
// and the bytes. Engines answer as a test scripts it.
type recorder struct {
	ignoredEvents
	t        *testing.T
	core     *router.Core
	d        *config.Deployment
	protocol protocol.Codec
	chat     bool // the chat dialect; else the platform's
	start    int64
	now      int64
	out      strings.Builder
	tasks    []goldenTask
	conns    int
	clients  int64
	requests map[string]int // so far, by kind
	revision int64
	refused  map[string]bool // engines that refuse connections
	// answer is an engine's answer to its request; empty for the usual one.
	answer func(kind, engine string, count int) string
}

type goldenTask struct {
	at int64
	do func()
}

// The answers of engines.
const (
	answerUsual  = ""
	answerFull   = "full"
	answerError  = "error"
	answerGone   = "no state"
	answerBroken = "broken connection"
	answerHalf   = "half a stream"
	answerNoise  = "noise"
	answerSilent = "silent"
	answerSlow   = "slow"
)

func newRecorder(t *testing.T, chat bool, nodes int, alter ...func(*config.Deployment)) *recorder {
	t.Helper()
	r := &recorder{t: t, chat: chat, start: 1e15, now: 1e15, requests: map[string]int{}, refused: map[string]bool{},
		answer: func(string, string, int) string { return answerUsual }}
	if chat {
		d, err := config.Read("default", []byte(settings.Demo))
		if err != nil {
			t.Fatal(err)
		}
		r.d = d
		d.NodeCount = nodes
		r.protocol = chatapi.NewCodec([]string{d.Routes[0].Name, d.Routes[1].Name})
	} else {
		text := strings.Replace(told, `"peers_total":1`, fmt.Sprintf(`"peers_total":%d`, nodes), 1)
		told, err := platform.ParseNodeConfig("test", []byte(strings.Replace(text, `"cancel":true`, `"cancel":true,"peers":true`, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if r.d, err = told.Deployment("test"); err != nil {
			t.Fatal(err)
		}
		r.protocol = platform.NewCodec(told.LoadReportFields())
	}
	for _, f := range alter {
		f(r.d)
	}
	r.core = router.New(r.d, r.protocol, 1, 1, r.now, r, r)
	return r
}

func (r *recorder) note(format string, args ...any) {
	fmt.Fprintf(&r.out, "%.3f ms %s\n", float64(r.now-r.start)/1e6, fmt.Sprintf(format, args...))
}

func (r *recorder) bytes(what string, data []byte) {
	r.note("%s, %d bytes", what, len(data))
	for line := range strings.SplitAfterSeq(string(data), "\n") {
		if line != "" {
			fmt.Fprintf(&r.out, "    %q\n", line)
		}
	}
}

func (r *recorder) Around(_ routing.Event, step func())             { step() }
func (r *recorder) ModuleFailed(p any, _ routing.Event, row []byte) { r.t.Fatalf("%v\n%s", p, row) }
func (r *recorder) Violated(v invariant.Violation)                  { r.t.Errorf("rule broken: %+v", v) }
func (r *recorder) Tell(to int, text string)                        { r.bytes(fmt.Sprintf("to peer %d", to), []byte(text)) }

func (r *recorder) Dial(l *router.Line) {
	r.conns++
	number := r.conns
	r.note("dial %s at %s: connection %d", l.Engine, l.Host, number)
	r.after(time.Millisecond, func() {
		if r.refused[l.Engine] {
			r.note("connection %d is refused", number)
			r.core.LineDialled(l, nil, syscall.ECONNREFUSED)
			return
		}
		r.core.LineDialled(l, &goldenEngine{r: r, line: l, number: number}, nil)
	})
}

func (r *recorder) after(d time.Duration, do func()) {
	at := r.now + int64(d)
	i := slices.IndexFunc(r.tasks, func(t goldenTask) bool { return t.at > at })
	if i < 0 {
		i = len(r.tasks)
	}
	r.tasks = slices.Insert(r.tasks, i, goldenTask{at, do})
}

// do is one event at the present time.
func (r *recorder) do(event func()) {
	r.core.Begin(r.now)
	event()
	r.core.Turn(r.now)
}

// pass lets time pass, with all that falls due meanwhile.
func (r *recorder) pass(d time.Duration) {
	for end := r.now + int64(d); r.now < end; {
		next := r.core.Due()
		if len(r.tasks) > 0 {
			next = min(next, r.tasks[0].at)
		}
		r.now = min(end, max(r.now+1, next))
		for len(r.tasks) > 0 && r.tasks[0].at <= r.now {
			task := r.tasks[0]
			r.tasks = r.tasks[1:]
			r.do(task.do)
		}
		r.core.Turn(r.now)
	}
}

// goldenEngine is the engine's end of a connection.
type goldenEngine struct {
	r      *recorder
	line   *router.Line
	number int
	shut   bool
}

func (e *goldenEngine) Written() bool { return true }
func (e *goldenEngine) Close() {
	e.shut = true
	e.r.note("connection %d to %s closed by the node", e.number, e.line.Engine)
}

func (e *goldenEngine) Write(request []byte) error {
	r := e.r
	r.bytes(fmt.Sprintf("to engine %s on connection %d", e.line.Engine, e.number), request)
	kind := "decode"
	switch {
	case bytes.HasPrefix(request, []byte("GET ")):
		kind = "probe"
	case bytes.HasPrefix(request, []byte("DELETE ")) || bytes.HasPrefix(request, []byte("POST /sandcourse/release ")):
		kind = "release"
	case e.line.Engine[0] == 'r':
		kind = "prefill"
	}
	r.requests[kind]++
	e.reply(kind, r.answer(kind, e.line.Engine, r.requests[kind]))
	return nil
}

// later is one event of the connection, unless it is closed by then.
func (e *goldenEngine) later(d time.Duration, do func()) {
	e.r.after(d, func() {
		if !e.shut {
			do()
		}
	})
}

func (e *goldenEngine) head(status int, fields ...string) {
	h := http.Header{}
	for i := 0; i+1 < len(fields); i += 2 {
		h.Set(fields[i], fields[i+1])
	}
	e.r.core.LineHead(e.line, &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: h}, nil)
}

func (e *goldenEngine) whole(status int, body string, fields ...string) {
	e.head(status, fields...)
	e.r.core.LineEnd(e.line, []byte(body), true)
}

func (e *goldenEngine) refuse(word string, status int) {
	if e.r.chat {
		e.whole(status, `{"error":{}}`, "X-Sandcourse-Refused", word)
		return
	}
	e.whole(status, "", "Not-Started", "1")
}

func (e *goldenEngine) reply(kind, answer string) {
	core, wait := e.r.core, 10*time.Millisecond
	switch answer {
	case answerSilent:
		return
	case answerSlow:
		wait = 400 * time.Millisecond
	case answerFull:
		e.later(wait, func() { e.refuse("full", 503) })
		return
	case answerGone:
		e.later(wait, func() { e.refuse("no-state", 410) })
		return
	case answerError:
		e.later(wait, func() { e.whole(500, `{"error":{}}`) })
		return
	case answerBroken:
		e.later(wait, func() { e.shut = true; core.LineBroken(e.line) })
		return
	case answerNoise:
		e.later(wait, func() { core.LineGarbled(e.line, io.ErrUnexpectedEOF) })
		return
	}
	switch kind {
	case "probe":
		e.later(wait, func() { e.probed() })
	case "release":
		e.later(wait, func() { e.whole(204, "") })
	case "prefill":
		e.later(wait, func() { e.prefilled() })
	default:
		e.stream(wait, answer == answerHalf)
	}
}

func (e *goldenEngine) probed() {
	if e.r.chat {
		e.whole(200, "", "X-Sandcourse-Memory", "0.25", "X-Sandcourse-Waiting", "1", "X-Sandcourse-Open", "2")
		return
	}
	e.whole(200, "x0=1,x1=2")
}

func (e *goldenEngine) prefilled() {
	if e.r.chat {
		e.whole(200, `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"`+e.line.Engine+
			`","remote_host":"10.0.0.1","remote_port":7,"remote_block_ids":[1,2]},`+
			`"usage":{"prompt_tokens_details":{"cached_tokens":3}}}`)
		return
	}
	e.whole(202, `{"cached_tokens":0}`, "Server-Load", "x0=1,x1=2")
}

func (e *goldenEngine) stream(wait time.Duration, half bool) {
	core := e.r.core
	event := func(text string) func() { return func() { core.LineEvent(e.line, []byte(text)) } }
	e.later(wait, func() { e.head(200, "Content-Type", "text/event-stream") })
	e.later(wait, event(`{"id":"e1","choices":[{"index":0,"delta":{"role":"assistant","content":"Go"}}]}`))
	if half {
		e.later(wait+5*time.Millisecond, func() { e.shut = true; core.LineBroken(e.line) })
		return
	}
	e.later(wait+5*time.Millisecond, event(`{"id":"e1","choices":[{"index":0,"delta":{"content":"al"}}]}`))
	e.later(wait+10*time.Millisecond, event(`{"id":"e1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}`))
	e.later(wait+10*time.Millisecond, event("[DONE]"))
	e.later(wait+11*time.Millisecond, func() { core.LineEnd(e.line, nil, true) })
}

// goldenClient is a connection of a client; its bytes are cut as the program cuts them.
type goldenClient struct {
	r      *recorder
	core   *router.Client
	cutter *httpframing.Parser
	head   *http.Request
	body   []byte
	gone   bool
	shut   bool
}

func (c *goldenClient) Send(data []byte) error {
	if c.shut {
		return io.ErrClosedPipe
	}
	c.r.bytes(fmt.Sprintf("to client %d", c.core.ID), data)
	return nil
}
func (c *goldenClient) Drained() bool  { return true }
func (c *goldenClient) StopReading()   {}
func (c *goldenClient) Gone() bool     { return c.gone }
func (c *goldenClient) TryClose() bool { c.Close(); return true }
func (c *goldenClient) Close() {
	if !c.shut {
		c.shut = true
		c.r.note("client %d closed by the node", c.core.ID)
	}
}

func (r *recorder) client() *goldenClient {
	r.clients++
	c := &goldenClient{r: r, cutter: httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 2048, BodyBytes: 4096})}
	c.core = &router.Client{ID: r.clients, Socket: c}
	r.do(func() { r.core.ClientOpened(c.core) })
	return c
}

// leave ends the client's connection.
func (c *goldenClient) leave() {
	c.r.note("client %d leaves", c.core.ID)
	c.gone = true
	c.r.do(func() { c.r.core.ClientGone(c.core) })
}

// send is what a client puts on its connection.
func (c *goldenClient) send(text string) {
	core := c.r.core
	c.r.do(func() {
		pieces, err := c.cutter.Feed([]byte(text))
		for _, p := range pieces {
			switch p.Kind {
			case httpframing.Head:
				c.head, c.body = p.Request, nil
				if strings.EqualFold(p.Request.Header.Get("Expect"), "100-continue") {
					core.Continue(c.core)
				}
			case httpframing.Body:
				c.body = append(c.body, p.Data...)
			case httpframing.End:
				a := &router.Asked{Request: c.head, Bytes: len(c.body)}
				a.Call, a.Party, a.Wrong = c.r.protocol.ParseRequest(c.head, c.body)
				core.Ask(c.core, a)
			}
		}
		if err != nil {
			core.RefuseMessage(c.core, err)
		}
	})
}

// The model routes: whether a request may be tried again after it may have run.
const (
	retriable    = "retriable"
	nonRetriable = "non-retriable"
	deduplicated = "deduplicated" // by engines, for a time; the chat dialect's demo has no such route
)

// request is the text of an inference.
func (r *recorder) request(name, effect string, stream bool, fields ...string) string {
	if r.chat {
		route := map[string]string{retriable: "clip-summary", nonRetriable: "fan-alert"}[effect]
		body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":20,"user":"u1","messages":[`+
			`{"role":"system","content":"You caption clips."},{"role":"user","content":"The goal."}]}`, route, stream)
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Conversation-Id: k%s\r\n"+
			"X-Give-Up-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s", name, name, strings.Join(fields, ""), len(body), body)
	}
	route := map[string]string{retriable: "chat", nonRetriable: "alert", deduplicated: "label"}[effect]
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":20}`, route, stream)
	return fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k%s\r\nRequest-Timeout: 2.0\r\nRequest-Info: prompt_len=120,max_out=20\r\nX-Other: y\r\n%s"+
		"Content-Length: %d\r\n\r\n%s", name, route, name, strings.Join(fields, ""), len(body), body)
}

func (r *recorder) ask(name, effect string, stream bool, fields ...string) *goldenClient {
	c := r.client()
	c.send(r.request(name, effect, stream, fields...))
	return c
}

// list tells the core of engines: r... are for prefill, w... for decode; with a - behind it one is draining, and with @
// it is at another address.
func (r *recorder) list(words ...string) {
	r.revision++
	list := endpoint.List{Revision: r.revision}
	for _, word := range words {
		id, host, moved := strings.Cut(word, "@")
		id, drains := strings.CutSuffix(id, "-")
		if !moved {
			host = fmt.Sprintf("127.0.0.1:%d", 3000+int(id[len(id)-1]-'0')+100*int(id[0]-'a'))
		}
		kind := 0
		if id[0] == 'w' {
			kind = 1
		}
		zone := "a"
		if r.chat {
			zone = "ktm-dc1"
		}
		state := endpoint.Ready
		if drains {
			state = endpoint.Draining
		}
		list.Entries = append(list.Entries, endpoint.Entry{ID: id, Address: host, Kind: r.d.Kinds[kind].Name, Zone: zone,
			Weight: 1, State: state})
	}
	r.note("engines listed: %s", strings.Join(words, " "))
	r.do(func() { r.core.TakeList(list) })
}

// strikes makes the first requests of a kind get answers in order; those behind them get the usual one.
func (r *recorder) strikes(kind string, row ...string) {
	r.answer = func(k, _ string, count int) string {
		if k == kind && count <= len(row) {
			return row[count-1]
		}
		return answerUsual
	}
}

// goldenSituations are played on both dialects.
var goldenSituations = []struct {
	name string
	play func(r *recorder)
}{
	{"stream", func(r *recorder) {
		r.list("r1", "w1")
		c := r.ask("a1", retriable, true)
		r.pass(time.Second)
		c.send(r.request("a2", nonRetriable, true))
		r.pass(time.Second)
	}},
	{"whole", func(r *recorder) {
		r.list("r1", "w1")
		c := r.ask("a1", retriable, false)
		c.send(r.request("a2", nonRetriable, false, "Connection: close\r\n"))
		r.pass(2 * time.Second)
	}},
	{"shed", func(r *recorder) {
		c := r.ask("a1", retriable, true) // no list has come
		r.pass(3 * time.Second)
		r.list()
		c.send(r.request("a2", retriable, true))
		c.send(r.request("a3", nonRetriable, true))
		r.pass(6 * time.Second)
		r.list("r1") // nobody decodes
		r.ask("a4", nonRetriable, true)
		r.pass(3 * time.Second)
	}},
	{"engines-refuse-connections", func(r *recorder) {
		r.list("r1", "w1")
		r.refused["r1"] = true
		r.ask("a1", retriable, true)
		r.pass(3 * time.Second)
	}},
	{"prefill-retry", func(r *recorder) {
		for i, answer := range []string{answerFull, answerError, answerBroken, answerNoise} {
			r.list("r1", "r2", "w1", "w2")
			r.requests = map[string]int{}
			r.strikes("prefill", answer)
			r.ask(fmt.Sprint("a", i), retriable, true)
			r.pass(3 * time.Second)
		}
	}},
	{"decode-retry", func(r *recorder) {
		for i, answer := range []string{answerFull, answerGone, answerError, answerBroken} {
			r.list("r1", "r2", "w1", "w2")
			r.requests = map[string]int{}
			r.strikes("decode", answer)
			r.ask(fmt.Sprint("a", i), retriable, true)
			r.pass(3 * time.Second)
		}
	}},
	{"decode-failure-non-retriable", func(r *recorder) {
		for i, answer := range []string{answerFull, answerGone, answerError, answerBroken, answerHalf} {
			r.list("r1", "r2", "w1", "w2")
			r.requests = map[string]int{}
			r.strikes("decode", answer)
			r.ask(fmt.Sprint("a", i), nonRetriable, i%2 == 0)
			r.pass(3 * time.Second)
		}
	}},
	{"deduplicated", func(r *recorder) {
		r.list("r1", "r2", "w1", "w2")
		for i, answer := range []string{answerBroken, answerError, answerHalf} {
			r.requests = map[string]int{}
			r.strikes("decode", answer)
			r.ask(fmt.Sprint("a", i), deduplicated, true, "Client-Retry: 1\r\n")
			r.pass(3 * time.Second)
		}
	}},
	{"timeout", func(r *recorder) {
		r.list("r1", "w1")
		r.strikes("prefill", answerSilent, answerSilent, answerSilent, answerSilent)
		r.ask("a1", retriable, true)
		r.pass(4 * time.Second)
		r.requests = map[string]int{}
		r.strikes("decode", answerSilent)
		r.ask("a2", nonRetriable, true)
		r.pass(4 * time.Second)
	}},
	{"release", func(r *recorder) {
		r.list("r1", "w1", "w2")
		r.strikes("decode", answerSilent)
		c := r.ask("a1", retriable, true)
		r.pass(200 * time.Millisecond)
		c.leave()
		r.pass(3 * time.Second)
	}},
	{"client-gone", func(r *recorder) {
		r.list("r1", "w1")
		r.ask("a1", retriable, true).leave()
		r.pass(time.Second)
		c := r.ask("a2", nonRetriable, true)
		r.pass(5 * time.Millisecond)
		c.leave()
		r.pass(2 * time.Second)
		c = r.ask("a3", retriable, true)
		r.pass(26 * time.Millisecond)
		c.leave()
		r.pass(2 * time.Second)
	}},
	{"probes", func(r *recorder) {
		r.list("r1", "w1")
		for _, engine := range []string{"r1", "w1"} {
			r.do(func() { r.core.Probe(engine) })
		}
		r.pass(2 * time.Second)
		r.answer = func(string, string, int) string { return answerSilent }
		r.do(func() { r.core.Probe("r1") })
		r.pass(time.Second)
	}},
	{"stopping", func(r *recorder) {
		r.list("r1", "w1")
		idle := r.client()
		idle.send(r.request("a0", retriable, true))
		r.pass(time.Second)
		r.strikes("decode", answerUsual, answerSlow)
		busy := r.ask("a1", retriable, true)
		r.pass(50 * time.Millisecond)
		r.note("the node is told to stop")
		r.do(r.core.Stopping)
		r.ask("a2", retriable, true)
		late := r.ask("a3", nonRetriable, true)
		r.pass(2 * time.Second)
		late.send(r.request("a4", retriable, true))
		busy.send(r.request("a5", nonRetriable, true))
		r.ask("a6", retriable, true)
		r.pass(time.Second)
		r.do(func() { r.core.CloseClients() })
		r.pass(time.Second)
	}},
	{"abandon", func(r *recorder) {
		r.list("r1", "w1")
		r.answer = func(kind, _ string, _ int) string {
			if kind == "release" {
				return answerUsual
			}
			return answerSlow
		}
		r.ask("a1", retriable, true)
		r.pass(100 * time.Millisecond)
		r.note("the node abandons what is open")
		r.do(func() { r.core.Abandon("this node is stopping") })
		r.pass(2 * time.Second)
	}},
	{"reload-with-drain", func(r *recorder) {
		r.list("r1", "r2", "w1", "w2")
		for i := range 4 {
			r.ask(fmt.Sprint("a", i), retriable, true)
			r.pass(300 * time.Millisecond)
		}
		r.list("r1-", "r2", "w1-", "w2")
		for i := range 4 {
			r.ask(fmt.Sprint("b", i), nonRetriable, true)
			r.pass(300 * time.Millisecond)
		}
		r.list("r2@127.0.0.9:9", "r3", "w2", "w3")
		for i := range 4 {
			r.ask(fmt.Sprint("c", i), retriable, true)
			r.pass(300 * time.Millisecond)
		}
	}},
}

func goldenName(chat bool, name string) string {
	if chat {
		return "chat-" + name
	}
	return "platform-" + name
}

// What the node puts on its wires is what it put there when the golden files were written.
func TestGoldenWire(t *testing.T) {
	for _, chat := range []bool{true, false} {
		for _, s := range goldenSituations {
			name := goldenName(chat, s.name)
			if chat && s.name == "deduplicated" {
				continue
			}
			t.Run(name, func(t *testing.T) {
				r := newRecorder(t, chat, 1)
				s.play(r)
				golden.Check(t, name+".golden", r.out.String())
			})
		}
	}
}

// What nodes tell one another.
func TestGoldenPeers(t *testing.T) {
	for _, chat := range []bool{true, false} {
		name := goldenName(chat, "peers")
		t.Run(name, func(t *testing.T) {
			r := newRecorder(t, chat, 3)
			r.list("r1", "r2", "w1", "w2")
			for i := range 3 {
				r.ask(fmt.Sprint("a", i), retriable, true)
				r.pass(700 * time.Millisecond)
			}
			const text = `kept "kb0" "r2" "w2" 120`
			r.note("peer 1 says %q", text)
			r.do(func() { r.core.Heard(1, text) })
			r.ask("b0", retriable, true)
			r.pass(700 * time.Millisecond)
			golden.Check(t, name+".golden", r.out.String())
		})
	}
}

// badRequests are refused. Each has a connection of its own.
func badRequests(r *recorder) []string {
	good := r.request("a1", retriable, true)
	// One that is left as it was is of the other dialect, and served.
	with := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	body := func(text string) string {
		head, _, _ := strings.Cut(good, "Content-Length:")
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	}
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	row := []string{
		"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST /_health HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		"POST /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
		with("HTTP/1.1", "HTTP/1.0"), with("HTTP/1.1", "HTTP/3.7"), with("clip-summary", "unknown"),
		with("Request-Class: chat", "Request-Class: unknown"), with("Request-Class: chat\r\n", ""),
		with("Request-Id: a1\r\n", "Request-Id: ../x\r\n"), with("X-Request-Id: a1\r\n", "X-Request-Id: "+strings.Repeat("a", 300)+"\r\n"),
		with("Request-Timeout: 2.0", "Request-Timeout: soon"), with("Request-Timeout: 2.0\r\n", ""),
		with("X-Give-Up-Ms: 2000", "X-Give-Up-Ms: soon"), with("X-Give-Up-Ms: 2000", "X-Give-Up-Ms: -1"),
		with("prompt_len=120", "prompt_len=-1"), with("Affinity-Key: ka1", "Affinity-Key: "+strings.Repeat("k", 200)),
		with("Host: x\r\n", "Host: x\r\nRequest-Class: chat\r\n"),
		with("Host: x\r\n", "Host: x\r\nX-Stainless-Retry-Count: many\r\n"),
		body(""), body("[]"), body("{"), body("null"), body("{}"), body(`{"model":3}`), body(`{"model":"clip-summary","messages":[]}`),
		body(`{"model":"clip-summary","messages":[{"role":"x","content":"a"}]}`),
		body(`{"model":"clip-summary","n":2,"messages":[{"role":"user","content":"a"}]}`),
		body(`{"model":"clip-summary","max_tokens":0,"messages":[{"role":"user","content":"a"}]}`),
		body(`{"model":"clip-summary","stream":"yes","messages":[{"role":"user","content":"a"}]}`),
		post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n", post + "Content-Length: +1\r\n\r\n",
		post + "Content-Length : 1\r\n\r\n", post + " x: y\r\n\r\n", "GET / HTTP/1.1\r\nHost: x\nX: y\r\n\r\n",
		post + "X: " + strings.Repeat("y", 3000), post + "Content-Length: 9999\r\n\r\n",
		post + "Transfer-Encoding: chunked\r\n\r\nffff\r\n", post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
		"nonsense\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
		post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n",
	}
	return row
}

func TestGoldenRefusals(t *testing.T) {
	for _, chat := range []bool{true, false} {
		name := goldenName(chat, "refusals")
		t.Run(name, func(t *testing.T) {
			r := newRecorder(t, chat, 1)
			for _, text := range []string{"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"} {
				r.client().send(text) // no list has come
			}
			r.list("r1", "w1")
			r.ask("again", retriable, true)
			r.pass(time.Second)
			r.ask("again", retriable, true) // a name that is known
			r.pass(time.Second)
			for i, text := range badRequests(r) {
				text = strings.Replace(text, "Request-Id: a1\r\n", fmt.Sprintf("Request-Id: a%d\r\n", i), 1)
				r.bytes("a client sends", []byte(text))
				c := r.client()
				c.send(text)
				r.pass(700 * time.Millisecond)
			}
			r.note("a message that cannot be read for another reason")
			c := r.client()
			r.do(func() { r.core.RefuseMessage(c.core, errors.New("cut short")) })
			r.pass(time.Second)
			golden.Check(t, name+".golden", r.out.String())
		})
	}
}

// What is refused as a bound of the node is reached.
func TestGoldenLimits(t *testing.T) {
	for _, chat := range []bool{true, false} {
		name := goldenName(chat, "limits")
		t.Run(name, func(t *testing.T) {
			r := newRecorder(t, chat, 1, func(d *config.Deployment) {
				d.Limits.Conns, d.Limits.Open, d.Limits.Bytes, d.Limits.Retries = 12, 8, 10_000, 0.2
			})
			r.note("a request that stops within its head, and one within its body")
			for _, input := range []admission.Input{admission.HeadBegan, admission.HeadWhole} {
				c := r.client()
				r.do(func() { r.core.Reading(c.core, input, 10) })
				r.pass(100 * time.Millisecond) // connections that are closed at one moment are closed in any order
			}
			r.pass(20 * time.Second)
			r.note("more bytes than may be held")
			c := r.client()
			r.do(func() { r.core.Reading(c.core, admission.HeadWhole, 20_000) })
			r.pass(3 * time.Second)
			r.note("requests that are sent ahead")
			r.list("r1", "w1")
			c = r.client()
			var ahead strings.Builder
			for i := range 8 {
				ahead.WriteString(r.request(fmt.Sprint("a", i), retriable, true))
			}
			c.send(ahead.String())
			r.pass(3 * time.Second)
			r.note("more connections and requests than may be open")
			r.list()
			var row []*goldenClient
			for i := range 14 {
				var fields []string
				if i < 8 {
					fields = []string{"Authorization: Bearer one\r\n"} // of one party, where the dialect knows parties
				}
				row = append(row, r.ask(fmt.Sprint("b", i), retriable, true, fields...))
			}
			r.pass(3 * time.Second)
			for _, c := range row {
				c.leave()
			}
			r.note("clients that try again and again")
			for i := range 30 {
				c := r.ask(fmt.Sprint("c", i), retriable, true, "Client-Retry: 1\r\n", "X-Stainless-Retry-Count: 1\r\n")
				r.pass(10 * time.Millisecond)
				c.leave()
			}
			r.pass(time.Second)
			golden.Check(t, name+".golden", r.out.String())
		})
	}
}
