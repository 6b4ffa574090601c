package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
)

const tokenEvent = `data: {"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}` + "\n\n"

func breakConnection(w http.ResponseWriter) {
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func TestClientRecordsOutcome(t *testing.T) {
	unary, disconnecting := Request{Unary: true}, Request{DisconnectAfter: 30 * time.Millisecond}
	for name, c := range map[string]struct {
		request    Request
		serve      func(w http.ResponseWriter, r *http.Request)
		outcome    audit.Outcome
		outcomes   int
		tokens     int
		reason     string
		retryAfter time.Duration
	}{
		"completed": {serve: func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, tokenEvent+tokenEvent+"data: [DONE]\n\n")
		}, outcome: audit.OutcomeCompleted, outcomes: 1, tokens: 2},
		"two final events": {serve: func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "data: [DONE]\n\ndata: {\"error\":{}}\n\n")
		}, outcome: audit.OutcomeErrored, outcomes: 2, reason: `{"error":{}}`},
		"unary": {request: unary, serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Sandcourse-Final", "completed")
			io.WriteString(w, "three words here ")
		}, outcome: audit.OutcomeCompleted, outcomes: 1, tokens: 3},
		"shed": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Sandcourse-Final", "shed")
			w.Header().Set("Retry-After-Ms", "250")
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, "busy")
		}, outcome: audit.OutcomeShed, outcomes: 1, reason: "busy", retryAfter: 250 * time.Millisecond},
		"no outcome header": {serve: func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusTeapot)
		}, outcome: "refused 418", outcomes: 1},
		"lost before the head": {serve: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, outcome: audit.OutcomeLost, reason: "EOF"},
		"lost in the stream": {serve: func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, tokenEvent)
			breakConnection(w)
		}, outcome: audit.OutcomeLost, tokens: 1, reason: "unexpected EOF"},
		"lost in a unary response": {request: unary, serve: func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, "x")
			breakConnection(w)
		}, outcome: audit.OutcomeLost, reason: "unexpected EOF"},
		"abandoned before the head": {request: disconnecting, serve: func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, outcome: audit.OutcomeAbandoned, reason: "deadline exceeded"},
		"abandoned in the stream": {request: disconnecting, serve: func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, ": comment\n\n")
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, outcome: audit.OutcomeAbandoned, reason: "deadline exceeded"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // The server detects a disconnect only after it has read the body.
				w.Header().Set("X-Sandcourse-Inference", "n-1")
				c.serve(w, r)
			}))
			defer server.Close()
			client := NewClient()
			defer client.Close()
			c.request.RequestID, c.request.Timeout = "r-1", time.Second
			record, retryAfter := client.Do(context.Background(), server.Listener.Addr().String(), c.request)
			if record.Outcome != c.outcome || record.OutcomeCount != c.outcomes || record.Tokens != c.tokens ||
				!strings.Contains(record.Reason, c.reason) || (c.reason == "") != (record.Reason == "") || retryAfter != c.retryAfter {
				t.Errorf("%+v, retry after %v; want %+v", record, retryAfter, c)
			}
			if record.ClientRequestID != "r-1" || record.End.Before(record.Sent) || record.Deadline != record.Sent.Add(time.Second) {
				t.Errorf("%+v", record)
			}
			if (record.FirstToken > 0) != (c.tokens > 0) {
				t.Errorf("first token after %v in a response of %d tokens", record.FirstToken, c.tokens)
			}
		})
	}
}

func TestRequestIsLostIfNoEdgeListens(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := server.Listener.Addr().String()
	server.Close()
	client := NewClient()
	defer client.Close()
	if record, _ := client.Do(context.Background(), addr, Request{}); record.Outcome != audit.OutcomeLost || record.Reason == "" {
		t.Errorf("%+v", record)
	}
}

func TestRetriesDependOnOutcomeAndRoute(t *testing.T) {
	for _, c := range []struct {
		outcome                 audit.Outcome
		nonRetriable, retriable bool
	}{
		{audit.OutcomeShed, true, true},
		{audit.OutcomeErrored, false, true},
		{audit.OutcomeLost, false, true},
		{audit.OutcomeCompleted, false, false},
		{audit.OutcomeAbandoned, false, false},
	} {
		if (Route{}).shouldRetry(c.outcome) != c.nonRetriable || (Route{Retriable: true}).shouldRetry(c.outcome) != c.retriable {
			t.Errorf("%+v", c)
		}
	}
}

func TestSummaryCountsRequestsInTime(t *testing.T) {
	start := time.Now()
	record := func(id string, sent, firstToken time.Duration, outcome audit.Outcome) audit.ClientRecord {
		return audit.ClientRecord{ClientRequestID: id, Route: "a", Sent: start.Add(sent), FirstToken: firstToken, Outcome: outcome}
	}
	summary := Summarize([]audit.ClientRecord{
		record("late with its retry", 900*time.Millisecond, 200*time.Millisecond, audit.OutcomeCompleted),
		record("late with its retry", 0, 0, audit.OutcomeShed),
		record("in time", 0, time.Second, audit.OutcomeCompleted),
		record("in time", time.Millisecond, time.Millisecond, audit.OutcomeCompleted),
		record("late", 0, 20*time.Minute, audit.OutcomeCompleted), // The time is above the range of the histogram.
		{Route: "unknown", Outcome: audit.OutcomeErrored},
	}, []Route{{Name: "a", PriorityWeight: 2.5, FirstTokenTarget: time.Second}})
	var output strings.Builder
	summary.Print(&output)
	const want = `value completed in time: 2.5 of 7.5 (0.333), 6 attempts
completed  4
shed       1
model route  first tokens  p50 ms  p90 ms  p99 ms
a            3             200.1   1000.4  1000.4
`
	if got := output.String(); got != want {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
	if got := fmt.Sprint(summary.Outcomes); got != "map[completed:4 shed:1]" {
		t.Error(got)
	}
}
