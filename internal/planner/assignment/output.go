package assignment

import (
	"maps"
	"slices"
)

// output collects the results of a step until the step ends.
type output struct {
	actions        []Action
	dirty          map[string]bool // addresses of engines with records to persist
	metaDirty      bool
	publishPending bool // the plan changed and is not published yet; see mayPublish
	published      bool // the first plan was published
}

func (o *output) add(actions ...Action) { o.actions = append(o.actions, actions...) }

func (o *output) markDirty(engine *engineRecord) { o.dirty[engine.Engine] = true }

// finishStep returns the actions of a step: first the records to persist, then the plan, then all other actions.
func (c *Controller) finishStep() []Action {
	out := &c.output
	if c.steppedDown {
		out.actions = slices.DeleteFunc(out.actions, isCommand)
		return out.actions
	}
	publish := out.publishPending && c.mayPublish()
	if publish {
		c.meta.PlanNumber++
		out.published, out.publishPending = true, false
	}
	var actions []Action
	if len(out.dirty) > 0 || out.metaDirty || publish {
		actions = append(actions, Persist{Records: c.dirtyRecords(), Meta: c.meta})
	}
	if publish {
		actions = append(actions, PublishPlan{c.Plan()})
	}
	clear(out.dirty)
	out.metaDirty = false
	return append(actions, out.actions...)
}

// isCommand reports whether an action sends a command to an engine.
func isCommand(action Action) bool {
	switch action.(type) {
	case SendRoleOrder, StartTrial:
		return true
	}
	return false
}

func (c *Controller) dirtyRecords() (records []Record) {
	for _, address := range slices.Sorted(maps.Keys(c.output.dirty)) {
		records = append(records, c.engines.byAddress[address].Record)
	}
	return records
}

// mayPublish reports whether a plan can be published. The first plan waits for the engines' reports, as the roles in the
// endpoint list may be outdated. firstPlanTimeout limits the wait, as edges have no endpoint list without a plan.
func (c *Controller) mayPublish() bool {
	if c.output.published {
		return true
	}
	present, unknown := 0, 0
	for _, engine := range c.engines.sorted {
		if !engine.present {
			continue
		}
		present++
		if engine.listed.CanChange && !engine.roleKnown {
			unknown++
		}
	}
	return present > 0 && (unknown == 0 || c.since(c.startedAt) >= firstPlanTimeout)
}
