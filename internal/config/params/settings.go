// Package params converts the settings of a deployment, as sent by the simulator and the platform, into a routing configuration,
// and load reports into their typed form. It does no I/O.
package params

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Settings are the settings of a deployment by dotted name, such as "routes.0.value". Each value is a float64, a string or a
// bool; durations are in nanoseconds.
type Settings map[string]any

// Number returns the number with the given name, or fallback if no such number is set.
func (s Settings) Number(name string, fallback float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return fallback
}

// Duration returns the duration with the given name, or fallback if no such duration is set. Values that overflow
// time.Duration are replaced by its maximum.
func (s Settings) Duration(name string, fallback time.Duration) time.Duration {
	v := s.Number(name, float64(fallback))
	if v >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(v)
}

// Text returns the string with the given name, or "" if no such string is set.
func (s Settings) Text(name string) string { v, _ := s[name].(string); return v }

// Flag returns the boolean with the given name, or false if no such boolean is set.
func (s Settings) Flag(name string) bool { v, _ := s[name].(bool); return v }

// Count returns the number of items of the list with the given name.
func (s Settings) Count(name string) int { return int(s.Number(name+".count", 0)) }

// settingNames maps setting names on the wire to the names of this program; other names stay unchanged.
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

// settingValues maps setting values on the wire to the values of this program; other values stay unchanged.
var settingValues = map[string]string{
	"retryable": "retriable", "dedup": "deduped", "fragile": "non-retriable", "subscribe": "watch",
}

// Flatten converts nested settings to dotted names, and to the names, values and units of this program.
func Flatten(params map[string]any) Settings {
	out := Settings{}
	out.add("", 1, params)
	return out
}

// add flattens a value and adds it under a name. Numbers are multiplied by scale, which converts the unit that a suffix of the
// name denotes to nanoseconds.
func (s Settings) add(name string, scale float64, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			key, factor := splitUnit(key, scale)
			if known, ok := settingNames[key]; ok {
				key = known
			}
			s.add(joinNames(name, key), factor, inner)
		}
	case []any:
		s[joinNames(name, "count")] = float64(len(v))
		for i, inner := range v {
			s.add(joinNames(name, strconv.Itoa(i)), scale, inner)
		}
	case float64:
		s[name] = v * scale
	case string:
		if known, ok := settingValues[v]; ok {
			v = known
		}
		s[name] = v
	default:
		s[name] = v
	}
}

// splitUnit removes the unit from a key, and returns the factor by which numbers under the key must be multiplied.
func splitUnit(key string, scale float64) (name string, factor float64) {
	const microsecond = float64(time.Microsecond)
	if name, ok := strings.CutSuffix(key, "_us"); ok {
		return name, microsecond
	}
	if !strings.Contains(key, "_us_per_") {
		return key, scale
	}
	name = strings.Replace(key, "_us_per_", "_per_", 1)
	if strings.HasPrefix(key, "cpu") {
		return name, scale
	}
	return name, microsecond
}

func joinNames(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
