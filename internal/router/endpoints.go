package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// departedRetention is for how long an engine is remembered that has left the endpoint list. A minute is several times what
// a connection may need to come up, after which nothing is written to it.
const departedRetention = int64(time.Minute)

// drainRetention is for how long a drain holds against a list of an older revision. Agents of discovery lag by seconds; an
// older list that stays for longer is that of a store that was restored.
const drainRetention = int64(10 * time.Second)

// endpointState is the endpoint list, and what is known of the engines that are or were in it.
type endpointState struct {
	current        *endpoint.List // nil until the first one comes
	positions      map[string]int // in the entries of current, by engine
	history        listHistory
	starts         engineStarts
	drains         attempt.UnavailableSince
	listCount      uint64            // how many have come
	lastListedIn   map[string]uint64 // the last list that had an engine; of all that are listed, or were not long ago
	lastResponseAt map[string]int64  // when an engine's last answer began
}

// listHistory finds lists that are older than one that came before.
type listHistory struct {
	newestRevision int64
	latest         endpoint.List // as it came last, whatever its revision
	reapplyAt      int64         // when latest has to be applied again; 0 for never
}

func newEndpointState() endpointState {
	return endpointState{positions: map[string]int{}, drains: attempt.UnavailableSince{}, lastListedIn: map[string]uint64{},
		lastResponseAt: map[string]int64{}}
}

// setCurrent makes a list the present one.
func (e *endpointState) setCurrent(list *endpoint.List) {
	sameEngines := e.current != nil && slices.EqualFunc(e.current.Entries, list.Entries, func(a, b endpoint.Entry) bool { return a.ID == b.ID })
	e.current = list
	if sameEngines {
		return
	}
	clear(e.positions)
	for i := len(list.Entries) - 1; i >= 0; i-- { // of two entries of one engine the first counts
		e.positions[list.Entries[i].ID] = i
	}
}

// isListed is whether an engine is in the present list.
func (e *endpointState) isListed(engine string) bool {
	_, listed := e.positions[engine]
	return listed
}

// find is what the list says of an engine; the zero entry for one that is not in it.
func (e *endpointState) find(engine string) endpoint.Entry {
	if i, listed := e.positions[engine]; listed {
		return e.current.Entries[i]
	}
	return endpoint.Entry{}
}

// target is where an engine is reached from this router: its ID is its address, unless the list has another.
func (e *endpointState) target(engine string) protocol.Target {
	entry := e.find(engine)
	return protocol.Target{Address: cmp.Or(entry.Address, engine), RoleEpoch: entry.RoleEpoch}
}

// accept notes the latest list. Engines that were drained, or had left, not long ago stay so in a list that is older than the
// one that said so, as when discovery has moved to an agent that lags.
func (e *endpointState) acceptList(list endpoint.List, now int64) endpoint.List {
	e.history.latest, e.history.reapplyAt = list, 0
	if list.Revision < e.history.newestRevision {
		list.Entries = e.keepDrains(list.Entries, now)
	}
	e.history.newestRevision = max(e.history.newestRevision, list.Revision)
	return list
}

// keepDrains returns the entries of an older list, with those draining that were drained or gone not long ago.
func (e *endpointState) keepDrains(entries []endpoint.Entry, now int64) []endpoint.Entry {
	entries = slices.Clone(entries)
	for i := range entries {
		entry := &entries[i]
		drainedAt := e.drains[entry.ID]
		if entry.State != endpoint.Ready || drainedAt == 0 || now-drainedAt >= drainRetention || e.starts.isRestart(*entry) {
			continue
		}
		entry.State = endpoint.Draining
		e.history.reapplyAt = max(e.history.reapplyAt, drainedAt+drainRetention)
	}
	return entries
}

// noteEngines updates what is known of engines from those that are listed now, and forgets those that left long ago.
func (e *endpointState) recordEngines(listed []routing.Endpoint, now int64) {
	e.listCount++
	for i := range listed {
		engine := &listed[i]
		e.lastListedIn[engine.Engine] = e.listCount
		e.drains.Note(engine.Engine, engine.Ready, now)
	}
	for engine, list := range e.lastListedIn {
		if list == e.listCount {
			continue
		}
		e.drains.Note(engine, false, now)
		if now-e.drains[engine] > departedRetention {
			delete(e.lastListedIn, engine)
			delete(e.drains, engine)
		}
	}
	maps.DeleteFunc(e.lastResponseAt, func(engine string, at int64) bool {
		return e.lastListedIn[engine] != e.listCount && now-at > departedRetention
	})
}

// UpdateEndpoints handles a new endpoint list.
func (r *Router) UpdateEndpoints(list endpoint.List) {
	list = r.endpoints.acceptList(list, r.now)
	list.Entries = r.endpoints.starts.normalize(list.Entries, r.now)
	update, unknown := r.config.EndpointUpdate(list)
	r.endpoints.recordEngines(update.Engines, r.earliestEventTime()) // drains count from when they were told
	r.endpoints.setCurrent(&list)
	r.closeIdleToOldAddresses()
	r.observer.EndpointsUpdated(list.Revision, len(update.Engines), unknown)
	r.notifyPolicy(update)
}

// reapplyEndpoints applies the latest list again once drains do not hold against it any more.
func (r *Router) reapplyEndpoints() {
	if recheckAt := r.endpoints.history.reapplyAt; recheckAt > 0 && r.now >= recheckAt {
		r.UpdateEndpoints(r.endpoints.history.latest)
	}
}

// closeMovedConnections closes the idle connections to addresses that their engines have left: another engine may listen
// there by now. Those that carry something are closed after it.
func (r *Router) closeIdleToOldAddresses() {
	for _, id := range r.connections.IDs() {
		conn := r.connections.byID[id]
		if conn == nil || !r.endpoints.isListed(conn.Engine) {
			continue
		}
		if r.endpoints.target(conn.Engine).Address != conn.Address && r.connections.State(id) == connpool.Idle {
			r.connections.Handle(id, connpool.IdleExpired, r.now)
			r.closeConnection(id)
		}
	}
}

// isPrefill is whether an attempt at an engine asks for a prefill: by the engine's role, or, where an engine of both roles has
// to be asked for the prefill first, by whether the request has no reservation yet.
func (r *Router) isPrefill(engine string, req *request) bool {
	switch r.config.Role(r.endpoints.find(engine).Kind) {
	case config.RolePrefill:
		return true
	case config.RoleDecode:
		return false
	}
	return req.transfer == nil && !r.protocol.MixedEnginePrefillsOnDecode()
}
