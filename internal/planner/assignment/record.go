package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Record is the persisted state of one engine.
type Record struct {
	Engine       string `json:"engine"`
	Role         string `json:"role"`
	Epoch        int64  `json:"epoch"`
	State        State  `json:"state"`
	NextRole     string `json:"next,omitempty"`
	NextEpoch    int64  `json:"next_epoch,omitempty"`
	StateSince   int64  `json:"since"`           // start of the state, in nanoseconds of the planner's clock
	ServingSince int64  `json:"began,omitempty"` // start of the engine's warm-up; 0 if long ago
	Incarnation  int64  `json:"life,omitempty"`
	Pinned       bool   `json:"pinned,omitempty"`
	Reason       string `json:"why,omitempty"` // reason of the last change or operator order
}

// Meta is the persisted state of the planner itself.
type Meta struct {
	PlanNumber int64  `json:"number"` // number of the last plan
	Stopped    bool   `json:"stopped"`
	StoppedBy  string `json:"who,omitempty"`
	StopReason string `json:"why,omitempty"`
}

// engineRecord is the complete state of one engine, persisted and volatile.
type engineRecord struct {
	Record
	listed            ListedEngine
	present           bool // listed in the latest endpoint list
	roleKnown         bool // the role was reported by the engine or restored from the store
	report            planapi.EngineReport
	reportedAt        int64 // time of the latest report; 0 if the engine has never reported
	reportRequestedAt int64
	samples           []workSample
	orderSentAt       int64
	changeStartedAt   int64
	lastChangeEndedAt int64
	trialNumber       int64
	quarantineCount   int
	fault             string // the last fault, for operators
}

// inService reports whether the engine serves requests in its role.
func (e *engineRecord) inService() bool { return e.State == Serving || e.State == WarmingUp }

// changing reports whether the engine is between two roles.
func (e *engineRecord) changing() bool { return !e.inService() && e.State != Quarantined }

// weight returns the engine's capacity relative to an engine of weight 1.
func (e *engineRecord) weight() float64 { return cmp.Or(e.listed.Weight, 1) }

// reportedUpSince returns the start time according to the latest report. The result is never 0, which means long ago.
func (e *engineRecord) reportedUpSince(now int64) int64 {
	return max(1, now-e.report.UptimeMillis*int64(time.Millisecond))
}

// engineRegistry holds all engines that were ever listed or restored.
type engineRegistry struct {
	byAddress map[string]*engineRecord
	sorted    []*engineRecord // all engines by address, so that no decision depends on map order
}

// updateSorted rebuilds the sorted list after engines were added.
func (r *engineRegistry) updateSorted() {
	r.sorted = r.sorted[:0]
	for _, address := range slices.Sorted(maps.Keys(r.byAddress)) {
		r.sorted = append(r.sorted, r.byAddress[address])
	}
}

// presentCount returns the number of engines in the latest endpoint list.
func (r *engineRegistry) presentCount() (count int) {
	for _, engine := range r.sorted {
		if engine.present {
			count++
		}
	}
	return count
}

// changingCount returns the number of engines between two roles.
func (r *engineRegistry) changingCount() (count int) {
	for _, engine := range r.sorted {
		if engine.changing() {
			count++
		}
	}
	return count
}

// appendBounded appends a value and keeps at most the limit newest values.
func appendBounded[T any](values []T, value T, limit int) []T {
	values = append(values, value)
	if len(values) > limit {
		values = append(values[:0], values[len(values)-limit:]...)
	}
	return values
}

// seconds converts a duration to seconds. Duration.Seconds rounds differently in the last bit.
func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }
