package router_test

import (
	"strings"
	"testing"
	"time"

	"sandcourse/internal/invariant"
)

// The timeout that is sent to an engine is the time that remains when the request is written: after a slow dial, for a decode
// after its prefill, and for a retry. After a dial of 0.25 s an engine was once sent a timeout that was 0.25 s too long.
func TestEngineGetsRemainingTimeout(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2")
	b.request("a1", "chat")
	expect := func(situation string, s *fakeEngineSocket, left time.Duration) {
		t.Helper()
		timeouts := advertisedTimeouts(t, s)
		if n := len(timeouts); n == 0 || timeouts[n-1] > left+10*time.Millisecond || timeouts[n-1] < left-100*time.Millisecond {
			t.Errorf("%s: the engine was sent timeouts %v, want at most %v", situation, timeouts, left)
		}
	}
	b.advance(200 * time.Millisecond)
	prefill := b.connect()
	expect("after a slow dial", prefill, 2800*time.Millisecond)
	b.advance(300 * time.Millisecond)
	b.answerPrefill(prefill)
	b.advance(100 * time.Millisecond)
	decode := b.connect()
	expect("decode after its prefill", decode, 2400*time.Millisecond)
	b.advance(100 * time.Millisecond)
	b.answerFull(decode)
	b.advance(200 * time.Millisecond)
	expect("retry", b.connect(), 2100*time.Millisecond)
}

// No attempt is forwarded for a client that has disconnected: not during a dial, nor between prefill and decode, nor while
// the request waits for a decode engine. The reservation is still released.
func TestNothingIsForwardedForADisconnectedClient(t *testing.T) {
	for _, route := range []string{"chat", "alert"} {
		b := newUnacknowledgedTestbed(t)
		client, _ := b.request("a1", route)
		b.core.ClientDisconnected(client)
		b.connect()
		b.advance(3 * time.Second)
		if n := b.countAttempts(); n != 0 {
			t.Errorf("%s: %d attempts for a client that disconnected during the dial", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		client, _ = b.request("a2", route)
		s := b.connect()
		b.core.ClientDisconnected(client)
		b.answerPrefill(s)
		b.advance(3 * time.Second)
		if n := b.countAttempts(); n != 1 {
			t.Errorf("%s: %d attempts, the prefill among them, for a client that disconnected during the prefill", route, n)
		}

		b = newUnacknowledgedTestbed(t)
		b.setEndpoints("r") // No decode engine is listed.
		client, _ = b.request("a3", route)
		s = b.connect()
		b.answerPrefill(s)
		b.advance(50 * time.Millisecond)
		b.core.ClientDisconnected(client)
		b.setEndpoints("r", "w")
		b.advance(3 * time.Second)
		released := false
		for len(b.dials) > 0 {
			b.connect()
		}
		for _, s := range b.engineSockets {
			released = released || strings.Contains(s.written.String(), "DELETE /v1/holds/a3")
		}
		if n := b.countAttempts(); n != 1 || !released {
			t.Errorf("%s: %d attempts, released: %v, for a client that disconnected while its request waited", route, n, released)
		}
	}
}

// testbedAfterLostDecode returns a testbed in which a deduplicated request was written to a decode engine whose connection
// then broke.
func testbedAfterLostDecode(t *testing.T) *testbed {
	b := newTestbed(t)
	b.request("a1", "label")
	b.answerPrefill(b.connect())
	decode := b.connect()
	b.do(func() { b.core.EngineDisconnected(decode.conn) })
	return b
}

// The deduplication window of a request may pass while the connection of its second attempt is dialed, as a test with
// random settings found. The window is checked again before the first byte is written.
func TestDedupWindowExpiresWhileDialing(t *testing.T) {
	for _, after := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		b := testbedAfterLostDecode(t)
		b.advance(after)
		for len(b.dials) > 0 {
			b.connect()
		}
		want := 3 // The attempts are a prefill and two decodes, the second within the window of 300 ms.
		if after > 300*time.Millisecond {
			want = 2
		}
		if n := b.countAttempts(); n != want {
			t.Errorf("after %v: %d attempts, want %d", after, n, want)
		}
	}
}

// If the process did not run for a while, requests may have waited unread. Their timeouts count from the earliest time at
// which they may have arrived.
func TestDeadlineIncludesTimeTheProcessDidNotRun(t *testing.T) {
	b := newTestbed(t)
	lastClockRead := b.now
	b.now += int64(600 * time.Millisecond)
	b.core.SetTime(b.now)
	b.core.SetEarliestEventTime(lastClockRead)
	b.request("a1", "chat")
	if timeouts := advertisedTimeouts(t, b.connect()); len(timeouts) != 1 || timeouts[0] > 2400*time.Millisecond {
		t.Errorf("the engine was sent timeouts %v, want at most 2.4 s: 0.6 s of 3 s may have passed", timeouts)
	}
}

// A router may be delayed for 0.15 s between reading the clock and the arrival of its request. Engines forget the first
// attempt at the end of the deduplication window, so a retry must not be written in the last 0.15 s of the window.
func TestDedupWindowAllowsForADelayedRouter(t *testing.T) {
	for _, delay := range []time.Duration{160 * time.Millisecond, 290 * time.Millisecond} {
		b := testbedAfterLostDecode(t)
		b.advance(delay)
		for len(b.dials) > 0 {
			b.connect()
		}
		if n := b.countAttempts(); n != 2 {
			t.Errorf("%d attempts, want 2: the retry would be written %v into a window of 300 ms", n, delay)
		}
	}
}

// If the process did not run for longer than a client waits, the client's request is answered at once and not forwarded.
func TestRequestReadAfterItsDeadlineIsNotForwarded(t *testing.T) {
	b := newTestbed(t)
	b.expectedViolation = invariant.LateAnswer // The answer is late because the process did not run.
	lastClockRead := b.now
	b.now += int64(4 * time.Second)
	b.core.SetTime(b.now)
	b.core.SetEarliestEventTime(lastClockRead)
	_, out := b.request("a1", "alert")
	b.advance(100 * time.Millisecond)
	for len(b.dials) > 0 {
		b.connect()
	}
	if statuses := responseStatuses(t, out); len(statuses) != 1 || b.countAttempts() != 0 {
		t.Errorf("answers %v, %d attempts, for a request whose deadline had passed when it was read", statuses, b.countAttempts())
	}
}
