package router_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/protocol/httpframing"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
	"sandcourse/settings"
)

// recorder runs a router on a simulated clock and records everything that the router writes to connections: the time, the
// connection and the bytes. The test decides how engines answer.
type recorder struct {
	noopObserver
	t             *testing.T
	core          *router.Router
	deployment    *config.Deployment
	protocol      protocol.Codec
	chat          bool // the protocol is the chat API, not the platform protocol
	start         int64
	now           int64
	transcript    strings.Builder
	scheduled     []scheduledEvent
	connections   int
	clients       int64
	requestCounts map[string]int // number of requests to engines so far, by kind
	revision      int64
	refusing      map[string]bool // engines that refuse connections
	// replyFor returns how an engine answers a request.
	replyFor func(kind, engine string, count int) string
}

// scheduledEvent is an event that happens at a given time.
type scheduledEvent struct {
	at  int64
	run func()
}

// The kinds of replies of engines.
const (
	replyNormal        = ""
	replyFull          = "full"
	replyError         = "error"
	replyNoReservation = "no reservation"
	replyDisconnect    = "broken connection"
	replyPartialStream = "partial stream"
	replyInvalid       = "invalid"
	replyNone          = "none"
	replySlow          = "slow"
)

func newRecorder(t *testing.T, chat bool, nodes int, adjust ...func(*config.Deployment)) *recorder {
	t.Helper()
	r := &recorder{t: t, chat: chat, start: 1e15, now: 1e15, requestCounts: map[string]int{}, refusing: map[string]bool{},
		replyFor: func(string, string, int) string { return replyNormal }}
	if chat {
		d, err := config.Read("default", []byte(settings.Demo))
		if err != nil {
			t.Fatal(err)
		}
		r.deployment = d
		d.NodeCount = nodes
		r.protocol = chatapi.NewCodec([]string{d.Routes[0].Name, d.Routes[1].Name})
	} else {
		text := strings.Replace(testSettings, `"peers_total":1`, fmt.Sprintf(`"peers_total":%d`, nodes), 1)
		nodeConfig, err := platform.ParseNodeConfig("test", []byte(strings.Replace(text, `"cancel":true`, `"cancel":true,"peers":true`, 1)))
		if err != nil {
			t.Fatal(err)
		}
		if r.deployment, err = nodeConfig.Deployment("test"); err != nil {
			t.Fatal(err)
		}
		r.protocol = platform.NewCodec(nodeConfig.LoadReportFields())
	}
	for _, f := range adjust {
		f(r.deployment)
	}
	r.core = router.New(r.deployment, r.protocol, 1, 1, r.now, r, r)
	return r
}

func (r *recorder) record(format string, args ...any) {
	fmt.Fprintf(&r.transcript, "%.3f ms %s\n", float64(r.now-r.start)/1e6, fmt.Sprintf(format, args...))
}

func (r *recorder) recordBytes(description string, data []byte) {
	r.record("%s, %d bytes", description, len(data))
	for line := range strings.SplitAfterSeq(string(data), "\n") {
		if line != "" {
			fmt.Fprintf(&r.transcript, "    %q\n", line)
		}
	}
}

func (r *recorder) AroundStep(_ routing.Event, step func()) { step() }
func (r *recorder) PolicyPanicked(p any, _ routing.Event, stack []byte) {
	r.t.Fatalf("%v\n%s", p, stack)
}
func (r *recorder) InvariantViolated(v invariant.Violation) { r.t.Errorf("invariant violated: %+v", v) }

func (r *recorder) SendToPeer(to int, text string) {
	r.recordBytes(fmt.Sprintf("to peer %d", to), []byte(text))
}

func (r *recorder) Dial(conn *router.EngineConnection) {
	r.connections++
	number := r.connections
	r.record("dial %s at %s: connection %d", conn.Engine, conn.Address, number)
	r.schedule(time.Millisecond, func() {
		if r.refusing[conn.Engine] {
			r.record("connection %d is refused", number)
			r.core.EngineConnected(conn, nil, syscall.ECONNREFUSED)
			return
		}
		r.core.EngineConnected(conn, &goldenEngine{r: r, conn: conn, number: number}, nil)
	})
}

func (r *recorder) schedule(d time.Duration, event func()) {
	at := r.now + int64(d)
	i := slices.IndexFunc(r.scheduled, func(t scheduledEvent) bool { return t.at > at })
	if i < 0 {
		i = len(r.scheduled)
	}
	r.scheduled = slices.Insert(r.scheduled, i, scheduledEvent{at, event})
}

// do lets the router handle one event.
func (r *recorder) do(event func()) {
	r.core.SetTime(r.now)
	event()
	r.core.RunDue(r.now)
}

// advance moves the clock forward and runs all events that fall due.
func (r *recorder) advance(d time.Duration) {
	for end := r.now + int64(d); r.now < end; {
		next := r.core.NextDue()
		if len(r.scheduled) > 0 {
			next = min(next, r.scheduled[0].at)
		}
		r.now = min(end, max(r.now+1, next))
		for len(r.scheduled) > 0 && r.scheduled[0].at <= r.now {
			task := r.scheduled[0]
			r.scheduled = r.scheduled[1:]
			r.do(task.run)
		}
		r.core.RunDue(r.now)
	}
}

// goldenEngine is the engine's end of a connection.
type goldenEngine struct {
	r      *recorder
	conn   *router.EngineConnection
	number int
	closed bool
}

func (e *goldenEngine) RequestWritten() bool      { return true }
func (e *goldenEngine) ConfirmInput() bool        { return true }
func (e *goldenEngine) EndSending() bool          { return false }
func (e *goldenEngine) End() router.ConnectionEnd { return router.EndUnknown }

func (e *goldenEngine) Close() {
	e.closed = true
	e.r.record("connection %d to %s closed by the node", e.number, e.conn.Engine)
}

func (e *goldenEngine) Write(request []byte) error {
	r := e.r
	r.recordBytes(fmt.Sprintf("to engine %s on connection %d", e.conn.Engine, e.number), request)
	kind := "decode"
	switch {
	case bytes.HasPrefix(request, []byte("GET ")):
		kind = "probe"
	case bytes.HasPrefix(request, []byte("DELETE ")) || bytes.HasPrefix(request, []byte("POST /sandcourse/release ")):
		kind = "release"
	case e.conn.Engine[0] == 'r':
		kind = "prefill"
	}
	r.requestCounts[kind]++
	e.reply(kind, r.replyFor(kind, e.conn.Engine, r.requestCounts[kind]))
	return nil
}

// schedule schedules an event of the connection. The event is skipped if the connection is closed by then.
func (e *goldenEngine) schedule(d time.Duration, event func()) {
	e.r.schedule(d, func() {
		if !e.closed {
			event()
		}
	})
}

func (e *goldenEngine) respondHead(status int, fields ...string) {
	h := http.Header{}
	for i := 0; i+1 < len(fields); i += 2 {
		h.Set(fields[i], fields[i+1])
	}
	e.r.core.ResponseHead(e.conn, &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: h}, nil)
}

func (e *goldenEngine) respond(status int, body string, fields ...string) {
	e.respondHead(status, fields...)
	e.r.core.ResponseComplete(e.conn, []byte(body), true)
}

func (e *goldenEngine) reject(reason string, status int) {
	if e.r.chat {
		e.respond(status, `{"error":{}}`, "X-Sandcourse-Refused", reason)
		return
	}
	e.respond(status, "", "Not-Started", "1")
}

func (e *goldenEngine) reply(kind, answer string) {
	core, wait := e.r.core, 10*time.Millisecond
	switch answer {
	case replyNone:
		return
	case replySlow:
		wait = 400 * time.Millisecond
	case replyFull:
		e.schedule(wait, func() { e.reject("full", 503) })
		return
	case replyNoReservation:
		e.schedule(wait, func() { e.reject("no-state", 410) })
		return
	case replyError:
		e.schedule(wait, func() { e.respond(500, `{"error":{}}`) })
		return
	case replyDisconnect:
		e.schedule(wait, func() { e.closed = true; core.EngineDisconnected(e.conn) })
		return
	case replyInvalid:
		e.schedule(wait, func() { core.ResponseInvalid(e.conn, io.ErrUnexpectedEOF) })
		return
	}
	switch kind {
	case "probe":
		e.schedule(wait, func() { e.respondHealthCheck() })
	case "release":
		e.schedule(wait, func() { e.respond(204, "") })
	case "prefill":
		e.schedule(wait, func() { e.respondPrefill() })
	default:
		e.respondStream(wait, answer == replyPartialStream)
	}
}

func (e *goldenEngine) respondHealthCheck() {
	if e.r.chat {
		e.respond(200, "", "X-Sandcourse-Memory", "0.25", "X-Sandcourse-Waiting", "1", "X-Sandcourse-Open", "2")
		return
	}
	e.respond(200, "x0=1,x1=2")
}

func (e *goldenEngine) respondPrefill() {
	if e.r.chat {
		e.respond(200, `{"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"`+e.conn.Engine+
			`","remote_host":"10.0.0.1","remote_port":7,"remote_block_ids":[1,2]},`+
			`"usage":{"prompt_tokens_details":{"cached_tokens":3}}}`)
		return
	}
	e.respond(202, `{"cached_tokens":0}`, "Server-Load", "x0=1,x1=2")
}

func (e *goldenEngine) respondStream(wait time.Duration, partial bool) {
	core := e.r.core
	event := func(text string) func() { return func() { core.StreamEvent(e.conn, []byte(text)) } }
	e.schedule(wait, func() { e.respondHead(200, "Content-Type", "text/event-stream") })
	e.schedule(wait, event(`{"id":"e1","choices":[{"index":0,"delta":{"role":"assistant","content":"Go"}}]}`))
	if partial {
		e.schedule(wait+5*time.Millisecond, func() { e.closed = true; core.EngineDisconnected(e.conn) })
		return
	}
	e.schedule(wait+5*time.Millisecond, event(`{"id":"e1","choices":[{"index":0,"delta":{"content":"al"}}]}`))
	e.schedule(wait+10*time.Millisecond, event(`{"id":"e1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],`+
		`"usage":{"prompt_tokens":9,"completion_tokens":2,"total_tokens":11}}`))
	e.schedule(wait+10*time.Millisecond, event("[DONE]"))
	e.schedule(wait+11*time.Millisecond, func() { core.ResponseComplete(e.conn, nil, true) })
}

// goldenClient is a connection of a client; its input is framed as the edge frames it.
type goldenClient struct {
	r            *recorder
	connection   *router.ClientConnection
	parser       *httpframing.Parser
	head         *http.Request
	headBytes    int
	body         []byte
	disconnected bool
	closed       bool
}

func (c *goldenClient) Send(data []byte) error {
	if c.closed {
		return io.ErrClosedPipe
	}
	c.r.recordBytes(fmt.Sprintf("to client %d", c.connection.ID), data)
	return nil
}

func (c *goldenClient) Flushed() bool      { return true }
func (c *goldenClient) StopReading()       {}
func (c *goldenClient) Disconnected() bool { return c.disconnected }
func (c *goldenClient) CloseIfIdle() bool  { c.Close(); return true }

func (c *goldenClient) Close() {
	if !c.closed {
		c.closed = true
		c.r.record("client %d closed by the node", c.connection.ID)
	}
}

func (r *recorder) newClient() *goldenClient {
	r.clients++
	c := &goldenClient{r: r,
		parser: httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 2048, BodyBytes: 4096})}
	c.connection = &router.ClientConnection{ID: r.clients, Socket: c}
	r.do(func() { r.core.ClientOpened(c.connection) })
	return c
}

// disconnect ends the client's connection.
func (c *goldenClient) disconnect() {
	c.r.record("client %d disconnects", c.connection.ID)
	c.disconnected = true
	c.r.do(func() { c.r.core.ClientDisconnected(c.connection) })
}

// send passes input from the client to the router.
func (c *goldenClient) send(text string) {
	core := c.r.core
	c.r.do(func() {
		pieces, err := c.parser.Feed([]byte(text))
		for _, p := range pieces {
			switch p.Kind {
			case httpframing.Head:
				c.head, c.headBytes, c.body = p.Request, p.Size, nil
				if strings.EqualFold(p.Request.Header.Get("Expect"), "100-continue") {
					core.ExpectContinue(c.connection)
				}
			case httpframing.Body:
				c.body = append(c.body, p.Data...)
			case httpframing.End:
				core.ReceiveRequest(c.connection, router.NewClientRequest(c.r.protocol, c.head, c.headBytes, c.body))
			}
		}
		if err != nil {
			core.RejectMessage(c.connection, err)
		}
	})
}

// The kinds of model routes, by whether a request may be retried after an attempt that may have run.
const (
	retriable    = "retriable"
	nonRetriable = "non-retriable"
	deduplicated = "deduplicated" // Engines deduplicate retries for a time; the demo settings of the chat API have no such route.
)

// requestText returns a request in the recorder's protocol.
func (r *recorder) requestText(name, effect string, stream bool, fields ...string) string {
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

func (r *recorder) sendRequest(name, effect string, stream bool, fields ...string) *goldenClient {
	c := r.newClient()
	c.send(r.requestText(name, effect, stream, fields...))
	return c
}

// setEndpoints publishes a list of engines. IDs that begin with r are for prefill, those with w for decode. An ID that ends
// in - is draining; an address may follow after an @.
func (r *recorder) setEndpoints(specs ...string) {
	r.revision++
	list := endpoint.List{Revision: r.revision}
	for _, spec := range specs {
		id, host, hasAddress := strings.Cut(spec, "@")
		id, isDraining := strings.CutSuffix(id, "-")
		if !hasAddress {
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
		if isDraining {
			state = endpoint.Draining
		}
		list.Entries = append(list.Entries, endpoint.Entry{ID: id, Address: host, Kind: r.deployment.Kinds[kind].Name, Zone: zone,
			Weight: 1, State: state})
	}
	r.record("engines listed: %s", strings.Join(specs, " "))
	r.do(func() { r.core.UpdateEndpoints(list) })
}

// injectFaults sets the replies to the first requests of a kind; later requests get normal replies.
func (r *recorder) injectFaults(kind string, faults ...string) {
	r.replyFor = func(k, _ string, count int) string {
		if k == kind && count <= len(faults) {
			return faults[count-1]
		}
		return replyNormal
	}
}
