package router_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"
)

// Reservations may be kept for 300 ms longer than the configured limit, and answers may be half a second late.
const (
	reservationSlack = 300 * time.Millisecond
	responseSlack    = 500 * time.Millisecond
)

// checkAttempt checks the invariants of an attempt that an engine receives: the client still waits for it, the engine does
// not drain, and no earlier attempt may have run if the request must not run twice.
func (s *simulation) checkAttempt(c *simulatedClient, received *receivedAttempt) {
	if c.disconnected || c.respondedAt > 0 {
		s.t.Fatalf("%s: an attempt after the client has disconnected (%v) or been answered (%v)", c.name, c.disconnected,
			c.respondedAt > 0)
	}
	if drainNotifiedAt := s.drainNotifiedAt[received.engine]; drainNotifiedAt > 0 && s.now-drainNotifiedAt > int64(s.deployment.Rules.DrainGrace) {
		s.t.Fatalf("%s: an attempt at %s %v after its drain was published", c.name, received.engine, time.Duration(s.now-drainNotifiedAt))
	}
	for _, prior := range c.attempts {
		if prior.inFlight && !prior.cancelled {
			s.t.Fatalf("%s: a second attempt while one is in flight at %s", c.name, prior.engine)
		}
		if prior.prefill || prior.neverRan || c.route.Effect == "retriable" {
			continue
		}
		inWindow := c.route.Effect == "deduped" && s.now-prior.receivedAt < int64(c.route.DedupWindow)
		deduplicates := inWindow && (received.prefill || c.route.DedupGroup == "all" ||
			c.route.DedupGroup == "zone" && s.endpoints[received.engine].Zone == s.endpoints[prior.engine].Zone ||
			c.route.DedupGroup == "cell" && s.endpoints[received.engine].Cell == s.endpoints[prior.engine].Cell)
		if !deduplicates {
			s.t.Fatalf("%s (%s, %s, %v): an attempt at %s, although one may have run at %s %v before", c.name, c.route.Effect,
				c.route.DedupGroup, c.route.DedupWindow, received.engine, prior.engine, time.Duration(s.now-prior.receivedAt))
		}
	}
}

// checkReservations checks the answers so far, and that engines keep no reservation for too long.
func (s *simulation) checkReservations() {
	for _, c := range s.clients {
		s.checkResponse(c)
	}
	if !s.anyEngineReachable() {
		s.reservations = nil // No release can reach an engine, so engines must drop these reservations themselves.
	}
	for _, reserved := range s.reservations {
		if slices.ContainsFunc(reserved.client.attempts, func(a *receivedAttempt) bool { return a.inFlight }) {
			reserved.attemptInFlightAt = s.now
		}
		if s.now-reserved.attemptInFlightAt > int64(s.deployment.Rules.ReservationLimit+reservationSlack) {
			s.t.Fatalf("%s is reserved at %s for %v", reserved.client.name, reserved.engine,
				time.Duration(s.now-reserved.attemptInFlightAt))
		}
	}
}

// anyEngineReachable reports whether any listed engine can be reached.
func (s *simulation) anyEngineReachable() bool {
	for id, e := range s.endpoints {
		if e.State != "" && !s.unreachable[id] {
			return true
		}
	}
	return false
}

// checkResponse checks that a client is answered in time, and is not shed if its request may have run and must not run twice.
func (s *simulation) checkResponse(c *simulatedClient) {
	if c.respondedAt > 0 || c.disconnected {
		return
	}
	if c.out.Len() == 0 {
		if s.now > c.deadline+int64(responseSlack) {
			s.t.Fatalf("%s: no answer %v after its deadline", c.name, time.Duration(s.now-c.deadline))
		}
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.out.Bytes())), nil)
	if err != nil {
		s.t.Fatalf("%s: %v: %q", c.name, err, c.out.Bytes())
	}
	c.respondedAt = s.now
	shed := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	mayRunTwice := c.route.Effect == "retriable" || c.route.Effect == "deduped" && c.route.DedupGroup == "all"
	ran := c.resumed || slices.ContainsFunc(c.attempts, func(a *receivedAttempt) bool { return !a.prefill && !a.neverRan })
	if shed && ran && !mayRunTwice {
		s.t.Fatalf("%s (%s): shed, though it may have run", c.name, c.route.Effect)
	}
}

// checkFinalState checks a simulation with nothing left in flight: each client has one complete answer and no further
// output.
func (s *simulation) checkFinalState() {
	for _, c := range s.clients {
		if c.disconnected {
			continue
		}
		in := bufio.NewReader(&c.out)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			s.t.Fatalf("%s: %v", c.name, err)
		}
		_, err = io.ReadAll(r.Body)
		if err != nil && !c.closed {
			s.t.Fatalf("%s: an incomplete stream on a connection that stays open: %v", c.name, err)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			s.t.Fatalf("%s: %q after the answer", c.name, rest)
		}
	}
	if inFlight := s.core.InFlight(); inFlight.Requests > 0 || inFlight.ControlRequests > 0 || len(s.reservations) > 0 {
		s.t.Fatalf("at the end the router has %+v in flight, and engines hold %d reservations", inFlight, len(s.reservations))
	}
}
