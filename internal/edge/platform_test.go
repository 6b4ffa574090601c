package edge_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/config"
)

// All events of a stream are forwarded unchanged, prefill runs before decode, and a request name is accepted only once.
func TestPlatformForwardsStreamUnchanged(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(completeStream))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	status, body, err := postChat(t, e, "a1", "chat")
	if status != 200 || err != nil || body != streamEvents {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if prefill.countRequests("POST /v1/chat/completions a1") != 1 || decode.countRequests("POST /v1/chat/completions a1") != 1 {
		t.Errorf("prefill engine received %q, decode engine %q", prefill.requests, decode.requests)
	}
	if status, _, err := postChat(t, e, "a1", "chat"); status != http.StatusConflict || err != nil {
		t.Errorf("the same name again: %d %v", status, err)
	}
	if status, _, _ := postChat(t, e, "a2", "unheard-of"); status != http.StatusNotFound {
		t.Errorf("an unknown route: %d", status)
	}
}

// All decode engines are at capacity: the reservation is released, and the request is rejected with a Retry-After header.
func TestPlatformShedReleasesReservation(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone))
	decode := newScriptedEngine(t, "127.0.0.3", respondWith(notStarted))
	e := startPlatformEdge(t, 1024, nil, prefill, decode)
	defer e.Stop()
	if status, body, err := postChat(t, e, "d1", "alert"); status != http.StatusServiceUnavailable || err != nil {
		t.Fatalf("%d %q %v", status, body, err)
	}
	for end := time.Now().Add(2 * time.Second); prefill.countRequests("DELETE /v1/holds/d1") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reservation is not released")
		}
	}
}

// Many connections that send nothing are closed after a timeout and do not block other clients.
func TestPlatformClosesIdleConnectionsAtLimit(t *testing.T) {
	e := startPlatformEdge(t, 96, func(d *config.Deployment) { d.Limits.FirstRequestTimeout = 150 * time.Millisecond },
		newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer e.Stop()
	var closed sync.WaitGroup
	for range 200 {
		c, err := net.Dial("tcp", e.Addr())
		if err != nil {
			t.Fatal(err)
		}
		closed.Go(func() {
			defer c.Close()
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.ReadAll(c); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Error("idle connection not closed:", err)
			}
		})
	}
	if status, _, err := postChat(t, e, "e1", "chat"); status != 200 || err != nil {
		t.Errorf("request of another client: %d %v", status, err)
	}
	closed.Wait()
}

// A prefill may continue at the engine after its connection broke, so its reservation is released a second time later.
func TestPlatformLatePrefillIsReleasedAgain(t *testing.T) {
	prefill := newScriptedEngine(t, "127.0.0.2", func(int, *http.Request) (string, bool) { return "", true })
	e := startPlatformEdge(t, 1024, func(d *config.Deployment) {
		d.Rules.ReservationLimit = 100 * time.Millisecond
		d.ReleaseRepeatTime = 200 * time.Millisecond
	},
		prefill, newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer e.Stop()
	postChat(t, e, "j1", "chat")
	for end := time.Now().Add(5 * time.Second); prefill.countRequests("DELETE /v1/holds/j1") < prefill.countRequests("POST")+1; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("released %d times for %d lost prefills", prefill.countRequests("DELETE"), prefill.countRequests("POST"))
		}
	}
}
