package edge_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
	"sandcourse/internal/routing"
)

// What comes on a connection beyond the response belongs to no request: interim responses are skipped, and a second
// response directly after must not be taken for the next request's.
func TestPlatformUnsolicitedBytesAfterResponse(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+prefillDone))
	strange := strings.ReplaceAll(completeStream, "[1]", "[9]")
	decode := newScriptedEngine(t, "127.0.0.3", respondWith("HTTP/1.1 102 Processing\r\n\r\n"+completeStream+strange))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	for i := range 30 {
		if status, body, err := postChat(t, e, fmt.Sprint("b", i), "chat"); status != 200 || err != nil || body != streamEvents {
			t.Fatalf("%d: %d %q %v", i, status, body, err)
		}
	}
}

// A second response some milliseconds after the first belongs to no request. A connection that is reused at once would
// take it for the next request's.
func TestUnsolicitedSecondResponse(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) {
		time.Sleep(6 * time.Millisecond) // it works for longer than the second response is late
		return completeStream, false
	})
	decode.trailer = strings.ReplaceAll(completeStream, "[1]", "[9]")
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	client := dialRaw(t, e)
	for i := range 20 {
		client.send(requestText(fmt.Sprint("a", i), "chat"))
		if status, body := client.readResponse(); status != 200 || body != streamEvents {
			t.Fatalf("%d: status %d, body %q", i, status, body)
		}
	}
}

// A stream that is malformed or breaks once it has begun ends with its connection and without a last chunk. Before that
// it may have run: a request that is not idempotent gets its error and is not retried.
func TestPlatformMalformedStreams(t *testing.T) {
	begun := streamHead + streamEvent(`{"choices":[1]}`)
	for name, wire := range map[string]string{"a bad size": begun + "zz\r\n", "a chunk of 3 GB": begun + "c0000000\r\nxx",
		"a size that does not fit": begun + "1\r\nxyz\r\n", "a break": begun} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return wire, name == "a break" })
		e := startPlatformEdge(t, 1024, nil, prefill, decode)
		if status, body, err := postChat(t, e, "c1", "alert"); status != 200 || err == nil || !strings.Contains(body, "[1]") {
			t.Errorf("%s: %d %q, ended with %v", name, status, body, err)
		}
		e.Stop()
	}
	for name, wire := range map[string]string{"noise": "\x00\x01\r\n\r\nxx", "an endless head": "HTTP/1.1 200 OK\r\nX: " +
		strings.Repeat("x", 20<<10), "an end at once": streamHead + "0\r\n\r\n"} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(wire))
		e := startPlatformEdge(t, 1024, nil, prefill, decode)
		status, _, err := postChat(t, e, "c2", "alert")
		if status != http.StatusBadGateway || err != nil || decode.countRequests("POST") != 1 {
			t.Errorf("%s: %d %v, sent %d times", name, status, err, decode.countRequests("POST"))
		}
		e.Stop()
	}
}

// Connections that close after their first response: one request that is not idempotent may meet that, not each.
func TestPlatformEarlyClosedConnections(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	prefill.singleUse, decode.singleUse = true, true
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	lost := 0
	for i := range 12 {
		if status, _, err := postChat(t, e, fmt.Sprint("g", i), "alert"); status != 200 || err != nil {
			lost++
		}
	}
	if lost > 1 {
		t.Errorf("%d of 12 lost", lost)
	}
}

// idleTime is past the time for which a connection is not reused after a response.
const idleTime = 50 * time.Millisecond

// An engine closes an idle connection just as an attempt is to be written to it. Where no byte has left, the attempt
// never ran and is retried, also where the request is not idempotent. Where it was written first it may have run, and
// only an idempotent request is retried.
func TestEngineClosesIdleConnection(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, route := range []string{"chat", "alert"} {
			prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
			decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
			e := newPlatformEdge(t, 1024, nil, prefill, decode)
			pause := newPausePoint(e, edge.ConnectionAssigned)
			startReady(t, e)
			client := dialRaw(t, e)
			client.send(requestText("a", route))
			if status, _ := client.readResponse(); status != 200 {
				t.Fatal(status)
			}
			answeredAt := time.Now()
			waitFor(t, "connections have been idle", func() bool { return time.Since(answeredAt) > idleTime })
			if written {
				decode.closeOnRequest("b")
			} else {
				pause.armed.Store(true)
			}
			client.send(requestText("b", route))
			if !written {
				pause.wait(t) // the owner is paused before the prefill request is written
				before := e.QueuedTasks()
				prefill.closeAll()
				waitFor(t, "the owner has yet to be notified of the close", func() bool { return e.QueuedTasks() > before })
				close(pause.resume)
			}
			status, body := client.readResponse()
			want := 200
			if written && route == "alert" {
				want = http.StatusBadGateway
			}
			e.Stop()
			if status != want || prefill.countRequests("POST /v1/chat/completions b") != 1 {
				t.Errorf("%s, written first %v: status %d, body %q, prefills %d", route, written, status, body,
					prefill.countRequests("POST /v1/chat/completions b"))
			}
		}
	}
}

// An engine resets at any moment of an attempt. The client gets one response, which is not complete where the stream was
// not, and a request that is not idempotent is not sent to an engine a second time after it may have run.
func TestEngineResetsConnections(t *testing.T) {
	firstEvent := streamHead + streamEvent(`{"choices":[1]}`)
	for _, c := range []struct {
		name, wire string
		status     int
		whole      bool
	}{
		{"after the request", "", http.StatusBadGateway, true},
		{"within the head", "HTTP/1.1 200 OK\r\nContent-", http.StatusBadGateway, true},
		{"after the head", streamHead, http.StatusBadGateway, true},
		{"within the stream", firstEvent, 200, false},
		{"after the last event", strings.TrimSuffix(completeStream, "0\r\n\r\n"), 200, false},
		{"after the last chunk", completeStream, 200, true},
	} {
		decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return c.wire, true })
		e := startPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), decode)
		status, body, err := postChat(t, e, "a", "alert")
		if status != c.status || (err == nil) != c.whole || decode.countRequests("POST") != 1 {
			t.Errorf("%s: status %d, body %q, %v, %d attempts", c.name, status, body, err, decode.countRequests("POST"))
		}
		e.Stop()
	}
	// Right after it accepts: the engine never reads a request, so however often it is retried nothing has run.
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
	e := startPlatformEdge(t, 1024, nil, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), &scriptedEngine{addr: listener.Addr().String()})
	defer e.Stop()
	if status, body, err := postChat(t, e, "b", "alert"); err != nil || status < 400 {
		t.Errorf("right after it accepts: status %d, body %q, %v", status, body, err)
	}
}

// A mixed engine prefills and decodes in one request; its stream must not be taken for a malformed prefill response.
func TestPlatformMixedEngineResponses(t *testing.T) {
	mixed := newScriptedEngine(t, "127.0.0.2", respondWith(completeStream))
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		for i := range d.Kinds {
			d.Kinds[i].Role = "both"
			d.PlatformRouting.Kinds[i].Role = routing.Mixed
		}
	}, mixed, mixed)
	defer e.Stop()
	status, body, err := postChat(t, e, "a1", "chat")
	if status != 200 || err != nil || body != streamEvents || mixed.countRequests("POST /v1/chat/completions a1") != 1 {
		t.Fatalf("%d %q %v after %q", status, body, err, mixed.requests)
	}
}
