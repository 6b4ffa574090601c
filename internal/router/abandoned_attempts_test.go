package router_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"sandcourse/internal/router"
)

// connectAll lets all dials succeed.
func (b *testbed) connectAll() {
	for len(b.dials) > 0 {
		b.connect()
	}
}

// abandonPrefill sends a request with a long timeout and disconnects its client while the prefill runs. It returns the connection
// of the prefill.
func (b *testbed) abandonPrefill(name string) *fakeEngineSocket {
	b.t.Helper()
	b.timeout = 15 * time.Second
	client, _ := b.request(name, "chat")
	b.connectAll()
	prefill := b.socketOf(name)
	b.do(func() { b.core.ClientDisconnected(client) })
	if !prefill.sendingEnded || prefill.closed {
		b.t.Fatalf("%s: sending ended %v, closed %v, want a half-closed connection", name, prefill.sendingEnded, prefill.closed)
	}
	return prefill
}

// endByEngine lets the engine end a connection.
func (b *testbed) endByEngine(s *fakeEngineSocket) {
	s.end = router.EndedByPeer
	b.do(func() { b.core.EngineDisconnected(s.conn) })
}

// runAcknowledging lets time pass, in which dials succeed and releases are acknowledged.
func (b *testbed) runAcknowledging(d time.Duration) {
	for end := b.now + int64(d); b.now < end; {
		b.acknowledgeReleases()
		b.advance(5 * time.Millisecond)
	}
}

// Case 6 of the second review: each request of a client that had left made the node send up to a hundred releases, until the
// client's own timeout. An engine that has ended its side of the connection needs one.
func TestAbandonedRequestCostsOneRelease(t *testing.T) {
	const abandoned = 50
	b := newTestbed(t)
	for i := range abandoned {
		prefill := b.abandonPrefill(fmt.Sprint("q", i))
		b.advance(time.Millisecond)
		b.endByEngine(prefill)
		b.runAcknowledging(5 * time.Millisecond)
	}
	b.runAcknowledging(20 * time.Second)
	if releases, held := b.countAllReleases(), b.core.InFlight().Reservations; releases != abandoned || held != 0 {
		t.Errorf("%d releases for %d abandoned requests, %d reservations are held, want one release each", releases, abandoned, held)
	}
}

// A decode that is abandoned before its first token may have claimed the reservation, which is released once its engine has ended it.
func TestAbandonedDecodeCostsOneRelease(t *testing.T) {
	b, client, decode := testbedWithDecodeInFlight(t, "chat")
	b.do(func() { b.core.ClientDisconnected(client) })
	b.endByEngine(decode)
	b.runAcknowledging(10 * time.Second)
	if releases, held := b.countAllReleases(), b.core.InFlight().Reservations; releases != 1 || held != 0 {
		t.Errorf("%d releases, %d reservations are held, want one release", releases, held)
	}
}

// What proves that an engine has let go of an abandoned prefill ends the releases; anything else leaves them to be repeated until
// the client's timeout and the reservation limit have passed, as the prefill may still run.
func TestReleasesAreRepeatedWithoutProof(t *testing.T) {
	for name, c := range map[string]struct {
		engine         func(b *testbed, prefill *fakeEngineSocket)
		proven         bool
		closedByRouter bool
	}{
		"the engine ends the connection": {(*testbed).endByEngine, true, false},
		"the engine completes its response and ends the connection": {func(b *testbed, prefill *fakeEngineSocket) {
			b.answerPrefill(prefill)
			b.endByEngine(prefill)
		}, true, false},
		"a response is received and the connection stays open": {func(b *testbed, prefill *fakeEngineSocket) { b.answerPrefill(prefill) }, false, true},
		"the connection is reset": {func(b *testbed, prefill *fakeEngineSocket) {
			prefill.end = router.EndReset
			b.do(func() { b.core.EngineDisconnected(prefill.conn) })
		}, false, false},
		"the connection times out": {func(b *testbed, prefill *fakeEngineSocket) {
			b.do(func() { b.core.EngineDisconnected(prefill.conn) })
		}, false, false},
		"the response is invalid": {func(b *testbed, prefill *fakeEngineSocket) {
			b.do(func() { b.core.ResponseInvalid(prefill.conn, http.ErrBodyNotAllowed) })
		}, false, true},
		"the engine is silent": {func(*testbed, *fakeEngineSocket) {}, false, true},
	} {
		b := newTestbed(t)
		prefill := b.abandonPrefill("a1")
		c.engine(b, prefill)
		b.runAcknowledging(2 * time.Second)
		if held := b.core.InFlight().Reservations; (held == 0) != c.proven {
			t.Errorf("%s: %d reservations are held after 2 s", name, held)
		}
		if !c.proven && b.countAllReleases() < 4 {
			t.Errorf("%s: %d releases in 2 s, want one every half limit", name, b.countAllReleases())
		}
		b.runAcknowledging(15 * time.Second)
		if held := b.core.InFlight().Reservations; held != 0 {
			t.Errorf("%s: %d reservations are held after 17 s", name, held)
		}
		if prefill.closed != c.closedByRouter {
			t.Errorf("%s: closed by the router: %v", name, prefill.closed)
		}
	}
}

// A release that was sent before the engine ended the attempt proves nothing, even if it is acknowledged later.
func TestReleaseBeforeTheEndOfTheAttemptIsNotTheLast(t *testing.T) {
	b := newTestbed(t)
	prefill := b.abandonPrefill("a1")
	b.advance(2 * router.ReleaseDelay)
	b.connectAll()
	before := b.countAllReleases()
	b.endByEngine(prefill)
	b.runAcknowledging(time.Second)
	if after := b.countAllReleases(); before == 0 || after == before || b.core.InFlight().Reservations != 0 {
		t.Errorf("%d releases before the end of the attempt, %d in all, in flight %+v", before, after, b.core.InFlight())
	}
}

// A reset may come from the network, and a prefill that is nearly done may still leave a reservation: releases are repeated every half
// limit, but for three limits and not until the client's timeout of 15 s.
func TestResetBoundsTheReleasesOfAnAbandonedRequest(t *testing.T) {
	b := newTestbed(t)
	prefill := b.abandonPrefill("a1")
	prefill.end = router.EndReset
	b.do(func() { b.core.EngineDisconnected(prefill.conn) })
	b.runAcknowledging(4 * time.Second)
	if releases, held := b.countAllReleases(), b.core.InFlight().Reservations; releases < 6 || releases > 8 || held != 0 {
		t.Errorf("%d releases, %d reservations are held after four limits, want 6 to 8 releases", releases, held)
	}
}
