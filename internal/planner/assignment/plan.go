package assignment

import (
	"time"

	"sandcourse/internal/endpoint"
	"sandcourse/internal/planner/planapi"
)

// maxPublishedUptime is longer than any warm-up: engines with a longer uptime are published as warm.
const maxPublishedUptime = 10 * time.Minute

// Plan returns the plan that edges have to follow. It omits engines between two roles.
func (c *Controller) Plan() planapi.Plan {
	plan := planapi.Plan{Term: c.term, Number: c.meta.PlanNumber, Engines: []planapi.Engine{}}
	for _, engine := range c.engines.sorted {
		if !engine.present {
			continue
		}
		state := endpoint.Ready
		switch engine.State {
		case Draining:
			state = endpoint.Draining
		case Ordered, Loading, RollingBack, InTrial, Quarantined:
			continue
		}
		if !engine.listed.Ready {
			state = endpoint.Draining
		}
		entry := planapi.Engine{Engine: engine.Engine, Kind: engine.listed.Kinds[engine.Role],
			Zone: engine.listed.Zone, Cell: engine.listed.Cell, Weight: engine.listed.Weight, State: state,
			Epoch: engine.Epoch}
		upSince := max(engine.ServingSince, engine.listed.UpSince)
		if upSince > 0 && c.since(upSince) < maxPublishedUptime {
			entry.UptimeMillis = max(1, c.since(upSince).Milliseconds())
		}
		plan.Engines = append(plan.Engines, entry)
	}
	return plan
}
