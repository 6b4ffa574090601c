package assignment

import (
	"fmt"
	"math"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// maxReportDelay is how old reports may be: each of the five steps of a change waits for one.
	maxReportDelay = 3 * time.Second
	// requestTokens is what a request in flight at an engine counts for, in tokens of lost cache: about half an
	// answer.
	requestTokens = 100
	// replicatedCacheShare is the part of all cached tokens that a change costs where other engines have them
	// too, as the requests have to move.
	replicatedCacheShare = 0.1
)

// ineligibleReason says why an engine may not change its role now; it is empty if it may. Every change, whether
// chosen by a decision or ordered by an operator, has to pass it.
func (c *Controller) ineligibleReason(engine *engineRecord) Reason {
	if reason := c.ownReason(engine); reason != "" {
		return reason
	}
	if reason := c.budgetReason(engine); reason != "" {
		return reason
	}
	return c.floorReason(engine)
}

// ownReason checks the engine itself.
func (c *Controller) ownReason(engine *engineRecord) Reason {
	delay := median(c.reportDelays)
	switch {
	case !engine.present:
		return ReasonNotListed
	case !engine.listed.CanChange:
		return ReasonNoOtherRole
	case !engine.roleKnown:
		return ReasonRoleUnknown
	case engine.State != Serving:
		return Reason(fmt.Sprintf(reasonStateFormat, engine.State))
	case !engine.listed.Ready:
		return ReasonDrainedByDiscovery
	case engine.Pinned:
		return ReasonPinned
	case c.unresponsive(engine):
		return ReasonUnresponsive
	case delay > maxReportDelay:
		return Reason(fmt.Sprintf(reasonDelayFormat, delay.Round(100*time.Millisecond)))
	case engine.lastChangeEndedAt > 0 && c.since(engine.lastChangeEndedAt) < c.config.Cooldown:
		return Reason(fmt.Sprintf(reasonCooldownFormat, c.config.Cooldown))
	}
	return ""
}

// budgetReason checks how many engines change at once and within a minute. Where the other role has no engine at
// all, these budgets would only keep it so, and a third of all engines may change.
func (c *Controller) budgetReason(engine *engineRecord) Reason {
	listed, changing := c.engines.presentCount(), c.engines.changingCount()
	serving, incoming := c.supply(planapi.OtherRole(engine.Role))
	if serving+incoming <= 0 {
		if 3*(changing+1) > max(3, listed) {
			return ReasonThirdChanging
		}
		return ""
	}
	if float64(changing+1) > max(1, c.config.MaxChangingShare*float64(listed)) {
		return ReasonTooManyChanging
	}
	if recent := c.history.startedWithin(c.now, time.Minute); float64(recent+1) > max(2,
		c.config.MaxSharePerMinute*float64(listed)) {
		return ReasonTooManyPerMinute
	}
	return ""
}

// roleCount counts engines of one role. Those that are neither may be down, or may turn out to have the other
// role.
type roleCount struct{ serving, away int }

func (c *Controller) countRole(role string, match func(*ListedEngine) bool) (count roleCount) {
	for _, engine := range c.engines.sorted {
		if !engine.present || engine.Role != role || !match(&engine.listed) {
			continue
		}
		switch {
		case !engine.inService():
			count.away++
		case c.available(engine) && engine.roleKnown:
			count.serving++
		}
	}
	return count
}

// floorReason keeps each role from being emptied in the fleet and in each zone and cell that has it, and two
// thirds of a cell's role from being away together.
func (c *Controller) floorReason(engine *engineRecord) Reason {
	own := &engine.listed
	fleet := c.countRole(engine.Role, func(*ListedEngine) bool { return true })
	if fleet.serving-1 < c.config.MinServing {
		return Reason(fmt.Sprintf(reasonMinServingFormat, fleet.serving, c.config.MinServing))
	}
	zones, cells := c.countZonesAndCells()
	zone := c.countRole(engine.Role, func(other *ListedEngine) bool { return other.Zone == own.Zone })
	if zones > 1 && zone.serving < 2 {
		return ReasonLastInZone
	}
	cell := c.countRole(engine.Role, func(other *ListedEngine) bool {
		return other.Zone == own.Zone && other.Cell == own.Cell
	})
	if cells > 1 && cell.serving < 2 {
		return ReasonLastInCell
	}
	if total := cell.serving + cell.away; total > 1 && 3*(cell.away+1) >= 2*total {
		return ReasonCellMostlyAway
	}
	return ""
}

func (c *Controller) countZonesAndCells() (zones, cells int) {
	zoneSet, cellSet := map[string]bool{}, map[string]bool{}
	for _, engine := range c.engines.sorted {
		zoneSet[engine.listed.Zone] = true
		cellSet[engine.listed.Zone+"/"+engine.listed.Cell] = true
	}
	return len(zoneSet), len(cellSet)
}

// cheapestEngine is the eligible engine of a role whose change loses least, cached tokens first and then
// requests in flight. Without one, the reason is the most frequent of those for which engines are not eligible.
func (c *Controller) cheapestEngine(role string) (cheapest *engineRecord, reason Reason) {
	counts := map[Reason]int{}
	leastCost := math.Inf(1)
	for _, engine := range c.engines.sorted {
		if engine.Role != role || !engine.present {
			continue
		}
		if reason := c.ineligibleReason(engine); reason != "" {
			counts[reason]++
			continue
		}
		cost := c.lostCacheTokens(engine) + requestTokens*float64(engine.report.OpenRequests+engine.report.Reservations)
		if cost < leastCost {
			cheapest, leastCost = engine, cost
		}
	}
	if cheapest != nil {
		return cheapest, ""
	}
	return nil, mostFrequent(counts)
}

// mostFrequent is the reason with the highest count, the first by its text of several.
func mostFrequent(counts map[Reason]int) Reason {
	reason, most := ReasonNoEngine, 0
	for candidate, count := range counts {
		if count > most || count == most && candidate < reason {
			reason, most = candidate, count
		}
	}
	return reason
}

// lostCacheTokens is how many cached tokens would have to be computed again after a change of an engine.
// Prefixes that no other prefill engine in service has cached are computed again for each edge.
func (c *Controller) lostCacheTokens(engine *engineRecord) float64 {
	if engine.Role != planapi.Prefill {
		return 0
	}
	lost := replicatedCacheShare * engine.report.CachedTokens
	for prefix, tokens := range engine.report.HotPrefixes {
		if c.cachedCopies(prefix) == 1 {
			lost += tokens * float64(max(1, len(c.demand.edges)))
		}
	}
	return lost
}

// cachedCopies counts the prefill engines in service that have a prefix cached.
func (c *Controller) cachedCopies(prefix string) (copies int) {
	for _, engine := range c.engines.sorted {
		if _, cached := engine.report.HotPrefixes[prefix]; cached && engine.Role == planapi.Prefill && engine.inService() {
			copies++
		}
	}
	return copies
}
