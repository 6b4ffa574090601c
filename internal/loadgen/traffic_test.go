package loadgen

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/golden"
)

// edgeRecorder implements fake edges that record a line for each attempt.
type edgeRecorder struct {
	mu       sync.Mutex
	attempts map[string]int // number of attempts by request ID
	lines    []string
}

func (e *edgeRecorder) start(t *testing.T, edges int) (addrs []string) {
	e.attempts = map[string]int{}
	for edge := range edges {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(edge, w, r) }))
		t.Cleanup(server.Close)
		addrs = append(addrs, server.Listener.Addr().String())
	}
	return addrs
}

// serve sheds the first attempt of each request and responds to later attempts with an error.
func (e *edgeRecorder) serve(edge int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var decoded struct{ Messages []Message }
	_ = json.Unmarshal(body, &decoded)
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.attempts[id]++
	attempt := e.attempts[id]
	start, _, _ := strings.Cut(string(body), `"messages"`)
	_, end, _ := strings.Cut(string(body), `"model"`)
	e.lines = append(e.lines, fmt.Sprintf("%s attempt %d at edge %d: %s %s session %q timeout %q key %q, %d messages, %s ... %s %x\n",
		id, attempt, edge, r.URL.Path, r.Header.Get("Content-Type"), r.Header.Get("X-Conversation-Id"), r.Header.Get("X-Give-Up-Ms"),
		r.Header.Get("Idempotency-Key"), len(decoded.Messages), start, end, sha256.Sum256(body)))
	e.mu.Unlock()
	if attempt == 1 {
		w.Header().Set("X-Sandcourse-Final", "shed")
	} else {
		w.Header().Set("X-Sandcourse-Final", "errored")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// The requests that a seed draws and the order of the draws must not change.
func TestGoldenTraffic(t *testing.T) {
	edges := &edgeRecorder{}
	addrs := edges.start(t, 3)
	log := &audit.Log{}
	Traffic{
		Edges: func() []string { return addrs },
		Routes: []Route{
			{Name: "a", Share: 2, Retriable: true, FirstTokenTarget: time.Hour, Timeout: 20 * time.Second, MaxTokens: 9},
			{Name: "b", Share: 1, FirstTokenTarget: time.Hour, Timeout: 30 * time.Second},
		},
		Rate:            400,
		RateFactor:      func(at time.Duration) float64 { return 1 + at.Seconds()*10 },
		HotPrefixShare:  func(time.Duration) float64 { return 0.3 },
		Duration:        100 * time.Millisecond,
		Seed:            11,
		Prefixes:        4,
		PrefixWords:     5,
		Turns:           3,
		Retries:         2,
		DisconnectShare: 0.2,
		Log:             log,
	}.Run(context.Background())
	slices.Sort(edges.lines)
	got := []byte(strings.Join(edges.lines, ""))
	if len(log.ClientRecords()) != len(edges.lines) {
		t.Errorf("%d records of %d attempts", len(log.ClientRecords()), len(edges.lines))
	}
	golden.Check(t, "traffic.golden", string(got))
}
