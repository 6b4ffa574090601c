package modelcheck

import (
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/router"
)

// provesNotRun reports whether a verdict says that the attempt did not run.
func provesNotRun(verdict router.Verdict) bool {
	return verdict == router.VerdictFull || verdict == router.VerdictNotConnected || verdict == router.VerdictNotSent
}

// horizon is when everything must have ended: the client's timeout, a stall, six releases, and as much again.
const horizon = 3 * time.Second

// maxLostReleases is how many lost releases excuse a reservation that is still held.
const maxLostReleases = 2

// checkAttempt checks an attempt as its first byte is sent.
func (s *simulation) checkAttempt(r *engineRequest) {
	c := s.clientOf(r.requestID)
	engine := r.connection.core.Engine
	if c == nil {
		s.violated.add("P6 an attempt of a request that no client sent")
		return
	}
	if n := s.attemptsInFlight(r.requestID); n > 0 {
		s.violated.add("P2 %s is sent to %s while %d attempts are in flight", r.requestID, engine, n)
	}
	if c.endedAt > 0 {
		s.violated.add("P6 %s is sent to %s after it was %s", r.requestID, engine, c.outcome)
	}
	if c.mayNotRepeat() && r.kind == DecodeRequest {
		s.violated.add("P3 %s is non-retriable, may have run, and is sent to %s", r.requestID, engine)
	}
	if at, ok := s.drainNotifiedAt[engine]; ok && s.now-at > int64(drainGrace) {
		s.violated.add("P7 %s is sent to %s %v after the router was told of its drain", r.requestID, engine, time.Duration(s.now-at))
	}
	if s.inFleet {
		s.noteColdAttempt(engine)
	}
	s.reservations.restartIdleTime(r.requestID, s.now)
}

// noteColdAttempt counts an attempt to an engine that has restarted.
func (s *simulation) noteColdAttempt(engine string) {
	for _, e := range s.endpoints.Entries {
		if e.ID == engine && e.StartedAtMs > 0 {
			s.coldAttempts = append(s.coldAttempts, coldAttempt{engine, s.now, e.StartedAtMs * 1e6})
		}
	}
}

// mayNotRepeat reports whether the request may have run and must not run twice.
func (c *simulatedClient) mayNotRepeat() bool {
	return c.possibleRuns > 0 && c.effect == config.EffectNonRetriable
}

// overdue is how long after the client's timeout it is; negative before.
func (c *simulatedClient) overdue() time.Duration {
	return time.Duration(c.simulation.now - c.sentAt - int64(clientTimeout))
}

// checkOutcome checks a final response as it arrives.
func (s *simulation) checkOutcome(c *simulatedClient) {
	if c.outcome == outcomeCompleted && !c.decodeFinished {
		s.violated.add("P11 %s is completed, and no decode engine has sent its last event", c.requestID)
	}
	cannotHaveRun := c.possibleRuns == 0 && s.attemptsInFlight(c.requestID) == 0 && c.effect == config.EffectNonRetriable
	early := c.overdue() < -timeoutMarginTicks*tick
	if c.outcome == outcomeErrored && early && cannotHaveRun && !c.isStreaming() {
		s.violated.add("P11 %s is errored before its timeout, and cannot have run", c.requestID)
	}
	if c.outcome == outcomeShed && c.mayNotRepeat() {
		s.violated.add("P3 %s is non-retriable, may have run, and is shed", c.requestID)
	}
	if !c.isStreaming() && c.overdue() > 0 {
		s.violated.add("P4 client %d is %s %v after its timeout", c.number, c.outcome, c.overdue())
	}
}

// checkState checks a state after an event.
func (s *simulation) checkState() {
	if s.elapsed() > horizon && !s.isQuiescent() {
		s.violated.add("P10 after %v something is still held, open or awaited", horizon)
	}
	for _, c := range s.clients {
		if c.isWaiting() && c.overdue() > 0 && !c.isStreaming() {
			s.violated.add("P4 client %d has no response %v after its timeout", c.number, c.overdue())
		}
	}
	for _, c := range s.clients {
		if c.outcome == outcomeLeft && s.attemptsInFlight(c.requestID) > 0 {
			s.violated.add("P6 an attempt of %s is still in flight after its client disconnected", c.requestID)
		}
	}
	for _, open := range s.core.OpenAttempts() {
		if !open.Ended { // an attempt whose connection is being dialed is in flight too
			s.reservations.restartIdleTime(open.Request, s.now)
		}
	}
	s.checkReservations()
	s.checkVerdicts()
}

func (s *simulation) checkReservations() {
	for _, h := range s.reservations.held {
		idle := time.Duration(s.now - h.idleSince)
		// A release in flight counts as released: the network, not the router, delays it.
		if h.lostReleases < maxLostReleases && s.attemptsInFlight(h.requestID) == 0 && !s.releaseInFlight(h) && idle > reservationLimit {
			s.violated.add("P5 %s holds the reservation of %s for %v with no attempt in flight", h.engine, h.requestID, idle)
		}
	}
}

// checkVerdicts compares what the router concluded about ended attempts with what engines did.
func (s *simulation) checkVerdicts() {
	for _, open := range s.core.OpenAttempts() {
		c := s.clientOf(open.Request)
		if c == nil || !open.Ended || !open.Decode {
			continue
		}
		if (open.Verdict == router.VerdictEngineError || open.Verdict == router.VerdictConnectionLost) && c.possibleRuns == 0 {
			s.violated.add("P11 %s: %s at %s, yet it cannot have run", open.Request, open.Verdict, open.Engine)
		}
		if provesNotRun(open.Verdict) && c.possibleRuns > 0 && s.attemptsThatMayHaveRun(open.Request) == 0 {
			s.violated.add("P11 %s: %s at %s, yet it may have run", open.Request, open.Verdict, open.Engine)
		}
	}
}

// attemptsThatMayHaveRun counts the decode attempts that the router counts as perhaps run, or as in flight.
func (s *simulation) attemptsThatMayHaveRun(requestID string) (count int) {
	for _, open := range s.core.OpenAttempts() {
		if open.Request == requestID && open.Decode && !(open.Ended && provesNotRun(open.Verdict)) {
			count++
		}
	}
	return count
}

func (s *simulation) releaseInFlight(h heldReservation) bool {
	for _, c := range s.connections {
		if !c.closed && c.request != nil && c.request.kind == ReleaseRequest && h.belongsTo(c.request) {
			return true
		}
	}
	return false
}

// checkTerminal checks a state in which nothing can happen any more.
func (s *simulation) checkTerminal() {
	for _, c := range s.clients {
		if c.outcome == "" {
			s.violated.add("P10 client %d waits forever", c.number)
		}
	}
	h := s.core.InFlight()
	if h.Requests+h.ControlRequests+h.Reservations > 0 || s.core.BusyConnections() > 0 {
		s.violated.add("P9 at the end the router holds %d requests, %d control requests, %d reservations, %d busy connections", h.Requests,
			h.ControlRequests, h.Reservations, s.core.BusyConnections())
	}
}
