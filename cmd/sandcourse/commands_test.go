package main

import "testing"

// Renamed commands and their subcommands must remain available under the old names.
func TestRenamedCommandsAcceptOldNames(t *testing.T) {
	for _, c := range []struct{ old, renamed, subcommand string }{
		{"badday", "scenario", "import"},
		{"prove", "modelcheck", "replay"},
		{"prove", "modelcheck", "list"},
		{"lab", "emulate", "compare"},
	} {
		for _, name := range []string{c.old, c.renamed} {
			found, _, err := newCommand().Find([]string{name, c.subcommand})
			if err != nil || found.Name() != c.subcommand || found.Parent().Name() != c.renamed {
				t.Errorf("%s %s resolves to %s (%v)", name, c.subcommand, found.CommandPath(), err)
			}
		}
	}
}
