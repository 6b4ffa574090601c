package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/golden"
)

// exits runs command lines in a directory with these files, and returns what they print and their exit statuses.
func exits(t *testing.T, binary string, files map[string]string, lines []string) string {
	t.Helper()
	directory := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	for _, line := range lines {
		// A planner whose settings are accepted would run on.
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		c := exec.CommandContext(ctx, binary, strings.Fields(line)...)
		c.Dir = directory
		var out, errs bytes.Buffer
		c.Stdout, c.Stderr = &out, &errs
		status := 0
		var ended *exec.ExitError
		if err := c.Run(); errors.As(err, &ended) {
			status = ended.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		cancel()
		fmt.Fprintf(&b, "$ %s %s\n%s%sexit %d\n\n", filepath.Base(binary), line, out.String(), errs.String(), status)
	}
	return b.String()
}

// A script's faults are printed, and the exit status is 2; it is 0 for a script without faults that is only checked, and 1 for
// other errors.
func TestGoldenCheckExits(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sandcourse-plan")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	sample, err := os.ReadFile("../../settings/planner.star")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "check.golden", exits(t, binary, map[string]string{"sample.star": string(sample), "empty.star": "",
		"faults.star": "planner(listen = \"x\", store = 1)\nkind(name = \"a\", role = \"cook\")\npair(read = \"a\")\n" +
			"changes(share = 2,\n        speed = 1)\n", "route.star": "planner()\nroute(name = \"r\")\n"},
		[]string{"--settings sample.star --check", "--settings empty.star --check", "--settings faults.star --check",
			"--settings route.star --check", "--settings absent.star --check",
			"--settings faults.star", "--check", "--colour red"}))
}
