package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/config"
)

func TestMalformedRequestsAreRejected(t *testing.T) {
	f, _, _ := singlePairFixture(t, func(d *config.Deployment) {
		d.MaxHeadBytes, d.MaxBodyBytes, d.Limits.HeaderTimeout, d.Limits.BodyTimeout = 2048, 4096, 150*time.Millisecond, 150*time.Millisecond
	})
	post := func(body string) string {
		return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	validBody := `{"model":"clip-summary","stream":false,"messages":[{"role":"user","content":"a"}]}`
	for name, c := range map[string]struct{ send, want string }{
		"two lengths": {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", "400 "},
		"length and chunked": {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"400 "},
		"large body":    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n", "413 "},
		"large head":    {"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 3000) + "\r\n\r\n", "431 "},
		"garbage":       {"\x16\x03\x01\r\n\r\n", "400 "},
		"slow head":     {"GET / HT", "408 "},
		"slow body":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nabc", "408 "},
		"invalid UTF-8": {post("{\"model\":\"\xff\"}"), "400 "},
		"invalid JSON":  {post("{"), "400 "},
		"unknown route": {post(`{"model":"nothing","messages":[{"role":"user","content":"a"}]}`), "404 "},
		"unknown path":  {"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", "404 "},
		"wrong method":  {"GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n", "405 "},
		"HTTP/1.0":      {strings.Replace(post(validBody), "HTTP/1.1", "HTTP/1.0", 1), "505 "},
	} {
		t.Run(name, func(t *testing.T) {
			got := rawExchange(t, f.edges.Addrs()[0], c.send, 500*time.Millisecond)
			if !strings.HasPrefix(got, "HTTP/1.1 "+c.want) || strings.Count(got, "HTTP/1.1 ") != 1 ||
				!strings.Contains(got, `"error"`) {
				t.Errorf("got %q", got)
			}
		})
	}
	if got := rawExchange(t, f.edges.Addrs()[0], post(validBody)+post(validBody), 700*time.Millisecond); strings.Count(got, "HTTP/1.1 200") != 2 {
		t.Errorf("two pipelined requests: got %q, want two responses with status 200", got)
	}
	if got := rawExchange(t, f.edges.Addrs()[0], strings.Repeat(post(validBody), 20), 700*time.Millisecond); strings.Count(got, "200 OK") > 5 {
		t.Errorf("pipelining is not limited: %q", got)
	}
	f.checkInvariants()
}

// During a stream the client sends the head of a second request that expects 100 Continue. The interim response must not
// be written in the middle of the stream.
func TestContinueIsNotSentWithinStream(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+streamEvent(`{"choices":[1]}`)))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	client := dialRaw(t, e)
	client.send(requestText("a", "chat"))
	received := ""
	for !strings.Contains(received, "[1]") {
		line, err := client.reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		received += line
	}
	head, _, _ := strings.Cut(requestText("b", "chat"), "\r\n\r\n")
	client.send(head + "\r\nExpect: 100-continue\r\n\r\n")
	client.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	rest, _ := io.ReadAll(client.reader) // The read ends at the read deadline.
	if got := strings.TrimSpace(string(rest)); got != "" {
		t.Fatalf("%q was written in the middle of a stream", got)
	}
}

// A request that expects 100 Continue gets it, and then its response, if no earlier request is being served.
func TestContinueIsSentBeforeBody(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	client := dialRaw(t, e)
	head, body, _ := strings.Cut(requestText("b", "chat"), "\r\n\r\n")
	client.send(head + "\r\nExpect: 100-continue\r\n\r\n")
	if line, err := client.reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("%q %v", line, err)
	}
	client.reader.ReadString('\n')
	client.send(body)
	if status, got := client.readResponse(); status != 200 || got != streamEvents {
		t.Fatalf("%d %q", status, got)
	}
	// Behind another request, 100 Continue follows the response to that request.
	client.send(requestText("c", "chat") + head + "\r\nExpect: 100-continue\r\n\r\n")
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	if line, err := client.reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("after a response: %q %v", line, err)
	}
}

// The end of one request and the start of the next arrive in one read, and the client sends no more. The partial request
// must time out with an error like any other partial request.
func TestPartialRequestAfterCompleteOneTimesOut(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.Limits.FirstRequestTimeout, d.Limits.HeaderTimeout, d.Limits.BodyTimeout = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	}, prefill, decode)
	defer e.Stop()
	client := dialRaw(t, e)
	first := requestText("a", "chat")
	client.send(first[:20])
	waitFor(t, "the owner is notified of the first half", func() bool {
		usage, err := e.Usage(context.Background())
		return err == nil && usage.Clients == 1 && usage.Bytes > 0
	})
	client.send(first[20:] + requestText("b", "chat")[:20])
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	client.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if status, _ := client.readResponse(); status != http.StatusRequestTimeout {
		t.Errorf("partial request got status %d, want 408", status)
	}
}
