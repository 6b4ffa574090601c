package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
)

// Engines that have left must not be remembered for good.
func TestDepartedEnginesAreForgotten(t *testing.T) {
	b := newTestbed(t)
	for i := range 500 {
		b.setEndpoints("r", fmt.Sprint("w", i))
		b.advance(time.Second)
	}
	if n := b.core.KnownEngines(); n > 80 {
		t.Errorf("after 500 engines came and went, %d are remembered", n)
	}
}

// An engine is listed at another address: connections that are kept or dialed to the old one lead elsewhere by now.
func TestEngineAtAnotherAddress(t *testing.T) {
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
		t.Errorf("%d requests went to the old address on a kept connection", n-1)
	}
	b = newTestbed(t)
	b.request("a1", "chat")
	publishMove(b)
	if dialed := b.connect(); len(advertisedTimeouts(t, dialed)) != 0 {
		t.Error("a request went to the old address on a connection that was dialed before")
	}
	b.advance(200 * time.Millisecond) // the policy waits a little before a retry
	if len(b.dials) == 0 || b.dials[0].Address != "127.0.0.1:2" {
		t.Error("the request is not forwarded to the new address")
	}
}

// entries are those of r, in a state and with a start, and of w, which is ready. With the state empty r is not listed.
func entries(state string, startedAtMs int64) []endpoint.Entry {
	list := []endpoint.Entry{{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}
	if state != "" {
		list = slices.Insert(list, 0, endpoint.Entry{ID: "r", Address: "127.0.0.1:1", Kind: "m1", Zone: "a", Weight: 1, State: state,
			StartedAtMs: startedAtMs})
	}
	return list
}

// publish hands a list to the router.
func (b *testbed) publish(revision int64, entries []endpoint.Entry) {
	b.do(func() { b.core.UpdateEndpoints(endpoint.List{Revision: revision, Entries: entries}) })
}

// forwards is whether a new request is forwarded to r.
func (b *testbed) forwardsToR() bool {
	b.request(fmt.Sprint("a", b.now), "chat")
	b.advance(50 * time.Millisecond)
	dialed := len(b.dials) > 0
	for len(b.dials) > 0 {
		b.connect()
	}
	return dialed
}

// Discovery moves to an agent that lags behind the one before: an older list does not undo a drain. Where the older list
// stays, as that of a store that was restored, it counts after some seconds.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	b := newTestbed(t)
	b.publish(5, entries(endpoint.Draining, 0))
	if b.forwardsToR() {
		t.Error("an attempt at an engine that drains")
	}
	b.publish(4, entries(endpoint.Ready, 0))
	b.advance(time.Second)
	if b.forwardsToR() {
		t.Error("an attempt at an engine that drains, as an older list has it ready")
	}
	b.advance(15 * time.Second)
	if !b.forwardsToR() {
		t.Error("no attempt 15 s after an older list, which stays")
	}
	b.publish(6, entries(endpoint.Draining, 0))
	b.publish(7, entries(endpoint.Ready, 0))
	if !b.forwardsToR() {
		t.Error("no attempt at an engine that a newer list has ready again")
	}
	startedAt := b.now/int64(time.Millisecond) - 1000
	b.publish(8, entries(endpoint.Ready, startedAt))
	b.publish(9, entries("", 0))
	b.publish(8, entries(endpoint.Ready, startedAt))
	if b.forwardsToR() {
		t.Error("an attempt at an engine that has left, as an older list has it")
	}
	b.publish(8, entries(endpoint.Ready, b.now/int64(time.Millisecond)))
	if !b.forwardsToR() {
		t.Error("no attempt at an engine that has restarted")
	}
}
