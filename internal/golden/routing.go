package golden

import (
	"fmt"
	"strconv"
	"time"

	"sandcourse/internal/routing"
)

// RoutingSettings are all values of a routing configuration as text, each by the dotted name of the setting that it
// comes from.
func RoutingSettings(c routing.Config) map[string]string {
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	span := func(d time.Duration) string { return number(float64(d)) }
	discovery := "automatic"
	if c.WatchEndpoints {
		discovery = "watch"
	}
	all := map[string]string{
		"me": strconv.Itoa(c.Node), "nodes": strconv.Itoa(c.Nodes), "zone": strconv.Itoa(c.Zone), "tick": span(c.Tick),
		"limits.sends": strconv.Itoa(c.MaxAttempts), "limits.cancel": strconv.FormatBool(c.Cancel),
		"limits.probes": strconv.FormatBool(c.HealthChecks), "limits.peers": strconv.FormatBool(c.Gossip),
		"limits.retry_after": strconv.FormatBool(c.SuggestRetryAfter), "limits.max_retry_after": span(c.MaxRetryAfter),
		"discovery": strconv.Quote(discovery), "engine_facts.pin": span(c.ReservationLimit),
		"rules.cold": span(c.SlowStart.Duration), "rules.cold_share": number(c.SlowStart.Share),
		"rules.fall_multiple": number(c.SlowStart.Multiple), "rules.fall_window": span(c.SlowStart.Window),
		"routes.count": strconv.Itoa(len(c.Routes)),
	}
	for i, r := range c.Routes {
		name := func(key string) string { return fmt.Sprintf("routes.%d.%s", i, key) }
		all[name("effect")], all[name("value")] = strconv.Quote(r.Effect.String()), number(r.PriorityWeight)
		all[name("dedup_group")], all[name("dedup_window")] = strconv.Quote(r.DedupGroup.String()), span(r.DedupWindow)
		all[name("first_token_target")] = span(r.FirstTokenObjective)
		all[fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i)] = span(r.ObjectivePer1000Tokens)
	}
	for i, k := range c.Kinds {
		all[fmt.Sprintf("engine_facts.role_of_kind.%d", i)] = strconv.Quote(k.Role.String())
		all[fmt.Sprintf("engine_facts.memory_of_kind.%d", i)] = number(k.MemoryTokens)
	}
	return all
}
