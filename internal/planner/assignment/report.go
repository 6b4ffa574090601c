package assignment

import (
	"fmt"
	"time"

	"sandcourse/internal/planner/planapi"
)

// maxReportDelaySamples is the number of latest engine reports over which the median delay is computed.
const maxReportDelaySamples = 64

func (c *Controller) handleEngineReport(event EngineReported) {
	report := event.Report
	engine := c.engines.byAddress[report.Engine]
	if engine == nil {
		return
	}
	if report.Term > c.term && !c.steppedDown {
		c.stepDown(report)
		return
	}
	engine.recordSample(report, c.now)
	engine.report, engine.reportedAt, engine.reportRequestedAt = report, c.now, event.RequestedAt
	c.reportDelays = appendBounded(c.reportDelays, c.since(event.RequestedAt), maxReportDelaySamples)
	switch {
	case !engine.listed.CanChange:
	case !engine.roleKnown:
		c.acceptReportedRole(engine, report)
	case event.RequestedAt >= engine.StateSince:
		c.compareWithOrder(engine, report)
	}
}

// stepDown makes the controller stop sending commands, because an engine follows a planner with a later term.
func (c *Controller) stepDown(report planapi.EngineReport) {
	c.steppedDown = true
	c.output.add(StepDown{report.Term},
		LaterTermFollowed{Engine: report.Engine, Term: report.Term, OwnTerm: c.term})
}

// acceptReportedRole adopts the role that an engine reports. It is used if the planner has no record of the engine.
func (c *Controller) acceptReportedRole(engine *engineRecord, report planapi.EngineReport) {
	engine.roleKnown = true
	engine.Role, engine.Epoch, engine.Incarnation, engine.StateSince = report.Role, report.Epoch, report.Incarnation, c.now
	if report.UptimeMillis > 0 {
		engine.ServingSince = engine.reportedUpSince(c.now)
	}
	c.output.publishPending = true
	c.output.markDirty(engine)
}

// compareWithOrder compares an engine's report with its orders and fires the matching trigger.
func (c *Controller) compareWithOrder(engine *engineRecord, report planapi.EngineReport) {
	holdsCurrentRole := report.Epoch == engine.Epoch && report.Role == engine.Role && !report.Changing
	reportsNextRole := report.Epoch == engine.NextEpoch && report.Role == engine.NextRole && engine.NextRole != ""
	switch engine.State {
	case Serving, WarmingUp:
		c.checkServingReport(engine, report, holdsCurrentRole)
	case Draining:
		c.checkDrainingReport(engine, report, holdsCurrentRole)
	case Ordered, Loading, RollingBack:
		switch {
		case reportsNextRole && !report.Changing:
			c.fire(engine, roleReported)
		case reportsNextRole:
			c.fire(engine, loadConfirmed)
		default:
			c.resendOrderIfDue(engine)
		}
	case InTrial:
		if !reportsNextRole || report.Changing {
			engine.fault = fmt.Sprintf("engine reports role %s in epoch %d during a trial of role %s in epoch %d", report.Role,
				report.Epoch, engine.NextRole, engine.NextEpoch)
			c.fire(engine, mismatchReported)
		}
	}
}

func (c *Controller) checkServingReport(engine *engineRecord, report planapi.EngineReport, holdsCurrentRole bool) {
	switch {
	case !holdsCurrentRole:
		engine.fault = fmt.Sprintf("engine reports role %s in epoch %d instead of role %s in epoch %d", report.Role, report.Epoch,
			engine.Role, engine.Epoch)
		c.fire(engine, mismatchReported)
	case report.Incarnation != engine.Incarnation && engine.Incarnation != 0:
		c.fire(engine, restarted)
	case engine.Incarnation == 0:
		engine.Incarnation = report.Incarnation
		c.output.markDirty(engine)
	case report.Draining: // the engine's drain was aborted, but the order to end it got lost
		c.resendOrderIfDue(engine)
	}
}

func (c *Controller) checkDrainingReport(engine *engineRecord, report planapi.EngineReport, holdsCurrentRole bool) {
	switch {
	case !holdsCurrentRole:
		engine.fault = fmt.Sprintf("engine reports role %s in epoch %d during a drain in epoch %d", report.Role, report.Epoch,
			engine.Epoch)
		c.fire(engine, mismatchReported)
	case !report.Draining:
		c.resendOrderIfDue(engine)
	case report.OpenRequests == 0 && report.Reservations == 0 && c.since(engine.StateSince) >= 2*c.config.DrainGrace:
		c.fire(engine, drained)
	}
}

// unresponsiveAfter is four load report intervals.
const unresponsiveAfter = 4 * time.Second

// unresponsive reports whether an engine has not reported for so long that it may be down.
func (c *Controller) unresponsive(engine *engineRecord) bool {
	return c.since(engine.reportedAt) > unresponsiveAfter
}

// available reports whether requests can be sent to an engine in its role.
func (c *Controller) available(engine *engineRecord) bool {
	return engine.inService() && engine.listed.Ready && !c.unresponsive(engine)
}
