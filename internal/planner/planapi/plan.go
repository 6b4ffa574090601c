package planapi

import (
	"math"

	"sandcourse/internal/endpoint"
)

// Engine is one engine of a plan.
type Engine struct {
	Engine string  `json:"engine"`
	Kind   string  `json:"kind"`
	Zone   string  `json:"zone,omitempty"`
	Cell   string  `json:"cell,omitempty"`
	Weight float64 `json:"weight,omitempty"`
	State  string  `json:"state"`
	// Epoch is the epoch of the engine's role. The engine rejects requests of other epochs.
	Epoch int64 `json:"epoch,omitempty"`
	// UptimeMillis is the engine's uptime when the plan is sent; 0 if it is long. A start time is not sent, as the
	// clocks of planner and edges may differ.
	UptimeMillis int64 `json:"up_for_ms,omitempty"`
}

// Plan is a complete plan. The plan of the latest term applies, and within a term the one with the highest number.
type Plan struct {
	Term    int64    `json:"term"`
	Number  int64    `json:"number"`
	Engines []Engine `json:"engines"`
}

// Newer reports whether p replaces other.
func (p Plan) Newer(other Plan) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Number > other.Number
}

// EndpointList converts the plan to the endpoint list of a router, whose clock is now in Unix milliseconds.
func (p Plan) EndpointList(now int64) endpoint.List {
	list := endpoint.List{Revision: p.Number, Entries: []endpoint.Entry{}}
	for _, engine := range p.Engines {
		entry := endpoint.Entry{
			ID:        engine.Engine,
			Kind:      engine.Kind,
			Zone:      engine.Zone,
			Cell:      engine.Cell,
			Weight:    engine.Weight,
			State:     engine.State,
			RoleEpoch: engine.Epoch,
		}
		if engine.UptimeMillis > 0 {
			entry.StartedAtMs = now - engine.UptimeMillis
		}
		list.Entries = append(list.Entries, entry)
	}
	return list
}

// ParsePlan parses and checks a plan. Unknown fields are ignored: a later version may add some.
func ParsePlan(data []byte) (Plan, error) {
	return parse(MessagePlan, data, MaxPlanBytes, func(p Plan) error {
		if p.Term < 1 || p.Number < 1 || p.Engines == nil {
			return newInvalidError("term and number must be positive, and engines must be set")
		}
		for i, engine := range p.Engines {
			if engine.UptimeMillis < 0 || !allInRange(engine.Weight) {
				return newInvalidError("engines[%d]: up_for_ms or weight is out of range", i)
			}
		}
		// Validates the entries as a router uses them. With the latest possible time, every start time is positive.
		return endpoint.Validate(p.EndpointList(math.MaxInt64).Entries)
	})
}
