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

// simulation is one execution of a single router.
type simulation struct {
	world           World
	deployment      *config.Deployment
	now             int64
	core            *router.Router
	clients         []*simulatedClient
	connections     []*simulatedConnection
	reservations    reservationLedger
	faultsInjected  int
	endpoints       endpoint.List
	drainNotifiedAt map[string]int64 // time at which the router was notified of the drain of each engine
	violationLog    violationLog
	trace           []string
	tracing         bool
	incarnation     int         // incarnation of the router, which may be killed and restarted
	earlierCoverage Coverage    // coverage of earlier incarnations
	requestsSent    map[int]int // number of requests sent, by incarnation
	clientsOpened   int
	routerIndex     int           // index of the router in its fleet
	coldAttempts    []coldAttempt // attempts to engines that have restarted
	inFleet         bool          // the fleet manages the endpoint list, engine restarts and time
}

// coldAttempt is one attempt sent to an engine that had restarted at startedAt.
type coldAttempt struct {
	engine        string
	at, startedAt int64
}

func newSimulation(w World, tracing bool) *simulation { return newRouterSimulation(w, 0, tracing) }

// newRouterSimulation returns the simulation of the router with an index in its fleet.
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

// chatProtocol is the codec of the chat API. It is stateless, so all simulations share it.
var chatProtocol = chatapi.NewCodec(nil)

// startRouter starts a new incarnation of the router.
func (s *simulation) startRouter() {
	s.incarnation++
	seed := uint64(s.incarnation + 16*s.routerIndex)
	s.core = router.New(s.deployment, chatProtocol, seed, int64(s.incarnation), s.now, s, violationObserver{s})
}

// killRouter kills the router and restarts it with its last endpoint list. Clients lose their open requests, and the
// reservations of these requests expire at the engines; the restarted router must send nothing more for them.
func (s *simulation) killRouter() {
	s.earlierCoverage.Add(s.coverage())
	for _, c := range s.connections {
		if !c.closed && c.hasReceivedDecode() {
			s.recordPossibleRun(c.request)
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
		if !c.requestSent {
			s.handle(func() { s.core.ClientOpened(c.connection) })
		}
	}
}

// handle passes an event to the core in the same way as the event loop of the edge.
func (s *simulation) handle(event func()) {
	s.core.SetTime(s.now)
	event()
	s.core.RunDue(s.now)
}

// CatchUp has no effect: no simulated time passes during a step of the core.
func (s *simulation) CatchUp() {}

// SendToPeer drops gossip: simulated routers do not exchange messages.
func (s *simulation) SendToPeer(int, string) {}

// Dial starts a dial whose result the adversary chooses.
func (s *simulation) Dial(conn *router.EngineConnection) {
	s.connections = append(s.connections, &simulatedConnection{engineConnection: conn, simulation: s})
}

// advanceTo advances the clock, and fails dials that have hung for the dial timeout.
func (s *simulation) advanceTo(to int64) {
	s.now = to
	for _, c := range s.connections {
		if !c.closed && c.hangingSince > 0 && s.now-c.hangingSince >= int64(s.deployment.Connections.DialTimeout) {
			c.closed = true
			s.handle(func() { s.core.EngineConnected(c.engineConnection, nil, io.ErrUnexpectedEOF) })
		}
	}
	s.handle(func() {})
}

// updateEndpoints passes the endpoint list to the router, and records when the router was first notified of each drain.
func (s *simulation) updateEndpoints() {
	for _, e := range s.endpoints.Entries {
		if _, ok := s.drainNotifiedAt[e.ID]; !ok && e.State == endpoint.Draining {
			s.drainNotifiedAt[e.ID] = s.now
		}
	}
	s.handle(func() { s.core.UpdateEndpoints(s.endpoints) })
}

// restartEngine drops the connections and reservations of an engine. The endpoint list already contains the restart.
func (s *simulation) restartEngine(name string) {
	s.reservations.removeEngine(name)
	for _, c := range s.connections {
		if c.engineConnection.Engine == name && c.established && !c.closed {
			if c.hasReceivedDecode() {
				s.recordPossibleRun(c.request)
			}
			s.resetConnection(c)
		}
	}
	s.updateEndpoints()
}

// isQuiescent reports whether all clients have an outcome, and neither the router nor an engine holds requests or reservations.
func (s *simulation) isQuiescent() bool {
	inFlight := s.core.InFlight()
	if inFlight.Requests > 0 || inFlight.ControlRequests > 0 || inFlight.Reservations > 0 || len(s.reservations.held) > 0 {
		return false
	}
	for _, c := range s.clients {
		if !c.requestSent || c.endedAt == 0 {
			return false
		}
	}
	return true
}

func (s *simulation) apply(e Event) {
	if e.fault != noFault {
		s.faultsInjected++
	}
	if s.tracing {
		s.trace = append(s.trace, e.Name)
	}
	e.apply()
	s.checkState()
}

func (s *simulation) isTerminal() bool       { return len(s.enabledEvents()) == 0 }
func (s *simulation) violations() []string   { return s.violationLog.texts }
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
