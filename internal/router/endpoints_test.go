package router_test

import (
	"fmt"
	"sandcourse/internal/endpoint"
	"testing"
	"time"
)

// Engines that are always new must not be remembered for good.
func TestDepartedEnginesAreForgotten(t *testing.T) {
	b := newTestbed(t)
	for i := range 500 {
		b.setEndpoints("r", fmt.Sprint("w", i))
		b.pass(time.Second)
	}
	if n := b.core.KnownEngines(); n > 80 {
		t.Errorf("after 500 engines came and went, %d are remembered", n)
	}
}

// An engine is listed at another address: what is kept or dialled to the old one leads elsewhere by now.
func TestEngineAtAnotherAddress(t *testing.T) {
	move := func(b *testbed) {
		b.core.SetTime(b.now)
		b.core.UpdateEndpoints(endpoint.List{Revision: 2, Entries: []endpoint.Entry{
			{ID: "r", Address: "127.0.0.1:2", Kind: "m1", Zone: "a", Weight: 1, State: endpoint.Ready},
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.RunDue(b.now)
	}
	b := newTestbed(t)
	b.request("a1", "chat")
	kept := b.connect()
	b.answerPrefill(kept)
	move(b)
	b.request("a2", "chat")
	if n := len(advertisedTimeouts(t, kept)); n != 1 {
		t.Errorf("%d requests went to the old address on a kept connection", n-1)
	}
	b = newTestbed(t)
	b.request("a1", "chat")
	move(b)
	if dialled := b.connect(); len(advertisedTimeouts(t, dialled)) != 0 {
		t.Error("a request went to the old address on a connection that was dialled before")
	}
	b.pass(200 * time.Millisecond) // the module waits a little before another attempt
	if len(b.dials) == 0 || b.dials[0].Host != "127.0.0.1:2" {
		t.Error("the request is not sent to the new address")
	}
}

// Discovery moves to an agent that lags behind the one before: a drain that was told is not undone by an older list. Where
// the older list stays, as that of a store that was restored, it counts after some seconds.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	b := newTestbed(t)
	tell := func(revision int64, state string, started int64) {
		b.core.SetTime(b.now)
		b.core.UpdateEndpoints(endpoint.List{Revision: revision, Entries: []endpoint.Entry{
			{ID: "r", Address: "127.0.0.1:1", Kind: "m1", Zone: "a", Weight: 1, State: state, StartedAtMs: started},
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.RunDue(b.now)
	}
	sent := func() bool {
		b.request(fmt.Sprint("a", b.now), "chat")
		b.pass(50 * time.Millisecond)
		any := len(b.dials) > 0
		for len(b.dials) > 0 {
			b.connect()
		}
		return any
	}
	tell(5, endpoint.Draining, 0)
	if sent() {
		t.Error("an attempt to an engine that drains")
	}
	tell(4, endpoint.Ready, 0)
	b.pass(time.Second)
	if sent() {
		t.Error("an attempt to an engine that drains, as an older list has it ready")
	}
	b.pass(15 * time.Second)
	if !sent() {
		t.Error("no attempt 15 s after an older list, which stays")
	}
	tell(6, endpoint.Draining, 0)
	tell(7, endpoint.Ready, 0)
	if !sent() {
		t.Error("no attempt to an engine that a newer list has ready again")
	}
	gone := func(revision int64) {
		b.core.SetTime(b.now)
		b.core.UpdateEndpoints(endpoint.List{Revision: revision, Entries: []endpoint.Entry{
			{ID: "w", Address: "127.0.0.1:1", Kind: "m2", Zone: "a", Weight: 1, State: endpoint.Ready}}})
		b.core.RunDue(b.now)
	}
	begun := b.now/int64(time.Millisecond) - 1000
	tell(8, endpoint.Ready, begun)
	gone(9)
	tell(8, endpoint.Ready, begun)
	if sent() {
		t.Error("an attempt to an engine that is gone, as an older list has it")
	}
	tell(8, endpoint.Ready, b.now/int64(time.Millisecond))
	if !sent() {
		t.Error("no attempt to an engine that has started anew")
	}
}
