package router_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/invariant"
	"sandcourse/internal/router"
)

// Rolling restarts with engines that hang showed a reservation that was kept past its limit: all six releases were sent to
// its prefill engine, which hung. Any engine handles a release, so the release is also sent to engines that respond.
func TestReservationOfAHungPrefillEngineIsReleasedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r", "w", "w2") // The engine w responds before the release, w2 never does.
	client, _ := b.request("a1", "alert")
	b.answerPrefill(b.connect())
	b.answerFull(b.connect())
	b.do(func() { b.core.ClientDisconnected(client) })
	for range 700 { // The time is well under the reservation limit of a second.
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
		t.Errorf("releases by engine: %v, want some at each of r, w and w2", releases)
	}
}

// A router must not shut down between two releases of a reservation: a pending second release counts as in flight.
func TestPendingReleaseRetryCountsAsInFlight(t *testing.T) {
	b := newTestbed(t)
	client, _ := b.request("a1", "alert")
	s := b.connect()
	b.answerPrefill(s)
	b.do(func() {
		b.core.ClientDisconnected(client)
		b.core.EngineDisconnected(s.conn) // The release was sent on the connection of the prefill.
	})
	if n := b.core.InFlight().ControlRequests; n == 0 {
		t.Error("no control request counts as in flight while a release waits for its retry")
	}
}

// countReleases lets all dials succeed, and counts the releases that were written for a request, to any engine.
func (b *testbed) countReleases(name string) (n int) {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.engineSockets {
		n += strings.Count(s.written.String(), "DELETE /v1/holds/"+name+" ")
	}
	return n
}

// testbedWithDecodeInFlight returns a testbed with a request whose decode was written and not answered, its client and the
// connection of the decode.
func testbedWithDecodeInFlight(t *testing.T, route string) (*testbed, *router.ClientConnection, *fakeEngineSocket) {
	b := newTestbed(t)
	c, _ := b.request("a1", route)
	b.answerPrefill(b.connect())
	return b, c, b.connect()
}

// An engine releases a reservation only if no attempt waits for it. A release that is written right after the close of an
// attempt's connection may arrive before the engine notices the close, and then has no effect. The release must be
// repeated.
func TestReleaseIsRepeatedAfterACancelledAttempt(t *testing.T) {
	b, client, _ := testbedWithDecodeInFlight(t, "chat")
	b.do(func() { b.core.ClientDisconnected(client) })
	for range 20 { // Each release is acknowledged.
		b.countReleases("a1")
		for _, s := range b.engineSockets {
			if strings.Contains(s.written.String(), "DELETE") && !s.closed {
				b.respond(s, 204, nil, "")
			}
		}
		b.advance(5 * time.Millisecond)
	}
	initialCount := b.countReleases("a1")
	b.advance(600 * time.Millisecond)
	if countAfterWait := b.countReleases("a1"); initialCount == 0 || countAfterWait <= initialCount {
		t.Errorf("%d releases at first, %d in all after 0.7 s, want more", initialCount, countAfterWait)
	}
	if inFlight := b.core.InFlight(); inFlight.Reservations != 1 || inFlight.OldestReservation < 600*time.Millisecond {
		t.Errorf("in flight: %+v, want one reservation that is at least 0.6 s old", inFlight)
	}
}

// A request to a machine that is partitioned, or whose process does not run, never arrives. The reservation must still be
// released in time, and again if the attempt is rejected later without having claimed it.
func TestReservationBehindAnUndeliveredAttemptIsReleased(t *testing.T) {
	b, _, decode := testbedWithDecodeInFlight(t, "alert")
	b.advance(time.Second)
	initialCount := b.countReleases("a1")
	if initialCount == 0 {
		t.Error("no release within the limit")
	}
	b.answerFull(decode)
	b.advance(10 * time.Millisecond)
	if countAfterRejection := b.countReleases("a1"); countAfterRejection <= initialCount {
		t.Errorf("%d releases before the decode engine rejects, %d after", initialCount, countAfterRejection)
	}
}

// The age of a reservation counts from the end of its prefill, not from when a delayed process handles the response.
func TestReservationReportedLateIsReleasedInTime(t *testing.T) {
	b := newTestbed(t)
	b.setEndpoints("r") // No decode engine is listed.
	b.request("a1", "alert")
	s := b.connect()
	b.advance(700 * time.Millisecond)
	b.core.SetEarliestEventTime(b.now - int64(600*time.Millisecond))
	b.answerPrefill(s)
	b.advance(200 * time.Millisecond)
	if b.countReleases("a1") == 0 {
		t.Error("a reservation is not released after 0.8 s")
	}
}

// Reservations of open requests are released when the policy panics, in whichever phase the requests are.
func TestReservationsAreReleasedWhenThePolicyPanics(t *testing.T) {
	for _, at := range []string{"prefill", "reserved", "decode"} {
		b := newTestbed(t)
		b.mayPanic = true
		if at == "reserved" {
			b.setEndpoints("r") // No decode engine is listed.
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
			t.Errorf("policy panicked in phase %s: %d releases, in flight: %+v", at, n, b.core.InFlight())
		}
	}
}

// unacknowledged holds the responses to a release that do not acknowledge it.
var unacknowledged = map[string]func(b *testbed, s *fakeEngineSocket){
	"404": func(b *testbed, s *fakeEngineSocket) { b.respond(s, 404, nil, "") },
	"500": func(b *testbed, s *fakeEngineSocket) { b.respond(s, 500, nil, "") },
	"invalid": func(b *testbed, s *fakeEngineSocket) {
		b.do(func() { b.core.ResponseInvalid(s.conn, io.ErrUnexpectedEOF) })
	},
	"partial": func(b *testbed, s *fakeEngineSocket) {
		b.do(func() { b.core.ResponseHead(s.conn, responseHead(204, nil), nil); b.core.EngineDisconnected(s.conn) })
	},
	"no answer": func(*testbed, *fakeEngineSocket) {},
	"reset":     func(b *testbed, s *fakeEngineSocket) { b.do(func() { b.core.EngineDisconnected(s.conn) }) },
}

// A release without an acknowledgement is sent to other engines, and abandoned after some time.
func TestUnacknowledgedReleasesAreAbandoned(t *testing.T) {
	for name, answer := range unacknowledged {
		b, client, _ := testbedWithDecodeInFlight(t, "chat")
		b.expectedViolation = invariant.ReservedTooLong
		b.setEndpoints("r", "w", "w2")
		b.do(func() { b.core.ClientDisconnected(client) })
		answered, engines := map[*fakeEngineSocket]int{}, map[string]bool{}
		for range 3000 { // The steps take 15 seconds.
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
			t.Errorf("%s: %d releases to %d engines, in flight: %+v", name, n, len(engines), b.core.InFlight())
		}
	}
}

// One engine that hangs must not delay a release: the release is sent to two engines at once if connections are open.
func TestReleaseGoesToTwoEnginesInParallel(t *testing.T) {
	b, client, decode := testbedWithDecodeInFlight(t, "chat")
	b.answerFull(decode)
	b.advance(25 * time.Millisecond) // The connections of the decode and prefill engines are idle now.
	b.do(func() { b.core.ClientDisconnected(client) })
	releases := map[string]int{}
	for _, s := range b.engineSockets {
		releases[s.conn.Engine] += strings.Count(s.written.String(), "DELETE /v1/holds/a1 ")
	}
	if releases["r"] != 1 || releases["w"] != 1 {
		t.Errorf("releases sent in parallel: %v, want one each to r and w", releases)
	}
}

// If all engines are unreachable for some seconds, as when the router's own network is partitioned, reservations are
// released once connections succeed again. The scenarios have outages of this length.
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
		t.Error("no release is sent when dials succeed again after 8 s")
	}
}

// countAllReleases counts the releases that were written so far, for any request.
func (b *testbed) countAllReleases() (n int) {
	for _, s := range b.engineSockets {
		n += strings.Count(s.written.String(), "DELETE ")
	}
	return n
}

// acknowledgeReleases lets all dials succeed and answers each release that is in flight.
func (b *testbed) acknowledgeReleases() {
	for len(b.dials) > 0 {
		b.connect()
	}
	for _, s := range b.engineSockets {
		if pending := strings.Count(s.written.String(), "DELETE ") - s.acknowledged; pending > 0 && !s.closed {
			s.acknowledged++
			b.respond(s, 204, nil, "")
		}
	}
}

// Case 6 of the second review: a node with thousands of due releases sent all of them before it looked at its input again. A turn
// sends a few, and the rest follow in later turns at the same time.
func TestDueReleasesAreSpreadOverTurns(t *testing.T) {
	const abandoned, maxReleasesInTurn = 40, 16
	b := newUnacknowledgedTestbed(t)
	for i := range abandoned {
		client, _ := b.request(fmt.Sprint("q", i), "chat")
		for len(b.dials) > 0 {
			b.connect()
		}
		b.do(func() { b.core.ClientDisconnected(client) })
	}
	for range 3 * abandoned {
		b.acknowledgeReleases()
	}
	if held := b.core.InFlight().Reservations; held != abandoned {
		t.Fatalf("%d reservations are held, want %d", held, abandoned)
	}
	b.now += int64(time.Second)
	sent, turns := b.countAllReleases(), 0
	for b.core.NextDue() <= b.now {
		b.core.RunDue(b.now)
		turns++
		if more := b.countAllReleases() - sent; more > maxReleasesInTurn {
			t.Fatalf("%d releases in turn %d, want at most %d", more, turns, maxReleasesInTurn)
		}
		sent = b.countAllReleases()
	}
	if turns < abandoned*2/maxReleasesInTurn {
		t.Errorf("%d turns", turns)
	}
}
