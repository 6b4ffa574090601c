package router_test

import (
	"fmt"
	"io"
	"net/http"
	"sandcourse/internal/admission"
	"sandcourse/internal/router"
	"testing"
	"time"
)

// A request that was read is answered, however many a client sends ahead: a fifth one closed the connection, with all
// that waited on it. What cannot be read behind them is answered last.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	for _, count := range []int{4, 6, 20, 200} {
		b := newTestbed(t)
		c, out := b.request("a0", "chat")
		for i := 1; i < count; i++ {
			b.requestOn(c, fmt.Sprint("a", i), "chat")
		}
		b.core.SetTime(b.now)
		b.core.RejectMessage(c, io.ErrUnexpectedEOF)
		b.core.RunDue(b.now)
		b.pass(20 * time.Second) // no connection to an engine comes up: each gets its error in time
		rows := responseStatuses(t, out)
		if len(rows) != count+1 || rows[count] != http.StatusBadRequest || !out.closed {
			t.Errorf("%d requests and a message that cannot be read: %v, closed %v", count, rows, out.closed)
		}
	}
}

// A client sends a request and half of a second one, and stops there. The half came while the first was served, and when
// that had its answer the connection counted as idle: for a minute, and then for good, as it could not be closed either.
func TestPartialRequestBehindAServedOne(t *testing.T) {
	for _, input := range []admission.Event{admission.HeaderStarted, admission.HeaderComplete} {
		b := newTestbed(t)
		c, out := b.request("a1", "chat")
		b.core.SetTime(b.now)
		b.core.ReceivePartial(c, input, 10)
		out.reading = true
		b.core.RunDue(b.now)
		b.untilAnswered(out)
		b.pass(3 * time.Second)
		rows := responseStatuses(t, out)
		if len(rows) != 2 || rows[1] != http.StatusRequestTimeout || !out.closed {
			t.Errorf("input %d: answers %v, closed %v; the half is owed an error within 3 s", input, rows, out.closed)
		}
	}
}

// A refused half request gives back its bytes with the answer, not when its connection has drained: half requests of other
// clients were refused meanwhile.
func TestBytesOfARejectedPartialRequestAreReturned(t *testing.T) {
	b := newTestbed(t)
	var rows []*fakeClientSocket
	for i, held := range []int{64 << 20, 1000, 1000} {
		out := &fakeClientSocket{}
		c := &router.ClientConnection{ID: int64(1<<40 + i), Socket: out}
		b.core.SetTime(b.now)
		b.core.ClientOpened(c)
		b.core.ReceivePartial(c, admission.HeaderComplete, held)
		b.core.RunDue(b.now)
		rows = append(rows, out)
	}
	var got [][]int
	for _, out := range rows {
		got = append(got, responseStatuses(t, out))
	}
	if len(got[0]) != 1 || len(got[1])+len(got[2]) > 0 {
		t.Errorf("answers %v: the largest alone is refused", got)
	}
	if bytes := b.core.InFlight().Bytes; bytes != 2000 {
		t.Errorf("%d bytes are counted, 2000 are held", bytes)
	}
}

// Who says that a request is the last on its connection is owed no answer to what comes behind it.
func TestRequestsBehindAClosingOneAreDropped(t *testing.T) {
	b := newTestbed(t)
	c, out := b.request("a1", "chat", "Connection: close\r\n")
	b.requestOn(c, "a2", "chat")
	b.untilAnswered(out)
	b.pass(2 * time.Second)
	if rows := responseStatuses(t, out); len(rows) != 1 || !out.closed {
		t.Errorf("answers %v, closed %v", rows, out.closed)
	}
}
