package modelcheck

import (
	"fmt"
	"io"
	"time"

	"sandcourse/internal/config"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol/chatapi"
	"sandcourse/internal/router"
)

// simulation is one execution of one router.
type simulation struct {
	world           World
	deployment      *config.Deployment
	now             int64
	core            *router.Router
	clients         []*simulatedClient
	connections     []*simulatedConnection
	reservations    reservationLedger
	faultsUsed      int
	endpoints       endpoint.List
	drainNotifiedAt map[string]int64 // when the router was told that an engine drains
	violated        violationLog
	trace           []string
	tracing         bool
	incarnation     int           // of the router: it may be killed and restarted
	earlierCoverage Coverage      // of earlier incarnations
	requestsSent    map[int]int   // by incarnation
	clientsJoined   int           // so far
	routerIndex     int           // among several
	coldAttempts    []coldAttempt // sent to engines that have restarted
	inFleet         bool          // one of several routers: list, restarts and time are the fleet's
}

// coldAttempt is one attempt sent to an engine that had restarted at startedAt.
type coldAttempt struct {
	engine        string
	at, startedAt int64
}

func newSimulation(w World, tracing bool) *simulation { return newRouterSimulation(w, 0, tracing) }

// newRouterSimulation is one router of a world, by its number.
func newRouterSimulation(w World, index int, tracing bool) *simulation {
	s := &simulation{world: w, deployment: w.Deployment(), now: startTime, drainNotifiedAt: map[string]int64{}, tracing: tracing,
		requestsSent: map[int]int{}, routerIndex: index, inFleet: w.Routers > 1 || w.Crowd}
	s.deployment.NodeNumber = index
	if s.inFleet {
		s.deployment.NodeName = fmt.Sprint("n", index)
	}
	s.startRouter()
	for i := range w.PrefillEngines + w.DecodeEngines {
		kind := "prefill"
		if i >= w.PrefillEngines {
			kind = "decode"
		}
		s.endpoints.Entries = append(s.endpoints.Entries, endpoint.Entry{ID: w.engineName(i), Kind: kind, Weight: 1, State: endpoint.Ready})
	}
	s.endpoints.Revision = 1
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
	for _, effect := range w.Effects {
		s.addClient(effect)
	}
	return s
}

// chatProtocol is the chat API's codec, which keeps no state.
var chatProtocol = chatapi.NewCodec(nil)

// startRouter starts an incarnation of the router.
func (s *simulation) startRouter() {
	s.incarnation++
	seed := uint64(s.incarnation + 16*s.routerIndex)
	s.core = router.New(s.deployment, chatProtocol, seed, int64(s.incarnation), s.now, s, violationObserver{s})
}

// killRouter ends the router at once and restarts it with its last endpoint list. Its clients lose what it held, and
// its engines have to expire it; nothing more may be sent for it.
func (s *simulation) killRouter() {
	s.earlierCoverage.Add(s.coverage())
	for _, c := range s.connections {
		if !c.closed && c.decodeWritten() {
			s.markRun(c.request)
		}
		c.closed, c.request = true, nil
	}
	s.connections, s.reservations.held = nil, nil
	for _, c := range s.clients {
		if c.isWaiting() {
			c.disconnect(outcomeLost)
		}
	}
	s.startRouter()
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
	for _, c := range s.clients {
		if !c.requested {
			s.handle(func() { s.core.ClientOpened(c.core) })
		}
	}
}

// handle passes an event to the core as the event loop of the edge does.
func (s *simulation) handle(event func()) {
	s.core.SetTime(s.now)
	event()
	s.core.RunDue(s.now)
}

// CatchUp has nothing to do: no time passes while a decision is made.
func (s *simulation) CatchUp() {}

// SendToPeer drops gossip: routers of a fleet share nothing but engines.
func (s *simulation) SendToPeer(int, string) {}

// Dial begins a connection that the adversary decides about.
func (s *simulation) Dial(core *router.EngineConnection) {
	s.connections = append(s.connections, &simulatedConnection{core: core, simulation: s})
}

// advanceTo moves the clock, and ends dials that have hung for too long.
func (s *simulation) advanceTo(to int64) {
	s.now = to
	for _, c := range s.connections {
		if !c.closed && c.hangingSince > 0 && s.now-c.hangingSince >= int64(s.deployment.Connections.DialTimeout) {
			c.closed = true
			s.handle(func() { s.core.EngineConnected(c.core, nil, io.ErrUnexpectedEOF) })
		}
	}
	s.handle(func() {})
}

// updateEndpoints passes the endpoint list to the router, and notes when it learned of a drain.
func (s *simulation) updateEndpoints() {
	for _, e := range s.endpoints.Entries {
		if _, ok := s.drainNotifiedAt[e.ID]; !ok && e.State == endpoint.Draining {
			s.drainNotifiedAt[e.ID] = s.now
		}
	}
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
}

// restartEngine ends an engine with all that it holds, as the endpoint list says already.
func (s *simulation) restartEngine(name string) {
	s.reservations.dropEngine(name)
	for _, c := range s.connections {
		if c.core.Engine == name && c.established && !c.closed {
			if c.decodeWritten() {
				s.markRun(c.request)
			}
			s.resetConnection(c)
		}
	}
	s.updateEndpoints()
}

// isQuiescent reports whether nothing is left to happen.
func (s *simulation) isQuiescent() bool {
	h := s.core.InFlight()
	if h.Requests > 0 || h.ControlRequests > 0 || h.Reservations > 0 || len(s.reservations.held) > 0 {
		return false
	}
	for _, c := range s.clients {
		if !c.requested || c.endedAt == 0 {
			return false
		}
	}
	return true
}

func (s *simulation) apply(e Event) {
	if e.fault != noFault {
		s.faultsUsed++
	}
	if s.tracing {
		s.trace = append(s.trace, e.Name)
	}
	e.apply()
	s.checkState()
}

func (s *simulation) isTerminal() bool       { return len(s.enabledEvents()) == 0 }
func (s *simulation) violations() []string   { return s.violated.texts }
func (s *simulation) elapsed() time.Duration { return time.Duration(s.now - startTime) }

func (s *simulation) coverage() (c Coverage) {
	c.Routing, c.Attempt, c.Connections = s.core.FiredTransitions()
	c.Add(s.earlierCoverage)
	return c
}

func (s *simulation) clientOutcomes() (outcomes []string) {
	for _, c := range s.clients {
		outcomes = append(outcomes, c.outcome)
	}
	return outcomes
}
