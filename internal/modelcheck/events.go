package modelcheck

import (
	"fmt"
	"io"
	"slices"

	"sandcourse/internal/endpoint"
)

// enabledEvents lists the events that are possible now, in an order that depends only on the state.
func (s *simulation) enabledEvents() []Event {
	list, pending := s.routerEvents()
	if s.inFleet {
		return list.events
	}
	for i, e := range s.endpoints.Entries {
		if e.State != endpoint.Ready {
			continue
		}
		list.add(Event{Name: drainEventName(e.ID), Action: DrainEngine, Engine: e.ID, fault: FaultDrain, apply: func() {
			s.endpoints = withDraining(s.endpoints, i)
			s.updateEndpoints()
		}})
		list.add(Event{Name: restartEventName(e.ID), Action: RestartEngine, Engine: e.ID, fault: FaultRestart, apply: func() {
			s.endpoints = withRestarted(s.endpoints, i, s.now)
			s.restartEngine(e.ID)
		}})
	}
	if !pending && !s.isQuiescent() {
		due := max(s.core.NextDue(), s.now)
		list.add(Event{Name: "time passes", Action: TimePasses, apply: func() { s.advanceTo(due) }})
		list.add(Event{Name: lateTimersEventName, Action: TimePasses, fault: FaultDelay, apply: func() { s.advanceTo(due + int64(timerDelay)) }})
	}
	return list.events
}

var lateTimersEventName = fmt.Sprintf("time passes, and timers fire %v late", timerDelay)

func drainEventName(engine string) string {
	return "the endpoint list marks " + engine + " as draining"
}
func restartEventName(engine string) string { return engine + " restarts and warms up" }

// withDraining returns the next revision of an endpoint list, with one engine draining.
func withDraining(list endpoint.List, i int) endpoint.List {
	list.Revision++
	list.Entries = slices.Clone(list.Entries)
	list.Entries[i].State = endpoint.Draining
	return list
}

// withRestarted returns the next revision of an endpoint list, with one engine restarted.
func withRestarted(list endpoint.List, i int, now int64) endpoint.List {
	list.Revision++
	list.Entries = slices.Clone(list.Entries)
	list.Entries[i].StartedAtMs = now / 1e6
	return list
}

// routerEvents lists the events that are possible at this router and on its connections. Pending reports whether one of
// them has to happen before time passes.
func (s *simulation) routerEvents() (list *eventList, pending bool) {
	list = &eventList{world: s.world, faultsInjected: s.faultsInjected}
	for _, c := range s.clients {
		pending = s.addClientEvents(list, c) || pending
	}
	for _, c := range s.connections {
		if !c.closed {
			pending = s.addConnectionEvents(list, c) || pending
		}
	}
	if slices.ContainsFunc(s.clients, (*simulatedClient).isWaiting) {
		list.addNamed(FaultKill, s.killRouter, "the router is killed and restarts")
	}
	return list, pending
}

func (s *simulation) addClientEvents(list *eventList, c *simulatedClient) (pending bool) {
	switch {
	case !c.requestSent:
		list.add(Event{Name: fmt.Sprintf("client %d sends a request (%s)", c.number, c.effect), Action: SendRequest, Client: c.number,
			apply: func() { s.sendRequest(c) }})
		return true
	case c.endedAt == 0 && !c.disconnected:
		list.add(Event{Name: fmt.Sprintf("client %d disconnects", c.number), Action: DisconnectClient, Client: c.number, fault: FaultDisconnect,
			apply: func() {
				c.disconnect(outcomeAbandoned)
				s.handle(func() { s.core.ClientDisconnected(c.connection) })
			}})
	case c.outcome == outcomeAbandoned && !c.retried:
		list.add(Event{Name: fmt.Sprintf("client %d reconnects and repeats its request", c.number), Action: RepeatRequest, Client: c.number,
			fault: FaultRetry, apply: func() {
				c.retried = true
				s.sendRequest(s.addClient(c.effect))
			}})
	}
	return false
}

func (s *simulation) addConnectionEvents(list *eventList, c *simulatedConnection) (pending bool) {
	switch r := c.request; {
	case c.hangingSince > 0:
		list.addNamed(noFault, func() {
			c.hangingSince = 0
			s.establish(c)
		}, "connection to %s is established after a delay", c.engineConnection.Engine)
		return false
	case !c.established:
		s.addDialEvents(list, c)
		return true
	case c.hasUnreadBytes && r == nil:
		s.addUnreadBytesEvents(list, c)
		return true
	case c.halfClosed && r == nil:
		list.addNamed(noFault, func() { s.endHalfClosed(c, false) }, "%s ends the half-closed connection", c.engineConnection.Engine)
		return true
	case r == nil:
		list.addNamed(FaultGarbled, func() {
			s.handle(func() { s.core.ResponseHead(c.engineConnection, okHead(), nil) })
		}, "unexpected bytes arrive from %s on an idle connection", c.engineConnection.Engine)
		return false
	case c.partlyWritten:
		s.addPartialWriteEvents(list, c)
		return !r.unresponsive
	case r.unresponsive:
		addResponse(list, r, BecomeResponsive, noFault, func() { r.unresponsive = false })
		return false
	default:
		s.addResponses(list, r)
		if c.halfClosed {
			s.addHalfClosedEvents(list, c)
		}
		return true
	}
}

// addHalfClosedEvents adds the ways in which an engine lets go of an abandoned attempt.
func (s *simulation) addHalfClosedEvents(list *eventList, c *simulatedConnection) {
	r, engine := c.request, c.engineConnection.Engine
	list.addNamed(noFault, func() { s.endHalfClosed(c, false) }, "%s ends the abandoned %s", engine, r.describe())
	if r.kind == PrefillRequest {
		list.addNamed(noFault, func() { s.endHalfClosed(c, true) }, "%s ends the abandoned %s, and holds its reservation", engine, r.describe())
	}
}

// establish completes a dial.
func (s *simulation) establish(c *simulatedConnection) {
	c.established = true
	s.handle(func() { s.core.EngineConnected(c.engineConnection, c, nil) })
}

func (s *simulation) addDialEvents(list *eventList, c *simulatedConnection) {
	engine := c.engineConnection.Engine
	list.addNamed(FaultConnect, func() {
		c.hangingSince = s.now
		s.reservations.recordFailedDial(engine)
	}, "connection to %s hangs", engine)
	list.addNamed(FaultPartialWrite, func() {
		c.partlyWritten = true
		s.establish(c)
	}, "connection to %s is established and accepts part of the request", engine)
	list.add(Event{Name: "connection to " + engine + " is established", Action: EstablishConnection, Engine: engine,
		apply: func() { s.establish(c) }})
	list.addNamed(FaultConnect, func() {
		c.closed = true
		s.reservations.recordFailedDial(engine)
		s.handle(func() { s.core.EngineConnected(c.engineConnection, nil, io.ErrUnexpectedEOF) })
	}, "connection to %s fails", engine)
}

func (s *simulation) addUnreadBytesEvents(list *eventList, c *simulatedConnection) {
	name := "the rest of the response from " + c.engineConnection.Engine + " arrives"
	list.add(Event{Name: name + ", and unexpected bytes", Action: DeliverUnreadBytes, Engine: c.engineConnection.Engine, fault: FaultGarbled, apply: func() {
		s.handle(func() { s.core.ResponseComplete(c.engineConnection, nil, false) })
	}})
	list.add(Event{Name: name, Action: DeliverUnreadBytes, Engine: c.engineConnection.Engine, apply: func() {
		c.hasUnreadBytes = false
		s.handle(func() { s.core.ResponseComplete(c.engineConnection, nil, true) })
	}})
}

func (s *simulation) addPartialWriteEvents(list *eventList, c *simulatedConnection) {
	r, engine := c.request, c.engineConnection.Engine
	if !r.unresponsive {
		list.addNamed(noFault, func() { c.partlyWritten = false }, "the rest of the request to %s is sent", engine)
		list.addNamed(noFault, func() { r.unresponsive = true }, "the rest of the request to %s is delayed", engine)
	} else {
		list.addNamed(noFault, func() { c.partlyWritten, r.unresponsive = false, false }, "the rest of the request to %s is sent late", engine)
	}
	list.addNamed(FaultReset, func() { s.resetConnection(c) }, "connection to %s is reset with part of the request sent", engine)
}
