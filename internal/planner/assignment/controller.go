// Package assignment decides which engine changes between the prefill and the decode role, when, and how, so
// that no request is lost and none is sent to an engine in the wrong role. It does no I/O: load reports, operators'
// orders and the time are inputs, and whatever has to be persisted, published and ordered is returned as actions.
// Times are nanoseconds of the planner's clock.
package assignment

import (
	"fmt"
	"io"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// firstPlanTimeout limits how long the first plan waits for the engines to report their roles.
	firstPlanTimeout = 3 * time.Second
	// decisionInterval equals the interval of load reports.
	decisionInterval = time.Second
	// missingReportTimeoutFactor extends the timeout of a state while reports of the engine are missing.
	missingReportTimeoutFactor = 3
)

// Controller decides on the roles of a fleet. It is not safe for concurrent use.
type Controller struct {
	config    Config
	term      int64
	now       int64
	startedAt int64
	meta      Meta
	engines   engineRegistry
	output    output

	steppedDown      bool
	firedTransitions uint64

	reportDelays []time.Duration // time from request to receipt of the latest engine reports
	history      changeHistory
	demand       demandEstimator
	throughputs  map[string]float64 // latest known tokens per second of an engine of weight 1, by role
	mixes        mixHistory
	skew         skewTracker
	gainSince    map[string]int64 // by role: start of the time in which a change to the role would gain; 0 for no gain
	decidedAt    int64
	lastDecision Decision
}

// New returns a controller. Records and meta are those that an earlier controller persisted; both are empty for the
// first controller.
func New(config Config, term, now int64, records []Record, meta Meta) *Controller {
	c := &Controller{config: config, term: term, now: now, startedAt: now, meta: meta,
		engines:     engineRegistry{byAddress: map[string]*engineRecord{}},
		output:      output{dirty: map[string]bool{}},
		demand:      newDemandEstimator(),
		throughputs: map[string]float64{},
		skew:        skewTracker{durations: map[string][]time.Duration{}},
		gainSince:   map[string]int64{}}
	for _, record := range records {
		c.restore(record)
	}
	c.engines.updateSorted()
	return c
}

func (c *Controller) restore(record Record) {
	// If the clock was set back, a state would otherwise last until the clock has caught up.
	record.StateSince, record.ServingSince = min(record.StateSince, c.now), min(record.ServingSince, c.now)
	c.engines.byAddress[record.Engine] = &engineRecord{Record: record, roleKnown: true, changeStartedAt: record.StateSince}
	// Cooldowns and the budget of changes per minute survive a restart: a planner in a crash loop must not begin more
	// changes than a planner that keeps running.
	if record.Epoch > 1 || record.NextEpoch > 1 {
		c.engines.byAddress[record.Engine].lastChangeEndedAt = record.StateSince
		c.history.recordStart(record.StateSince)
	}
}

// Step handles one event at the time now and returns the actions to execute, in order.
func (c *Controller) Step(now int64, event Event) []Action {
	c.beginStep(now)
	switch event := event.(type) {
	case EnginesListed:
		c.handleEngineList(event.Engines)
	case EngineReported:
		c.handleEngineReport(event)
	case EdgeReported:
		c.demand.handleReport(c.now, event.Report)
	case TrialEnded:
		c.handleTrialEnd(event)
	case Tick:
		c.handleTick()
	}
	return c.finishStep()
}

func (c *Controller) beginStep(now int64) { c.now, c.output.actions = max(now, c.now), nil }

// since returns the time elapsed since t. If t is 0, which means never, the result is very long.
func (c *Controller) since(t int64) time.Duration { return time.Duration(c.now - t) }

func (c *Controller) handleEngineList(engines []ListedEngine) {
	listedNow := map[string]bool{}
	for _, listed := range engines {
		listedNow[listed.Engine] = true
		engine := c.engines.byAddress[listed.Engine]
		if engine == nil {
			engine = &engineRecord{Record: c.listedRecord(listed), roleKnown: !listed.CanChange}
			c.engines.byAddress[listed.Engine] = engine
		}
		if !listed.CanChange && (engine.Role != listed.Role || engine.Epoch != 0 || engine.State != Serving ||
			engine.ServingSince != listed.UpSince) {
			// The engine's kind has no other role, so the list is the only source of its role.
			pinned := engine.Pinned
			engine.Record = c.listedRecord(listed)
			engine.Pinned = pinned
		}
		engine.listed, engine.present = listed, true
	}
	for _, engine := range c.engines.sorted {
		if !listedNow[engine.Engine] {
			engine.present = false
		}
	}
	c.engines.updateSorted()
	c.output.publishPending = true
}

// listedRecord returns the record of an engine that is known only from the endpoint list.
func (c *Controller) listedRecord(listed ListedEngine) Record {
	return Record{Engine: listed.Engine, Role: listed.Role, State: Serving, StateSince: c.now,
		ServingSince: listed.UpSince}
}

func (c *Controller) handleTrialEnd(event TrialEnded) {
	engine := c.engines.byAddress[event.Engine]
	if engine == nil || engine.State != InTrial || event.Number != engine.trialNumber {
		return
	}
	if event.OK {
		c.fire(engine, trialPassed)
		return
	}
	engine.fault = "trial of the reported role failed: " + event.Reason
	c.fire(engine, trialFailed)
}

func (c *Controller) handleTick() {
	for _, engine := range c.engines.sorted {
		c.checkTimeout(engine)
		if engine.State == WarmingUp && c.since(engine.ServingSince) > c.config.WarmUp {
			c.fire(engine, warmedUp)
		}
		if engine.State == Quarantined && c.since(engine.StateSince) > c.quarantineDuration(engine) {
			c.fire(engine, quarantineExpired)
		}
	}
	if !c.output.published {
		c.output.publishPending = true
	}
	if c.since(c.decidedAt) >= decisionInterval {
		c.decidedAt = c.now
		c.decide()
	}
}

// checkTimeout ends a state that has lasted too long. The duration of the state is measured up to the request of the
// engine's latest report, so that late reports alone do not end a change. Without reports, the state ends after
// missingReportTimeoutFactor times its timeout.
func (c *Controller) checkTimeout(engine *engineRecord) {
	timeout := c.stateTimeout(engine.State)
	reportedDuration := time.Duration(engine.reportRequestedAt - engine.StateSince)
	if timeout <= 0 || reportedDuration <= timeout && c.since(engine.StateSince) <= missingReportTimeoutFactor*timeout {
		return
	}
	switch engine.State {
	case Draining:
		c.output.add(DrainTimedOut{Engine: engine.Engine, Timeout: timeout})
	case RollingBack:
		engine.fault = fmt.Sprintf("engine did not return to its last role within %v", timeout)
	case InTrial:
		engine.fault = fmt.Sprintf("trial did not end within %v", timeout)
	}
	c.fire(engine, timedOut)
}

// beginChange begins a role change. The caller has checked that the engine is eligible.
func (c *Controller) beginChange(engine *engineRecord, reason string) {
	engine.Reason, engine.changeStartedAt = reason, c.now
	c.history.recordStart(c.now)
	c.fire(engine, changeChosen)
}

// SteppedDown reports whether a planner with a later term is active.
func (c *Controller) SteppedDown() bool { return c.steppedDown }

// Fingerprint writes the state of the roles on which later steps may depend, with times relative to now. The demand
// estimate is left out, as the model checker sends no edge reports.
func (c *Controller) Fingerprint(w io.Writer) {
	fmt.Fprintln(w, c.term, c.meta.Stopped, c.output.published, c.steppedDown, c.output.publishPending,
		min(c.now-c.startedAt, int64(firstPlanTimeout)))
	for _, engine := range c.engines.sorted {
		fmt.Fprintln(w, engine.Engine, engine.Role, engine.Epoch, engine.State, engine.NextRole, engine.NextEpoch,
			c.now-engine.StateSince, engine.ServingSince > 0, min(c.now-engine.ServingSince, int64(c.config.WarmUp)),
			engine.Incarnation, engine.Pinned, engine.present, engine.roleKnown, engine.trialNumber,
			engine.quarantineCount, min(c.now-engine.orderSentAt, int64(orderResendInterval)),
			min(c.now-engine.lastChangeEndedAt, int64(c.config.Cooldown)), engine.report)
	}
	for _, startedAt := range c.history.starts {
		fmt.Fprintln(w, c.now-startedAt)
	}
}

// sendOrder sends an engine the order for its current state.
func (c *Controller) sendOrder(engine *engineRecord) {
	order := planapi.RoleOrder{Term: c.term, Epoch: engine.Epoch, Role: engine.Role}
	switch engine.State {
	case Draining:
		order.Drain = true
	case Ordered, Loading, RollingBack, InTrial:
		order.Epoch, order.Role = engine.NextEpoch, engine.NextRole
	}
	engine.orderSentAt = c.now
	c.output.add(SendRoleOrder{engine.Engine, order})
}

// orderResendInterval is the interval at which an order is sent again. It is much longer than the milliseconds that an
// engine takes to respond, and short enough that a lost order costs little time.
const orderResendInterval = 250 * time.Millisecond

func (c *Controller) resendOrderIfDue(engine *engineRecord) {
	if c.since(engine.orderSentAt) >= orderResendInterval {
		c.sendOrder(engine)
	}
}
