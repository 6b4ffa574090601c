package soak

import (
	"strings"
	"testing"
	"time"
)

// Both an invariant violation and a crash in an edge's log are violations of the run.
func TestReadLogRecordsViolationsAndCrashes(t *testing.T) {
	r := &soakRun{folder: t.TempDir(), responses: map[string]int{}, startedAt: time.Now()}
	r.readLog("n1", 1, strings.NewReader(`{"level":"info","msg":"request finished"}
{"level":"error","msg":"invariant violated","rule":"two attempts out","request":"a","detail":"attempts 0 and 1"}
panic: a fault
`))
	if len(r.violations) != 2 || !strings.Contains(r.violations[0], "two attempts out a attempts 0 and 1") || !strings.Contains(r.violations[1], "panic") {
		t.Errorf("violations %q", r.violations)
	}
}
