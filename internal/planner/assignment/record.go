package assignment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Record is the state of one engine that survives a restart of the planner.
type Record struct {
	Engine       string `json:"engine"`
	Role         string `json:"role"`
	Epoch        int64  `json:"epoch"`
	State        State  `json:"state"`
	NextRole     string `json:"next,omitempty"`
	NextEpoch    int64  `json:"next_epoch,omitempty"`
	StateSince   int64  `json:"since"`           // nanoseconds of the planner's clock
	ServingSince int64  `json:"began,omitempty"` // since when the engine warms up; 0 for long ago
	Incarnation  int64  `json:"life,omitempty"`
	Pinned       bool   `json:"pinned,omitempty"`
	Reason       string `json:"why,omitempty"` // of the last change or operator's order
}

// Meta is the state of the planner itself that survives a restart.
type Meta struct {
	PlanNumber int64  `json:"number"` // of the last plan
	Stopped    bool   `json:"stopped"`
	StoppedBy  string `json:"who,omitempty"`
	StopReason string `json:"why,omitempty"`
}

// engineRecord is everything that is known of one engine.
type engineRecord struct {
	Record
	listed            ListedEngine
	present           bool // in the latest endpoint list
	roleKnown         bool // its role was reported by itself or restored from the store
	report            planapi.EngineReport
	reportedAt        int64 // 0 for never
	reportRequestedAt int64
	samples           []workSample
	orderSentAt       int64
	changeStartedAt   int64
	lastChangeEndedAt int64
	trialNumber       int64
	quarantineCount   int
	fault             string // the last one, for operators
}

// inService is whether the engine serves requests in its role.
func (e *engineRecord) inService() bool { return e.State == Serving || e.State == WarmingUp }

// changing is whether the engine is between two roles.
func (e *engineRecord) changing() bool { return !e.inService() && e.State != Quarantined }

// weight is the engine's capacity relative to an engine of weight 1.
func (e *engineRecord) weight() float64 { return cmp.Or(e.listed.Weight, 1) }

// reportedUpSince is since when the engine is up by its latest report. It is never 0, which means long ago.
func (e *engineRecord) reportedUpSince(now int64) int64 {
	return max(1, now-e.report.UptimeMillis*int64(time.Millisecond))
}

// engineRegistry holds all engines that were ever listed or restored.
type engineRegistry struct {
	byAddress map[string]*engineRecord
	sorted    []*engineRecord // by address, so that no decision depends on the order of a map
}

// sort brings the sorted list up to date after engines were added.
func (r *engineRegistry) sort() {
	r.sorted = r.sorted[:0]
	for _, address := range slices.Sorted(maps.Keys(r.byAddress)) {
		r.sorted = append(r.sorted, r.byAddress[address])
	}
}

// presentCount is how many engines are in the latest endpoint list.
func (r *engineRegistry) presentCount() (count int) {
	for _, engine := range r.sorted {
		if engine.present {
			count++
		}
	}
	return count
}

// changingCount is how many engines are between two roles.
func (r *engineRegistry) changingCount() (count int) {
	for _, engine := range r.sorted {
		if engine.changing() {
			count++
		}
	}
	return count
}

// appendBounded appends a value and keeps the newest limit of them.
func appendBounded[T any](values []T, value T, limit int) []T {
	values = append(values, value)
	if len(values) > limit {
		values = append(values[:0], values[len(values)-limit:]...)
	}
	return values
}

// seconds is a duration as the unit of rates. Duration.Seconds rounds differently in the last bit.
func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }
