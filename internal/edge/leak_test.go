package edge_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/edge"
)

// callOnce sends one request with a unique session, prefix and name over a new connection.
func callOnce(t *testing.T, e *edge.Edge, i int) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader("{}"))
	for name, value := range map[string]string{"Request-Id": fmt.Sprint("once", i), "Request-Class": "chat",
		"Request-Timeout": "9", "Affinity-Key": fmt.Sprint("session", i),
		"Request-Info": fmt.Sprintf("prefix=%d,prompt_len=900,prefix_len=500,max_out=9", i)} {
		r.Header.Set(name, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != 200 {
		t.Fatal(response.Status, err)
	}
}

// openDescriptors returns the number of open file descriptors of this process.
func openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("this system does not list descriptors:", err)
	}
	return len(entries)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Clients, sessions, prefixes and names that are used only once must not leak: descriptors are released, and the caches of an
// edge are bounded. The largest caches are those of names and session affinities, some thousand entries of 100 to 200 bytes.
func TestShortLivedClientsDoNotLeak(t *testing.T) {
	// Connections to engines stay open for a while, and their number depends on the load of the machine. They have to reach
	// their idle timeout within the test; otherwise they would look like a leak.
	shortIdleTimeouts := func(d *config.Deployment) {
		d.Connections.IdleTimeout, d.Connections.NonIdempotentIdleTimeout = 300*time.Millisecond, 300*time.Millisecond
	}
	e := startPlatformEdge(t, 1024, shortIdleTimeouts, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer e.Stop()
	isIdle := func() bool {
		usage, err := e.Usage(context.Background())
		return err == nil && usage.EngineConnections == 0 && usage.Clients == 0
	}
	const requests = 500
	for i := range requests {
		callOnce(t, e, i)
	}
	waitFor(t, "the edge is idle", isIdle)
	memory, open := heapInUse(), openDescriptors(t)
	for i := range requests {
		callOnce(t, e, requests+i)
	}
	waitFor(t, "the edge is idle again", isIdle)
	const perRequest = 1024
	if grown := int(heapInUse()) - int(memory); grown > requests*perRequest {
		t.Errorf("the heap grew by %d bytes during the second half of the requests", grown)
	}
	waitFor(t, "descriptors are released", func() bool { return openDescriptors(t) <= open+4 })
}
