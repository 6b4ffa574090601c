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

// spareConnections are for control requests alone, at each engine: while all other lines read, states must still be let go
// of.
const spareConnections = 2

// dispatch finds a line for an attempt or a control request and writes to it, now or once it is connected.
func (r *Router) dispatch(engineID string, att *engineAttempt, control *controlRequest, maxIdle time.Duration) bool {
	spare := 0
	if control != nil {
		spare = spareConnections
	}
	// Control requests trust kept lines whatever became of others: a release may be sent twice, and what is written to a line
	// that is there reaches an engine that is paused, while a new one does not come up.
	if att != nil {
		maxIdle = r.pool.MaxReuseIdle(engineID, r.now, maxIdle, !att.decode || r.config.Routes[att.request.route].Effect == "retriable")
	} else if control.newConnection {
		maxIdle = 0
	}
	lease := r.pool.Acquire(engineID, r.now, maxIdle, spare)
	if lease.Evict != 0 {
		r.closeConnection(lease.Evict)
	}
	if !lease.OK {
		return false
	}
	conn := r.engineConnections[lease.ID]
	if !lease.Reused {
		conn = &EngineConnection{ID: lease.ID, Engine: engineID, Host: r.engineAddress(engineID).Address, dialedAt: r.now}
		r.engineConnections[conn.ID] = conn
	}
	conn.attempt, conn.control, conn.reused = att, control, lease.Reused
	if att != nil {
		att.connection = conn
	}
	if lease.Reused {
		r.observer.ConnectionChanged(engineID, ConnectionReused)
		r.writeRequest(conn)
		return true
	}
	r.transport.Dial(conn)
	return true
}

// EngineConnected takes the connection that was dialled for a line, or why there is none.
func (r *Router) EngineConnected(conn *EngineConnection, socket EngineSocket, err error) {
	if r.engineConnections[conn.ID] != conn { // given up while it was dialled
		if socket != nil {
			socket.Close()
		}
		return
	}
	if err != nil {
		r.dialFailed(conn, err)
		return
	}
	r.observer.ConnectionChanged(conn.Engine, Dialled)
	conn.socket = socket
	r.pool.Handle(conn.ID, connpool.Dialed, r.now)
	if conn.attempt == nil && conn.control == nil {
		r.pool.Handle(conn.ID, connpool.Released, r.now)
		return
	}
	r.writeRequest(conn)
}

// dialFailed ends a line that did not come up. Where the cause is this machine's, it says nothing of the engine.
func (r *Router) dialFailed(conn *EngineConnection, err error) {
	r.pool.Handle(conn.ID, connpool.DialFailed, r.now)
	delete(r.engineConnections, conn.ID)
	reason := "no connection: " + err.Error()
	if !errors.Is(err, ErrLocal) {
		r.observer.ConnectionChanged(conn.Engine, DialFailed)
		r.failCarried(conn, attempt.ConnectFailed, reason)
		return
	}
	r.observer.ConnectionChanged(conn.Engine, DialFailedLocally)
	if control := conn.control; control != nil {
		conn.control = nil
		r.controlNotSent(control)
	}
	r.failCarried(conn, attempt.EngineUnavailable, reason)
}

// writeRequest is where the first byte of a send goes out, so the drain gate stands here: news may have come
// while the line was dialled.
func (r *Router) writeRequest(conn *EngineConnection) {
	if att := conn.attempt; att != nil {
		if att.request.client.Socket.Disconnected() {
			r.ClientDisconnected(att.request.client)
			return
		}
		if reason := r.checkAttempt(att, conn); reason != invariant.Allowed {
			if reason == invariant.EngineAddressChanged { // before anything else is sent: it must not find this line again
				att.connection, conn.attempt = nil, nil
				r.discardConnection(conn)
			}
			r.handleAttemptEvent(att, attempt.EngineUnavailable, string(reason))
			return
		}
	}
	request, err := r.encodeRequest(conn)
	if err != nil && conn.attempt != nil {
		r.handleAttemptEvent(conn.attempt, attempt.EngineUnavailable, err.Error())
		return
	}
	if att := conn.attempt; att != nil {
		r.firedTransitions |= 1 << att.machine.Handle(attempt.Connected).Transition
		att.writtenAt = r.now
		r.monitor.AttemptWritten(att.request.id, invariant.WrittenAttempt{Index: att.index, Decode: att.decode, WrittenAt: r.now,
			DrainNotifiedAt: r.drains[conn.Engine], TimeBudget: r.advertisedTimeout(att.request)})
		if att.decode {
			r.updateReservations(att.request, reservation.AttemptSent)
		}
	}
	conn.writtenAt = r.now
	if err := conn.socket.Write(request); err != nil {
		return // its end follows, and is judged by how much was written
	}
	if conn.attempt != nil && conn.socket.RequestWritten() {
		r.firedTransitions |= 1 << conn.attempt.machine.Handle(attempt.RequestWritten).Transition
	}
}

// ResponseHead takes the head of an answer, with the relay of its stream if it is one.
func (r *Router) ResponseHead(conn *EngineConnection, head *http.Response, relay Relay) {
	conn.streamed = conn.attempt != nil && conn.attempt.decode
	r.lastResponseAt[conn.Engine] = r.now
	switch {
	case conn.attempt != nil:
		att := conn.attempt
		att.responseHeads++
		if att.responseHeads > 1 {
			r.handleAttemptEvent(att, attempt.MalformedResponse, "a second head")
			return
		}
		att.loadReport, att.relay = r.protocol.ParseLoadReport(head, nil), relay
		r.handleAttemptEvent(att, r.protocol.ClassifyResponse(head, att.decode), head.Status)
	case conn.control != nil:
		conn.control.head = head
	case conn.drainingSince == 0:
		r.discardConnection(conn)
	}
}

// StreamEvent takes one event of a stream.
func (r *Router) StreamEvent(conn *EngineConnection, event []byte) {
	att := conn.attempt
	if att == nil {
		return
	}
	if r.protocol.IsFinalEvent(event) {
		r.handleAttemptEvent(att, attempt.DecodeCompleted, "")
		return
	}
	if att.request.collector != nil {
		if err := att.request.collector.Add(event); err != nil {
			r.handleAttemptEvent(att, attempt.MalformedResponse, err.Error())
			return
		}
	}
	att.lastTokenAt = r.now
	att.token = event
	r.handleAttemptEvent(att, attempt.TokenReceived, "")
	if att.relay != nil && att.request.collector == nil && att.machine.State == attempt.Streaming && att.request.outcome == "" {
		client := att.request.client
		att.relay.Forwarded(client.Socket, func() { r.flush(client) })
	}
}

// StreamComment takes a comment of a stream, which may be the engine's load report.
func (r *Router) StreamComment(conn *EngineConnection, text []byte) {
	if report := r.protocol.ParseLoadComment(text); report != nil && conn.attempt != nil {
		conn.attempt.loadReport = report
	}
}

// ResponseComplete says that an answer has been read to its end; clean is false where more bytes followed.
func (r *Router) ResponseComplete(conn *EngineConnection, body []byte, clean bool) {
	if att := conn.attempt; att != nil {
		switch {
		case att.decode:
			event, reason := r.protocol.ClassifyStreamEnd(att.machine.FirstTokenReceived)
			r.handleAttemptEvent(att, event, reason)
		default:
			transfer, cachedTokens, err := r.protocol.ParseReservation(body)
			if err != nil {
				r.handleAttemptEvent(att, attempt.MalformedResponse, err.Error())
			} else {
				att.cachedTokens, att.transfer = float64(cachedTokens), transfer
				r.handleAttemptEvent(att, attempt.PrefillCompleted, "")
			}
		}
	}
	if control := conn.control; control != nil {
		conn.control = nil
		conn.drainingSince = r.now
		r.finishControl(control, control.head, body)
	}
	if r.engineConnections[conn.ID] != conn || conn.socket == nil {
		return
	}
	conn.drainingSince = 0
	if !clean {
		r.discardConnection(conn)
		return
	}
	event := connpool.Released
	if conn.streamed {
		event = connpool.ReleasedAfterStream
	}
	if r.pool.Handle(conn.ID, event, r.now) == connpool.Close {
		r.closeConnection(conn.ID)
	}
}

// ResponseInvalid says that what came is no answer.
func (r *Router) ResponseInvalid(conn *EngineConnection, err error) {
	if conn.attempt != nil {
		r.handleAttemptEvent(conn.attempt, attempt.MalformedResponse, err.Error())
	}
	r.discardConnection(conn)
}

// discardConnection closes a line that may carry an unread rest.
func (r *Router) discardConnection(conn *EngineConnection) {
	if r.engineConnections[conn.ID] != conn {
		return
	}
	r.pool.Handle(conn.ID, connpool.ReleasedDirty, r.now)
	r.closeConnection(conn.ID)
	r.failCarried(conn, attempt.ConnectionReset, reasonConnectionLost)
}

func (r *Router) closeConnection(id int64) {
	if conn := r.engineConnections[id]; conn != nil {
		delete(r.engineConnections, id)
		r.observer.ConnectionChanged(conn.Engine, ConnectionClosed)
		if conn.socket != nil {
			conn.socket.Close()
		}
	}
}

// EngineDisconnected says that a connection has ended.
func (r *Router) EngineDisconnected(conn *EngineConnection) {
	if r.engineConnections[conn.ID] == conn {
		r.pool.Handle(conn.ID, connpool.Broken, r.now)
		delete(r.engineConnections, conn.ID)
		r.observer.ConnectionChanged(conn.Engine, ConnectionBroken)
	}
	r.failCarried(conn, attempt.ConnectionReset, reasonConnectionLost)
}

// staleConnectionWindow is how soon a line ends that the other side had given up before it was written to: a way there and
// back.
const staleConnectionWindow = int64(20 * time.Millisecond)

// reasonConnectionLost is why what a line carried has ended where its connection was closed or broke.
const reasonConnectionLost = "the connection is gone"

// failCarried tells what a line carried that it is gone.
func (r *Router) failCarried(conn *EngineConnection, event attempt.Event, reason string) {
	if att := conn.attempt; att != nil {
		if event == attempt.ConnectionReset && conn.reused && att.responseHeads == 0 && r.now-conn.writtenAt < staleConnectionWindow {
			att.stale = true
			r.pool.NoteEarlyClose(conn.Engine, r.now)
		}
		r.handleAttemptEvent(att, event, reason)
	}
	if control := conn.control; control != nil {
		conn.control = nil
		r.finishControl(control, nil, nil)
	}
}

// reapConnections ends what waits too long: control requests, answers whose rest does not come, idle lines.
func (r *Router) reapConnections() {
	for _, id := range r.pool.IdleExpired(r.now) {
		r.pool.Handle(id, connpool.IdleExpired, r.now)
		r.closeConnection(id)
	}
	for _, id := range r.pool.IDs() {
		conn := r.engineConnections[id]
		if conn == nil {
			continue
		}
		// A second: the rest of an answer that is over is an end of chunks or a short body.
		if conn.drainingSince > 0 && r.now-conn.drainingSince > int64(time.Second) ||
			conn.control != nil && r.now-conn.control.startedAt > r.controlTimeout() ||
			conn.socket == nil && r.now-conn.dialedAt > 2*int64(r.config.Connections.DialTimeout) {
			r.discardConnection(conn)
		}
	}
}
