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

// simulation runs a router with clients and engines that behave at random. It checks the invariants by the messages that
// reach clients and engines, independently of the router's state.
type simulation struct {
	noopObserver
	t               *rapid.T
	deployment      *config.Deployment
	core            *router.Router
	now             int64
	clients         []*simulatedClient
	dialing         []*router.EngineConnection
	connections     []*simulatedConnection
	endpoints       map[string]endpoint.Entry
	drainNotifiedAt map[string]int64 // times since which engines have been draining in the list or missing from it
	reservations    []*simulatedReservation
	// undetectedCloses are connections that the router has closed with an attempt in flight, while the engine has not
	// detected the close.
	undetectedCloses []*simulatedConnection
	unreachable      map[string]bool // partitioned engines; their connections stay open
	delay            time.Duration   // delay of the current event, because the process did not run
}

// simulatedClient is one client with one request.
type simulatedClient struct {
	simulation   *simulation
	client       *router.ClientConnection
	name         string
	route        config.Route
	deadline     int64
	resumed      bool
	out          bytes.Buffer
	respondedAt  int64 // time at which the answer began or was complete
	disconnected bool
	closed       bool // the router has closed the client's connection
	attempts     []*receivedAttempt
}

// receivedAttempt is an attempt that reached an engine.
type receivedAttempt struct {
	engine     string
	receivedAt int64
	prefill    bool
	inFlight   bool
	streaming  bool // the first token was sent
	cancelled  bool // the router has closed the connection
	neverRan   bool
}

// mayClaim reports whether an attempt may still claim a reservation.
func (a *receivedAttempt) mayClaim() bool { return a.inFlight && !a.prefill && !a.streaming }

// simulatedConnection is a connection to an engine, with the request that the engine must answer.
type simulatedConnection struct {
	simulation *simulation
	conn       *router.EngineConnection
	closed     bool
	client     *simulatedClient
	attempt    *receivedAttempt
	method     string // method of the request in flight: POST, DELETE or GET; empty for none
	writtenAt  int64  // time at which the request was written
	responding bool
}

// simulatedReservation is a reservation that a prefill engine holds.
type simulatedReservation struct {
	client            *simulatedClient
	engine            string
	attemptInFlightAt int64 // time at which an attempt of the same request was last in flight
}

func (s *simulation) Dial(conn *router.EngineConnection) { s.dialing = append(s.dialing, conn) }
func (s *simulation) InvariantViolated(v invariant.Violation) {
	s.t.Fatalf("reported by the monitor: %+v", v)
}
func (s *simulation) AroundStep(_ routing.Event, step func()) { step() }
func (s *simulation) PolicyPanicked(p any, _ routing.Event, stack []byte) {
	s.t.Fatalf("%v\n%s", p, stack)
}
func (c *simulatedClient) Send(data []byte) error { c.out.Write(data); return nil }
func (c *simulatedClient) Flushed() bool          { return true }
func (c *simulatedClient) StopReading()           {}
func (c *simulatedClient) Disconnected() bool     { return c.disconnected }
func (c *simulatedClient) CloseIfIdle() bool      { c.closed = true; return true }
func (c *simulatedClient) Close()                 { c.closed = true }

// Write receives a request from the router and checks it.
func (e *simulatedConnection) Write(request []byte) error {
	s := e.simulation
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(request)))
	if err != nil {
		s.t.Fatalf("%v: %q", err, request)
	}
	e.method, e.responding, e.writtenAt = r.Method, false, s.now
	if s.unreachable[e.conn.Engine] { // The request does not arrive.
		e.method = ""
	}
	if e.method == http.MethodDelete {
		s.releaseReservations(strings.TrimPrefix(r.URL.Path, platform.ReservationsPath))
	}
	if r.Method != http.MethodPost {
		return nil
	}
	i := slices.IndexFunc(s.clients, func(c *simulatedClient) bool { return c.name == r.Header.Get(platform.HeaderRequestID) })
	e.client = s.clients[i]
	e.attempt = &receivedAttempt{engine: e.conn.Engine, receivedAt: s.now,
		prefill: s.deployment.Role(s.endpoints[e.conn.Engine].Kind) == "read"}
	s.checkAttempt(e.client, e.attempt)
	e.attempt.inFlight = e.method != ""
	e.client.attempts = append(e.client.attempts, e.attempt)
	return nil
}

func (e *simulatedConnection) RequestWritten() bool      { return true }
func (e *simulatedConnection) ConfirmInput() bool        { return true }
func (e *simulatedConnection) EndSending() bool          { return false }
func (e *simulatedConnection) End() router.ConnectionEnd { return router.EndUnknown }

// Close closes the connection. The engine notices the close later: requests that the router writes on other connections may
// arrive before.
func (e *simulatedConnection) Close() {
	if e.closed {
		return
	}
	e.closed = true
	if e.method == http.MethodPost && e.attempt.inFlight {
		e.attempt.cancelled = true
		e.simulation.undetectedCloses = append(e.simulation.undetectedCloses, e)
	}
}

// releaseReservations releases the reservations of a request, unless an attempt may claim them.
func (s *simulation) releaseReservations(name string) {
	s.reservations = slices.DeleteFunc(s.reservations, func(reserved *simulatedReservation) bool {
		return reserved.client.name == name && !slices.ContainsFunc(reserved.client.attempts, (*receivedAttempt).mayClaim)
	})
}

// detectCloses lets engines detect the connections that the router has closed.
func (s *simulation) detectCloses() {
	for _, e := range s.undetectedCloses {
		e.loseAttempt()
	}
	s.undetectedCloses = nil
}

// loseAttempt ends the attempt in flight without a known outcome: a prefill may have completed at that moment.
func (e *simulatedConnection) loseAttempt() {
	if e.method == http.MethodPost {
		e.attempt.inFlight = false
		if e.attempt.prefill && !e.responding {
			e.simulation.addReservation(e.client, e.attempt.engine)
		}
	}
	e.method = ""
}

func (s *simulation) addReservation(c *simulatedClient, engine string) {
	s.reservations = append(s.reservations, &simulatedReservation{client: c, engine: engine,
		attemptInFlightAt: s.now - int64(s.delay)})
}

// do lets the router handle one event, and checks the invariants.
func (s *simulation) do(event func()) {
	s.core.SetTime(s.now)
	event()
	s.core.RunDue(s.now)
	s.checkReservations()
}

// simulatedDialTime is the time after which pending dials succeed if no random event ends them: releases need connections, too.
const simulatedDialTime = 20 * time.Millisecond

func (s *simulation) advance(d time.Duration) {
	for end := s.now + int64(d); s.now < end; {
		step := min(end, s.now+int64(simulatedDialTime))
		for s.now < step {
			s.now = min(step, max(s.now+1, s.core.NextDue()))
			s.core.RunDue(s.now)
			s.checkReservations()
		}
		for len(s.dialing) > 0 {
			s.connect(0, true)
		}
		s.detectCloses()
	}
}
