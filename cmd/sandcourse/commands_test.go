package main

import "testing"

// Sub-commands that were renamed go on working under their old names, with their own sub-commands.
func TestRenamedCommandsKeepTheirOldNames(t *testing.T) {
	for _, c := range []struct{ old, renamed, subcommand string }{
		{"badday", "scenario", "import"},
		{"prove", "modelcheck", "replay"},
		{"prove", "modelcheck", "list"},
		{"lab", "emulate", "compare"},
	} {
		for _, name := range []string{c.old, c.renamed} {
			found, _, err := newCommand().Find([]string{name, c.subcommand})
			if err != nil || found.Name() != c.subcommand || found.Parent().Name() != c.renamed {
				t.Errorf("%s %s is %s (%v)", name, c.subcommand, found.CommandPath(), err)
			}
		}
	}
}
