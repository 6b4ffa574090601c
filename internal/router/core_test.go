package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
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

// The time that an engine is told is what is left when it is told: where its connection was slow to come up, on the turn
// from read to write, and on a further attempt. A line that took a quarter second to come up had its engine told as much
// too much.
func TestEngineGetsRemainingTimeout(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2")
	b.request("a1", "chat")
	expect := func(what string, s *fakeEngineSocket, left time.Duration) {
		t.Helper()
		rows := advertisedTimeouts(t, s)
		if n := len(rows); n == 0 || rows[n-1] > left+10*time.Millisecond || rows[n-1] < left-100*time.Millisecond {
			t.Errorf("%s: %v told, %v left", what, rows, left)
		}
	}
	b.pass(200 * time.Millisecond)
	reader := b.connect()
	expect("a connection that came up late", reader, 2800*time.Millisecond)
	b.pass(300 * time.Millisecond)
	b.answerPrefill(reader)
	b.pass(100 * time.Millisecond)
	writer := b.connect()
	expect("the turn from read to write", writer, 2400*time.Millisecond)
	b.pass(100 * time.Millisecond)
	b.answerFull(writer)
	b.pass(200 * time.Millisecond)
	expect("a further attempt", b.connect(), 2100*time.Millisecond)
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

// A request that was read is answered, however many a client sends ahead: a fifth one closed the connection, with all
// that waited on it. What cannot be read behind them is answered last.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	for _, count := range []int{4, 6, 20, 200} {
		b := newTestbed(t)
		c, out := b.request("a0", "chat")
		for i := 1; i < count; i++ {
			b.requestOn(c, fmt.Sprint("a", i), "chat")
		}
		b.core.SetTime(b.now)
		b.core.RejectMessage(c, io.ErrUnexpectedEOF)
		b.core.RunDue(b.now)
		b.pass(20 * time.Second) // no connection to an engine comes up: each gets its error in time
		rows := responseStatuses(t, out)
		if len(rows) != count+1 || rows[count] != http.StatusBadRequest || !out.closed {
			t.Errorf("%d requests and a message that cannot be read: %v, closed %v", count, rows, out.closed)
		}
	}
}

// Where a node has all the connections that it may, and where it holds too many bytes, it says so: a request that is on
// its way on the connection is owed an answer.
func TestExcessConnectionsAreAnswered(t *testing.T) {
	b := newTestbed(t)
	var last *fakeClientSocket
	for i := range 600 { // more than 46 of a hundred of 1,024 descriptors
		_, last = b.request(fmt.Sprint("a", i), "chat")
	}
	if rows := responseStatuses(t, last); len(rows) != 1 || rows[0] != http.StatusServiceUnavailable {
		t.Errorf("one connection more than there may be: %v", rows)
	}
	b = newTestbed(t)
	out := &fakeClientSocket{}
	c := &router.ClientConnection{ID: 1 << 40, Socket: out}
	b.core.SetTime(b.now)
	b.core.ClientOpened(c)
	b.core.ReceivePartial(c, admission.HeaderComplete, 64<<20)
	b.core.RunDue(b.now)
	if rows := responseStatuses(t, out); len(rows) != 1 || rows[0] != http.StatusServiceUnavailable {
		t.Errorf("half a request with more bytes than there may be: %v", rows)
	}
}

// A client that has gone is sent on nowhere: not while its line is dialled, nor between read and write, nor while
// it waits for a writer. Its state is let go of all the same.
func TestNothingIsForwardedForADisconnectedClient(t *testing.T) {
	for _, route := range []string{"chat", "alert"} {
		b := newUnacknowledgedTestbed(t)
		c, _ := b.request("a1", route)
		b.core.ClientDisconnected(c)
		b.connect()
		b.pass(3 * time.Second)
		if n := b.countPosts(); n != 0 {
			t.Errorf("%s: %d sends for a client that left while its line was dialled", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		c, _ = b.request("a2", route)
		s := b.connect()
		b.core.ClientDisconnected(c)
		b.answerPrefill(s)
		b.pass(3 * time.Second)
		if n := b.countPosts(); n != 1 {
			t.Errorf("%s: %d sends, the read among them, for a client that left while it was read", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		b.setEndpoints("r") // no writer is there
		c, _ = b.request("a3", route)
		s = b.connect()
		b.answerPrefill(s)
		b.pass(50 * time.Millisecond)
		b.core.ClientDisconnected(c)
		b.setEndpoints("r", "w")
		b.pass(3 * time.Second)
		released := false
		for len(b.dials) > 0 {
			b.connect()
		}
		for _, s := range b.engines {
			released = released || strings.Contains(s.written.String(), "DELETE /v1/holds/a3")
		}
		if n := b.countPosts(); n != 1 || !released {
			t.Errorf("%s: %d sends, state let go of: %v, for a client that left while it waited", route, n, released)
		}
	}
}

// testbedAfterLostDecode is a bench on which a deduplicated request was written to a writer, whose connection then broke.
func testbedAfterLostDecode(t *testing.T) *testbed {
	b := newTestbed(t)
	b.request("a1", "label")
	b.answerPrefill(b.connect())
	writer := b.connect()
	b.core.SetTime(b.now)
	b.core.EngineDisconnected(writer.conn)
	b.core.RunDue(b.now)
	return b
}

// Found by random settings: a class is deduplicated for a time, and the window passed while the connection of the second
// attempt came up. It is looked at again before the first byte.
func TestDedupWindowExpiresWhileDialing(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		b := testbedAfterLostDecode(t)
		b.pass(after)
		for len(b.dials) > 0 {
			b.connect()
		}
		want := 3 // a read and two writes, the second within the window of 300 ms
		if after > 300*time.Millisecond {
			want = 2
		}
		if n := b.countPosts(); n != want {
			t.Errorf("after %v: %d attempts, not %d", after, n, want)
		}
	}
}

// Engines that are always new must not be remembered for good.
func TestDepartedEnginesAreForgotten(t *testing.T) {
	b := newTestbed(t)
	for i := range 500 {
		b.setEndpoints("r", fmt.Sprint("w", i))
		b.pass(time.Second)
	}
	if n := b.core.KnownEngines(); n > 80 {
		t.Errorf("after 500 engines came and went, %d are remembered", n)
	}
}

// Rule 2 broke once on a soak: a non-retriable was refused after it may have run. The rest of a stream that broke is
// asked for under a new name, and whatever bound refuses it, a refusal would say that a further try is harmless.
func TestResumedStreamIsNotShedAsIfItNeverRan(t *testing.T) {
	for _, at := range []struct{ route, retry, status string }{
		{"chat", "", "503"}, {"alert", "", "503"}, {"alert", "Client-Retry: 1\r\n", "503"},
		{"chat", "Client-Retry: again\r\n", "503"}, {"alert", "Client-Retry: again\r\n", "502"},
	} {
		b := newTestbed(t)
		b.core.SetTime(b.now)
		b.core.Shutdown()
		b.pass(5 * time.Second)
		_, out := b.request("a1", at.route, at.retry)
		if got := out.String(); !strings.HasPrefix(got, "HTTP/1.1 "+at.status) {
			t.Errorf("%s %q: %q", at.route, at.retry, got)
		}
	}
}

// answerFull answers a writer's send: it never ran.
func (b *testbed) answerFull(s *fakeEngineSocket) {
	b.core.SetTime(b.now)
	b.core.ResponseHead(s.conn, &http.Response{Status: "503", StatusCode: 503, Header: http.Header{"Not-Started": {"1"}}}, nil)
	b.core.ResponseComplete(s.conn, nil, true)
	b.core.RunDue(b.now)
}

// Found on settings of our own, rolling restarts under engines that hang: a state was held past the pin limit, as its
// reader hung and was told six times to let go of it. Any engine takes that word, so one that answers is told too.
func TestReservationOfAHungPrefillEngineIsReleasedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2") // one of the writers has answered before, the other never
	c, _ := b.request("a1", "alert")
	b.answerPrefill(b.connect())
	b.answerFull(b.connect())
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	for range 700 { // well under the pin limit of a second
		b.pass(time.Millisecond)
		for len(b.dials) > 0 {
			b.connect()
		}
	}
	told := map[string]int{}
	for _, s := range b.engines {
		told[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] == 0 || told["w"] == 0 || told["w2"] == 0 {
		t.Errorf("told to let go: %v", told)
	}
}

// A node must not end between two tries to let go of a state: whoever asks what it holds hears of the second.
func TestPendingReleaseRetryCountsAsInFlight(t *testing.T) {
	b := newTestbed(t)
	c, _ := b.request("a1", "alert")
	s := b.connect()
	b.answerPrefill(s)
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.EngineDisconnected(s.conn) // the release went out on the connection of the read
	b.core.RunDue(b.now)
	if n := b.core.InFlight().ControlRequests; n == 0 {
		t.Error("nothing is held while a release waits for its second try")
	}
}

// releases counts the releases written for a name, whichever engine they went to. Connections that are dialled come up.
func (b *testbed) releases(name string) (n int) {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.engines {
		n += strings.Count(s.written.String(), "DELETE /v1/holds/"+name+" ")
	}
	return n
}

// testbedWithDecodeInFlight is a core with an inference whose write has been sent and not answered.
func testbedWithDecodeInFlight(t *testing.T, route string) (*testbed, *router.ClientConnection, *fakeEngineSocket) {
	b := newTestbed(t)
	c, _ := b.request("a1", route)
	b.answerPrefill(b.connect())
	return b, c, b.connect()
}

// An engine lets go of what no attempt waits for. A release that is written right behind the close of an attempt's
// connection may arrive before the close is seen, and lets go of nothing then: it is sent again.
func TestReleaseIsRepeatedAfterACancelledAttempt(t *testing.T) {
	b, c, _ := testbedWithDecodeInFlight(t, "chat")
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	for range 20 { // each answered
		b.releases("a1")
		for _, s := range b.engines {
			if strings.Contains(s.written.String(), "DELETE") && !s.closed {
				b.core.ResponseHead(s.conn, &http.Response{Status: "204", StatusCode: 204, Header: http.Header{}}, nil)
				b.core.ResponseComplete(s.conn, nil, true)
			}
		}
		b.pass(5 * time.Millisecond)
	}
	early := b.releases("a1")
	b.pass(600 * time.Millisecond)
	if again := b.releases("a1"); early == 0 || again <= early {
		t.Errorf("%d releases at once, %d after 0.7 s", early, again)
	}
	if h := b.core.InFlight(); h.Reservations != 1 || h.OldestReservation < 600*time.Millisecond {
		t.Errorf("the node says that it holds %+v", h)
	}
}

// What is written to a machine that was cut off, or whose process does not run, is an attempt for the node alone. Its
// state must be released in time all the same, and once more if the attempt comes back without having taken it.
func TestReservationBehindAnUndeliveredAttemptIsReleased(t *testing.T) {
	b, _, writer := testbedWithDecodeInFlight(t, "alert")
	b.pass(time.Second)
	early := b.releases("a1")
	if early == 0 {
		t.Error("no release within the limit")
	}
	b.answerFull(writer)
	b.pass(10 * time.Millisecond)
	if again := b.releases("a1"); again <= early {
		t.Errorf("%d releases before the writer refuses, %d after", early, again)
	}
}

// The time of a state runs from when its read ended, not from when a process that was not run came to hear of it.
func TestReservationReportedLateIsReleasedInTime(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r") // no writer is there
	b.request("a1", "alert")
	s := b.connect()
	b.pass(700 * time.Millisecond)
	b.core.SetEarliestEventTime(b.now - int64(600*time.Millisecond))
	b.answerPrefill(s)
	b.pass(200 * time.Millisecond)
	if b.releases("a1") == 0 {
		t.Error("a state that was held for 0.8 s is not released")
	}
}

// What the module holds when it fails is released, whatever it waited for: a read that is out, a state, a write.
func TestReservationsAreReleasedWhenThePolicyPanics(t *testing.T) {
	for _, at := range []string{"read", "held", "write"} {
		b := newTestbed(t)
		b.mayPanic = true
		if at == "held" {
			b.setEndpoints("r") // no writer is there
		}
		b.request("a1", "alert")
		s := b.connect()
		if at != "read" {
			b.answerPrefill(s)
		}
		if at == "write" {
			b.connect()
		}
		b.panicNext = true
		b.setEndpoints("r", "w")
		b.pass(600 * time.Millisecond)
		if n := b.releases("a1"); n == 0 || b.core.InFlight().Requests != 0 {
			t.Errorf("%s: %d releases, %+v", at, n, b.core.InFlight())
		}
	}
}

// A release that is answered with anything but an acknowledgement is sent to others, and given up in the end.
func TestUnacknowledgedReleasesAreAbandoned(t *testing.T) {
	head := func(status int) *http.Response {
		return &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: http.Header{}}
	}
	for what, answer := range map[string]func(b *testbed, s *fakeEngineSocket){
		"404": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(404), nil)
			b.core.ResponseComplete(s.conn, nil, true)
		},
		"500": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(500), nil)
			b.core.ResponseComplete(s.conn, nil, true)
		},
		"noise": func(b *testbed, s *fakeEngineSocket) { b.core.ResponseInvalid(s.conn, io.ErrUnexpectedEOF) },
		"half": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(204), nil)
			b.core.EngineDisconnected(s.conn)
		},
		"nothing": func(*testbed, *fakeEngineSocket) {},
		"a reset": func(b *testbed, s *fakeEngineSocket) { b.core.EngineDisconnected(s.conn) },
	} {
		b, c, _ := testbedWithDecodeInFlight(t, "chat")
		b.expectedViolation = invariant.ReservedTooLong
		b.setEndpoints("r", "w", "w2")
		b.core.SetTime(b.now)
		b.core.ClientDisconnected(c)
		b.core.RunDue(b.now)
		answered, engines := map[*fakeEngineSocket]int{}, map[string]bool{}
		for range 3000 { // 15 seconds
			b.releases("a1")
			for _, s := range b.engines {
				if n := strings.Count(s.written.String(), "DELETE"); n > answered[s] && !s.closed {
					answered[s] = n
					engines[s.conn.Engine] = true
					b.core.SetTime(b.now)
					answer(b, s)
					b.core.RunDue(b.now)
				}
			}
			b.pass(5 * time.Millisecond)
		}
		if n := b.releases("a1"); n < 10 || n > 100 || len(engines) != 3 || b.core.InFlight().Reservations != 0 {
			t.Errorf("%s: %d releases to %d engines, %+v", what, n, len(engines), b.core.InFlight())
		}
	}
}

// One engine that hangs must not cost the time of the next try: a release goes to two engines at once where connections
// are there.
func TestReleaseGoesToTwoEnginesInParallel(t *testing.T) {
	b, c, writer := testbedWithDecodeInFlight(t, "chat")
	b.answerFull(writer)
	b.pass(25 * time.Millisecond) // its connection rests now, as the reader's does
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	told := map[string]int{}
	for _, s := range b.engines {
		told[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] != 1 || told["w"] != 1 {
		t.Errorf("told at once: %v", told)
	}
}
