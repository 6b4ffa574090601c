package main_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sandcourse/internal/golden"
	"strings"
	"testing"
	"time"
)

// exits runs a command line by line in a folder with these files, and returns what it prints and its exit status.
func exits(t *testing.T, binary string, files map[string]string, lines []string) string {
	t.Helper()
	folder := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	for _, line := range lines {
		// A command that is not refused would run on.
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		c := exec.CommandContext(ctx, binary, strings.Fields(line)...)
		c.Dir = folder
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

// Faults of a script or of a configuration are printed as they are, and the exit status is 2; it is 1 for other errors.
func TestGoldenRefusalExits(t *testing.T) {
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	const config = `{"name":"n","listen":"127.0.0.1:9","discovery":"127.0.0.1:9","settings":{"peers_total":2,"index":5,
 "flavors":["read"],"family_info":{"stage_of_kind":["read"],"pin_limit_us":"long"},"classes":[{"name":"chat","effect":"odd"}]}}`
	golden.Check(t, "refusals.golden", exits(t, binary, map[string]string{"empty.star": "",
		"faults.star": "route(name = 1)\nlimits(colour = \"red\")\n", "empty.json": "", "cut.json": config[:40],
		"addresses.json": `{"listen":"x","discovery":"y","limits":{"sockets":1}}`, "settings.json": config},
		[]string{"", "--settings empty.star", "--settings faults.star", "--settings absent.star", "--config empty.json",
			"--config cut.json", "--config addresses.json", "--config settings.json", "--config absent.json",
			"--settings empty.star --config empty.json", "--colour red"}))
}
