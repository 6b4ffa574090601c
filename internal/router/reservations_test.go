package router_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
	"strings"
	"testing"
	"time"
)

// Found on settings of our own, rolling restarts under engines that hang: a state was held past the pin limit, as its
// reader hung and was told six times to let go of it. Any engine takes that word, so one that answers is told too.
func TestReservationOfAHungPrefillEngineIsReleasedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2") // one of the writers has answered before, the other never
	c, _ := b.request("a1", "alert")
	b.answerPrefill(b.connect())
	b.answerFull(b.connect())
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	for range 700 { // well under the pin limit of a second
		b.pass(time.Millisecond)
		for len(b.dials) > 0 {
			b.connect()
		}
	}
	told := map[string]int{}
	for _, s := range b.engines {
		told[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] == 0 || told["w"] == 0 || told["w2"] == 0 {
		t.Errorf("told to let go: %v", told)
	}
}

// A node must not end between two tries to let go of a state: whoever asks what it holds hears of the second.
func TestPendingReleaseRetryCountsAsInFlight(t *testing.T) {
	b := newTestbed(t)
	c, _ := b.request("a1", "alert")
	s := b.connect()
	b.answerPrefill(s)
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.EngineDisconnected(s.conn) // the release went out on the connection of the read
	b.core.RunDue(b.now)
	if n := b.core.InFlight().ControlRequests; n == 0 {
		t.Error("nothing is held while a release waits for its second try")
	}
}

// releases counts the releases written for a name, whichever engine they went to. Connections that are dialled come up.
func (b *testbed) releases(name string) (n int) {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.engines {
		n += strings.Count(s.written.String(), "DELETE /v1/holds/"+name+" ")
	}
	return n
}

// testbedWithDecodeInFlight is a core with an inference whose write has been sent and not answered.
func testbedWithDecodeInFlight(t *testing.T, route string) (*testbed, *router.ClientConnection, *fakeEngineSocket) {
	b := newTestbed(t)
	c, _ := b.request("a1", route)
	b.answerPrefill(b.connect())
	return b, c, b.connect()
}

// An engine lets go of what no attempt waits for. A release that is written right behind the close of an attempt's
// connection may arrive before the close is seen, and lets go of nothing then: it is sent again.
func TestReleaseIsRepeatedAfterACancelledAttempt(t *testing.T) {
	b, c, _ := testbedWithDecodeInFlight(t, "chat")
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	for range 20 { // each answered
		b.releases("a1")
		for _, s := range b.engines {
			if strings.Contains(s.written.String(), "DELETE") && !s.closed {
				b.core.ResponseHead(s.conn, &http.Response{Status: "204", StatusCode: 204, Header: http.Header{}}, nil)
				b.core.ResponseComplete(s.conn, nil, true)
			}
		}
		b.pass(5 * time.Millisecond)
	}
	early := b.releases("a1")
	b.pass(600 * time.Millisecond)
	if again := b.releases("a1"); early == 0 || again <= early {
		t.Errorf("%d releases at once, %d after 0.7 s", early, again)
	}
	if h := b.core.InFlight(); h.Reservations != 1 || h.OldestReservation < 600*time.Millisecond {
		t.Errorf("the node says that it holds %+v", h)
	}
}

// What is written to a machine that was cut off, or whose process does not run, is an attempt for the node alone. Its
// state must be released in time all the same, and once more if the attempt comes back without having taken it.
func TestReservationBehindAnUndeliveredAttemptIsReleased(t *testing.T) {
	b, _, writer := testbedWithDecodeInFlight(t, "alert")
	b.pass(time.Second)
	early := b.releases("a1")
	if early == 0 {
		t.Error("no release within the limit")
	}
	b.answerFull(writer)
	b.pass(10 * time.Millisecond)
	if again := b.releases("a1"); again <= early {
		t.Errorf("%d releases before the writer refuses, %d after", early, again)
	}
}

// The time of a state runs from when its read ended, not from when a process that was not run came to hear of it.
func TestReservationReportedLateIsReleasedInTime(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r") // no writer is there
	b.request("a1", "alert")
	s := b.connect()
	b.pass(700 * time.Millisecond)
	b.core.SetEarliestEventTime(b.now - int64(600*time.Millisecond))
	b.answerPrefill(s)
	b.pass(200 * time.Millisecond)
	if b.releases("a1") == 0 {
		t.Error("a state that was held for 0.8 s is not released")
	}
}

// What the module holds when it fails is released, whatever it waited for: a read that is out, a state, a write.
func TestReservationsAreReleasedWhenThePolicyPanics(t *testing.T) {
	for _, at := range []string{"read", "held", "write"} {
		b := newTestbed(t)
		b.mayPanic = true
		if at == "held" {
			b.setEndpoints("r") // no writer is there
		}
		b.request("a1", "alert")
		s := b.connect()
		if at != "read" {
			b.answerPrefill(s)
		}
		if at == "write" {
			b.connect()
		}
		b.panicNext = true
		b.setEndpoints("r", "w")
		b.pass(600 * time.Millisecond)
		if n := b.releases("a1"); n == 0 || b.core.InFlight().Requests != 0 {
			t.Errorf("%s: %d releases, %+v", at, n, b.core.InFlight())
		}
	}
}

// A release that is answered with anything but an acknowledgement is sent to others, and given up in the end.
func TestUnacknowledgedReleasesAreAbandoned(t *testing.T) {
	head := func(status int) *http.Response {
		return &http.Response{Status: fmt.Sprint(status), StatusCode: status, Header: http.Header{}}
	}
	for what, answer := range map[string]func(b *testbed, s *fakeEngineSocket){
		"404": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(404), nil)
			b.core.ResponseComplete(s.conn, nil, true)
		},
		"500": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(500), nil)
			b.core.ResponseComplete(s.conn, nil, true)
		},
		"noise": func(b *testbed, s *fakeEngineSocket) { b.core.ResponseInvalid(s.conn, io.ErrUnexpectedEOF) },
		"half": func(b *testbed, s *fakeEngineSocket) {
			b.core.ResponseHead(s.conn, head(204), nil)
			b.core.EngineDisconnected(s.conn)
		},
		"nothing": func(*testbed, *fakeEngineSocket) {},
		"a reset": func(b *testbed, s *fakeEngineSocket) { b.core.EngineDisconnected(s.conn) },
	} {
		b, c, _ := testbedWithDecodeInFlight(t, "chat")
		b.expectedViolation = invariant.ReservedTooLong
		b.setEndpoints("r", "w", "w2")
		b.core.SetTime(b.now)
		b.core.ClientDisconnected(c)
		b.core.RunDue(b.now)
		answered, engines := map[*fakeEngineSocket]int{}, map[string]bool{}
		for range 3000 { // 15 seconds
			b.releases("a1")
			for _, s := range b.engines {
				if n := strings.Count(s.written.String(), "DELETE"); n > answered[s] && !s.closed {
					answered[s] = n
					engines[s.conn.Engine] = true
					b.core.SetTime(b.now)
					answer(b, s)
					b.core.RunDue(b.now)
				}
			}
			b.pass(5 * time.Millisecond)
		}
		if n := b.releases("a1"); n < 10 || n > 100 || len(engines) != 3 || b.core.InFlight().Reservations != 0 {
			t.Errorf("%s: %d releases to %d engines, %+v", what, n, len(engines), b.core.InFlight())
		}
	}
}

// One engine that hangs must not cost the time of the next try: a release goes to two engines at once where connections
// are there.
func TestReleaseGoesToTwoEnginesInParallel(t *testing.T) {
	b, c, writer := testbedWithDecodeInFlight(t, "chat")
	b.answerFull(writer)
	b.pass(25 * time.Millisecond) // its connection rests now, as the reader's does
	b.core.SetTime(b.now)
	b.core.ClientDisconnected(c)
	b.core.RunDue(b.now)
	told := map[string]int{}
	for _, s := range b.engines {
		told[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if told["r"] != 1 || told["w"] != 1 {
		t.Errorf("told at once: %v", told)
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
