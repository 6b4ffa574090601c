package edge_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
)

// An event has arrived within the stall timeout, but its poller is held up and has not passed it on. Case 8 of the second review
// and its class: the owner's clock alone does not prove that an engine was silent.
func TestEventHeldUpInThePollerIsNotAStall(t *testing.T) {
	const stallTimeout = 100 * time.Millisecond
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+streamEvent(`{"choices":[1]}`)))
	e := newPlatformEdge(t, 1024, func(d *config.Deployment) { d.StallTimeout = stallTimeout }, prefill, decode)
	pause := newPausePoint(e, edge.ResponseRead)
	startAndAwaitReady(t, e)
	defer e.Stop()
	client := dialRaw(t, e)
	client.send(requestText("a", "chat"))
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len("data: {\"choices\":[1]}\n\n"))
	if _, err := io.ReadFull(response.Body, first); err != nil {
		t.Fatal(err)
	}
	pause.armed.Store(true)
	decode.writeAll(streamEvent(`{"choices":[2]}`) + streamEvent("[DONE]") + "0\r\n\r\n")
	pause.wait(t)
	heldUpSince := time.Now()
	waitFor(t, "the owner has run after the stall timeout", func() bool {
		_, err := e.Usage(context.Background())
		return err == nil && time.Since(heldUpSince) > 3*stallTimeout
	})
	close(pause.resume)
	rest, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(rest), `{"choices":[2]}`) {
		t.Errorf("after the first event the client received %q, %v", rest, err)
	}
}

// A stream whose engine stays silent ends, on each of several pollers.
func TestSilentStreamEnds(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(streamHead+streamEvent(`{"choices":[1]}`)))
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) { d.StallTimeout = 50 * time.Millisecond }, prefill, decode)
	defer e.Stop()
	for _, name := range []string{"a", "b", "c"} {
		client := dialRaw(t, e)
		client.send(requestText(name, "chat"))
		if status, body := client.readResponse(); status != 0 || body != "data: {\"choices\":[1]}\n\n" {
			t.Errorf("%s: status %d, body %q, want a stream that is cut off", name, status, body)
		}
	}
}
