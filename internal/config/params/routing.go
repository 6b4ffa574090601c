package params

import (
	"fmt"

	"sandcourse/internal/routing"
)

// RoutingConfig returns the routing configuration of the settings. An unknown value of an enumeration counts as absent, which
// selects the strictest behavior; a caller that must reject unknown values has to check the settings first.
func (s Settings) RoutingConfig() routing.Config {
	c := routing.DefaultConfig()
	c.Node, c.Nodes, c.Zone = int(s.Number("me", 0)), int(s.Number("nodes", float64(c.Nodes))), int(s.Number("zone", 0))
	c.Tick = s.Duration("tick", c.Tick)
	c.MaxAttempts = int(s.Number("limits.sends", float64(c.MaxAttempts)))
	c.CanCancel, c.HealthChecks = s.Flag("limits.cancel"), s.Flag("limits.probes")
	c.Gossip, c.GossipPrice = s.Flag("limits.peers"), s.Number("prices.peer", 0)
	c.SuggestRetryAfter, c.MaxRetryAfter = s.Flag("limits.retry_after"), s.Duration("limits.max_retry_after", 0)
	c.WatchEndpoints = s.Text("discovery") == "watch"
	if _, given := s["engine_facts.pin"].(float64); given {
		c.SetReservationLimit(s.Duration("engine_facts.pin", 0))
	}
	c.SlowStart = routing.SlowStart{Duration: s.Duration("rules.cold", 0), Share: s.Number("rules.cold_share", 0),
		Multiple: s.Number("rules.fall_multiple", 0), Window: s.Duration("rules.fall_window", c.SlowStart.Window)}
	for i := range s.Count("routes") {
		c.Routes = append(c.Routes, s.route(i))
	}
	for i := range max(s.Count("engine_facts.role_of_kind"), s.Count("engine_facts.memory_of_kind")) {
		c.Kinds = append(c.Kinds, s.kind(i))
	}
	return c
}

func (s Settings) route(number int) routing.Route {
	name := func(key string) string { return fmt.Sprintf("routes.%d.%s", number, key) }
	r := routing.DefaultRoute()
	r.Effect, _ = routing.ParseEffect(s.Text(name("effect")))
	r.DedupGroup, _ = routing.ParseDedupGroup(s.Text(name("dedup_group")))
	r.DedupWindow = s.Duration(name("dedup_window"), r.DedupWindow)
	r.PriorityWeight = s.Number(name("value"), r.PriorityWeight)
	r.FirstTokenObjective = s.Duration(name("first_token_target"), r.FirstTokenObjective)
	r.ObjectivePer1000Tokens = s.Duration(fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", number), 0)
	return r
}

func (s Settings) kind(number int) routing.EngineKind {
	var k routing.EngineKind
	k.Role, _ = routing.ParseRole(s.Text(fmt.Sprintf("engine_facts.role_of_kind.%d", number)))
	k.MemoryTokens = s.Number(fmt.Sprintf("engine_facts.memory_of_kind.%d", number), 0)
	return k
}
