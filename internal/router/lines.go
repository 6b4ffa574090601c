package router

import (
	"errors"
	"net/http"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/invariant"
	"sandcourse/internal/reservation"
)

// spareLines are for control requests alone, at each engine: while all other lines read, states must still be let go
// of.
const spareLines = 2

// carry finds a line for an attempt or a control request and writes to it, now or once it is connected.
func (o *Core) carry(engineID string, s *send, e *controlRequest, atMost int64) bool {
	spare := 0
	if e != nil {
		spare = spareLines
	}
	// Control requests trust kept lines whatever became of others: a release may be sent twice, and what is written to a line
	// that is there reaches an engine that is paused, while a new one does not come up.
	if s != nil {
		atMost = o.pool.Trust(engineID, o.now, atMost, !s.writes || o.d.Routes[s.inf.route].Effect == "retriable")
	} else if e.fresh {
		atMost = 0
	}
	lease := o.pool.Take(engineID, o.now, atMost, spare)
	if lease.Evict != 0 {
		o.closeLine(lease.Evict)
	}
	if !lease.OK {
		return false
	}
	l := o.lines[lease.ID]
	if !lease.Reused {
		l = &Line{ID: lease.ID, Engine: engineID, Host: o.reach(engineID).Address, dialAt: o.now}
		o.lines[l.ID] = l
	}
	l.send, l.control, l.again = s, e, lease.Reused
	if s != nil {
		s.line = l
	}
	if lease.Reused {
		o.watch.Connection(engineID, ConnectionReused)
		o.writeLine(l)
		return true
	}
	o.wire.Dial(l)
	return true
}

// LineDialled takes the connection that was dialled for a line, or why there is none.
func (o *Core) LineDialled(l *Line, socket LineSocket, err error) {
	if o.lines[l.ID] != l { // given up while it was dialled
		if socket != nil {
			socket.Close()
		}
		return
	}
	if err != nil {
		o.dialFailed(l, err)
		return
	}
	o.watch.Connection(l.Engine, Dialled)
	l.socket = socket
	o.pool.Happen(l.ID, connpool.Dialled, o.now)
	if l.send == nil && l.control == nil {
		o.pool.Happen(l.ID, connpool.Released, o.now)
		return
	}
	o.writeLine(l)
}

// dialFailed ends a line that did not come up. Where the cause is this machine's, it says nothing of the engine.
func (o *Core) dialFailed(l *Line, err error) {
	o.pool.Happen(l.ID, connpool.DialFailed, o.now)
	delete(o.lines, l.ID)
	why := "no connection: " + err.Error()
	if !errors.Is(err, ErrLocal) {
		o.watch.Connection(l.Engine, DialFailed)
		o.dropLoad(l, attempt.NoLine, why)
		return
	}
	o.watch.Connection(l.Engine, DialFailedHere)
	if e := l.control; e != nil {
		l.control = nil
		o.controlUnsent(e)
	}
	o.dropLoad(l, attempt.Barred, why)
}

// writeLine is where the first byte of a send goes out, so the drain gate stands here: news may have come
// while the line was dialled.
func (o *Core) writeLine(l *Line) {
	if s := l.send; s != nil {
		if s.inf.client.Socket.Gone() {
			o.ClientGone(s.inf.client)
			return
		}
		if why := o.maySend(s, l); why != invariant.Allowed {
			if why == invariant.Moved { // before anything else is sent: it must not find this line again
				s.line, l.send = nil, nil
				o.spoil(l)
			}
			o.happen(s, attempt.Barred, string(why))
			return
		}
	}
	request, err := o.request(l)
	if err != nil && l.send != nil {
		o.happen(l.send, attempt.Barred, err.Error())
		return
	}
	if s := l.send; s != nil {
		o.took |= 1 << s.machine.Happen(attempt.Connected).Row
		s.wroteAt = o.now
		o.monitor.Written(s.inf.id, s.n, s.writes, o.now, o.told[l.Engine], o.toldTime(s.inf))
		if s.writes {
			o.changeHolds(s.inf, reservation.AttemptSent)
		}
	}
	l.wroteAt = o.now
	if err := l.socket.Write(request); err != nil {
		return // its end follows, and is judged by how much was written
	}
	if l.send != nil && l.socket.Written() {
		o.took |= 1 << l.send.machine.Happen(attempt.Written).Row
	}
}

// LineHead takes the head of an answer, with the relay of its stream if it is one.
func (o *Core) LineHead(l *Line, head *http.Response, tokens Relay) {
	l.streamed = l.send != nil && l.send.writes
	o.answeredAt[l.Engine] = o.now
	switch {
	case l.send != nil:
		s := l.send
		s.heads++
		if s.heads > 1 {
			o.happen(s, attempt.Garbled, "a second head")
			return
		}
		s.report, s.relay = o.protocol.ParseLoadReport(head, nil), tokens
		o.happen(s, o.protocol.ClassifyResponse(head, s.writes), head.Status)
	case l.control != nil:
		l.control.head = head
	case l.restSince == 0:
		o.spoil(l)
	}
}

// LineEvent takes one event of a stream.
func (o *Core) LineEvent(l *Line, event []byte) {
	s := l.send
	if s == nil {
		return
	}
	if o.protocol.IsFinalEvent(event) {
		o.happen(s, attempt.Finished, "")
		return
	}
	if s.inf.whole != nil {
		if err := s.inf.whole.Add(event); err != nil {
			o.happen(s, attempt.Garbled, err.Error())
			return
		}
	}
	s.lastToken = o.now
	s.token = event
	o.happen(s, attempt.Token, "")
	if s.relay != nil && s.inf.whole == nil && s.machine.State == attempt.Flowing && s.inf.final == "" {
		c := s.inf.client
		s.relay.Took(c.Socket, func() { o.flush(c) })
	}
}

// LineComment takes a comment of a stream, which may be the engine's load report.
func (o *Core) LineComment(l *Line, text []byte) {
	if report := o.protocol.ParseLoadComment(text); report != nil && l.send != nil {
		l.send.report = report
	}
}

// LineEnd says that an answer has been read to its end; clean is false where more bytes followed.
func (o *Core) LineEnd(l *Line, body []byte, clean bool) {
	if s := l.send; s != nil {
		switch {
		case s.writes:
			in, why := o.protocol.ClassifyStreamEnd(s.machine.Began)
			o.happen(s, in, why)
		default:
			t, kept, err := o.protocol.ParseReservation(body)
			if err != nil {
				o.happen(s, attempt.Garbled, err.Error())
			} else {
				s.kept, s.transfer = float64(kept), t
				o.happen(s, attempt.Read, "")
			}
		}
	}
	if e := l.control; e != nil {
		l.control = nil
		l.restSince = o.now
		o.controlDone(e, e.head, body)
	}
	if o.lines[l.ID] != l || l.socket == nil {
		return
	}
	l.restSince = 0
	if !clean {
		o.spoil(l)
		return
	}
	in := connpool.Released
	if l.streamed {
		in = connpool.Streamed
	}
	if o.pool.Happen(l.ID, in, o.now) == connpool.CloseIt {
		o.closeLine(l.ID)
	}
}

// LineGarbled says that what came is no answer.
func (o *Core) LineGarbled(l *Line, err error) {
	if l.send != nil {
		o.happen(l.send, attempt.Garbled, err.Error())
	}
	o.spoil(l)
}

// spoil closes a line that may carry an unread rest.
func (o *Core) spoil(l *Line) {
	if o.lines[l.ID] != l {
		return
	}
	o.pool.Happen(l.ID, connpool.Spoiled, o.now)
	o.closeLine(l.ID)
	o.dropLoad(l, attempt.Reset, connectionGone)
}

func (o *Core) closeLine(id int64) {
	if l := o.lines[id]; l != nil {
		delete(o.lines, id)
		o.watch.Connection(l.Engine, ConnectionClosed)
		if l.socket != nil {
			l.socket.Close()
		}
	}
}

// LineBroken says that a connection has ended.
func (o *Core) LineBroken(l *Line) {
	if o.lines[l.ID] == l {
		o.pool.Happen(l.ID, connpool.Broken, o.now)
		delete(o.lines, l.ID)
		o.watch.Connection(l.Engine, ConnectionBroken)
	}
	o.dropLoad(l, attempt.Reset, connectionGone)
}

// atOnce is how soon a line ends that the other side had given up before it was written to: a way there and
// back.
const atOnce = int64(20 * time.Millisecond)

// connectionGone is why what a line carried has ended where its connection was closed or broke.
const connectionGone = "the connection is gone"

// dropLoad tells what a line carried that it is gone.
func (o *Core) dropLoad(l *Line, in attempt.Input, why string) {
	if s := l.send; s != nil {
		if in == attempt.Reset && l.again && s.heads == 0 && o.now-l.wroteAt < atOnce {
			s.stale = true
			o.pool.Hasty(l.Engine, o.now)
		}
		o.happen(s, in, why)
	}
	if e := l.control; e != nil {
		l.control = nil
		o.controlDone(e, nil, nil)
	}
}

// sweepLines ends what waits too long: control requests, answers whose rest does not come, idle lines.
func (o *Core) sweepLines() {
	for _, id := range o.pool.Aged(o.now) {
		o.pool.Happen(id, connpool.Aged, o.now)
		o.closeLine(id)
	}
	for _, id := range o.pool.All() {
		l := o.lines[id]
		if l == nil {
			continue
		}
		// A second: the rest of an answer that is over is an end of chunks or a short body.
		if l.restSince > 0 && o.now-l.restSince > int64(time.Second) ||
			l.control != nil && o.now-l.control.at > o.controlTime() ||
			l.socket == nil && o.now-l.dialAt > 2*int64(o.d.Connections.DialTimeout) {
			o.spoil(l)
		}
	}
}
