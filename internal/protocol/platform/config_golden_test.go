package platform

import (
	"fmt"
	"strings"
	"testing"

	"sandcourse/internal/config"
	"sandcourse/internal/golden"
)

// Each key of a configuration sets the same values of NodeConfig and Deployment as before.
func TestGoldenNodeConfig(t *testing.T) {
	c, err := ParseNodeConfig("test", []byte(`{"name":"n0","listen":"127.0.0.1:9","discovery":"127.0.0.1:10","seed":"ff",
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
	d, err := c.Deployment("test")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	line := func(label string, value any) { fmt.Fprintf(&out, "%s: %v\n", label, value) }
	describeConfig(c, line)
	describeDeployment(d, line)
	golden.Check(t, "node_config.golden", out.String())
}

func describeConfig(c *NodeConfig, line func(label string, value any)) {
	line("name", c.Name)
	line("listen", c.ListenAddress)
	line("discovery", c.DiscoveryAddress)
	line("seed", c.SeedValue())
	line("cores", c.Limits.Cores)
	line("memory", c.MemoryBytes())
	line("sockets", c.Limits.Sockets)
	line("listen for peers", c.PeerListenAddress)
	line("peers", c.Peers)
	line("all peers", c.PeerBroadcastAddress)
	line("known", string(c.CachedEndpoints))
	line("fields of reports", c.LoadReportFields())
}

func describeDeployment(d *config.Deployment, line func(label string, value any)) {
	line("own number", d.NodeNumber)
	line("nodes", d.NodeCount)
	line("zones", d.Zones)
	for _, k := range d.Kinds {
		line("engine type", fmt.Sprintf("%q %v", k.Name, k.MemoryTokens))
	}
	for _, r := range d.Routes {
		line("route", fmt.Sprintf("%q %v %v %v %v", r.Name, r.PriorityWeight, r.FirstTokenObjective, r.Timeout, r.DedupWindow))
	}
	line("drain grace", d.Rules.DrainGrace)
	line("pin", d.Rules.ReservationLimit)
	line("time to dial", d.Connections.DialTimeout)
	line("idle connections", fmt.Sprint(d.Connections.IdleTimeout, " ", d.Connections.NonIdempotentIdleTimeout))
	line("attempts", d.MaxAttempts)
	line("tick", d.TickInterval)
	line("probes", d.HealthChecks)
	line("retry after", d.MaxRetryAfter)
	line("connections of clients", d.Limits.Connections)
	line("connections to engines", d.Connections.Total)
	line("bytes", d.Limits.BufferedBytes)
	line("stay, hand over", fmt.Sprint(d.ShutdownStayTime, " ", d.ShutdownHandoverTime))
}
