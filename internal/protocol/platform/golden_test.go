package platform

import (
	"fmt"
	"sandcourse/internal/golden"
	"strings"
	"testing"
)

// What the platform tells a node is found under the same keys as when the golden file was written.
func TestGoldenTold(t *testing.T) {
	told, err := ReadTold("test", []byte(`{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:10","seed":"ff",
		"limits":{"cores":2.5,"memory_mb":300,"sockets":777},"peer_listen":"127.0.0.1:11","peers":["127.0.0.1:12","127.0.0.1:13"],
		"peers_all":"127.0.0.1:14","known":{"generation":1},"settings":{"areas":["a","b"],"zone":1,"index":2,"peers_total":3,
		"tick_us":4000,"flavors":["m1","m2"],"ceilings":{"try_limit":7,"cancel":true,"probes":true,"peers":true,"retry_after":true,
		"max_retry_after_us":300000,"dial_timeout_us":150000,"conn_idle_us":9000000},"report":{"how":"inline","fields":["x0","x1"]},
		"family_info":{"stage_of_kind":["read","write"],"pin_limit_us":900000,"resume":true,"kind_memory_tokens":[1000,2000]},
		"classes":[{"name":"chat","effect":"retryable","worth":1.5,"objective_us":1100000,"deadline_us":2000000},
		{"name":"label","effect":"dedup","dedup_scope":"zone","memory_span_us":300000,"worth":2,"objective_us":1200000},
		{"name":"alert","effect":"fragile","worth":5,"objective_us":1300000}],"obligations":{"drain_grace_us":260000}}}`))
	if err != nil {
		t.Fatal(err)
	}
	d, err := told.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	say := func(what string, value any) { fmt.Fprintf(&out, "%s: %v\n", what, value) }
	say("name", told.Name)
	say("listen", told.Listen)
	say("discovery", told.Discovery)
	say("seed", told.SeedNumber())
	say("cores", told.Limits.Cores)
	say("memory", told.Memory())
	say("sockets", told.Limits.Sockets)
	say("listen for peers", told.PeerListen)
	say("peers", told.Peers)
	say("all peers", told.PeersAll)
	say("known", string(told.Known))
	say("fields of reports", told.Reports())
	say("own number", d.Me)
	say("nodes", d.Nodes)
	say("zones", d.Zones)
	for _, k := range d.Kinds {
		say("engine type", fmt.Sprintf("%q %v", k.Name, k.Memory))
	}
	for _, r := range d.Routes {
		say("route", fmt.Sprintf("%q %v %v %v %v", r.Name, r.Value, r.FirstToken, r.Timeout, r.DedupWindow))
	}
	say("drain grace", d.Rules.DrainGrace)
	say("pin", d.Rules.Pin)
	say("time to dial", d.Lines.DialTime)
	say("idle connections", fmt.Sprint(d.Lines.Idle, " ", d.Lines.IdleUnsafe))
	say("attempts", d.Sends)
	say("tick", d.Tick)
	say("probes", d.Probes)
	say("retry after", d.RetryAfter)
	say("connections of clients", d.Limits.Conns)
	say("connections to engines", d.Lines.All)
	say("bytes", d.Limits.Bytes)
	say("stay, hand over", fmt.Sprint(d.Stay, " ", d.HandOver))
	golden.Check(t, "told.golden", out.String())
}
