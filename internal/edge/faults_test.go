package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"sandcourse/internal/config"
)

// A client asks for one stream and sends, behind it, the head of a request that expects to be told to go on. That word
// must not come in the middle of the stream.
func TestContinueAfterStream(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+task(`{"choices":[1]}`)))
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	client := dialRaw(t, n)
	client.send(requestText("a", "chat"))
	begun := ""
	for !strings.Contains(begun, "[1]") {
		line, err := client.reader.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		begun += line
	}
	head, _, _ := strings.Cut(requestText("b", "chat"), "\r\n\r\n")
	client.send(head + "\r\nExpect: 100-continue\r\n\r\n")
	client.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	rest, _ := io.ReadAll(client.reader) // to the end of that time
	if got := strings.TrimSpace(string(rest)); got != "" {
		t.Fatalf("in the middle of a stream comes %q", got)
	}
}

// Where nothing is served before it, such a request is told to go on, and is answered.
func TestContinue(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	n := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer n.Stop()
	client := dialRaw(t, n)
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
	// And once what was served before it has its answer.
	client.send(requestText("c", "chat") + head + "\r\nExpect: 100-continue\r\n\r\n")
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	if line, err := client.reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("behind an answer: %q %v", line, err)
	}
}

// A connection that this machine cannot make for a moment says nothing of the engine: it is made a moment later, and no
// engine counts as failed.
func TestDialFailsLocallyOnce(t *testing.T) {
	for _, no := range []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENETUNREACH, syscall.EMFILE} {
		prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
		decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
		core, seen := observer.New(zap.InfoLevel)
		n := newLoggedPlatformEdge(t, 1024, nil, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)}, zap.New(core))
		var failed atomic.Int64
		n.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
			if failed.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", no)}
			}
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		})
		startReady(t, n)
		for i := range 3 {
			if status, body, err := postChat(t, n, fmt.Sprint("a", i), "alert"); status != 200 || err != nil || body != streamEvents {
				t.Errorf("%v: request %d: %d %q %v", no, i, status, body, err)
			}
		}
		if failed.Load() <= 3 {
			t.Errorf("%v: %d connections were tried", no, failed.Load())
		}
		n.Stop()
		for _, line := range seen.FilterMessage("attempt ended").All() {
			t.Errorf("%v: an attempt ended badly: %v", no, line.ContextMap())
		}
	}
}

// A moment of it that lasts longer than a connection may take ends the attempt, and still says nothing of the engine.
func TestDialFailsLocallyUntilTimeout(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	core, seen := observer.New(zap.InfoLevel)
	n := newLoggedPlatformEdge(t, 1024, nil, fixedSource{engineAt("s-1", "m1", prefill), engineAt("s-2", "m2", decode)}, zap.New(core))
	begun := time.Now()
	n.UseDial(func(ctx context.Context, address string) (net.Conn, error) {
		if time.Since(begun) < 400*time.Millisecond {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	startReady(t, n)
	defer n.Stop()
	if status, body, err := postChat(t, n, "a", "alert"); status != 200 || err != nil || body != streamEvents {
		t.Errorf("%d %q %v", status, body, err)
	}
	ended := seen.FilterMessage("attempt ended").All()
	for _, line := range ended {
		if verdict := line.ContextMap()["verdict"]; verdict != "not sent" {
			t.Errorf("an attempt for which there was no descriptor ended as %q", verdict)
		}
	}
	if len(ended) == 0 {
		t.Error("no attempt met the want of descriptors")
	}
}

// The end of one request and the beginning of the next come in one piece, and the client stops there: the half request is
// owed an error as any other.
func TestPartialRequestBehindCompleteOne(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	n := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.Limits.FirstRequestTimeout, d.Limits.HeaderTimeout, d.Limits.BodyTimeout = 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond
	}, prefill, decode)
	defer n.Stop()
	client := dialRaw(t, n)
	first := requestText("a", "chat")
	client.send(first[:20])
	waitFor(t, "the owner hears of the first half", func() bool {
		h, err := n.Usage(context.Background())
		return err == nil && h.Clients == 1 && h.Bytes > 0
	})
	client.send(first[20:] + requestText("b", "chat")[:20])
	if status, _ := client.readResponse(); status != 200 {
		t.Fatal(status)
	}
	client.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	if status, _ := client.readResponse(); status != http.StatusRequestTimeout {
		t.Errorf("the half request is answered %d", status)
	}
}
