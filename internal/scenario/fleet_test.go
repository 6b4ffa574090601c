package scenario

import (
	"testing"
	"time"

	"sandcourse/internal/audit"
	"sandcourse/internal/endpoint"
	"sandcourse/internal/fake/engine"
)

// Edges may read a new list at any moment while it is written. An engine that it lists as ready may be sent to from before
// then; one that it does not list as ready must not be sent to from the moment at which all edges can read it.
func TestReadinessCountsFromWhenEdgesCanReadIt(t *testing.T) {
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
			t.Fatalf("%d changes are recorded", len(changes))
		}
		for _, change := range changes {
			if change.Ready && change.At.After(written) {
				t.Errorf("draining %v: %s counts as ready %v after the list was there", draining, change.Engine, change.At.Sub(written))
			}
			if !change.Ready && change.At.Before(written) {
				t.Errorf("draining %v: %s counts as draining %v before the list was there", draining, change.Engine, written.Sub(change.At))
			}
		}
	}
}
