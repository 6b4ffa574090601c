package platform

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"sandcourse/internal/config/params"
	"sandcourse/internal/config/script"
	"sandcourse/internal/golden"
	"sandcourse/internal/routing"
)

// goTypeNames match the Go type names in errors of the JSON decoder. The names may change, so they are removed; the test
// compares the path of the field, and its type if that is a basic type.
var goTypeNames = []*regexp.Regexp{regexp.MustCompile(`(?m)(Go value of type )[a-z]+\.[A-Za-z]+$`),
	regexp.MustCompile(`(Go struct field )[A-Za-z]*\.`),
	regexp.MustCompile(`(?m)( of type )(?:struct \{.*\}|[a-z]+\.[A-Za-z]+)$`)}

// Each configuration is the sample with one text replaced by another, and is rejected with the same faults as before.
func TestGoldenConfigFaults(t *testing.T) {
	var b strings.Builder
	for _, c := range [][2]string{{sampleConfig, ""}, {sampleConfig, "{"}, {sampleConfig, "[]"}, {sampleConfig, "null"}, {sampleConfig, "{}"}, {sampleConfig, "x"}, {`{"name"`, `{`},
		{`"name":"n3"`, `"name":3`}, {`"listen":"127.0.0.4:3000"`, `"listen":7`}, {`"127.0.0.4:3000"`, `"nowhere"`},
		{`"127.0.0.4:3000"`, `"127.0.0.4:0"`}, {`"listen":"127.0.0.4:3000",`, ``}, {`"127.2.0.1:8500"`, `"localhost:8500"`},
		{`"discovery":"127.2.0.1:8500",`, ``}, {`"127.3.0.2:7946"`, `"127.3.0.2"`}, {`"peers":["127.3.0.1:7946",`, `"peers":["",`},
		{`"seed"`, `"peer_listen":"x","peers_all":"y","seed"`}, {`"peers":[`, `"peers":[7,`},
		{`"sockets":256`, `"sockets":63`}, {`"sockets":256`, `"sockets":-1`}, {`"sockets":256`, `"sockets":1.5`},
		{`"sockets":256`, `"sockets":"many"`}, {`"memory_mb":32`, `"memory_mb":-1`}, {`"cores":1.0`, `"cores":-1`},
		{`"memory_mb":32`, `"memory_mb":"32"`}, {`"limits":{"cores":1.0,"memory_mb":32,"sockets":256}`, `"limits":[]`},
		{`"settings":{`, `"else":{`}, {`"settings":{`, `"settings":7,"else":{`}, {`"settings":{`, `"settings":null,"else":{`},
		{`"settings":{`, `"settings":{},"else":{`},
		{`"pin_limit_us":1000000`, `"pin_limit_us":0`}, {`"pin_limit_us":1000000`, `"pin_limit_us":-5`},
		{`"pin_limit_us":1000000`, `"pin_limit_us":"long"`}, {`"pin_limit_us":1000000`, `"pin_limit_us":true`},
		{`"pin_limit_us":1000000`, `"pin_limit_us":31999`}, {`"tick_us":4000`, `"tick_us":200000`},
		{`"fragile"`, `"odd"`}, {`"fragile"`, `"Fragile"`}, {`"fragile"`, `7`}, {`"effect":"fragile",`, ``},
		{`["read","write"]`, `["read","read"]`}, {`["read","write"]`, `["write","write"]`}, {`"flavors":["prefill","decode"]`, `"flavors":[]`},
		{`"index":1`, `"index":7`}, {`"peers_total":2`, `"peers_total":1`}, {`"classes":[{`, `"other":[{`},
		{`"classes":[{`, `"classes":[],"other":[{`}, {`"classes":[{`, `"classes":[{},{"effect":"deduped"},{`},
		{`"listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500"`, `"listen":"a","discovery":"b","peers_all":"c"`},
		{`"index":1,"peers_total":2,"tick_us":4000,"flavors":["prefill","decode"]`, `"index":9,"tick_us":900000,"flavors":[]`},
	} {
		if !strings.Contains(sampleConfig, c[0]) {
			t.Errorf("the sample configuration does not contain %s", c[0])
		}
		node, err := ParseNodeConfig("c.json", []byte(strings.Replace(sampleConfig, c[0], c[1], 1)))
		if err == nil {
			_, err = node.Deployment("c.json")
		}
		var faults script.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Errorf("%s: the error is not of type script.Faults: %v", c[1], err)
		}
		replaced, result := c[0], "accepted"
		if replaced == sampleConfig {
			replaced = "(all)"
		}
		if err != nil {
			result = err.Error()
			for _, names := range goTypeNames {
				result = names.ReplaceAllString(result, "$1")
			}
		}
		fmt.Fprintf(&b, "%s -> %s\n\t| %s\n\n", replaced, c[1], strings.ReplaceAll(result, "\n", "\n\t| "))
	}
	golden.Check(t, "refusals.golden", b.String())
}

// fullConfig has every key of a configuration that this program reads, under the platform's names.
const fullConfig = `{"name":"n4","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"ff","limits":{"cores":2,"memory_mb":96,
 "sockets":512},"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.0.0.9:7946","known":{"generation":3},
 "settings":{"areas":["dc1","dc2"],"zone":1,"index":2,"peers_total":3,"tick_us":5000,"flavors":["read","write","mixed"],
 "discovery":"subscribe","accounts":["t1","t2"],"ceilings":{"try_limit":3,"parallel_tries":2,"cancel":true,"probes":false,
 "retry_after":true,"max_retry_after_us":200000,"conn_idle_us":9000000,"dial_timeout_us":150000,"peers":true,"local_read":true,
 "may_reserve":true},"report":{"how":"off","fields":["x0"]},
 "obligations":{"drain_grace_us":300000,"cold_us":9000000,"cold_share":0.25,"overload_for_us":1000000,"fall_multiple":3},
 "family_info":{"stage_of_kind":["read","write","both"],"pin_limit_us":2000000,"kind_memory_tokens":[10,20,30],"resume":true,
 "aim_per_1000_prompt_tokens_us":[30000,40000],"token_aim_us":50000},
 "classes":[{"name":"chat","effect":"retryable","worth":1,"late_worth":0.5,"objective_us":800000,"deadline_us":2000000,
 "streamed":true},{"name":"alert","effect":"dedup","worth":5,"memory_span_us":7000000,"dedup_scope":"zone"},
 {"name":"pay","effect":"fragile","worth_by":[1,2]}]}}`

// A valid configuration results in the same routing configuration and deployment as before.
func TestGoldenDeployment(t *testing.T) {
	var b strings.Builder
	for _, c := range [][2]string{{"sample", sampleConfig}, {"full", fullConfig}} {
		node, err := ParseNodeConfig("c.json", []byte(c[1]))
		if err != nil {
			t.Fatal(err)
		}
		d, err := node.Deployment("c.json")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n\nfacts\n", c[0])
		lines := settingLines(t, params.Flatten(node.Settings), d.RoutingConfig())
		for _, name := range slices.Sorted(maps.Keys(lines)) {
			fmt.Fprintf(&b, "%s = %s\n", name, lines[name])
		}
		fmt.Fprintf(&b, "\ntold\nname = %s\nlisten = %s\ndiscovery = %s\nseed = %d\npeer_listen = %s\npeers = %q\npeers_all = %s\n"+
			"known = %s\nmemory = %d\nreports = %q\n", node.Name, node.ListenAddress, node.DiscoveryAddress, node.SeedValue(), node.PeerListenAddress, node.Peers,
			node.PeerBroadcastAddress, node.CachedEndpoints, node.MemoryBytes(), node.LoadReportFields())
		fmt.Fprintf(&b, "\nnode\nnode = %s\nchat = %s\nme = %d of %d\nzones = %q\nsends = %d\ntick = %v\nprobes = %v\n",
			d.NodeName, d.ChatAddress, d.NodeNumber, d.NodeCount, d.Zones, d.MaxAttempts, d.TickInterval, d.HealthChecks)
		for _, k := range d.Kinds {
			fmt.Fprintf(&b, "kind %s: role %s, memory %g\n", k.Name, k.Role, k.MemoryTokens)
		}
		for _, r := range d.Routes {
			fmt.Fprintf(&b, "route %s: effect %s, value %g, first token %v, per 1000 tokens %v, timeout %v, dedup window %v, group %q\n",
				r.Name, r.Effect, r.PriorityWeight, r.FirstTokenObjective, r.ObjectivePer1000Tokens, r.Timeout, r.DedupWindow, r.DedupGroup)
		}
		fmt.Fprintf(&b, "rules: drain grace %v, pin %v, cold %v, cold share %g, fall window %v, fall multiple %g\n",
			d.Rules.DrainGrace, d.Rules.ReservationLimit, d.Rules.SlowStart, d.Rules.SlowStartShare, d.Rules.OverloadWindow, d.Rules.OverloadMultiple)
		fmt.Fprintf(&b, "lines: per engine %d, all %d, dials %d, dial time %v, idle %v, idle unsafe %v, settle %v\n",
			d.Connections.PerEngine, d.Connections.Total, d.Connections.ConcurrentDials, d.Connections.DialTimeout, d.Connections.IdleTimeout, d.Connections.NonIdempotentIdleTimeout, d.Connections.ReuseDelay)
		fmt.Fprintf(&b, "limits: connections %d, open %d, bytes %d, head time %v, body time %v, first time %v, idle time %v, "+
			"drain time %v, inbox %d, body %d, head %d, client buffer %d\n", d.Limits.Connections, d.Limits.OpenRequests, d.Limits.BufferedBytes,
			d.Limits.HeaderTimeout, d.Limits.BodyTimeout, d.Limits.FirstRequestTimeout, d.Limits.IdleTimeout, d.Limits.DrainTimeout, d.QueueBytes, d.MaxBodyBytes,
			d.MaxHeadBytes, d.ClientBufferBytes)
		fmt.Fprintf(&b, "times: stall %v, retry after %v, finish %v, linger %v, stay %v, hand over %v, release for %v\n\n",
			d.StallTimeout, d.MaxRetryAfter, d.ShutdownTimeout, d.ShutdownAcceptTime, d.ShutdownStayTime, d.ShutdownHandoverTime, d.ReleaseRepeatTime)
	}
	golden.Check(t, "deployment.golden", b.String())
}

// settingLines returns the settings by name. A setting that routing decisions depend on has the value of the routing
// configuration instead of the sent value. Settings that the program computes are included even if they were not sent.
func settingLines(t *testing.T, sent params.Settings, c routing.Config) map[string]string {
	t.Helper()
	lines, routingSettings := map[string]string{}, golden.RoutingSettings(c)
	for name, v := range sent {
		if lines[name] = formatValue(t, v); routingSettings[name] != "" {
			lines[name] = routingSettings[name]
		}
	}
	lines["engine_facts.pin"] = routingSettings["engine_facts.pin"]
	for i := range c.Routes {
		name := fmt.Sprintf("routes.%d.dedup_window", i)
		lines[name] = routingSettings[name]
	}
	return lines
}

// formatValue formats a setting's value: a number without an exponent, true or false, or a quoted string.
func formatValue(t *testing.T, v any) string {
	t.Helper()
	switch v := v.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	case string:
		return strconv.Quote(v)
	}
	t.Errorf("a setting is neither a number, a string nor a boolean: %v", v)
	return ""
}
