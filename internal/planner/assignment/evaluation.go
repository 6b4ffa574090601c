package assignment

import (
	"fmt"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Evaluation is what a change of an engine to one role would bring. Gains are in value per second.
type Evaluation struct {
	ToRole           string  `json:"to"`
	Gain             float64 `json:"gain"`     // under the mix that arrives now
	ReversalLoss     float64 `json:"usual"`    // average of those mixes of the last minutes that lose by it
	MeanGain         float64 `json:"mean"`     // average of all mixes of the last minutes
	RemainingSeconds float64 `json:"left_s"`   // for which the skew is expected to go on
	Cost             float64 `json:"cost"`     // value lost while the engine changes
	GainingSeconds   float64 `json:"for_s"`    // for which it would have gained already
	Engine           string  `json:"engine"`   // that loses least by the change
	LostTokens       float64 `json:"lost_tok"` // cached tokens that no other engine has
	Reason           Reason  `json:"why"`      // for which it is made or not
	Chosen           bool    `json:"done"`
}

const (
	// maxSkewForecast bounds how long a skew is expected to go on: mixes change with the matches of a day.
	maxSkewForecast = 2 * time.Minute
	// skewDetectionTime is how long a reversal of the load stays unseen: the window of the demand, and three
	// reports.
	skewDetectionTime = 13 * time.Second
	// minSkewTime is three reports; nothing is decided on less.
	minSkewTime = 3 * time.Second
	// minUnservedTime is enough where a role is not served at all.
	minUnservedTime = time.Second
	// noiseShare of all value is within the error of the estimate.
	noiseShare = 0.01
	// minGain is above the error of rounding.
	minGain = 1e-9
	// maxGainPerLoss is how much more than the value lost now a change may be expected to bring back: counts of
	// ten seconds vary.
	maxGainPerLoss = 1.5
	// gainCostMargin is how many times its cost a change has to gain, as both are estimates.
	gainCostMargin = 1.5
	// unservedGain stands for the gain of serving a role that has no engine, while throughputs are unknown.
	unservedGain = 1
	// minSpareEngines keeps the cost of computing prefixes again finite where no prefill engine would be left.
	minSpareEngines = 0.1
)

// evaluate judges a change of one engine to a role. Reason is empty if the change is to be made.
func (c *Controller) evaluate(to string, s *fleetSnapshot) Evaluation {
	e := Evaluation{ToRole: to}
	unserved := s.serving.of(to)+s.incoming.of(to) == 0 && s.serving.of(planapi.OtherRole(to)) > 1
	demanded := len(s.sample.mix) > 0
	switch {
	case demanded && s.throughput.prefill != 0 && s.throughput.decode != 0:
		e.Gain = c.gainNow(to, s)
	case demanded && unserved:
		e.Gain = unservedGain
	default:
		e.Reason = ReasonNothingKnown
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
	c.averageGains(&e, s)
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

// gainNow is the gain of a change under the present mix. It is bounded by what the edges counted as lost: where
// nothing is lost, nothing can be gained, however busy a role looks. Engines that are changing to the role or
// came to it lately bring back a part of the loss already.
func (c *Controller) gainNow(to string, s *fleetSnapshot) float64 {
	value := func(moved float64) float64 { return s.sample.value(s.expected().moved(to, moved), s.throughput) }
	recovering := max(0, value(0)-value(-c.recentlyAdded(to)))
	return min(value(1)-value(0), maxGainPerLoss*s.sample.mix.lostValue()-recovering)
}

// recentlyAdded is the weight of the engines that are changing to a role, or came to it so lately that the edges
// still count what was lost without them.
func (c *Controller) recentlyAdded(role string) (weight float64) {
	for _, engine := range c.engines.sorted {
		recent := engine.Role == role && engine.ServingSince > 0 && c.since(engine.ServingSince) < skewDetectionTime
		if engine.present && (engine.NextRole == role || recent) {
			weight += engine.weight()
		}
	}
	return weight
}

// averageGains sets the gains under the mixes of the last minutes.
func (c *Controller) averageGains(e *Evaluation, s *fleetSnapshot) {
	reversals := 0
	for _, sample := range c.mixes.samples {
		gain := c.gainOfOne(sample, e.ToRole, 0, s)
		e.MeanGain += gain / float64(len(c.mixes.samples))
		if gain < 0 {
			e.ReversalLoss += gain
			reversals++
		}
	}
	e.ReversalLoss /= float64(max(reversals, 1))
}

// gainOfOne is what one engine more brings in a role under a mix, after so many engines moved to the role.
func (c *Controller) gainOfOne(sample mixSample, to string, moved float64, s *fleetSnapshot) float64 {
	expected := s.expected()
	return sample.value(expected.moved(to, moved+1), s.throughput) - sample.value(expected.moved(to, moved), s.throughput)
}

// surplus is how many engines of a role are more than the split that would have been best on average. All of
// them have to change back when the load turns.
func (c *Controller) surplus(e *Evaluation, s *fleetSnapshot) float64 {
	surplus := 0.0
	for ; surplus < s.serving.of(e.ToRole) && e.MeanGain < 0; surplus++ {
		gain := 0.0
		for _, sample := range c.mixes.samples {
			gain += c.gainOfOne(sample, e.ToRole, -surplus-1, s)
		}
		if gain >= 0 {
			break
		}
	}
	return surplus
}

// changeCost is the value lost while neither role has the engine, and by computing its cached prefixes again.
func (c *Controller) changeCost(e *Evaluation, s *fleetSnapshot) float64 {
	mix, from := s.sample.mix, planapi.OtherRole(e.ToRole)
	served := mix.servedValue(s.serving, s.throughput)
	cost := max(0, served-mix.servedValue(s.serving.without(from, 1), s.throughput)) * c.changeSeconds()
	if from != planapi.Prefill || s.required.prefill <= 0 {
		return cost
	}
	// A second of one prefill engine is worth its part of all value, the more so the busier these engines are.
	busy := min(1, s.required.prefill/max(usableCapacity*(s.serving.prefill-1), minSpareEngines))
	return cost + e.LostTokens/max(s.throughput.prefill, 1)*mix.offeredValue()/s.required.prefill*busy
}

// changeSeconds is how long a change takes until the engine is half warm: the median of the last ones.
func (c *Controller) changeSeconds() float64 {
	expected := float64(c.config.DrainTimeout)/4 + float64(c.config.LoadTimeout)/2
	if len(c.history.durations) > 0 {
		expected = float64(median(c.history.durations))
	}
	return (expected + float64(c.config.WarmUp)/2) / float64(time.Second)
}

// expectedGain is what a change gains over the rest of the skew, less what is lost after the load has turned and
// until the engines have changed back.
func (c *Controller) expectedGain(e *Evaluation, s *fleetSnapshot) float64 {
	duration := c.changeSeconds()
	concurrent := max(1, c.config.MaxChangingShare*(s.serving.prefill+s.serving.decode))
	gain := e.Gain*max(0, e.RemainingSeconds-duration) +
		e.ReversalLoss*(duration*(1+c.surplus(e, s)/concurrent)+skewDetectionTime.Seconds())
	// A gain under the average of the last minutes needs no forecast.
	if len(c.mixes.samples) >= minMixes && e.MeanGain > noiseShare*s.sample.mix.offeredValue() {
		gain = max(gain, e.MeanGain*maxSkewForecast.Seconds())
	}
	return gain
}

// rejectionReason is empty if a change is to be made. Where a role is not served, all value is lost until it is,
// so that the cost of a change does not count.
func (c *Controller) rejectionReason(e *Evaluation, s *fleetSnapshot, unserved bool) Reason {
	gain := c.expectedGain(e, s)
	switch {
	case unserved && e.GainingSeconds >= minUnservedTime.Seconds():
	case e.GainingSeconds < minSkewTime.Seconds():
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
