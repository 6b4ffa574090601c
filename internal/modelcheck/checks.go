package modelcheck

import (
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/router"
)

// provesNotRun reports whether a verdict means that the attempt did not run.
func provesNotRun(verdict router.Verdict) bool {
	return verdict == router.VerdictFull || verdict == router.VerdictNotConnected || verdict == router.VerdictNotSent
}

// executionTimeLimit limits the simulated duration of an execution: twice the time of the client's timeout, a stall and six
// releases.
const executionTimeLimit = 3 * time.Second

// maxLostReleases is the number of lost releases after which a reservation may be held longer than its limit.
const maxLostReleases = 2

// checkAttempt checks an attempt that the router writes to an engine.
func (s *simulation) checkAttempt(r *engineRequest) {
	c := s.clientOf(r.requestID)
	engine := r.connection.engineConnection.Engine
	if c == nil {
		s.violationLog.add("P6 attempt belongs to no client's request")
		return
	}
	if n := s.attemptsInFlight(r.requestID); n > 0 {
		s.violationLog.add("P2 %s is sent to %s while %d attempts are in flight", r.requestID, engine, n)
	}
	if c.endedAt > 0 {
		s.violationLog.add("P6 %s is sent to %s after it ended as %s", r.requestID, engine, c.outcome)
	}
	if c.mustNotRunAgain() && r.kind == DecodeRequest {
		s.violationLog.add("P3 %s is non-retriable, may have run, and is sent to %s", r.requestID, engine)
	}
	if at, ok := s.drainNotifiedAt[engine]; ok && s.now-at > int64(drainGrace) {
		s.violationLog.add("P7 %s is sent to %s %v after the router was notified of its drain", r.requestID, engine, time.Duration(s.now-at))
	}
	if s.inFleet {
		s.recordColdAttempt(engine)
	}
	s.reservations.restartIdleTime(r.requestID, s.now)
}

// recordColdAttempt records an attempt to an engine that has restarted.
func (s *simulation) recordColdAttempt(engine string) {
	for _, e := range s.endpoints.Entries {
		if e.ID == engine && e.StartedAtMs > 0 {
			s.coldAttempts = append(s.coldAttempts, coldAttempt{engine, s.now, e.StartedAtMs * 1e6})
		}
	}
}

// mustNotRunAgain reports whether the request is non-retriable and may have run.
func (c *simulatedClient) mustNotRunAgain() bool {
	return c.possibleRuns > 0 && c.effect == config.EffectNonRetriable
}

// timeSinceTimeout returns the time since the client's timeout; it is negative before the timeout.
func (c *simulatedClient) timeSinceTimeout() time.Duration {
	return time.Duration(c.simulation.now - c.sentAt - int64(clientTimeout))
}

// checkOutcome checks the final response that a client has received.
func (s *simulation) checkOutcome(c *simulatedClient) {
	if c.outcome == outcomeCompleted && !c.decodeFinished {
		s.violationLog.add("P11 %s is completed, but no decode engine has sent the last event of its stream", c.requestID)
	}
	cannotHaveRun := c.possibleRuns == 0 && s.attemptsInFlight(c.requestID) == 0 && c.effect == config.EffectNonRetriable
	early := c.timeSinceTimeout() < -timeoutMarginTicks*tick
	if c.outcome == outcomeErrored && early && cannotHaveRun && !c.isStreaming() {
		s.violationLog.add("P11 %s ends as errored before its timeout, but cannot have run", c.requestID)
	}
	if c.outcome == outcomeShed && c.mustNotRunAgain() {
		s.violationLog.add("P3 %s is non-retriable, may have run, and is shed", c.requestID)
	}
	if !c.isStreaming() && c.timeSinceTimeout() > 0 {
		s.violationLog.add("P4 client %d ends as %s %v after its timeout", c.number, c.outcome, c.timeSinceTimeout())
	}
}

// checkState checks the state after an event.
func (s *simulation) checkState() {
	if s.elapsed() > executionTimeLimit && !s.isQuiescent() {
		s.violationLog.add("P10 execution has not ended after %v: a request or reservation is still open", executionTimeLimit)
	}
	for _, c := range s.clients {
		if c.isWaiting() && c.timeSinceTimeout() > 0 && !c.isStreaming() {
			s.violationLog.add("P4 client %d has no response %v after its timeout", c.number, c.timeSinceTimeout())
		}
	}
	for _, c := range s.clients {
		if c.outcome == outcomeAbandoned && s.attemptsInFlight(c.requestID) > 0 {
			s.violationLog.add("P6 an attempt of %s is still in flight after its client disconnected", c.requestID)
		}
	}
	for _, open := range s.core.OpenAttempts() {
		if !open.Ended { // The attempts include those whose connection is being dialed.
			s.reservations.restartIdleTime(open.Request, s.now)
		}
	}
	s.checkReservations()
	s.checkVerdicts()
}

func (s *simulation) checkReservations() {
	for _, h := range s.reservations.held {
		idle := time.Duration(s.now - h.idleSince)
		// A reservation whose release is in flight counts as released: the network delays the release, not the router.
		if h.lostReleases < maxLostReleases && s.attemptsInFlight(h.requestID) == 0 && !s.releaseInFlight(h) && idle > reservationLimit {
			s.violationLog.add("P5 %s holds the reservation of %s for %v with no attempt in flight", h.engine, h.requestID, idle)
		}
	}
}

// checkVerdicts compares the router's verdicts on ended attempts with the actions of the engines.
func (s *simulation) checkVerdicts() {
	for _, open := range s.core.OpenAttempts() {
		c := s.clientOf(open.Request)
		if c == nil || !open.Ended || !open.Decode {
			continue
		}
		if (open.Verdict == router.VerdictEngineError || open.Verdict == router.VerdictConnectionLost) && c.possibleRuns == 0 {
			s.violationLog.add("P11 %s: %s at %s, but the request cannot have run", open.Request, open.Verdict, open.Engine)
		}
		if provesNotRun(open.Verdict) && c.possibleRuns > 0 && s.attemptsThatMayHaveRun(open.Request) == 0 {
			s.violationLog.add("P11 %s: %s at %s, but the request may have run", open.Request, open.Verdict, open.Engine)
		}
	}
}

// attemptsThatMayHaveRun counts the decode attempts that are in flight or that may have run by the router's verdict.
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

// checkTerminal checks a state without enabled events.
func (s *simulation) checkTerminal() {
	for _, c := range s.clients {
		if c.outcome == "" {
			s.violationLog.add("P10 client %d waits forever", c.number)
		}
	}
	inFlight := s.core.InFlight()
	if inFlight.Requests+inFlight.ControlRequests+inFlight.Reservations > 0 || s.core.BusyConnections() > 0 {
		s.violationLog.add("P9 in a terminal state the router holds %d requests, %d control requests, %d reservations, %d busy connections", inFlight.Requests,
			inFlight.ControlRequests, inFlight.Reservations, s.core.BusyConnections())
	}
}
