package planapi

import (
	"encoding/json"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func samplePlan() Plan {
	return Plan{Term: 2, Number: 9, Engines: []Engine{{Engine: "10.0.0.1:80", Kind: "prefill", Weight: 1,
		State: "ready", Epoch: 3, UptimeMillis: 5},
		{Engine: "10.0.0.2:80", Kind: "decode", State: "draining"}}}
}

// A plan that is truncated at any byte must be rejected and not accepted as a shorter plan. A complete plan must be accepted.
func TestTruncatedPlanIsRejected(t *testing.T) {
	data, _ := json.Marshal(samplePlan())
	for i := range data {
		if p, err := ParsePlan(data[:i]); err == nil {
			t.Errorf("truncated at byte %d, parsed as %+v", i, p)
		}
	}
	if p, err := ParsePlan(append(data, '\n')); err != nil || !reflect.DeepEqual(p, samplePlan()) {
		t.Errorf("%+v %v", p, err)
	}
	// A later version of the planner may add fields.
	if _, err := ParsePlan([]byte(`{"term":1,"number":1,"engines":[],"leases":{"a":1}}`)); err != nil {
		t.Error(err)
	}
}

// For any input, the parsers must return without a panic, and the values that they accept must be in range.
func TestParsersReturnOnlyValuesInRange(t *testing.T) {
	bases := []any{samplePlan(), EngineReport{Role: Prefill, Epoch: 1}, EdgeReport{Edge: "e",
		Routes: []RouteCount{{Route: "a", Arrived: 1}}},
		RoleOrder{Term: 1, Role: Decode}, Order{Operation: "move", Engine: "x"}}
	rapid.Check(t, func(t *rapid.T) {
		data, _ := json.Marshal(rapid.SampledFrom(bases).Draw(t, "base"))
		for range rapid.IntRange(0, 6).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "how") {
			case 0:
				data[at] = rapid.Byte().Draw(t, "byte")
			case 1:
				data = append(data[:at:at], append([]byte(rapid.SampledFrom([]string{"-1", "1e99", "null",
					"{", `"`, "[]", ","}).Draw(t, "put")), data[at:]...)...)
			default:
				data = append(data[:at:at], data[min(len(data), at+3):]...)
			}
			if len(data) == 0 {
				return
			}
		}
		if p, err := ParsePlan(data); err == nil && (p.Term < 1 || p.Number < 1 || p.Engines == nil) {
			t.Fatalf("%+v", p)
		}
		if r, err := ParseEngineReport(data); err == nil && (!allInRange(r.PrefillTokens, r.DecodeTokens, r.BusySeconds, r.CachedTokens) ||
			r.Epoch < 0 || r.OpenRequests < 0) {
			t.Fatalf("%+v", r)
		}
		if r, err := ParseEdgeReport(data); err == nil {
			for _, x := range r.Routes {
				if !allInRange(x.Arrived, x.PromptTokens, x.Shed) {
					t.Fatalf("%+v", r)
				}
			}
		}
		if o, err := ParseRoleOrder(data); err == nil && (o.Term < 1 || o.Epoch < 0) {
			t.Fatalf("%+v", o)
		}
		ParseOrder(data)
	})
}
