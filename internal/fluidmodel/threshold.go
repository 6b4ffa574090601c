package fluidmodel

import (
	"time"

	"sandcourse/internal/planner/planapi"
)

// The threshold baseline moves one engine at each interval to a role that is busier than one threshold from a
// role that is less busy than the other.
const (
	thresholdInterval = 5 * time.Second
	busyThreshold     = 0.8
	idleThreshold     = 0.5
	minCapacityLeft   = 1.5 // engines of the role that it leaves
	minCapacity       = 0.1 // keeps the utilization of a role without engines finite
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
			f.capacity(from) > minCapacityLeft && f.moveOne(from, to) {
			return
		}
	}
}

// utilization is the work that arrives for a role, compared with what its engines can do.
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

// moveOne lets the first engine of a role that can change leave it for the other.
func (f *fleet) moveOne(from, to string) bool {
	for _, engine := range f.engines {
		if engine.canChange && f.capacityShare(engine, from) > 0 {
			engine.nextRole = to
			f.beginDrain(engine)
			return true
		}
	}
	return false
}
