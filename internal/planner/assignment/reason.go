package assignment

// Reason explains to operators why a change is made or not made.
type Reason string

// Reasons for which an engine may not change its role.
const (
	ReasonNotListed              Reason = "engine is not listed"
	ReasonNoOtherRole            Reason = "engine kind has no other role"
	ReasonRoleUnknown            Reason = "engine has not reported its role yet"
	ReasonDrainedByDiscovery     Reason = "discovery drains the engine"
	ReasonPinned                 Reason = "engine is pinned"
	ReasonUnresponsive           Reason = "no recent report from the engine"
	ReasonTooManyChanging        Reason = "budget of concurrent changes is used up"
	ReasonTooManyPerMinute       Reason = "budget of changes per minute is used up"
	ReasonThirdChanging          Reason = "a third of all engines is changing"
	ReasonLastInZone             Reason = "engine is the last of its role in its zone"
	ReasonLastInCell             Reason = "engine is the last of its role in its cell"
	ReasonCellMostlyOutOfService Reason = "two thirds of the role's engines in the cell would be out of service"
	ReasonNoEngine               Reason = "no engine is available to change"
)

// Reasons for the outcome of an evaluation.
const (
	ReasonWorthCost   Reason = "change is worth its cost"
	ReasonNoEstimate  Reason = "demand or engine throughput is not known yet"
	ReasonNoGain      Reason = "change would gain nothing"
	ReasonExplainOnly Reason = "settings forbid changes (explain_only)"
)

// Formats of reasons with values.
const (
	reasonStateFormat      = "engine is %s"
	reasonDelayFormat      = "reports are %v old: a change could not be tracked"
	reasonCooldownFormat   = "engine changed within the last %v"
	reasonMinServingFormat = "%d engines serve in the role, and %d must stay"
	reasonTooRecentFormat  = "gain has lasted for only %.0f s"
	reasonCostFormat       = "expected gain of %.2f in value is too low for a cost of %.2f"
	reasonStoppedFormat    = "changes are stopped by %s: %s"
)
