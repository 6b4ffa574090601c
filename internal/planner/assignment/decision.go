package assignment

import (
	"cmp"
	"fmt"
	"slices"

	"sandcourse/internal/planner/planapi"
)

// Decision records a decision and the estimates on which it is based, for operators. Maps are keyed by role.
type Decision struct {
	At              int64              `json:"at"`
	Mix             TrafficMix         `json:"mix"`
	EdgesReporting  int                `json:"edges_heard"`
	EdgesKnown      int                `json:"edges_known"`
	RequiredEngines map[string]float64 `json:"need"`   // engines that the mix keeps busy; empty without demand
	ServingEngines  map[string]float64 `json:"serve"`  // engines that serve in the role, by weight
	IncomingEngines map[string]float64 `json:"coming"` // engines that are changing to the role, by weight
	Throughput      map[string]float64 `json:"pace"`   // tokens per second of an engine of weight 1
	Evaluations     []Evaluation       `json:"weighed"`
	Changing        int                `json:"changing"` // engines between two roles
	Stopped         bool               `json:"stopped"`
}

// changeReasonFormat is the format of the reason that is recorded for a chosen change.
const changeReasonFormat = "%s needs %.1f engines and has %.1f, %s needs %.1f and has %.1f: " +
	"gain of %.2f in value per second for %.0f s so far, expected for %.0f s more, cost %.2f"

// fleetSnapshot is the state of the fleet and the demand on which a decision is based.
type fleetSnapshot struct {
	sample     mixSample
	throughput perRole
	required   perRole
	serving    perRole
	incoming   perRole
}

// expected returns the engines that serve in each role after all changes have ended.
func (s *fleetSnapshot) expected() perRole {
	return perRole{s.serving.prefill + s.incoming.prefill, s.serving.decode + s.incoming.decode}
}

// LastDecision returns the most recent decision.
func (c *Controller) LastDecision() Decision { return c.lastDecision }

// decide evaluates one change in each direction and begins at most one change.
func (c *Controller) decide() {
	mix, reporting, known := c.estimateDemand()
	snapshot := fleetSnapshot{throughput: perRole{c.throughput(planapi.Prefill), c.throughput(planapi.Decode)}}
	snapshot.required = mix.required(snapshot.throughput)
	snapshot.serving.prefill, snapshot.incoming.prefill = c.supply(planapi.Prefill)
	snapshot.serving.decode, snapshot.incoming.decode = c.supply(planapi.Decode)
	snapshot.sample = newMixSample(mix, snapshot.serving, snapshot.throughput)
	decision := Decision{At: c.now, Mix: mix, EdgesReporting: reporting, EdgesKnown: known,
		RequiredEngines: map[string]float64{}, ServingEngines: snapshot.serving.byRole(),
		IncomingEngines: snapshot.incoming.byRole(), Throughput: snapshot.throughput.byRole(),
		Changing: c.engines.changingCount(), Stopped: c.meta.Stopped || c.config.ExplainOnly}
	if len(mix) > 0 {
		decision.RequiredEngines = snapshot.required.byRole()
	}
	c.mixes.recordIfDue(c.now, snapshot.sample)
	c.skew.observe(c.now, snapshot.required)
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		decision.Evaluations = append(decision.Evaluations, c.evaluate(role, &snapshot))
	}
	slices.SortStableFunc(decision.Evaluations, func(a, b Evaluation) int { return cmp.Compare(b.Gain, a.Gain) })
	for i := range decision.Evaluations {
		if evaluation := &decision.Evaluations[i]; evaluation.Reason == "" {
			evaluation.Chosen, evaluation.Reason = true, ReasonWorthCost
			c.beginChange(c.engines.byAddress[evaluation.Engine], evaluation.changeReason(&snapshot))
			break
		}
	}
	c.lastDecision = decision
}

func (e *Evaluation) changeReason(s *fleetSnapshot) string {
	to, from, expected := e.ToRole, planapi.OtherRole(e.ToRole), s.expected()
	return fmt.Sprintf(changeReasonFormat, to, s.required.of(to), expected.of(to), from, s.required.of(from),
		s.serving.of(from), e.Gain, e.GainingSeconds, e.RemainingSeconds, e.Cost)
}

// supply returns the capacity, by weight, of the engines that serve in a role and of those that are changing to it.
// Unresponsive engines are not counted, as they may be down.
func (c *Controller) supply(role string) (serving, incoming float64) {
	for _, engine := range c.engines.sorted {
		switch {
		case !engine.present:
		case engine.Role == role && c.available(engine):
			serving += engine.weight()
		case engine.NextRole == role && engine.changing():
			incoming += engine.weight()
		}
	}
	return serving, incoming
}
