package router

import (
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/connpool"
	"sandcourse/internal/reservation"
)

// An engine may notice late, or only by the request's own timeout, that an attempt was abandoned, and may make a reservation until
// then. The engine's own end of the attempt's connection proves that it has noticed. So the router ends only its sending, and waits for
// that end. The release that follows is the last one. Without the proof, releases are repeated for as long as the attempt may run.

// releaseDelay is how long a release waits for the proof, which takes a running engine one round trip.
const releaseDelay = 25 * time.Millisecond

// awaitEngineEnd ends the sending on the connection of an attempt that was canceled after its request ended, and reports whether
// the router waits for the engine's end of the connection. While a request is open its attempts are closed at once: a further
// attempt may follow, and no earlier one may have an open connection then.
func (r *Router) awaitEngineEnd(att *engineAttempt, conn *EngineConnection, event attempt.Event) bool {
	req := att.request
	if r.config.AbandonWait == 0 || event != attempt.Canceled || req.outcome == "" || att.machine.FirstTokenReceived ||
		att.writtenAt == 0 || !conn.socket.EndSending() {
		return false
	}
	conn.abandoned, conn.abandonedAt = att, r.now
	req.awaitedEnds++
	r.connections.Handle(conn.ID, connpool.SendingEnded, r.now)
	r.watchTimeouts(conn)
	return true
}

// recordAbandonedAttempt records how long an attempt with an unknown outcome may run. Engines receive the timeout of a request, and
// need some time to detect that it has passed.
func (r *Router) recordAbandonedAttempt(att *engineAttempt) {
	req := att.request
	att.mayRunUntil = max(r.now+int64(r.config.ReleaseRepeatTime), req.deadline+int64(r.config.Rules.ReservationLimit))
	req.mayStillRunUntil = max(req.mayStillRunUntil, att.mayRunUntil)
	if att.connection == nil || att.connection.abandoned != att {
		req.unprovenUntil = max(req.unprovenUntil, att.mayRunUntil)
	}
}

// endAbandonedAttempt ends the wait for the end of a connection's abandoned attempt, if there is one. An end of file proves that the
// engine has let go of the attempt. A reset may come from the network: then the engine is notified too, yet a prefill that is nearly
// done may still leave a reservation.
func (r *Router) endAbandonedAttempt(conn *EngineConnection, end ConnectionEnd) {
	att := conn.abandoned
	if att == nil {
		return
	}
	conn.abandoned = nil
	req := att.request
	req.awaitedEnds--
	switch end {
	case EndedByPeer:
	case EndReset:
		req.unprovenUntil = max(req.unprovenUntil, min(att.mayRunUntil, r.now+int64(r.config.ReleaseRepeatTime)))
	case EndUnknown:
		req.unprovenUntil = max(req.unprovenUntil, att.mayRunUntil)
	}
	if req.awaitedEnds == 0 {
		req.mayStillRunUntil = req.unprovenUntil
		r.updateReservations(req, reservation.AttemptsEnded)
	}
}
