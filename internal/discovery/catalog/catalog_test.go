package catalog

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
)

func instanceJSON(id int, state string, started int) string {
	return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.1.%d:3000","zone":"a","machineType":"m","cell":3,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`, id, id+1, state, started)
}

func response(generation int, snapshot bool, instances ...string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[%s]}`, generation, snapshot, strings.Join(instances, ","))
}

// However news is told, whole or as changes, late or twice, what is listed is the truth of the last
// generation heard.
func TestChangesAndSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, known, generation := map[int]string{}, &Catalog{}, 1
		whole := func() []byte {
			var lines []string
			for id, state := range truth {
				lines = append(lines, instanceJSON(id, state, 5))
			}
			return response(generation, true, lines...)
		}
		if _, _, err := known.Apply(whole()); err != nil {
			t.Fatal(err)
		}
		var last []byte
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			generation++
			var lines []string
			for id := range rapid.IntRange(0, 4).Draw(t, "changes") {
				state := rapid.SampledFrom([]string{lifecycleServing, lifecycleDraining, lifecycleDeleted}).Draw(t, "state")
				lines = append(lines, instanceJSON(id, state, 5))
				if truth[id] = state; state == lifecycleDeleted {
					delete(truth, id)
				}
			}
			told := response(generation, false, lines...)
			if rapid.IntRange(0, 3).Draw(t, "behind") == 0 {
				told = whole()
			}
			for _, a := range [][]byte{told, told, last} { // again, and an old one
				if a != nil && !strings.Contains(string(a), `"reset":true`) || string(a) == string(told) {
					if _, odd, err := known.Apply(a); err != nil || len(odd) > 0 {
						t.Fatal(odd, err)
					}
				}
			}
			last = told
			list := known.List()
			if len(list.Entries) != len(truth) {
				t.Fatalf("%+v, want %v", list, truth)
			}
			for _, e := range list.Entries {
				var id int
				fmt.Sscanf(e.ID, "s-%d", &id)
				if (e.State == endpoint.Draining) != (truth[id] == lifecycleDraining) || e.Address == "" || e.StartedAtMs != 5 {
					t.Fatalf("%+v, want %s", e, truth[id])
				}
			}
		}
	})
}

// One line that makes no sense hides nothing else, and its engine is not sent to.
func TestInvalidInstanceHidesNothingElse(t *testing.T) {
	c := &Catalog{}
	c.Apply(response(1, true, instanceJSON(0, lifecycleServing, 0), instanceJSON(1, lifecycleServing, 0)))
	news, odd, err := c.Apply(response(2, false, strings.Replace(instanceJSON(0, lifecycleServing, 0), ":3000", "", 1), instanceJSON(1, lifecycleDraining, 0)))
	list := c.List()
	if err != nil || !news || len(odd) != 1 || len(list.Entries) != 1 || list.Entries[0].State != endpoint.Draining {
		t.Fatal(list, odd, err)
	}
}

func FuzzApply(f *testing.F) {
	f.Add(response(1, true, instanceJSON(0, lifecycleServing, 0)), response(2, false, instanceJSON(0, lifecycleDeleted, 0)))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := &Catalog{}
		for _, a := range [][]byte{first, second} {
			before := fmt.Sprint(c.List())
			if _, _, err := c.Apply(a); err != nil && fmt.Sprint(c.List()) != before {
				t.Fatal("a list that is refused changes what is known")
			}
		}
		for _, e := range c.List().Entries {
			if e.ID == "" || e.Address == "" || e.State != endpoint.Ready && e.State != endpoint.Draining {
				t.Fatalf("%+v", e)
			}
		}
	})
}

// One entry that is not as it should be must not hide the drain of another, whatever is wrong with it.
func TestInvalidInstancesAreLeftOutSingly(t *testing.T) {
	for _, bad := range []string{`7`, `null`, `"s-1"`, `[]`, `{}`, `{"instanceId":"s-1","weight":"heavy"}`,
		`{"instanceId":"s-1","hostPort":"127.0.1.1:3000","lifecycle":"SERVING","startedAtMs":"now"}`,
		`{"instanceId":"s-1","hostPort":7,"lifecycle":"SERVING"}`} {
		c := &Catalog{}
		if _, _, err := c.Apply(response(1, true, instanceJSON(1, lifecycleServing, 0), instanceJSON(2, lifecycleServing, 0))); err != nil {
			t.Fatal(err)
		}
		if _, odd, err := c.Apply(response(2, false, bad, instanceJSON(2, lifecycleDraining, 0))); err != nil || len(odd) != 1 {
			t.Errorf("%s: set aside %q, %v", bad, odd, err)
		}
		list := c.List().Entries
		if i := len(list) - 1; i < 0 || list[i].ID != "s-2" || list[i].State != endpoint.Draining {
			t.Errorf("%s: the drain beside it is not heard: %v", bad, list)
		}
	}
}
