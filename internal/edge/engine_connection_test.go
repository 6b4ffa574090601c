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

// Responses beyond the one to a request belong to no request: interim responses are skipped, and a second response right
// after the first must not be attributed to the next request.
func TestPlatformUnsolicitedResponsesAreDiscarded(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+prefillDone))
	unsolicited := strings.ReplaceAll(completeStream, "[1]", "[9]")
	decode := newScriptedEngine(t, "127.0.0.3", respondWith("HTTP/1.1 102 Processing\r\n\r\n"+completeStream+unsolicited))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	for i := range 30 {
		if status, body, err := postChat(t, e, fmt.Sprint("b", i), "chat"); status != 200 || err != nil || body != streamEvents {
			t.Fatalf("%d: %d %q %v", i, status, body, err)
		}
	}
}

// A second response some milliseconds after the first belongs to no request. If the connection were reused at once, the
// response would be attributed to the next request.
func TestDelayedUnsolicitedResponseIsDiscarded(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) {
		time.Sleep(6 * time.Millisecond) // The pause is longer than the delay of the second response.
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

// If a stream is malformed or breaks after it has begun, the client's connection is closed without a last chunk. If the
// response fails before that, the request may have run, so a request that is not idempotent gets an error and no retry.
func TestPlatformMalformedStreamIsNotRetried(t *testing.T) {
	partialStream := streamHead + streamEvent(`{"choices":[1]}`)
	for name, wire := range map[string]string{"a bad size": partialStream + "zz\r\n", "a chunk of 3 GB": partialStream + "c0000000\r\nxx",
		"a size that does not fit": partialStream + "1\r\nxyz\r\n", "a break": partialStream} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", func(int, *http.Request) (string, bool) { return wire, name == "a break" })
		e := startPlatformEdge(t, 1024, nil, prefill, decode)
		if status, body, err := postChat(t, e, "c1", "alert"); status != 200 || err == nil || !strings.Contains(body, "[1]") {
			t.Errorf("%s: status %d, body %q, ended with %v", name, status, body, err)
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
			t.Errorf("%s: status %d, error %v, sent %d times", name, status, err, decode.countRequests("POST"))
		}
		e.Stop()
	}
}

// The engines close each connection after its first response. Because of that, at most one of the requests that are not
// idempotent may fail.
func TestPlatformRequestsSurviveSingleUseConnections(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	prefill.singleUse, decode.singleUse = true, true
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	failed := 0
	for i := range 12 {
		if status, _, err := postChat(t, e, fmt.Sprint("g", i), "alert"); status != 200 || err != nil {
			failed++
		}
	}
	if failed > 1 {
		t.Errorf("%d of 12 requests failed", failed)
	}
}

// idleTime is longer than the time for which a connection is not reused after a response.
const idleTime = 50 * time.Millisecond

// An engine closes an idle connection just before an attempt is written to it. If no byte has been written, the attempt
// never ran and is retried, even if the request is not idempotent. If the attempt was written before the close, it may have
// run, and only an idempotent request is retried.
func TestRetryAfterEngineClosesIdleConnection(t *testing.T) {
	for _, written := range []bool{false, true} {
		for _, route := range []string{"chat", "alert"} {
			prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
			decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
			e := newPlatformEdge(t, 1024, nil, prefill, decode)
			pause := newPausePoint(e, edge.ConnectionAssigned)
			startAndAwaitReady(t, e)
			client := dialRaw(t, e)
			client.send(requestText("a", route))
			if status, _ := client.readResponse(); status != 200 {
				t.Fatal(status)
			}
			answeredAt := time.Now()
			waitFor(t, "the connections have been idle long enough", func() bool { return time.Since(answeredAt) > idleTime })
			if written {
				decode.closeOnRequest("b")
			} else {
				pause.armed.Store(true)
			}
			client.send(requestText("b", route))
			if !written {
				pause.wait(t) // The owner is paused before the prefill request is written.
				before := e.QueuedTasks()
				prefill.closeAll()
				waitFor(t, "the close waits for the owner", func() bool { return e.QueuedTasks() > before })
				close(pause.resume)
			}
			status, body := client.readResponse()
			want := 200
			if written && route == "alert" {
				want = http.StatusBadGateway
			}
			e.Stop()
			if status != want || prefill.countRequests("POST /v1/chat/completions b") != 1 {
				t.Errorf("%s, written before the close %v: status %d, body %q, %d prefills", route, written, status, body,
					prefill.countRequests("POST /v1/chat/completions b"))
			}
		}
	}
}

// An engine resets its connection at various moments of an attempt. The client gets one response, which is incomplete if
// the stream was, and a request that is not idempotent is not sent a second time after it may have run.
func TestConnectionResetByEngineGivesOneResponse(t *testing.T) {
	firstEvent := streamHead + streamEvent(`{"choices":[1]}`)
	for _, c := range []struct {
		name, wire string
		status     int
		complete   bool
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
		if status != c.status || (err == nil) != c.complete || decode.countRequests("POST") != 1 {
			t.Errorf("%s: status %d, body %q, error %v, %d attempts", c.name, status, body, err, decode.countRequests("POST"))
		}
		e.Stop()
	}
	// The engine resets each connection right after accept. It never reads a request, so retries cannot run one twice.
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
		t.Errorf("right after accept: status %d, body %q, error %v", status, body, err)
	}
}

// A mixed engine prefills and decodes in one request; its stream must not be handled as a malformed prefill response.
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
