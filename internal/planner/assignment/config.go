package assignment

import "time"

// Config holds the operator's settings for role changes.
type Config struct {
	DrainTimeout time.Duration // limit for requests in flight to end; when it expires, the engine keeps its role
	OrderTimeout time.Duration // limit for an engine to confirm a role change order
	LoadTimeout  time.Duration // limit for an engine to load and to report its next role
	TrialTimeout time.Duration // limit for the trial request that verifies a role
	WarmUp       time.Duration // time until an engine in a new role reaches its full throughput
	Cooldown     time.Duration // time between two changes of one engine, and before the first retry of a quarantined engine
	DrainGrace   time.Duration // time for requests sent before the drain was published to arrive
	MinServing   int           // number of engines that must keep serving in each role during changes

	MaxChangingShare  float64 // share of all engines that may be changing at once; one engine is always allowed
	MaxSharePerMinute float64 // share of all engines that may begin a change within a minute; two are always allowed
	ExplainOnly       bool    // changes are decided and explained, but not made

	PrefillThroughput float64            // tokens per second of one prefill engine, used until measured; 0 if unknown
	DecodeThroughput  float64            // tokens per second of one decode engine, used until measured; 0 if unknown
	RouteValues       map[string]float64 // value of one request by model route; 1 for routes not listed
}

// ListedEngine is an engine's entry in the endpoint list.
type ListedEngine struct {
	Engine    string // address of the engine
	Role      string
	Zone      string
	Cell      string
	Kinds     map[string]string // engine kind by role; one entry if the engine cannot change roles
	Weight    float64           // capacity relative to an engine of weight 1; 0 counts as 1
	Ready     bool              // the engine is ready; false while service discovery drains it
	CanChange bool              // the engine's kind has a counterpart for the other role
	UpSince   int64             // start time in nanoseconds; 0 if long ago
}
