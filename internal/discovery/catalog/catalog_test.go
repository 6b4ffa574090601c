package catalog

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/endpoint"
)

func line(id int, state string, started int) string {
	return fmt.Sprintf(`{"instanceId":"s-%d","hostPort":"127.0.1.%d:3000","zone":"a","machineType":"m","cell":3,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`, id, id+1, state, started)
}

func answer(generation int, whole bool, lines ...string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"reset":%v,"instances":[%s]}`, generation, whole, strings.Join(lines, ","))
}

// However news is told, whole or as changes, late or twice, what is listed is the truth of the last
// generation heard.
func TestChangesAndWholeLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, known, generation := map[int]string{}, &Catalog{}, 1
		whole := func() []byte {
			var lines []string
			for id, state := range truth {
				lines = append(lines, line(id, state, 5))
			}
			return answer(generation, true, lines...)
		}
		if _, _, err := known.Take(whole()); err != nil {
			t.Fatal(err)
		}
		var last []byte
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			generation++
			var lines []string
			for id := range rapid.IntRange(0, 4).Draw(t, "changes") {
				state := rapid.SampledFrom([]string{serving, draining, deleted}).Draw(t, "state")
				lines = append(lines, line(id, state, 5))
				if truth[id] = state; state == deleted {
					delete(truth, id)
				}
			}
			told := answer(generation, false, lines...)
			if rapid.IntRange(0, 3).Draw(t, "behind") == 0 {
				told = whole()
			}
			for _, a := range [][]byte{told, told, last} { // again, and an old one
				if a != nil && !strings.Contains(string(a), `"reset":true`) || string(a) == string(told) {
					if _, odd, err := known.Take(a); err != nil || len(odd) > 0 {
						t.Fatal(odd, err)
					}
				}
			}
			last = told
			list := known.List()
			if len(list.Engines) != len(truth) {
				t.Fatalf("%+v, want %v", list, truth)
			}
			for _, e := range list.Engines {
				var id int
				fmt.Sscanf(e.Engine, "s-%d", &id)
				if (e.State == endpoint.Draining) != (truth[id] == draining) || e.Host == "" || e.UpSince != 5 {
					t.Fatalf("%+v, want %s", e, truth[id])
				}
			}
		}
	})
}

// One line that makes no sense hides nothing else, and its engine is not sent to.
func TestOddLines(t *testing.T) {
	c := &Catalog{}
	c.Take(answer(1, true, line(0, serving, 0), line(1, serving, 0)))
	news, odd, err := c.Take(answer(2, false, strings.Replace(line(0, serving, 0), ":3000", "", 1), line(1, draining, 0)))
	list := c.List()
	if err != nil || !news || len(odd) != 1 || len(list.Engines) != 1 || list.Engines[0].State != endpoint.Draining {
		t.Fatal(list, odd, err)
	}
}

func FuzzTake(f *testing.F) {
	f.Add(answer(1, true, line(0, serving, 0)), answer(2, false, line(0, deleted, 0)))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		c := &Catalog{}
		for _, a := range [][]byte{first, second} {
			before := fmt.Sprint(c.List())
			if _, _, err := c.Take(a); err != nil && fmt.Sprint(c.List()) != before {
				t.Fatal("a list that is refused changes what is known")
			}
		}
		for _, e := range c.List().Engines {
			if e.Engine == "" || e.Host == "" || e.State != endpoint.Ready && e.State != endpoint.Draining {
				t.Fatalf("%+v", e)
			}
		}
	})
}

// One entry that is not as it should be must not hide the drain of another, whatever is wrong with it.
func TestBadEntriesAreSetAsideSingly(t *testing.T) {
	for _, bad := range []string{`7`, `null`, `"s-1"`, `[]`, `{}`, `{"instanceId":"s-1","weight":"heavy"}`,
		`{"instanceId":"s-1","hostPort":"127.0.1.1:3000","lifecycle":"SERVING","startedAtMs":"now"}`,
		`{"instanceId":"s-1","hostPort":7,"lifecycle":"SERVING"}`} {
		c := &Catalog{}
		if _, _, err := c.Take(answer(1, true, line(1, serving, 0), line(2, serving, 0))); err != nil {
			t.Fatal(err)
		}
		if _, odd, err := c.Take(answer(2, false, bad, line(2, draining, 0))); err != nil || len(odd) != 1 {
			t.Errorf("%s: set aside %q, %v", bad, odd, err)
		}
		list := c.List().Engines
		if i := len(list) - 1; i < 0 || list[i].Engine != "s-2" || list[i].State != endpoint.Draining {
			t.Errorf("%s: the drain beside it is not heard: %v", bad, list)
		}
	}
}
