// Package params turns a deployment's settings, as the simulator and the platform send them, into the
// configuration of routing decisions, and load reports into their typed form. It does no I/O.
package params

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Settings are a deployment's settings by dotted name, such as "routes.0.value". Each value is a float64, a
// string or a bool; times are in nanoseconds.
type Settings map[string]any

// Number is a setting that is a number, or absent where there is none of that name.
func (s Settings) Number(name string, absent float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return absent
}

// Duration is a setting that is a time, or absent where there is none of that name. What is too long for its
// type is the longest time.
func (s Settings) Duration(name string, absent time.Duration) time.Duration {
	v := s.Number(name, float64(absent))
	if v >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(v)
}

// Text is a setting that is a text; empty where there is none of that name.
func (s Settings) Text(name string) string { v, _ := s[name].(string); return v }

// Flag is a setting that is true or false; false where there is none of that name.
func (s Settings) Flag(name string) bool { v, _ := s[name].(bool); return v }

// Count is how many items a setting that is a list has.
func (s Settings) Count(name string) int { return int(s.Number(name+".count", 0)) }

// settingNames maps the wire's names in settings to this program's; names not here stay as they are.
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

// settingValues maps the wire's words in setting values to this program's.
var settingValues = map[string]string{
	"retryable": "retriable", "dedup": "deduped", "fragile": "non-retriable", "subscribe": "watch",
}

// Flatten gives nested settings their dotted names and this program's words and units.
func Flatten(params map[string]any) Settings {
	out := Settings{}
	out.add("", 1, params)
	return out
}

// add flattens a value under a name. Numbers are multiplied by scale, which turns the unit of the name's
// suffix into nanoseconds.
func (s Settings) add(name string, scale float64, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, inner := range v {
			key, unit := splitUnit(key, scale)
			if known, ok := settingNames[key]; ok {
				key = known
			}
			s.add(join(name, key), unit, inner)
		}
	case []any:
		s[join(name, "count")] = float64(len(v))
		for i, inner := range v {
			s.add(join(name, strconv.Itoa(i)), scale, inner)
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

// splitUnit takes the unit out of a key, and returns what a number under it is to be multiplied by.
func splitUnit(key string, scale float64) (bare string, unit float64) {
	const microsecond = float64(time.Microsecond)
	if bare, ok := strings.CutSuffix(key, "_us"); ok {
		return bare, microsecond
	}
	if !strings.Contains(key, "_us_per_") {
		return key, scale
	}
	bare = strings.Replace(key, "_us_per_", "_per_", 1)
	if strings.HasPrefix(key, "cpu") {
		return bare, scale
	}
	return bare, microsecond
}

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}
