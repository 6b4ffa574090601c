package router_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
)

// Found by rolling restarts with engines that hang: a reservation was kept past its limit, as its prefill engine hung and was
// sent six releases. Any engine handles a release, so one that answers gets it too.
func TestReservationOfAHungPrefillEngineIsReleasedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2") // one of the decode engines has answered before, the other never
	client, _ := b.request("a1", "alert")
	b.answerPrefill(b.connect())
	b.answerFull(b.connect())
	b.do(func() { b.core.ClientDisconnected(client) })
	for range 700 { // well under the reservation limit of a second
		b.advance(time.Millisecond)
		for len(b.dials) > 0 {
			b.connect()
		}
	}
	releases := map[string]int{}
	for _, s := range b.engineSockets {
		releases[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if releases["r"] == 0 || releases["w"] == 0 || releases["w2"] == 0 {
		t.Errorf("releases by engine: %v", releases)
	}
}

// A router must not shut down between two releases of a reservation: the second counts as in flight.
func TestPendingReleaseRetryCountsAsInFlight(t *testing.T) {
	b := newTestbed(t)
	client, _ := b.request("a1", "alert")
	s := b.connect()
	b.answerPrefill(s)
	b.do(func() {
		b.core.ClientDisconnected(client)
		b.core.EngineDisconnected(s.conn) // the release went out on the connection of the prefill
	})
	if n := b.core.InFlight().ControlRequests; n == 0 {
		t.Error("nothing is in flight while a release waits for its retry")
	}
}

// releases counts the releases that were written for a request, to any engine. All dials succeed.
func (b *testbed) countReleases(name string) (n int) {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.engineSockets {
		n += strings.Count(s.written.String(), "DELETE /v1/holds/"+name+" ")
	}
	return n
}

// testbedWithDecodeInFlight is one with a request whose decode has been written and not answered.
func testbedWithDecodeInFlight(t *testing.T, route string) (*testbed, *router.ClientConnection, *fakeEngineSocket) {
	b := newTestbed(t)
	c, _ := b.request("a1", route)
	b.answerPrefill(b.connect())
	return b, c, b.connect()
}

// An engine releases a reservation that no attempt waits for. A release that is written right after the close of an attempt's
// connection may arrive before the close is seen, and has no effect then: it is repeated.
func TestReleaseIsRepeatedAfterACancelledAttempt(t *testing.T) {
	b, client, _ := testbedWithDecodeInFlight(t, "chat")
	b.do(func() { b.core.ClientDisconnected(client) })
	for range 20 { // each answered
		b.countReleases("a1")
		for _, s := range b.engineSockets {
			if strings.Contains(s.written.String(), "DELETE") && !s.closed {
				b.respond(s, 204, nil, "")
			}
		}
		b.advance(5 * time.Millisecond)
	}
	early := b.countReleases("a1")
	b.advance(600 * time.Millisecond)
	if again := b.countReleases("a1"); early == 0 || again <= early {
		t.Errorf("%d releases at first, %d after 0.7 s", early, again)
	}
	if inFlight := b.core.InFlight(); inFlight.Reservations != 1 || inFlight.OldestReservation < 600*time.Millisecond {
		t.Errorf("in flight: %+v", inFlight)
	}
}

// What is written to a machine that is partitioned, or whose process does not run, never arrives. Its reservation must be
// released in time all the same, and once more if the attempt is rejected later without having claimed it.
func TestReservationBehindAnUndeliveredAttemptIsReleased(t *testing.T) {
	b, _, decode := testbedWithDecodeInFlight(t, "alert")
	b.advance(time.Second)
	early := b.countReleases("a1")
	if early == 0 {
		t.Error("no release within the limit")
	}
	b.answerFull(decode)
	b.advance(10 * time.Millisecond)
	if again := b.countReleases("a1"); again <= early {
		t.Errorf("%d releases before the decode engine rejects, %d after", early, again)
	}
}

// A reservation ages from when its prefill ended, not from when a delayed process handles that.
func TestReservationReportedLateIsReleasedInTime(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r") // no decode engine is there
	b.request("a1", "alert")
	s := b.connect()
	b.advance(700 * time.Millisecond)
	b.core.SetEarliestEventTime(b.now - int64(600*time.Millisecond))
	b.answerPrefill(s)
	b.advance(200 * time.Millisecond)
	if b.countReleases("a1") == 0 {
		t.Error("a reservation of 0.8 s is not released")
	}
}

// Reservations of open requests are released when the policy panics, whatever the requests wait for.
func TestReservationsAreReleasedWhenThePolicyPanics(t *testing.T) {
	for _, at := range []string{"prefill", "reserved", "decode"} {
		b := newTestbed(t)
		b.mayPanic = true
		if at == "reserved" {
			b.setEndpoints("r") // no decode engine is there
		}
		b.request("a1", "alert")
		s := b.connect()
		if at != "prefill" {
			b.answerPrefill(s)
		}
		if at == "decode" {
			b.connect()
		}
		b.panicNext = true
		b.setEndpoints("r", "w")
		b.advance(600 * time.Millisecond)
		if n := b.countReleases("a1"); n == 0 || b.core.InFlight().Requests != 0 {
			t.Errorf("%s: %d releases, %+v", at, n, b.core.InFlight())
		}
	}
}

// unacknowledged are answers to a release that are no acknowledgement.
var unacknowledged = map[string]func(b *testbed, s *fakeEngineSocket){
	"404": func(b *testbed, s *fakeEngineSocket) { b.respond(s, 404, nil, "") },
	"500": func(b *testbed, s *fakeEngineSocket) { b.respond(s, 500, nil, "") },
	"invalid": func(b *testbed, s *fakeEngineSocket) {
		b.do(func() { b.core.ResponseInvalid(s.conn, io.ErrUnexpectedEOF) })
	},
	"partial": func(b *testbed, s *fakeEngineSocket) {
		b.do(func() { b.core.ResponseHead(s.conn, responseHead(204, nil), nil); b.core.EngineDisconnected(s.conn) })
	},
	"nothing": func(*testbed, *fakeEngineSocket) {},
	"a reset": func(b *testbed, s *fakeEngineSocket) { b.do(func() { b.core.EngineDisconnected(s.conn) }) },
}

// A release that is answered with anything but an acknowledgement goes to other engines, and is abandoned in the end.
func TestUnacknowledgedReleasesAreAbandoned(t *testing.T) {
	for name, answer := range unacknowledged {
		b, client, _ := testbedWithDecodeInFlight(t, "chat")
		b.expectedViolation = invariant.ReservedTooLong
		b.setEndpoints("r", "w", "w2")
		b.do(func() { b.core.ClientDisconnected(client) })
		answered, engines := map[*fakeEngineSocket]int{}, map[string]bool{}
		for range 3000 { // 15 seconds
			b.countReleases("a1")
			for _, s := range b.engineSockets {
				if n := strings.Count(s.written.String(), "DELETE"); n > answered[s] && !s.closed {
					answered[s] = n
					engines[s.conn.Engine] = true
					answer(b, s)
				}
			}
			b.advance(5 * time.Millisecond)
		}
		if n := b.countReleases("a1"); n < 10 || n > 100 || len(engines) != 3 || b.core.InFlight().Reservations != 0 {
			t.Errorf("%s: %d releases to %d engines, %+v", name, n, len(engines), b.core.InFlight())
		}
	}
}

// One engine that hangs must not delay a release: it goes to two engines at once where connections are open.
func TestReleaseGoesToTwoEnginesInParallel(t *testing.T) {
	b, client, decode := testbedWithDecodeInFlight(t, "chat")
	b.answerFull(decode)
	b.advance(25 * time.Millisecond) // its connection is idle now, as that of the prefill engine is
	b.do(func() { b.core.ClientDisconnected(client) })
	releases := map[string]int{}
	for _, s := range b.engineSockets {
		releases[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if releases["r"] != 1 || releases["w"] != 1 {
		t.Errorf("releases at once: %v", releases)
	}
}

// All engines are unreachable for some seconds, as when the router's own network is partitioned: reservations are released
// once connections come up again, after outages of the length that scenarios have.
func TestReleaseAfterALongOutage(t *testing.T) {
	b, client, _ := testbedWithDecodeInFlight(t, "chat")
	b.expectedViolation = invariant.ReservedTooLong
	b.do(func() { b.core.ClientDisconnected(client) })
	for outageEnd := b.now + int64(8*time.Second); b.now < outageEnd; b.advance(5 * time.Millisecond) {
		for len(b.dials) > 0 {
			conn := b.dials[0]
			b.dials = b.dials[1:]
			b.do(func() { b.core.EngineConnected(conn, nil, errors.New("unreachable")) })
		}
	}
	before := b.countReleases("a1")
	b.advance(time.Second)
	for len(b.dials) > 0 {
		b.connect()
	}
	if b.countReleases("a1") == before {
		t.Error("no release is sent when connections come up again after 8 s")
	}
}
