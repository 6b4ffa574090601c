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
	// Epoch is the epoch of the engine's role: it rejects requests of another one.
	Epoch int64 `json:"epoch,omitempty"`
	// UptimeMillis is how long the engine has been up when the plan is sent, 0 for long. No time of day is sent, as
	// the clocks of planner and edges may differ.
	UptimeMillis int64 `json:"up_for_ms,omitempty"`
}

// Plan is a complete plan. Of two, the one of the later term counts, then the one of the higher number.
type Plan struct {
	Term    int64    `json:"term"`
	Number  int64    `json:"number"`
	Engines []Engine `json:"engines"`
}

// Newer is whether p replaces other.
func (p Plan) Newer(other Plan) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Number > other.Number
}

// EndpointList is a plan as a router uses it. Now is the router's clock in Unix milliseconds.
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
			return invalid("it needs a term and a number over 0, and engines")
		}
		for i, engine := range p.Engines {
			if engine.UptimeMillis < 0 || !inRange(engine.Weight) {
				return invalid("engines[%d]: up_for_ms or weight is out of range", i)
			}
		}
		// The entries as a router uses them; the time only has to lie after all that they have been up for.
		return endpoint.Validate(p.EndpointList(math.MaxInt64).Entries)
	})
}
