package router_test

import (
	"sandcourse/internal/invariant"
	"strings"
	"testing"
	"time"
)

// The time that an engine is told is what is left when it is told: where its connection was slow to come up, on the turn
// from read to write, and on a further attempt. A line that took a quarter second to come up had its engine told as much
// too much.
func TestEngineGetsRemainingTimeout(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2")
	b.request("a1", "chat")
	expect := func(what string, s *fakeEngineSocket, left time.Duration) {
		t.Helper()
		rows := advertisedTimeouts(t, s)
		if n := len(rows); n == 0 || rows[n-1] > left+10*time.Millisecond || rows[n-1] < left-100*time.Millisecond {
			t.Errorf("%s: %v told, %v left", what, rows, left)
		}
	}
	b.pass(200 * time.Millisecond)
	reader := b.connect()
	expect("a connection that came up late", reader, 2800*time.Millisecond)
	b.pass(300 * time.Millisecond)
	b.answerPrefill(reader)
	b.pass(100 * time.Millisecond)
	writer := b.connect()
	expect("the turn from read to write", writer, 2400*time.Millisecond)
	b.pass(100 * time.Millisecond)
	b.answerFull(writer)
	b.pass(200 * time.Millisecond)
	expect("a further attempt", b.connect(), 2100*time.Millisecond)
}

// A client that has gone is sent on nowhere: not while its line is dialled, nor between read and write, nor while
// it waits for a writer. Its state is let go of all the same.
func TestNothingIsForwardedForADisconnectedClient(t *testing.T) {
	for _, route := range []string{"chat", "alert"} {
		b := newUnacknowledgedTestbed(t)
		c, _ := b.request("a1", route)
		b.core.ClientDisconnected(c)
		b.connect()
		b.pass(3 * time.Second)
		if n := b.countPosts(); n != 0 {
			t.Errorf("%s: %d sends for a client that left while its line was dialled", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		c, _ = b.request("a2", route)
		s := b.connect()
		b.core.ClientDisconnected(c)
		b.answerPrefill(s)
		b.pass(3 * time.Second)
		if n := b.countPosts(); n != 1 {
			t.Errorf("%s: %d sends, the read among them, for a client that left while it was read", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		b.setEndpoints("r") // no writer is there
		c, _ = b.request("a3", route)
		s = b.connect()
		b.answerPrefill(s)
		b.pass(50 * time.Millisecond)
		b.core.ClientDisconnected(c)
		b.setEndpoints("r", "w")
		b.pass(3 * time.Second)
		released := false
		for len(b.dials) > 0 {
			b.connect()
		}
		for _, s := range b.engines {
			released = released || strings.Contains(s.written.String(), "DELETE /v1/holds/a3")
		}
		if n := b.countPosts(); n != 1 || !released {
			t.Errorf("%s: %d sends, state let go of: %v, for a client that left while it waited", route, n, released)
		}
	}
}

// testbedAfterLostDecode is a bench on which a deduplicated request was written to a writer, whose connection then broke.
func testbedAfterLostDecode(t *testing.T) *testbed {
	b := newTestbed(t)
	b.request("a1", "label")
	b.answerPrefill(b.connect())
	writer := b.connect()
	b.core.SetTime(b.now)
	b.core.EngineDisconnected(writer.conn)
	b.core.RunDue(b.now)
	return b
}

// Found by random settings: a class is deduplicated for a time, and the window passed while the connection of the second
// attempt came up. It is looked at again before the first byte.
func TestDedupWindowExpiresWhileDialing(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		b := testbedAfterLostDecode(t)
		b.pass(after)
		for len(b.dials) > 0 {
			b.connect()
		}
		want := 3 // a read and two writes, the second within the window of 300 ms
		if after > 300*time.Millisecond {
			want = 2
		}
		if n := b.countPosts(); n != want {
			t.Errorf("after %v: %d attempts, not %d", after, n, want)
		}
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
