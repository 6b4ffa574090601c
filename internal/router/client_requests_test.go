package router_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/router"
)

// Every request that was read is answered, however many a client pipelines: a fifth one once closed the connection, with all
// that waited on it. An invalid message behind them is answered last.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	for _, count := range []int{4, 6, 20, 200} {
		b := newTestbed(t)
		client, out := b.request("a0", "chat")
		for i := 1; i < count; i++ {
			b.requestOn(client, fmt.Sprint("a", i), "chat")
		}
		b.do(func() { b.core.RejectMessage(client, io.ErrUnexpectedEOF) })
		b.advance(20 * time.Second) // no connection to an engine comes up, and each request gets its error in time
		statuses := responseStatuses(t, out)
		if len(statuses) != count+1 || statuses[count] != http.StatusBadRequest || !out.closed {
			t.Errorf("%d requests and an invalid message: %v, closed %v", count, statuses, out.closed)
		}
	}
}

// A client sends a request and a part of a second one, and stops there. The part came while the first was served, and when
// that was answered the connection once counted as idle: for a minute, and then for good, as it could not be closed either.
func TestPartialRequestBehindAServedOne(t *testing.T) {
	for _, event := range []admission.Event{admission.HeaderStarted, admission.HeaderComplete} {
		b := newTestbed(t)
		client, out := b.request("a1", "chat")
		b.core.SetTime(b.now)
		b.core.ReceivePartial(client, event, 10)
		out.hasUnhandledRequest = true
		b.core.RunDue(b.now)
		b.waitForAnswer(out)
		b.advance(3 * time.Second)
		statuses := responseStatuses(t, out)
		if len(statuses) != 2 || statuses[1] != http.StatusRequestTimeout || !out.closed {
			t.Errorf("event %d: answers %v, closed %v; the partial request needs an error within 3 s", event, statuses, out.closed)
		}
	}
}

// The bytes of a rejected partial request are returned with the answer, not when its connection has drained: partial requests
// of other clients were once rejected meanwhile.
func TestBytesOfARejectedPartialRequestAreReturned(t *testing.T) {
	b := newTestbed(t)
	var sockets []*fakeClientSocket
	for i, bytes := range []int{64 << 20, 1000, 1000} {
		out := &fakeClientSocket{}
		client := &router.ClientConnection{ID: int64(1<<40 + i), Socket: out}
		b.do(func() {
			b.core.ClientOpened(client)
			b.core.ReceivePartial(client, admission.HeaderComplete, bytes)
		})
		sockets = append(sockets, out)
	}
	var got [][]int
	for _, out := range sockets {
		got = append(got, responseStatuses(t, out))
	}
	if len(got[0]) != 1 || len(got[1])+len(got[2]) > 0 {
		t.Errorf("answers %v: only the largest is to be rejected", got)
	}
	if buffered := b.core.InFlight().Bytes; buffered != 2000 {
		t.Errorf("%d bytes are counted, 2000 are buffered", buffered)
	}
}

// A client that says that a request is the last on its connection gets no answer to what it sends after it.
func TestRequestsBehindAClosingOneAreDropped(t *testing.T) {
	b := newTestbed(t)
	client, out := b.request("a1", "chat", "Connection: close\r\n")
	b.requestOn(client, "a2", "chat")
	b.waitForAnswer(out)
	b.advance(2 * time.Second)
	if statuses := responseStatuses(t, out); len(statuses) != 1 || !out.closed {
		t.Errorf("answers %v, closed %v", statuses, out.closed)
	}
}
