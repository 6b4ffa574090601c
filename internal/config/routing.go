package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/routing"
)

// RoutingConfig is the part of the deployment that routing decisions depend on.
func (d *Deployment) RoutingConfig() routing.Config {
	c := d.platformOrScriptConfig()
	// Decisions may use a reservation for five eighths of its limit. The rest is for releasing it: one
	// attempt to tell the engine may hang for a quarter, and another follows.
	c.SetReservationLimit(d.Rules.ReservationLimit * 5 / 8)
	// The dedup windows are those that the node's gate keeps to, so that no decision asks for what the gate
	// holds back.
	for i, route := range d.Routes {
		c.Routes[i].DedupWindow = max(0, route.DedupWindow-invariant.MaxDelay)
	}
	return c
}

// platformOrScriptConfig is the configuration as the platform gave it, or else as the script comes to.
func (d *Deployment) platformOrScriptConfig() routing.Config {
	if d.PlatformRouting != nil {
		c := *d.PlatformRouting
		c.Routes = slices.Clone(c.Routes)
		return c
	}
	c := routing.Config{Node: d.NodeNumber, Nodes: d.NodeCount, Zone: indexOf(d.zones(), d.Zone), Tick: d.TickInterval,
		MaxAttempts: d.MaxAttempts, Cancel: true, HealthChecks: d.HealthChecks, SuggestRetryAfter: d.MaxRetryAfter > 0,
		MaxRetryAfter: d.MaxRetryAfter, SlowStart: routing.SlowStart{Duration: d.Rules.SlowStart,
			Share: d.Rules.SlowStartShare, Multiple: d.Rules.OverloadMultiple, Window: d.Rules.OverloadWindow}}
	for _, r := range d.Routes {
		c.Routes = append(c.Routes, r.routing())
	}
	for _, k := range d.Kinds {
		c.Kinds = append(c.Kinds, k.routing())
	}
	return c
}

// routing is the route as decisions know it. The words of the settings are checked when they are read.
func (r Route) routing() routing.Route {
	effect, _ := routing.ParseEffect(string(r.Effect))
	group, _ := routing.ParseDedupGroup(string(r.DedupGroup))
	return routing.Route{Effect: effect, DedupGroup: group, PriorityWeight: r.PriorityWeight,
		FirstTokenObjective: r.FirstTokenObjective, ObjectivePer1000Tokens: r.ObjectivePer1000Tokens}
}

// routing is the kind of engine as decisions know it. The words of the settings are checked when they are
// read.
func (k EngineKind) routing() routing.EngineKind {
	role, _ := routing.ParseRole(string(k.Role))
	return routing.EngineKind{Role: role, MemoryTokens: k.MemoryTokens}
}

// EndpointUpdate turns an endpoint list into the event that routing decisions learn it by. Entries of a kind that the
// settings do not name cannot be sent to; their IDs are returned.
func (d *Deployment) EndpointUpdate(list endpoint.List) (update routing.EndpointUpdate, unknown []string) {
	update.Complete = true
	update.Engines = make([]routing.Endpoint, 0, len(list.Entries))
	zones := d.zones()
	for _, e := range list.Entries {
		kind := slices.IndexFunc(d.Kinds, func(k EngineKind) bool { return k.Name == e.Kind })
		if kind < 0 {
			unknown = append(unknown, e.ID)
			continue
		}
		update.Engines = append(update.Engines, routing.Endpoint{Engine: e.ID, Weight: e.Weight, Kind: kind,
			Zone: zoneIndex(zones, e.Zone), Cell: placeID(e.Zone + "/" + e.Cell),
			StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond,
			Ready:     e.State == endpoint.Ready, Draining: e.State == endpoint.Draining})
	}
	return update, unknown
}

// zoneIndex is the zone's index among those of the settings, or the number that its name gives.
func zoneIndex(zones []string, zone string) int {
	if i := slices.Index(zones, zone); i >= 0 {
		return i
	}
	return placeID(zone)
}

// placeID numbers a zone or cell by its name, so that it has the same number in every list. Numbers in the order of a
// list would change with it, and a retry could go to a cell that does not know the first attempt.
func placeID(name string) int { return int(xxhash.Sum64String(name) >> 1) }

// zones are the numbered zones, or else the node's own.
func (d *Deployment) zones() []string {
	if len(d.Zones) > 0 {
		return slices.Clone(d.Zones)
	}
	return []string{d.Zone}
}

// indexOf is 0 for a name that is not among them.
func indexOf(names []string, name string) int { return max(0, slices.Index(names, name)) }

// Route is the index of a model route by name; -1 if there is none.
func (d *Deployment) Route(name string) int {
	return slices.IndexFunc(d.Routes, func(t Route) bool { return t.Name == name })
}

// Role is the role of a kind of engine; empty for a kind that is not known.
func (d *Deployment) Role(kind string) Role {
	if i := slices.IndexFunc(d.Kinds, func(k EngineKind) bool { return k.Name == kind }); i >= 0 {
		return d.Kinds[i].Role
	}
	return ""
}
