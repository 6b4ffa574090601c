package params

import (
	"time"

	"sandcourse/internal/routing"
)

// Names of the values in a load report on the wire.
const (
	fieldMemoryShare   = "x0"
	fieldQueuedTokens  = "x1" // queued tokens in thousands
	fieldOpenRequests  = "active"
	fieldRecentLatency = "avg_ms"
)

// LoadReport converts the values of a load report. It returns nil if the report has no values.
func LoadReport(telemetry map[string]float64) *routing.LoadReport {
	if len(telemetry) == 0 {
		return nil
	}
	report := routing.LoadReport{MemoryShare: telemetry[fieldMemoryShare], QueuedWork: telemetry[fieldOpenRequests]}
	if queued, ok := telemetry[fieldQueuedTokens]; ok {
		report.QueuedWork = queued
	}
	if latency, ok := telemetry[fieldRecentLatency]; ok {
		report.RecentLatency, report.HasRecentLatency = time.Duration(latency*float64(time.Millisecond)), true
	}
	return &report
}
