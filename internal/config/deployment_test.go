package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sandcourse/internal/config/script"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/routing"
	"sandcourse/settings"
)

func TestDemoScriptGivesRoutingConfig(t *testing.T) {
	d, err := Read("demo.star", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	c := d.RoutingConfig()
	got := []any{c.Routes[1].Effect, c.Routes[1].PriorityWeight, c.Routes[0].FirstTokenObjective, c.Kinds[1].Role, c.ReservationLimit,
		c.Routes[0].ObjectivePer1000Tokens, c.SlowStart.Duration, c.CanCancel}
	want := []any{routing.NonRetriable, 5.0, time.Second, routing.DecodeOnly, 625 * time.Millisecond,
		40 * time.Millisecond, 10 * time.Second, true}
	if !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestAllFaultsAreReportedWithTheirLines(t *testing.T) {
	_, err := Read("s.star", []byte(`kind(name = "a",
     role = "reads")
route(name = "r", effect = "retriable", value = -1,
      route_timeout = "10ms",
      colour = "red")
engine(at = "nowhere", kind = "b")
limits(open = 1.5)
listen(chat = 8080)
route()
rules("x")
`))
	var faults script.Faults
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	for _, want := range []string{
		`s.star:2: role: must be one of read, write, both, not "reads"`, `s.star:3: value: must be a number from 0.001`,
		`s.star:4: route_timeout: must be a duration from 0.05s`, `s.star:5: colour: unknown argument of route; known arguments are name`,
		`s.star:6: at: must be address:port`, `s.star:6: kind: "b" is not a kind declared above`,
		`s.star:7: open: must be an integer`, `s.star:8: chat: must be a string`,
		`s.star:9: route requires the argument name`, `s.star:10: rules takes named arguments only`,
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing: %s\nin:\n%s", want, err)
		}
	}
}

func TestBrokenScriptsAreRejected(t *testing.T) {
	for name, text := range map[string]string{"loop": "def f():\n  for i in range(1000000000):\n    pass\nf()\n",
		"load": `load("http://example.org/x", "y")`, "syntax": "route(", "crash": "x = 1 // 0",
		"size": "#" + strings.Repeat("x", 2<<20)} {
		if _, err := Read("s.star", []byte(text)); err == nil {
			t.Errorf("script %s is accepted", name)
		}
	}
}

func TestEndpointUpdateOmitsUnknownKinds(t *testing.T) {
	d, err := Read("demo.star", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	update, unknown := d.EndpointUpdate(endpoint.List{Entries: []endpoint.Entry{
		{ID: "a:1", Kind: "prefill", Zone: "other", State: endpoint.Ready, Weight: 2, StartedAtMs: 7},
		{ID: "b:1", Kind: "decode", Zone: "ktm-dc1", State: endpoint.Draining},
		{ID: "c:1", Kind: "mixed", State: endpoint.Ready}}})
	for i := range update.Engines { // Zones and cells outside the settings have arbitrary but distinct numbers.
		e := &update.Engines[i]
		if e.Engine == "a:1" && (e.Zone == 0 || e.Cell == update.Engines[1].Cell) {
			t.Errorf("two zones or two cells have the same number: %+v", update.Engines)
		}
		e.Cell = 0
		if e.Engine == "a:1" {
			e.Zone = 0
		}
	}
	want := []routing.Endpoint{{Engine: "a:1", Kind: 0, Weight: 2, StartedAt: 7e6, Ready: true},
		{Engine: "b:1", Kind: 1, Zone: 0, Draining: true}}
	if len(unknown) != 1 || unknown[0] != "c:1" || len(update.Engines) != 2 || update.Engines[0] != want[0] ||
		update.Engines[1] != want[1] || !update.Complete {
		t.Errorf("%+v, unknown %v", update, unknown)
	}
}

// Random settings found this fault: cells were numbered anew in each list, so the number of a removed cell passed to another
// cell. A request that may have run in the removed cell was then retried in the other cell, which had no record of it.
func TestZoneAndCellNumbersAreStable(t *testing.T) {
	d, err := Read("demo.star", []byte(settings.Demo))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		zones, cells := map[string]int{}, map[string]int{}
		cellOfNumber := map[string]string{}
		for range 5 {
			var list endpoint.List
			for i := range rapid.IntRange(0, 6).Draw(t, "engines") {
				list.Entries = append(list.Entries, endpoint.Entry{ID: fmt.Sprint(i), Kind: "decode", State: endpoint.Ready,
					Zone: rapid.SampledFrom([]string{"ktm-dc1", "a", "b"}).Draw(t, "zone"),
					Cell: rapid.SampledFrom([]string{"0", "1", "2"}).Draw(t, "cell")})
			}
			update, _ := d.EndpointUpdate(list)
			for i, e := range update.Engines {
				zone := list.Entries[i].Zone
				cell := zone + "/" + list.Entries[i].Cell
				if n, ok := zones[zone]; ok && n != e.Zone || zone == "ktm-dc1" && e.Zone != 0 {
					t.Fatalf("zone %s is %d, was %d", zone, e.Zone, n)
				}
				if n, ok := cells[cell]; ok && n != e.Cell {
					t.Fatalf("cell %s is %d, was %d", cell, e.Cell, n)
				}
				if previous, ok := cellOfNumber[fmt.Sprint(e.Cell)]; ok && previous != cell {
					t.Fatalf("cells %s and %s are both %d", previous, cell, e.Cell)
				}
				zones[zone], cells[cell], cellOfNumber[fmt.Sprint(e.Cell)] = e.Zone, e.Cell, cell
			}
		}
	})
}

func TestPlannerScriptIsValidated(t *testing.T) {
	valid := `planner(listen = "127.0.0.1:0", store = "s", roster = "r")
kind(name = "p", role = "read")
kind(name = "d", role = "write")
pair(read = "p", write = "d")
changes(floor = 2, drain_time = "3s")
`
	p, err := ReadPlanner("p.star", []byte(valid))
	if err != nil || p.Assignment.MinServing != 2 || p.Assignment.DrainTimeout != 3*time.Second ||
		p.RolePairs[0] != (RolePair{PrefillKind: "p", DecodeKind: "d"}) {
		t.Errorf("%+v %v", p, err)
	}
	for text, want := range map[string]string{
		valid + `pair(read = "p", write = "d")`:                                 "p.star:6: read: \"p\" is already in a pair",
		valid + `pair(read = "d", write = "p")`:                                 "p.star:6: read: \"d\" is not a kind declared above with the role read",
		valid + `changes(floor = 0)`:                                            "p.star:6: floor: must be an integer from 1 to 10000",
		valid + `changes(flor = 1)`:                                             "p.star:6: flor: unknown argument of changes",
		valid + `value(route = "a")`:                                            "p.star:6: value requires the argument value",
		`kind(name = "p", role = "read")`:                                       "planner: a call with the arguments store and roster is required",
		`planner(listen = "nowhere", store = "s", roster = "r")`:                "address:port",
		`planner(listen = "127.0.0.1:1", store = "s", roster = "r", edges = 1)`: "unknown argument of planner",
	} {
		if _, err := ReadPlanner("p.star", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want %q", text, err, want)
		}
	}
}
