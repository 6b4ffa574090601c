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

// departed is for how long an engine is remembered that has left the list. A minute: several times what a
// connection may need to come up, after which nothing is written to it.
const departed = int64(time.Minute)

// reads is whether a send to an engine asks for a read: by its kind, or, where an engine of both roles does not
// answer what it is asked to read, by whether a state is at hand.
func (o *Core) reads(engineID string, inf *inference) bool {
	switch o.d.Role(o.entry(engineID).Kind) {
	case "read":
		return true
	case "write":
		return false
	}
	return inf.transfer == nil && !o.protocol.MixedEnginePrefillsOnDecode()
}

// entry is what the list says of an engine; nothing of one that is not in it.
func (o *Core) entry(engineID string) endpoint.Entry {
	if o.list != nil {
		for _, e := range o.list.Entries {
			if e.ID == engineID {
				return e
			}
		}
	}
	return endpoint.Entry{}
}

// reach is how an engine is reached from this node: by its id, unless the list says another place.
func (o *Core) reach(engineID string) protocol.Target {
	e := o.entry(engineID)
	return protocol.Target{Address: cmp.Or(e.Address, engineID), RoleEpoch: e.RoleEpoch}
}

// takeList takes a list of engines, which replaces the one before.
func (o *Core) takeList(list endpoint.List) {
	list.Entries = o.starts.settle(list.Entries, o.now)
	news, unknown := o.d.EndpointUpdate(list)
	ready := map[string]bool{}
	for _, e := range news.Engines {
		ready[e.Engine] = e.Ready
		if !slices.Contains(o.listed, e.Engine) {
			o.listed = append(o.listed, e.Engine)
		}
	}
	o.told.HearAll(ready, o.listed, o.now)
	o.listed = slices.DeleteFunc(o.listed, func(engine string) bool {
		_, listed := ready[engine]
		gone := !listed && o.now-o.told[engine] > departed
		if gone {
			delete(o.told, engine)
		}
		return gone
	})
	maps.DeleteFunc(o.answeredAt, func(engine string, at int64) bool {
		_, listed := ready[engine]
		return !listed && o.now-at > departed
	})
	o.list = &list
	o.closeMoved()
	o.watch.Listed(list.Revision, len(news.Engines), unknown)
	o.tell(news)
}

// closeMoved closes the idle connections to addresses that are not their engines' any more: another engine may listen
// there by now. Those that carry something are left to it, and closed behind it.
func (o *Core) closeMoved() {
	hosts := map[string]string{}
	for _, e := range o.list.Entries {
		hosts[e.ID] = cmp.Or(e.Address, e.ID)
	}
	for _, id := range o.pool.All() {
		l := o.lines[id]
		if l == nil {
			continue
		}
		if host, listed := hosts[l.Engine]; listed && host != l.Host && o.pool.State(id) == connpool.Idle {
			o.pool.Happen(id, connpool.Aged, o.now)
			o.closeLine(id)
		}
	}
}

func (o *Core) unready() string {
	switch {
	case o.stopping:
		return "this node is stopping"
	case o.list == nil:
		return "no list of engines has come yet"
	case len(o.list.Entries) == 0:
		return "the list of engines is empty"
	}
	return ""
}

// Heard takes a text of another node.
func (o *Core) Heard(from int, text string) {
	o.heardAt = o.now
	o.tell(routing.GossipReceived{From: from, Text: text})
}
