package assignment

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// State is the state of an engine's role. Its values are stored and shown to operators.
type State string

// The states of an engine's role.
const (
	Serving     State = "serving"
	Draining    State = "draining"  // the engine is published as draining, and ordered to drain
	Ordered     State = "ordered"   // the engine is drained, and ordered to load its next role
	Loading     State = "loading"   // the engine confirmed the order and is loading
	InTrial     State = "trying"    // the engine reports its next role, and a trial request verifies it
	WarmingUp   State = "cold"      // the engine serves in a new role or incarnation, below its full throughput
	RollingBack State = "returning" // the engine is ordered back to its last verified role under a new epoch
	Quarantined State = "aside"     // the engine is removed from the plan, as it did not follow its orders or failed its trial
)

// trigger is an input that may change the state of an engine's role. Its values are used only to name transitions.
type trigger string

const (
	changeChosen      trigger = "change chosen"
	drained           trigger = "drained"        // long enough after the drain was published, no requests or reservations are left
	timedOut          trigger = "timed out"      // the timeout of the state has expired
	loadConfirmed     trigger = "load confirmed" // the engine reports that it is loading under the epoch of the order
	roleReported      trigger = "role reported"  // the engine reports that it serves in the role and epoch of the order
	trialPassed       trigger = "trial passed"
	trialFailed       trigger = "trial failed"
	warmedUp          trigger = "warmed up"
	mismatchReported  trigger = "mismatch reported" // the engine reports a role or an epoch that was not ordered
	restarted         trigger = "restarted"         // the engine reports the same role and epoch under another incarnation
	changesStopped    trigger = "changes stopped"   // an operator stopped all changes
	readmitted        trigger = "readmitted"        // an operator readmitted the engine
	quarantineExpired trigger = "quarantine expired"
)

type transition struct {
	from    []State
	trigger trigger
	next    State
	action  func(*Controller, *engineRecord)
}

// transitions lists the next state and the action for each state and trigger. Every state but Serving has a timeout
// that leads back to service or to a rollback, so that no change gets stuck. An order that may have been followed is
// undone by another order with a higher epoch; it is never assumed to be lost.
var transitions = []transition{
	{[]State{Serving}, changeChosen, Draining, (*Controller).startDrain},
	{[]State{Draining}, drained, Ordered, (*Controller).publishAndOrder},
	{[]State{Draining}, timedOut, Serving, (*Controller).abortDrain},
	{[]State{Draining}, changesStopped, Serving, (*Controller).abortDrain},
	{[]State{Ordered}, loadConfirmed, Loading, nil},
	{[]State{Ordered, Loading, RollingBack}, roleReported, InTrial, (*Controller).startTrial},
	{[]State{Ordered, Loading}, timedOut, RollingBack, (*Controller).rollBack},
	{[]State{RollingBack}, timedOut, Quarantined, (*Controller).quarantine},
	{[]State{InTrial}, trialPassed, WarmingUp, (*Controller).adoptRole},
	{[]State{InTrial}, trialFailed, Quarantined, (*Controller).quarantine},
	{[]State{InTrial}, timedOut, Quarantined, (*Controller).quarantine},
	{[]State{WarmingUp}, warmedUp, Serving, nil},
	{[]State{Serving, WarmingUp}, restarted, WarmingUp, (*Controller).acceptRestart},
	{[]State{Serving, WarmingUp, Draining, InTrial}, mismatchReported, RollingBack, (*Controller).rollBack},
	{[]State{Quarantined}, quarantineExpired, RollingBack, (*Controller).rollBack},
	{[]State{Quarantined}, readmitted, RollingBack, (*Controller).rollBack},
}

// TransitionNames returns the names of the transitions, in the order of the bits of Controller.FiredTransitions.
func TransitionNames() (names []string) {
	for i, t := range transitions {
		names = append(names, fmt.Sprintf("assignment transition %d: states %v, trigger %s, next %s",
			i+1, t.from, t.trigger, t.next))
	}
	return names
}

// FiredTransitions returns a bit set of the transitions that have fired so far.
func (c *Controller) FiredTransitions() uint64 { return c.firedTransitions }

// fire makes the transition for an engine's state and a trigger. It ignores the trigger if there is no such transition.
func (c *Controller) fire(engine *engineRecord, cause trigger) {
	i := slices.IndexFunc(transitions, func(t transition) bool {
		return slices.Contains(t.from, engine.State) && t.trigger == cause
	})
	if i < 0 {
		return
	}
	c.firedTransitions |= 1 << i
	if next := transitions[i].next; engine.State != next {
		engine.State, engine.StateSince = next, c.now
	}
	if action := transitions[i].action; action != nil {
		action(c, engine)
	}
	c.output.markDirty(engine)
}

// stateTimeout returns how long a state may last, or 0 if there is no limit.
func (c *Controller) stateTimeout(state State) time.Duration {
	switch state {
	case Draining:
		return c.config.DrainTimeout
	case Ordered:
		return c.config.OrderTimeout
	case Loading, RollingBack:
		return c.config.LoadTimeout
	case InTrial:
		return c.config.TrialTimeout
	}
	return 0
}

func (c *Controller) startDrain(engine *engineRecord) {
	engine.NextRole, engine.NextEpoch = planapi.OtherRole(engine.Role), engine.Epoch+1
	c.publishAndOrder(engine)
}

// publishAndOrder publishes the current state of an engine and sends the engine the matching order.
func (c *Controller) publishAndOrder(engine *engineRecord) {
	c.output.publishPending = true
	c.sendOrder(engine)
}

// abortDrain aborts a change while the engine still has its old role and epoch.
func (c *Controller) abortDrain(engine *engineRecord) {
	engine.NextRole, engine.NextEpoch, engine.lastChangeEndedAt = "", 0, c.now
	c.publishAndOrder(engine)
}

// rollBack orders an engine back to its last verified role, with an epoch above all that it may have followed.
func (c *Controller) rollBack(engine *engineRecord) {
	engine.NextRole = engine.Role
	engine.NextEpoch, engine.lastChangeEndedAt = max(engine.Epoch, engine.NextEpoch, engine.report.Epoch)+1, c.now
	c.publishAndOrder(engine)
}

func (c *Controller) startTrial(engine *engineRecord) {
	engine.trialNumber++
	c.output.add(StartTrial{Engine: engine.Engine, Role: engine.NextRole, Epoch: engine.NextEpoch,
		Number: engine.trialNumber})
}

// adoptRole records the role that a trial verified under the new epoch. Role changes take effect only here.
func (c *Controller) adoptRole(engine *engineRecord) {
	if engine.Role != engine.NextRole {
		c.history.recordCompletion(time.Duration(c.now - engine.changeStartedAt))
		engine.samples, engine.ServingSince = nil, c.now
	} else { // An engine that keeps its role needs no warm-up beyond that of its incarnation.
		engine.ServingSince = engine.reportedUpSince(c.now)
	}
	engine.Role, engine.Epoch, engine.NextRole, engine.NextEpoch = engine.NextRole, engine.NextEpoch, "", 0
	engine.Incarnation, engine.lastChangeEndedAt = engine.report.Incarnation, c.now
	c.output.publishPending = true
}

func (c *Controller) acceptRestart(engine *engineRecord) {
	engine.Incarnation, engine.ServingSince = engine.report.Incarnation, engine.reportedUpSince(c.now)
	c.output.publishPending = true
}

func (c *Controller) quarantine(engine *engineRecord) {
	engine.quarantineCount++
	c.output.publishPending = true
	c.output.add(EngineQuarantined{Engine: engine.Engine, Fault: engine.fault, RetryAfter: c.quarantineDuration(engine)})
}

// maxQuarantineDoublings limits the backoff of retries to sixteen times the cooldown.
const maxQuarantineDoublings = 4

// quarantineDuration returns the time until the next retry, which doubles with each quarantine until readmission.
func (c *Controller) quarantineDuration(engine *engineRecord) time.Duration {
	return c.config.Cooldown << min(max(engine.quarantineCount-1, 0), maxQuarantineDoublings)
}
