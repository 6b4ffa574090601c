package router

import (
	"errors"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/invariant"
	"sandcourse/internal/reservation"
)

// spareConnections are for control requests alone, at each engine: reservations must be released even while all other
// connections carry prefills.
const spareConnections = 2

// staleConnectionWindow is how soon a connection breaks that the engine had closed before a request was written to it: a
// round trip.
const staleConnectionWindow = int64(20 * time.Millisecond)

// drainTime is how long the rest of an answer that is over may take: it is an end of chunks or a short body.
const responseDrainTimeout = int64(time.Second)

// EngineConnection is one connection to an engine.
type EngineConnection struct {
	ID      int64
	Engine  string
	Address string // the address that is dialed

	socket                EngineSocket    // nil while it is dialed
	attempt               *engineAttempt  // that it carries
	control               *controlRequest // or that
	reused                bool            // it has carried another request before this
	streamed              bool            // its last answer is a stream, as those to decodes
	writtenAt             int64           // when its last request was written
	dialedAt              int64
	drainingResponseSince int64 // since when it waits for the rest of an answer that is over; 0 where it does not
}

// engineConnections are the connections to engines; the pool decides on their use.
type engineConnections struct {
	*connpool.Pool
	byID map[int64]*EngineConnection
}

func newEngineConnections(cfg config.ConnectionLimits) engineConnections {
	return engineConnections{
		Pool: connpool.New(connpool.Limits{PerEngine: cfg.PerEngine, ConcurrentDials: cfg.ConcurrentDials, Total: cfg.Total,
			IdleTimeout: cfg.IdleTimeout, SettleTime: cfg.ReuseDelay}),
		byID: map[int64]*EngineConnection{},
	}
}

// maxIdle is how long a connection may have been idle to carry an attempt or a control request. Control requests use any
// kept connection, whatever became of others: a release may be sent twice, and what is written to an open connection
// reaches an engine that is paused, while a new connection does not come up.
func (r *Router) maxIdle(engine string, att *engineAttempt, control *controlRequest) time.Duration {
	idle := r.config.Connections.IdleTimeout
	switch {
	case att != nil:
		repeatable := !att.decode || r.retriable(att.request.route)
		if !repeatable {
			idle = r.config.Connections.NonIdempotentIdleTimeout
		}
		return r.connections.MaxReuseIdle(engine, r.now, idle, repeatable)
	case control.newConnection:
		return 0
	}
	return idle
}

// dispatch finds a connection for an attempt or a control request and writes to it, now or once it is connected. It
// returns false where no connection may be opened.
func (r *Router) dispatch(engine string, att *engineAttempt, control *controlRequest) bool {
	spare := 0
	if control != nil {
		spare = spareConnections
	}
	lease := r.connections.Acquire(engine, r.now, r.maxIdle(engine, att, control), spare)
	if lease.Evict != 0 {
		r.closeConnection(lease.Evict)
	}
	if !lease.OK {
		return false
	}
	conn := r.connections.byID[lease.ID]
	if !lease.Reused {
		conn = &EngineConnection{ID: lease.ID, Engine: engine, Address: r.endpoints.target(engine).Address, dialedAt: r.now}
		r.connections.byID[conn.ID] = conn
	}
	conn.attempt, conn.control, conn.reused = att, control, lease.Reused
	if att != nil {
		att.connection = conn
	}
	if lease.Reused {
		r.observer.ConnectionChanged(engine, ConnectionReused)
		r.writeRequest(conn)
		return true
	}
	r.transport.Dial(conn)
	return true
}

// EngineConnected handles the end of a dial: the socket of the connection, or why there is none.
func (r *Router) EngineConnected(conn *EngineConnection, socket EngineSocket, err error) {
	if r.connections.byID[conn.ID] != conn { // closed while it was dialed
		if socket != nil {
			socket.Close()
		}
		return
	}
	if err != nil {
		r.handleDialFailure(conn, err)
		return
	}
	r.observer.ConnectionChanged(conn.Engine, ConnectionDialed)
	conn.socket = socket
	r.connections.Handle(conn.ID, connpool.Dialed, r.now)
	if conn.attempt == nil && conn.control == nil {
		r.connections.Handle(conn.ID, connpool.Released, r.now)
		return
	}
	r.writeRequest(conn)
}

// dialFailed ends a connection that did not come up. Where the cause is local, that says nothing of the engine.
func (r *Router) handleDialFailure(conn *EngineConnection, err error) {
	r.connections.Handle(conn.ID, connpool.DialFailed, r.now)
	delete(r.connections.byID, conn.ID)
	reason := reasonDialFailed + AttemptReason(err.Error())
	if !errors.Is(err, ErrLocal) {
		r.observer.ConnectionChanged(conn.Engine, DialFailed)
		r.failAssigned(conn, attempt.ConnectFailed, reason)
		return
	}
	r.observer.ConnectionChanged(conn.Engine, DialFailedLocally)
	if control := conn.control; control != nil {
		conn.control = nil
		r.handleControlNotSent(control)
	}
	r.failAssigned(conn, attempt.EngineUnavailable, reason)
}

// writeRequest writes the first byte of an attempt, so invariants are checked here once more: a drain may have been
// notified while the connection was dialed.
func (r *Router) writeRequest(conn *EngineConnection) {
	att := conn.attempt
	if att != nil && !r.mayWrite(att, conn) {
		return
	}
	request, err := r.encodeRequest(conn)
	if err != nil && att != nil {
		r.handleAttemptEvent(att, attempt.EngineUnavailable, AttemptReason(err.Error()))
		return
	}
	if att != nil {
		r.handleAttemptConnected(att)
	}
	conn.writtenAt = r.now
	if err := conn.socket.Write(request); err != nil {
		return // EngineDisconnected follows, and is judged by how much was written
	}
	if conn.attempt != nil && conn.socket.RequestWritten() {
		r.transition(conn.attempt, attempt.RequestWritten)
	}
}

// mayWrite is whether an attempt may be written to its connection. If not, the attempt has ended.
func (r *Router) mayWrite(att *engineAttempt, conn *EngineConnection) bool {
	if att.request.client.Socket.Disconnected() {
		r.ClientDisconnected(att.request.client)
		return false
	}
	reason := r.checkAttempt(att, conn)
	if reason == invariant.Allowed {
		return true
	}
	if reason == invariant.EngineAddressChanged { // first, so that the next attempt does not find this connection again
		att.connection, conn.attempt = nil, nil
		r.discardConnection(conn)
	}
	r.handleAttemptEvent(att, attempt.EngineUnavailable, AttemptReason(reason))
	return false
}

func (r *Router) handleAttemptConnected(att *engineAttempt) {
	r.transition(att, attempt.Connected)
	att.writtenAt = r.now
	r.monitor.AttemptWritten(att.request.id, invariant.WrittenAttempt{Index: att.index, Decode: att.decode, WrittenAt: r.now,
		DrainNotifiedAt: r.endpoints.drains[att.engine], TimeBudget: r.advertisedTimeout(att.request)})
	if att.decode {
		r.updateReservations(att.request, reservation.AttemptSent)
	}
}

// EngineDisconnected handles the end of a connection to an engine.
func (r *Router) EngineDisconnected(conn *EngineConnection) {
	if r.connections.byID[conn.ID] == conn {
		r.connections.Handle(conn.ID, connpool.Broken, r.now)
		delete(r.connections.byID, conn.ID)
		r.observer.ConnectionChanged(conn.Engine, ConnectionBroken)
	}
	r.failAssigned(conn, attempt.ConnectionReset, reasonConnectionLost)
}

// discardConnection closes a connection on which the rest of an answer may still come.
func (r *Router) discardConnection(conn *EngineConnection) {
	if r.connections.byID[conn.ID] != conn {
		return
	}
	r.connections.Handle(conn.ID, connpool.ReleasedDirty, r.now)
	r.closeConnection(conn.ID)
	r.failAssigned(conn, attempt.ConnectionReset, reasonConnectionLost)
}

func (r *Router) closeConnection(id int64) {
	if conn := r.connections.byID[id]; conn != nil {
		delete(r.connections.byID, id)
		r.observer.ConnectionChanged(conn.Engine, ConnectionClosed)
		if conn.socket != nil {
			conn.socket.Close()
		}
	}
}

// failCarried ends what a connection carried when it was lost.
func (r *Router) failAssigned(conn *EngineConnection, event attempt.Event, reason AttemptReason) {
	if att := conn.attempt; att != nil {
		if event == attempt.ConnectionReset && conn.reused && att.responseHeads == 0 && r.eventTime()-conn.writtenAt < staleConnectionWindow {
			att.staleConnection = true
			r.connections.RecordEarlyClose(conn.Engine, r.now)
		}
		r.handleAttemptEvent(att, event, reason)
	}
	if control := conn.control; control != nil {
		conn.control = nil
		r.finishControlRequest(control, nil, nil)
	}
}

// reapConnections closes idle connections whose time is up, and those that wait too long for what they carry.
func (r *Router) reapConnections() {
	for _, id := range r.connections.IdleExpired(r.now) {
		r.connections.Handle(id, connpool.IdleExpired, r.now)
		r.closeConnection(id)
	}
	observed := r.enginesObserved()
	for _, id := range r.connections.IDs() {
		conn := r.connections.byID[id]
		if conn == nil {
			continue
		}
		if conn.drainingResponseSince > 0 && observed-conn.drainingResponseSince > responseDrainTimeout ||
			conn.control != nil && observed-conn.control.startedAt > r.controlTimeout() ||
			conn.socket == nil && observed-conn.dialedAt > 2*int64(r.config.Connections.DialTimeout) {
			r.discardConnection(conn)
		}
	}
}
