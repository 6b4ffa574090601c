package emulator

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

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

// networkDelay is how long a message takes between any two: within one data centre.
const networkDelay = 200 * time.Microsecond

// simulatedRouter is one node: the real core on simulated sockets.
type simulatedRouter struct {
	emulation *emulation
	index     int
	core      *router.Router
	wakeAt    int64 // when its next turn is set for, 0 for none
	pending   []func(o *router.Router)
	handling  bool

	clientCount int64
}

// connection is one connection to an engine.
type connection struct {
	id      int64
	core    *router.EngineConnection
	router  *simulatedRouter
	engine  *engine
	closed  bool
	request *engineRequest
}

// clientRequest is one try of a client.
type clientRequest struct {
	emulation       *emulation
	id              string
	route           int
	promptTokens    float64
	answerTokens    float64
	prefix          string
	session         string
	firstSentAt     int64 // when its client first asked
	sentAt          int64 // when this try was sent
	firstTokenAt    int64 // its first token
	attempt         int
	router          *simulatedRouter
	client          *router.ClientConnection
	responseHead    []byte
	streaming       bool
	ended           bool
	runs            int
	prefilledTokens float64
}

func (em *emulation) build() {
	d := config.Defaults()
	d.NodeCount, d.Limits.RetryShare = em.scenario.Routers, em.scenario.RetryBudget
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read", MemoryTokens: em.scenario.Engine.MemoryTokens},
		{Name: "decode", Role: "write", MemoryTokens: em.scenario.Engine.MemoryTokens}}
	d.Rules.SlowStart, d.Rules.SlowStartShare = em.scenario.Engine.WarmUp, em.scenario.Engine.WarmUpShare
	for _, r := range em.scenario.Routes {
		d.Routes = append(d.Routes, config.Route{Name: r.Name, Effect: config.Effect(r.Effect), PriorityWeight: r.PriorityWeight,
			FirstTokenObjective: r.FirstTokenTarget, Timeout: r.Timeout,
			DedupWindow: 5 * time.Second, DedupGroup: "all"})
	}
	for i := range em.scenario.PrefillEngines + em.scenario.DecodeEngines {
		engine := &engine{emulation: em, name: fmt.Sprintf("10.1.%d.%d:%d", i/200, i%200+1, 7000), role: "read", slowdown: 1,
			connections: map[*connection]bool{}}
		if i >= em.scenario.PrefillEngines {
			engine.role = "write"
		}
		engine.start()
		em.engines = append(em.engines, engine)
		em.engineByName[engine.name] = engine
	}
	for i := range em.scenario.Routers {
		mine := *d
		mine.NodeNumber, mine.NodeName = i, fmt.Sprint("n", i)
		e := &simulatedRouter{emulation: em, index: i}
		e.core = router.New(&mine, chatapi.NewCodec(nil), em.scenario.Seed*1000+uint64(i), 1, em.now, e, ignoreObservations{})
		em.routers = append(em.routers, e)
	}
	em.publish()
}

// publish hands the list to all nodes, half a second late and not all at once.
func (em *emulation) publish() {
	em.listRevision++
	list := endpoint.List{Revision: em.listRevision, Entries: []endpoint.Entry{}}
	for _, engine := range em.engines {
		if engine.unlisted {
			continue
		}
		e := endpoint.Entry{ID: engine.name, Kind: "prefill", Weight: 1, State: endpoint.Ready,
			StartedAtMs: engine.coldSince / 1e6}
		if engine.role == "write" {
			e.Kind = "decode"
		}
		if engine.draining {
			e.State = endpoint.Draining
		}
		list.Entries = append(list.Entries, e)
	}
	for _, e := range em.routers {
		late := time.Duration(0)
		if em.listRevision > 1 {
			late = 400*time.Millisecond + time.Duration(em.random.IntN(200))*time.Millisecond
		}
		em.schedule(late, func() { e.handle(func(o *router.Router) { o.UpdateEndpoints(list) }) })
	}
}

// handle hands an event to the core and sets its next turn. What the event itself leads to waits its turn.
func (r *simulatedRouter) handle(event func(o *router.Router)) {
	r.pending = append(r.pending, event)
	if r.handling {
		return
	}
	r.handling = true
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.core.SetTime(r.emulation.now)
		next(r.core)
		r.core.RunDue(r.emulation.now)
	}
	r.handling = false
	if due := max(r.core.NextDue(), r.emulation.now+1); r.wakeAt == 0 || due < r.wakeAt {
		r.wakeAt = due
		r.emulation.scheduleAt(due, func() {
			if r.wakeAt == due {
				r.wakeAt = 0
				r.handle(func(*router.Router) {})
			}
		})
	}
}

// SendToPeer is node.Wire's: these nodes tell one another nothing.
func (e *simulatedRouter) SendToPeer(int, string) {}

// Dial is node.Wire's.
func (r *simulatedRouter) Dial(core *router.EngineConnection) {
	engine := r.emulation.engineByName[core.Engine]
	if engine == nil || !engine.up {
		r.emulation.schedule(networkDelay, func() {
			r.handle(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("refused")) })
		})
		return
	}
	if engine.unresponsive {
		r.emulation.schedule(250*time.Millisecond, func() {
			r.handle(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("no answer")) })
		})
		return
	}
	r.emulation.sequence++
	c := &connection{id: r.emulation.sequence, core: core, router: r, engine: engine}
	engine.connections[c] = true
	r.emulation.schedule(networkDelay, func() {
		if !c.closed {
			r.handle(func(o *router.Router) { o.EngineConnected(core, c, nil) })
			return
		}
		r.handle(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("reset")) })
	})
}

func sortedByID(lines map[*connection]bool) (list []*connection) {
	for connection := range lines {
		list = append(list, connection)
	}
	slices.SortFunc(list, func(a, engine *connection) int { return cmp.Compare(a.id, engine.id) })
	return list
}

// resetByEngine breaks a connection from the engine's side.
func (c *connection) resetByEngine() {
	if c.closed {
		return
	}
	c.Close()
	c.router.emulation.schedule(networkDelay, func() { c.router.handle(func(o *router.Router) { o.EngineDisconnected(c.core) }) })
}

// Write is node.LineSocket's.
func (c *connection) Write(data []byte) error {
	if c.closed {
		return io.ErrClosedPipe
	}
	pieces, err := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}).Feed(data)
	if err != nil || len(pieces) == 0 {
		return fmt.Errorf("lab: what the node writes is no request: %w", err)
	}
	head, body := pieces[0].Request, []byte(nil)
	for _, p := range pieces {
		if p.Kind == httpframing.Body {
			body = append(body, p.Data...)
		}
	}
	em := c.router.emulation
	request := &engineRequest{connection: c, requestID: head.Header.Get(chat.HeaderRequestID), attempt: head.Header.Get(engineapi.HeaderAttempt)}
	c.request = request
	switch head.URL.Path {
	case engineapi.LoadPath:
		em.schedule(networkDelay, func() {
			engine, life := c.engine, c.engine.incarnation
			engine.respond(life, func() { request.complete(okHead(engine), []byte("{}")) })
		})
	case engineapi.ReleasePath:
		var release struct {
			Inference string
			Send      int
		}
		if json.Unmarshal(body, &release) == nil {
			em.schedule(networkDelay, func() {
				engine, life := c.engine, c.engine.incarnation
				engine.respond(life, func() {
					delete(engine.reservations, fmt.Sprint(release.Inference, "/", release.Send))
					request.complete(okHead(engine), []byte("{}"))
				})
			})
		}
	default:
		request.clientRequest = em.requests[head.Header.Get(chat.HeaderClientRequestID)]
		if request.clientRequest == nil {
			return errors.New("lab: a send that nobody asked for")
		}
		if bytes.Contains(body, []byte(`"do_remote_prefill":true`)) {
			request.decode = true
			var prefilled struct {
				Transfer engineapi.KVTransfer `json:"kv_transfer_params"`
			}
			if err := json.Unmarshal(body, &prefilled); err != nil {
				return err
			}
			request.reservation, request.prefillEngine = prefilled.Transfer.Engine, em.engineByName[fmt.Sprint(prefilled.Transfer.Host, ":", prefilled.Transfer.Port)]
		}
		em.schedule(networkDelay, func() {
			if !c.closed && c.engine.up {
				c.engine.accept(request)
			}
		})
	}
	return nil
}

func okHead(engine *engine) *http.Response { return responseHead(http.StatusOK, engine.loadReport()) }

// RequestWritten is node.LineSocket's.
func (connection *connection) RequestWritten() bool { return true }

// Close is node.LineSocket's, and aborts what the engine does for it.
func (c *connection) Close() {
	c.closed = true
	delete(c.engine.connections, c)
	if c.request != nil {
		c.request.finished = true
	}
}

// ---- clients

// nextArrival sets the next first try, by a Poisson process of the day's rate.
func (em *emulation) nextArrival(n int) {
	gap := em.random.ExpFloat64() / max(em.scenario.RequestRate*em.rateFactor, 1e-6)
	em.schedule(time.Duration(gap*1e9), func() {
		if em.now >= startTime+int64(em.scenario.Length) {
			return
		}
		em.startSession(n)
		em.nextArrival(n + 1)
	})
}

// startSession is a client that asks for the first time, in a session of its own that may go on.
func (em *emulation) startSession(n int) {
	shares := 0.0
	for _, r := range em.scenario.Routes {
		shares += r.Share
	}
	pick, route := em.random.Float64()*shares, len(em.scenario.Routes)-1
	for i, r := range em.scenario.Routes {
		if pick -= r.Share; pick < 0 {
			route = i
			break
		}
	}
	// Zipf of exponent one: the k-th beginning is used in proportion to 1/k.
	rank := int(math.Exp(em.random.Float64()*math.Log(float64(max(1, em.scenario.Prefixes))+1))) - 1
	em.startTurn(route, fmt.Sprint("s", n), fmt.Sprint("b", route, "-", rank), em.scenario.PrefixTokens, max(1, em.scenario.Turns))
}

// startTurn is one turn of a session; the next comes some seconds after.
func (em *emulation) startTurn(routeIndex int, session, prefix string, before float64, left int) {
	route := em.scenario.Routes[routeIndex]
	own := max(8, route.PromptTokens*em.random.ExpFloat64())
	r := &clientRequest{emulation: em, id: fmt.Sprint(session, ".", left), route: routeIndex, promptTokens: math.Round(before + own),
		prefix: prefix, session: session, firstSentAt: em.now,
		answerTokens: max(2, math.Round(route.AnswerTokens*em.random.ExpFloat64()))}
	em.result.Offered += route.PriorityWeight
	em.offeredByRoute[route.Name] += route.PriorityWeight
	em.offeredByWindow[em.windowOf(r)] += route.PriorityWeight
	em.sendAttempt(r)
	if left > 1 {
		em.schedule(time.Duration(2+4*em.random.Float64())*time.Second, func() {
			if em.now < startTime+int64(em.scenario.Length) {
				em.startTurn(routeIndex, session, prefix, r.promptTokens+r.answerTokens, left-1)
			}
		})
	}
}

func (em *emulation) windowOf(r *clientRequest) int {
	return min(int((r.firstSentAt-startTime)/int64(windowLength)), len(em.offeredByWindow)-1)
}

// sendAttempt is one try, at a node that the front layer picks.
func (em *emulation) sendAttempt(r *clientRequest) {
	route := em.scenario.Routes[r.route]
	target := em.routers[em.random.IntN(len(em.routers))]
	em.result.Attempts++
	r.id = fmt.Sprint(r.id, "'") // each try by a name of its own, as engines know it
	em.requests[r.id] = r
	r.router, r.sentAt, r.responseHead, r.streaming, r.ended = target, em.now, nil, false, false
	target.clientCount++
	client := &router.ClientConnection{ID: target.clientCount}
	client.Socket = &clientSocket{request: r, client: client}
	r.client = client
	request, err := http.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	if err != nil {
		panic(err) // of constants
	}
	call := &chat.Request{Model: route.Name, Session: r.session, PrefixHash: r.prefix, PromptTokens: int(r.promptTokens),
		PrefixTokens:    int(em.scenario.PrefixTokens),
		MaxOutputTokens: int(r.answerTokens) + 1, Stream: true, ClientRequestID: r.id, FirstTokenTimeout: route.Timeout, RetryCount: r.attempt}
	em.schedule(networkDelay, func() {
		target.handle(func(o *router.Router) {
			o.ClientOpened(client)
			o.ReceiveRequest(client, &router.ClientRequest{Request: request, Call: chatapi.ToRequest(call), Bytes: 4 * int(r.promptTokens), Caller: r.session})
		})
	})
	try := r.attempt
	em.schedule(route.Timeout, func() {
		if !r.ended && !r.streaming && r.attempt == try {
			r.finish("left")
			target.handle(func(o *router.Router) { o.ClientDisconnected(client) })
		}
	})
}

// clientSocket is a client's end of its connection.
type clientSocket struct {
	request *clientRequest
	client  *router.ClientConnection
}

// Send is node.ClientSocket's: what reaches the client.
func (c *clientSocket) Send(data []byte) error {
	r := c.request
	if r.ended || r.client != c.client {
		return nil
	}
	if r.responseHead == nil {
		r.responseHead = append(r.responseHead, data...) // the head says all but the end
	}
	text := string(data)
	if strings.HasPrefix(string(r.responseHead), "HTTP/1.1 200") {
		if !r.streaming {
			r.streaming = true
			r.emulation.recordFirstToken(r)
		}
		switch {
		case strings.Contains(text, "data: [DONE]"):
			r.finish("completed")
		case strings.Contains(text, `data: {"error"`):
			r.finish("errored")
		}
		return nil
	}
	if strings.Contains(text, chat.HeaderOutcome+": shed") {
		if !strings.Contains(text, chat.HeaderRequestID) {
			r.emulation.result.Rejected++
		}
		r.finish("shed")
	} else {
		r.finish("errored")
	}
	return nil
}

// Flushed, StopReading, Gone, TryClose and Close are node.ClientSocket's.
func (k *clientSocket) Flushed() bool      { return true }
func (c *clientSocket) StopReading()       {}
func (k *clientSocket) Disconnected() bool { return false }
func (k *clientSocket) CloseIfIdle() bool  { return true }
func (c *clientSocket) Close()             {}

func (em *emulation) recordFirstToken(r *clientRequest) {
	em.firstTokenTimes = append(em.firstTokenTimes, em.now-r.sentAt)
	r.firstTokenAt, r.prefilledTokens = em.now, 0
}

// finish is the end of one try. Its client tries again where that is harmless, as often as the day says.
func (r *clientRequest) finish(final string) {
	em, route := r.emulation, r.emulation.scenario.Routes[r.route]
	r.ended = true
	em.result.Outcomes[final]++
	em.result.WastedTokens += r.prefilledTokens
	r.prefilledTokens = 0
	c, target := r.client, r.router
	em.schedule(networkDelay, func() { target.handle(func(o *router.Router) { o.ClientDisconnected(c) }) })
	if final == "completed" {
		// In time is by the client's first try: a retry's patience began there.
		if time.Duration(r.firstTokenAt-r.firstSentAt) <= route.FirstTokenTarget {
			em.result.CompletedInTime += route.PriorityWeight
			em.inTimeByRoute[route.Name] += route.PriorityWeight
			em.inTimeByWindow[em.windowOf(r)] += route.PriorityWeight
		}
		return
	}
	retry := final == "shed" || route.Effect == "retriable" && final != "completed"
	if !retry || r.attempt >= em.scenario.Retries {
		return
	}
	pause := 500*time.Millisecond + time.Duration(em.random.IntN(500))*time.Millisecond
	em.schedule(pause, func() {
		r.attempt++
		em.sendAttempt(r)
	})
}

// ignoreObservations is a node.Watch that hears nothing.
type ignoreObservations struct{}

func (ignoreObservations) AroundStep(_ routing.Event, step func())          { step() }
func (ignoreObservations) PolicyPanicked(p any, _ routing.Event, _ []byte)  { panic(p) }
func (ignoreObservations) RequestFinished(router.RequestSummary)            {}
func (ignoreObservations) RequestShed(router.ShedRequest)                   {}
func (ignoreObservations) AttemptEnded(router.AttemptSummary)               {}
func (ignoreObservations) AttemptBlocked(string, invariant.Reason)          {}
func (ignoreObservations) InvariantViolated(invariant.Violation)            {}
func (ignoreObservations) ClientClosed(int64, router.CloseReason)           {}
func (ignoreObservations) ConnectionChanged(string, router.ConnectionEvent) {}
func (ignoreObservations) FirstToken(string, time.Duration, int)            {}
func (ignoreObservations) Rejected(router.RejectReason)                     {}
func (ignoreObservations) ReservationChanged(router.ReservationEvent)       {}
func (ignoreObservations) EndpointsUpdated(int64, int, []string)            {}
