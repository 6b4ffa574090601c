package planclient

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
	"sandcourse/internal/planner/planapi"
)

// A client follows a planner's stream and sends its edge's reports: what it requests, the lists that it makes of lines with
// these bytes, and what it posts. An empty line, a plan of the same number and unknown fields stand between.
func TestGoldenEdgeAndPlanner(t *testing.T) {
	const stream = `{"term":8,"number":42,"engines":[{"engine":"10.0.0.1:8000","kind":"prefill","zone":"a","cell":"c1",` +
		`"weight":1.5,"state":"ready","epoch":3,"up_for_ms":5},{"engine":"10.0.0.2:8000","kind":"decode","state":"draining"}]}` +
		"\n\n" + `{"term":8,"number":42,"engines":[]}` + "\n" +
		`{"term":9,"number":1,"later":true,"engines":[{"engine":"10.0.0.2:8000","kind":"prefill","state":"ready","epoch":4}]}` + "\n"
	requested, posted := make(chan string, 1), make(chan string, 1)
	planner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		text := fmt.Sprintf("%s %s\n%s", r.Method, r.URL, body)
		if err != nil {
			text = err.Error()
		}
		if r.Method == http.MethodPost {
			if strings.Contains(text, `"term":9`) {
				select {
				case posted <- text:
				default:
				}
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		select {
		case requested <- text:
		default:
		}
		io.WriteString(w, stream)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer planner.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan endpoint.List, 16)
	over := make(chan struct{})
	go func() {
		defer close(over)
		Client{Addr: strings.TrimPrefix(planner.URL, "http://"), ReportInterval: 20 * time.Millisecond, IdleTimeout: time.Minute,
			Now: func() int64 { return 1_700_000_000_000 },
			Report: func(context.Context) (planapi.EdgeReport, error) {
				return planapi.EdgeReport{Edge: "edge0", Incarnation: 9, Routes: []planapi.RouteCount{{Route: "clip-summary",
					Arrived: 1, PromptTokens: 2, Started: 3, StartedPromptTokens: 4, Completed: 5, CompletionTokens: 6, WithinObjective: 7, Shed: 8}}}, nil
			}}.Run(ctx, func(list endpoint.List) { lists <- list }, func(err error) { t.Log(err) })
	}()
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
	<-over
	golden.Check(t, "edge.golden", b.String())
	if len(lists) > 0 {
		t.Errorf("%d more lists were handed over", len(lists))
	}
}
