package router_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// Rule 2 broke once on a soak: a non-retriable was refused after it may have run. The rest of a stream that broke is
// asked for under a new name, and whatever bound refuses it, a refusal would say that a further try is harmless.
func TestResumedStreamIsNotShedAsIfItNeverRan(t *testing.T) {
	for _, at := range []struct{ route, retry, status string }{
		{"chat", "", "503"}, {"alert", "", "503"}, {"alert", "Client-Retry: 1\r\n", "503"},
		{"chat", "Client-Retry: again\r\n", "503"}, {"alert", "Client-Retry: again\r\n", "502"},
	} {
		b := newTestbed(t)
		b.core.SetTime(b.now)
		b.core.Shutdown()
		b.pass(5 * time.Second)
		_, out := b.request("a1", at.route, at.retry)
		if got := out.String(); !strings.HasPrefix(got, "HTTP/1.1 "+at.status) {
			t.Errorf("%s %q: %q", at.route, at.retry, got)
		}
	}
}

// A client whose connection broke before anything was sent on asks again, by the same name.
func TestNameOfANeverForwardedRequestIsReusable(t *testing.T) {
	b := newTestbed(t)
	c, _ := b.request("a1", "alert")
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	_, out := b.request("a1", "alert")
	if rows := responseStatuses(t, out); slices.Contains(rows, http.StatusConflict) {
		t.Error("a request of which no byte went to an engine is known by its name")
	}
	// Once it has been sent, engines know it by its name.
	b = newTestbed(t)
	c, _ = b.request("a1", "alert")
	b.connect()
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	_, out = b.request("a1", "alert")
	if rows := responseStatuses(t, out); !slices.Contains(rows, http.StatusConflict) {
		t.Errorf("answers %v: a request that was sent on is taken again by its name", rows)
	}
}

// Engines know a request by its name for as long as an attempt of it is out, however many names come meanwhile.
func TestNameOfAnOpenRequestSurvivesAFloodOfNames(t *testing.T) {
	b := newTestbed(t)
	b.request("a1", "alert")
	b.connect()
	b.core.AddNames(13_000)
	_, out := b.request("a1", "alert")
	if rows := responseStatuses(t, out); !slices.Contains(rows, http.StatusConflict) {
		t.Errorf("answers %v: the name of an open request is taken a second time", rows)
	}
}
