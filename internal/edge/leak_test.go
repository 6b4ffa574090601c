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

// callOnce is a client that sends one request, with a session, a prefix and a name of its own.
func callOnce(t *testing.T, e *edge.Edge, i int) {
	t.Helper()
	r, _ := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/v1/chat/completions", strings.NewReader("{}"))
	for name, value := range map[string]string{"Request-Id": fmt.Sprint("once", i), "Request-Class": "chat",
		"Request-Timeout": "9", "Affinity-Key": fmt.Sprint("session", i),
		"Request-Info": fmt.Sprintf("prefix=%d,prompt_len=900,prefix_len=500,max_out=9", i)} {
		r.Header.Set(name, value)
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
		t.Fatal(answer.Status, err)
	}
}

// openDescriptors counts those of this process.
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

// Clients, sessions, prefixes and names that are always new leak nothing: descriptors come back, and what an edge caches
// has bounds. Names and session affinities have the largest, some thousand entries of a hundred bytes or two.
func TestShortLivedClientsLeakNothing(t *testing.T) {
	// Connections to engines stay open for a while, more or fewer of them as the machine's load has it: they have to age
	// within the test, or their number is taken for a leak.
	keepsShortly := func(d *config.Deployment) {
		d.Connections.IdleTimeout, d.Connections.NonIdempotentIdleTimeout = 300*time.Millisecond, 300*time.Millisecond
	}
	e := startPlatformEdge(t, 1024, keepsShortly, newScriptedEngine(t, "127.0.0.2", respondWith(prefillDone)), newScriptedEngine(t, "127.0.0.3", respondWith(completeStream)))
	defer e.Stop()
	rests := func() bool {
		h, err := e.Usage(context.Background())
		return err == nil && h.EngineConnections == 0 && h.Clients == 0
	}
	const requests = 500
	for i := range requests {
		callOnce(t, e, i)
	}
	waitFor(t, "the edge is idle", rests)
	memory, open := heapInUse(), openDescriptors(t)
	for i := range requests {
		callOnce(t, e, requests+i)
	}
	waitFor(t, "the edge is idle again", rests)
	const perRequest = 1024
	if grown := int(heapInUse()) - int(memory); grown > requests*perRequest {
		t.Errorf("%d bytes more after as many requests again", grown)
	}
	waitFor(t, "descriptors come back", func() bool { return openDescriptors(t) <= open+4 })
}
