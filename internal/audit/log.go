package audit

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Log collects records from many goroutines. The zero value is an empty log.
type Log struct {
	mu               sync.Mutex
	engineRecords    []EngineRecord
	clientRecords    []ClientRecord
	readinessChanges []ReadinessChange
	outages          []Outage
}

// RecordEngine adds a record of an engine.
func (l *Log) RecordEngine(record EngineRecord) {
	l.mu.Lock()
	l.engineRecords = append(l.engineRecords, record)
	l.mu.Unlock()
}

// RecordClient adds a record of a client's request.
func (l *Log) RecordClient(record ClientRecord) {
	l.mu.Lock()
	l.clientRecords = append(l.clientRecords, record)
	l.mu.Unlock()
}

// RecordReadiness adds a change of an engine's readiness.
func (l *Log) RecordReadiness(change ReadinessChange) {
	l.mu.Lock()
	l.readinessChanges = append(l.readinessChanges, change)
	l.mu.Unlock()
}

// RecordOutage adds an outage of an edge.
func (l *Log) RecordOutage(outage Outage) {
	l.mu.Lock()
	l.outages = append(l.outages, outage)
	l.mu.Unlock()
}

// ReadinessChanges returns a copy of all changes of the readiness of engines.
func (l *Log) ReadinessChanges() []ReadinessChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.readinessChanges)
}

// ClientRecords returns a copy of all records of clients.
func (l *Log) ClientRecords() []ClientRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.clientRecords)
}

// EngineRecords returns a copy of all records of engines.
func (l *Log) EngineRecords() []EngineRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.engineRecords)
}

// Trace returns the records of a request as lines of text, ordered by time.
func (l *Log) Trace(requestID string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	type entry struct {
		at   time.Time
		text string
	}
	var entries []entry
	for _, record := range l.engineRecords {
		if record.RequestID == requestID {
			entries = append(entries, entry{record.At, fmt.Sprintf("%s %s %s", record.Engine, record.Event, record.Detail)})
		}
	}
	for _, c := range l.clientRecords {
		if c.RequestID == requestID {
			entries = append(entries, entry{c.Sent, "client " + c.ClientRequestID + " sends its request"},
				entry{c.End, fmt.Sprintf("client %s ends with outcome %s %s", c.ClientRequestID, c.Outcome, c.Reason)})
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return a.at.Compare(b.at) })
	lines := make([]string, len(entries))
	for i, e := range entries {
		lines[i] = fmt.Sprintf("%8.3fs %s", e.at.Sub(entries[0].at).Seconds(), e.text)
	}
	return lines
}
