package router_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"sandcourse/internal/admission"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"sandcourse/internal/routing"
)

// finished answers all that is open with its writer's refusal or by its time being up.
func (b *testbed) untilAnswered(out *fakeClientSocket) {
	b.t.Helper()
	for range 100 {
		if len(responseStatuses(b.t, out)) > 0 {
			return
		}
		b.pass(100 * time.Millisecond)
	}
	b.t.Fatal("never answered")
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

// A process that is not run for a while finds requests that have waited for it: their time began when they came.
func TestDeadlineCountsTimeWaitedForTheProcess(t *testing.T) {
	b := newTestbed(t)
	looked := b.now
	b.now += int64(600 * time.Millisecond)
	b.core.SetTime(b.now)
	b.core.SetEarliestEventTime(looked)
	b.request("a1", "chat")
	if rows := advertisedTimeouts(t, b.connect()); len(rows) != 1 || rows[0] > 2400*time.Millisecond {
		t.Errorf("an engine is told %v of 3 s, 0.6 of which may have passed", rows)
	}
}

// A node may be held up for 0.15 s between its look at the clock and the arrival of what it writes. Engines forget a first
// attempt at the end of the window, so a repeat must not be written in the last of it.
func TestDedupWindowAllowsForADelayedRouter(t *testing.T) {
	for _, held := range []time.Duration{160 * time.Millisecond, 290 * time.Millisecond} {
		b := testbedAfterLostDecode(t)
		b.pass(held)
		for len(b.dials) > 0 {
			b.connect()
		}
		if n := b.countPosts(); n != 2 {
			t.Errorf("%d attempts, one of them %v into a window of 300 ms", n, held)
		}
	}
}

// A probe for which this machine had no descriptor says nothing of the engine: it counts neither as silent nor as failed.
func TestHealthCheckThatFailsLocally(t *testing.T) {
	b := newTestbed(t)
	b.healthCheck("r")
	line := b.dials[0]
	b.dials = b.dials[1:]
	b.core.SetTime(b.now)
	b.core.EngineConnected(line, nil, fmt.Errorf("%w: no descriptor", router.ErrLocal))
	b.core.RunDue(b.now)
	for _, in := range b.events {
		if p, ok := in.(routing.HealthCheckResult); ok && p.Verdict != routing.NotSent {
			t.Errorf("the module is told verdict %d of an engine that was never asked", p.Verdict)
		}
	}
	if _, out := b.request("a1", "alert"); len(responseStatuses(t, out)) > 0 || len(b.dials) != 1 {
		t.Errorf("%d connections are dialled for the next request, answers %v", len(b.dials), responseStatuses(t, out))
	}
}

// A process that was not run for longer than a client waits answers at once, and sends nothing on.
func TestRequestThatOutwaitedItsClient(t *testing.T) {
	b := newTestbed(t)
	b.expectedViolation = invariant.LateAnswer // by the process that was not run
	looked := b.now
	b.now += int64(4 * time.Second)
	b.core.SetTime(b.now)
	b.core.SetEarliestEventTime(looked)
	_, out := b.request("a1", "alert")
	b.pass(100 * time.Millisecond)
	for len(b.dials) > 0 {
		b.connect()
	}
	if rows := responseStatuses(t, out); len(rows) != 1 || b.countPosts() != 0 {
		t.Errorf("answers %v, %d attempts, for a request whose time was over when it was read", rows, b.countPosts())
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

// All engines are out of reach for some seconds, as when the node's own network is cut: what they hold is released when the
// ways are back, as long as a cut of the operators' days lasts.
func TestReleaseAfterALongOutage(t *testing.T) {
	b, c, _ := testbedWithDecodeInFlight(t, "chat")
	b.expectedViolation = invariant.ReservedTooLong
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	for cut := b.now + int64(8*time.Second); b.now < cut; b.pass(5 * time.Millisecond) {
		for len(b.dials) > 0 {
			line := b.dials[0]
			b.dials = b.dials[1:]
			b.core.SetTime(b.now)
			b.core.EngineConnected(line, nil, errors.New("no way"))
			b.core.RunDue(b.now)
		}
	}
	before := b.releases("a1")
	b.pass(time.Second)
	for len(b.dials) > 0 {
		b.connect()
	}
	if b.releases("a1") == before {
		t.Error("no release is sent when the ways are back after 8 s")
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
