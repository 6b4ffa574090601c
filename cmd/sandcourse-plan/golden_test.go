package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"sandcourse/internal/golden"
)

// The test checks the output and the exit status for settings scripts: status 2 and the faults for an invalid script, status 0
// after the check of a valid script, and status 1 for other errors.
func TestGoldenCheckExits(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sandcourse-plan")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	sample, err := os.ReadFile("../../settings/planner.star")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "check.golden", golden.RunCommands(t, binary, map[string]string{"sample.star": string(sample), "empty.star": "",
		"faults.star": "planner(listen = \"x\", store = 1)\nkind(name = \"a\", role = \"cook\")\npair(read = \"a\")\n" +
			"changes(share = 2,\n        speed = 1)\n", "route.star": "planner()\nroute(name = \"r\")\n"},
		[]string{"--settings sample.star --check", "--settings empty.star --check", "--settings faults.star --check",
			"--settings route.star --check", "--settings absent.star --check",
			"--settings faults.star", "--check", "--colour red"}))
}
