package assignment

// Reason says to operators why a change is made or not made.
type Reason string

// Reasons for which an engine may not change its role.
const (
	ReasonNotListed          Reason = "it is not listed"
	ReasonNoOtherRole        Reason = "its kind has no other role"
	ReasonRoleUnknown        Reason = "it has not said yet what its role is"
	ReasonDrainedByDiscovery Reason = "discovery drains it"
	ReasonPinned             Reason = "it is pinned"
	ReasonUnresponsive       Reason = "nothing was heard of it"
	ReasonTooManyChanging    Reason = "as many engines are changing as may"
	ReasonTooManyPerMinute   Reason = "as many changes were begun within a minute as may"
	ReasonThirdChanging      Reason = "a third of all engines is changing"
	ReasonLastInZone         Reason = "it is the last of its role in its zone"
	ReasonLastInCell         Reason = "it is the last of its role in its cell"
	ReasonCellMostlyAway     Reason = "two thirds of its role in its cell would be away"
	ReasonNoEngine           Reason = "there is no engine that could change"
)

// Reasons for the outcome of an evaluation.
const (
	ReasonWorthCost    Reason = "it is worth its cost"
	ReasonNothingKnown Reason = "nothing is known yet of what arrives or of how fast engines are"
	ReasonNoGain       Reason = "it would gain nothing"
	ReasonExplainOnly  Reason = "the settings only let it be explained"
)

// Reasons with figures.
const (
	reasonStateFormat      = "it is %s"
	reasonDelayFormat      = "reports are %v old: a change could not be followed"
	reasonCooldownFormat   = "it changed within the last %v"
	reasonMinServingFormat = "%d serve in its role, and %d must stay"
	reasonTooRecentFormat  = "it has lasted %.0f s only"
	reasonCostFormat       = "%.2f of value is expected, %.2f would be lost"
	reasonStoppedFormat    = "changes are stopped by %s: %s"
)
