package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sandcourse/internal/golden"
)

// The golden file records the requests that the roles commands send to the planner, and what the commands print.
func TestGoldenRolesCommands(t *testing.T) {
	shown, err := os.ReadFile(filepath.Join("testdata", "shown.json"))
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("USER", "ops")
	local := time.Local
	time.Local = time.UTC
	defer func() { time.Local = local }()
	var b strings.Builder
	planner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(&b, "%s %s %s\n%s\n", r.Method, r.URL, r.Header.Get("Content-Type"), body)
		switch {
		case r.Method == http.MethodGet:
			w.Write(shown)
		case strings.Contains(string(body), "10.0.0.9"):
			http.Error(w, "10.0.0.9:8000: no such engine is known", http.StatusConflict)
		default:
			io.WriteString(w, "order accepted\n")
		}
	}))
	defer planner.Close()
	for _, line := range []string{"show", "show --json", "explain", "explain 10.0.0.2:8000", "explain 10.0.0.1:8000",
		"explain 10.0.0.9:8000", "pin 10.0.0.1:8000 --why hot", "unpin 10.0.0.1:8000 --why cold --who night",
		"move 10.0.0.2:8000 --why burst --dry-run", "move 10.0.0.9:8000 --why burst", "readmit 10.0.0.2:8000 --why mended",
		"stop --why switch", "go --why done", "pin 10.0.0.1:8000", "pin --why hot", "stop 10.0.0.1:8000 --why switch"} {
		fmt.Fprintf(&b, "$ sandcourse roles %s\n", line)
		c := rolesCommand()
		c.SilenceUsage, c.SilenceErrors = true, true
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs(append(strings.Fields(line), "--planner", strings.TrimPrefix(planner.URL, "http://")))
		err := c.Execute()
		b.WriteString(out.String())
		if err != nil {
			fmt.Fprintf(&b, "fails: %v\n", err)
		}
		b.WriteString("\n")
	}
	golden.Check(t, "roles.golden", b.String())
}

// The exit status is 0 for a valid script, 2 for a script with faults, which are printed without a prefix, and 1 for other
// errors.
func TestGoldenCheckExitStatus(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "sandcourse")
	if out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	golden.Check(t, "check.golden", golden.RunCommands(t, binary, map[string]string{
		"empty.star":  "",
		"faults.star": "route(name = 1)\nlimits(colour = \"red\")\n",
		"good.star": "kind(name = \"a\", role = \"read\")\nkind(name = \"b\", role = \"write\")\n" +
			"route(name = \"r\", effect = \"retriable\")\nroster(file = \"roster.json\")\n",
	}, []string{"check good.star", "check empty.star", "check faults.star", "check absent.star", "check", "cheque x"}))
}
