package edge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/endpoint"
)

// pausePoint holds the first goroutine that comes to a point after it was set.
type pausePoint struct {
	syncPoint     edge.SyncPoint
	readableCount atomic.Int64 // how often Readable was passed while it was set or held
	armed         atomic.Bool
	reached       chan struct{}
	resume        chan struct{}
}

func newPausePoint(n *edge.Edge, point edge.SyncPoint) *pausePoint {
	p := &pausePoint{syncPoint: point, reached: make(chan struct{}), resume: make(chan struct{})}
	n.OnSyncPoint(func(at edge.SyncPoint) {
		if at == edge.ClientReadable {
			p.readableCount.Add(1)
		}
		if at == p.syncPoint && p.armed.CompareAndSwap(true, false) {
			close(p.reached)
			<-p.resume
		}
	})
	return p
}

func (p *pausePoint) wait(t *testing.T) {
	t.Helper()
	select {
	case <-p.reached:
	case <-time.After(10 * time.Second):
		t.Fatalf("nobody came to: %s", p.syncPoint)
	}
}

// rawClient is a client that keeps its connection.
type rawClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialRaw(t *testing.T, n *edge.Edge) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawClient{t, conn, bufio.NewReader(conn)}
}

func requestText(name, route string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k\r\nRequest-Timeout: 3.0\r\nContent-Length: 2\r\n\r\n{}", name, route)
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// readResponse is the status and the body of the next answer; 0 where the connection ends without one.
func (c *rawClient) readResponse() (status int, body string) {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, string(data)
	}
	return r.StatusCode, string(data)
}

// idleClient has had one answer, so its connection rests.
func idleClient(t *testing.T, n *edge.Edge) *rawClient {
	t.Helper()
	client := dialRaw(t, n)
	client.send(requestText("a", "chat"))
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	return client
}

// waitFor waits for what another goroutine or the kernel does.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// leaveAtOnce is a node that goes from its clients as soon as it is told to stop.
func leaveAtOnce(d *config.Deployment) {
	d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 0, 0
}

// isStopping is whether a node tells that it stops, or takes no connection any more. Its owner has looked after its
// clients by then.
func isStopping(n *edge.Edge) bool {
	once := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 100 * time.Millisecond}
	r, err := once.Get("http://" + n.Addr() + "/_health")
	var late net.Error
	if errors.As(err, &late) && late.Timeout() {
		return false // its poller may be the one that is held
	}
	if err != nil {
		return true
	}
	r.Body.Close()
	return r.StatusCode != http.StatusOK
}

func startDrain(n *edge.Edge) (over chan error) {
	over = make(chan error, 1)
	go func() { over <- n.Drain(context.Background()) }()
	return over
}

// The node is told to stop while a request on a resting connection has been read and its owner has not been told.
// The request was taken, so it gets an answer before the connection is closed. Closing it under the request lost it.
func TestDrainAfterRequestIsRead(t *testing.T) {
	for _, requests := range [][]string{{"b"}, {"b", "c", "d"}} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		n := newPlatformEdge(t, 1024, leaveAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		s := newPausePoint(n, edge.RequestParsed)
		startReady(t, n)
		client := idleClient(t, n)
		s.armed.Store(true)
		text := ""
		for _, name := range requests {
			text += requestText(name, "alert")
		}
		client.send(text)
		s.wait(t)
		over := startDrain(n)
		waitFor(t, "the node stops", func() bool { return isStopping(n) })
		close(s.resume)
		for _, name := range requests {
			if status, body := client.readResponse(); status != 200 && status != 503 {
				t.Errorf("%s of %v was read, and got status %d, body %q", name, requests, status, body)
			}
		}
		if status, _ := client.readResponse(); status != 0 {
			t.Error("the connection stays open")
		}
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// The other order: the owner has decided to close, then the request comes. It is never read, nothing is sent on for
// it, and its client sees the end of the connection.
func TestRequestAfterCloseIsDecided(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	n := newPlatformEdge(t, 1024, leaveAtOnce, prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	s := newPausePoint(n, edge.CloseDecided)
	startReady(t, n)
	client := idleClient(t, n)
	s.armed.Store(true)
	over := startDrain(n)
	s.wait(t)
	before := s.readableCount.Load()
	client.send(requestText("b", "chat"))
	// The poller is told of bytes again and again as long as they are not read.
	waitFor(t, "the poller has left the request unread", func() bool { return s.readableCount.Load() >= before+2 })
	close(s.resume)
	if _, err := client.reader.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a close over unread bytes resets the connection; here it ended with %v", err)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
	if prefill.countRequests("POST /v1/chat/completions b") != 0 {
		t.Error("a request that came behind the close was sent on")
	}
}

// A request of which only a part has come when the node is told to stop is answered once it is whole.
func TestDrainDuringPartialRequest(t *testing.T) {
	n := startPlatformEdge(t, 1024, leaveAtOnce, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)),
		newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	client := idleClient(t, n)
	text := requestText("b", "alert")
	client.send(text[:len(text)-40])
	waitFor(t, "a part is read", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Bytes > 0
	})
	over := startDrain(n)
	waitFor(t, "the node stops", func() bool { return isStopping(n) })
	client.send(text[len(text)-40:])
	if status, body := client.readResponse(); status != 200 && status != 503 {
		t.Errorf("status %d, body %q", status, body)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// A client that has gone is seen by its poller at once and by the owner in its turn. What the owner does before is
// late: nothing may be sent on, neither at first nor between read and write.
func TestClientGoneBeforeOwnerIsNotified(t *testing.T) {
	for _, at := range []string{"before the read", "between read and write"} {
		gate := make(chan struct{})
		prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
			<-gate
			return prefillDone, false
		})
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		n := startPlatformEdge(t, 1024, nil, prefill, decode)
		client := dialRaw(t, n)
		reads := 0
		var release func()
		if at == "before the read" {
			close(gate)
			release = n.BlockOwner()
			client.send(requestText("a", "chat"))
		} else {
			reads = 1
			client.send(requestText("a", "chat"))
			waitFor(t, "it is read", func() bool { return prefill.countRequests("POST") == 1 })
			release = n.BlockOwner()
			before := n.QueuedTasks()
			close(gate)
			waitFor(t, "the answer waits for the owner", func() bool { return n.QueuedTasks() >= before+2 })
		}
		client.conn.(*net.TCPConn).CloseWrite()
		if _, err := client.reader.ReadByte(); err == nil {
			t.Errorf("%s: the node answers a client that has gone", at)
		}
		release()
		waitFor(t, "the node holds nothing", func() bool {
			h, err := n.Usage(context.Background())
			return err == nil && h.Requests == 0 && h.ControlRequests == 0
		})
		n.Stop()
		if prefill.countRequests("POST") != reads || decode.countRequests("POST") != 0 {
			t.Errorf("%s: %d reads and %d writes, %d reads wanted", at, prefill.countRequests("POST"), decode.countRequests("POST"), reads)
		}
	}
}

// A client closes, and its poller has not come to it, as in a process that was not run for a while: what the owner does
// first is late all the same, and nothing may be sent on.
func TestClientGoneBeforePollerRuns(t *testing.T) {
	gate := make(chan struct{})
	prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
		<-gate
		return prefillDone, false
	})
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	n := newPlatformEdge(t, 1024, nil, prefill, decode)
	s := newPausePoint(n, edge.ClientReadable)
	startReady(t, n)
	defer n.Stop()
	defer close(s.resume) // before that: the node waits for its pollers
	client := dialRaw(t, n)
	client.send(requestText("a", "chat"))
	waitFor(t, "it is read", func() bool { return prefill.countRequests("POST") == 1 })
	s.armed.Store(true)
	client.conn.Close()
	s.wait(t)
	close(gate)
	waitFor(t, "the state is let go of", func() bool { return prefill.countRequests("DELETE /v1/holds/a") > 0 })
	if decode.countRequests("POST") != 0 {
		t.Errorf("%d attempts after the client has gone", decode.countRequests("POST"))
	}
}

// A reader's answer has been read, the owner has not been told, and the client goes. Nothing is written on, and the
// state that the answer names is let go of all the same.
func TestResponseAfterClientIsGone(t *testing.T) {
	prefill, decode := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	n := newPlatformEdge(t, 1024, nil, prefill, decode)
	s := newPausePoint(n, edge.ResponseRead)
	startReady(t, n)
	defer n.Stop()
	client := dialRaw(t, n)
	s.armed.Store(true)
	client.send(requestText("a", "alert"))
	s.wait(t)
	client.conn.Close()
	waitFor(t, "the owner knows that the client has gone", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Clients == 0
	})
	close(s.resume)
	waitFor(t, "the state is let go of", func() bool { return prefill.countRequests("DELETE /v1/holds/a") > 0 })
	waitFor(t, "the node holds nothing", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Requests == 0 && h.ControlRequests == 0
	})
	if prefill.countRequests("POST") != 1 || decode.countRequests("POST") != 0 {
		t.Errorf("%d reads, %d writes", prefill.countRequests("POST"), decode.countRequests("POST"))
	}
}

// A second answer some milliseconds behind the first belongs to nothing that was asked. A connection that is used
// again at once would take it for the next request's.
func TestUnsolicitedSecondResponse(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) {
		time.Sleep(6 * time.Millisecond) // it works for longer than the second answer is late
		return completeStream, false
	})
	decode.trailer = strings.ReplaceAll(completeStream, "[1]", "[9]")
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	client := dialRaw(t, n)
	for i := range 20 {
		client.send(requestText(fmt.Sprint("a", i), "chat"))
		if status, body := client.readResponse(); status != 200 || body != streamEvents {
			t.Fatalf("%d: status %d, body %q", i, status, body)
		}
	}
}

// idleTime is past the time for which a connection is not used again behind an answer.
const idleTime = 50 * time.Millisecond

// An engine ends a resting connection in the moment in which an attempt is to be written to it. Where no byte has
// left, the attempt never ran and is made again, also where it must not run twice. Where it was written first it may
// have run, and only what may run twice is made again.
func TestEngineClosesIdleConnection(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, route := range []string{"chat", "alert"} {
			prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
			decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
			n := newPlatformEdge(t, 1024, nil, prefill, decode)
			s := newPausePoint(n, edge.ConnectionAssigned)
			startReady(t, n)
			client := dialRaw(t, n)
			client.send(requestText("a", route))
			if status, _ := client.readResponse(); status != 200 {
				t.Fatal(status)
			}
			answered := time.Now()
			waitFor(t, "connections have rested", func() bool { return time.Since(answered) > idleTime })
			if written {
				decode.closeOnRequest("b")
			} else {
				s.armed.Store(true)
			}
			client.send(requestText("b", route))
			if !written {
				s.wait(t) // the owner stands before the read is written
				before := n.QueuedTasks()
				prefill.closeAll()
				waitFor(t, "the owner has yet to hear of the end", func() bool { return n.QueuedTasks() > before })
				close(s.resume)
			}
			status, body := client.readResponse()
			want := 200
			if written && route == "alert" {
				want = http.StatusBadGateway
			}
			n.Stop()
			if status != want || prefill.countRequests("POST /v1/chat/completions b") != 1 {
				t.Errorf("%s, written first %v: status %d, body %q, reads %d", route, written, status, body,
					prefill.countRequests("POST /v1/chat/completions b"))
			}
		}
	}
}

// listSource is a source that tells what a test hands it.
type listSource chan endpoint.List

func (s listSource) Run(ctx context.Context, apply func(endpoint.List), _ func(error)) {
	for {
		select {
		case list := <-s:
			apply(list)
		case <-ctx.Done():
			return
		}
	}
}

// A list says that the only reader drains and names another, while a request waits for the owner. Told before the
// request is taken, the list goes first, though it came later. Read, but not told yet, it holds up nobody: the attempt
// goes to the reader that drains, which it may within the grace.
func TestDrainInListRacesAttempt(t *testing.T) {
	for _, told := range []bool{true, false} {
		old, fresh := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.4", respondWith(prefillDone))
		decode := engineAt("s-2", "m2", newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
		source := make(listSource, 1)
		n := newPlatformEdgeFrom(t, 1024, nil, source)
		s := newPausePoint(n, edge.EndpointListRead)
		source <- endpoint.List{Revision: 1, Entries: []endpoint.Entry{engineAt("s-1", "m1", old), decode}}
		startReady(t, n)
		client := dialRaw(t, n)
		drains := engineAt("s-1", "m1", old)
		drains.State = endpoint.Draining
		second := endpoint.List{Revision: 2, Entries: []endpoint.Entry{drains, decode, engineAt("s-3", "m1", fresh)}}
		if told {
			release := n.BlockOwner()
			before := n.QueuedTasks()
			client.send(requestText("a", "alert"))
			waitFor(t, "the request waits for the owner", func() bool { return n.QueuedTasks() > before })
			source <- second
			waitFor(t, "the list waits for the owner", n.UrgentPending)
			release()
		} else {
			s.armed.Store(true)
			source <- second
			s.wait(t)
			client.send(requestText("a", "alert"))
			waitFor(t, "the attempt has begun", func() bool { return old.countRequests("POST") == 1 })
			close(s.resume)
		}
		if status, body := client.readResponse(); status != 200 || body != streamEvents {
			t.Errorf("told %v: status %d, body %q", told, status, body)
		}
		n.Stop()
		if wentToOld := old.countRequests("POST") == 1; wentToOld == told || old.countRequests("POST")+fresh.countRequests("POST") != 1 {
			t.Errorf("told %v: %d attempts at the reader that drains, %d at the other", told, old.countRequests("POST"), fresh.countRequests("POST"))
		}
	}
}

// An engine resets at any moment of an attempt. The client gets one answer, which is not whole where the stream was not,
// and what must not run twice reaches no engine whole a second time after it may have run.
func TestEngineResetsConnections(t *testing.T) {
	firstEvent := streamHead + task(`{"choices":[1]}`)
	for _, at := range []struct {
		name, wire string
		status     int
		whole      bool
	}{
		{"behind the request", "", http.StatusBadGateway, true},
		{"within the head", "HTTP/1.1 200 OK\r\nContent-", http.StatusBadGateway, true},
		{"behind the head", streamHead, http.StatusBadGateway, true},
		{"within the stream", firstEvent, 200, false},
		{"behind the last event", strings.TrimSuffix(completeStream, "0\r\n\r\n"), 200, false},
		{"behind the last chunk", completeStream, 200, true},
	} {
		decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return at.wire, true })
		n := startPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), decode)
		status, body, err := postChat(t, n, "a", "alert")
		if status != at.status || (err == nil) != at.whole || decode.countRequests("POST") != 1 {
			t.Errorf("%s: status %d, body %q, %v, %d attempts", at.name, status, body, err, decode.countRequests("POST"))
		}
		n.Stop()
	}
	// Right after it accepts: the engine never reads a request, so however often it is asked nothing has run.
	listener, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	n := startPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), &scriptedEngine{addr: listener.Addr().String()})
	defer n.Stop()
	if status, body, err := postChat(t, n, "b", "alert"); err != nil || status < 400 {
		t.Errorf("right after it accepts: status %d, body %q, %v", status, body, err)
	}
}
