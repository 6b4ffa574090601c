package fluidmodel

import "time"

// Throughputs of one engine in tokens per second: the prompts of a prefill engine, and the answers of a decode
// engine over all its slots.
const (
	prefillThroughput = 20_000.0
	decodeThroughput  = 1_600.0
)

// Route is one model route of the load. Tokens are those of one request.
type Route struct {
	Name                string
	Share               float64 // of all requests
	PrefillTokens       float64
	DecodeTokens        float64
	Value               float64
	LatencyObjective    float64 // seconds to the first token
	SkewedPrefillTokens float64 // while the load is fully skewed to prefill
	SkewedDecodeTokens  float64 // while the load is fully skewed to decode
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
	PrefillEngines int // at the start; the others decode
	Cells          int
	Edges          int
	Duration       time.Duration
	Period         time.Duration // of the skew; 0 for none
	SkewDepth      float64       // 0 for none, 1 for full skew to prefill and to decode in turn
	SquareWave     bool          // the load jumps; otherwise it follows a sine
	Utilization    float64       // of what the best split of roles could serve
	ReloadTime     time.Duration // of an engine that loads for its next role
	WarmUp         time.Duration
	DrainTime      time.Duration // the longest that requests in flight last
	ReportDelay    time.Duration // of all load reports
	MissingReports float64       // share of engines and edges that never report
	FalseReports   float64       // share of engines that report ten times their work
	SlowDecode     [2]float64    // from and to, as shares of the duration: decode engines have half their throughput
	FixedRoles     float64       // share of engines that cannot change
	PrefillLossAt  float64       // share of the duration after which all prefill engines but one drain for good; 0 for never
	Seed           uint64
}

// Strategy is how engines get their roles.
type Strategy int

// The strategies.
const (
	FixedSplit Strategy = iota // every engine keeps its role
	Adaptive                   // package assignment decides
	Threshold                  // a baseline that compares the utilization of both roles with fixed thresholds
)

// Result is the outcome of a scenario. Value shares are those of the offered value that is served in time.
type Result struct {
	Value           float64   `json:"value"`
	WorstWindow     float64   `json:"worst"`   // least value share of ten seconds
	Changes         int       `json:"changes"` // engines that came to another role
	LostEngineTime  float64   `json:"lost"`    // share of all engine time that was out of service for changes
	ServingPrefill  []float64 `json:"-"`       // prefill engines in service, every second
	Windows         []float64 `json:"-"`       // value share of each ten seconds
	RecoverySeconds float64   `json:"recover"` // until the first window after the first skew with nine tenths; -1 for never
}
