package catalog

import (
	"fmt"
	"strings"
	"testing"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
)

// What is asked of discovery next, and which engines are known, over a sequence of answers.
func TestGoldenQueries(t *testing.T) {
	c := &Catalog{}
	var out strings.Builder
	say := func() {
		fmt.Fprintf(&out, "query %q\n", c.Query(1500))
		for _, e := range c.List().Entries {
			fmt.Fprintf(&out, "    engine %q host %q type %q zone %q cell %q weight %v draining %v started %d\n", e.ID, e.Address,
				e.Kind, e.Zone, e.Cell, e.Weight, e.State == endpoint.Draining, e.StartedAtMs)
		}
	}
	say()
	for _, response := range []string{
		string(response(4, false, instanceJSON(0, lifecycleServing, 5))), // changes before a whole list
		"{", "[]", `{"reset":true,"instances":[]}`,
		string(response(5, true, instanceJSON(0, lifecycleServing, 5), instanceJSON(1, lifecycleServing, 6))),
		string(response(5, false)),
		string(response(6, false, instanceJSON(1, lifecycleDraining, 6), instanceJSON(2, lifecycleServing, 7))),
		string(response(6, false, instanceJSON(2, lifecycleDeleted, 7))), // known already
		string(response(7, false, instanceJSON(0, lifecycleDeleted, 5), `{"instanceId":"s-2","lifecycle":"UNKNOWN"}`)),
		`{"generation":8,"reset":false,"instances":[{"instanceId":"s-3","hostPort":"127.0.0.1:1","lifecycle":"SERVING","weight":-1}]}`,
		string(response(3, false, instanceJSON(4, lifecycleServing, 1))), // a store that was restored
		string(response(3, true, instanceJSON(4, lifecycleServing, 1))),
		"not JSON",
		string(response(4, false, instanceJSON(4, lifecycleDraining, 1))),
		string(response(9, true)),
	} {
		news, odd, err := c.Apply([]byte(response))
		fmt.Fprintf(&out, "response %s\n    news %v, left out %q, refused %v\n", response, news, odd, err != nil)
		say()
	}
	golden.Check(t, "queries.golden", out.String())
}
