package params

import (
	"testing"
	"time"

	"sandcourse/internal/routing"
)

func TestEmptySettingsHaveTheDefaults(t *testing.T) {
	c, want := Flatten(nil).RoutingConfig(), routing.DefaultConfig()
	if c.Tick != want.Tick || c.Nodes != want.Nodes || c.MaxAttempts != want.MaxAttempts || c.ReservationLimit != 0 ||
		c.DecodeResponseTimeout != want.DecodeResponseTimeout || c.SlowStart != want.SlowStart || c.Routes != nil || c.Kinds != nil {
		t.Errorf("%+v, want %+v", c, want)
	}
}

func TestSettingsAreConverted(t *testing.T) {
	c := Flatten(map[string]any{
		"ceilings": map[string]any{"try_limit": 5.0, "max_retry_after_us": 2.0}, "discovery": "subscribe",
		"family_info": map[string]any{"pin_limit_us": 900.0, "stage_of_kind": []any{"read", "write", "cook"},
			"aim_us_per_1000_prompt_tokens": []any{4.0}},
		"classes": []any{map[string]any{"effect": "dedup", "dedup_scope": "cell", "worth": 2.0},
			map[string]any{"effect": "odd"}},
	}).RoutingConfig()
	if c.MaxAttempts != 5 || c.MaxRetryAfter != 2*time.Microsecond || !c.WatchEndpoints ||
		c.ReservationLimit != 900*time.Microsecond || c.DecodeResponseTimeout != 300*time.Microsecond {
		t.Errorf("%+v", c)
	}
	deduped := routing.Route{Effect: routing.Deduped, DedupGroup: routing.DedupCell, PriorityWeight: 2,
		FirstTokenObjective: time.Second, ObjectivePer1000Tokens: 4 * time.Microsecond}
	if len(c.Routes) != 2 || c.Routes[0] != deduped || c.Routes[1] != routing.DefaultRoute() {
		t.Errorf("%+v", c.Routes)
	}
	if len(c.Kinds) != 3 || c.Kinds[1].Role != routing.DecodeOnly || c.Kinds[2].Role != routing.Mixed {
		t.Errorf("%+v", c.Kinds)
	}
}

func TestLoadReportIsConverted(t *testing.T) {
	if LoadReport(nil) != nil {
		t.Error("an empty load report is not nil")
	}
	for _, c := range []struct {
		telemetry map[string]float64
		want      routing.LoadReport
	}{
		{map[string]float64{"x0": 0.5, "x1": 2, "active": 7}, routing.LoadReport{MemoryShare: 0.5, QueuedWork: 2}},
		{map[string]float64{"active": 7}, routing.LoadReport{QueuedWork: 7}},
		{map[string]float64{"avg_ms": 1.5}, routing.LoadReport{RecentLatency: 1500 * time.Microsecond, HasRecentLatency: true}},
		{map[string]float64{"new": 1}, routing.LoadReport{}},
	} {
		if got := LoadReport(c.telemetry); got == nil || *got != c.want {
			t.Errorf("%v: %+v", c.telemetry, got)
		}
	}
}
