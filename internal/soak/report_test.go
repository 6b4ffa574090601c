package soak

import (
	"strings"
	"testing"
	"time"

	"sandcourse/internal/audit"
)

// Each check must report exactly the one violation among the records.
func TestChecksFindViolations(t *testing.T) {
	at := time.Now()
	r := &soakRun{log: &audit.Log{}, responses: map[string]int{}, startedAt: at}
	record := func(event audit.EngineEvent, name string, after time.Duration) {
		r.log.RecordEngine(audit.EngineRecord{At: at.Add(after), Engine: "e", Event: event, RequestID: name, ClientRequestID: name, Decode: true})
	}
	for _, name := range []string{"forgotten", "remembered"} {
		r.log.RecordClient(audit.ClientRecord{ClientRequestID: name, RequestID: name, Route: string(classLabel)})
		record(audit.Executed, name, 0)
	}
	record(audit.Executed, "forgotten", deduplicationWindow+time.Millisecond)
	record(audit.Executed, "remembered", deduplicationWindow-time.Millisecond)
	if violations := r.checkDeduplication(); len(violations) != 1 || !strings.Contains(violations[0], "forgotten") {
		t.Errorf("deduplication: %q", violations)
	}
	record(audit.AttemptStarted, "forwarded", 0)
	r.unanswered = []audit.ClientRecord{{RequestID: "forwarded"}, {RequestID: "never read"}}
	if violations := r.checkUnanswered(); len(violations) != 1 || !strings.Contains(violations[0], "forwarded") {
		t.Errorf("unanswered: %q", violations)
	}
}
