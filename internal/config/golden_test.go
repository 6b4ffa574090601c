package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"sandcourse/internal/config/script"
	"sandcourse/internal/golden"
	"sandcourse/settings"
)

// sampleScript is a valid script, split into named parts.
var sampleScript = [][2]string{{"kinds", "kind(name = \"a\", role = \"read\")\nkind(name = \"b\", role = \"write\")\n"},
	{"route", "route(name = \"r\", effect = \"retriable\")\n"}, {"roster", "roster(file = \"roster.json\")\n"}}

// sampleReplacing returns the sample script with a part replaced by other text, which may be empty. An unknown part changes
// nothing.
func sampleReplacing(part, replacement string) string {
	var b strings.Builder
	for _, p := range sampleScript {
		if p[0] == part {
			b.WriteString(replacement)
		} else {
			b.WriteString(p[1])
		}
	}
	return b.String()
}

// listFaults returns the scripts, each followed by its faults.
func listFaults[T any](t *testing.T, read func(string, []byte) (T, error), scripts []string) string {
	t.Helper()
	var b strings.Builder
	for _, text := range scripts {
		_, err := read("s.star", []byte(text))
		var faults script.Faults
		if !errors.As(err, &faults) {
			t.Errorf("%s\nunexpected error %v", text, err)
			continue
		}
		displayed := strings.TrimRight(text, "\n")
		if len(displayed) > 2000 {
			displayed = fmt.Sprintf("(%d bytes) %s", len(text), displayed[:40])
		}
		fmt.Fprintf(&b, "%s\n\t| %s\n\n", displayed, strings.ReplaceAll(err.Error(), "\n", "\n\t| "))
	}
	return b.String()
}

// The test checks that each invalid script is rejected with messages that contain the line, the argument, and the allowed and
// given values.
func TestGoldenRefusals(t *testing.T) {
	valid := sampleReplacing("", "")
	if _, err := Read("s.star", []byte(valid)); err != nil {
		t.Fatal(err)
	}
	scripts := []string{"", "(", "nonsense(1)\n", "node(name = 1 / 0)\n", "load(\"x.star\", \"y\")\n", "while True:\n    pass\n",
		"for i in range(10000000):\n    x = i\n", "def f():\n    node(name = \"\")\nf()\n", strings.Repeat("#", script.MaxBytes+1),
		sampleReplacing("kinds", ""), sampleReplacing("route", ""), sampleReplacing("roster", ""),
		sampleReplacing("kinds", "kind(name = \"a\", role = \"read\")\n"), sampleReplacing("kinds", "kind(name = \"b\", role = \"write\")\n"),
		sampleReplacing("kinds", "kind(name = \"a\", role = \"both\")\nkind(name = \"a\", role = \"cook\", memory = 0)\n"),
		sampleReplacing("route", "route()\n"), sampleReplacing("route", "route(name = \"r\", effect = \"fragile\")\n"),
		sampleReplacing("route", "route(name = \"r\", effect = \"retriable\")\nroute(name = \"r\", effect = \"deduped\", dedup_group = \"town\")\n"),
		sampleReplacing("route", "route(name = \"r\", effect = \"retriable\", first_token_target = \"2s\", route_timeout = \"1s\")\n"),
		valid + "planner(at = \"127.0.0.1:9090\")\n", valid + "planner()\n", valid + "planner(at = \"nowhere\")\n",
		valid + "engine(at = \"127.0.0.1:1\", kind = \"c\")\n", valid + "engine(at = \"x\", kind = \"a\", weight = -1)\n",
		valid + "engine(at = \"127.0.0.1:1\", kind = \"a\")\nengine(at = \"127.0.0.1:1\", kind = \"a\")\n",
		valid + "node(number = 2, nodes = 2)\n", valid + "node(number = -1, nodes = 0, zone = 7, name = \"\")\n",
		valid + "rules(pin = \"100ms\")\nlimits(tick = \"50ms\")\n", valid + "rules(\"x\")\n", valid + "roster(file = \"other.json\")\nroster()\n",
		valid + "listen(chat = 8080, metrics = \"localhost\")\n", valid + "listen(colour = \"red\")\n",
		valid + "route(name = \"q\",\n      effect = \"retriable\",\n      value = -1,\n      colour = \"red\",\n      dedup_window = 5)\n" +
			"limits(open = 1.5,\n       probes = 1)\nlines(dials = 0)\n"}
	// Each argument of each function is set to a value of a type that no argument has, to numbers out of range, and to a
	// string that is valid only for arguments that accept any string.
	d := Defaults()
	for _, function := range slices.Sorted(maps.Keys(d.ScriptFunctions())) {
		arguments, _ := d.ScriptFunctions()[function]()
		for _, v := range []string{"[1]", "-1", "\"1e99h\"", "1e99"} {
			var all []string
			for _, argument := range arguments {
				all = append(all, fmt.Sprintf("%s = %s", argument.Name, v))
			}
			scripts = append(scripts, fmt.Sprintf("%s(%s)\n", function, strings.Join(all, ",\n    ")))
		}
	}
	golden.Check(t, "refusals.golden", listFaults(t, Read, scripts))
}

// The test checks that each invalid script of a planner is rejected with messages of the same form.
func TestGoldenPlannerRefusals(t *testing.T) {
	const files, kinds = "planner(store = \"p.db\", roster = \"roster.json\")\n",
		"kind(name = \"a\", role = \"read\")\nkind(name = \"b\", role = \"write\")\n"
	if _, err := ReadPlanner("s.star", []byte(files+kinds)); err != nil {
		t.Fatal(err)
	}
	scripts := []string{"", files, kinds, "planner()\n" + kinds, "planner(listen = \"x\", store = 1, roster = \"\")\n" + kinds,
		files + kinds + "route(name = \"r\")\n", files + kinds + "planner(file = \"x\")\n",
		files + kinds + "pair()\n", files + kinds + "pair(read = \"b\", write = \"a\")\n",
		files + kinds + "pair(read = \"a\", write = \"b\")\npair(read = \"a\", write = \"b\")\n",
		files + kinds + "value()\n", files + kinds + "value(route = \"r\", value = 0)\n",
		files + kinds + "changes(speed = 1)\nchanges(\"fast\")\n"}
	for _, v := range []string{"[1]", "-1", "\"1e99h\"", "1e99"} {
		var all []string
		for _, k := range []string{"drain_time", "order_time", "load_time", "trial_time", "cold", "rest", "floor", "share",
			"per_minute", "drain_grace", "read_pace", "write_pace", "explain_only"} {
			all = append(all, fmt.Sprintf("%s = %s", k, v))
		}
		scripts = append(scripts, fmt.Sprintf("%s%schanges(%s)\n", files, kinds, strings.Join(all, ",\n    ")))
	}
	golden.Check(t, "planner-refusals.golden", listFaults(t, ReadPlanner, scripts))
}

// The test checks the routing configurations of the demo's script, of a script that sets every argument that routing depends
// on, and of a script that disables Retry-After.
func TestGoldenRoutingConfig(t *testing.T) {
	const all = `node(name = "edge3", zone = "z2", number = 3, nodes = 5)
listen(chat = "127.0.0.1:8081", metrics = "127.0.0.1:8082")
kind(name = "prefill", role = "read", memory = 200000)
kind(name = "decode", role = "write")
kind(name = "mixed", role = "both", memory = 1)
route(name = "r0", effect = "deduped", value = 2.5, first_token_target = "700ms", target_per_1000_tokens = "30ms",
      route_timeout = "9s", dedup_window = "8s", dedup_group = "cell")
route(name = "r1", effect = "non-retriable", dedup_window = "0s")
rules(drain_grace = "300ms", pin = "1600ms", cold = "11s", cold_share = 0.4, fall_multiple = 2, fall_window = "2s")
limits(sends = 3, probes = False, tick = "4ms", max_retry_after = "2s")
engine(at = "127.0.0.1:1", kind = "mixed", zone = "z2", cell = "c", weight = 2)
`
	var b strings.Builder
	for _, c := range [][2]string{{"demo.star", settings.Demo}, {"all.star", all},
		{"no-retry.star", sampleReplacing("", "") + "limits(max_retry_after = \"0s\")\n"}} {
		d, err := Read(c[0], []byte(c[1]))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "%s\n", c[0])
		config := golden.RoutingSettings(d.RoutingConfig())
		for _, name := range slices.Sorted(maps.Keys(config)) {
			fmt.Fprintf(&b, "%s = %s\n", name, config[name])
		}
	}
	golden.Check(t, "facts.golden", b.String())
}
