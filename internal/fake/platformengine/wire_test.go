package platformengine

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httputil"
	"regexp"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/golden"
)

// varyingPattern matches the parts of responses that differ between runs.
var varyingPattern = regexp.MustCompile(`127\.0\.0\.1:\d+|Date: [^\r]*\r\n`)

func startPair(t *testing.T, fleet *Fleet) (prefill, decode *Engine) {
	t.Helper()
	start := func(c Config) *Engine {
		e, err := fleet.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		return e
	}
	return start(Config{ID: "s-1", Role: Prefill, Slots: 1, WorkTime: time.Millisecond}),
		start(Config{ID: "s-2", Role: Decode, Slots: 1, WorkTime: time.Millisecond, Events: 3})
}

// send sends a request to an engine and returns the response as text.
func send(t *testing.T, e *Engine, method, path, requestID string) string {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+e.Addr+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Request-Id", requestID)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	dump, err := httputil.DumpResponse(response, true)
	if err != nil {
		t.Fatal(err)
	}
	return string(dump)
}

func TestGoldenWire(t *testing.T) {
	fleet := NewFleet(&audit.Log{})
	prefill, decode := startPair(t, fleet)
	var output bytes.Buffer
	const attempts, reservations = "/v1/chat/completions", "/v1/holds/"
	for _, c := range []struct {
		title        string
		engine       *Engine
		method, path string
		requestID    string
	}{
		{"prefill", prefill, http.MethodPost, attempts, "n-1"},
		{"decode", decode, http.MethodPost, attempts, "n-1"},
		{"decode without a reservation", decode, http.MethodPost, attempts, "n-1"},
		{"prefill", prefill, http.MethodPost, attempts, "n-2"},
		{"release at another engine", decode, http.MethodDelete, reservations + "n-2", ""},
		{"release again", prefill, http.MethodDelete, reservations + "n-2", ""},
		{"decode after the release", decode, http.MethodPost, attempts, "n-2"},
		{"load report", prefill, http.MethodGet, "/_load", ""},
		{"load report", decode, http.MethodGet, "/_load", ""},
		{"unknown path", decode, http.MethodGet, "/other", ""},
	} {
		fmt.Fprintf(&output, "== %s: %s %s\n%s\n", c.title, c.method, c.path, send(t, c.engine, c.method, c.path, c.requestID))
	}
	fmt.Fprintf(&output, "== list entries\n%s\n%s\n", prefill.Entry(), decode.Entry())
	got := varyingPattern.ReplaceAll(output.Bytes(), []byte("VARYING"))
	golden.Check(t, "wire.golden", string(got))
}
