package golden

import (
	"fmt"
	"strconv"
	"time"

	"sandcourse/internal/routing"
)

// RoutingSettings returns all values of a routing configuration as text, keyed by the dotted name of the setting.
func RoutingSettings(c routing.Config) map[string]string {
	formatNumber := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	formatDuration := func(d time.Duration) string { return formatNumber(float64(d)) }
	discovery := "automatic"
	if c.WatchEndpoints {
		discovery = "watch"
	}
	values := map[string]string{
		"me": strconv.Itoa(c.Node), "nodes": strconv.Itoa(c.Nodes), "zone": strconv.Itoa(c.Zone), "tick": formatDuration(c.Tick),
		"limits.sends": strconv.Itoa(c.MaxAttempts), "limits.cancel": strconv.FormatBool(c.CanCancel),
		"limits.probes": strconv.FormatBool(c.HealthChecks), "limits.peers": strconv.FormatBool(c.Gossip),
		"limits.retry_after": strconv.FormatBool(c.SuggestRetryAfter), "limits.max_retry_after": formatDuration(c.MaxRetryAfter),
		"discovery": strconv.Quote(discovery), "engine_facts.pin": formatDuration(c.ReservationLimit),
		"rules.cold": formatDuration(c.SlowStart.Duration), "rules.cold_share": formatNumber(c.SlowStart.Share),
		"rules.fall_multiple": formatNumber(c.SlowStart.Multiple), "rules.fall_window": formatDuration(c.SlowStart.Window),
		"routes.count": strconv.Itoa(len(c.Routes)),
	}
	for i, r := range c.Routes {
		settingName := func(key string) string { return fmt.Sprintf("routes.%d.%s", i, key) }
		values[settingName("effect")], values[settingName("value")] = strconv.Quote(r.Effect.String()), formatNumber(r.PriorityWeight)
		values[settingName("dedup_group")], values[settingName("dedup_window")] = strconv.Quote(r.DedupGroup.String()), formatDuration(r.DedupWindow)
		values[settingName("first_token_target")] = formatDuration(r.FirstTokenObjective)
		values[fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", i)] = formatDuration(r.ObjectivePer1000Tokens)
	}
	for i, k := range c.Kinds {
		values[fmt.Sprintf("engine_facts.role_of_kind.%d", i)] = strconv.Quote(k.Role.String())
		values[fmt.Sprintf("engine_facts.memory_of_kind.%d", i)] = formatNumber(k.MemoryTokens)
	}
	return values
}
