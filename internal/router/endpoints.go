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
	history        listHistory
	starts         engineStarts
	drains         attempt.UnavailableSince
	known          []string         // all engines that are listed, or were not long ago
	lastResponseAt map[string]int64 // when an engine's last answer began
}

// listHistory finds lists that are older than one that came before.
type listHistory struct {
	newestRevision int64
	latest         endpoint.List // as it came last, whatever its revision
	recheckAt      int64         // when latest has to be applied again; 0 for never
}

func newEndpointState() endpointState {
	return endpointState{drains: attempt.UnavailableSince{}, lastResponseAt: map[string]int64{}}
}

// find is what the list says of an engine; the zero entry for one that is not in it.
func (e *endpointState) find(engine string) endpoint.Entry {
	if e.current != nil {
		for _, entry := range e.current.Entries {
			if entry.ID == engine {
				return entry
			}
		}
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
func (e *endpointState) accept(list endpoint.List, now int64) endpoint.List {
	e.history.latest, e.history.recheckAt = list, 0
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
		e.history.recheckAt = max(e.history.recheckAt, drainedAt+drainRetention)
	}
	return entries
}

// noteEngines updates what is known of engines from those that are listed now, and forgets those that left long ago.
func (e *endpointState) noteEngines(listed []routing.Endpoint, now int64) {
	ready := make(map[string]bool, len(listed))
	for _, engine := range listed {
		ready[engine.Engine] = engine.Ready
		if !slices.Contains(e.known, engine.Engine) {
			e.known = append(e.known, engine.Engine)
		}
	}
	e.drains.NoteAll(ready, e.known, now)
	departed := func(engine string, since int64) bool {
		_, isListed := ready[engine]
		return !isListed && now-since > departedRetention
	}
	e.known = slices.DeleteFunc(e.known, func(engine string) bool {
		if !departed(engine, e.drains[engine]) {
			return false
		}
		delete(e.drains, engine)
		return true
	})
	maps.DeleteFunc(e.lastResponseAt, departed)
}

// UpdateEndpoints handles a new endpoint list.
func (r *Router) UpdateEndpoints(list endpoint.List) {
	list = r.endpoints.accept(list, r.now)
	list.Entries = r.endpoints.starts.normalize(list.Entries, r.now)
	update, unknown := r.config.EndpointUpdate(list)
	r.endpoints.noteEngines(update.Engines, r.now)
	r.endpoints.current = &list
	r.closeMovedConnections()
	r.observer.EndpointsUpdated(list.Revision, len(update.Engines), unknown)
	r.notifyPolicy(update)
}

// reapplyEndpoints applies the latest list again once drains do not hold against it any more.
func (r *Router) reapplyEndpoints() {
	if recheckAt := r.endpoints.history.recheckAt; recheckAt > 0 && r.now >= recheckAt {
		r.UpdateEndpoints(r.endpoints.history.latest)
	}
}

// closeMovedConnections closes the idle connections to addresses that their engines have left: another engine may listen
// there by now. Those that carry something are closed after it.
func (r *Router) closeMovedConnections() {
	addresses := map[string]string{}
	for _, entry := range r.endpoints.current.Entries {
		addresses[entry.ID] = cmp.Or(entry.Address, entry.ID)
	}
	for _, id := range r.connections.IDs() {
		conn := r.connections.byID[id]
		if conn == nil {
			continue
		}
		if address, listed := addresses[conn.Engine]; listed && address != conn.Address && r.connections.State(id) == connpool.Idle {
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
