package fluidmodel

import (
	"math"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Edges shed requests that would wait for longer than a share of their latency objective. The share is the base share plus
// the value share in proportion to the value of the route.
const (
	baseWaitShare  = 0.4
	valueWaitShare = 0.4
)

// skew returns the current skew of the load, from 1 for fully skewed to prefill to -1 for fully skewed to decode.
func (f *fleet) skew() float64 {
	if f.scenario.Period == 0 {
		return 0
	}
	phase := math.Mod(f.now.Seconds(), f.scenario.Period.Seconds()) / f.scenario.Period.Seconds()
	switch {
	case !f.scenario.SquareWave:
		return math.Sin(2*math.Pi*phase) * f.scenario.SkewDepth
	case phase < 0.5:
		return f.scenario.SkewDepth
	}
	return -f.scenario.SkewDepth
}

// firstSkewAt returns the time at which the load is clearly skewed for the first time.
func (f *fleet) firstSkewAt() time.Duration { return time.Duration(float64(f.scenario.Period) / 8) }

func (r Route) tokensAt(skew float64) (prefillTokens, decodeTokens float64) {
	return r.PrefillTokens + max(skew, 0)*(r.SkewedPrefillTokens-r.PrefillTokens),
		r.DecodeTokens + max(-skew, 0)*(r.SkewedDecodeTokens-r.DecodeTokens)
}

// arrivalRate returns the arrivals per second: the scenario's utilization times the rate that all engines could serve
// with the best split of roles.
func (f *fleet) arrivalRate() float64 {
	prefillSeconds, decodeSeconds := 0.0, 0.0 // Both are the engine time for the average request.
	for _, route := range f.routes {
		prefillTokens, decodeTokens := route.tokensAt(f.skew())
		prefillSeconds += route.Share * prefillTokens / prefillThroughput
		decodeSeconds += route.Share * decodeTokens / decodeThroughput
	}
	return f.scenario.Utilization * float64(f.scenario.Engines) / (prefillSeconds + decodeSeconds)
}

// admitArrivals adds the requests of a time step to the backlog, except those that edges shed.
func (f *fleet) admitArrivals() (value valueTotals) {
	prefillCapacity := f.capacity(planapi.Prefill) * prefillThroughput
	decodeCapacity := f.capacity(planapi.Decode) * decodeThroughput
	arrivals := f.arrivalRate() * timeStep.Seconds()
	arrivals += math.Sqrt(arrivals) * f.rng.NormFloat64()
	arrivals = max(0, arrivals)
	maxValue := 0.0
	for _, route := range f.routes {
		maxValue = max(maxValue, route.Value)
	}
	for i, route := range f.routes {
		prefillTokens, decodeTokens := route.tokensAt(f.skew())
		arrived := arrivals * route.Share
		value.offered += arrived * route.Value
		count := &f.counts[i]
		count.Arrived += arrived
		count.PromptTokens += arrived * prefillTokens
		wait := 2 * route.LatencyObjective
		if prefillCapacity > 0 && decodeCapacity > 0 {
			wait = f.prefillBacklog/prefillCapacity + f.decodeBacklog/decodeCapacity + prefillTokens/prefillThroughput
		}
		if wait > (baseWaitShare+valueWaitShare*route.Value/maxValue)*route.LatencyObjective {
			count.Shed += arrived
			continue
		}
		value.served += arrived * route.Value
		f.prefillBacklog += arrived * prefillTokens
		// The ratio is updated in proportion to the newly arrived part of the backlog.
		f.decodePerPrefillToken += (decodeTokens/prefillTokens - f.decodePerPrefillToken) *
			min(1, arrived*prefillTokens/max(f.prefillBacklog, 1))
		count.Started += arrived
		count.StartedPromptTokens += arrived * prefillTokens
		count.WithinObjective += arrived
		count.Completed += arrived
		count.CompletionTokens += arrived * decodeTokens
	}
	return value
}
