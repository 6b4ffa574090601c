package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
)

// The state of engines that have left the endpoint list must not be kept forever.
func TestDepartedEnginesAreForgotten(t *testing.T) {
	b := newTestbed(t)
	for i := range 500 {
		b.setEndpoints("r", fmt.Sprint("w", i))
		b.advance(time.Second)
	}
	if n := b.core.KnownEngines(); n > 80 {
		t.Errorf("%d engines are remembered after 500 were listed and removed, want at most 80", n)
	}
}

// When an engine is listed at another address, connections that are open or dialed to the old address must not be used:
// another process may listen there.
func TestConnectionsToOldAddressAreNotUsed(t *testing.T) {
	publishMove := func(b *testbed) {
		moved := entries(endpoint.Ready, 0)
		moved[0].Address = "127.0.0.1:2"
		b.publish(2, moved)
	}
	b := newTestbed(t)
	b.request("a1", "chat")
	kept := b.connect()
	b.answerPrefill(kept)
	publishMove(b)
	b.request("a2", "chat")
	if n := len(advertisedTimeouts(t, kept)); n != 1 {
		t.Errorf("%d requests were sent to the old address on an open connection", n-1)
	}
	b = newTestbed(t)
	b.request("a1", "chat")
	publishMove(b)
	if dialed := b.connect(); len(advertisedTimeouts(t, dialed)) != 0 {
		t.Error("a request was sent to the old address on a connection that was dialed before the move")
	}
	b.advance(200 * time.Millisecond) // The policy waits a little before a retry.
	if len(b.dials) == 0 || b.dials[0].Address != "127.0.0.1:2" {
		t.Error("the request is not forwarded to the new address")
	}
}

// entries returns a list in which w is ready, and r has the given state and start time. If the state is empty, r is not
// listed.
func entries(state string, startedAtMs int64) []endpoint.Entry {
	list := []endpoint.Entry{{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}
	if state != "" {
		list = slices.Insert(list, 0, endpoint.Entry{ID: "r", Address: "127.0.0.1:1", Kind: "m1", Zone: "a", Weight: 1, State: state,
			StartedAtMs: startedAtMs})
	}
	return list
}

// publish passes a list to the router.
func (b *testbed) publish(revision int64, entries []endpoint.Entry) {
	b.do(func() { b.core.UpdateEndpoints(endpoint.List{Revision: revision, Entries: entries}) })
}

// forwardsToR reports whether a new request is forwarded to r.
func (b *testbed) forwardsToR() bool {
	b.request(fmt.Sprint("a", b.now), "chat")
	b.advance(50 * time.Millisecond)
	dialed := len(b.dials) > 0
	for len(b.dials) > 0 {
		b.connect()
	}
	return dialed
}

// When discovery moves to an agent that lags, an older list must not undo a drain. An older list that stays, as after the
// restore of a store, takes effect after some seconds.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	b := newTestbed(t)
	b.publish(5, entries(endpoint.Draining, 0))
	if b.forwardsToR() {
		t.Error("an attempt is sent to a draining engine")
	}
	b.publish(4, entries(endpoint.Ready, 0))
	b.advance(time.Second)
	if b.forwardsToR() {
		t.Error("an attempt is sent to a draining engine that an older list has as ready")
	}
	b.advance(15 * time.Second)
	if !b.forwardsToR() {
		t.Error("no attempt is sent 15 s after an older list that has the engine as ready")
	}
	b.publish(6, entries(endpoint.Draining, 0))
	b.publish(7, entries(endpoint.Ready, 0))
	if !b.forwardsToR() {
		t.Error("no attempt is sent to an engine that a newer list has as ready")
	}
	startedAt := b.now/int64(time.Millisecond) - 1000
	b.publish(8, entries(endpoint.Ready, startedAt))
	b.publish(9, entries("", 0))
	b.publish(8, entries(endpoint.Ready, startedAt))
	if b.forwardsToR() {
		t.Error("an attempt is sent to a departed engine that an older list has as ready")
	}
	b.publish(8, entries(endpoint.Ready, b.now/int64(time.Millisecond)))
	if !b.forwardsToR() {
		t.Error("no attempt is sent to an engine that has restarted")
	}
}
