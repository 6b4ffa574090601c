package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
	"strconv"
	"strings"
	"testing"
	"time"
)

// testbed is a core whose sockets are the test's: it sees each byte that is written and the time of it.
type testbed struct {
	ignoredObserver
	t       *testing.T
	core    *router.Router
	now     int64
	dials   []*router.EngineConnection
	engines []*fakeEngineSocket
	events  []routing.Event

	panicNext, mayPanic bool           // the module, at its next input; and whether that is wanted
	expectedViolation   invariant.Rule // the one that this test's world breaks, as where no engine acknowledges a release
	closedClients       []int64        // by the router, in order
}

func (b *testbed) Dial(conn *router.EngineConnection) { b.dials = append(b.dials, conn) }

func (b *testbed) AroundStep(in routing.Event, step func()) {
	if b.panicNext {
		b.panicNext = false
		panic("a fault put in by a test")
	}
	b.events = append(b.events, in)
	step()
}

func (b *testbed) PolicyPanicked(p any, _ routing.Event, rows []byte) {
	if !b.mayPanic {
		b.t.Fatalf("%v\n%s", p, rows)
	}
}

// ignoredObserver are what a core tells that no test here looks at.
type ignoredObserver struct{}

func (ignoredObserver) SendToPeer(int, string)                           {}
func (ignoredObserver) RequestFinished(router.RequestSummary)            {}
func (ignoredObserver) RequestShed(router.ShedRequest)                   {}
func (ignoredObserver) AttemptEnded(router.AttemptSummary)               {}
func (ignoredObserver) AttemptBlocked(string, invariant.Reason)          {}
func (ignoredObserver) ClientClosed(int64, router.CloseReason)           {}
func (ignoredObserver) ConnectionChanged(string, router.ConnectionEvent) {}
func (ignoredObserver) FirstToken(string, time.Duration, int)            {}
func (ignoredObserver) Rejected(router.RejectReason)                     {}
func (ignoredObserver) ReservationChanged(router.ReservationEvent)       {}
func (ignoredObserver) EndpointsUpdated(int64, int, []string)            {}

// ClientClosed records a close of a client's connection.
func (b *testbed) ClientClosed(client int64, _ router.CloseReason) {
	b.closedClients = append(b.closedClients, client)
}

// InvariantViolated is a fault in any test.
func (b *testbed) InvariantViolated(v invariant.Violation) {
	if v.Rule != b.expectedViolation {
		b.t.Errorf("rule broken: %+v", v)
	}
}

// fakeEngineSocket is a connection to an engine.
type fakeEngineSocket struct {
	conn    *router.EngineConnection
	written bytes.Buffer
	closed  bool
}

func (s *fakeEngineSocket) Write(request []byte) error { s.written.Write(request); return nil }
func (s *fakeEngineSocket) RequestWritten() bool       { return true }
func (s *fakeEngineSocket) Close()                     { s.closed = true }

// fakeClientSocket is a connection of a client.
type fakeClientSocket struct {
	bytes.Buffer
	reading      bool // a request is on its way to the core
	disconnected bool // it has ended, and the core has not been told
	closed       bool
}

func (s *fakeClientSocket) Send(data []byte) error {
	if s.closed {
		return io.ErrClosedPipe
	}
	s.Write(data)
	return nil
}

func (s *fakeClientSocket) Flushed() bool      { return true }
func (s *fakeClientSocket) StopReading()       {}
func (s *fakeClientSocket) Close()             { s.closed = true }
func (s *fakeClientSocket) Disconnected() bool { return s.disconnected }
func (s *fakeClientSocket) CloseIfIdle() bool  { s.closed = s.closed || !s.reading; return s.closed }

const testSettings = `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":1024},
 "settings":{"areas":["a"],"zone":0,"index":0,"peers_total":1,"tick_us":4000,"flavors":["m1","m2"],"ceilings":{
 "try_limit":5,"cancel":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},"report":{
 "how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[100000,100000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":1000000},
 {"name":"label","effect":"dedup","dedup_scope":"all","memory_span_us":300000,"worth":1,"objective_us":1000000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":1000000}],"obligations":{"drain_grace_us":250000}}}`

func newTestbed(t *testing.T) *testbed {
	told, err := platform.ParseNodeConfig("test", []byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	d, err := told.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	b := &testbed{t: t, now: 1e15}
	b.core = router.New(d, platform.NewCodec(told.LoadReportFields()), 1, 1, b.now, b, b)
	b.setEndpoints("r", "w")
	return b
}

// newUnacknowledgedTestbed is one where no engine acknowledges a release.
func newUnacknowledgedTestbed(t *testing.T) *testbed {
	b := newTestbed(t)
	b.expectedViolation = invariant.ReservedTooLong
	return b
}

// setEndpoints names the engines that are ready; r... are readers.
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
	b.core.SetTime(b.now)
	b.core.UpdateEndpoints(list)
	b.core.RunDue(b.now)
}

func (b *testbed) pass(d time.Duration) {
	for end := b.now + int64(d); b.now < end; {
		b.now = min(end, max(b.now+1, b.core.NextDue()))
		b.core.RunDue(b.now)
	}
}

var clients int64

// request is a client's request; its inference waits for a line to a reader then.
func (b *testbed) request(name, route string, more ...string) (*router.ClientConnection, *fakeClientSocket) {
	clients++
	out := &fakeClientSocket{}
	c := &router.ClientConnection{ID: clients, Socket: out}
	b.core.SetTime(b.now)
	b.core.ClientOpened(c)
	b.requestOn(c, name, route, more...)
	return c, out
}

// healthCheck asks an engine for its load.
func (b *testbed) healthCheck(engine string) {
	b.core.SetTime(b.now)
	b.core.HealthCheck(engine)
	b.core.RunDue(b.now)
}

// connect lets the oldest line that is dialled come up.
func (b *testbed) connect() *fakeEngineSocket {
	b.t.Helper()
	if len(b.dials) == 0 {
		b.t.Fatal("no line is dialled")
	}
	s := &fakeEngineSocket{conn: b.dials[0]}
	b.dials = b.dials[1:]
	b.engines = append(b.engines, s)
	b.core.SetTime(b.now)
	b.core.EngineConnected(s.conn, s, nil)
	b.core.RunDue(b.now)
	return s
}

// answerPrefill answers a reader's send.
func (b *testbed) answerPrefill(s *fakeEngineSocket) {
	b.core.SetTime(b.now)
	b.core.ResponseHead(s.conn, &http.Response{Status: "202", StatusCode: 202, Header: http.Header{}}, nil)
	b.core.ResponseComplete(s.conn, []byte(`{"cached_tokens":0}`), true)
	b.core.RunDue(b.now)
}

// countPosts counts the inferences written to engines so far.
func (b *testbed) countPosts() (n int) {
	for _, s := range b.engines {
		n += strings.Count(s.written.String(), "POST ")
	}
	return n
}

// advertisedTimeouts are the times that engines were told with the requests that a connection carried.
func advertisedTimeouts(t *testing.T, s *fakeEngineSocket) (rows []time.Duration) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(s.written.Bytes()))
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return rows
		}
		io.Copy(io.Discard, r.Body)
		if r.Method != http.MethodPost {
			continue
		}
		left, err := strconv.ParseFloat(r.Header.Get(platform.HeaderTimeout), 64)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, time.Duration(left*float64(time.Second)))
	}
}

// requestOn is one more request on a client's connection.
func (b *testbed) requestOn(c *router.ClientConnection, name, route string, more ...string) {
	b.t.Helper()
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k%s\r\nRequest-Timeout: 3.0\r\n%sContent-Length: 2\r\n\r\n{}", name, route, name, strings.Join(more, ""))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		b.t.Fatal(err)
	}
	a := &router.ClientRequest{Request: r, Bytes: 2}
	a.Call, a.Caller, a.Rejection = platform.NewCodec(nil).ParseRequest(r, []byte("{}"))
	b.core.SetTime(b.now)
	b.core.ReceiveRequest(c, a)
	b.core.RunDue(b.now)
}

// responseStatuses reads what a client got: the status of each answer in order.
func responseStatuses(t *testing.T, out *fakeClientSocket) (rows []int) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(out.Bytes()))
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return rows
		}
		io.Copy(io.Discard, r.Body)
		rows = append(rows, r.StatusCode)
	}
}

// answerFull answers a writer's send: it never ran.
func (b *testbed) answerFull(s *fakeEngineSocket) {
	b.core.SetTime(b.now)
	b.core.ResponseHead(s.conn, &http.Response{Status: "503", StatusCode: 503, Header: http.Header{"Not-Started": {"1"}}}, nil)
	b.core.ResponseComplete(s.conn, nil, true)
	b.core.RunDue(b.now)
}

// finished answers all that is open with its writer's refusal or by its time being up.
func (b *testbed) untilAnswered(out *fakeClientSocket) {
	b.t.Helper()
	for range 100 {
		if len(responseStatuses(b.t, out)) > 0 {
			return
		}
		b.pass(100 * time.Millisecond)
	}
	b.t.Fatal("never answered")
}
