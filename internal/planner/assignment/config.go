package assignment

import "time"

// Config holds the operators' settings for role changes.
type Config struct {
	DrainTimeout time.Duration // for requests in flight at an engine to end; after it the engine keeps its role
	OrderTimeout time.Duration // for an engine to confirm a role change order
	LoadTimeout  time.Duration // for an engine to report that it serves in its next role
	TrialTimeout time.Duration // for the trial request that proves a role
	WarmUp       time.Duration // for an engine in a new role to reach its full throughput
	Cooldown     time.Duration // between two changes of one engine, and before the first retry of a quarantined one
	DrainGrace   time.Duration // for requests that were sent before the drain was published
	MinServing   int           // engines that serve in each role, which no change may go below

	MaxChangingShare  float64 // share of all engines that may be changing at once; one always may
	MaxSharePerMinute float64 // share of all engines that may begin a change within a minute; two always may
	ExplainOnly       bool    // decide and explain, but change nothing

	PrefillThroughput float64            // tokens per second of one prefill engine until it is measured; 0 if unknown
	DecodeThroughput  float64            // tokens per second of one decode engine until it is measured; 0 if unknown
	RouteValues       map[string]float64 // value of one request by model route; 1 if missing
}

// ListedEngine is an engine as the endpoint list has it.
type ListedEngine struct {
	Engine    string // its address
	Role      string
	Zone      string
	Cell      string
	Kinds     map[string]string // engine kind by role; an engine that cannot change has one
	Weight    float64           // capacity relative to an engine of weight 1; 0 counts as 1
	Ready     bool              // false while discovery drains it
	CanChange bool              // its kind has a counterpart for the other role
	UpSince   int64             // nanoseconds; 0 for long ago
}
