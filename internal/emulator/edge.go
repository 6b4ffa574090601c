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

// way is how long a message takes between any two: within one data centre.
const way = 200 * time.Microsecond

// edge is one node: the real core on simulated sockets.
type edge struct {
	w     *world
	n     int
	core  *router.Router
	wake  int64 // when its next turn is set for, 0 for none
	later []func(o *router.Router)
	in    bool

	clients int64
}

// line is one connection to an engine.
type line struct {
	id     int64
	core   *router.EngineConnection
	node   *edge
	box    *box
	closed bool
	job    *job
}

// ask is one try of a client.
type ask struct {
	w       *world
	id      string
	route   int
	prompt  float64
	answer  float64
	begins  string
	session string
	first   int64 // when its client first asked
	at      int64 // when this try was sent
	firstAt int64 // its first token
	try     int
	node    *edge
	core    *router.ClientConnection
	out     []byte
	began   bool
	ended   bool
	ran     int
	read    float64
}

func (w *world) build() {
	d := config.Defaults()
	d.NodeCount, d.Limits.RetryShare = w.d.Nodes, w.d.Budget
	d.Kinds = []config.EngineKind{{Name: "prefill", Role: "read", MemoryTokens: w.d.Engine.Memory},
		{Name: "decode", Role: "write", MemoryTokens: w.d.Engine.Memory}}
	d.Rules.SlowStart, d.Rules.SlowStartShare = w.d.Engine.Cold, w.d.Engine.ColdShare
	for _, r := range w.d.Routes {
		d.Routes = append(d.Routes, config.Route{Name: r.Name, Effect: r.Effect, PriorityWeight: r.Value,
			FirstTokenObjective: r.Target, Timeout: r.Timeout,
			DedupWindow: 5 * time.Second, DedupGroup: "all"})
	}
	for i := range w.d.Readers + w.d.Writers {
		b := &box{w: w, name: fmt.Sprintf("10.1.%d.%d:%d", i/200, i%200+1, 7000), role: "read", slow: 1,
			lines: map[*line]bool{}}
		if i >= w.d.Readers {
			b.role = "write"
		}
		b.start()
		w.engines = append(w.engines, b)
		w.byName[b.name] = b
	}
	for i := range w.d.Nodes {
		mine := *d
		mine.NodeNumber, mine.NodeName = i, fmt.Sprint("n", i)
		e := &edge{w: w, n: i}
		e.core = router.New(&mine, chatapi.NewCodec(nil), w.d.Seed*1000+uint64(i), 1, w.now, e, quiet{})
		w.nodes = append(w.nodes, e)
	}
	w.publish()
}

// publish hands the list to all nodes, half a second late and not all at once.
func (w *world) publish() {
	w.list++
	list := endpoint.List{Revision: w.list, Entries: []endpoint.Entry{}}
	for _, b := range w.engines {
		if b.gone {
			continue
		}
		e := endpoint.Entry{ID: b.name, Kind: "prefill", Weight: 1, State: endpoint.Ready,
			StartedAtMs: b.began / 1e6}
		if b.role == "write" {
			e.Kind = "decode"
		}
		if b.drains {
			e.State = endpoint.Draining
		}
		list.Entries = append(list.Entries, e)
	}
	for _, e := range w.nodes {
		late := time.Duration(0)
		if w.list > 1 {
			late = 400*time.Millisecond + time.Duration(w.rng.IntN(200))*time.Millisecond
		}
		w.after(late, func() { e.do(func(o *router.Router) { o.UpdateEndpoints(list) }) })
	}
}

// do hands an event to the core and sets its next turn. What the event itself leads to waits its turn.
func (e *edge) do(event func(o *router.Router)) {
	e.later = append(e.later, event)
	if e.in {
		return
	}
	e.in = true
	for len(e.later) > 0 {
		next := e.later[0]
		e.later = e.later[1:]
		e.core.SetTime(e.w.now)
		next(e.core)
		e.core.RunDue(e.w.now)
	}
	e.in = false
	if due := max(e.core.NextDue(), e.w.now+1); e.wake == 0 || due < e.wake {
		e.wake = due
		e.w.at(due, func() {
			if e.wake == due {
				e.wake = 0
				e.do(func(*router.Router) {})
			}
		})
	}
}

// SendToPeer is node.Wire's: these nodes tell one another nothing.
func (e *edge) SendToPeer(int, string) {}

// Dial is node.Wire's.
func (e *edge) Dial(core *router.EngineConnection) {
	b := e.w.byName[core.Engine]
	if b == nil || !b.up {
		e.w.after(way, func() {
			e.do(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("refused")) })
		})
		return
	}
	if b.silent {
		e.w.after(250*time.Millisecond, func() {
			e.do(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("no answer")) })
		})
		return
	}
	e.w.seq++
	l := &line{id: e.w.seq, core: core, node: e, box: b}
	b.lines[l] = true
	e.w.after(way, func() {
		if !l.closed {
			e.do(func(o *router.Router) { o.EngineConnected(core, l, nil) })
			return
		}
		e.do(func(o *router.Router) { o.EngineConnected(core, nil, errors.New("reset")) })
	})
}

func sorted(lines map[*line]bool) (row []*line) {
	for l := range lines {
		row = append(row, l)
	}
	slices.SortFunc(row, func(a, b *line) int { return cmp.Compare(a.id, b.id) })
	return row
}

// reset breaks a connection from the engine's side.
func (l *line) reset() {
	if l.closed {
		return
	}
	l.Close()
	l.node.w.after(way, func() { l.node.do(func(o *router.Router) { o.EngineDisconnected(l.core) }) })
}

// Write is node.LineSocket's.
func (l *line) Write(request []byte) error {
	if l.closed {
		return io.ErrClosedPipe
	}
	pieces, err := httpframing.NewParser(httpframing.Requests, httpframing.Limits{HeadBytes: 1 << 16, BodyBytes: 1 << 20}).Feed(request)
	if err != nil || len(pieces) == 0 {
		return fmt.Errorf("lab: what the node writes is no request: %w", err)
	}
	head, body := pieces[0].Request, []byte(nil)
	for _, p := range pieces {
		if p.Kind == httpframing.Body {
			body = append(body, p.Data...)
		}
	}
	w := l.node.w
	j := &job{l: l, name: head.Header.Get(chat.HeaderRequestID), send: head.Header.Get(engineapi.HeaderAttempt)}
	l.job = j
	switch head.URL.Path {
	case engineapi.LoadPath:
		w.after(way, func() {
			b, life := l.box, l.box.life
			b.speak(life, func() { j.whole(node200(b), []byte("{}")) })
		})
	case engineapi.ReleasePath:
		var r struct {
			Inference string
			Send      int
		}
		if json.Unmarshal(body, &r) == nil {
			w.after(way, func() {
				b, life := l.box, l.box.life
				b.speak(life, func() {
					delete(b.states, fmt.Sprint(r.Inference, "/", r.Send))
					j.whole(node200(b), []byte("{}"))
				})
			})
		}
	default:
		j.ask = w.asks[head.Header.Get(chat.HeaderClientRequestID)]
		if j.ask == nil {
			return errors.New("lab: a send that nobody asked for")
		}
		if bytes.Contains(body, []byte(`"do_remote_prefill":true`)) {
			j.writes = true
			var a struct {
				Transfer engineapi.KVTransfer `json:"kv_transfer_params"`
			}
			if err := json.Unmarshal(body, &a); err != nil {
				return err
			}
			j.state, j.reader = a.Transfer.Engine, w.byName[fmt.Sprint(a.Transfer.Host, ":", a.Transfer.Port)]
		}
		w.after(way, func() {
			if !l.closed && l.box.up {
				l.box.take(j)
			}
		})
	}
	return nil
}

func node200(b *box) *http.Response { return head(http.StatusOK, b.report()) }

// RequestWritten is node.LineSocket's.
func (l *line) RequestWritten() bool { return true }

// Close is node.LineSocket's, and aborts what the engine does for it.
func (l *line) Close() {
	l.closed = true
	delete(l.box.lines, l)
	if l.job != nil {
		l.job.over = true
	}
}

// ---- clients

// nextArrival sets the next first try, by a Poisson process of the day's rate.
func (w *world) nextArrival(n int) {
	gap := w.rng.ExpFloat64() / max(w.d.Rate*w.burst, 1e-6)
	w.after(time.Duration(gap*1e9), func() {
		if w.now >= beginning+int64(w.d.Length) {
			return
		}
		w.arrive(n)
		w.nextArrival(n + 1)
	})
}

// arrive is a client that asks for the first time, in a session of its own that may go on.
func (w *world) arrive(n int) {
	shares := 0.0
	for _, r := range w.d.Routes {
		shares += r.Share
	}
	pick, route := w.rng.Float64()*shares, len(w.d.Routes)-1
	for i, r := range w.d.Routes {
		if pick -= r.Share; pick < 0 {
			route = i
			break
		}
	}
	// Zipf of exponent one: the k-th beginning is used in proportion to 1/k.
	rank := int(math.Exp(w.rng.Float64()*math.Log(float64(max(1, w.d.Beginnings))+1))) - 1
	w.turn(route, fmt.Sprint("s", n), fmt.Sprint("b", route, "-", rank), w.d.Shared, max(1, w.d.Turns))
}

// turn is one turn of a session; the next comes some seconds after.
func (w *world) turn(route int, session, begins string, before float64, left int) {
	r := w.d.Routes[route]
	own := max(8, r.Prompt*w.rng.ExpFloat64())
	a := &ask{w: w, id: fmt.Sprint(session, ".", left), route: route, prompt: math.Round(before + own),
		begins: begins, session: session, first: w.now,
		answer: max(2, math.Round(r.Answer*w.rng.ExpFloat64()))}
	w.res.Offered += r.Value
	w.offered[r.Name] += r.Value
	w.valueOf[w.windowOf(a)] += r.Value
	w.send(a)
	if left > 1 {
		w.after(time.Duration(2+4*w.rng.Float64())*time.Second, func() {
			if w.now < beginning+int64(w.d.Length) {
				w.turn(route, session, begins, a.prompt+a.answer, left-1)
			}
		})
	}
}

func (w *world) windowOf(a *ask) int {
	return min(int((a.first-beginning)/int64(window)), len(w.valueOf)-1)
}

// send is one try, at a node that the front layer picks.
func (w *world) send(a *ask) {
	r := w.d.Routes[a.route]
	e := w.nodes[w.rng.IntN(len(w.nodes))]
	w.res.Tries++
	a.id = fmt.Sprint(a.id, "'") // each try by a name of its own, as engines know it
	w.asks[a.id] = a
	a.node, a.at, a.out, a.began, a.ended = e, w.now, nil, false, false
	e.clients++
	c := &router.ClientConnection{ID: e.clients}
	c.Socket = &client{a: a, c: c}
	a.core = c
	request, err := http.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	if err != nil {
		panic(err) // of constants
	}
	call := &chat.Request{Model: r.Name, Session: a.session, PrefixHash: a.begins, PromptTokens: int(a.prompt),
		PrefixTokens:    int(w.d.Shared),
		MaxOutputTokens: int(a.answer) + 1, Stream: true, ClientRequestID: a.id, FirstTokenTimeout: r.Timeout, RetryCount: a.try}
	w.after(way, func() {
		e.do(func(o *router.Router) {
			o.ClientOpened(c)
			o.ReceiveRequest(c, &router.ClientRequest{Request: request, Call: chatapi.ToRequest(call), Bytes: 4 * int(a.prompt), Caller: a.session})
		})
	})
	try := a.try
	w.after(r.Timeout, func() {
		if !a.ended && !a.began && a.try == try {
			a.end("left")
			e.do(func(o *router.Router) { o.ClientDisconnected(c) })
		}
	})
}

// client is a client's end of its connection.
type client struct {
	a *ask
	c *router.ClientConnection
}

// Send is node.ClientSocket's: what reaches the client.
func (k *client) Send(data []byte) error {
	a := k.a
	if a.ended || a.core != k.c {
		return nil
	}
	if a.out == nil {
		a.out = append(a.out, data...) // the head says all but the end
	}
	text := string(data)
	if strings.HasPrefix(string(a.out), "HTTP/1.1 200") {
		if !a.began {
			a.began = true
			a.w.first(a)
		}
		switch {
		case strings.Contains(text, "data: [DONE]"):
			a.end("completed")
		case strings.Contains(text, `data: {"error"`):
			a.end("errored")
		}
		return nil
	}
	if strings.Contains(text, chat.HeaderOutcome+": shed") {
		if !strings.Contains(text, chat.HeaderRequestID) {
			a.w.res.Refused++
		}
		a.end("shed")
	} else {
		a.end("errored")
	}
	return nil
}

// Flushed, StopReading, Gone, TryClose and Close are node.ClientSocket's.
func (k *client) Flushed() bool      { return true }
func (k *client) StopReading()       {}
func (k *client) Disconnected() bool { return false }
func (k *client) CloseIfIdle() bool  { return true }
func (k *client) Close()             {}

func (w *world) first(a *ask) {
	w.firsts = append(w.firsts, w.now-a.at)
	a.firstAt, a.read = w.now, 0
}

// end is the end of one try. Its client tries again where that is harmless, as often as the day says.
func (a *ask) end(final string) {
	w, r := a.w, a.w.d.Routes[a.route]
	a.ended = true
	w.res.Finals[final]++
	w.res.Wasted += a.read
	a.read = 0
	c, e := a.core, a.node
	w.after(way, func() { e.do(func(o *router.Router) { o.ClientDisconnected(c) }) })
	if final == "completed" {
		// In time is by the client's first try: a retry's patience began there.
		if time.Duration(a.firstAt-a.first) <= r.Target {
			w.res.InTime += r.Value
			w.got[r.Name] += r.Value
			w.gotIn[w.windowOf(a)] += r.Value
		}
		return
	}
	again := final == "shed" || r.Effect == "retriable" && final != "completed"
	if !again || a.try >= w.d.Retries {
		return
	}
	pause := 500*time.Millisecond + time.Duration(w.rng.IntN(500))*time.Millisecond
	w.after(pause, func() {
		a.try++
		w.send(a)
	})
}

// quiet is a node.Watch that hears nothing.
type quiet struct{}

func (quiet) AroundStep(_ routing.Event, step func())          { step() }
func (quiet) PolicyPanicked(p any, _ routing.Event, _ []byte)  { panic(p) }
func (quiet) RequestFinished(router.RequestSummary)            {}
func (quiet) RequestShed(router.ShedRequest)                   {}
func (quiet) AttemptEnded(router.AttemptSummary)               {}
func (quiet) AttemptBlocked(string, invariant.Reason)          {}
func (quiet) InvariantViolated(invariant.Violation)            {}
func (quiet) ClientClosed(int64, router.CloseReason)           {}
func (quiet) ConnectionChanged(string, router.ConnectionEvent) {}
func (quiet) FirstToken(string, time.Duration, int)            {}
func (quiet) Rejected(string)                                  {}
func (quiet) ReservationChanged(router.ReservationEvent)       {}
func (quiet) EndpointsUpdated(int64, int, []string)            {}
