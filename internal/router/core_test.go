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

// bench is a core whose sockets are the test's: it sees each byte that is written and the time of it.
type bench struct {
	ignoredEvents
	t     *testing.T
	core  *router.Core
	now   int64
	dials []*router.Line
	lines []*socket
	heard []routing.Event

	fails, mayFail bool           // the module, at its next input; and whether that is wanted
	expected       invariant.Rule // the one that this test's world breaks, as where no engine acknowledges a release
}

func (b *bench) Dial(l *router.Line) { b.dials = append(b.dials, l) }
func (b *bench) Around(in routing.Event, step func()) {
	if b.fails {
		b.fails = false
		panic("a fault put in by a test")
	}
	b.heard = append(b.heard, in)
	step()
}
func (b *bench) ModuleFailed(p any, _ routing.Event, row []byte) {
	if !b.mayFail {
		b.t.Fatalf("%v\n%s", p, row)
	}
}

// ignoredEvents are what a core tells that no test here looks at.
type ignoredEvents struct{}

func (ignoredEvents) Tell(int, string)                          {}
func (ignoredEvents) Final(router.Final)                        {}
func (ignoredEvents) Shed(router.Shed)                          {}
func (ignoredEvents) Attempt(router.AttemptEnd)                 {}
func (ignoredEvents) Barred(string, invariant.Reason)           {}
func (ignoredEvents) Closed(int64, router.CloseReason)          {}
func (ignoredEvents) Connection(string, router.ConnectionEvent) {}
func (ignoredEvents) First(string, time.Duration, int)          {}
func (ignoredEvents) Refused(string)                            {}
func (ignoredEvents) Released(router.Release)                   {}
func (ignoredEvents) Listed(int64, int, []string)               {}

// Violated is a fault in any test.
func (b *bench) Violated(v invariant.Violation) {
	if v.Rule != b.expected {
		b.t.Errorf("rule broken: %+v", v)
	}
}

// socket is a connection to an engine.
type socket struct {
	line  *router.Line
	wrote bytes.Buffer
	shut  bool
}

func (s *socket) Write(request []byte) error { s.wrote.Write(request); return nil }
func (s *socket) Written() bool              { return true }
func (s *socket) Close()                     { s.shut = true }

// screen is a connection of a client.
type screen struct {
	bytes.Buffer
	reading bool // a request is on its way to the core
	gone    bool // it has ended, and the core has not been told
	shut    bool
}

func (s *screen) Send(data []byte) error {
	if s.shut {
		return io.ErrClosedPipe
	}
	s.Write(data)
	return nil
}
func (s *screen) Drained() bool  { return true }
func (s *screen) StopReading()   {}
func (s *screen) Close()         { s.shut = true }
func (s *screen) Gone() bool     { return s.gone }
func (s *screen) TryClose() bool { s.shut = s.shut || !s.reading; return s.shut }

const told = `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":1024},
 "settings":{"areas":["a"],"zone":0,"index":0,"peers_total":1,"tick_us":4000,"flavors":["m1","m2"],"ceilings":{
 "try_limit":5,"cancel":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},"report":{
 "how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[100000,100000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":1000000},
 {"name":"label","effect":"dedup","dedup_scope":"all","memory_span_us":300000,"worth":1,"objective_us":1000000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":1000000}],"obligations":{"drain_grace_us":250000}}}`

func newBench(t *testing.T) *bench {
	told, err := platform.ParseNodeConfig("test", []byte(told))
	if err != nil {
		t.Fatal(err)
	}
	d, err := told.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	b := &bench{t: t, now: 1e15}
	b.core = router.New(d, platform.NewCodec(told.LoadReportFields()), 1, 1, b.now, b, b)
	b.list("r", "w")
	return b
}

// newUnacknowledgedBench is one where no engine acknowledges a release.
func newUnacknowledgedBench(t *testing.T) *bench {
	b := newBench(t)
	b.expected = invariant.HeldTooLong
	return b
}

// list names the engines that are ready; r... are readers.
func (b *bench) list(ids ...string) {
	list := endpoint.List{Revision: 1}
	for _, id := range ids {
		kind := "m2"
		if id[0] == 'r' {
			kind = "m1"
		}
		list.Entries = append(list.Entries, endpoint.Entry{ID: id, Address: "127.0.0.1:1", Kind: kind, Zone: "a", Weight: 1,
			State: endpoint.Ready})
	}
	b.core.Begin(b.now)
	b.core.TakeList(list)
	b.core.Turn(b.now)
}

func (b *bench) pass(d time.Duration) {
	for end := b.now + int64(d); b.now < end; {
		b.now = min(end, max(b.now+1, b.core.Due()))
		b.core.Turn(b.now)
	}
}

var clients int64

// ask is a client's request; its inference waits for a line to a reader then.
func (b *bench) ask(name, route string, more ...string) (*router.Client, *screen) {
	clients++
	out := &screen{}
	c := &router.Client{ID: clients, Socket: out}
	b.core.Begin(b.now)
	b.core.ClientOpened(c)
	b.asked(c, name, route, more...)
	return c, out
}

// probe asks an engine for its load.
func (b *bench) probe(engine string) {
	b.core.Begin(b.now)
	b.core.Probe(engine)
	b.core.Turn(b.now)
}

// connect lets the oldest line that is dialled come up.
func (b *bench) connect() *socket {
	b.t.Helper()
	if len(b.dials) == 0 {
		b.t.Fatal("no line is dialled")
	}
	s := &socket{line: b.dials[0]}
	b.dials = b.dials[1:]
	b.lines = append(b.lines, s)
	b.core.Begin(b.now)
	b.core.LineDialled(s.line, s, nil)
	b.core.Turn(b.now)
	return s
}

// held answers a reader's send.
func (b *bench) held(s *socket) {
	b.core.Begin(b.now)
	b.core.LineHead(s.line, &http.Response{Status: "202", StatusCode: 202, Header: http.Header{}}, nil)
	b.core.LineEnd(s.line, []byte(`{"cached_tokens":0}`), true)
	b.core.Turn(b.now)
}

// posts counts the inferences written to engines so far.
func (b *bench) posts() (n int) {
	for _, s := range b.lines {
		n += strings.Count(s.wrote.String(), "POST ")
	}
	return n
}

// toldTimes are the times that engines were told with the requests that a connection carried.
func toldTimes(t *testing.T, s *socket) (row []time.Duration) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(s.wrote.Bytes()))
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return row
		}
		io.Copy(io.Discard, r.Body)
		if r.Method != http.MethodPost {
			continue
		}
		left, err := strconv.ParseFloat(r.Header.Get(platform.HeaderTimeout), 64)
		if err != nil {
			t.Fatal(err)
		}
		row = append(row, time.Duration(left*float64(time.Second)))
	}
}

// The time that an engine is told is what is left when it is told: where its connection was slow to come up, on the turn
// from read to write, and on a further attempt. A line that took a quarter second to come up had its engine told as much
// too much.
func TestEngineIsToldTheTimeThatIsLeft(t *testing.T) {
	b := newBench(t)
	b.list("r", "w", "w2")
	b.ask("a1", "chat")
	expect := func(what string, s *socket, left time.Duration) {
		t.Helper()
		row := toldTimes(t, s)
		if n := len(row); n == 0 || row[n-1] > left+10*time.Millisecond || row[n-1] < left-100*time.Millisecond {
			t.Errorf("%s: %v told, %v left", what, row, left)
		}
	}
	b.pass(200 * time.Millisecond)
	reader := b.connect()
	expect("a connection that came up late", reader, 2800*time.Millisecond)
	b.pass(300 * time.Millisecond)
	b.held(reader)
	b.pass(100 * time.Millisecond)
	writer := b.connect()
	expect("the turn from read to write", writer, 2400*time.Millisecond)
	b.pass(100 * time.Millisecond)
	b.full(writer)
	b.pass(200 * time.Millisecond)
	expect("a further attempt", b.connect(), 2100*time.Millisecond)
}

// asked is one more request on a client's connection.
func (b *bench) asked(c *router.Client, name, route string, more ...string) {
	b.t.Helper()
	text := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k%s\r\nRequest-Timeout: 3.0\r\n%sContent-Length: 2\r\n\r\n{}", name, route, name, strings.Join(more, ""))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		b.t.Fatal(err)
	}
	a := &router.Asked{Request: r, Bytes: 2}
	a.Call, a.Party, a.Wrong = platform.NewCodec(nil).ParseRequest(r, []byte("{}"))
	b.core.Begin(b.now)
	b.core.Ask(c, a)
	b.core.Turn(b.now)
}

// answers reads what a client got: the status of each answer in order.
func answers(t *testing.T, out *screen) (row []int) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(out.Bytes()))
	for {
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			return row
		}
		io.Copy(io.Discard, r.Body)
		row = append(row, r.StatusCode)
	}
}

// A request that was read is answered, however many a client sends ahead: a fifth one closed the connection, with all
// that waited on it. What cannot be read behind them is answered last.
func TestRequestsThatAreReadAheadAreAllAnswered(t *testing.T) {
	for _, count := range []int{4, 6, 20, 200} {
		b := newBench(t)
		c, out := b.ask("a0", "chat")
		for i := 1; i < count; i++ {
			b.asked(c, fmt.Sprint("a", i), "chat")
		}
		b.core.Begin(b.now)
		b.core.RefuseMessage(c, io.ErrUnexpectedEOF)
		b.core.Turn(b.now)
		b.pass(20 * time.Second) // no connection to an engine comes up: each gets its error in time
		row := answers(t, out)
		if len(row) != count+1 || row[count] != http.StatusBadRequest || !out.shut {
			t.Errorf("%d requests and a message that cannot be read: %v, closed %v", count, row, out.shut)
		}
	}
}

// Where a node has all the connections that it may, and where it holds too many bytes, it says so: a request that is on
// its way on the connection is owed an answer.
func TestConnectionsThatAreTooManyAreAnswered(t *testing.T) {
	b := newBench(t)
	var last *screen
	for i := range 600 { // more than 46 of a hundred of 1,024 descriptors
		_, last = b.ask(fmt.Sprint("a", i), "chat")
	}
	if row := answers(t, last); len(row) != 1 || row[0] != http.StatusServiceUnavailable {
		t.Errorf("one connection more than there may be: %v", row)
	}
	b = newBench(t)
	out := &screen{}
	c := &router.Client{ID: 1 << 40, Socket: out}
	b.core.Begin(b.now)
	b.core.ClientOpened(c)
	b.core.Reading(c, admission.HeadWhole, 64<<20)
	b.core.Turn(b.now)
	if row := answers(t, out); len(row) != 1 || row[0] != http.StatusServiceUnavailable {
		t.Errorf("half a request with more bytes than there may be: %v", row)
	}
}

// A client that has gone is sent on nowhere: not while its line is dialled, nor between read and write, nor while
// it waits for a writer. Its state is let go of all the same.
func TestNothingIsSentOnForAClientThatHasGone(t *testing.T) {
	for _, route := range []string{"chat", "alert"} {
		b := newUnacknowledgedBench(t)
		c, _ := b.ask("a1", route)
		b.core.ClientGone(c)
		b.connect()
		b.pass(3 * time.Second)
		if n := b.posts(); n != 0 {
			t.Errorf("%s: %d sends for a client that left while its line was dialled", route, n)
		}

		b = newUnacknowledgedBench(t)
		c, _ = b.ask("a2", route)
		s := b.connect()
		b.core.ClientGone(c)
		b.held(s)
		b.pass(3 * time.Second)
		if n := b.posts(); n != 1 {
			t.Errorf("%s: %d sends, the read among them, for a client that left while it was read", route, n)
		}

		b = newUnacknowledgedBench(t)
		b.list("r") // no writer is there
		c, _ = b.ask("a3", route)
		s = b.connect()
		b.held(s)
		b.pass(50 * time.Millisecond)
		b.core.ClientGone(c)
		b.list("r", "w")
		b.pass(3 * time.Second)
		released := false
		for len(b.dials) > 0 {
			b.connect()
		}
		for _, s := range b.lines {
			released = released || strings.Contains(s.wrote.String(), "DELETE /v1/holds/a3")
		}
		if n := b.posts(); n != 1 || !released {
			t.Errorf("%s: %d sends, state let go of: %v, for a client that left while it waited", route, n, released)
		}
	}
}

// mayHaveRun is a bench on which a deduplicated request was written to a writer, whose connection then broke.
func mayHaveRun(t *testing.T) *bench {
	b := newBench(t)
	b.ask("a1", "label")
	b.held(b.connect())
	writer := b.connect()
	b.core.Begin(b.now)
	b.core.LineBroken(writer.line)
	b.core.Turn(b.now)
	return b
}

// Found by random settings: a class is deduplicated for a time, and the window passed while the connection of the second
// attempt came up. It is looked at again before the first byte.
func TestWindowThatPassesWhileAConnectionComesUp(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		b := mayHaveRun(t)
		b.pass(after)
		for len(b.dials) > 0 {
			b.connect()
		}
		want := 3 // a read and two writes, the second within the window of 300 ms
		if after > 300*time.Millisecond {
			want = 2
		}
		if n := b.posts(); n != want {
			t.Errorf("after %v: %d attempts, not %d", after, n, want)
		}
	}
}

// Engines that are always new must not be remembered for good.
func TestDepartedEnginesAreForgotten(t *testing.T) {
	b := newBench(t)
	for i := range 500 {
		b.list("r", fmt.Sprint("w", i))
		b.pass(time.Second)
	}
	if n := b.core.Remembers(); n > 80 {
		t.Errorf("after 500 engines came and went, %d are remembered", n)
	}
}

// Rule 2 broke once on a soak: a non-retriable was refused after it may have run. The rest of a stream that broke is
// asked for under a new name, and whatever bound refuses it, a refusal would say that a further try is harmless.
func TestRestOfAStreamIsNotRefusedAsIfItNeverRan(t *testing.T) {
	for _, at := range []struct{ route, retry, status string }{
		{"chat", "", "503"}, {"alert", "", "503"}, {"alert", "Client-Retry: 1\r\n", "503"},
		{"chat", "Client-Retry: again\r\n", "503"}, {"alert", "Client-Retry: again\r\n", "502"},
	} {
		b := newBench(t)
		b.core.Begin(b.now)
		b.core.Stopping()
		b.pass(5 * time.Second)
		_, out := b.ask("a1", at.route, at.retry)
		if got := out.String(); !strings.HasPrefix(got, "HTTP/1.1 "+at.status) {
			t.Errorf("%s %q: %q", at.route, at.retry, got)
		}
	}
}

// full answers a writer's send: it never ran.
func (b *bench) full(s *socket) {
	b.core.Begin(b.now)
	b.core.LineHead(s.line, &http.Response{Status: "503", StatusCode: 503, Header: http.Header{"Not-Started": {"1"}}}, nil)
	b.core.LineEnd(s.line, nil, true)
	b.core.Turn(b.now)
}

// Found on settings of our own, rolling restarts under engines that hang: a state was held past the pin limit, as its
// reader hung and was told six times to let go of it. Any engine takes that word, so one that answers is told too.
func TestStateOfAReaderThatHangsIsReleasedElsewhere(t *testing.T) {
	b := newBench(t)
	b.list("r", "w", "w2") // one of the writers has answered before, the other never
	c, _ := b.ask("a1", "alert")
	b.held(b.connect())
	b.full(b.connect())
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	for range 700 { // well under the pin limit of a second
		b.pass(time.Millisecond)
		for len(b.dials) > 0 {
			b.connect()
		}
	}
	told := map[string]int{}
	for _, s := range b.lines {
		told[s.line.Engine] += strings.Count(s.wrote.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] == 0 || told["w"] == 0 || told["w2"] == 0 {
		t.Errorf("told to let go: %v", told)
	}
}

// A node must not end between two tries to let go of a state: whoever asks what it holds hears of the second.
func TestReleaseThatIsTriedAgainIsHeldUntilThen(t *testing.T) {
	b := newBench(t)
	c, _ := b.ask("a1", "alert")
	s := b.connect()
	b.held(s)
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.LineBroken(s.line) // the release went out on the connection of the read
	b.core.Turn(b.now)
	if n := b.core.Holding().Controls; n == 0 {
		t.Error("nothing is held while a release waits for its second try")
	}
}

// releases counts the releases written for a name, whichever engine they went to. Connections that are dialled come up.
func (b *bench) releases(name string) (n int) {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.lines {
		n += strings.Count(s.wrote.String(), "DELETE /v1/holds/"+name+" ")
	}
	return n
}

// writeOut is a core with an inference whose write has been sent and not answered.
func writeOut(t *testing.T, route string) (*bench, *router.Client, *socket) {
	b := newBench(t)
	c, _ := b.ask("a1", route)
	b.held(b.connect())
	return b, c, b.connect()
}

// An engine lets go of what no attempt waits for. A release that is written right behind the close of an attempt's
// connection may arrive before the close is seen, and lets go of nothing then: it is sent again.
func TestReleaseIsRepeatedBehindAnAttemptThatIsCut(t *testing.T) {
	b, c, _ := writeOut(t, "chat")
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	for range 20 { // each answered
		b.releases("a1")
		for _, s := range b.lines {
			if strings.Contains(s.wrote.String(), "DELETE") && !s.shut {
				b.core.LineHead(s.line, &http.Response{Status: "204", StatusCode: 204, Header: http.Header{}}, nil)
				b.core.LineEnd(s.line, nil, true)
			}
		}
		b.pass(5 * time.Millisecond)
	}
	early := b.releases("a1")
	b.pass(600 * time.Millisecond)
	if again := b.releases("a1"); early == 0 || again <= early {
		t.Errorf("%d releases at once, %d after 0.7 s", early, again)
	}
	if h := b.core.Holding(); h.Held != 1 || h.OldestHold < 600*time.Millisecond {
		t.Errorf("the node says that it holds %+v", h)
	}
}

// What is written to a machine that was cut off, or whose process does not run, is an attempt for the node alone. Its
// state must be released in time all the same, and once more if the attempt comes back without having taken it.
func TestStateBehindAnAttemptThatNeverArrives(t *testing.T) {
	b, _, writer := writeOut(t, "alert")
	b.pass(time.Second)
	early := b.releases("a1")
	if early == 0 {
		t.Error("no release within the limit")
	}
	b.full(writer)
	b.pass(10 * time.Millisecond)
	if again := b.releases("a1"); again <= early {
		t.Errorf("%d releases before the writer refuses, %d after", early, again)
	}
}

// The time of a state runs from when its read ended, not from when a process that was not run came to hear of it.
func TestStateThatIsHeardOfLateIsReleasedInTime(t *testing.T) {
	b := newBench(t)
	b.list("r") // no writer is there
	b.ask("a1", "alert")
	s := b.connect()
	b.pass(700 * time.Millisecond)
	b.core.EventsSince(b.now - int64(600*time.Millisecond))
	b.held(s)
	b.pass(200 * time.Millisecond)
	if b.releases("a1") == 0 {
		t.Error("a state that was held for 0.8 s is not released")
	}
}

// What the module holds when it fails is released, whatever it waited for: a read that is out, a state, a write.
func TestStatesAreReleasedWhenTheModuleFails(t *testing.T) {
	for _, at := range []string{"read", "held", "write"} {
		b := newBench(t)
		b.mayFail = true
		if at == "held" {
			b.list("r") // no writer is there
		}
		b.ask("a1", "alert")
		s := b.connect()
		if at != "read" {
			b.held(s)
		}
		if at == "write" {
			b.connect()
		}
		b.fails = true
		b.list("r", "w")
		b.pass(600 * time.Millisecond)
		if n := b.releases("a1"); n == 0 || b.core.Holding().Inferences != 0 {
			t.Errorf("%s: %d releases, %+v", at, n, b.core.Holding())
		}
	}
}

// A release that is answered with anything but an acknowledgement is sent to others, and given up in the end.
func TestReleasesThatAreNotAcknowledged(t *testing.T) {
	head := func(status int) *http.Response {
		return &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: http.Header{}}
	}
	for what, answer := range map[string]func(b *bench, s *socket){
		"404":     func(b *bench, s *socket) { b.core.LineHead(s.line, head(404), nil); b.core.LineEnd(s.line, nil, true) },
		"500":     func(b *bench, s *socket) { b.core.LineHead(s.line, head(500), nil); b.core.LineEnd(s.line, nil, true) },
		"noise":   func(b *bench, s *socket) { b.core.LineGarbled(s.line, io.ErrUnexpectedEOF) },
		"half":    func(b *bench, s *socket) { b.core.LineHead(s.line, head(204), nil); b.core.LineBroken(s.line) },
		"nothing": func(*bench, *socket) {},
		"a reset": func(b *bench, s *socket) { b.core.LineBroken(s.line) },
	} {
		b, c, _ := writeOut(t, "chat")
		b.expected = invariant.HeldTooLong
		b.list("r", "w", "w2")
		b.core.Begin(b.now)
		b.core.ClientGone(c)
		b.core.Turn(b.now)
		answered, engines := map[*socket]int{}, map[string]bool{}
		for range 3000 { // 15 seconds
			b.releases("a1")
			for _, s := range b.lines {
				if n := strings.Count(s.wrote.String(), "DELETE"); n > answered[s] && !s.shut {
					answered[s] = n
					engines[s.line.Engine] = true
					b.core.Begin(b.now)
					answer(b, s)
					b.core.Turn(b.now)
				}
			}
			b.pass(5 * time.Millisecond)
		}
		if n := b.releases("a1"); n < 10 || n > 100 || len(engines) != 3 || b.core.Holding().Held != 0 {
			t.Errorf("%s: %d releases to %d engines, %+v", what, n, len(engines), b.core.Holding())
		}
	}
}

// One engine that hangs must not cost the time of the next try: a release goes to two engines at once where connections
// are there.
func TestReleaseGoesToTwoEnginesAtOnce(t *testing.T) {
	b, c, writer := writeOut(t, "chat")
	b.full(writer)
	b.pass(25 * time.Millisecond) // its connection rests now, as the reader's does
	b.core.Begin(b.now)
	b.core.ClientGone(c)
	b.core.Turn(b.now)
	told := map[string]int{}
	for _, s := range b.lines {
		told[s.line.Engine] += strings.Count(s.wrote.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] != 1 || told["w"] != 1 {
		t.Errorf("told at once: %v", told)
	}
}
