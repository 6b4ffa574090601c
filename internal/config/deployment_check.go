package config

import (
	"slices"
	"time"

	"sandcourse/internal/config/script"
)

// Minimum reservation limits. They must leave time for routing to detect at a tick that a release is needed, and for the
// release to reach the engine on a loaded machine.
const (
	minReservationLimit      = 20 * time.Millisecond
	minReservationLimitTicks = 8
)

// Check reports faults of the deployment that do not belong to a single value.
func (d *Deployment) Check(report script.ReportScriptFault) {
	if len(d.Routes) == 0 {
		report("route: at least one route is required")
	}
	hasPrefill := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != RoleDecode })
	hasDecode := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != RolePrefill })
	if !hasPrefill || !hasDecode {
		report("kind: at least one kind with role read or both, and one with role write or both, is required")
	}
	if d.NodeNumber >= d.NodeCount {
		report("node: number %d must be less than nodes, which is %d", d.NodeNumber, d.NodeCount)
	}
	if least := max(minReservationLimit, minReservationLimitTicks*d.TickInterval); d.Rules.ReservationLimit < least {
		report("rules: pin is %v, but must be at least %v: the larger of eight ticks and %v", d.Rules.ReservationLimit, least,
			minReservationLimit)
	}
}

// CheckScript reports faults of a script that do not belong to a single call.
func (d *Deployment) CheckScript(report script.ReportScriptFault) {
	d.Check(report)
	sources := 0
	for _, isSet := range []bool{d.EndpointFile != "", d.PlannerAddress != "", len(d.Engines) > 0} {
		if isSet {
			sources++
		}
	}
	if sources != 1 {
		report("roster, planner or engine: exactly one of these sources of engines is required")
	}
}
