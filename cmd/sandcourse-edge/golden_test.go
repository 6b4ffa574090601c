package main_test

import (
	"testing"

	"sandcourse/internal/golden"
)

// All errors in a script or a configuration are printed, and the exit status is 2. For other errors the exit status is 1.
func TestGoldenConfigurationErrors(t *testing.T) {
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	const config = `{"name":"n","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","settings":{"peers_total":2,"index":5,
 "flavors":["read"],"family_info":{"stage_of_kind":["read"],"pin_limit_us":"long"},"classes":[{"name":"chat","effect":"odd"}]}}`
	golden.Check(t, "refusals.golden", golden.RunCommands(t, binary, map[string]string{"empty.star": "",
		"faults.star": "route(name = 1)\nlimits(colour = \"red\")\n", "empty.json": "", "cut.json": config[:40],
		"addresses.json": `{"listen":"x","discovery":"y","limits":{"sockets":1}}`, "settings.json": config},
		[]string{"", "--settings empty.star", "--settings faults.star", "--settings absent.star", "--config empty.json",
			"--config cut.json", "--config addresses.json", "--config settings.json", "--config absent.json",
			"--settings empty.star --config empty.json", "--colour red"}))
}
