package router

import (
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/invariant"
	"sandcourse/internal/protocol"
	"sandcourse/internal/reservation"
	"sandcourse/internal/routing"
)

// send is one send of an inference.
type send struct {
	inf       *inference
	n         int
	engine    string
	writes    bool
	at        int64
	wroteAt   int64 // when its request was written; 0 while it is not
	machine   attempt.Send
	line      *Line
	heads     int
	token     []byte
	lastToken int64
	relay     Relay // of its stream, if it has one
	kept      float64
	transfer  protocol.ReservationHandle
	report    map[string]float64
	verdict   routing.Verdict
	ended     bool
	stale     bool // its line had been given up by the other side before it was written to
	why       string
}

func (o *Core) send(e routing.Send) {
	inf := o.infs[e.RequestID]
	if inf == nil {
		return
	}
	s := &send{inf: inf, n: len(inf.sends), engine: e.Engine, writes: !o.reads(e.Engine, inf), at: o.now}
	inf.sends = append(inf.sends, s)
	if inf.client.Socket.Gone() {
		o.ClientGone(inf.client)
	}
	if why := o.maySend(s, nil); why != invariant.Allowed {
		o.happen(s, attempt.Barred, string(why))
		return
	}
	atMost := int64(o.d.Connections.IdleTimeout)
	if s.writes && o.d.Routes[inf.route].Effect != "retriable" {
		atMost = int64(o.d.Connections.NonIdempotentIdleTimeout)
	}
	if !o.carry(e.Engine, s, nil, atMost) {
		// The node's own bound says nothing of the engine.
		o.happen(s, attempt.Barred, "no line to it may be opened")
	}
}

// maySend asks the gate of attempts, on a connection or before there is one.
func (o *Core) maySend(s *send, l *Line) invariant.Reason {
	inf := s.inf
	a := invariant.Attempt{Answered: inf.final != "", ClientGone: inf.client.gone, GiveUpAt: inf.giveUpAt, Drained: o.told[s.engine],
		Moved: l != nil && l.Host != o.reach(s.engine).Address, Effect: inf.effect(o.d),
		Window: int64(o.d.Routes[inf.route].DedupWindow)}
	for _, before := range inf.sends {
		if before != s {
			a.Earlier = append(a.Earlier, invariant.Earlier{Decode: before.writes, WrittenAt: before.wroteAt, Out: !before.ended,
				NeverRan: before.ended && attempt.NeverRan(before.verdict)})
		}
	}
	why := invariant.MaySend(a, o.now, int64(o.d.Rules.DrainGrace))
	if why != invariant.Allowed {
		o.watch.Barred(inf.name, why)
	}
	return why
}

// request is what a line is to carry. It is made as it is written: what it says of the client's time must not
// count the time that the line took to come up.
func (o *Core) request(l *Line) ([]byte, error) {
	to := o.reach(l.Engine)
	if e := l.control; e != nil {
		if e.hold != nil {
			return o.protocol.ReleaseRequest(to, e.hold.ID.Request, e.hold.ID.Attempt), nil
		}
		return o.protocol.HealthCheckRequest(to), nil
	}
	s := l.send
	inf, left := s.inf, o.toldTime(s.inf)
	if s.writes {
		return o.protocol.DecodeRequest(inf.asked.Call, inf.name, to, inf.transfer, left)
	}
	return o.protocol.PrefillRequest(inf.asked.Call, inf.name, to, s.n, left)
}

// toldMargin is by how much less time an engine is told than is left, so that a node which is held up between its look at
// the clock and the write does not tell too much. A request with very little time gives a quarter of it.
const toldMargin = 50 * time.Millisecond

// toldTime is the time that an engine is told.
func (o *Core) toldTime(inf *inference) time.Duration {
	left := time.Duration(inf.giveUpAt - o.now)
	return left - min(toldMargin, max(0, left/4))
}

// happen is where all socket events of a send end up: its machine judges them, and the outcome, if there is
// one, goes to the module.
func (o *Core) happen(s *send, in attempt.Input, why string) {
	if s.ended {
		return
	}
	inf := s.inf
	// The kernel may have taken the rest of a request since the last event; a send that is withdrawn or breaks
	// then may have run, though its machine still thinks that a part of it is here.
	if l := s.line; l != nil && l.send == s && l.socket != nil && s.machine.State == attempt.Writing {
		if in == attempt.WithdrawnBy {
			l.socket.Close() // before the look: nothing more can leave behind it
		}
		if l.socket.Written() {
			o.took |= 1 << s.machine.Happen(attempt.Written).Row
		}
	}
	r := s.machine.Happen(in)
	o.took |= 1 << r.Row
	if in == attempt.Token && s.machine.State == attempt.Flowing {
		o.token(s, r.First)
		return
	}
	if !r.Ends {
		return
	}
	s.ended, s.verdict, s.why = true, r.Verdict, why
	if l := s.line; l != nil && l.send == s {
		l.send = nil
		switch {
		case r.Line == attempt.Close:
			o.spoil(l)
		case in == attempt.Barred:
			o.pool.Happen(l.ID, connpool.Released, o.now)
		default:
			l.restSince = o.now
		}
	}
	o.endOfAttempt(s)
	note := 0.0
	if r.Verdict == routing.PrefillDone {
		note, inf.transfer = s.kept, s.transfer
	}
	o.noteOutcome(s, in, r)
	if r.Gone {
		// The writer could not fetch it. Its reader may still hold it, unheard, and nobody will ask for it again.
		note = 1
		o.letGo(inf)
	}
	if s.machine.Began {
		if r.Verdict == routing.Completed {
			o.finish(inf, completed, "")
		} else {
			o.finish(inf, errored, "the stream broke: "+why)
		}
	} else if r.Verdict == routing.Completed {
		o.finish(inf, completed, "") // an answer without a token
	}
	o.tell(routing.Outcome{RequestID: inf.id, Attempt: s.n, Engine: s.engine, Verdict: r.Verdict, Latency: o.now - s.at,
		RequestEnded: inf.final != "", Note: note, Report: s.report, StaleConnection: s.stale})
	// What came after the end is let go of here too: a read whose inference nobody waits for.
	if inf.final != "" {
		o.letGo(inf)
	}
	o.forget(inf)
}

// endOfAttempt tells the monitor and the logs of an attempt's outcome.
func (o *Core) endOfAttempt(s *send) {
	o.monitor.Over(s.inf.id, s.n, attempt.NeverRan(s.verdict))
	end := AttemptEnd{Request: s.inf.name, Engine: s.engine, Number: s.n, Decode: s.writes, Verdict: verdictNames[s.verdict], Why: s.why,
		Took: time.Duration(o.now - s.at)}
	if s.wroteAt > 0 {
		end.Connecting = time.Duration(s.wroteAt - s.at)
	}
	o.watch.Attempt(end)
}

// token passes one on, and tells the module of the first.
func (o *Core) token(s *send, first bool) {
	inf := s.inf
	if first {
		inf.began, inf.firstAt = true, o.now
		o.monitor.Began(inf.id)
		o.changeHolds(inf, reservation.Taken)
		if inf.whole == nil && inf.final == "" {
			o.write(inf.client, o.protocol.StreamHead(inf.name))
		}
		o.watch.First(o.d.Routes[inf.route].Name, time.Duration(o.now-inf.at), inf.asked.Call.PromptTokens)
		o.tell(routing.FirstToken{RequestID: inf.id, Attempt: s.n, Engine: s.engine, Latency: o.now - s.at})
	}
	inf.tokens++
	if inf.whole == nil && inf.final == "" {
		o.write(inf.client, o.protocol.StreamEvent(s.token))
	}
	s.token = nil
}
