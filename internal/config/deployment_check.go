package config

import (
	"slices"
	"time"

	"sandcourse/internal/config/script"
)

// A reservation limit must leave time for a release to reach the engine on a loaded machine, and for routing to see that
// one is needed, at a tick.
const (
	minReservationLimit      = 20 * time.Millisecond
	minReservationLimitTicks = 8
)

// Check reports the faults that no single value has.
func (d *Deployment) Check(report script.ReportScriptFault) {
	if len(d.Routes) == 0 {
		report("route: none is given; at least one is needed")
	}
	prefills := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != RoleDecode })
	decodes := slices.ContainsFunc(d.Kinds, func(k EngineKind) bool { return k.Role != RolePrefill })
	if !prefills || !decodes {
		report("kind: there must be one that reads and one that writes")
	}
	if d.NodeNumber >= d.NodeCount {
		report("node: number %d must be under nodes, which is %d", d.NodeNumber, d.NodeCount)
	}
	if least := max(minReservationLimit, minReservationLimitTicks*d.TickInterval); d.Rules.ReservationLimit < least {
		report("rules: pin is %v; it must be at least %v: eight ticks, and %v", d.Rules.ReservationLimit, least,
			minReservationLimit)
	}
}

// CheckScript reports the faults of a script that no single call has.
func (d *Deployment) CheckScript(report script.ReportScriptFault) {
	d.Check(report)
	sources := 0
	for _, given := range []bool{d.EndpointFile != "", d.PlannerAddress != "", len(d.Engines) > 0} {
		if given {
			sources++
		}
	}
	if sources != 1 {
		report("roster, planner or engine: one of them is needed, and only one")
	}
}
