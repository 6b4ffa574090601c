package assignment

import (
	"fmt"
	"math"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// maxMedianReportDelay limits the median delay of reports, as each of the five steps of a change waits for a report.
	maxMedianReportDelay = 3 * time.Second
	// openRequestCost is the cost of a change for each request in flight at the engine, in lost cached tokens: about half
	// an answer.
	openRequestCost = 100
	// replicatedCacheShare is the share of cached tokens that counts as lost although other engines have them cached
	// too, as the requests have to move to those engines.
	replicatedCacheShare = 0.1
)

// ineligibleReason returns why an engine may not change its role now, or an empty reason if it may. Every change,
// whether chosen by a decision or ordered by an operator, has to pass this check.
func (c *Controller) ineligibleReason(engine *engineRecord) Reason {
	if reason := c.checkEngineState(engine); reason != "" {
		return reason
	}
	if reason := c.checkChangeBudget(engine); reason != "" {
		return reason
	}
	return c.checkRemainingEngines(engine)
}

// checkEngineState returns a reason if the state of the engine itself prevents a change.
func (c *Controller) checkEngineState(engine *engineRecord) Reason {
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
	case delay > maxMedianReportDelay:
		return Reason(fmt.Sprintf(reasonDelayFormat, delay.Round(100*time.Millisecond)))
	case engine.lastChangeEndedAt > 0 && c.since(engine.lastChangeEndedAt) < c.config.Cooldown:
		return Reason(fmt.Sprintf(reasonCooldownFormat, c.config.Cooldown))
	}
	return ""
}

// checkChangeBudget returns a reason if too many engines change at once or within a minute. If the other role has no engine at
// all, these budgets would prolong the outage, so a third of all engines may change then.
func (c *Controller) checkChangeBudget(engine *engineRecord) Reason {
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
	if recent := c.history.countStartedWithin(c.now, time.Minute); float64(recent+1) > max(2,
		c.config.MaxSharePerMinute*float64(listed)) {
		return ReasonTooManyPerMinute
	}
	return ""
}

// roleCount counts engines of one role. Engines that may be down, or that may still report the other role, are
// counted neither as serving nor as out of service.
type roleCount struct{ serving, outOfService int }

func (c *Controller) countRole(role string, match func(*ListedEngine) bool) (count roleCount) {
	for _, engine := range c.engines.sorted {
		if !engine.present || engine.Role != role || !match(&engine.listed) {
			continue
		}
		switch {
		case !engine.inService():
			count.outOfService++
		case c.available(engine) && engine.roleKnown:
			count.serving++
		}
	}
	return count
}

// checkRemainingEngines returns a reason if a change would leave too few serving engines of a role in the fleet, none in the zone
// or cell of the engine, or two thirds of the role's engines in the cell out of service.
func (c *Controller) checkRemainingEngines(engine *engineRecord) Reason {
	listed := &engine.listed
	fleet := c.countRole(engine.Role, func(*ListedEngine) bool { return true })
	if fleet.serving-1 < c.config.MinServing {
		return Reason(fmt.Sprintf(reasonMinServingFormat, fleet.serving, c.config.MinServing))
	}
	zones, cells := c.countZonesAndCells()
	zone := c.countRole(engine.Role, func(other *ListedEngine) bool { return other.Zone == listed.Zone })
	if zones > 1 && zone.serving < 2 {
		return ReasonLastInZone
	}
	cell := c.countRole(engine.Role, func(other *ListedEngine) bool {
		return other.Zone == listed.Zone && other.Cell == listed.Cell
	})
	if cells > 1 && cell.serving < 2 {
		return ReasonLastInCell
	}
	if total := cell.serving + cell.outOfService; total > 1 && 3*(cell.outOfService+1) >= 2*total {
		return ReasonCellMostlyOutOfService
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

// cheapestEngine returns the eligible engine of a role with the lowest cost of a change: lost cached tokens, plus
// requests in flight. If no engine is eligible, it returns the most frequent reason.
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
		cost := c.lostCacheTokens(engine) + openRequestCost*float64(engine.report.OpenRequests+engine.report.Reservations)
		if cost < leastCost {
			cheapest, leastCost = engine, cost
		}
	}
	if cheapest != nil {
		return cheapest, ""
	}
	return nil, mostFrequent(counts)
}

// mostFrequent returns the reason with the highest count. Ties are broken by the alphabetical order of the texts.
func mostFrequent(counts map[Reason]int) Reason {
	reason, highest := ReasonNoEngine, 0
	for candidate, count := range counts {
		if count > highest || count == highest && candidate < reason {
			reason, highest = candidate, count
		}
	}
	return reason
}

// lostCacheTokens returns how many cached tokens would have to be computed again after a change of an engine.
// Prefixes that no other prefill engine in service has cached are computed again for each edge.
func (c *Controller) lostCacheTokens(engine *engineRecord) float64 {
	if engine.Role != planapi.Prefill {
		return 0
	}
	lost := replicatedCacheShare * engine.report.CachedTokens
	for prefix, tokens := range engine.report.HotPrefixes {
		if c.countCachedCopies(prefix) == 1 {
			lost += tokens * float64(max(1, len(c.demand.edges)))
		}
	}
	return lost
}

// countCachedCopies counts the prefill engines in service that have a prefix cached.
func (c *Controller) countCachedCopies(prefix string) (copies int) {
	for _, engine := range c.engines.sorted {
		if _, cached := engine.report.HotPrefixes[prefix]; cached && engine.Role == planapi.Prefill && engine.inService() {
			copies++
		}
	}
	return copies
}
