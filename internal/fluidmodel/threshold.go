package fluidmodel

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// Parameters of the threshold baseline. At each interval it moves one engine to a role with a utilization above
// busyThreshold, if the other role has a utilization below idleThreshold.
const (
	thresholdInterval = 5 * time.Second
	busyThreshold     = 0.8
	idleThreshold     = 0.5
	minCapacityToMove = 1.5 // capacity that a role must have before an engine leaves it
	minCapacity       = 0.1 // lower bound of capacity; keeps the utilization of a role without engines finite
)

func (f *fleet) applyThreshold() {
	for _, engine := range f.engines {
		if engine.draining && f.now >= engine.phaseEndsAt {
			f.beginLoading(engine, engine.nextRole)
			engine.epoch++
		}
	}
	if f.now%thresholdInterval != 0 || f.now == 0 {
		return
	}
	for _, to := range []string{planapi.Prefill, planapi.Decode} {
		from := planapi.OtherRole(to)
		if f.utilization(to) > busyThreshold && f.utilization(from) < idleThreshold &&
			f.capacity(from) > minCapacityToMove && f.startOneMove(from, to) {
			return
		}
	}
}

// utilization returns the ratio of the work that arrives for a role to the capacity of its engines.
func (f *fleet) utilization(role string) float64 {
	required := 0.0
	for _, route := range f.routes {
		prefillTokens, decodeTokens := route.tokensAt(f.skew())
		if role == planapi.Prefill {
			required += f.arrivalRate() * route.Share * prefillTokens / prefillThroughput
		} else {
			required += f.arrivalRate() * route.Share * decodeTokens / decodeThroughput
		}
	}
	return required / max(f.capacity(role), minCapacity)
}

// startOneMove starts the change of the first engine that can change its role. It returns false if no engine can.
func (f *fleet) startOneMove(from, to string) bool {
	for _, engine := range f.engines {
		if engine.canChange && f.capacityShare(engine, from) > 0 {
			engine.nextRole = to
			f.beginDrain(engine)
			return true
		}
	}
	return false
}
