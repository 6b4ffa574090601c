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

// checkSend looks at a send as its first byte goes out.
func (s *sim) checkSend(r *request) {
	c := s.client(r.inference)
	name := r.line.core.Engine
	if c == nil {
		s.say("P6 a send of an inference that nobody asked for")
		return
	}
	if n := s.out(r.inference); n > 0 {
		s.say("P2 %s is sent to %s while %d sends are out", r.inference, name, n)
	}
	if c.endAt > 0 {
		s.say("P6 %s is sent to %s after it was %s", r.inference, name, c.final)
	}
	if c.ran > 0 && c.effect == "non-retriable" && r.kind == "write" {
		s.say("P3 %s is non-retriable, may have run, and is sent to %s", r.inference, name)
	}
	if told, ok := s.toldAt[name]; ok && s.now-told > int64(grace) {
		s.say("P7 %s is sent to %s %v after the news of its drain", r.inference, name, time.Duration(s.now-told))
	}
	if s.apart {
		for _, e := range s.list.Entries {
			if e.ID == name && e.StartedAtMs > 0 {
				s.toCold = append(s.toCold, coldSend{name, s.now, e.StartedAtMs * 1e6})
			}
		}
	}
	s.freed(r.inference)
}

// checkFinal looks at a final answer as it comes.
func (s *sim) checkFinal(c *simClient) {
	if c.final == "completed" && !c.done {
		s.say("P11 %s is completed, and no writer has given its last event", c.name)
	}
	early := s.now < c.at+int64(giveUp)-4*int64(tick)
	if c.final == "errored" && early && c.ran == 0 && s.out(c.name) == 0 && c.effect == "non-retriable" && !c.streams() {
		s.say("P11 %s is errored before its time, and cannot have run", c.name)
	}
	if c.final == "shed" && c.ran > 0 && c.effect == "non-retriable" {
		s.say("P3 %s is non-retriable, may have run, and is shed", c.name)
	}
	if !c.streams() && s.now > c.at+int64(giveUp) {
		s.say("P4 client %d is %s %v after it gave up", c.n, c.final, time.Duration(s.now-c.at-int64(giveUp)))
	}
}

// horizon is when all must be over: the time-out, a stall, six tries to let go, and as much again.
const horizon = 3 * time.Second

// check looks at a state.
func (s *sim) check() {
	if s.now-int64(1000*time.Second) > int64(horizon) && !s.quiet() {
		s.say("P10 after %v something is still held, open or waited for", horizon)
	}
	for _, c := range s.clients {
		if c.asked && c.endAt == 0 && s.now > c.at+int64(giveUp) && !c.streams() {
			s.say("P4 client %d has no answer %v after it gave up", c.n, time.Duration(s.now-c.at-int64(giveUp)))
		}
	}
	for _, c := range s.clients {
		if c.final == "left" && s.out(c.name) > 0 {
			s.say("P6 a send of %s is still out after its client left", c.name)
		}
	}
	for _, o := range s.core.OpenAttempts() {
		if !o.Ended { // a send that is being dialled is out too
			s.freed(o.Request)
		}
	}
	for _, h := range s.held {
		// A release on its way counts as let go: the wire, not the node, holds it.
		if h.lost < 2 && s.out(h.inference) == 0 && !s.releasing(h) && s.now-h.since > int64(pin) {
			s.say("P5 %s holds the state of %s for %v with no send out", h.reader, h.inference, time.Duration(s.now-h.since))
		}
	}
	for _, o := range s.core.OpenAttempts() {
		c := s.client(o.Request)
		if c == nil || !o.Ended || !o.Decode {
			continue
		}
		if (o.Verdict == "engine error" || o.Verdict == "connection lost") && c.ran == 0 {
			s.say("P11 %s: %s at %s, yet it cannot have run", o.Request, o.Verdict, o.Engine)
		}
		proof := o.Verdict == "full" || o.Verdict == "not connected" || o.Verdict == "not sent"
		if proof && c.ran > 0 && s.sendsRan(o.Request) == 0 {
			s.say("P11 %s: %s at %s, yet it may have run", o.Request, o.Verdict, o.Engine)
		}
	}
}

// sendsRan is how many writers' sends the core counts as perhaps run, or still out.
func (s *sim) sendsRan(inference string) (n int) {
	for _, o := range s.core.OpenAttempts() {
		if o.Request == inference && o.Decode &&
			(!o.Ended || o.Verdict != "full" && o.Verdict != "not connected" && o.Verdict != "not sent") {
			n++
		}
	}
	return n
}

// streams is whether the client has had its first token: its deadline does not run any more.
func (c *simClient) streams() bool { return strings.HasPrefix(string(c.out), "HTTP/1.1 200") }

func (s *sim) releasing(h held) bool {
	for _, l := range s.lines {
		if !l.closed && l.req != nil && l.req.kind == "release" && l.req.inference == h.inference && l.req.send == h.send && l.core.Engine == h.reader {
			return true
		}
	}
	return false
}

// checkEnd looks at a state in which nothing can happen any more.
func (s *sim) checkEnd() {
	for _, c := range s.clients {
		if c.final == "" {
			s.say("P10 client %d waits for ever", c.n)
		}
	}
	h := s.core.InFlight()
	if h.Requests+h.ControlRequests+h.Reservations > 0 || s.core.BusyConnections() > 0 {
		s.say("P9 at the end the node holds %d inferences, %d control requests, %d states, %d busy lines", h.Requests, h.ControlRequests,
			h.Reservations, s.core.BusyConnections())
	}
}
