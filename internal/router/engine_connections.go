package router

import (
	"errors"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/indexheap"
	"sandcourse/internal/invariant"
	"sandcourse/internal/reservation"
)

// spareConnections is how many connections to each engine, beyond the limits, are for control requests alone: reservations
// must be released even while all other connections carry prefills.
const spareConnections = 2

// staleConnectionWindow is the time after a write, one round trip, within which the break of a reused connection means that
// the engine had closed the connection before the write.
const staleConnectionWindow = int64(20 * time.Millisecond)

// responseDrainTimeout is how long the rest of a response may take after its attempt has ended. The rest is the end of a
// chunked body, or a short body.
const responseDrainTimeout = int64(time.Second)

// EngineConnection is one connection to an engine.
type EngineConnection struct {
	ID      int64
	Engine  string
	Address string // the address that is dialed

	socket                EngineSocket    // socket of the connection; nil while it is dialed
	attempt               *engineAttempt  // the attempt that the connection carries
	control               *controlRequest // the control request that the connection carries
	reused                bool            // the connection carried another request before the current one
	streamed              bool            // the last response is a stream, as all responses to decodes are
	writtenAt             int64           // time at which the last request was written
	dialedAt              int64
	drainingResponseSince int64 // start of the drain of a response that is no longer needed; 0 without a drain

	abandoned   *engineAttempt // the abandoned attempt that the engine is expected to end; nil if there is none
	abandonedAt int64

	timeoutCheckAt  int64 // time at which the timeouts of the connection are checked
	timeoutPosition indexheap.Position
}

// engineConnections holds the connections to engines; the pool decides on their use.
type engineConnections struct {
	*connpool.Pool
	byID     map[int64]*EngineConnection
	timeouts indexheap.Heap[*EngineConnection] // connections that may exceed a timeout
}

// forget removes a connection that is closed.
func (c *engineConnections) forget(conn *EngineConnection) {
	delete(c.byID, conn.ID)
	c.timeouts.Remove(conn)
}

func newEngineConnections(cfg config.ConnectionLimits) engineConnections {
	return engineConnections{
		Pool: connpool.New(connpool.Limits{PerEngine: cfg.PerEngine, ConcurrentDials: cfg.ConcurrentDials, Total: cfg.Total,
			IdleTimeout: cfg.IdleTimeout, SettleTime: cfg.ReuseDelay}),
		byID: map[int64]*EngineConnection{},
	}
}

// maxIdle returns how long a connection may have been idle to carry an attempt or a control request. Control requests use
// any open connection, even after early closes of other connections: a release may be sent twice, and a request on an open
// connection reaches an engine that is paused, while a new connection to it cannot be established.
func (r *Router) maxIdle(engine string, att *engineAttempt, control *controlRequest) time.Duration {
	idle := r.config.Connections.IdleTimeout
	switch {
	case att != nil:
		mayRunTwice := !att.decode || r.isRetriable(att.request.route)
		if !mayRunTwice {
			idle = r.config.Connections.NonIdempotentIdleTimeout
		}
		return r.connections.MaxReuseIdle(engine, r.now, idle, mayRunTwice)
	case control.newConnection:
		return 0
	}
	return idle
}

// dispatch finds a connection for an attempt or a control request and writes the request to it, now or once it is
// connected. It returns false if no connection may be opened.
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
	r.watchTimeouts(conn)
	if lease.Reused {
		r.observer.ConnectionChanged(engine, ConnectionReused)
		r.writeRequest(conn)
		return true
	}
	r.transport.Dial(conn)
	return true
}

// EngineConnected handles the end of a dial, with the socket of the connection or an error.
func (r *Router) EngineConnected(conn *EngineConnection, socket EngineSocket, err error) {
	if r.connections.byID[conn.ID] != conn { // the connection was closed while it was dialed
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

// handleDialFailure ends a connection whose dial failed. A dial that failed locally does not count against the engine.
func (r *Router) handleDialFailure(conn *EngineConnection, err error) {
	r.connections.Handle(conn.ID, connpool.DialFailed, r.now)
	r.connections.forget(conn)
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

// writeRequest writes the request that a connection carries. The invariants of an attempt are checked once more before the
// first byte is written: a drain may have been announced while the connection was dialed.
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
		return // EngineDisconnected is called later, and the outcome depends on how much was written.
	}
	if conn.attempt != nil && conn.socket.RequestWritten() {
		r.transition(conn.attempt, attempt.RequestWritten)
	}
}

// mayWrite reports whether an attempt may be written to its connection. If not, the attempt has ended.
func (r *Router) mayWrite(att *engineAttempt, conn *EngineConnection) bool {
	if att.request.client.Socket.Disconnected() {
		r.ClientDisconnected(att.request.client)
		return false
	}
	reason := r.checkAttempt(att, conn)
	if reason == invariant.Allowed {
		return true
	}
	if reason == invariant.EngineAddressChanged { // discard the connection first, so that the next attempt does not reuse it
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
		r.connections.forget(conn)
		r.observer.ConnectionChanged(conn.Engine, ConnectionBroken)
		if conn.abandoned != nil {
			r.endAbandonedAttempt(conn, conn.socket.End())
		}
	}
	r.failAssigned(conn, attempt.ConnectionReset, reasonConnectionLost)
}

// discardConnection closes a connection on which the rest of a response may still arrive.
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
		r.connections.forget(conn)
		r.observer.ConnectionChanged(conn.Engine, ConnectionClosed)
		r.endAbandonedAttempt(conn, EndUnknown)
		if conn.socket != nil {
			conn.socket.Close()
		}
	}
}

// failAssigned ends the attempt or control request that a connection carried when it was lost.
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
