package router

import (
	"cmp"
	"math"

	"sandcourse/internal/connpool"
	"sandcourse/internal/indexheap"
)

// Before orders connections by the time at which their timeouts are checked.
func (c *EngineConnection) Before(other *EngineConnection) bool {
	return cmp.Or(cmp.Compare(c.timeoutCheckAt, other.timeoutCheckAt), cmp.Compare(c.ID, other.ID)) < 0
}

// Position returns where the index of timeouts stores the connection's position.
func (c *EngineConnection) Position() *indexheap.Position { return &c.timeoutPosition }

// watchTimeouts makes the timeouts of a connection be checked. It is called whenever a timeout begins.
func (r *Router) watchTimeouts(conn *EngineConnection) {
	if conn.timeoutCheckAt = r.timeoutOf(conn); conn.timeoutCheckAt == math.MaxInt64 {
		r.connections.timeouts.Remove(conn)
		return
	}
	r.connections.timeouts.Set(conn)
}

// timeoutOf returns the earliest time at which a connection exceeds a timeout: that of its dial, of its control request, of the
// rest of a response, or of the wait for the engine to end an abandoned attempt; math.MaxInt64 if none applies.
func (r *Router) timeoutOf(conn *EngineConnection) int64 {
	at := int64(math.MaxInt64)
	if conn.drainingResponseSince > 0 {
		at = min(at, conn.drainingResponseSince+responseDrainTimeout)
	}
	if conn.control != nil {
		at = min(at, conn.control.startedAt+r.controlTimeout())
	}
	if conn.abandoned != nil {
		at = min(at, conn.abandonedAt+int64(r.config.AbandonWait))
	}
	if conn.socket == nil {
		at = min(at, conn.dialedAt+2*int64(r.config.Connections.DialTimeout))
	}
	return at
}

// startResponseDrain lets the rest of a response that is no longer needed arrive, for a limited time.
func (r *Router) startResponseDrain(conn *EngineConnection) {
	conn.drainingResponseSince = r.now
	r.watchTimeouts(conn)
}

// reapConnections closes connections that have been idle for too long, and those that wait too long for a dial or a
// response.
func (r *Router) reapConnections() {
	for _, id := range r.connections.ExpiredConnections(r.now) {
		r.connections.Handle(id, connpool.IdleExpired, r.now)
		r.closeConnection(id)
	}
	observed := r.enginesObserved()
	for {
		conn, ok := r.connections.timeouts.First()
		switch {
		case !ok || conn.timeoutCheckAt >= observed:
			return
		case r.timeoutOf(conn) >= observed: // The timeout that was due has ended.
			r.watchTimeouts(conn)
		default:
			r.connections.timeouts.Remove(conn) // The loop must end even if the connection is closed already.
			r.discardConnection(conn)
		}
	}
}
