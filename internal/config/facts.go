package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/invariant"
	"sandcourse/internal/routing"
)

// RoutingConfig are what the decision module is handed, by the names that it reads.
func (d *Deployment) RoutingConfig() map[string]any {
	// The module may keep a state for five eighths of the pin limit. The rest is for telling its reader: one try
	// may hang for a quarter, and another follows.
	pin := float64(d.Rules.ReservationLimit) * 5 / 8
	if d.GivenFacts != nil {
		config := maps.Clone(d.GivenFacts)
		config["engine_facts.pin"] = pin
		d.setDedupWindows(config)
		return config
	}
	config := map[string]any{
		"limits.sends": float64(d.MaxAttempts), "limits.cancel": true, "limits.probes": d.HealthChecks, "limits.peers": false,
		"limits.retry_after": d.MaxRetryAfter > 0, "limits.max_retry_after": float64(d.MaxRetryAfter),
		"nodes": float64(d.NodeCount), "me": float64(d.NodeNumber), "zone": float64(indexOf(d.zones(), d.Zone)),
		"tick": float64(d.TickInterval), "discovery": "automatic",
		"engine_facts.pin": pin,
		"rules.cold":       float64(d.Rules.SlowStart), "rules.cold_share": d.Rules.SlowStartShare,
		"rules.fall_multiple": d.Rules.OverloadMultiple, "rules.fall_window": float64(d.Rules.OverloadWindow),
		"routes.count": float64(len(d.Routes)),
	}
	for i, route := range d.Routes {
		for name, v := range map[string]any{"effect": route.Effect, "value": route.PriorityWeight, "dedup_group": route.DedupGroup,
			"first_token_target": float64(route.FirstTokenObjective)} {
			config[fmt.Sprintf("routes.%d.%s", i, name)] = v
		}
		config[fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i)] = float64(route.ObjectivePer1000Tokens)
	}
	for i, kind := range d.Kinds {
		config[fmt.Sprintf("engine_facts.role_of_kind.%d", i)] = kind.Role
		config[fmt.Sprintf("engine_facts.memory_of_kind.%d", i)] = kind.MemoryTokens
	}
	d.setDedupWindows(config)
	return config
}

// setDedupWindows gives the module the windows for repeats as the node's gate keeps them, so that it does not ask for what the
// gate holds back.
func (d *Deployment) setDedupWindows(config map[string]any) {
	for i, route := range d.Routes {
		config[fmt.Sprintf("routes.%d.dedup_window", i)] = float64(max(0, route.DedupWindow-invariant.MaxDelay))
	}
}

// EndpointUpdate turns a list into what the module hears. Entries of a kind that the settings do not name are returned
// by id: they can't be sent to.
func (d *Deployment) EndpointUpdate(list endpoint.List) (update routing.EndpointUpdate, unknown []string) {
	update.Complete = true
	for _, e := range list.Entries {
		kind := slices.IndexFunc(d.Kinds, func(k EngineKind) bool { return k.Name == e.Kind })
		if kind < 0 {
			unknown = append(unknown, e.ID)
			continue
		}
		update.Engines = append(update.Engines, routing.Endpoint{Engine: e.ID, Weight: e.Weight, Kind: kind,
			Zone: d.zoneIndex(e.Zone), Cell: placeID(e.Zone + "/" + e.Cell), StartedAt: e.StartedAtMs * 1e6,
			Ready: e.State == endpoint.Ready, Draining: e.State == endpoint.Draining})
	}
	return update, unknown
}

// zoneIndex is the zone's place in the settings, or a number of its own.
func (d *Deployment) zoneIndex(zone string) int {
	if i := slices.Index(d.zones(), zone); i >= 0 {
		return i
	}
	return placeID(zone)
}

// placeID is the same for a name in every list. Were places counted list by list, an engine that has left would
// keep the number that now is another place's, and a repeat could go to a cell that knows nothing of the first try.
func placeID(name string) int { return int(xxhash.Sum64String(name) >> 1) }

// zones are those that have given numbers, or the node's own.
func (d *Deployment) zones() []string {
	if len(d.Zones) > 0 {
		return slices.Clone(d.Zones)
	}
	return []string{d.Zone}
}

func indexOf(names []string, name string) int { return max(0, slices.Index(names, name)) }

// Route finds a model route by name; -1 for none.
func (d *Deployment) Route(name string) int {
	return slices.IndexFunc(d.Routes, func(t Route) bool { return t.Name == name })
}

// Role is what a kind of engine does; empty for a kind that is not known.
func (d *Deployment) Role(kind string) string {
	if i := slices.IndexFunc(d.Kinds, func(k EngineKind) bool { return k.Name == kind }); i >= 0 {
		return d.Kinds[i].Role
	}
	return ""
}
