package scenario

import (
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
)

// Edges may read a new endpoint list at any time during its write. An engine that the list has as ready may get attempts from
// the start of the write; other engines may get new attempts until the end of the write.
func TestReadyIsRecordedBeforeAndDrainingAfterListWrite(t *testing.T) {
	log := &audit.Log{}
	f, err := StartFleet(t.TempDir(), []engine.Config{{Name: "a", Role: "read"}, {Name: "b", Role: "write"}}, log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	var written time.Time
	f.writeList = func(path string, list endpoint.List) error {
		written = time.Now()
		return endpoint.WriteFile(path, list)
	}
	for _, draining := range []bool{true, false} {
		before := len(log.ReadinessChanges())
		f.Drain(f.Engines[0], draining)
		changes := log.ReadinessChanges()[before:]
		if len(changes) != len(f.Engines) {
			t.Fatalf("%d readiness changes are recorded", len(changes))
		}
		for _, change := range changes {
			if change.Ready && change.At.After(written) {
				t.Errorf("draining %v: %s is recorded as ready %v after the list was written", draining, change.Engine, change.At.Sub(written))
			}
			if !change.Ready && change.At.Before(written) {
				t.Errorf("draining %v: %s is recorded as draining %v before the list was written",
					draining, change.Engine, written.Sub(change.At))
			}
		}
	}
}
