package router_test

import (
	"fmt"
	"io"
	"net/http"
	"sandcourse/internal/admission"
	"sandcourse/internal/router"
	"slices"
	"testing"
	"time"
)

// Connections that are due to be closed at the same time are closed in the order of their IDs: the order of a map would
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
	b.pass(time.Second)
	if !slices.Equal(b.closedClients, want) {
		t.Errorf("closed in the order %v, want %v", b.closedClients, want)
	}
}

// Where a node has all the connections that it may, and where it holds too many bytes, it says so: a request that is on
// its way on the connection is owed an answer.
func TestExcessConnectionsAreAnswered(t *testing.T) {
	b := newTestbed(t)
	var last *fakeClientSocket
	for i := range 600 { // more than 46 of a hundred of 1,024 descriptors
		_, last = b.request(fmt.Sprint("a", i), "chat")
	}
	if rows := responseStatuses(t, last); len(rows) != 1 || rows[0] != http.StatusServiceUnavailable {
		t.Errorf("one connection more than there may be: %v", rows)
	}
	b = newTestbed(t)
	out := &fakeClientSocket{}
	c := &router.ClientConnection{ID: 1 << 40, Socket: out}
	b.core.SetTime(b.now)
	b.core.ClientOpened(c)
	b.core.ReceivePartial(c, admission.HeaderComplete, 64<<20)
	b.core.RunDue(b.now)
	if rows := responseStatuses(t, out); len(rows) != 1 || rows[0] != http.StatusServiceUnavailable {
		t.Errorf("half a request with more bytes than there may be: %v", rows)
	}
}
