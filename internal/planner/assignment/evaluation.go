package assignment

import (
	"fmt"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Evaluation is the estimated gain and cost of a change of one engine to a role. Gains are in value per second.
type Evaluation struct {
	ToRole           string  `json:"to"`
	Gain             float64 `json:"gain"`     // gain under the current mix
	ReversalLoss     float64 `json:"usual"`    // average gain under those mixes of the last minutes with a negative gain
	MeanGain         float64 `json:"mean"`     // average gain under all mixes of the last minutes
	RemainingSeconds float64 `json:"left_s"`   // expected remaining time of the skew
	Cost             float64 `json:"cost"`     // value lost while the engine changes
	GainingSeconds   float64 `json:"for_s"`    // time for which the change has had a gain so far
	Engine           string  `json:"engine"`   // engine with the lowest cost of a change
	LostTokens       float64 `json:"lost_tok"` // cached tokens that no other engine has
	Reason           Reason  `json:"why"`      // reason for making or not making the change
	Chosen           bool    `json:"done"`
}

const (
	// maxSkewForecast limits how long a skew is expected to continue: mixes change with the sports matches of a day.
	maxSkewForecast = 2 * time.Minute
	// skewDetectionTime is how long a reversal of the load stays undetected: the window over which demand is measured
	// plus three reports.
	skewDetectionTime = 13 * time.Second
	// minGainTime is how long a gain has to last before a change is made: three reports.
	minGainTime = 3 * time.Second
	// minUnservedTime replaces minGainTime if a role has no serving engine.
	minUnservedTime = time.Second
	// noiseShare is the share of the offered value that is within the error of the estimate.
	noiseShare = 0.01
	// minGain is the largest gain that is treated as zero. It is above the rounding error.
	minGain = 1e-9
	// maxGainPerLoss limits the expected gain of a change to a multiple of the value lost now. It exceeds 1, as counts
	// over ten seconds vary.
	maxGainPerLoss = 1.5
	// gainCostMargin is how many times its cost a change has to gain, as both values are estimates.
	gainCostMargin = 1.5
	// unservedGain is the assumed gain of serving a role without engines while throughputs are unknown.
	unservedGain = 1
	// minSpareEngines keeps the cost of recomputing prefixes finite if no prefill engine would remain.
	minSpareEngines = 0.1
)

// evaluate estimates a change of one engine to a role. Reason is empty if the change is to be made.
func (c *Controller) evaluate(to string, s *fleetSnapshot) Evaluation {
	e := Evaluation{ToRole: to}
	unserved := s.serving.of(to)+s.incoming.of(to) == 0 && s.serving.of(planapi.OtherRole(to)) > 1
	hasDemand := len(s.sample.mix) > 0
	switch {
	case hasDemand && s.throughput.prefill != 0 && s.throughput.decode != 0:
		e.Gain = c.currentGain(to, s)
	case hasDemand && unserved:
		e.Gain = unservedGain
	default:
		e.Reason = ReasonNoEstimate
		return e
	}
	if e.Gain <= minGain {
		c.gainSince[to] = 0
		e.Reason = ReasonNoGain
		return e
	}
	if c.gainSince[to] == 0 {
		c.gainSince[to] = c.now
	}
	e.GainingSeconds = seconds(c.since(c.gainSince[to]))
	c.setAverageGains(&e, s)
	engine, reason := c.cheapestEngine(planapi.OtherRole(to))
	if engine == nil {
		e.Reason = reason
		return e
	}
	e.Engine, e.LostTokens = engine.Engine, c.lostCacheTokens(engine)
	e.Cost = c.changeCost(&e, s)
	e.RemainingSeconds = c.skew.expectedRemaining(c.now, to, e.GainingSeconds)
	e.Reason = c.rejectionReason(&e, s, unserved)
	return e
}

// currentGain returns the gain of a change under the current mix. The loss counted by the edges limits the gain: without
// a loss, a change gains nothing, however busy a role looks. Engines that are changing to the role, or
// changed to it recently, already recover a part of the loss.
func (c *Controller) currentGain(to string, s *fleetSnapshot) float64 {
	value := func(moved float64) float64 { return s.sample.value(s.expected().moved(to, moved), s.throughput) }
	recovering := max(0, value(0)-value(-c.recentlyAdded(to)))
	return min(value(1)-value(0), maxGainPerLoss*s.sample.mix.lostValue()-recovering)
}

// recentlyAdded returns the weight of the engines that are changing to a role, or changed to it so recently that the
// edges' counts still include the loss from before the change.
func (c *Controller) recentlyAdded(role string) (weight float64) {
	for _, engine := range c.engines.sorted {
		recent := engine.Role == role && engine.ServingSince > 0 && c.since(engine.ServingSince) < skewDetectionTime
		if engine.present && (engine.NextRole == role || recent) {
			weight += engine.weight()
		}
	}
	return weight
}

// setAverageGains sets MeanGain and ReversalLoss from the mixes of the last minutes.
func (c *Controller) setAverageGains(e *Evaluation, s *fleetSnapshot) {
	reversals := 0
	for _, sample := range c.mixes.samples {
		gain := c.gainOfOneEngine(sample, e.ToRole, 0, s)
		e.MeanGain += gain / float64(len(c.mixes.samples))
		if gain < 0 {
			e.ReversalLoss += gain
			reversals++
		}
	}
	e.ReversalLoss /= float64(max(reversals, 1))
}

// gainOfOneEngine returns the gain of one more engine in a role under a mix, after other engines moved to the role.
func (c *Controller) gainOfOneEngine(sample mixSample, to string, moved float64, s *fleetSnapshot) float64 {
	expected := s.expected()
	return sample.value(expected.moved(to, moved+1), s.throughput) - sample.value(expected.moved(to, moved), s.throughput)
}

// surplus returns by how many engines a role exceeds the split that would have been best on average. These engines
// have to change back when the load reverses.
func (c *Controller) surplus(e *Evaluation, s *fleetSnapshot) float64 {
	surplus := 0.0
	for ; surplus < s.serving.of(e.ToRole) && e.MeanGain < 0; surplus++ {
		gain := 0.0
		for _, sample := range c.mixes.samples {
			gain += c.gainOfOneEngine(sample, e.ToRole, -surplus-1, s)
		}
		if gain >= 0 {
			break
		}
	}
	return surplus
}

// changeCost returns the value lost while neither role has the engine, and by recomputing its cached prefixes.
func (c *Controller) changeCost(e *Evaluation, s *fleetSnapshot) float64 {
	mix, from := s.sample.mix, planapi.OtherRole(e.ToRole)
	served := mix.servedValue(s.serving, s.throughput)
	cost := max(0, served-mix.servedValue(s.serving.without(from, 1), s.throughput)) * c.changeSeconds()
	if from != planapi.Prefill || s.required.prefill <= 0 {
		return cost
	}
	// A second of one prefill engine is worth its share of all value, scaled by the utilization of the prefill engines.
	utilization := min(1, s.required.prefill/max(usableCapacityShare*(s.serving.prefill-1), minSpareEngines))
	return cost + e.LostTokens/max(s.throughput.prefill, 1)*mix.offeredValue()/s.required.prefill*utilization
}

// changeSeconds returns how long a change is expected to take until half of the warm-up, by the median of the last changes.
func (c *Controller) changeSeconds() float64 {
	expected := float64(c.config.DrainTimeout)/4 + float64(c.config.LoadTimeout)/2
	if len(c.history.durations) > 0 {
		expected = float64(median(c.history.durations))
	}
	return (expected + float64(c.config.WarmUp)/2) / float64(time.Second)
}

// expectedGain returns the gain of a change over the rest of the skew, less the loss from the reversal of the load
// until the engines have changed back.
func (c *Controller) expectedGain(e *Evaluation, s *fleetSnapshot) float64 {
	duration := c.changeSeconds()
	concurrent := max(1, c.config.MaxChangingShare*(s.serving.prefill+s.serving.decode))
	gain := e.Gain*max(0, e.RemainingSeconds-duration) +
		e.ReversalLoss*(duration*(1+c.surplus(e, s)/concurrent)+skewDetectionTime.Seconds())
	// A gain under the average load of the last minutes does not depend on the skew forecast.
	if len(c.mixes.samples) >= minMixes && e.MeanGain > noiseShare*s.sample.mix.offeredValue() {
		gain = max(gain, e.MeanGain*maxSkewForecast.Seconds())
	}
	return gain
}

// rejectionReason returns why a change is not made, or an empty reason if it is. While a role has no serving engine,
// all value is lost, so the cost of a change is ignored.
func (c *Controller) rejectionReason(e *Evaluation, s *fleetSnapshot, unserved bool) Reason {
	gain := c.expectedGain(e, s)
	switch {
	case unserved && e.GainingSeconds >= minUnservedTime.Seconds():
	case e.GainingSeconds < minGainTime.Seconds():
		return Reason(fmt.Sprintf(reasonTooRecentFormat, e.GainingSeconds))
	case gain <= gainCostMargin*e.Cost || gain <= noiseShare*s.sample.mix.offeredValue():
		return Reason(fmt.Sprintf(reasonCostFormat, gain, e.Cost))
	}
	switch {
	case c.meta.Stopped:
		return Reason(fmt.Sprintf(reasonStoppedFormat, c.meta.StoppedBy, c.meta.StopReason))
	case c.config.ExplainOnly:
		return ReasonExplainOnly
	}
	return ""
}
