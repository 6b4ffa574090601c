package fluidmodel

import "time"

// Throughputs of one engine in tokens per second: prompt tokens of a prefill engine, and answer tokens of all slots of a
// decode engine.
const (
	prefillThroughput = 20_000.0
	decodeThroughput  = 1_600.0
)

// Route is one model route of the load. Token counts are per request.
type Route struct {
	Name                string
	Share               float64 // share of all requests
	PrefillTokens       float64
	DecodeTokens        float64
	Value               float64
	LatencyObjective    float64 // objective for the time to the first token, in seconds
	SkewedPrefillTokens float64 // PrefillTokens while the load is fully skewed to prefill
	SkewedDecodeTokens  float64 // DecodeTokens while the load is fully skewed to decode
}

// Routes returns the two routes of every scenario: a low-value one with long prompts, and a high-value one with
// short prompts.
func Routes() []Route {
	return []Route{
		{Name: "fan-alert", Share: 0.4, PrefillTokens: 300, DecodeTokens: 60, Value: 5, LatencyObjective: 0.8,
			SkewedPrefillTokens: 1500, SkewedDecodeTokens: 150},
		{Name: "clip-summary", Share: 0.6, PrefillTokens: 1200, DecodeTokens: 100, Value: 1, LatencyObjective: 1.5,
			SkewedPrefillTokens: 4000, SkewedDecodeTokens: 250},
	}
}

// Scenario describes a fleet, its load and its faults.
type Scenario struct {
	Engines        int
	PrefillEngines int // number of prefill engines at the start; all others are decode engines
	Cells          int
	Edges          int
	Duration       time.Duration
	Period         time.Duration // period of the skew; 0 for no skew
	SkewDepth      float64       // depth of the skew, from 0 for no skew to 1 for full skew to prefill and to decode in turn
	SquareWave     bool          // the load jumps between the two skews; otherwise it follows a sine
	Utilization    float64       // load as a share of what the best split of roles could serve
	ReloadTime     time.Duration // time that an engine takes to load its next role
	WarmUp         time.Duration
	DrainTime      time.Duration // maximum time until requests in flight end
	ReportDelay    time.Duration // delay of all load reports
	MissingReports float64       // share of engines and edges that do not report; engines still report while they change roles
	FalseReports   float64       // share of engines that report ten times their work
	SlowDecode     [2]float64    // start and end of a slowdown of decode engines by half, as shares of the duration
	FixedRoles     float64       // share of engines that cannot change roles
	PrefillLossAt  float64       // share of the duration until all prefill engines but one drain permanently; 0 for never
	Seed           uint64
}

// Strategy selects how roles are assigned to engines.
type Strategy int

// The strategies.
const (
	FixedSplit Strategy = iota // every engine keeps its role
	Adaptive                   // package assignment decides on roles
	Threshold                  // a baseline that compares the utilization of both roles with fixed thresholds
)

// Result is the outcome of a scenario. A value share is the share of the offered value that is served in time.
type Result struct {
	Value           float64   `json:"value"`
	WorstWindow     float64   `json:"worst"`   // lowest value share of a window of ten seconds
	Changes         int       `json:"changes"` // number of changes of engines to another role
	LostEngineTime  float64   `json:"lost"`    // share of all engine time that was out of service for changes
	ServingPrefill  []float64 `json:"-"`       // number of prefill engines in service at each second
	Windows         []float64 `json:"-"`       // value share of each window of ten seconds
	RecoverySeconds float64   `json:"recover"` // time of the first window after the first skew with value share 0.9; -1 for never
}
