package planclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
	"sandcourse/internal/planner/planapi"
)

// sampleStream is a stream of plans. Between two plans it has an empty line and a plan with the number of the first one. The
// second plan has an unknown field.
const sampleStream = `{"term":8,"number":42,"engines":[{"engine":"10.0.0.1:8000","kind":"prefill","zone":"a","cell":"c1",` +
	`"weight":1.5,"state":"ready","epoch":3,"up_for_ms":5},{"engine":"10.0.0.2:8000","kind":"decode","state":"draining"}]}` +
	"\n\n" + `{"term":8,"number":42,"engines":[]}` + "\n" +
	`{"term":9,"number":1,"later":true,"engines":[{"engine":"10.0.0.2:8000","kind":"prefill","state":"ready","epoch":4}]}` + "\n"

// fakePlanner serves sampleStream. It returns channels with the first request for the stream and the first report of an edge
// that follows term 9.
func fakePlanner(t *testing.T) (address string, requested, posted <-chan string) {
	requests, reports := make(chan string, 1), make(chan string, 1)
	trySend := func(to chan<- string, text string) {
		select {
		case to <- text:
		default:
		}
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		text := fmt.Sprintf("%s %s\n%s", r.Method, r.URL, body)
		if err != nil {
			text = err.Error()
		}
		if r.Method == http.MethodPost {
			if strings.Contains(text, `"term":9`) {
				trySend(reports, text)
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		trySend(requests, text)
		io.WriteString(w, sampleStream)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), requests, reports
}

// The test checks a client that follows a planner's stream and sends its edge's reports: its request for the stream, the
// endpoint lists from the lines of the stream, and the posted report.
func TestGoldenEdgeAndPlanner(t *testing.T) {
	address, requested, posted := fakePlanner(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan endpoint.List, 16)
	var client sync.WaitGroup
	client.Go(func() {
		Client{Addr: address, ReportInterval: 20 * time.Millisecond, IdleTimeout: time.Minute,
			Now: func() int64 { return 1_700_000_000_000 },
			Report: func(context.Context) (planapi.EdgeReport, error) {
				return planapi.EdgeReport{Edge: "edge0", Incarnation: 9, Routes: []planapi.RouteCount{{Route: "clip-summary",
					Arrived: 1, PromptTokens: 2, Started: 3, StartedPromptTokens: 4, Completed: 5, CompletionTokens: 6,
					WithinObjective: 7, Shed: 8}}}, nil
			}}.Run(ctx, func(list endpoint.List) { lists <- list }, func(err error) { t.Log(err) })
	})
	var b strings.Builder
	fmt.Fprintln(&b, <-requested)
	for range 2 {
		list := <-lists
		fmt.Fprintln(&b, "list", list.Revision)
		for _, e := range list.Entries {
			fmt.Fprintf(&b, "\t%s kind %s zone %q cell %q weight %g state %s epoch %d up since %d\n", e.ID, e.Kind, e.Zone,
				e.Cell, e.Weight, e.State, e.RoleEpoch, e.StartedAtMs)
		}
	}
	fmt.Fprintln(&b, <-posted)
	cancel()
	client.Wait()
	golden.Check(t, "edge.golden", b.String())
	if len(lists) > 0 {
		t.Errorf("%d more lists than expected", len(lists))
	}
}
