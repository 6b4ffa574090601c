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

// stop holds the first goroutine that comes to a point after it was set.
type stop struct {
	point   edge.Point
	passed  atomic.Int64 // how often Readable was passed while it was set or held
	set     atomic.Bool
	reached chan struct{}
	free    chan struct{}
}

func newStop(n *edge.Node, p edge.Point) *stop {
	s := &stop{point: p, reached: make(chan struct{}), free: make(chan struct{})}
	n.HoldAt(func(at edge.Point) {
		if at == edge.Readable {
			s.passed.Add(1)
		}
		if at == s.point && s.set.CompareAndSwap(true, false) {
			close(s.reached)
			<-s.free
		}
	})
	return s
}

func (s *stop) wait(t *testing.T) {
	t.Helper()
	select {
	case <-s.reached:
	case <-time.After(10 * time.Second):
		t.Fatalf("nobody came to: %s", s.point)
	}
}

// kept is a client that keeps its connection.
type kept struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, n *edge.Node) *kept {
	t.Helper()
	conn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &kept{t, conn, bufio.NewReader(conn)}
}

func wire(name, route string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"Affinity-Key: k\r\nRequest-Timeout: 3.0\r\nContent-Length: 2\r\n\r\n{}", name, route)
}

func (k *kept) send(text string) {
	k.t.Helper()
	if _, err := io.WriteString(k.conn, text); err != nil {
		k.t.Fatal(err)
	}
}

// answer is the status and the body of the next answer; 0 where the connection ends without one.
func (k *kept) answer() (status int, body string) {
	r, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, ""
	}
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, string(data)
	}
	return r.StatusCode, string(data)
}

// servedClient has had one answer, so its connection rests.
func servedClient(t *testing.T, n *edge.Node) *kept {
	t.Helper()
	client := dial(t, n)
	client.send(wire("a", "chat"))
	if status, _ := client.answer(); status != 200 {
		t.Fatal(status)
	}
	return client
}

// until waits for what another goroutine or the kernel does.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// leavesAtOnce is a node that goes from its clients as soon as it is told to stop.
func leavesAtOnce(d *config.Deployment) {
	d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime = time.Millisecond, 0, 0
}

// stops is whether a node tells that it stops, or takes no connection any more. Its owner has looked after its
// clients by then.
func stops(n *edge.Node) bool {
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

func drain(n *edge.Node) (over chan error) {
	over = make(chan error, 1)
	go func() { over <- n.Drain(context.Background()) }()
	return over
}

// The node is told to stop while a request on a resting connection has been read and its owner has not been told.
// The request was taken, so it gets an answer before the connection is closed. Closing it under the request lost it.
func TestStopBehindARequestThatIsRead(t *testing.T) {
	for _, requests := range [][]string{{"b"}, {"b", "c", "d"}} {
		reader := newBox(t, "127.0.0.2", always(heldWire))
		n := newOnPlatform(t, 1024, leavesAtOnce, reader, newBox(t, "127.0.0.3", always(wholeStream)))
		s := newStop(n, edge.RequestRead)
		startReady(t, n)
		client := servedClient(t, n)
		s.set.Store(true)
		text := ""
		for _, name := range requests {
			text += wire(name, "alert")
		}
		client.send(text)
		s.wait(t)
		over := drain(n)
		until(t, "the node stops", func() bool { return stops(n) })
		close(s.free)
		for _, name := range requests {
			if status, body := client.answer(); status != 200 && status != 503 {
				t.Errorf("%s of %v was read, and got status %d, body %q", name, requests, status, body)
			}
		}
		if status, _ := client.answer(); status != 0 {
			t.Error("the connection stays open")
		}
		if err := <-over; err != nil {
			t.Error(err)
		}
	}
}

// The other order: the owner has decided to close, then the request comes. It is never read, nothing is sent on for
// it, and its client sees the end of the connection.
func TestRequestBehindADecidedClose(t *testing.T) {
	reader := newBox(t, "127.0.0.2", always(heldWire))
	n := newOnPlatform(t, 1024, leavesAtOnce, reader, newBox(t, "127.0.0.3", always(wholeStream)))
	s := newStop(n, edge.CloseDecided)
	startReady(t, n)
	client := servedClient(t, n)
	s.set.Store(true)
	over := drain(n)
	s.wait(t)
	before := s.passed.Load()
	client.send(wire("b", "chat"))
	// The poller is told of bytes again and again as long as they are not read.
	until(t, "the poller has left the request unread", func() bool { return s.passed.Load() >= before+2 })
	close(s.free)
	if _, err := client.in.ReadByte(); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a close over unread bytes resets the connection; here it ended with %v", err)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
	if reader.saw("POST /v1/chat/completions b") != 0 {
		t.Error("a request that came behind the close was sent on")
	}
}

// A request of which only a part has come when the node is told to stop is answered once it is whole.
func TestStopWithinARequest(t *testing.T) {
	n := onPlatform(t, 1024, leavesAtOnce, newBox(t, "127.0.0.2", always(heldWire)),
		newBox(t, "127.0.0.3", always(wholeStream)))
	client := servedClient(t, n)
	text := wire("b", "alert")
	client.send(text[:len(text)-40])
	until(t, "a part is read", func() bool {
		h, err := n.Look(context.Background())
		return err == nil && h.Bytes > 0
	})
	over := drain(n)
	until(t, "the node stops", func() bool { return stops(n) })
	client.send(text[len(text)-40:])
	if status, body := client.answer(); status != 200 && status != 503 {
		t.Errorf("status %d, body %q", status, body)
	}
	if err := <-over; err != nil {
		t.Error(err)
	}
}

// A client that has gone is seen by its poller at once and by the owner in its turn. What the owner does before is
// late: nothing may be sent on, neither at first nor between read and write.
func TestClientGoneBeforeTheOwnerIsTold(t *testing.T) {
	for _, at := range []string{"before the read", "between read and write"} {
		gate := make(chan struct{})
		reader := newBox(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
			<-gate
			return heldWire, false
		})
		writer := newBox(t, "127.0.0.3", always(wholeStream))
		n := onPlatform(t, 1024, nil, reader, writer)
		client := dial(t, n)
		reads := 0
		var release func()
		if at == "before the read" {
			close(gate)
			release = n.Block()
			client.send(wire("a", "chat"))
		} else {
			reads = 1
			client.send(wire("a", "chat"))
			until(t, "it is read", func() bool { return reader.saw("POST") == 1 })
			release = n.Block()
			before := n.Queued()
			close(gate)
			until(t, "the answer waits for the owner", func() bool { return n.Queued() >= before+2 })
		}
		client.conn.(*net.TCPConn).CloseWrite()
		if _, err := client.in.ReadByte(); err == nil {
			t.Errorf("%s: the node answers a client that has gone", at)
		}
		release()
		until(t, "the node holds nothing", func() bool {
			h, err := n.Look(context.Background())
			return err == nil && h.Requests == 0 && h.ControlRequests == 0
		})
		n.Stop()
		if reader.saw("POST") != reads || writer.saw("POST") != 0 {
			t.Errorf("%s: %d reads and %d writes, %d reads wanted", at, reader.saw("POST"), writer.saw("POST"), reads)
		}
	}
}

// A client closes, and its poller has not come to it, as in a process that was not run for a while: what the owner does
// first is late all the same, and nothing may be sent on.
func TestClientGoneBeforeItsPollerIsRun(t *testing.T) {
	gate := make(chan struct{})
	reader := newBox(t, "127.0.0.2", func(int, *http.Request) (string, bool) {
		<-gate
		return heldWire, false
	})
	writer := newBox(t, "127.0.0.3", always(wholeStream))
	n := newOnPlatform(t, 1024, nil, reader, writer)
	s := newStop(n, edge.Readable)
	startReady(t, n)
	defer n.Stop()
	defer close(s.free) // before that: the node waits for its pollers
	client := dial(t, n)
	client.send(wire("a", "chat"))
	until(t, "it is read", func() bool { return reader.saw("POST") == 1 })
	s.set.Store(true)
	client.conn.Close()
	s.wait(t)
	close(gate)
	until(t, "the state is let go of", func() bool { return reader.saw("DELETE /v1/holds/a") > 0 })
	if writer.saw("POST") != 0 {
		t.Errorf("%d attempts after the client has gone", writer.saw("POST"))
	}
}

// A reader's answer has been read, the owner has not been told, and the client goes. Nothing is written on, and the
// state that the answer names is let go of all the same.
func TestAnswerBehindAClientThatHasGone(t *testing.T) {
	reader, writer := newBox(t, "127.0.0.2", always(heldWire)), newBox(t, "127.0.0.3", always(wholeStream))
	n := newOnPlatform(t, 1024, nil, reader, writer)
	s := newStop(n, edge.AnswerRead)
	startReady(t, n)
	defer n.Stop()
	client := dial(t, n)
	s.set.Store(true)
	client.send(wire("a", "alert"))
	s.wait(t)
	client.conn.Close()
	until(t, "the owner knows that the client has gone", func() bool {
		h, err := n.Look(context.Background())
		return err == nil && h.Clients == 0
	})
	close(s.free)
	until(t, "the state is let go of", func() bool { return reader.saw("DELETE /v1/holds/a") > 0 })
	until(t, "the node holds nothing", func() bool {
		h, err := n.Look(context.Background())
		return err == nil && h.Requests == 0 && h.ControlRequests == 0
	})
	if reader.saw("POST") != 1 || writer.saw("POST") != 0 {
		t.Errorf("%d reads, %d writes", reader.saw("POST"), writer.saw("POST"))
	}
}

// A second answer some milliseconds behind the first belongs to nothing that was asked. A connection that is used
// again at once would take it for the next request's.
func TestSecondAnswerSomeMillisecondsLate(t *testing.T) {
	reader := newBox(t, "127.0.0.2", always(heldWire))
	writer := newBox(t, "127.0.0.3", func(int, *http.Request) (string, bool) {
		time.Sleep(6 * time.Millisecond) // it works for longer than the second answer is late
		return wholeStream, false
	})
	writer.behind = strings.ReplaceAll(wholeStream, "[1]", "[9]")
	n := onPlatform(t, 1024, nil, reader, writer)
	defer n.Stop()
	client := dial(t, n)
	for i := range 20 {
		client.send(wire(fmt.Sprint("a", i), "chat"))
		if status, body := client.answer(); status != 200 || body != allEvents {
			t.Fatalf("%d: status %d, body %q", i, status, body)
		}
	}
}

// rested is past the time for which a connection is not used again behind an answer.
const rested = 50 * time.Millisecond

// An engine ends a resting connection in the moment in which an attempt is to be written to it. Where no byte has
// left, the attempt never ran and is made again, also where it must not run twice. Where it was written first it may
// have run, and only what may run twice is made again.
func TestEngineEndsARestingConnection(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, route := range []string{"chat", "alert"} {
			reader := newBox(t, "127.0.0.2", always(heldWire))
			writer := newBox(t, "127.0.0.3", always(wholeStream))
			n := newOnPlatform(t, 1024, nil, reader, writer)
			s := newStop(n, edge.AttemptChosen)
			startReady(t, n)
			client := dial(t, n)
			client.send(wire("a", route))
			if status, _ := client.answer(); status != 200 {
				t.Fatal(status)
			}
			answered := time.Now()
			until(t, "connections have rested", func() bool { return time.Since(answered) > rested })
			if written {
				writer.endOn("b")
			} else {
				s.set.Store(true)
			}
			client.send(wire("b", route))
			if !written {
				s.wait(t) // the owner stands before the read is written
				before := n.Queued()
				reader.endAll()
				until(t, "the owner has yet to hear of the end", func() bool { return n.Queued() > before })
				close(s.free)
			}
			status, body := client.answer()
			want := 200
			if written && route == "alert" {
				want = http.StatusBadGateway
			}
			n.Stop()
			if status != want || reader.saw("POST /v1/chat/completions b") != 1 {
				t.Errorf("%s, written first %v: status %d, body %q, reads %d", route, written, status, body,
					reader.saw("POST /v1/chat/completions b"))
			}
		}
	}
}

// lists is a source that tells what a test hands it.
type lists chan endpoint.List

func (l lists) Run(ctx context.Context, take func(endpoint.List), _ func(error)) {
	for {
		select {
		case list := <-l:
			take(list)
		case <-ctx.Done():
			return
		}
	}
}

// A list says that the only reader drains and names another, while a request waits for the owner. Told before the
// request is taken, the list goes first, though it came later. Read, but not told yet, it holds up nobody: the attempt
// goes to the reader that drains, which it may within the grace.
func TestListWithADrainAgainstAnAttempt(t *testing.T) {
	for _, told := range []bool{true, false} {
		old, fresh := newBox(t, "127.0.0.2", always(heldWire)), newBox(t, "127.0.0.4", always(heldWire))
		writer := engineAt("s-2", "m2", newBox(t, "127.0.0.3", always(wholeStream)))
		source := make(lists, 1)
		n := newOnSource(t, 1024, nil, source)
		s := newStop(n, edge.ListRead)
		source <- endpoint.List{Revision: 1, Entries: []endpoint.Entry{engineAt("s-1", "m1", old), writer}}
		startReady(t, n)
		client := dial(t, n)
		drains := engineAt("s-1", "m1", old)
		drains.State = endpoint.Draining
		second := endpoint.List{Revision: 2, Entries: []endpoint.Entry{drains, writer, engineAt("s-3", "m1", fresh)}}
		if told {
			release := n.Block()
			before := n.Queued()
			client.send(wire("a", "alert"))
			until(t, "the request waits for the owner", func() bool { return n.Queued() > before })
			source <- second
			until(t, "the list waits for the owner", n.Urgent)
			release()
		} else {
			s.set.Store(true)
			source <- second
			s.wait(t)
			client.send(wire("a", "alert"))
			until(t, "the attempt has begun", func() bool { return old.saw("POST") == 1 })
			close(s.free)
		}
		if status, body := client.answer(); status != 200 || body != allEvents {
			t.Errorf("told %v: status %d, body %q", told, status, body)
		}
		n.Stop()
		if wentToOld := old.saw("POST") == 1; wentToOld == told || old.saw("POST")+fresh.saw("POST") != 1 {
			t.Errorf("told %v: %d attempts at the reader that drains, %d at the other", told, old.saw("POST"), fresh.saw("POST"))
		}
	}
}

// An engine resets at any moment of an attempt. The client gets one answer, which is not whole where the stream was not,
// and what must not run twice reaches no engine whole a second time after it may have run.
func TestPlatformResets(t *testing.T) {
	firstEvent := streamHead + event(`{"choices":[1]}`)
	for _, at := range []struct {
		name, wire string
		status     int
		whole      bool
	}{
		{"behind the request", "", http.StatusBadGateway, true},
		{"within the head", "HTTP/1.1 200 OK\r\nContent-", http.StatusBadGateway, true},
		{"behind the head", streamHead, http.StatusBadGateway, true},
		{"within the stream", firstEvent, 200, false},
		{"behind the last event", strings.TrimSuffix(wholeStream, "0\r\n\r\n"), 200, false},
		{"behind the last chunk", wholeStream, 200, true},
	} {
		writer := newBox(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return at.wire, true })
		n := onPlatform(t, 1024, nil, newBox(t, "127.0.0.2", always(heldWire)), writer)
		status, body, err := call(t, n, "a", "alert")
		if status != at.status || (err == nil) != at.whole || writer.saw("POST") != 1 {
			t.Errorf("%s: status %d, body %q, %v, %d attempts", at.name, status, body, err, writer.saw("POST"))
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
	n := onPlatform(t, 1024, nil, newBox(t, "127.0.0.2", always(heldWire)), &box{addr: listener.Addr().String()})
	defer n.Stop()
	if status, body, err := call(t, n, "b", "alert"); err != nil || status < 400 {
		t.Errorf("right after it accepts: status %d, body %q, %v", status, body, err)
	}
}
