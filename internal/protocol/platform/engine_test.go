package platform

import (
	"net/http"
	"testing"

	"sandcourse/internal/attempt"
)

// Only the header Not-Started proves that the engine has run no part of a request, whatever the status.
func TestClassifyResponse(t *testing.T) {
	for _, c := range []struct {
		status             int
		notStarted, stream bool
		prefill, decode    attempt.Event
	}{
		{200, false, true, attempt.MalformedResponse, attempt.SuccessStatus}, {200, false, false, attempt.MalformedResponse, attempt.MalformedResponse},
		{202, false, false, attempt.SuccessStatus, attempt.MalformedResponse}, {204, false, false, attempt.MalformedResponse, attempt.MalformedResponse},
		{500, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {500, true, false, attempt.ErrorStatus, attempt.ErrorStatus},
		{503, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {503, true, false, attempt.Rejected, attempt.Rejected},
		{504, true, false, attempt.Rejected, attempt.Rejected}, {410, true, false, attempt.ReservationNotFound, attempt.ReservationNotFound},
		{410, false, false, attempt.ErrorStatus, attempt.ErrorStatus}, {400, true, false, attempt.ErrorStatus, attempt.ErrorStatus},
	} {
		head := &http.Response{StatusCode: c.status, Header: http.Header{}}
		if c.notStarted {
			head.Header.Set(HeaderNotStarted, "1")
		}
		if c.stream {
			head.Header.Set("Content-Type", "text/event-stream")
		}
		codec := NewCodec(nil)
		prefill, decode := codec.ClassifyResponse(head, false), codec.ClassifyResponse(head, true)
		if prefill != c.prefill || decode != c.decode {
			t.Errorf("%+v: prefill %v, decode %v", c, prefill, decode)
		}
	}
}

func FuzzEngineResponses(f *testing.F) {
	f.Add(`{"cached_tokens":4096}`, "TEXT x0=1, x1=2")
	f.Fuzz(func(t *testing.T, body, load string) {
		codec := NewCodec([]string{"x0"})
		if _, cachedTokens, err := codec.ParseReservation([]byte(body)); err == nil && cachedTokens < 0 {
			t.Fatal(cachedTokens)
		}
		report := codec.ParseLoadReport(&http.Response{Header: http.Header{HeaderLoadReport: {load}}}, []byte(body))
		if report == nil {
			return
		}
		for _, value := range []float64{report.MemoryShare, report.QueuedWork, report.RecentLatency.Seconds() * 1e3} {
			if !(value >= 0 && value <= maxReportValue) {
				t.Fatal(value)
			}
		}
	})
}
