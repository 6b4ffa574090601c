package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/routing"
)

// RoutingConfig returns the part of the deployment that routing decisions depend on.
func (d *Deployment) RoutingConfig() routing.Config {
	c := d.platformOrScriptConfig()
	// Routing decisions may use a reservation for five eighths of its limit. The rest is needed to release it: a release
	// request may hang for a quarter of the limit before it is retried.
	c.SetReservationLimit(d.Rules.ReservationLimit * 5 / 8)
	// The dedup windows are the ones that the node's gate enforces, so that routing never requests an attempt that the gate
	// blocks.
	for i, route := range d.Routes {
		c.Routes[i].DedupWindow = max(0, route.DedupWindow-invariant.MaxDelay)
	}
	return c
}

// platformOrScriptConfig returns the routing configuration from the platform if it is set, otherwise the one from the script.
func (d *Deployment) platformOrScriptConfig() routing.Config {
	if d.PlatformRouting != nil {
		c := *d.PlatformRouting
		c.Routes = slices.Clone(c.Routes)
		return c
	}
	c := routing.Config{Node: d.NodeNumber, Nodes: d.NodeCount, Zone: indexOrZero(d.zones(), d.Zone), Tick: d.TickInterval,
		MaxAttempts: d.MaxAttempts, CanCancel: true, HealthChecks: d.HealthChecks, SuggestRetryAfter: d.MaxRetryAfter > 0,
		MaxRetryAfter: d.MaxRetryAfter, SlowStart: routing.SlowStart{Duration: d.Rules.SlowStart,
			Share: d.Rules.SlowStartShare, Multiple: d.Rules.OverloadMultiple, Window: d.Rules.OverloadWindow}}
	for _, r := range d.Routes {
		c.Routes = append(c.Routes, r.toRouting())
	}
	for _, k := range d.Kinds {
		c.Kinds = append(c.Kinds, k.toRouting())
	}
	return c
}

// toRouting converts the route for routing decisions. Its strings were validated when the settings were read.
func (r Route) toRouting() routing.Route {
	effect, _ := routing.ParseEffect(string(r.Effect))
	group, _ := routing.ParseDedupGroup(string(r.DedupGroup))
	return routing.Route{Effect: effect, DedupGroup: group, PriorityWeight: r.PriorityWeight,
		FirstTokenObjective: r.FirstTokenObjective, ObjectivePer1000Tokens: r.ObjectivePer1000Tokens}
}

// toRouting converts the kind of engine for routing decisions. Its role was validated when the settings were read.
func (k EngineKind) toRouting() routing.EngineKind {
	role, _ := routing.ParseRole(string(k.Role))
	return routing.EngineKind{Role: role, MemoryTokens: k.MemoryTokens}
}

// EndpointUpdate converts an endpoint list into the event that passes it to routing. Entries of an unknown kind are omitted, as
// no request can be sent to them; their IDs are returned in unknown.
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
			Zone: zoneIndex(zones, e.Zone), Cell: locationID(e.Zone + "/" + e.Cell),
			StartedAt: time.Duration(e.StartedAtMs) * time.Millisecond,
			Ready:     e.State == endpoint.Ready, Draining: e.State == endpoint.Draining})
	}
	return update, unknown
}

// zoneIndex returns the zone's index in zones, or a number derived from its name if it is not in zones.
func zoneIndex(zones []string, zone string) int {
	if i := slices.Index(zones, zone); i >= 0 {
		return i
	}
	return locationID(zone)
}

// locationID returns a number for a zone or cell that depends only on its name, so that it is the same in every list. Numbers in
// list order would change with the list, and a retry could be sent to a cell that has no record of the first attempt.
func locationID(name string) int { return int(xxhash.Sum64String(name) >> 1) }

// zones returns the numbered zones if they are set, otherwise the node's own zone.
func (d *Deployment) zones() []string {
	if len(d.Zones) > 0 {
		return slices.Clone(d.Zones)
	}
	return []string{d.Zone}
}

// indexOrZero returns the index of a name, or 0 if it is not in names.
func indexOrZero(names []string, name string) int { return max(0, slices.Index(names, name)) }

// RouteIndex returns the index of the model route with the given name, or -1 if no route has it.
func (d *Deployment) RouteIndex(name string) int {
	return slices.IndexFunc(d.Routes, func(t Route) bool { return t.Name == name })
}

// Role returns the role of a kind of engine, or an empty role if the kind is unknown.
func (d *Deployment) Role(kind string) Role {
	if i := slices.IndexFunc(d.Kinds, func(k EngineKind) bool { return k.Name == kind }); i >= 0 {
		return d.Kinds[i].Role
	}
	return ""
}
