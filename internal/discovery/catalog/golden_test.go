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
		for _, e := range c.List().Engines {
			fmt.Fprintf(&out, "    engine %q host %q type %q zone %q cell %q weight %v draining %v started %d\n", e.Engine, e.Host,
				e.Kind, e.Zone, e.Cell, e.Weight, e.State == endpoint.Draining, e.UpSince)
		}
	}
	say()
	for _, response := range []string{
		string(answer(4, false, line(0, serving, 5))), // changes before a whole list
		"{", "[]", `{"reset":true,"instances":[]}`,
		string(answer(5, true, line(0, serving, 5), line(1, serving, 6))),
		string(answer(5, false)),
		string(answer(6, false, line(1, draining, 6), line(2, serving, 7))),
		string(answer(6, false, line(2, deleted, 7))), // known already
		string(answer(7, false, line(0, deleted, 5), `{"instanceId":"s-2","lifecycle":"UNKNOWN"}`)),
		`{"generation":8,"reset":false,"instances":[{"instanceId":"s-3","hostPort":"127.0.0.1:1","lifecycle":"SERVING","weight":-1}]}`,
		string(answer(3, false, line(4, serving, 1))), // a store that was restored
		string(answer(3, true, line(4, serving, 1))),
		"not JSON",
		string(answer(4, false, line(4, draining, 1))),
		string(answer(9, true)),
	} {
		news, odd, err := c.Take([]byte(response))
		fmt.Fprintf(&out, "response %s\n    news %v, left out %q, refused %v\n", response, news, odd, err != nil)
		say()
	}
	golden.Check(t, "queries.golden", out.String())
}
