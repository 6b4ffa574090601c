package modelcheck

import (
	"strings"
	"time"
)

// Property is one thing that must hold in every state. docs/properties.md says the same in more words.
type Property struct{ Name, Text string }

// Properties are all that is checked; breaks begin with the name.
var Properties = []Property{
	{"P1", "an inference taken gets exactly one final answer, and nothing after it"},
	{"P2", "at most one send of an inference is out"},
	{"P3", "no send follows a send that may have run, if the route is non-retriable; nothing that may have run is shed"},
	{"P4", "the final answer, or the first token of a stream, comes before the client gives up"},
	{"P5", "no state is held longer than the pin limit with no send of its inference out, unless two tries to let go were lost; the module lets go before the node's last resort, but where an attempt was cut"},
	{"P6", "no send follows the final answer, and none stays out after its client left"},
	{"P7", "nothing is written to an engine later than the grace after the news of its drain"},
	{"P8", "a connection carries one thing at a time, and nothing after an unread rest"},
	{"P9", "at the end no connection is busy, no control request open, no inference remembered"},
	{"P10", "every way comes to an end: nobody waits for what will not happen"},
	{"P11", "what the module is told proves a send not run did not run"},
	{"P12", "the module never fails, and nothing is refused within the bounds"},
	{"P13", "a call is refused before it is an inference only where as many are open as the node may hold"},
	{"P14", "all nodes together send a cold engine no more than its budget"},
	{"P15", "the node's own monitor finds no rule broken where none is"},
	{"R1", "no plan lists an engine under an epoch under which it has another role"},
	{"R2", "no edge, by whatever plan it still follows, has a send taken by an engine that has another role"},
	{"R3", "no change leaves a role without an engine"},
	{"R4", "the epoch of a role never goes back"},
	{"R5", "plans only get newer, also over restarts of the planner"},
	{"R6", "nothing is asked of an engine that is not kept first"},
	{"R8", "no plan lists as ready an engine whose role is changing"},
	{"R7", "every change comes to an end: the engine serves, or is aside for what it did"},
}

// checkAttempt looks at a send as its first byte goes out.
func (s *simulation) checkAttempt(r *engineRequest) {
	c := s.clientOf(r.requestID)
	name := r.connection.core.Engine
	if c == nil {
		s.violate("P6 a send of an inference that nobody asked for")
		return
	}
	if n := s.attemptsInFlight(r.requestID); n > 0 {
		s.violate("P2 %s is sent to %s while %d sends are out", r.requestID, name, n)
	}
	if c.endedAt > 0 {
		s.violate("P6 %s is sent to %s after it was %s", r.requestID, name, c.outcome)
	}
	if c.possibleRuns > 0 && c.effect == "non-retriable" && r.kind == "write" {
		s.violate("P3 %s is non-retriable, may have run, and is sent to %s", r.requestID, name)
	}
	if told, ok := s.drainNotifiedAt[name]; ok && s.now-told > int64(drainGrace) {
		s.violate("P7 %s is sent to %s %v after the news of its drain", r.requestID, name, time.Duration(s.now-told))
	}
	if s.inFleet {
		for _, e := range s.endpoints.Entries {
			if e.ID == name && e.StartedAtMs > 0 {
				s.coldAttempts = append(s.coldAttempts, coldAttempt{name, s.now, e.StartedAtMs * 1e6})
			}
		}
	}
	s.restartIdleTime(r.requestID)
}

// checkOutcome looks at a final answer as it comes.
func (s *simulation) checkOutcome(c *simulatedClient) {
	if c.outcome == "completed" && !c.decodeFinished {
		s.violate("P11 %s is completed, and no writer has given its last event", c.requestID)
	}
	early := s.now < c.sentAt+int64(clientTimeout)-4*int64(tick)
	if c.outcome == "errored" && early && c.possibleRuns == 0 && s.attemptsInFlight(c.requestID) == 0 && c.effect == "non-retriable" && !c.isStreaming() {
		s.violate("P11 %s is errored before its time, and cannot have run", c.requestID)
	}
	if c.outcome == "shed" && c.possibleRuns > 0 && c.effect == "non-retriable" {
		s.violate("P3 %s is non-retriable, may have run, and is shed", c.requestID)
	}
	if !c.isStreaming() && s.now > c.sentAt+int64(clientTimeout) {
		s.violate("P4 client %d is %s %v after it gave up", c.number, c.outcome, time.Duration(s.now-c.sentAt-int64(clientTimeout)))
	}
}

// horizon is when all must be over: the time-out, a stall, six tries to let go, and as much again.
const horizon = 3 * time.Second

// checkState looks at a state.
func (s *simulation) checkState() {
	if s.now-int64(1000*time.Second) > int64(horizon) && !s.isQuiescent() {
		s.violate("P10 after %v something is still held, open or waited for", horizon)
	}
	for _, c := range s.clients {
		if c.requested && c.endedAt == 0 && s.now > c.sentAt+int64(clientTimeout) && !c.isStreaming() {
			s.violate("P4 client %d has no answer %v after it gave up", c.number, time.Duration(s.now-c.sentAt-int64(clientTimeout)))
		}
	}
	for _, c := range s.clients {
		if c.outcome == "left" && s.attemptsInFlight(c.requestID) > 0 {
			s.violate("P6 a send of %s is still out after its client left", c.requestID)
		}
	}
	for _, openAttempt := range s.core.OpenAttempts() {
		if !openAttempt.Ended { // a send that is being dialled is out too
			s.restartIdleTime(openAttempt.Request)
		}
	}
	for _, h := range s.reservations {
		// A release on its way counts as let go: the wire, not the node, holds it.
		if h.lostReleases < 2 && s.attemptsInFlight(h.requestID) == 0 && !s.releaseInFlight(h) && s.now-h.idleSince > int64(reservationLimit) {
			s.violate("P5 %s holds the state of %s for %v with no send out", h.engine, h.requestID, time.Duration(s.now-h.idleSince))
		}
	}
	for _, openAttempt := range s.core.OpenAttempts() {
		c := s.clientOf(openAttempt.Request)
		if c == nil || !openAttempt.Ended || !openAttempt.Decode {
			continue
		}
		if (openAttempt.Verdict == "engine error" || openAttempt.Verdict == "connection lost") && c.possibleRuns == 0 {
			s.violate("P11 %s: %s at %s, yet it cannot have run", openAttempt.Request, openAttempt.Verdict, openAttempt.Engine)
		}
		proof := openAttempt.Verdict == "full" || openAttempt.Verdict == "not connected" || openAttempt.Verdict == "not sent"
		if proof && c.possibleRuns > 0 && s.attemptsThatMayHaveRun(openAttempt.Request) == 0 {
			s.violate("P11 %s: %s at %s, yet it may have run", openAttempt.Request, openAttempt.Verdict, openAttempt.Engine)
		}
	}
}

// attemptsThatMayHaveRun is how many writers' sends the core counts as perhaps run, or still out.
func (s *simulation) attemptsThatMayHaveRun(requestID string) (n int) {
	for _, openAttempt := range s.core.OpenAttempts() {
		if openAttempt.Request == requestID && openAttempt.Decode &&
			(!openAttempt.Ended || openAttempt.Verdict != "full" && openAttempt.Verdict != "not connected" && openAttempt.Verdict != "not sent") {
			n++
		}
	}
	return n
}

// isStreaming is whether the client has had its first token: its deadline does not run any more.
func (c *simulatedClient) isStreaming() bool {
	return strings.HasPrefix(string(c.received), "HTTP/1.1 200")
}

func (s *simulation) releaseInFlight(h heldReservation) bool {
	for _, connection := range s.connections {
		if !connection.closed && connection.request != nil && connection.request.kind == "release" && connection.request.requestID == h.requestID && connection.request.attempt == h.attempt && connection.core.Engine == h.engine {
			return true
		}
	}
	return false
}

// checkTerminal looks at a state in which nothing can happen any more.
func (s *simulation) checkTerminal() {
	for _, c := range s.clients {
		if c.outcome == "" {
			s.violate("P10 client %d waits for ever", c.number)
		}
	}
	h := s.core.InFlight()
	if h.Requests+h.ControlRequests+h.Reservations > 0 || s.core.BusyConnections() > 0 {
		s.violate("P9 at the end the node holds %d inferences, %d control requests, %d states, %d busy lines", h.Requests, h.ControlRequests,
			h.Reservations, s.core.BusyConnections())
	}
}
