package catalog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
)

func instanceJSON(id int, state lifecycle, startedAtMs int) string {
	return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.1.%d:3000","zone":"a","machineType":"m","cell":3,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`, id, id+1, state, startedAtMs)
}

func responseJSON(generation int, snapshot bool, instances ...string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[%s]}`, generation, snapshot, strings.Join(instances, ","))
}

// checkEntries fails the test if the entries do not match the expected lifecycles by instance number.
func checkEntries(t *rapid.T, entries []endpoint.Entry, expected map[int]lifecycle) {
	t.Helper()
	if len(entries) != len(expected) {
		t.Fatalf("entries %+v, want %v", entries, expected)
	}
	for _, e := range entries {
		var id int
		fmt.Sscanf(e.ID, "s-%d", &id)
		if (e.State == endpoint.Draining) != (expected[id] == draining) || e.Address == "" || e.StartedAtMs != 5 {
			t.Fatalf("entry %+v, want lifecycle %s", e, expected[id])
		}
	}
}

// The list matches the latest generation, whether responses are snapshots or changes, outdated or duplicated.
func TestListMatchesLatestGeneration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		expected, catalog, generation := map[int]lifecycle{}, &Catalog{}, 1
		snapshot := func() []byte {
			var instances []string
			for id, state := range expected {
				instances = append(instances, instanceJSON(id, state, 5))
			}
			return responseJSON(generation, true, instances...)
		}
		if _, err := catalog.Apply(snapshot()); err != nil {
			t.Fatal(err)
		}
		var last []byte
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			generation++
			var instances []string
			for id := range rapid.IntRange(0, 4).Draw(t, "changes") {
				state := rapid.SampledFrom([]lifecycle{serving, draining, deleted}).Draw(t, "state")
				instances = append(instances, instanceJSON(id, state, 5))
				if expected[id] = state; state == deleted {
					delete(expected, id)
				}
			}
			latest := responseJSON(generation, false, instances...)
			if rapid.IntRange(0, 3).Draw(t, "behind") == 0 {
				latest = snapshot()
			}
			for _, response := range [][]byte{latest, latest, last} { // the latest response, a duplicate and an outdated one
				if response != nil && !strings.Contains(string(response), `"reset":true`) || string(response) == string(latest) {
					if update, err := catalog.Apply(response); err != nil || len(update.Invalid) > 0 {
						t.Fatal(update, err)
					}
				}
			}
			last = latest
			checkEntries(t, catalog.List().Entries, expected)
		}
	})
}

// An invalid instance is removed from the list, and the change of another instance in the same response is applied.
func TestInvalidInstanceDoesNotAffectOthers(t *testing.T) {
	c := &Catalog{}
	c.Apply(responseJSON(1, true, instanceJSON(0, serving, 0), instanceJSON(1, serving, 0)))
	update, err := c.Apply(responseJSON(2, false, strings.Replace(instanceJSON(0, serving, 0), ":3000", "", 1), instanceJSON(1, draining, 0)))
	list := c.List()
	if err != nil || !update.Changed || len(update.Invalid) != 1 || len(list.Entries) != 1 || list.Entries[0].State != endpoint.Draining {
		t.Fatal(list, update, err)
	}
}

func FuzzApply(f *testing.F) {
	f.Add(responseJSON(1, true, instanceJSON(0, serving, 0)), responseJSON(2, false, instanceJSON(0, deleted, 0)))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := &Catalog{}
		for _, response := range [][]byte{first, second} {
			before := fmt.Sprint(c.List())
			if _, err := c.Apply(response); err != nil && fmt.Sprint(c.List()) != before {
				t.Fatal("a rejected response changes the list")
			}
		}
		for _, e := range c.List().Entries {
			if e.ID == "" || e.Address == "" || e.State != endpoint.Ready && e.State != endpoint.Draining {
				t.Fatalf("invalid entry %+v", e)
			}
		}
	})
}

// Whatever makes an instance invalid, only this instance is left out, and the drain of another instance is applied.
func TestOnlyInvalidInstancesAreLeftOut(t *testing.T) {
	for _, invalid := range []string{`7`, `null`, `"s-1"`, `[]`, `{}`, `{"instanceId":"s-1","weight":"heavy"}`,
		`{"instanceId":"s-1","hostPort":"127.0.1.1:3000","lifecycle":"SERVING","startedAtMs":"now"}`,
		`{"instanceId":"s-1","hostPort":7,"lifecycle":"SERVING"}`} {
		c := &Catalog{}
		if _, err := c.Apply(responseJSON(1, true, instanceJSON(1, serving, 0), instanceJSON(2, serving, 0))); err != nil {
			t.Fatal(err)
		}
		if update, err := c.Apply(responseJSON(2, false, invalid, instanceJSON(2, draining, 0))); err != nil || len(update.Invalid) != 1 {
			t.Errorf("%s: left out %q, error %v", invalid, update.Invalid, err)
		}
		list := c.List().Entries
		if i := len(list) - 1; i < 0 || list[i].ID != "s-2" || list[i].State != endpoint.Draining {
			t.Errorf("%s: the drain of the other instance is lost: %v", invalid, list)
		}
	}
}

func TestInvalidResponsesAreRejected(t *testing.T) {
	var size *endpoint.SizeError
	if _, err := new(Catalog).Apply(make([]byte, MaxResponseBytes+1)); !errors.As(err, &size) {
		t.Errorf("a response over the limit: %v", err)
	}
	for body, want := range map[string]error{"{": endpoint.ErrMalformed, "[]": endpoint.ErrMalformed,
		`{"reset":true}`: ErrNoGeneration, `{"generation":1}`: ErrNoSnapshot} {
		if _, err := new(Catalog).Apply([]byte(body)); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", body, err, want)
		}
	}
}
