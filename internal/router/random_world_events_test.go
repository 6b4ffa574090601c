package router_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
)

// sendRequest adds a client with a request of a random class.
func (w *world) sendRequest() {
	route := rapid.SampledFrom(w.deployment.Routes).Draw(w.t, "class")
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
	received := &router.ClientRequest{Request: r, Bytes: 2}
	received.Call, received.Caller, received.Rejection = platform.NewCodec(nil).ParseRequest(r, []byte("{}"))
	w.clients = append(w.clients, c)
	w.do(func() { w.core.ClientOpened(c.client); w.core.ReceiveRequest(c.client, received) })
}

// disconnect ends the connection of a client.
func (w *world) disconnect(c *simulatedClient) {
	c.disconnected = true
	w.do(func() { w.core.ClientDisconnected(c.client) })
}

// connect ends a dial, with a connection or without.
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

// How an engine answers.
const (
	answerDone          = "done"
	answerRejected      = "refused"
	answerNoReservation = "no state"
	answerError         = "error"
	answerDisconnect    = "break"
	answerToken         = "event"
	answerInvalid       = "nonsense"
)

// respond is an engine's next step on a connection with a request in flight.
func (w *world) respond(e *simulatedEngine, answer string) {
	switch {
	case answer == answerDisconnect || answer == answerInvalid && e.responding:
		e.closed = true
		e.loseAttempt()
		w.do(func() { w.core.EngineDisconnected(e.conn) })
	case answer == answerInvalid:
		w.do(func() { w.core.ResponseInvalid(e.conn, io.ErrUnexpectedEOF) })
	case e.responding && answer == answerDone:
		w.do(func() { e.completeResponse("") })
	case e.responding:
		w.do(func() { w.core.StreamEvent(e.conn, []byte(`{"choices":[2]}`)) })
	case e.method != http.MethodPost:
		w.do(func() { e.respondWith(204, "") })
	default:
		w.respondToAttempt(e, answer)
	}
}

// respondToAttempt is an engine's first step for an attempt.
func (w *world) respondToAttempt(e *simulatedEngine, answer string) {
	prefill := e.attempt.prefill
	switch {
	case answer == answerRejected || answer == answerNoReservation && prefill:
		e.attempt.neverRan = true
		w.do(func() { e.respondWith(503, "", platform.HeaderNotStarted, "1") })
	case answer == answerNoReservation:
		e.attempt.neverRan = true
		w.do(func() { e.respondWith(410, "", platform.HeaderNotStarted, "1") })
	case answer == answerError:
		if prefill {
			w.addReservation(e.client, e.attempt.engine)
		}
		w.do(func() { e.respondWith(500, "") })
	case prefill:
		w.addReservation(e.client, e.attempt.engine)
		w.do(func() { e.respondWith(202, `{"cached_tokens":0}`) })
	default:
		e.responding, e.attempt.streaming = true, true
		w.reservations = slices.DeleteFunc(w.reservations, func(h *simulatedReservation) bool { return h.client == e.client })
		w.do(func() {
			e.sendHead(200, "Content-Type", "text/event-stream")
			w.core.StreamEvent(e.conn, []byte(`{"choices":[1]}`))
		})
	}
}

// sendHead sends the head of an answer.
func (e *simulatedEngine) sendHead(status int, fields ...string) {
	header := http.Header{}
	for i := 0; i+1 < len(fields); i += 2 {
		header.Set(fields[i], fields[i+1])
	}
	if e.method == http.MethodPost && status != http.StatusOK {
		e.attempt.inFlight = false // the complete answer is on its way
	}
	e.world.core.ResponseHead(e.conn, responseHead(status, header), nil)
}

// completeResponse sends the body of an answer.
func (e *simulatedEngine) completeResponse(body string) {
	if e.method == http.MethodPost {
		e.attempt.inFlight = false
	}
	e.method = ""
	e.world.core.ResponseComplete(e.conn, []byte(body), true)
}

// respondWith sends a complete answer.
func (e *simulatedEngine) respondWith(status int, body string, fields ...string) {
	e.sendHead(status, fields...)
	e.completeResponse(body)
}

// publishEndpoints publishes the list as it is now.
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

// setState makes an engine drain, leave the list, or be ready again.
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

// randomSettings draws the settings of a deployment: names, effects, limits and times.
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
	settings := map[string]any{"name": "n0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:9", "seed": "1",
		"limits": map[string]any{"sockets": rapid.SampledFrom([]int{128, 1024}).Draw(t, "sockets")},
		"settings": map[string]any{"areas": []string{"a", "b"}, "zone": 0, "index": 0,
			"peers_total": rapid.SampledFrom([]int{1, 3, 300}).Draw(t, "nodes"), "tick_us": 4000, "flavors": []string{"p", "d", "m"},
			"ceilings": map[string]any{"try_limit": rapid.IntRange(1, 6).Draw(t, "attempts"), "cancel": true,
				"probes": rapid.Bool().Draw(t, "probes"), "retry_after": rapid.Bool().Draw(t, "retry after"),
				"max_retry_after_us": 1000000, "dial_timeout_us": ms("dial", 50, 500), "conn_idle_us": ms("idle", 2000, 20000)},
			"family_info": map[string]any{"stage_of_kind": []string{"read", "write", "both"}, "pin_limit_us": ms("pin", 500, 3000),
				"resume": rapid.Bool().Draw(t, "resume"), "kind_memory_tokens": []int{100000, 100000, 100000}},
			"classes": classes, "obligations": map[string]any{"drain_grace_us": ms("grace", 100, 500)}}}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// newWorld makes a world of random settings and engines.
func newWorld(t *rapid.T) *world {
	nodeConfig, err := platform.ParseNodeConfig("settings", randomSettings(t))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{t: t, now: 1e15, endpoints: map[string]endpoint.Entry{}, drainNotifiedAt: map[string]int64{},
		unreachable: map[string]bool{}}
	if w.deployment, err = nodeConfig.Deployment("settings"); err != nil {
		t.Fatal(err)
	}
	w.core = router.New(w.deployment, platform.NewCodec(nodeConfig.LoadReportFields()), 1, 1, w.now, w, w)
	for i, kind := range []string{"p", "p", "d", "d", "m"}[:rapid.IntRange(3, 5).Draw(t, "engines")] {
		id := fmt.Sprint("s", i)
		w.endpoints[id] = endpoint.Entry{ID: id, Address: "127.0.0.1:1", Kind: kind, Zone: []string{"a", "b"}[i%2], Weight: 1,
			Cell:  fmt.Sprint(i % 3),
			State: endpoint.Ready}
	}
	w.publishEndpoints()
	return w
}

// busyEngines are the connections on which a request waits for its answer.
func (w *world) busyEngines() (busy []*simulatedEngine) {
	w.engines = slices.DeleteFunc(w.engines, func(e *simulatedEngine) bool { return e.closed })
	for _, e := range w.engines {
		if e.method != "" && !w.unreachable[e.conn.Engine] {
			busy = append(busy, e)
		}
	}
	return busy
}

// step is one random event.
func (w *world) step() {
	answers := []string{answerDone, answerDone, answerDone, answerToken, answerRejected, answerNoReservation,
		answerError, answerDisconnect, answerInvalid}
	switch kind := rapid.IntRange(0, 12).Draw(w.t, "event"); {
	case kind <= 1 && len(w.clients) < 12:
		w.sendRequest()
	case kind <= 4 && len(w.dialing) > 0:
		w.connect(rapid.IntRange(0, len(w.dialing)-1).Draw(w.t, "dial"), rapid.IntRange(0, 4).Draw(w.t, "comes up") > 0)
	case kind <= 8 && len(w.busyEngines()) > 0:
		engine, answer := rapid.SampledFrom(w.busyEngines()).Draw(w.t, "engine"), rapid.SampledFrom(answers).Draw(w.t, "word")
		w.delay = min(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 50, 200}).Draw(w.t, "late in ms"))*time.Millisecond,
			time.Duration(w.now-engine.writtenAt))
		w.core.SetEarliestEventTime(w.now - int64(w.delay))
		w.respond(engine, answer)
		w.delay = 0
		w.core.SetEarliestEventTime(0)
	case kind == 9 && len(w.clients) > 0:
		if c := rapid.SampledFrom(w.clients).Draw(w.t, "client"); !c.disconnected && c.respondedAt == 0 {
			w.disconnect(c)
		}
	case kind == 10:
		id := fmt.Sprint("s", rapid.IntRange(0, len(w.endpoints)-1).Draw(w.t, "listed"))
		w.setState(id, rapid.SampledFrom([]string{endpoint.Ready, endpoint.Ready, endpoint.Draining, ""}).Draw(w.t, "state"))
	case kind == 12 && len(w.unreachable) == 0: // one at a time, so that another handles releases
		w.unreachable[fmt.Sprint("s", rapid.IntRange(0, len(w.endpoints)-1).Draw(w.t, "deaf"))] = true
	case kind == 12:
		clear(w.unreachable)
	case kind == 11 && rapid.IntRange(0, 5).Draw(w.t, "stops") == 0:
		w.do(w.core.Shutdown)
	default:
		w.pass(time.Duration(rapid.IntRange(1, 400).Draw(w.t, "time in ms")) * time.Millisecond)
	}
}

// settle lets everything in flight end well.
func (w *world) settle() {
	w.core.SetEarliestEventTime(0)
	for range 400 {
		for len(w.dialing) > 0 {
			w.connect(0, true)
		}
		for _, e := range w.busyEngines() {
			if !e.closed && e.method != "" {
				w.respond(e, answerDone)
			}
		}
		w.pass(50 * time.Millisecond)
	}
}

// Whatever the settings, and whatever engines, clients and the endpoint list do, the invariants hold. Nothing may depend on
// the names, classes or limits of one deployment.
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
