package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// testbed runs a router with fake sockets, which record each byte that is written. The test sets the time.
type testbed struct {
	noopObserver
	t             *testing.T
	core          *router.Router
	now           int64
	dials         []*router.EngineConnection
	engineSockets []*fakeEngineSocket
	events        []routing.Event
	timeout       time.Duration // timeout of the requests

	panicNext, mayPanic bool           // the policy panics at its next event; the test expects a panic
	expectedViolation   invariant.Rule // rule that the test violates, for example because no engine acknowledges a release
	closedClients       []int64        // clients whose connections the router closed, in order
}

// Dial queues a dial, which connect completes.
func (b *testbed) Dial(conn *router.EngineConnection) { b.dials = append(b.dials, conn) }

// AroundStep records an event of the policy.
func (b *testbed) AroundStep(event routing.Event, step func()) {
	if b.panicNext {
		b.panicNext = false
		panic("injected by a test")
	}
	b.events = append(b.events, event)
	step()
}

// PolicyPanicked fails a test that does not expect it.
func (b *testbed) PolicyPanicked(p any, _ routing.Event, stack []byte) {
	if !b.mayPanic {
		b.t.Fatalf("%v\n%s", p, stack)
	}
}

// noopObserver ignores the notifications and the transport calls that the tests do not check.
type noopObserver struct{}

func (noopObserver) CatchUp()                                         {}
func (noopObserver) SendToPeer(int, string)                           {}
func (noopObserver) RequestFinished(router.RequestSummary)            {}
func (noopObserver) RequestShed(router.ShedRequest)                   {}
func (noopObserver) AttemptEnded(router.AttemptSummary)               {}
func (noopObserver) AttemptBlocked(string, invariant.Reason)          {}
func (noopObserver) ClientClosed(int64, router.CloseReason)           {}
func (noopObserver) ConnectionChanged(string, router.ConnectionEvent) {}
func (noopObserver) FirstToken(string, time.Duration, int)            {}
func (noopObserver) Rejected(router.RejectReason)                     {}
func (noopObserver) ReservationChanged(router.ReservationEvent)       {}
func (noopObserver) EndpointsUpdated(int64, int, []string)            {}

// ClientClosed records a close of a client's connection.
func (b *testbed) ClientClosed(client int64, _ router.CloseReason) {
	b.closedClients = append(b.closedClients, client)
}

// InvariantViolated fails a test that does not expect it.
func (b *testbed) InvariantViolated(v invariant.Violation) {
	if v.Rule != b.expectedViolation {
		b.t.Errorf("invariant violated: %+v", v)
	}
}

// fakeEngineSocket is a connection to an engine.
type fakeEngineSocket struct {
	conn    *router.EngineConnection
	written bytes.Buffer
	closed  bool

	hasUnreadInput bool // input may have arrived that was not passed to the router
	confirming     bool // the router waits for EngineInputConfirmed
	acknowledged   int  // number of releases that were answered
	sendingEnded   bool // the router has ended its sending
	end            router.ConnectionEnd
}

func (s *fakeEngineSocket) Write(request []byte) error { s.written.Write(request); return nil }
func (s *fakeEngineSocket) RequestWritten() bool       { return true }
func (s *fakeEngineSocket) EndSending() bool           { s.sendingEnded = true; return true }
func (s *fakeEngineSocket) End() router.ConnectionEnd  { return s.end }
func (s *fakeEngineSocket) ConfirmInput() bool {
	s.confirming = s.hasUnreadInput
	return !s.hasUnreadInput
}
func (s *fakeEngineSocket) Close() { s.closed = true }

// fakeClientSocket is a connection of a client.
type fakeClientSocket struct {
	bytes.Buffer
	hasUnhandledRequest bool // a request was read from the socket and not passed to the router
	disconnected        bool // the connection has ended, and the router was not notified
	readingStopped      bool // the router reads no more requests
	closed              bool
}

func (s *fakeClientSocket) Send(data []byte) error {
	if s.closed {
		return io.ErrClosedPipe
	}
	s.Write(data)
	return nil
}

func (s *fakeClientSocket) Flushed() bool      { return true }
func (s *fakeClientSocket) StopReading()       { s.readingStopped = true }
func (s *fakeClientSocket) Close()             { s.closed = true }
func (s *fakeClientSocket) Disconnected() bool { return s.disconnected }
func (s *fakeClientSocket) CloseIfIdle() bool {
	s.closed = s.closed || !s.hasUnhandledRequest
	return s.closed
}

// testSettings has one class of each effect: chat may run twice, label is deduplicated, and alert must not run twice.
const testSettings = `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":1024},
 "settings":{"areas":["a"],"zone":0,"index":0,"peers_total":1,"tick_us":4000,"flavors":["m1","m2"],"ceilings":{
 "try_limit":5,"cancel":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},"report":{
 "how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[100000,100000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":1000000},
 {"name":"label","effect":"dedup","dedup_scope":"all","memory_span_us":300000,"worth":1,"objective_us":1000000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":1000000}],"obligations":{"drain_grace_us":250000}}}`

// newTestbed returns a router with a prefill engine r and a decode engine w.
func newTestbed(t *testing.T) *testbed { return newTestbedWithMemory(t, 0) }

// newTestbedWithMemory returns a testbed whose router may use the given memory; 0 selects the default.
func newTestbedWithMemory(t *testing.T, memoryMB float64) *testbed {
	nodeConfig, err := platform.ParseNodeConfig("test", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	nodeConfig.Limits.MemoryMB = memoryMB
	deployment, err := nodeConfig.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, now: 1e15, timeout: 3 * time.Second}
	b.core = router.New(deployment, platform.NewCodec(nodeConfig.LoadReportFields()), 1, 1, b.now, b, b)
	b.setEndpoints("r", "w")
	return b
}

// newUnacknowledgedTestbed returns a testbed in which no engine acknowledges a release.
func newUnacknowledgedTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	b.expectedViolation = invariant.ReservedTooLong
	return b
}

// do lets the router handle one event.
func (b *testbed) do(event func()) {
	b.core.SetTime(b.now)
	event()
	b.core.RunDue(b.now)
}

// setEndpoints publishes a list of ready engines; those whose names begin with r are for prefill.
func (b *testbed) setEndpoints(ids ...string) {
	list := endpoint.List{Revision: 1}
	for _, id := range ids {
		kind := "m2"
		if id[0] == 'r' {
			kind = "m1"
		}
		list.Entries = append(list.Entries, endpoint.Entry{ID: id, Address: "127.0.0.1:1", Kind: kind, Zone: "a", Weight: 1,
			State: endpoint.Ready})
	}
	b.do(func() { b.core.UpdateEndpoints(list) })
}

// advance moves the clock forward and runs everything that falls due.
func (b *testbed) advance(d time.Duration) {
	for end := b.now + int64(d); b.now < end; {
		b.now = min(end, max(b.now+1, b.core.NextDue()))
		b.core.RunDue(b.now)
	}
}

// lastClientID is the ID of the last client of any test.
var lastClientID int64

// request sends a request on a new connection. Afterwards a dial to a prefill engine is pending.
func (b *testbed) request(name, route string, headers ...string) (*router.ClientConnection, *fakeClientSocket) {
	lastClientID++
	out := &fakeClientSocket{}
	client := &router.ClientConnection{ID: lastClientID, Socket: out}
	b.core.SetTime(b.now)
	b.core.ClientOpened(client)
	b.requestOn(client, name, route, headers...)
	return client, out
}

// healthCheck sends a health check to an engine.
func (b *testbed) healthCheck(engine string) {
	b.do(func() { b.core.HealthCheck(engine) })
}

// socketOf returns the connection that last carried an attempt of a request.
func (b *testbed) socketOf(name string) *fakeEngineSocket {
	b.t.Helper()
	for _, s := range slices.Backward(b.engineSockets) {
		if strings.Contains(s.written.String(), "Request-Id: "+name+"\r\n") {
			return s
		}
	}
	b.t.Fatalf("no attempt of %s was written", name)
	return nil
}

// connect completes the oldest dial with a connection.
func (b *testbed) connect() *fakeEngineSocket {
	b.t.Helper()
	if len(b.dials) == 0 {
		b.t.Fatal("no connection is dialed")
	}
	s := &fakeEngineSocket{conn: b.dials[0]}
	b.dials = b.dials[1:]
	b.engineSockets = append(b.engineSockets, s)
	b.do(func() { b.core.EngineConnected(s.conn, s, nil) })
	return s
}

// responseHead returns the head of an engine's response.
func responseHead(status int, header http.Header) *http.Response {
	if header == nil {
		header = http.Header{}
	}
	return &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: header}
}

// respond completes the response to the request that a connection carries.
func (b *testbed) respond(s *fakeEngineSocket, status int, header http.Header, body string) {
	b.do(func() {
		b.core.ResponseHead(s.conn, responseHead(status, header), nil)
		b.core.ResponseComplete(s.conn, []byte(body), true)
	})
}

// answerPrefill completes a prefill.
func (b *testbed) answerPrefill(s *fakeEngineSocket) { b.respond(s, 202, nil, `{"cached_tokens":0}`) }

// answerFull rejects a decode for lack of capacity: the decode never ran.
func (b *testbed) answerFull(s *fakeEngineSocket) {
	b.respond(s, 503, http.Header{"Not-Started": {"1"}}, "")
}

// countAttempts counts the attempts that were written to engines so far.
func (b *testbed) countAttempts() (n int) {
	for _, s := range b.engineSockets {
		n += strings.Count(s.written.String(), "POST ")
	}
	return n
}

// advertisedTimeouts returns the timeouts in the requests that a connection carried.
func advertisedTimeouts(t *testing.T, s *fakeEngineSocket) (timeouts []time.Duration) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(s.written.Bytes()))
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return timeouts
		}
		io.Copy(io.Discard, r.Body)
		if r.Method != http.MethodPost {
			continue
		}
		seconds, err := strconv.ParseFloat(r.Header.Get(platform.HeaderTimeout), 64)
		if err != nil {
			t.Fatal(err)
		}
		timeouts = append(timeouts, time.Duration(seconds*float64(time.Second)))
	}
}

// requestOn sends one more request on a client's connection.
func (b *testbed) requestOn(client *router.ClientConnection, name, route string, headers ...string) {
	b.t.Helper()
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k%s\r\nRequest-Timeout: %g\r\n%sContent-Length: 2\r\n\r\n{}", name, route, name, b.timeout.Seconds(), strings.Join(headers, ""))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		b.t.Fatal(err)
	}
	received := router.NewClientRequest(platform.NewCodec(nil), r, len(text)-2, []byte("{}"))
	b.do(func() { b.core.ReceiveRequest(client, received) })
}

// responseStatuses returns the statuses of the answers that a client received, in order.
func responseStatuses(t *testing.T, out *fakeClientSocket) (statuses []int) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(out.Bytes()))
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		io.Copy(io.Discard, r.Body)
		statuses = append(statuses, r.StatusCode)
	}
}

// waitForAnswer advances the clock until a client has an answer.
func (b *testbed) waitForAnswer(out *fakeClientSocket) {
	b.t.Helper()
	for range 100 {
		if len(responseStatuses(b.t, out)) > 0 {
			return
		}
		b.advance(100 * time.Millisecond)
	}
	b.t.Fatal("the client was not answered within 10 s")
}
