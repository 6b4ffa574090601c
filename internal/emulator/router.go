package emulator

import (
	"errors"
	"time"

	"sandcourse/internal/router"
)

// unansweredDialTime is after how long a dial to an unresponsive engine fails.
const unansweredDialTime = 250 * time.Millisecond

// The errors of a dial.
var (
	errDialRefused    = errors.New("connection refused")
	errDialUnanswered = errors.New("dial timed out")
	errDialReset      = errors.New("connection reset")
)

// simulatedRouter is the production core of a router on simulated sockets.
type simulatedRouter struct {
	emulation   *emulation
	core        *router.Router
	wakeAt      int64 // when its next timer is scheduled, 0 for none
	pending     []func(core *router.Router)
	handling    bool
	clientCount int64
}

// handle passes an event to the core and schedules its next timer. Events that the event itself causes wait for it.
func (r *simulatedRouter) handle(event func(core *router.Router)) {
	r.pending = append(r.pending, event)
	if r.handling {
		return
	}
	r.handling = true
	for len(r.pending) > 0 {
		next := r.pending[0]
		r.pending = r.pending[1:]
		r.core.SetTime(r.emulation.now)
		next(r.core)
		r.core.RunDue(r.emulation.now)
	}
	r.handling = false
	r.scheduleTimer()
}

func (r *simulatedRouter) scheduleTimer() {
	due := max(r.core.NextDue(), r.emulation.now+1)
	if r.wakeAt != 0 && due >= r.wakeAt {
		return
	}
	r.wakeAt = due
	r.emulation.at(due, func() {
		if r.wakeAt == due {
			r.wakeAt = 0
			r.handle(func(*router.Router) {})
		}
	})
}

// CatchUp has nothing to do: no time passes while a decision is made.
func (r *simulatedRouter) CatchUp() {}

// SendToPeer drops gossip: emulated routers share nothing but engines.
func (r *simulatedRouter) SendToPeer(int, string) {}

// Dial connects to an engine.
func (r *simulatedRouter) Dial(core *router.EngineConnection) {
	e := r.emulation.engineByName[core.Engine]
	switch {
	case e == nil || !e.up:
		r.failDial(core, networkDelay, errDialRefused)
	case e.unresponsive:
		r.failDial(core, unansweredDialTime, errDialUnanswered)
	default:
		c := &connection{id: r.emulation.nextSequence(), core: core, router: r, engine: e}
		e.connections[c] = true
		r.emulation.after(networkDelay, func() {
			if c.closed {
				r.handle(func(o *router.Router) { o.EngineConnected(core, nil, errDialReset) })
				return
			}
			r.handle(func(o *router.Router) { o.EngineConnected(core, c, nil) })
		})
	}
}

func (r *simulatedRouter) failDial(core *router.EngineConnection, after time.Duration, err error) {
	r.emulation.after(after, func() {
		r.handle(func(o *router.Router) { o.EngineConnected(core, nil, err) })
	})
}
