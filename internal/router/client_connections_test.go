package router_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/router"
)

// Connections that must be closed at the same time are closed in the order of their IDs; the iteration order of a map would
// differ from run to run.
func TestFlushedConnectionsAreClosedInOrder(t *testing.T) {
	b := newTestbed(t)
	var want []int64
	for id := range int64(20) {
		client := &router.ClientConnection{ID: id, Socket: &fakeClientSocket{}}
		b.core.SetTime(b.now)
		b.core.ClientOpened(client)
		b.core.RejectMessage(client, io.ErrUnexpectedEOF)
		want = append(want, id)
	}
	b.advance(time.Second)
	if !slices.Equal(b.closedClients, want) {
		t.Errorf("closed in the order %v, want %v", b.closedClients, want)
	}
}

// Connections over the limit, and connections whose partial requests are too large, get an answer, since a request may be
// in transit on them.
func TestExcessConnectionsAreAnswered(t *testing.T) {
	b := newTestbed(t)
	var last *fakeClientSocket
	for i := range 600 { // The limit of connections is 46 % of 1,024 descriptors.
		_, last = b.request(fmt.Sprint("a", i), "chat")
	}
	if statuses := responseStatuses(t, last); len(statuses) != 1 || statuses[0] != http.StatusServiceUnavailable {
		t.Errorf("answers on a connection over the limit: %v", statuses)
	}
	b = newTestbed(t)
	out := &fakeClientSocket{}
	client := &router.ClientConnection{ID: 1 << 40, Socket: out}
	b.do(func() {
		b.core.ClientOpened(client)
		b.core.ReceivePartial(client, admission.HeaderComplete, 64<<20)
	})
	if statuses := responseStatuses(t, out); len(statuses) != 1 || statuses[0] != http.StatusServiceUnavailable {
		t.Errorf("answers to a partial request with more bytes than the limit: %v", statuses)
	}
}
