package planapi

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sandcourse/internal/golden"
	"strings"
	"testing"
)

// reader is how a message of one kind is read, as its value.
type reader func([]byte) (any, error)

func readerOf[T any](read func([]byte) (T, error)) reader {
	return func(data []byte) (any, error) { return read(data) }
}

// Each message has these bytes, with all its fields and with the fewest, and reads back as what it was.
func TestGoldenMessages(t *testing.T) {
	plans, engines, edges, roleOrders, orders := readerOf(ReadPlan), readerOf(ReadEngineReport), readerOf(ReadEdgeReport),
		readerOf(ReadRoleOrder), readerOf(ReadOrder)
	var b strings.Builder
	for _, c := range []struct {
		what  string
		value any
		read  reader
	}{
		{"plan", Plan{Term: 8, Number: 42, Engines: []Engine{{Engine: "10.0.0.1:8000", Kind: "prefill", Zone: "a", Cell: "c1",
			Weight: 1.5, State: "ready", Epoch: 3, UpFor: 5}, {Engine: "10.0.0.2:8000", Kind: "decode", State: "draining"}}}, plans},
		{"plan with no engine", Plan{Term: 1, Number: 1, Engines: []Engine{}}, plans},
		{"engine's report", EngineReport{Role: Read, Epoch: 4, Term: 7, Life: 6, UpFor: 1500, Changing: true, Draining: true,
			Read: 10.5, Written: 20, Busy: 0.25, Open: 2, Held: 1, Kept: 300,
			Hot: map[string]float64{"5c0f": 2048, "0a11": 512}}, engines},
		{"engine's report, least", EngineReport{Role: Write}, engines},
		{"edge's report", EdgeReport{Edge: "edge0", Life: 9, Term: 8, Plan: 42, Routes: []RouteCount{{Route: "clip-summary",
			Arrived: 1, Prompt: 2, Began: 3, BegunFor: 4, Ended: 5, Answer: 6, InTime: 7, Shed: 8}, {Route: "fan-alert"}}}, edges},
		{"edge's report, no route", EdgeReport{Edge: "edge0"}, edges},
		{"order to an engine", RoleOrder{Term: 8, Epoch: 5, Role: Write, Drain: true}, roleOrders},
		{"order to an engine, least", RoleOrder{Term: 1, Role: Read}, roleOrders},
		{"operator: pin", Order{Op: "pin", Engine: "10.0.0.1:8000", Who: "ops", Why: "a test"}, orders},
		{"operator: unpin", Order{Op: "unpin", Engine: "10.0.0.1:8000", Who: "ops", Why: "a test"}, orders},
		{"operator: move", Order{Op: "move", Engine: "10.0.0.1:8000", Who: "ops", Why: "a test", Dry: true}, orders},
		{"operator: readmit", Order{Op: "readmit", Engine: "10.0.0.1:8000", Who: "ops", Why: "a test"}, orders},
		{"operator: stop", Order{Op: "stop", Who: "ops", Why: "a test"}, orders},
		{"operator: go", Order{Op: "go"}, orders},
	} {
		data, err := json.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n%s\n", c.what, data)
		if back, err := c.read(data); err != nil || !reflect.DeepEqual(back, c.value) {
			again, _ := json.Marshal(back)
			t.Errorf("%s: %v: %s is read as %s", c.what, err, data, again)
		}
	}
	golden.Check(t, "messages.golden", b.String())
}

// The paths at which messages are taken, and the words that go with them.
func TestGoldenPaths(t *testing.T) {
	golden.Check(t, "paths.golden", strings.Join([]string{"stream " + StreamPath, "report " + ReportPath, "roles " + RolesPath,
		"order " + OrderPath, "role " + RolePath, "trial " + Trial, "read " + Read, "write " + Write,
		"ops " + strings.Join(Ops, " "), fmt.Sprintf("most bytes of a plan %d, of a report %d", MaxPlan, MaxReport)}, "\n")+"\n")
}

// Each message that is refused, with the words of the refusal.
func TestGoldenRefusals(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		text string
		read reader
	}{
		{``, readerOf(ReadPlan)}, {`{"term":1,"number":1,"engines":[]`, readerOf(ReadPlan)},
		{`{"number":1,"engines":[]}`, readerOf(ReadPlan)}, {`{"term":1,"number":1}`, readerOf(ReadPlan)},
		{`{"term":1,"number":1,"engines":[]}{}`, readerOf(ReadPlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"a","state":"ready","up_for_ms":-1}]}`, readerOf(ReadPlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"a","state":"asleep"}]}`, readerOf(ReadPlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"nowhere","kind":"a","state":"ready"}]}`, readerOf(ReadPlan)},
		{`{"term":1,"number":1,"engines":[{"engine":"10.0.0.1:1","kind":"","state":"ready"}]}`, readerOf(ReadPlan)},
		{`{"role":"both"}`, readerOf(ReadEngineReport)}, {`{"role":"read","epoch":-1}`, readerOf(ReadEngineReport)},
		{`{"role":"read","kept_tokens":-1}`, readerOf(ReadEngineReport)},
		{`{"edge":""}`, readerOf(ReadEdgeReport)}, {`{"edge":"e","routes":[{"route":""}]}`, readerOf(ReadEdgeReport)},
		{`{"term":0,"role":"read"}`, readerOf(ReadRoleOrder)}, {`{"term":1,"role":"cook"}`, readerOf(ReadRoleOrder)},
		{`{"op":"dance"}`, readerOf(ReadOrder)}, {`{"op":"pin"}`, readerOf(ReadOrder)},
		{`{"op":"stop","engine":"10.0.0.1:1"}`, readerOf(ReadOrder)},
		{`{"op":"stop","who":"` + strings.Repeat("w", 257) + `"}`, readerOf(ReadOrder)},
	} {
		_, err := c.read([]byte(c.text))
		if err == nil {
			t.Errorf("%s is taken", c.text)
			continue
		}
		fmt.Fprintf(&b, "%.120s\n\t%v\n", c.text, err)
	}
	golden.Check(t, "refusals.golden", b.String())
}
