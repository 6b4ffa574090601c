package emulator

import (
	"errors"
	"time"

	"sandcourse/internal/router"
)

// dialTimeout is the time after which a dial to an unresponsive engine fails.
const dialTimeout = 250 * time.Millisecond

// Errors of a dial.
var (
	errDialRefused = errors.New("connection refused")
	errDialTimeout = errors.New("dial timed out")
	errDialReset   = errors.New("connection reset")
)

// simulatedRouter runs the production core of a router on simulated sockets.
type simulatedRouter struct {
	emulation   *emulation
	core        *router.Router
	nextTimerAt int64 // time of the scheduled timer; 0 if none is scheduled
	pending     []func(core *router.Router)
	isHandling  bool
	clientCount int64
}

// handle passes an event to the core and schedules the next timer. Events that are passed during the call are queued.
func (r *simulatedRouter) handle(event func(core *router.Router)) {
	r.pending = append(r.pending, event)
	if r.isHandling {
		return
	}
	r.isHandling = true
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.core.SetTime(r.emulation.now)
		next(r.core)
		r.core.RunDue(r.emulation.now)
	}
	r.isHandling = false
	r.scheduleTimer()
}

func (r *simulatedRouter) scheduleTimer() {
	due := max(r.core.NextDue(), r.emulation.now+1)
	if r.nextTimerAt != 0 && due >= r.nextTimerAt {
		return
	}
	r.nextTimerAt = due
	r.emulation.scheduleAt(due, func() {
		if r.nextTimerAt == due {
			r.nextTimerAt = 0
			r.handle(func(*router.Router) {})
		}
	})
}

// CatchUp has no effect: no simulated time passes during a step of the core.
func (r *simulatedRouter) CatchUp() {}

// SendToPeer drops gossip: simulated routers do not exchange messages.
func (r *simulatedRouter) SendToPeer(int, string) {}

// Dial connects to an engine.
func (r *simulatedRouter) Dial(conn *router.EngineConnection) {
	e := r.emulation.engineByName[conn.Engine]
	switch {
	case e == nil || !e.isUp:
		r.failDial(conn, networkDelay, errDialRefused)
	case e.isUnresponsive:
		r.failDial(conn, dialTimeout, errDialTimeout)
	default:
		c := &connection{id: r.emulation.nextSequence(), engineConnection: conn, router: r, engine: e}
		e.connections[c] = true
		r.emulation.scheduleAfter(networkDelay, func() {
			if c.closed {
				r.handle(func(core *router.Router) { core.EngineConnected(conn, nil, errDialReset) })
				return
			}
			r.handle(func(core *router.Router) { core.EngineConnected(conn, c, nil) })
		})
	}
}

func (r *simulatedRouter) failDial(conn *router.EngineConnection, after time.Duration, err error) {
	r.emulation.scheduleAfter(after, func() {
		r.handle(func(core *router.Router) { core.EngineConnected(conn, nil, err) })
	})
}
