package planapi

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"sandcourse/internal/golden"
)

// parser parses a message of one kind.
type parser func([]byte) (any, error)

func parserOf[T any](parse func([]byte) (T, error)) parser {
	return func(data []byte) (any, error) { return parse(data) }
}

// The test checks the encoding of each message, with all its fields set and with the fewest, and that it parses as the same
// value.
func TestGoldenMessages(t *testing.T) {
	plans, engines, edges, roleOrders, orders := parserOf(ParsePlan), parserOf(ParseEngineReport), parserOf(ParseEdgeReport),
		parserOf(ParseRoleOrder), parserOf(ParseOrder)
	var b strings.Builder
	for _, c := range []struct {
		name  string
		value any
		parse parser
	}{
		{"plan", Plan{Term: 8, Number: 42, Engines: []Engine{{Engine: "10.0.0.1:8000", Kind: "prefill", Zone: "a", Cell: "c1",
			Weight: 1.5, State: "ready", Epoch: 3, UptimeMillis: 5}, {Engine: "10.0.0.2:8000", Kind: "decode", State: "draining"}}}, plans},
		{"plan without engines", Plan{Term: 1, Number: 1, Engines: []Engine{}}, plans},
		{"engine's report", EngineReport{Role: Prefill, Epoch: 4, Term: 7, Incarnation: 6, UptimeMillis: 1500, Changing: true, Draining: true,
			PrefillTokens: 10.5, DecodeTokens: 20, BusySeconds: 0.25, OpenRequests: 2, Reservations: 1, CachedTokens: 300,
			HotPrefixes: map[string]float64{"5c0f": 2048, "0a11": 512}}, engines},
		{"engine's report, fewest fields", EngineReport{Role: Decode}, engines},
		{"edge's report", EdgeReport{Edge: "edge0", Incarnation: 9, Term: 8, PlanNumber: 42, Routes: []RouteCount{{Route: "clip-summary",
			Arrived: 1, PromptTokens: 2, Started: 3, StartedPromptTokens: 4, Completed: 5, CompletionTokens: 6, WithinObjective: 7, Shed: 8}, {Route: "fan-alert"}}}, edges},
		{"edge's report without routes", EdgeReport{Edge: "edge0"}, edges},
		{"order to an engine", RoleOrder{Term: 8, Epoch: 5, Role: Decode, Drain: true}, roleOrders},
		{"order to an engine, fewest fields", RoleOrder{Term: 1, Role: Prefill}, roleOrders},
		{"operator: pin", Order{Operation: "pin", Engine: "10.0.0.1:8000", Operator: "ops", Reason: "a test"}, orders},
		{"operator: unpin", Order{Operation: "unpin", Engine: "10.0.0.1:8000", Operator: "ops", Reason: "a test"}, orders},
		{"operator: move", Order{Operation: "move", Engine: "10.0.0.1:8000", Operator: "ops", Reason: "a test", DryRun: true}, orders},
		{"operator: readmit", Order{Operation: "readmit", Engine: "10.0.0.1:8000", Operator: "ops", Reason: "a test"}, orders},
		{"operator: stop", Order{Operation: "stop", Operator: "ops", Reason: "a test"}, orders},
		{"operator: go", Order{Operation: "go"}, orders},
	} {
		data, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n%s\n", c.name, data)
		if back, err := c.parse(data); err != nil || !reflect.DeepEqual(back, c.value) {
			again, _ := json.Marshal(back)
			t.Errorf("%s: error %v: %s was parsed as %s", c.name, err, data, again)
		}
	}
	golden.Check(t, "messages.golden", b.String())
}

// The test checks the paths of the planner and the constants of its messages.
func TestGoldenPaths(t *testing.T) {
	golden.Check(t, "paths.golden", strings.Join([]string{"stream " + StreamPath, "report " + ReportPath, "roles " + RolesPath,
		"order " + OrderPath, "role " + RolePath, "trial " + TrialPrefix, "read " + Prefill, "write " + Decode,
		"ops " + strings.Join(Operations, " "), fmt.Sprintf("maximum bytes of a plan %d, of a report %d", MaxPlanBytes, MaxReportBytes)}, "\n")+"\n")
}

// rejection is a message that its parser must reject.
type rejection struct {
	text  string
	parse parser
}

// rejections returns each message followed by its error.
func rejections(t *testing.T, messages []rejection) string {
	t.Helper()
	var b strings.Builder
	for _, m := range messages {
		_, err := m.parse([]byte(m.text))
		if err == nil {
			t.Errorf("accepted: %s", m.text)
			continue
		}
		fmt.Fprintf(&b, "%.120s\n\t%v\n", m.text, err)
	}
	return b.String()
}

// The test checks the error texts of messages with missing or invalid values.
func TestGoldenRejections(t *testing.T) {
	golden.Check(t, "refusals.golden", rejections(t, []rejection{
		{``, parserOf(ParsePlan)}, {`{"term":1,"number":1,"engines":[]`, parserOf(ParsePlan)},
		{`{"number":1,"engines":[]}`, parserOf(ParsePlan)}, {`{"term":1,"number":1}`, parserOf(ParsePlan)},
		{`{"term":1,"number":1,"engines":[]}{}`, parserOf(ParsePlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"a","state":"ready","up_for_ms":-1}]}`, parserOf(ParsePlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"a","state":"asleep"}]}`, parserOf(ParsePlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"nowhere","kind":"a","state":"ready"}]}`, parserOf(ParsePlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"","state":"ready"}]}`, parserOf(ParsePlan)},
		{`{"role":"both"}`, parserOf(ParseEngineReport)}, {`{"role":"read","epoch":-1}`, parserOf(ParseEngineReport)},
		{`{"role":"read","kept_tokens":-1}`, parserOf(ParseEngineReport)},
		{`{"edge":""}`, parserOf(ParseEdgeReport)}, {`{"edge":"e","routes":[{"route":""}]}`, parserOf(ParseEdgeReport)},
		{`{"term":0,"role":"read"}`, parserOf(ParseRoleOrder)}, {`{"term":1,"role":"cook"}`, parserOf(ParseRoleOrder)},
		{`{"op":"dance"}`, parserOf(ParseOrder)}, {`{"op":"pin"}`, parserOf(ParseOrder)},
		{`{"op":"stop","engine":"10.0.0.1:1"}`, parserOf(ParseOrder)},
		{`{"op":"stop","who":"` + strings.Repeat("w", 257) + `"}`, parserOf(ParseOrder)},
	}))
}

// The test checks the error texts of messages with values of a wrong type. Operators and edges receive these texts.
func TestGoldenTypeMismatches(t *testing.T) {
	golden.Check(t, "type-mismatches.golden", rejections(t, []rejection{
		{`{"term":"1"}`, parserOf(ParsePlan)}, {`{"engines":[{"engine":1}]}`, parserOf(ParsePlan)},
		{`{"engines":[{"state":1}]}`, parserOf(ParsePlan)}, {`{"engines":[{"up_for_ms":1.5}]}`, parserOf(ParsePlan)},
		{`{"role":1}`, parserOf(ParseEngineReport)}, {`{"life":"x"}`, parserOf(ParseEngineReport)},
		{`{"hot":[]}`, parserOf(ParseEngineReport)}, {`{"edge":1}`, parserOf(ParseEdgeReport)},
		{`{"routes":[{"route":1}]}`, parserOf(ParseEdgeReport)},
		{`{"routes":[{"shed":"1"}]}`, parserOf(ParseEdgeReport)}, {`{"role":1}`, parserOf(ParseRoleOrder)},
		{`{"drain":1}`, parserOf(ParseRoleOrder)}, {`{"op":1}`, parserOf(ParseOrder)}, {`{"why":[]}`, parserOf(ParseOrder)},
		{`{"dry":"yes"}`, parserOf(ParseOrder)},
	}))
}
