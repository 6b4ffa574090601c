package audit

import (
	"slices"
	"testing"
	"time"
)

// testRules are the rules of all tests in this file.
var testRules = Rules{NonRetriable: map[string]bool{"alert": true}, DrainGrace: 100 * time.Millisecond, ListDelay: 100 * time.Millisecond,
	ReservationLimit: time.Second, Tolerance: 100 * time.Millisecond}

// testLog is a log with methods that add records at times relative to its start.
type testLog struct {
	Log
	start time.Time
}

func newTestLog() *testLog { return &testLog{start: time.Now()} }

func (l *testLog) addEngineEvent(after time.Duration, engine string, event EngineEvent) {
	l.RecordEngine(EngineRecord{At: l.start.Add(after), Engine: engine, Event: event, RequestID: "edge-1", ClientRequestID: "c1"})
}

// addClientRecord adds a request of a non-retriable route that is sent at the start and has its deadline one second later.
func (l *testLog) addClientRecord(end time.Duration, outcome Outcome, outcomes int) {
	l.RecordClient(ClientRecord{ClientRequestID: "c1", RequestID: "edge-1", Route: "alert", Edge: "edge", Sent: l.start,
		End: l.start.Add(end), Deadline: l.start.Add(time.Second), Outcome: outcome, OutcomeCount: outcomes})
}

func (l *testLog) violations() (texts []string) {
	for _, v := range l.Check(testRules, l.start.Add(5*time.Second)) {
		texts = append(texts, v.String())
	}
	return texts
}

func TestCheckReportsViolationsOfEachRule(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		record func(l *testLog)
		want   []string
	}{
		{"completed in time", func(l *testLog) {
			l.addEngineEvent(0, "a", AttemptStarted)
			l.addEngineEvent(0, "a", Executed)
			l.addEngineEvent(second/2, "a", AttemptEnded)
			l.addClientRecord(second/2, OutcomeCompleted, 1)
		}, nil},
		{"lost", func(l *testLog) { l.addClientRecord(0, OutcomeLost, 0) }, []string{"rule 1: c1 (edge-1) got no final answer from edge: "}},
		{"lost at a killed edge", func(l *testLog) {
			l.addClientRecord(0, OutcomeLost, 0)
			l.RecordOutage(Outage{Edge: "edge", From: l.start.Add(-second), To: l.start.Add(second)})
		}, nil},
		{"two outcomes", func(l *testLog) { l.addClientRecord(0, OutcomeCompleted, 2) }, []string{"rule 1: c1 (edge-1) got 2 final answers"}},
		{"late", func(l *testLog) { l.addClientRecord(2*second, OutcomeShed, 1) }, []string{"rule 1: c1 (edge-1) ended as shed 1s after its client's deadline"}},
		{"attempt after the outcome", func(l *testLog) {
			l.addClientRecord(0, OutcomeErrored, 1)
			l.addEngineEvent(second, "a", AttemptStarted)
		}, []string{"rule 1: c1 (edge-1) was sent to a 1s after it ended as errored"}},
		{"two executions", func(l *testLog) {
			l.addClientRecord(0, OutcomeCompleted, 1)
			l.addEngineEvent(0, "a", Executed)
			l.addEngineEvent(0, "b", Executed)
		}, []string{"rule 2: c1 is non-retriable and ran at a and b"}},
		{"attempts overlap", func(l *testLog) {
			l.addEngineEvent(0, "a", AttemptStarted)
			l.addEngineEvent(second, "b", AttemptStarted)
			l.addEngineEvent(2*second, "a", AttemptEnded)
		}, []string{"rule 2: edge-1 had attempts in flight at a and b at the same time"}},
		{"attempt follows a crash", func(l *testLog) {
			l.addEngineEvent(0, "a", AttemptStarted)
			l.addEngineEvent(second/2, "a", Crashed)
			l.addEngineEvent(second, "b", AttemptStarted)
		}, nil},
		{"attempt at a draining engine", func(l *testLog) {
			l.RecordReadiness(ReadinessChange{At: l.start, Engine: "a"})
			l.addEngineEvent(second, "a", AttemptStarted)
		}, []string{"rule 3: edge-1 was sent to a 1s after the drain of the engine was published"}},
		{"attempt within the grace", func(l *testLog) {
			l.RecordReadiness(ReadinessChange{At: l.start, Engine: "a"})
			l.addEngineEvent(300*time.Millisecond, "a", AttemptStarted)
		}, nil},
		{"ready again", func(l *testLog) {
			l.RecordReadiness(ReadinessChange{At: l.start, Engine: "a"})
			l.RecordReadiness(ReadinessChange{At: l.start.Add(second / 2), Engine: "a", Ready: true})
			l.addEngineEvent(second, "a", AttemptStarted)
		}, nil},
		{"overloaded", func(l *testLog) { l.addEngineEvent(0, "a", Overloaded) }, []string{"rule 4: a was overloaded while it warmed up: "}},
		{"reservation outlives its limit", func(l *testLog) {
			l.addEngineEvent(0, "a", Reserved)
			l.addEngineEvent(2*second, "a", Released)
		}, []string{"rule 5: a held a reservation of edge-1 for 2s with no attempt in flight"}},
		{"reservation during an attempt", func(l *testLog) {
			l.addEngineEvent(0, "a", Reserved)
			l.addEngineEvent(second/2, "b", AttemptStarted)
			l.addEngineEvent(3*second, "b", AttemptEnded)
			l.addEngineEvent(3*second, "a", Released)
		}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLog()
			c.record(l)
			if got := l.violations(); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestTraceOrdersRecordsByTime(t *testing.T) {
	l := newTestLog()
	l.addClientRecord(time.Second, OutcomeShed, 1)
	l.addEngineEvent(time.Second/2, "a", AttemptStarted)
	want := []string{"   0.000s client c1 sends its request", "   0.500s a began ", "   1.000s client c1 ends with outcome shed "}
	if got := l.Trace("edge-1"); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
