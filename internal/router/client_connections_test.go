package router_test

import (
	"io"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/router"
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
