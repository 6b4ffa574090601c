package router_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// longestPause is a pause between two events of a running engine after which the next event has to reach the client.
	longestPause = 4700 * time.Millisecond
	// clientPatience is the time after an engine's last event within which the client's connection has to end, with the
	// 50 ms by which the platform extends each limit.
	clientPatience = 5050 * time.Millisecond
	// maxHoldUp is the longest time for which a node is held up.
	maxHoldUp  = 150 * time.Millisecond
	minRunTime = 20 * time.Millisecond // time for which a node runs between two hold-ups
	holdStep   = 5 * time.Millisecond
)

// heldUpStream plays one stream to a node that is held up again and again. Events of the engine reach the socket at once, and
// the router when the node runs.
type heldUpStream struct {
	*testbed
	t      *rapid.T
	out    *fakeClientSocket
	engine *fakeEngineSocket

	unread     int   // events that arrived and were not read yet
	heldUpTo   int64 // end of the current hold-up
	nextHoldUp int64
}

// newHeldUpStream returns a stream whose first event has been forwarded.
func newHeldUpStream(t *testing.T, rt *rapid.T) *heldUpStream {
	b := newTestbed(t)
	_, out := b.request("a1", "chat")
	b.answerPrefill(b.connect())
	s := &heldUpStream{testbed: b, t: rt, out: out, engine: b.connect()}
	b.do(func() {
		b.core.ResponseHead(s.engine.conn, responseHead(200, http.Header{"Content-Type": {"text/event-stream"}}), nil)
		b.core.StreamEvent(s.engine.conn, []byte("data: 1\n\n"))
	})
	return s
}

// run lets time pass. The node reads its clock, handles what has arrived and what is due, and may be held up before the effect.
// It returns the time at which the client's connection was closed; 0 if it is open.
func (s *heldUpStream) run(d time.Duration) (closedAt int64) {
	for end := s.now + int64(d); s.now < end; s.now += int64(holdStep) {
		if s.now < s.heldUpTo {
			continue
		}
		if s.now >= s.nextHoldUp {
			s.heldUpTo = s.now + rapid.Int64Range(0, int64(maxHoldUp)).Draw(s.t, "hold-up")
			s.nextHoldUp = s.heldUpTo + rapid.Int64Range(int64(minRunTime), int64(maxHoldUp)).Draw(s.t, "time without a hold-up")
		}
		s.runOnce(rapid.Bool().Draw(s.t, "due work first"))
		if s.out.closed {
			return max(s.now, s.heldUpTo)
		}
	}
	return 0
}

// runOnce runs the router once, before or after it has read what has arrived.
func (s *heldUpStream) runOnce(dueFirst bool) {
	s.engine.hasUnreadInput = true // The router has no proof that nothing is unread before the poller has looked.
	if dueFirst {
		s.core.RunDue(s.now)
	}
	s.core.SetTime(s.now)
	for ; s.unread > 0; s.unread-- {
		s.core.StreamEvent(s.engine.conn, []byte("data: more\n\n"))
	}
	if s.engine.confirming {
		s.engine.confirming = false
		s.core.EngineInputConfirmed(s.engine.conn)
	}
	s.core.RunDue(s.now)
}

// Case 8 of the second review: a stream was cut after 4 s of silence from an engine that went on with it, while its client
// could not ask for the rest. A client is left waiting for at most 5 s all the same, also by a node that is held up.
func TestStreamOutlivesLongPausesAndEndsInTimeAfterTheLastEvent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newHeldUpStream(t, rt)
		for range rapid.IntRange(1, 3).Draw(rt, "events") {
			pause := time.Duration(rapid.Int64Range(int64(4*time.Second), int64(longestPause)).Draw(rt, "pause"))
			if closedAt := s.run(pause / holdStep * holdStep); closedAt != 0 {
				rt.Fatalf("the stream was cut before an event that came %v after the last one", pause)
			}
			s.unread++
		}
		lastEventAt, forwarded := s.now, strings.Count(s.out.String(), "more")
		closedAt := s.run(2 * clientPatience)
		if waited := time.Duration(closedAt - lastEventAt); closedAt == 0 || waited > clientPatience {
			rt.Errorf("the client was left waiting for %v after the last event; closed: %v", waited, closedAt != 0)
		}
		if got := strings.Count(s.out.String(), "more"); got != forwarded+1 {
			rt.Errorf("%d events forwarded after the last pause, want 1", got-forwarded)
		}
	})
}

// A stream whose end has been forwarded is not checked for stalls any more.
func TestEndedStreamIsNotWatched(t *testing.T) {
	b := newTestbed(t)
	_, out := b.request("a1", "chat")
	b.answerPrefill(b.connect())
	s := b.connect()
	b.do(func() {
		b.core.ResponseHead(s.conn, responseHead(200, http.Header{"Content-Type": {"text/event-stream"}}), nil)
		b.core.StreamEvent(s.conn, []byte("data: 1\n\n"))
	})
	if n := b.core.WatchedStreams(); n != 1 {
		t.Errorf("%d streams are watched, want 1", n)
	}
	b.do(func() {
		b.core.StreamEvent(s.conn, []byte("data: [DONE]\n\n"))
		b.core.ResponseComplete(s.conn, nil, true)
	})
	if n := b.core.WatchedStreams(); n != 0 || out.closed {
		t.Errorf("%d streams are watched after the end, client closed: %v", n, out.closed)
	}
}
