package platform

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/config/script"
	"sandcourse/internal/routing"
)

const sampleConfig = `{"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":32,"sockets":256},"peers":["127.3.0.1:7946","127.3.0.2:7946"],"settings":{
 "areas":["dc1","dc2"],"zone":1,"index":1,"peers_total":2,"tick_us":4000,"flavors":["prefill","decode"],
 "ceilings":{"try_limit":5,"conn_idle_us":15000000,"dial_timeout_us":250000,"probes":true,"retry_after":true,
 "max_retry_after_us":1000000},"report":{"how":"inline","fields":["x0","x1"]},
 "family_info":{"stage_of_kind":["read","write"],"pin_limit_us":1000000,"kind_memory_tokens":[10,20]},
 "classes":[{"name":"chat","effect":"fragile","worth":5,"objective_us":800000,"deadline_us":3000000}]}}`

// Routing uses the same converted settings as in the simulator, and the node's connections and buffers fit its limits.
func TestDeploymentConvertsSettingsAndFitsLimits(t *testing.T) {
	node, err := ParseNodeConfig("c", []byte(sampleConfig))
	if err != nil {
		t.Fatal(err)
	}
	d, err := node.Deployment("c")
	if err != nil {
		t.Fatal(err)
	}
	c := d.RoutingConfig()
	if c.Routes[0].Effect != routing.NonRetriable || c.Routes[0].FirstTokenObjective != 800*time.Millisecond || c.Zone != 1 ||
		d.Role("decode") != "write" || d.RouteIndex("chat") != 0 || d.NodeNumber != 1 || fmt.Sprint(node.LoadReportFields()) != "[x0 x1]" {
		t.Errorf("unexpected deployment %+v or routing configuration %+v", d, c)
	}
	if c.ReservationLimit != 625*time.Millisecond {
		t.Errorf("routing decisions may use a reservation for %v, which leaves no time to release it", c.ReservationLimit)
	}
	if d.Limits.Connections+d.Connections.Total+reservedSockets > 256 || d.Limits.Connections < 256/3 || d.Limits.BufferedBytes+d.QueueBytes > 16<<20 {
		t.Errorf("limits %+v and connections %+v do not fit the limits of the node", d.Limits, d.Connections)
	}
}

func TestInvalidConfigReportsAllFaults(t *testing.T) {
	for old, replacement := range map[string]string{`"pin_limit_us":1000000`: `"pin_limit_us":0`, `"pin_limit_us":1000000,`: `"pin_limit_us":-5,`,
		`"tick_us":4000`: `"tick_us":200000`, `_limit_us":1000000`: `_limit_us":"long"`, `limit_us":1000000`: `limit_us":1000`,
		`"127.0.0.4:3000"`: `"nowhere"`, `"fragile"`: `"odd"`, `"sockets":256`: `"sockets":9`,
		`["read","write"]`: `["read","read"]`, `"settings":{`: `"else":{`, `{"name"`: `{`, `"index":1`: `"index":7`} {
		node, err := ParseNodeConfig("c", []byte(strings.Replace(sampleConfig, old, replacement, 1)))
		if err == nil {
			_, err = node.Deployment("c")
		}
		var faults script.Faults
		if !errors.As(err, &faults) || !strings.HasPrefix(faults[0].Error(), "c: ") {
			t.Errorf("%s: got error %v", replacement, err)
		}
	}
}
