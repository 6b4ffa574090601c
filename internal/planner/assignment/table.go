// Package roles decides which engine changes between reading and writing, when, and how, so that nothing is
// stranded and no send meets an engine in the wrong role. It does no I/O: reports, orders and the time go in
// through Step, and what is to be kept, published and asked comes out.
package assignment

import (
	"fmt"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// State is where an engine's role stands.
type State string

// The states of an engine's role.
const (
	Serving     State = "serving"
	Draining    State = "draining"  // published as draining, and told so itself
	Ordered     State = "ordered"   // empty; it is asked to load for its next role
	Loading     State = "loading"   // it has said that it loads
	InTrial     State = "trying"    // it claims the role; one small piece of work shows whether it has it
	WarmingUp   State = "cold"      // it serves in its new role, and is warm later
	RollingBack State = "returning" // it is asked to take up its old role under a new epoch
	Quarantined State = "aside"     // out of the plan: it does not do what it says, or never came back
)

// trigger is what happens to an engine's role.
type trigger string

const (
	changeChosen      trigger = "chosen"
	drained           trigger = "empty"     // nothing is open or held, long enough after the news of its drain
	timedOut          trigger = "late"      // a step's time is over
	loadConfirmed     trigger = "confirmed" // it says that it loads under the epoch asked for
	roleReported      trigger = "came"      // it says that it serves in the role and under the epoch asked for
	trialPassed       trigger = "good"      // the trial showed the role
	trialFailed       trigger = "bad"       // the trial showed another
	warmedUp          trigger = "warm"
	mismatchReported  trigger = "strange"   // it says a role or an epoch that was not asked for
	restarted         trigger = "restarted" // the same role and epoch, another life
	changesStopped    trigger = "halt"      // an operator stops all changes
	readmitted        trigger = "readmitted"
	quarantineExpired trigger = "rested" // long enough aside to be asked again
)

type transition struct {
	from    []State
	trigger trigger
	next    State
	action  func(*Controller, *engineRecord)
}

// transitions lists, for a state and an input, the next state and the effect. Every state but Serving has a
// time-out with a way back, so that no change can be stranded; the way back of an order that may have been
// taken is another order under a higher epoch, never a guess that it was lost.
var transitions = []transition{
	{[]State{Serving}, changeChosen, Draining, (*Controller).startDrain},
	{[]State{Draining}, drained, Ordered, (*Controller).orderNextRole},
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
	{[]State{Serving, WarmingUp}, restarted, WarmingUp, (*Controller).noteRestart},
	{[]State{Serving, WarmingUp, Draining, InTrial}, mismatchReported, RollingBack, (*Controller).rollBack},
	{[]State{Quarantined}, quarantineExpired, RollingBack, (*Controller).rollBack},
	{[]State{Quarantined}, readmitted, RollingBack, (*Controller).rollBack},
}

// TransitionNames names the rows of the table.
func TransitionNames() (names []string) {
	for i, t := range transitions {
		names = append(names, fmt.Sprintf("roles row %d: %v, %s, next %s", i+1, t.from, t.trigger, t.next))
	}
	return names
}

// fire is the only place where a state changes.
func (c *Controller) fire(engine *engineRecord, t trigger) bool {
	i := slices.IndexFunc(transitions, func(candidate transition) bool {
		return slices.Contains(candidate.from, engine.State) && candidate.trigger == t
	})
	if i < 0 {
		return false
	}
	c.firedTransitions |= 1 << i
	if engine.State != transitions[i].next {
		engine.State, engine.StateSince = transitions[i].next, c.now
	}
	if transitions[i].action != nil {
		transitions[i].action(c, engine)
	}
	c.markDirty(engine)
	return true
}

// stateTimeout is how long a state may last before it counts as late; 0 for ever.
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
	c.publishPending = true
	c.sendOrder(engine)
}

func (c *Controller) orderNextRole(engine *engineRecord) {
	engine.drained = c.now - engine.StateSince
	c.publishPending = true
	c.sendOrder(engine)
}

// abortDrain ends a change before anything was asked that cannot be taken back by the same epoch.
func (c *Controller) abortDrain(engine *engineRecord) {
	engine.NextRole, engine.NextEpoch, engine.lastChangeEndedAt = "", 0, c.now
	c.publishPending = true
	c.sendOrder(engine)
}

// rollBack asks for the role that the engine had last for sure, under an epoch over all that it may have heard
// of.
func (c *Controller) rollBack(engine *engineRecord) {
	engine.NextRole, engine.NextEpoch, engine.lastChangeEndedAt = engine.Role, max(engine.Epoch, engine.NextEpoch, engine.report.Epoch)+1, c.now
	c.publishPending = true
	c.sendOrder(engine)
}

func (c *Controller) startTrial(engine *engineRecord) {
	engine.trialNumber++
	c.actions = append(c.actions, StartTrial{Engine: engine.Engine, Role: engine.NextRole, Epoch: engine.NextEpoch, Number: engine.trialNumber})
}

// adoptRole is the one place where an engine gets a role: it has shown it in a trial under the new epoch.
func (c *Controller) adoptRole(engine *engineRecord) {
	engine.ServingSince = max(1, c.now-engine.report.UptimeMillis*int64(time.Millisecond)) // one that only took up its old role is no colder
	if engine.Role != engine.NextRole {
		c.recentChanges = appendBounded(c.recentChanges, completedChange{c.now, c.now - engine.changeStartedAt}, 8)
		engine.samples, engine.ServingSince = nil, c.now
	}
	engine.Role, engine.Epoch, engine.NextRole, engine.NextEpoch = engine.NextRole, engine.NextEpoch, "", 0
	engine.Incarnation, engine.lastChangeEndedAt = engine.report.Incarnation, c.now
	c.publishPending = true
}

func (c *Controller) noteRestart(engine *engineRecord) {
	engine.Incarnation, engine.ServingSince = engine.report.Incarnation, max(1, c.now-engine.report.UptimeMillis*int64(time.Millisecond))
	c.publishPending = true
}

func (c *Controller) quarantine(engine *engineRecord) {
	engine.quarantineCount++
	c.publishPending = true
	c.actions = append(c.actions,
		NotifyOperators{fmt.Sprintf("%s is set aside: %s; it is asked again after %v, or by an operator's readmit",
			engine.Engine, engine.fault, c.quarantineDuration(engine))})
}

// quarantineDuration doubles with each time that an engine is set aside, up to sixteenfold.
func (c *Controller) quarantineDuration(engine *engineRecord) time.Duration {
	return c.config.Cooldown << min(max(engine.quarantineCount-1, 0), 4)
}
