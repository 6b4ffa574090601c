// Package facts turns a deployment's settings, as the simulator and the platform hand them over, into the
// plain map that the decision module reads, and load reports into the module's words. It renames and converts
// units, decides nothing, and does no I/O.
package params

import (
	"strconv"
	"strings"
)

// settingNames maps the wire's names in settings to the users' words; names not here stay as they are.
var settingNames = map[string]string{
	"accounts": "tenants", "areas": "zones", "ceilings": "limits", "classes": "routes", "flavors": "kinds",
	"obligations": "rules", "family_info": "engine_facts", "peers_total": "nodes", "index": "me",
	"objective": "first_token_target", "deadline": "route_timeout", "worth": "value", "late_worth": "late_value",
	"dedup_scope": "dedup_group", "memory_span": "dedup_window", "streamed": "streams",
	"try_limit": "sends", "parallel_tries": "second_copies", "aim_per_1000_prompt_tokens": "target_per_1000_tokens",
	"stage_of_kind": "role_of_kind", "local_read": "writers_read", "may_reserve": "places", "pin_limit": "pin",
	"token_aim": "token_target", "overload_for": "fall_window", "worth_by": "value_by",
	"kind_memory_tokens": "memory_of_kind",
}

// settingValues maps the wire's words in setting values to the users' words.
var settingValues = map[string]string{
	"retryable": "retriable", "dedup": "deduped", "fragile": "non-retriable", "subscribe": "watch",
}

// Flatten flattens settings into dotted names in the users' words, times in nanoseconds.
func Flatten(params map[string]any) map[string]any {
	out := map[string]any{}
	flatten("", 1, params, out)
	return out
}

func flatten(name string, scale float64, v any, out map[string]any) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			unit := scale
			if bare, ok := strings.CutSuffix(key, "_us"); ok {
				key, unit = bare, 1000
			} else if strings.Contains(key, "_us_per_") {
				if !strings.HasPrefix(key, "cpu") {
					unit = 1000
				}
				key = strings.Replace(key, "_us_per_", "_per_", 1)
			}
			if w, ok := settingNames[key]; ok {
				key = w
			}
			flatten(join(name, key), unit, inner, out)
		}
	case []any:
		out[join(name, "count")] = float64(len(v))
		for i, inner := range v {
			flatten(join(name, strconv.Itoa(i)), scale, inner, out)
		}
	case float64:
		out[name] = v * scale
	case string:
		if w, ok := settingValues[v]; ok {
			v = w
		}
		out[name] = v
	default:
		out[name] = v
	}
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

// reportNames maps the wire's names of load figures to the users' words.
var reportNames = map[string]string{"x0": "memory_share", "x1": "waiting_thousand_tokens", "active": "open",
	"avg_ms": "recent_lag_ms"}

// LoadReport names the figures of a load report in the users' words.
func LoadReport(telemetry map[string]float64) map[string]float64 {
	out := map[string]float64{}
	for name, v := range telemetry {
		if w, ok := reportNames[name]; ok {
			name = w
		}
		out[name] = v
	}
	return out
}
