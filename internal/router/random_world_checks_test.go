package router_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"
)

// Reservations may be kept for 300 ms longer than the settings say, and answers may be half a second late.
const (
	reservationSlack = 300 * time.Millisecond
	responseSlack    = 500 * time.Millisecond
)

// checkAttempt checks the invariants of an attempt that an engine receives: its client waits for it, its engine does not drain,
// and none before it may have run where it must not run twice.
func (w *world) checkAttempt(c *simulatedClient, p *postedAttempt) {
	if c.disconnected || c.respondedAt > 0 {
		w.t.Fatalf("%s: an attempt after its client had disconnected (%v) or been answered (%v)", c.name, c.disconnected, c.respondedAt > 0)
	}
	if notifiedAt := w.drainNotifiedAt[p.engine]; notifiedAt > 0 && w.now-notifiedAt > int64(w.deployment.Rules.DrainGrace) {
		w.t.Fatalf("%s: an attempt at %s %v after its drain was published", c.name, p.engine, time.Duration(w.now-notifiedAt))
	}
	for _, prior := range c.attempts {
		if prior.inFlight && !prior.cancelled {
			w.t.Fatalf("%s: a second attempt while one is in flight at %s", c.name, prior.engine)
		}
		if prior.prefill || prior.neverRan || c.route.Effect == "retriable" {
			continue
		}
		inWindow := c.route.Effect == "deduped" && w.now-prior.receivedAt < int64(c.route.DedupWindow)
		known := inWindow && (p.prefill || c.route.DedupGroup == "all" ||
			c.route.DedupGroup == "zone" && w.endpoints[p.engine].Zone == w.endpoints[prior.engine].Zone ||
			c.route.DedupGroup == "cell" && w.endpoints[p.engine].Cell == w.endpoints[prior.engine].Cell)
		if !known {
			w.t.Fatalf("%s (%s, %s, %v): an attempt at %s, and one may have run at %s %v before", c.name, c.route.Effect,
				c.route.DedupGroup, c.route.DedupWindow, p.engine, prior.engine, time.Duration(w.now-prior.receivedAt))
		}
	}
}

// checkReservations checks the answers so far, and that no reservation is kept for too long.
func (w *world) checkReservations() {
	for _, c := range w.clients {
		w.checkResponse(c)
	}
	if !w.anyReachable() {
		w.reservations = nil // no release could reach an engine: such reservations are the engines' to drop
	}
	for _, h := range w.reservations {
		if slices.ContainsFunc(h.client.attempts, func(p *postedAttempt) bool { return p.inFlight }) {
			h.attemptInFlightAt = w.now
		}
		if w.now-h.attemptInFlightAt > int64(w.deployment.Rules.ReservationLimit+reservationSlack) {
			w.t.Fatalf("%s is reserved at %s for %v", h.client.name, h.engine, time.Duration(w.now-h.attemptInFlightAt))
		}
	}
}

// anyReachable is whether an engine of the list can be reached.
func (w *world) anyReachable() bool {
	for id, e := range w.endpoints {
		if e.State != "" && !w.unreachable[id] {
			return true
		}
	}
	return false
}

// checkResponse checks that a client has an answer in time, and none that says that a retry is safe where it is not.
func (w *world) checkResponse(c *simulatedClient) {
	if c.respondedAt > 0 || c.disconnected {
		return
	}
	if c.out.Len() == 0 {
		if w.now > c.deadline+int64(responseSlack) {
			w.t.Fatalf("%s: no answer %v after its deadline", c.name, time.Duration(w.now-c.deadline))
		}
		return
	}
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.out.Bytes())), nil)
	if err != nil {
		w.t.Fatalf("%s: %v: %q", c.name, err, c.out.Bytes())
	}
	c.respondedAt = w.now
	shed := r.StatusCode == http.StatusServiceUnavailable || r.StatusCode == http.StatusTooManyRequests
	repeatable := c.route.Effect == "retriable" || c.route.Effect == "deduped" && c.route.DedupGroup == "all"
	ran := c.resumed || slices.ContainsFunc(c.attempts, func(p *postedAttempt) bool { return !p.prefill && !p.neverRan })
	if shed && ran && !repeatable {
		w.t.Fatalf("%s (%s): shed, though it may have run", c.name, c.route.Effect)
	}
}

// checkFinalState checks a world in which nothing is in flight any more: each client has one complete answer, and nothing
// behind it.
func (w *world) checkFinalState() {
	for _, c := range w.clients {
		if c.disconnected {
			continue
		}
		in := bufio.NewReader(&c.out)
		r, err := http.ReadResponse(in, nil)
		if err != nil {
			w.t.Fatalf("%s: %v", c.name, err)
		}
		_, err = io.ReadAll(r.Body)
		if err != nil && !c.closed {
			w.t.Fatalf("%s: an incomplete stream on a connection that stays open: %v", c.name, err)
		}
		if rest, _ := io.ReadAll(in); len(rest) > 0 {
			w.t.Fatalf("%s: %q after the answer", c.name, rest)
		}
	}
	if h := w.core.InFlight(); h.Requests > 0 || h.ControlRequests > 0 || len(w.reservations) > 0 {
		w.t.Fatalf("at the end the router has %+v in flight, engines have %d reservations", h, len(w.reservations))
	}
}
