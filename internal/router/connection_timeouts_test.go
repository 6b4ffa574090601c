package router

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The connections that exceed a timeout are those that a scan finds, whenever their timeouts began or ended.
func TestConnectionTimeoutsMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleetSimulation(t)
		r := s.router
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.now += rapid.Int64Range(1, int64(400*time.Millisecond)).Draw(t, "time")
			r.now = s.now
			s.changeConnection(t)
			overdue := map[int64]bool{}
			for id, conn := range r.connections.byID {
				if r.timeoutOf(conn) < r.now {
					overdue[id] = true
				}
			}
			before := len(r.connections.byID)
			r.reapConnections()
			for id := range overdue {
				if r.connections.byID[id] != nil {
					t.Fatalf("connection %d exceeds a timeout and is open", id)
				}
			}
			if closed := before - len(r.connections.byID); closed != len(overdue) {
				t.Fatalf("%d connections closed, a scan finds %d", closed, len(overdue))
			}
		}
	})
}

// changeConnection opens a connection, or begins or ends a timeout of one.
func (s *fleetSimulation) changeConnection(t *rapid.T) {
	r := s.router
	ids := r.connections.IDs()
	if len(ids) == 0 || rapid.IntRange(0, 3).Draw(t, "open") == 0 {
		lease := r.connections.Acquire(randomEngine(t), s.now, 0, 0)
		if !lease.OK || lease.Evict != 0 {
			return
		}
		conn := &EngineConnection{ID: lease.ID, dialedAt: s.now}
		if rapid.Bool().Draw(t, "control") {
			conn.control = &controlRequest{startedAt: s.now}
		}
		r.connections.byID[conn.ID] = conn
		r.watchTimeouts(conn)
		return
	}
	conn := r.connections.byID[rapid.SampledFrom(ids).Draw(t, "connection")]
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		conn.socket = openSocket{}
	case 1:
		conn.control = nil
	case 2:
		if conn.drainingResponseSince > 0 {
			conn.drainingResponseSince = 0
		} else {
			r.startResponseDrain(conn)
		}
	}
}

// openSocket is the socket of a connection that is open.
type openSocket struct{ EngineSocket }

func (openSocket) Close() {}
