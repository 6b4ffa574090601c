package router_test

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// world is a router among clients and engines that behave at random. It checks the invariants by what reached clients and
// engines alone.
type world struct {
	ignoredObserver
	t               *rapid.T
	deployment      *config.Deployment
	core            *router.Router
	now             int64
	clients         []*simulatedClient
	dialing         []*router.EngineConnection
	engines         []*simulatedEngine
	endpoints       map[string]endpoint.Entry
	drainNotifiedAt map[string]int64 // since when the list has an engine draining, or without it
	reservations    []*simulatedReservation
	// unnoticedCloses are connections that the router has closed, with an attempt on them, of which the engine does not know.
	unnoticedCloses []*simulatedEngine
	unreachable     map[string]bool // partitioned engines; their connections stay open
	delay           time.Duration   // how late the present event is handled, as the process did not run meanwhile
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
	respondedAt  int64 // when its answer began or was complete
	disconnected bool
	closed       bool // by the router
	attempts     []*postedAttempt
}

// postedAttempt is one attempt that reached an engine.
type postedAttempt struct {
	engine     string
	receivedAt int64
	prefill    bool
	inFlight   bool
	streaming  bool // its first token has come
	cancelled  bool // the router has closed its connection
	neverRan   bool
}

// mayClaim is whether an attempt may still claim a reservation.
func (p *postedAttempt) mayClaim() bool { return p.inFlight && !p.prefill && !p.streaming }

// simulatedEngine is one connection to an engine and what it has to answer.
type simulatedEngine struct {
	world      *world
	conn       *router.EngineConnection
	closed     bool
	client     *simulatedClient
	attempt    *postedAttempt
	method     string // of the request in flight: POST, DELETE or GET; empty for none
	writtenAt  int64  // when it was written
	responding bool
}

// simulatedReservation is one that a prefill engine holds.
type simulatedReservation struct {
	client            *simulatedClient
	engine            string
	attemptInFlightAt int64 // when an attempt at its request was last in flight
}

func (w *world) Dial(conn *router.EngineConnection) { w.dialing = append(w.dialing, conn) }
func (w *world) InvariantViolated(v invariant.Violation) {
	w.t.Fatalf("reported by the monitor: %+v", v)
}
func (w *world) AroundStep(_ routing.Event, step func())             { step() }
func (w *world) PolicyPanicked(p any, _ routing.Event, stack []byte) { w.t.Fatalf("%v\n%s", p, stack) }
func (c *simulatedClient) Send(data []byte) error                    { c.out.Write(data); return nil }
func (c *simulatedClient) Flushed() bool                             { return true }
func (c *simulatedClient) StopReading()                              {}
func (c *simulatedClient) Disconnected() bool                        { return c.disconnected }
func (c *simulatedClient) CloseIfIdle() bool                         { c.closed = true; return true }
func (c *simulatedClient) Close()                                    { c.closed = true }

// Write receives a request of the router and checks it.
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
	e.attempt = &postedAttempt{engine: e.conn.Engine, receivedAt: w.now, prefill: w.deployment.Role(w.endpoints[e.conn.Engine].Kind) == "read"}
	w.checkAttempt(e.client, e.attempt)
	e.attempt.inFlight = e.method != ""
	e.client.attempts = append(e.client.attempts, e.attempt)
	return nil
}

func (e *simulatedEngine) RequestWritten() bool { return true }

// Close is noticed by the engine later: what the router writes on other connections may arrive before.
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

// releaseReservations releases what is reserved for a request, unless an attempt may claim it.
func (w *world) releaseReservations(name string) {
	w.reservations = slices.DeleteFunc(w.reservations, func(h *simulatedReservation) bool {
		return h.client.name == name && !slices.ContainsFunc(h.client.attempts, (*postedAttempt).mayClaim)
	})
}

// noticeCloses lets engines notice the connections that the router has closed.
func (w *world) noticeCloses() {
	for _, e := range w.unnoticedCloses {
		e.loseAttempt()
	}
	w.unnoticedCloses = nil
}

// loseAttempt ends the attempt in flight; whether it ran stays open. A prefill may have completed just then.
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

// do lets the router handle one event, and checks the invariants.
func (w *world) do(event func()) {
	w.core.SetTime(w.now)
	event()
	w.core.RunDue(w.now)
	w.checkReservations()
}

// dialTime is how long a dial takes that no other event ends: releases need connections, too.
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
