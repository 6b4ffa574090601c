package router_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// A soak test found a non-retriable request that was shed after it may have run. A client requests the rest of a broken
// stream under a new name; whichever limit rejects that request, a shed answer would imply that a retry is safe.
func TestResumedStreamIsNotShedAsIfItNeverRan(t *testing.T) {
	for _, at := range []struct{ route, retry, status string }{
		{"chat", "", "503"}, {"alert", "", "503"}, {"alert", "Client-Retry: 1\r\n", "503"},
		{"chat", "Client-Retry: again\r\n", "503"}, {"alert", "Client-Retry: again\r\n", "502"},
	} {
		b := newTestbed(t)
		b.core.SetTime(b.now)
		b.core.Shutdown()
		b.advance(5 * time.Second)
		_, out := b.request("a1", at.route, at.retry)
		if got := out.String(); !strings.HasPrefix(got, "HTTP/1.1 "+at.status) {
			t.Errorf("%s %q: answer %q", at.route, at.retry, got)
		}
	}
}

// A client whose connection broke before its request was forwarded may retry with the same name.
func TestNameOfANeverForwardedRequestIsReusable(t *testing.T) {
	b := newTestbed(t)
	client, _ := b.request("a1", "alert")
	b.do(func() { b.core.ClientDisconnected(client) })
	_, out := b.request("a1", "alert")
	if statuses := responseStatuses(t, out); slices.Contains(statuses, http.StatusConflict) {
		t.Error("the name of a request that was never sent to an engine is still taken")
	}
	// Once a request has been forwarded, engines know its name.
	b = newTestbed(t)
	client, _ = b.request("a1", "alert")
	b.connect()
	b.do(func() { b.core.ClientDisconnected(client) })
	_, out = b.request("a1", "alert")
	if statuses := responseStatuses(t, out); !slices.Contains(statuses, http.StatusConflict) {
		t.Errorf("answers %v: the name of a request that was forwarded is accepted again", statuses)
	}
}

// The name of a request stays known while an attempt is in flight, however many other names arrive in the meantime.
func TestNameOfAnOpenRequestSurvivesAFloodOfNames(t *testing.T) {
	b := newTestbed(t)
	b.request("a1", "alert")
	b.connect()
	b.core.AddNames(13_000)
	_, out := b.request("a1", "alert")
	if statuses := responseStatuses(t, out); !slices.Contains(statuses, http.StatusConflict) {
		t.Errorf("answers %v: the name of an open request is accepted again", statuses)
	}
}
