package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/platform"
	"sandcourse/internal/routing"
)

// scriptedEngine is an engine of the platform that answers as a test says, byte for byte.
type scriptedEngine struct {
	addr      string
	mu        sync.Mutex
	requests  []string // method, path and the name of all requests
	reply     func(n int, r *http.Request) (wire string, hangUp bool)
	singleUse bool // what comes second on a connection resets it
	// behind follows each answer to an inference some milliseconds later.
	trailer     string
	closeOnName string // the connection ends without an answer at this name's first request
	connections map[net.Conn]bool
}

// closeOnRequest makes the connection end without an answer when a name is first asked for.
func (e *scriptedEngine) closeOnRequest(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closeOnName = name
}

// closeAll ends all connections.
func (e *scriptedEngine) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.connections {
		c.Close()
	}
}

const (
	prefillDone = "HTTP/1.1 202 Accepted\r\nServer-Load: TEXT x0=0.1, x1=0\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":4}"
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	notStarted  = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func task(text string) string { return chunk("data: " + text + "\n\n") }

var completeStream = streamHead + task(`{"choices":[1]}`) + task(`{"usage":{}}`) + task("[DONE]") +
	chunk(": Server-Load: TEXT x0=0.2, x1=0\n\n") + "0\r\n\r\n"

// newScriptedEngine listens at an address of its own: the platform reaches engines at any in 127.0.0.0/8.
func newScriptedEngine(t *testing.T, at string, reply func(n int, r *http.Request) (string, bool)) *scriptedEngine {
	l, err := net.Listen("tcp", at+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	e := &scriptedEngine{addr: l.Addr().String(), reply: reply, connections: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *scriptedEngine) serve(c net.Conn) {
	defer c.Close()
	e.mu.Lock()
	e.connections[c] = true
	e.mu.Unlock()
	in := bufio.NewReader(c)
	for nth := 0; ; nth++ {
		r, err := http.ReadRequest(in)
		if err != nil || e.singleUse && nth > 0 {
			return
		}
		io.Copy(io.Discard, r.Body)
		e.mu.Lock()
		e.requests = append(e.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get("Request-Id"))
		n := len(e.requests)
		end := e.closeOnName != "" && e.closeOnName == r.Header.Get("Request-Id")
		if end {
			e.closeOnName = ""
		}
		e.mu.Unlock()
		if end {
			return
		}
		wire, hangUp := "HTTP/1.1 204 No Content\r\n\r\n", false
		if r.Method == http.MethodPost {
			wire, hangUp = e.reply(n, r)
		} else if r.Method == http.MethodGet {
			wire = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nTEXT x0=0.1, x1=0.0\n"
		}
		io.WriteString(c, wire)
		if r.Method == http.MethodPost && e.trailer != "" {
			time.AfterFunc(3*time.Millisecond, func() { io.WriteString(c, e.trailer) })
		}
		if hangUp {
			return
		}
	}
}

func (e *scriptedEngine) countRequests(prefix string) (count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.requests {
		if strings.HasPrefix(s, prefix) {
			count++
		}
	}
	return count
}

// fixedSource is a source that has one list.
type fixedSource []endpoint.Entry

func (s fixedSource) Run(ctx context.Context, apply func(endpoint.List), _ func(error)) {
	apply(endpoint.List{Revision: 1, Entries: s})
	<-ctx.Done()
}

const platformConfig = `{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","seed":"1","limits":{"sockets":%d},
 "settings":{"areas":["a"],"zone":0,"index":0,"peers_total":1,"tick_us":4000,"flavors":["m1","m2"],"ceilings":{
 "try_limit":5,"cancel":true,"retry_after":true,"max_retry_after_us":1000000,"dial_timeout_us":250000},"report":{
 "how":"inline","fields":["x0","x1"]},"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,
 "kind_memory_tokens":[100000,100000]},"classes":[{"name":"chat","effect":"retryable","worth":1,"objective_us":1000000},
 {"name":"alert","effect":"fragile","worth":5,"objective_us":1000000}],"obligations":{"drain_grace_us":250000}}}`

// startPlatformEdge is a node on the platform with one reader and one writer.
func startPlatformEdge(t *testing.T, sockets int, alter func(*config.Deployment), prefill, decode *scriptedEngine) *edge.Edge {
	t.Helper()
	n := newPlatformEdge(t, sockets, alter, prefill, decode)
	startReady(t, n)
	return n
}

// newPlatformEdge is such a node before its start.
func newPlatformEdge(t *testing.T, sockets int, alter func(*config.Deployment), prefill, decode *scriptedEngine) *edge.Edge {
	t.Helper()
	return newPlatformEdgeFrom(t, sockets, alter, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)})
}

// engineAt is an engine that is ready.
func engineAt(id, kind string, at *scriptedEngine) endpoint.Entry {
	return endpoint.Entry{ID: id, Address: at.addr, Kind: kind, Zone: "a", Weight: 1, State: endpoint.Ready}
}

// newPlatformEdgeFrom is a node on the platform that has its engines from a source, before its start.
func newPlatformEdgeFrom(t *testing.T, sockets int, alter func(*config.Deployment), source endpoint.Source) *edge.Edge {
	t.Helper()
	return newLoggedPlatformEdge(t, sockets, alter, source, zap.NewNop())
}

// newLoggedPlatformEdge is newOnSource with a log.
func newLoggedPlatformEdge(t *testing.T, sockets int, alter func(*config.Deployment), source endpoint.Source, log *zap.Logger) *edge.Edge {
	t.Helper()
	configuration, err := platform.ParseNodeConfig("test", fmt.Appendf(nil, platformConfig, sockets))
	if err != nil {
		t.Fatal(err)
	}
	deployment, err := configuration.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	deployment.ChatAddress = "127.0.0.1:0"
	if alter != nil {
		alter(deployment)
	}
	return edge.NewWithProtocol(deployment, log, source, 1, platform.NewCodec(configuration.LoadReportFields()))
}

func startReady(t *testing.T, n *edge.Edge) {
	t.Helper()
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if r, err := http.Get("http://" + n.Addr() + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("never ready")
		}
	}
}

// postChat is one request, and its answer to the end of the connection or of the answer.
func postChat(t *testing.T, n *edge.Edge, name, route string) (status int, body string, err error) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+n.Addr()+"/v1/chat/completions", strings.NewReader(`{"model":"chat"}`))
	for k, v := range map[string]string{"Request-Id": name, "Request-Class": route, "Affinity-Key": "k", "Request-Timeout": "3.0"} {
		r.Header.Set(k, v)
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(data), err
}

func respondWith(wire string) func(int, *http.Request) (string, bool) {
	return func(int, *http.Request) (string, bool) { return wire, false }
}

const streamEvents = "data: {\"choices\":[1]}\n\ndata: {\"usage\":{}}\n\ndata: [DONE]\n\n"

// All events of a stream come through unchanged, the reader is asked first, and a name is taken once.
func TestPlatformCall(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	status, body, err := postChat(t, n, "a1", "chat")
	if status != 200 || err != nil || body != streamEvents {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if prefill.countRequests("POST /v1/chat/completions a1") != 1 || decode.countRequests("POST /v1/chat/completions a1") != 1 {
		t.Errorf("reader saw %q, writer %q", prefill.requests, decode.requests)
	}
	if status, _, err := postChat(t, n, "a1", "chat"); status != http.StatusConflict || err != nil {
		t.Errorf("the same name again: %d %v", status, err)
	}
	if status, _, _ := postChat(t, n, "a2", "unheard-of"); status != http.StatusNotFound {
		t.Errorf("an unknown route: %d", status)
	}
}

// What more than an answer comes on a line belongs to nothing: interim answers are passed over, and a second
// answer directly behind must not be taken for the next inference's.
func TestPlatformUnsolicitedBytesAfterResponse(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+prefillDone))
	strange := strings.ReplaceAll(completeStream, "[1]", "[9]")
	decode := newScriptedEngine(t, "127.0.0.3", respondWith("HTTP/1.1 102 Processing\r\n\r\n"+completeStream+strange))
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	for i := range 30 {
		if status, body, err := postChat(t, n, fmt.Sprint("b", i), "chat"); status != 200 || err != nil || body != streamEvents {
			t.Fatalf("%d: %d %q %v", i, status, body, err)
		}
	}
}

// A stream that is spoilt or breaks once it has begun ends with its connection and without a last chunk.
// Before that it may have run: a non-retriable inference gets its error and is not sent again.
func TestPlatformMalformedStreams(t *testing.T) {
	begun := streamHead + task(`{"choices":[1]}`)
	for name, wire := range map[string]string{"a bad size": begun + "zz\r\n", "a chunk of 3 GB": begun + "c0000000\r\nxx",
		"a size that does not fit": begun + "1\r\nxyz\r\n", "a break": begun} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return wire, name == "a break" })
		n := startPlatformEdge(t, 1024, nil, prefill, decode)
		if status, body, err := postChat(t, n, "c1", "alert"); status != 200 || err == nil || !strings.Contains(body, "[1]") {
			t.Errorf("%s: %d %q, ended with %v", name, status, body, err)
		}
		n.Stop()
	}
	for name, wire := range map[string]string{"noise": "\x00\x01\r\n\r\nxx", "an endless head": "HTTP/1.1 200 OK\r\nX: " +
		strings.Repeat("x", 20<<10), "an end at once": streamHead + "0\r\n\r\n"} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(wire))
		n := startPlatformEdge(t, 1024, nil, prefill, decode)
		status, _, err := postChat(t, n, "c2", "alert")
		if status != http.StatusBadGateway || err != nil || decode.countRequests("POST") != 1 {
			t.Errorf("%s: %d %v, sent %d times", name, status, err, decode.countRequests("POST"))
		}
		n.Stop()
	}
}

// Connections that die behind their first answer: one inference that must not run twice may meet that, not
// each.
func TestPlatformEarlyClosedConnections(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	prefill.singleUse, decode.singleUse = true, true
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	lost := 0
	for i := range 12 {
		if status, _, err := postChat(t, n, fmt.Sprint("g", i), "alert"); status != 200 || err != nil {
			lost++
		}
	}
	if lost > 1 {
		t.Errorf("%d of 12 lost", lost)
	}
}

// Full writers: the state is let go of with the refusal, which names a time to come back.
func TestPlatformShedReleasesReservation(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(notStarted))
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	if status, body, err := postChat(t, n, "d1", "alert"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	for end := time.Now().Add(2 * time.Second); prefill.countRequests("DELETE /v1/holds/d1") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the state is not let go of")
		}
	}
}

// A crowd that connects and says nothing is closed in time and does not keep others out.
func TestPlatformIdleConnectionsAtLimit(t *testing.T) {
	n := startPlatformEdge(t, 96, func(d *config.Deployment) { d.Limits.FirstRequestTimeout = 150 * time.Millisecond },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer n.Stop()
	var closed sync.WaitGroup
	for range 200 {
		c, err := net.Dial("tcp", n.Addr())
		if err != nil {
			t.Fatal(err)
		}
		closed.Go(func() {
			defer c.Close()
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Error("not closed:", err)
			}
		})
	}
	if status, _, err := postChat(t, n, "e1", "chat"); status != 200 || err != nil {
		t.Errorf("beside the crowd: %d %v", status, err)
	}
	closed.Wait()
}

// A node that is told to stop still answers what comes while it lingers, and then ends by itself.
func TestPlatformDrain(t *testing.T) {
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) { d.ShutdownAcceptTime = 300 * time.Millisecond },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	over := make(chan error, 1)
	go func() { over <- n.Drain(context.Background()) }()
	if status, body, err := postChat(t, n, "f1", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// Nodes hear one another, and nobody else.
func TestGossipBetweenEdges(t *testing.T) {
	other, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	d := config.Defaults()
	n := edge.New(d, zap.NewNop(), fixedSource{}, 1)
	if err := n.ListenForPeers("127.0.0.1:0", []string{"127.0.0.9:9", other.LocalAddr().String()}, ""); err != nil {
		t.Fatal(err)
	}
	n.SendToPeer(1, "kept")
	n.SendToPeer(1, strings.Repeat("x", 300)) // over the bound: never sent
	n.SendToPeer(-1, "to all")
	buffer := make([]byte, 512)
	for _, want := range []string{"kept", "to all"} {
		other.SetReadDeadline(time.Now().Add(5 * time.Second))
		if size, _, err := other.ReadFrom(buffer); err != nil || string(buffer[:size]) != want {
			t.Fatalf("%q %v, want %q", buffer[:size], err, want)
		}
	}
}

// callRepeatedly calls over kept connections until that fails, and says how long it went well.
func callRepeatedly(n *edge.Edge, calls string) (served int, lasted time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
	begun := time.Now()
	for ; time.Since(begun) < 10*time.Second; served++ {
		r, _ := http.NewRequest(http.MethodPost, "http://"+n.Addr()+"/v1/chat/completions", strings.NewReader("{}"))
		for k, v := range map[string]string{"Request-Id": fmt.Sprint(calls, served), "Request-Class": "chat", "Request-Timeout": "3"} {
			r.Header.Set(k, v)
		}
		answer, err := client.Do(r)
		if err != nil {
			break
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode != 200 {
			break
		}
		lasted = time.Since(begun)
	}
	return served, lasted
}

// A node that is told to stop while no other is heard stays with its clients; one that hears another leaves
// at once.
func TestPlatformStaysWhileNoPeerServes(t *testing.T) {
	peer, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, alone := range []bool{true, false} {
		var listen string
		n := startPlatformEdge(t, 1024, func(d *config.Deployment) {
			d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = 50*time.Millisecond, 800*time.Millisecond, 2*time.Second
		}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		if !alone {
			free, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listen = free.LocalAddr().String()
			free.Close()
			if err := n.ListenForPeers(listen, []string{listen, peer.LocalAddr().String()}, ""); err != nil {
				t.Fatal(err)
			}
			to, _ := net.ResolveUDPAddr("udp", listen)
			go func() { // datagrams may be lost, and are told again as long as the node is there
				for range 2000 {
					peer.WriteTo([]byte("kept"), to)
					time.Sleep(time.Millisecond)
				}
			}()
		}
		over := make(chan error, 1)
		go func() { over <- n.Drain(context.Background()) }()
		served, lasted := callRepeatedly(n, fmt.Sprint("h", alone))
		if stayed := lasted > 400*time.Millisecond; served == 0 || stayed != alone {
			t.Errorf("alone %v: %d served over %v", alone, served, lasted)
		}
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// What a stopping node took while it stayed is handed over before it is killed.
func TestPlatformHandsOverToPeer(t *testing.T) {
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+task("{}"))) // a stream that goes on
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 400*time.Millisecond, 600*time.Millisecond
	}, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), decode)
	over := make(chan error, 1)
	go func() { over <- n.Drain(context.Background()) }()
	for { // until it says that it stops
		r, err := http.Get("http://" + n.Addr() + "/_health")
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		if r.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if status, body, err := postChat(t, n, "i1", "chat"); status != 200 || err == nil || !strings.Contains(body, "{}") {
		t.Errorf("%d %q %v", status, body, err)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// A read that goes on after its connection broke is let go of again, later.
func TestPlatformLatePrefill(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", func(n int, _ *http.Request) (string, bool) { return "", true })
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.Rules.ReservationLimit = 100 * time.Millisecond
		d.ReleaseRepeatTime = 200 * time.Millisecond
	},
		prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer n.Stop()
	postChat(t, n, "j1", "chat")
	for end := time.Now().Add(5 * time.Second); prefill.countRequests("DELETE /v1/holds/j1") < prefill.countRequests("POST")+1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("told %d times of %d lost reads", prefill.countRequests("DELETE"), prefill.countRequests("POST"))
		}
	}
}

// Found on the other customer's calm day: a mixed engine reads and answers in one, and its stream was taken for a
// spoilt answer of a reader.
func TestPlatformMixedEngineResponses(t *testing.T) {
	mixed := newScriptedEngine(t, "127.0.0.2", respondWith(completeStream))
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		for i := range d.Kinds {
			d.Kinds[i].Role = "both"
			d.PlatformRouting.Kinds[i].Role = routing.Mixed
		}
	}, mixed, mixed)
	defer n.Stop()
	status, body, err := postChat(t, n, "a1", "chat")
	if status != 200 || err != nil || body != streamEvents || mixed.countRequests("POST /v1/chat/completions a1") != 1 {
		t.Fatalf("%d %q %v after %q", status, body, err, mixed.requests)
	}
}
