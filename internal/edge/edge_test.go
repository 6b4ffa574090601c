package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/audit"
	"sandcourse/internal/config"
	"sandcourse/internal/fake/engine"
	"sandcourse/internal/loadgen"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
	"sandcourse/internal/scenario"
	"sandcourse/settings"
)

// fixture is one edge and a small fleet.
type fixture struct {
	t            *testing.T
	log          *audit.Log
	fleet        *scenario.Fleet
	edges        *scenario.Edges
	startedAt    time.Time
	rules        audit.Rules
	requestCount int
}

func newFixture(t *testing.T, alter func(*config.Deployment), configs ...engine.Config) *fixture {
	t.Helper()
	if configs == nil {
		configs = []engine.Config{{Name: "r0", Role: "read"}, {Name: "r1", Role: "read"},
			{Name: "w0", Role: "write"}, {Name: "w1", Role: "write"}}
	}
	f := &fixture{t: t, log: &audit.Log{}, startedAt: time.Now()}
	var err error
	if f.fleet, err = scenario.StartFleet(t.TempDir(), configs, f.log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.fleet.Stop)
	deployment, err := config.Read("default", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	deployment.EndpointFile, deployment.Engines, deployment.ChatAddress = f.fleet.Path, nil, ""
	if alter != nil {
		alter(deployment)
	}
	f.rules = scenario.AuditRules(deployment)
	if f.edges, err = scenario.StartEdges(1, *deployment, zap.NewNop(), f.log, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.edges.Stop)
	f.waitFor("the edge is ready", func() bool { return f.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed" })
	return f
}

func (f *fixture) call(a loadgen.Request) audit.ClientRecord {
	if a.Timeout == 0 {
		a.Timeout = 3 * time.Second
	}
	if a.Messages == nil {
		a.Messages = []loadgen.Message{{Role: "system", Content: "You caption clips."}, {Role: "user", Content: "The goal."}}
	}
	if a.RequestID == "" {
		f.requestCount++
		a.RequestID = fmt.Sprint("unnamed", f.requestCount)
	}
	c := loadgen.NewClient()
	defer c.Close()
	if a.MaxTokens == 0 {
		a.MaxTokens = 20
	}
	seen, _ := c.Do(context.Background(), f.edges.Addrs()[0], a)
	f.log.RecordClient(seen)
	return seen
}

func (f *fixture) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// checkRules waits until nothing is held any more and then asks the auditor.
func (f *fixture) checkRules() {
	f.t.Helper()
	var usage router.InFlight
	held := 0
	defer func() {
		if f.t.Failed() {
			f.t.Logf("the edge holds %+v, engines %d states", usage, held)
		}
	}()
	f.waitFor("edge and engines hold nothing", func() bool {
		usage, held = f.edges.Holding(context.Background()), 0
		for _, e := range f.fleet.Engines {
			held += e.Held()
		}
		return usage.Requests == 0 && usage.ControlRequests == 0 && held == 0
	})
	for _, b := range f.log.Judge(f.rules, time.Now()) {
		f.t.Error(b)
	}
}

func TestOneRequestCompletes(t *testing.T) {
	r := newFixture(t, nil)
	for _, whole := range []bool{false, true} {
		got := r.call(loadgen.Request{Route: "fan-alert", RequestID: "one", Unary: whole})
		if got.Outcome != "completed" || got.Tokens == 0 || got.Inference == "" {
			t.Errorf("whole %v: %+v", whole, got)
		}
	}
}

// singlePairFixture is one reader and one writer, whose faults strike every inference.
func singlePairFixture(t *testing.T, alter func(*config.Deployment)) (f *fixture, prefill, decode *engine.Engine) {
	f = newFixture(t, alter, engine.Config{Name: "r", Role: "read"}, engine.Config{Name: "w", Role: "write"})
	return f, f.fleet.Engines[0], f.fleet.Engines[1]
}

func TestClientDisconnects(t *testing.T) {
	for _, c := range []struct {
		when  string
		fault func(prefill, decode *engine.Engine)
		after time.Duration
	}{
		{"before the read", func(prefill, _ *engine.Engine) { prefill.SetFaults(engine.Faults{Silent: true}) }, 60 * time.Millisecond},
		{"during the read", func(prefill, _ *engine.Engine) { prefill.SetFaults(engine.Faults{Slow: 500}) }, 60 * time.Millisecond},
		{"between read and write", func(_, decode *engine.Engine) { decode.Drain(true) }, 60 * time.Millisecond},
		{"before the first token", func(_, decode *engine.Engine) { decode.SetFaults(engine.Faults{StallFirst: true}) },
			120 * time.Millisecond},
		{"in mid-stream", func(_, decode *engine.Engine) { decode.SetFaults(engine.Faults{StallAfter: 2}) }, 120 * time.Millisecond},
	} {
		t.Run(c.when, func(t *testing.T) {
			r, prefill, decode := singlePairFixture(t, nil)
			c.fault(prefill, decode)
			if got := r.call(loadgen.Request{Route: "fan-alert", RequestID: "leaver", LeaveAfter: c.after}); got.Outcome != "left" {
				t.Errorf("%+v", got)
			}
			r.waitFor("nothing is open", func() bool { return r.edges.Holding(context.Background()).Requests == 0 })
			prefill.SetFaults(engine.Faults{})
			decode.SetFaults(engine.Faults{})
			decode.Drain(false)
			r.checkRules()
		})
	}
}

func TestBrokenStreamEndsInOneError(t *testing.T) {
	for name, f := range map[string]engine.Faults{"stalls": {StallAfter: 1}, "breaks": {BreakAfter: 3}} {
		t.Run(name, func(t *testing.T) {
			r, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.StallTimeout = 200 * time.Millisecond })
			decode.SetFaults(f)
			got := r.call(loadgen.Request{Route: "fan-alert", RequestID: "cut"})
			if got.Outcome != "errored" || got.OutcomeCount != 1 || got.Tokens == 0 {
				t.Errorf("%+v", got)
			}
			got = r.call(loadgen.Request{Route: "fan-alert", RequestID: "cut-whole", Unary: true})
			if got.Outcome != "errored" || got.OutcomeCount != 1 {
				t.Errorf("whole: %+v", got)
			}
			decode.SetFaults(engine.Faults{})
			r.checkRules()
		})
	}
}

func TestLostDecodeEngineNeverRunsAlertTwice(t *testing.T) {
	for name, f := range map[string]engine.Faults{"stalls before its first token": {StallFirst: true},
		"fails without a word": {FailStatus: 503}} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, nil)
			for _, e := range r.fleet.Engines[2:] {
				e.SetFaults(f)
			}
			got := r.call(loadgen.Request{Route: "fan-alert", RequestID: "once", Timeout: 900 * time.Millisecond})
			if got.Outcome != "errored" || got.OutcomeCount != 1 {
				t.Errorf("%+v", got)
			}
			sends := 0
			for _, s := range r.log.EngineRecords() {
				if s.Request == "once" && s.Event == audit.AttemptStarted && s.Decode {
					sends++
				}
			}
			if sends != 1 {
				t.Errorf("%d sends to writers", sends)
			}
			for _, e := range r.fleet.Engines {
				e.SetFaults(engine.Faults{})
			}
			r.checkRules()
		})
	}
}

func TestLatePrefillIsReleased(t *testing.T) {
	r, prefill, _ := singlePairFixture(t, nil)
	prefill.SetFaults(engine.Faults{Slow: 400})
	if got := r.call(loadgen.Request{Route: "fan-alert", RequestID: "late", Timeout: 150 * time.Millisecond}); got.OutcomeCount != 1 {
		t.Errorf("%+v", got)
	}
	prefill.SetFaults(engine.Faults{})
	r.checkRules()
}

func TestEngineDrainClosesOpenAndDialledConnections(t *testing.T) {
	r := newFixture(t, nil)
	stop := make(chan struct{})
	var done = make(chan struct{})
	go func() {
		defer close(done)
		loadgen.Traffic{Edges: r.edges.Addrs, Rate: 150, Length: 1500 * time.Millisecond, Seed: 5, Prefixes: 3, PrefixWords: 30,
			Turns: 2, Log: r.log, Routes: []loadgen.Route{{Name: "clip-summary", Share: 1, PriorityWeight: 1, Retriable: true,
				FirstTokenTarget: time.Second, Timeout: 3 * time.Second, MaxTokens: 10}}}.Run(context.Background())
	}()
	go func() {
		defer close(stop)
		for i := range 4 {
			time.Sleep(300 * time.Millisecond)
			r.fleet.Drain(r.fleet.Engines[i%4], true)
			if i > 0 {
				r.fleet.Drain(r.fleet.Engines[(i-1)%4], false)
			}
		}
	}()
	<-stop
	<-done
	r.checkRules()
}

func TestUnresponsiveFleetAndEmptyEndpointList(t *testing.T) {
	r := newFixture(t, nil)
	for _, e := range r.fleet.Engines {
		e.SetFaults(engine.Faults{Silent: true})
	}
	for _, route := range []string{"clip-summary", "fan-alert"} {
		got := r.call(loadgen.Request{Route: route, RequestID: "hushed " + route, Timeout: 400 * time.Millisecond})
		if got.OutcomeCount != 1 || got.Outcome == "completed" {
			t.Errorf("all silent: %+v", got)
		}
	}
	for _, e := range r.fleet.Engines {
		e.SetFaults(engine.Faults{})
	}
	for _, e := range r.fleet.Engines {
		r.fleet.Remove(e)
	}
	r.waitFor("nothing is taken by an empty roster", func() bool {
		got := r.call(loadgen.Request{Route: "fan-alert", Timeout: 200 * time.Millisecond})
		return got.Outcome == "shed" && got.OutcomeCount == 1
	})
	r.checkRules()
}

func TestTruncatedEndpointFileKeepsLastList(t *testing.T) {
	r := newFixture(t, nil)
	text, err := os.ReadFile(r.fleet.Path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(r.fleet.Path, text[:len(text)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	// Two looks at the file later the edge must still serve.
	for range 4 {
		if got := r.call(loadgen.Request{Route: "clip-summary"}); got.Outcome != "completed" {
			t.Errorf("%+v", got)
		}
		time.Sleep(40 * time.Millisecond)
	}
	r.checkRules()
}

func TestRestartedEdgeUsesLastList(t *testing.T) {
	r := newFixture(t, nil)
	if err := r.edges.Kill(0, 10*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	r.waitFor("it serves again", func() bool { return r.call(loadgen.Request{Route: "fan-alert"}).Outcome == "completed" })
	r.checkRules()
}

func TestDecisionPanicAnswersAllAndContinues(t *testing.T) {
	r, _, decode := singlePairFixture(t, nil)
	decode.SetFaults(engine.Faults{StallFirst: true})
	results := make(chan audit.ClientRecord)
	for i := range 6 {
		go func() {
			results <- r.call(loadgen.Request{Route: "fan-alert", RequestID: fmt.Sprint("p", i), Unary: i%2 == 0})
		}()
	}
	r.waitFor("all are open", func() bool { return r.edges.Holding(context.Background()).Requests == 6 })
	once := true
	r.edges.Node(0).PanicOn(func(in routing.Event) bool {
		_, news := in.(routing.EndpointUpdate)
		fail := once && !news
		once = once && !fail
		return fail
	})
	r.call(loadgen.Request{Route: "fan-alert", RequestID: "seventh", Timeout: 100 * time.Millisecond})
	for range 6 {
		if got := <-results; got.Outcome != "errored" || got.OutcomeCount != 1 {
			t.Errorf("%+v", got)
		}
	}
	decode.SetFaults(engine.Faults{})
	r.waitFor("a fresh module serves", func() bool { return r.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed" })
	r.checkRules()
}

func TestDrainRejectsNewAndFinishesOpenRequests(t *testing.T) {
	r, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.ShutdownTimeout = 400 * time.Millisecond })
	decode.SetFaults(engine.Faults{Slow: 3})
	slow := make(chan audit.ClientRecord)
	go func() { slow <- r.call(loadgen.Request{Route: "clip-summary", RequestID: "slow"}) }()
	r.waitFor("it is open", func() bool { return r.edges.Holding(context.Background()).Requests == 1 })
	stopped := make(chan struct{})
	go func() { r.edges.Drain(0); close(stopped) }()
	r.waitFor("new ones are shed", func() bool {
		final := r.call(loadgen.Request{Route: "clip-summary", Timeout: 200 * time.Millisecond}).Outcome
		return final == "shed" || final == "lost"
	})
	if got := <-slow; got.OutcomeCount != 1 {
		t.Errorf("%+v", got)
	}
	<-stopped
}

func TestLateTimersKeepInvariants(t *testing.T) {
	r, _, decode := singlePairFixture(t, func(d *config.Deployment) { d.TickInterval = 30 * time.Millisecond })
	decode.SetFaults(engine.Faults{StallFirst: true})
	done := make(chan audit.ClientRecord)
	for i := range 4 {
		go func() {
			done <- r.call(loadgen.Request{Route: "fan-alert", RequestID: fmt.Sprint("t", i), Timeout: 400 * time.Millisecond})
		}()
	}
	for range 5 {
		r.edges.Node(0).PauseOwner(60 * time.Millisecond)
		time.Sleep(20 * time.Millisecond)
	}
	for range 4 {
		if got := <-done; got.OutcomeCount != 1 {
			t.Errorf("%+v", got)
		}
	}
	decode.SetFaults(engine.Faults{})
	r.checkRules()
}

// rawExchange sends bytes and returns all that comes back until the edge closes or goes quiet.
func rawExchange(t *testing.T, addr string, send string, quiet time.Duration) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, send); err != nil {
		t.Fatal(err)
	}
	var got []byte
	buf := make([]byte, 4096)
	for {
		c.SetReadDeadline(time.Now().Add(quiet))
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil {
			return string(got)
		}
	}
}

func TestRejectedMessages(t *testing.T) {
	r, _, _ := singlePairFixture(t, func(d *config.Deployment) {
		d.MaxHeadBytes, d.MaxBodyBytes, d.Limits.HeaderTimeout, d.Limits.BodyTimeout = 2048, 4096, 150*time.Millisecond, 150*time.Millisecond
	})
	call := func(body string) string {
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	good := `{"model":"clip-summary","stream":false,"messages":[{"role":"user","content":"a"}]}`
	for name, c := range map[string]struct{ send, want string }{
		"two lengths": {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", "400 "},
		"length and chunked": {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"400 "},
		"large body":   {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413 "},
		"large head":   {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 3000) + "\r\n\r\n", "431 "},
		"garbage":      {"\x16\x03\x01\r\n\r\n", "400 "},
		"slow head":    {"GET / HT", "408 "},
		"slow body":    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc", "408 "},
		"no UTF-8":     {call("{\"model\":\"\xff\"}"), "400 "},
		"no JSON":      {call("{"), "400 "},
		"no route":     {call(`{"model":"nothing","messages":[{"role":"user","content":"a"}]}`), "404 "},
		"no path":      {"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", "404 "},
		"wrong method": {"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n", "405 "},
		"HTTP/1.0":     {strings.Replace(call(good), "HTTP/1.1", "HTTP/1.0", 1), "505 "},
	} {
		t.Run(name, func(t *testing.T) {
			got := rawExchange(t, r.edges.Addrs()[0], c.send, 500*time.Millisecond)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.want) || strings.Count(got, "HTTP/1.1 ") != 1 ||
				!strings.Contains(got, `"error"`) {
				t.Errorf("got %q", got)
			}
		})
	}
	if got := rawExchange(t, r.edges.Addrs()[0], call(good)+call(good), 700*time.Millisecond); strings.Count(got, "HTTP/1.1 200") != 2 {
		t.Errorf("two calls in a row: %q", got)
	}
	if got := rawExchange(t, r.edges.Addrs()[0], strings.Repeat(call(good), 20), 700*time.Millisecond); strings.Count(got, "200 OK") > 5 {
		t.Errorf("pipelined without bound: %q", got)
	}
	r.checkRules()
}

func TestSlowClientDelaysNobody(t *testing.T) {
	r := newFixture(t, func(d *config.Deployment) { d.ClientBufferBytes = 4096 },
		engine.Config{Name: "r", Role: "read"}, engine.Config{Name: "w", Role: "write", TokenTime: 20 * time.Microsecond})
	c, err := net.Dial("tcp", r.edges.Addrs()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(1024)
	body := `{"model":"clip-summary","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"endless"}]}`
	for range 40 { // enough answers in a row to fill the kernel's buffers
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		time.Sleep(2 * time.Millisecond)
	}
	for range 5 {
		if got := r.call(loadgen.Request{Route: "fan-alert"}); got.Outcome != "completed" || got.FirstToken > 500*time.Millisecond {
			t.Errorf("%+v", got)
		}
	}
	c.Close()
	r.checkRules()
}

func TestManyIdleConnections(t *testing.T) {
	r := newFixture(t, func(d *config.Deployment) { d.Limits.Connections = 1500 })
	var row []net.Conn
	defer func() {
		for _, c := range row {
			c.Close()
		}
	}()
	for range 2000 {
		c, err := net.Dial("tcp", r.edges.Addrs()[0])
		if err != nil {
			t.Fatal(err)
		}
		row = append(row, c)
	}
	r.waitFor("the bound holds and newcomers are served", func() bool {
		return r.edges.Holding(context.Background()).Clients <= 1500 &&
			r.call(loadgen.Request{Route: "clip-summary"}).Outcome == "completed"
	})
	r.checkRules()
}

func TestHalfTheFleetUnresponsive(t *testing.T) {
	r := newFixture(t, nil)
	r.fleet.Engines[0].SetFaults(engine.Faults{Silent: true})
	r.fleet.Engines[2].SetFaults(engine.Faults{Silent: true})
	// Many at once: the module holds an engine against others by how long its sends wait.
	loadgen.Traffic{Edges: r.edges.Addrs, Rate: 60, Length: 2 * time.Second, Seed: 3, Prefixes: 4, PrefixWords: 40, Turns: 2, Log: r.log,
		Routes: []loadgen.Route{{Name: "clip-summary", Share: 1, PriorityWeight: 1, FirstTokenTarget: time.Second, Timeout: 1500 * time.Millisecond, MaxTokens: 5},
			{Name: "fan-alert", Share: 1, PriorityWeight: 5, FirstTokenTarget: time.Second, Timeout: 1500 * time.Millisecond, MaxTokens: 5}}}.Run(context.Background())
	finals := map[string]int{}
	for _, c := range r.log.ClientRecords() {
		finals[c.Outcome]++
	}
	// Some dozens on a free machine; where all tests run at once 19 were seen. With none but the silent half there is none.
	if finals["completed"] < 8 || finals["lost"] > 0 {
		t.Errorf("the other half served too little: %v", finals)
	}
	for _, e := range r.fleet.Engines {
		e.SetFaults(engine.Faults{})
	}
	r.checkRules()
}

// A client that closes with the last byte read is done with: its connection's end, seen later, ends nothing twice.
func TestClientClosesAfterLastByte(t *testing.T) {
	r, _, _ := singlePairFixture(t, nil)
	body := `{"model":"fan-alert","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"a"}]}`
	for range 20 {
		c, err := net.Dial("tcp", r.edges.Addrs()[0])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		var got []byte
		buf := make([]byte, 1024)
		for !strings.Contains(string(got), "data: [DONE]\n\n\r\n0\r\n\r\n") {
			n, err := c.Read(buf)
			if got = append(got, buf[:n]...); err != nil {
				t.Fatalf("%q: %v", got, err)
			}
		}
		r.edges.Node(0).PauseOwner(5 * time.Millisecond) // the close is seen late
		c.Close()
	}
	r.waitFor("all are gone", func() bool { return r.edges.Holding(context.Background()).Clients == 0 })
	r.checkRules()
}
