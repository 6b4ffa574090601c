package router

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/connpool"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/protocol"
	"sandcourse/internal/routing"
)

// departedRetention is for how long an engine is remembered that has left the list. A minute: several times what a
// connection may need to come up, after which nothing is written to it.
const departedRetention = int64(time.Minute)

// isPrefill is whether a send to an engine asks for a read: by its kind, or, where an engine of both roles does not
// answer what it is asked to read, by whether a state is at hand.
func (r *Router) isPrefill(engineID string, req *request) bool {
	switch r.config.Role(r.endpointOf(engineID).Kind) {
	case "read":
		return true
	case "write":
		return false
	}
	return req.transfer == nil && !r.protocol.MixedEnginePrefillsOnDecode()
}

// endpointOf is what the list says of an engine; nothing of one that is not in it.
func (r *Router) endpointOf(engineID string) endpoint.Entry {
	if r.endpoints != nil {
		for _, e := range r.endpoints.Entries {
			if e.ID == engineID {
				return e
			}
		}
	}
	return endpoint.Entry{}
}

// engineAddress is how an engine is reached from this node: by its id, unless the list says another place.
func (r *Router) engineAddress(engineID string) protocol.Target {
	e := r.endpointOf(engineID)
	return protocol.Target{Address: cmp.Or(e.Address, engineID), RoleEpoch: e.RoleEpoch}
}

// replaceEndpoints takes a list of engines, which replaces the one before.
func (r *Router) replaceEndpoints(list endpoint.List) {
	list.Entries = r.starts.normalize(list.Entries, r.now)
	update, unknown := r.config.EndpointUpdate(list)
	ready := map[string]bool{}
	for _, e := range update.Engines {
		ready[e.Engine] = e.Ready
		if !slices.Contains(r.knownEngines, e.Engine) {
			r.knownEngines = append(r.knownEngines, e.Engine)
		}
	}
	r.drains.NoteAll(ready, r.knownEngines, r.now)
	r.knownEngines = slices.DeleteFunc(r.knownEngines, func(engine string) bool {
		_, listed := ready[engine]
		gone := !listed && r.now-r.drains[engine] > departedRetention
		if gone {
			delete(r.drains, engine)
		}
		return gone
	})
	maps.DeleteFunc(r.lastResponseAt, func(engine string, at int64) bool {
		_, listed := ready[engine]
		return !listed && r.now-at > departedRetention
	})
	r.endpoints = &list
	r.closeMovedConnections()
	r.observer.EndpointsUpdated(list.Revision, len(update.Engines), unknown)
	r.notifyPolicy(update)
}

// closeMovedConnections closes the idle connections to addresses that are not their engines' any more: another engine may listen
// there by now. Those that carry something are left to it, and closed behind it.
func (r *Router) closeMovedConnections() {
	hosts := map[string]string{}
	for _, e := range r.endpoints.Entries {
		hosts[e.ID] = cmp.Or(e.Address, e.ID)
	}
	for _, id := range r.pool.IDs() {
		conn := r.engineConnections[id]
		if conn == nil {
			continue
		}
		if host, listed := hosts[conn.Engine]; listed && host != conn.Host && r.pool.State(id) == connpool.Idle {
			r.pool.Handle(id, connpool.IdleExpired, r.now)
			r.closeConnection(id)
		}
	}
}

func (r *Router) notReadyReason() string {
	switch {
	case r.stopping:
		return "this node is stopping"
	case r.endpoints == nil:
		return "no list of engines has come yet"
	case len(r.endpoints.Entries) == 0:
		return "the list of engines is empty"
	}
	return ""
}

// ReceivePeerMessage takes a text of another node.
func (r *Router) ReceivePeerMessage(from int, text string) {
	r.peerHeardAt = r.now
	r.notifyPolicy(routing.GossipReceived{From: from, Text: text})
}
