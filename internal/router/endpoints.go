package router

import (
	"cmp"
	"slices"
	"time"

	"sandcourse/internal/attempt"
	"sandcourse/internal/config"
	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// departedRetention is how long the router remembers an engine that has left the endpoint list. A minute is several times
// the longest dial, so no dial from before the engine left is pending by then.
const departedRetention = int64(time.Minute)

// drainRetention is how long a drain takes precedence over an endpoint list of an older revision. Discovery agents lag by
// seconds; an older list that stays for longer comes from a store that was restored.
const drainRetention = int64(10 * time.Second)

// endpointState holds the endpoint list, and the state of the engines that are or were in it.
type endpointState struct {
	current      *endpoint.List // the list in use; nil until the first list is received
	positions    map[string]int // index into the entries of current, by engine
	history      listHistory
	starts       engineStarts
	drains       attempt.UnavailableSince // times since which engines have been draining or not listed
	listCount    uint64                   // number of lists received
	lastListedIn map[string]uint64        // number of the last list that had an engine; kept for departedRetention
	responders   responders               // listed engines in the order of their last responses
}

// listHistory detects lists that are older than one received before.
type listHistory struct {
	newestRevision int64
	latest         endpoint.List // the list received last, whatever its revision
	reapplyAt      int64         // time at which latest must be applied again; 0 for never
}

func newEndpointState() endpointState {
	return endpointState{positions: map[string]int{}, drains: attempt.UnavailableSince{}, lastListedIn: map[string]uint64{},
		responders: newResponders()}
}

// setCurrent makes a list the current one.
func (e *endpointState) setCurrent(list *endpoint.List) {
	sameEngines := e.current != nil && slices.EqualFunc(e.current.Entries, list.Entries, func(a, b endpoint.Entry) bool { return a.ID == b.ID })
	e.current = list
	if sameEngines {
		return
	}
	clear(e.positions)
	for i := len(list.Entries) - 1; i >= 0; i-- { // if an engine has two entries, the first one counts
		e.positions[list.Entries[i].ID] = i
	}
}

// isListed reports whether an engine is in the current list.
func (e *endpointState) isListed(engine string) bool {
	_, listed := e.positions[engine]
	return listed
}

// find returns the entry of an engine in the current list, or the zero entry if the engine is not listed.
func (e *endpointState) find(engine string) endpoint.Entry {
	if i, listed := e.positions[engine]; listed {
		return e.current.Entries[i]
	}
	return endpoint.Entry{}
}

// target returns the role epoch of an engine and its address for this router, which is the engine's ID unless the list has
// an address.
func (e *endpointState) target(engine string) protocol.Target {
	entry := e.find(engine)
	return protocol.Target{Address: cmp.Or(entry.Address, engine), RoleEpoch: entry.RoleEpoch}
}

// acceptList records the latest list and returns the list to apply. The latest list may be older than one received
// before, for example after discovery has moved to an agent that lags. Engines that were drained or removed recently are
// then returned as draining.
func (e *endpointState) acceptList(list endpoint.List, now int64) endpoint.List {
	e.history.latest, e.history.reapplyAt = list, 0
	if list.Revision < e.history.newestRevision {
		list.Entries = e.withRecentDrains(list.Entries, now)
	}
	e.history.newestRevision = max(e.history.newestRevision, list.Revision)
	return list
}

// withRecentDrains returns the entries of an older list, in which engines that were drained or removed recently are draining.
func (e *endpointState) withRecentDrains(entries []endpoint.Entry, now int64) []endpoint.Entry {
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

// recordEngines updates the state of engines from those that are listed now, and forgets engines that left long ago.
func (e *endpointState) recordEngines(listed []routing.Endpoint, now int64) {
	e.listCount++
	for i := range listed {
		engine := &listed[i]
		e.lastListedIn[engine.Engine] = e.listCount
		e.drains.Record(engine.Engine, engine.Ready, now)
	}
	for engine, list := range e.lastListedIn {
		if list == e.listCount {
			continue
		}
		e.drains.Record(engine, false, now)
		if now-e.drains[engine] > departedRetention {
			delete(e.lastListedIn, engine)
			delete(e.drains, engine)
		}
	}
	e.responders.forget(func(engine string) bool { return e.lastListedIn[engine] == e.listCount })
}

// UpdateEndpoints handles a new endpoint list.
func (r *Router) UpdateEndpoints(list endpoint.List) {
	list = r.endpoints.acceptList(list, r.now)
	list.Entries = r.endpoints.starts.normalize(list.Entries, r.now)
	update, unknown := r.config.EndpointUpdate(list)
	r.endpoints.recordEngines(update.Engines, r.earliestEventTime()) // A drain counts from its earliest possible announcement.
	r.endpoints.setCurrent(&list)
	r.closeIdleToOldAddresses()
	r.observer.EndpointsUpdated(list.Revision, len(update.Engines), unknown)
	r.notifyPolicy(update)
}

// reapplyEndpoints applies the latest list again once recent drains no longer take precedence over it.
func (r *Router) reapplyEndpoints() {
	if reapplyAt := r.endpoints.history.reapplyAt; reapplyAt > 0 && r.now >= reapplyAt {
		r.UpdateEndpoints(r.endpoints.history.latest)
	}
}

// closeIdleToOldAddresses closes the idle connections to addresses that their engines no longer have: another engine may
// listen there now. A busy connection is discarded before its next attempt, or closed with a later list.
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

// isPrefill reports whether an attempt at an engine requests a prefill. The engine's role decides. An engine of both roles
// that needs a separate prefill request gets one if the request has no reservation yet.
func (r *Router) isPrefill(engine string, req *request) bool {
	switch r.config.Role(r.endpoints.find(engine).Kind) {
	case config.RolePrefill:
		return true
	case config.RoleDecode:
		return false
	}
	return req.reservationHandle == nil && !r.protocol.MixedEnginePrefillsOnDecode()
}
