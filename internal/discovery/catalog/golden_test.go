package catalog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/golden"
)

// Each response of a sequence results in the same list and the same next query as before.
func TestGoldenQueries(t *testing.T) {
	c := &Catalog{}
	var out strings.Builder
	report := func() {
		fmt.Fprintf(&out, "query %q\n", c.Query(1500*time.Millisecond))
		for _, e := range c.List().Entries {
			fmt.Fprintf(&out, "    engine %q host %q type %q zone %q cell %q weight %v draining %v started %d\n", e.ID, e.Address,
				e.Kind, e.Zone, e.Cell, e.Weight, e.State == endpoint.Draining, e.StartedAtMs)
		}
	}
	report()
	for _, response := range []string{
		string(responseJSON(4, false, instanceJSON(0, serving, 5))), // The response has changes without a snapshot.
		"{", "[]", `{"reset":true,"instances":[]}`,
		string(responseJSON(5, true, instanceJSON(0, serving, 5), instanceJSON(1, serving, 6))),
		string(responseJSON(5, false)),
		string(responseJSON(6, false, instanceJSON(1, draining, 6), instanceJSON(2, serving, 7))),
		string(responseJSON(6, false, instanceJSON(2, deleted, 7))), // The generation was applied before.
		string(responseJSON(7, false, instanceJSON(0, deleted, 5), `{"instanceId":"s-2","lifecycle":"UNKNOWN"}`)),
		`{"generation":8,"reset":false,"instances":[{"instanceId":"s-3","hostPort":"127.0.0.1:1","lifecycle":"SERVING","weight":-1}]}`,
		string(responseJSON(3, false, instanceJSON(4, serving, 1))), // The store was restored.
		string(responseJSON(3, true, instanceJSON(4, serving, 1))),
		"not JSON",
		string(responseJSON(4, false, instanceJSON(4, draining, 1))),
		string(responseJSON(9, true)),
	} {
		update, err := c.Apply([]byte(response))
		fmt.Fprintf(&out, "response %s\n    changed %v, invalid %q, rejected %v\n", response, update.Changed, update.Invalid, err != nil)
		report()
	}
	golden.Check(t, "queries.golden", out.String())
}
