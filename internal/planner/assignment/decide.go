package assignment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

// Evaluation is what a change to one role would bring.
type Evaluation struct {
	ToRole           string  `json:"to"`
	Gain             float64 `json:"gain"`     // value a second, under the mix that arrives now
	ReversalLoss     float64 `json:"usual"`    // the same, on average, under those mixes of the last minutes that lose by it
	MeanGain         float64 `json:"mean"`     // the same, on average, under all mixes of the last minutes
	RemainingSeconds float64 `json:"left_s"`   // how long the shift is expected to go on
	Cost             float64 `json:"cost"`     // value lost while the engine changes
	GainingSeconds   float64 `json:"for_s"`    // how long it would have gained already
	Engine           string  `json:"engine"`   // the best one to change
	LostTokens       float64 `json:"lost_tok"` // kept tokens that nobody else keeps
	Reason           string  `json:"why"`      // it is done, or not
	Chosen           bool    `json:"done"`
}

// Decision is the last decision, for people.
type Decision struct {
	At              int64              `json:"at"`
	Mix             trafficMix         `json:"mix"`
	EdgesReporting  int                `json:"edges_heard"`
	EdgesKnown      int                `json:"edges_known"`
	RequiredEngines map[string]float64 `json:"need"`   // engines that the mix keeps busy, by role
	ServingEngines  map[string]float64 `json:"serve"`  // engines that serve, by role
	IncomingEngines map[string]float64 `json:"coming"` // and that are changing to it
	Throughput      map[string]float64 `json:"pace"`
	Evaluations     []Evaluation       `json:"weighed"`
	Changing        int                `json:"changing"`
	Stopped         bool               `json:"stopped"`
}

// LastDecision is the last decision.
func (c *Controller) LastDecision() Decision { return c.lastDecision }

// EngineView is one engine as operators see it.
type EngineView struct {
	Record
	Listed           bool                 `json:"Listed"`
	CanChange        bool                 `json:"CanChange"`
	Report           planapi.EngineReport `json:"said"`
	ReportedMsAgo    int64                `json:"heard_ms_ago"` // -1 for never
	IneligibleReason string               `json:"barred,omitempty"`
	Fault            string               `json:"trouble,omitempty"`
}

// Engines lists all engines.
func (c *Controller) Engines() (views []EngineView) {
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		view := EngineView{Record: engine.Record, Listed: engine.present, CanChange: engine.listed.CanChange, Report: engine.report,
			ReportedMsAgo: -1, IneligibleReason: c.ineligibleReason(engine),
			Fault: engine.fault}
		if engine.reportedAt > 0 {
			view.ReportedMsAgo = (c.now - engine.reportedAt) / 1e6
		}
		views = append(views, view)
	}
	return views
}

// ReportTargets are the engines to ask for reports, and those of them whose change waits for what they say.
func (c *Controller) ReportTargets() (all, urgent []string) {
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		if !engine.present {
			continue
		}
		all = append(all, id)
		switch engine.State {
		case Serving, WarmingUp, Quarantined:
		default:
			urgent = append(urgent, id)
		}
	}
	return all, urgent
}

// CountEngines is how many listed engines stand in each role and state.
func (c *Controller) CountEngines() map[[2]string]int {
	counts := map[[2]string]int{}
	for _, id := range c.engineIDs {
		if engine := c.engines[id]; engine.present {
			counts[[2]string{engine.Role, string(engine.State)}]++
		}
	}
	return counts
}

// usableCapacity is how much of its work an engine can be given before queues make first tokens late. Over nine
// tenths a few arrivals together wait longer than their own reading takes; at 0.75 changes began where
// nothing was lost yet.
const usableCapacity = 0.9

// servedValue is the value a second that a mix brings with so many engines in each role: routes of highest value
// first, each as far as both roles have room.
func (m trafficMix) servedValue(prefillEngines, decodeEngines, prefillThroughput, decodeThroughput float64) (value float64) {
	prefillCapacity, decodeCapacity := prefillEngines*prefillThroughput*usableCapacity, decodeEngines*decodeThroughput*usableCapacity
	for _, demand := range m {
		share := 1.0
		if demand.PrefillTokens > 0 {
			share = min(share, prefillCapacity/(demand.Rate*demand.PrefillTokens))
		}
		if demand.DecodeTokens > 0 {
			share = min(share, decodeCapacity/(demand.Rate*demand.DecodeTokens))
		}
		share = max(share, 0)
		prefillCapacity, decodeCapacity = prefillCapacity-share*demand.Rate*demand.PrefillTokens, decodeCapacity-share*demand.Rate*demand.DecodeTokens
		value += share * demand.Rate * demand.Value
	}
	return value
}

// offeredValue is the value a second that arrives; lost is that which is not in time.
func (m trafficMix) offeredValue() (value float64) {
	for _, demand := range m {
		value += demand.Rate * demand.Value
	}
	return value
}

func (m trafficMix) lostValue() (value float64) {
	for _, demand := range m {
		value += demand.LostRate * demand.Value
	}
	return value
}

// recentlyAdded is how many engines come to a role, or came so late that what is lost now is still counted without
// them.
func (c *Controller) recentlyAdded(role string) (weight float64) {
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		if engine.present && (engine.NextRole == role || engine.Role == role && engine.ServingSince > 0 && c.now-engine.ServingSince < int64(shiftDetectionTime)) {
			weight += cmp.Or(engine.listed.Weight, 1)
		}
	}
	return weight
}

// supply counts engines of a role that serve, by weight, and those that are on the way to it. One that says
// nothing is not counted: what it can do is not known.
func (c *Controller) supply(role string) (serving, incoming float64) {
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		if !engine.present {
			continue
		}
		weight := cmp.Or(engine.listed.Weight, 1)
		switch engine.State {
		case Serving, WarmingUp:
			if engine.Role == role && engine.listed.Ready && !c.unresponsive(engine) {
				serving += weight
			}
		case Quarantined:
		default:
			if engine.NextRole == role {
				incoming += weight
			}
		}
	}
	return serving, incoming
}

// unresponsive is whether nothing was heard of an engine for so long that it may be dead: four questions.
func (c *Controller) unresponsive(engine *engineRecord) bool {
	return c.now-engine.reportedAt > int64(4*time.Second)
}

// The figures of the decision.
const (
	// A shift is expected to last as long again as it has lasted, at most this: mixes change with matches.
	maxShiftForecast = 2 * time.Minute
	// How long it takes until a load that has turned is seen to have: what demand looks back on, and three
	// reports.
	shiftDetectionTime = 13 * time.Second
	// Of all value, a hundredth is within the error of the estimate.
	noiseShare = 0.01
	// Of what is lost now, a change may be hoped to bring back this much more: counts of ten seconds are
	// rough.
	maxGainPerLoss = 1.5
	// Nothing is decided on less than this: three reports.
	minShiftDuration = 3 * time.Second
	// What a change is to gain must be worth this many times what it costs: the estimate is rough.
	gainCostMargin = 1.5
	// Mixes of the last four minutes, one every ten seconds: what the load usually is.
	// From a minute on they say something of the average.
	mixInterval, maxMixes, minMixes = 10 * time.Second, 24, 6
)

// decide weighs one change in each direction and begins at most one.
func (c *Controller) decide() {
	mix, reporting, known := c.estimateDemand()
	throughputs := map[string]float64{planapi.Prefill: c.throughput(planapi.Prefill), planapi.Decode: c.throughput(planapi.Decode)}
	decision := Decision{At: c.now, Mix: mix, EdgesReporting: reporting, EdgesKnown: known, RequiredEngines: map[string]float64{},
		ServingEngines:  map[string]float64{},
		IncomingEngines: map[string]float64{}, Throughput: throughputs, Stopped: c.meta.Stopped || c.config.ExplainOnly,
		Changing: c.changingCount()}
	for _, demand := range mix {
		decision.RequiredEngines[planapi.Prefill] += demand.Rate * demand.PrefillTokens / max(throughputs[planapi.Prefill], 1)
		decision.RequiredEngines[planapi.Decode] += demand.Rate * demand.DecodeTokens / max(throughputs[planapi.Decode], 1)
	}
	for _, role := range []string{planapi.Prefill, planapi.Decode} {
		decision.ServingEngines[role], decision.IncomingEngines[role] = c.supply(role)
	}
	if len(mix) > 0 && (len(c.mixHistory) == 0 || c.now-c.mixRecordedAt >= int64(mixInterval)) {
		c.mixHistory, c.mixRecordedAt = appendBounded(c.mixHistory, mixSample{mix, c.lossFactor(mix, decision, throughputs)}, maxMixes), c.now
	}
	c.trackSkew(decision.RequiredEngines)
	for _, to := range []string{planapi.Prefill, planapi.Decode} {
		decision.Evaluations = append(decision.Evaluations, c.evaluate(to, mix, throughputs, decision))
	}
	slices.SortStableFunc(decision.Evaluations, func(a, b Evaluation) int { return cmp.Compare(b.Gain, a.Gain) })
	for i := range decision.Evaluations {
		if evaluation := &decision.Evaluations[i]; evaluation.Reason == "" {
			evaluation.Chosen, evaluation.Reason = true, "it is worth its cost"
			c.beginChange(c.engines[evaluation.Engine],
				fmt.Sprintf("%s has work for %.1f engines and %.1f, %s for %.1f and %.1f: %.2f of value a second gained for %.0f s, "+
					"%.0f s more, cost %.2f", evaluation.ToRole, decision.RequiredEngines[evaluation.ToRole], decision.ServingEngines[evaluation.ToRole]+decision.IncomingEngines[evaluation.ToRole],
					planapi.OtherRole(evaluation.ToRole), decision.RequiredEngines[planapi.OtherRole(evaluation.ToRole)],
					decision.ServingEngines[planapi.OtherRole(evaluation.ToRole)], evaluation.Gain, evaluation.GainingSeconds, evaluation.RemainingSeconds, evaluation.Cost))
			break
		}
	}
	c.lastDecision = decision
}

// evaluate judges one change to a role. Why is empty if it is to be done.
func (c *Controller) evaluate(to string, mix trafficMix, throughputs map[string]float64, decision Decision) (evaluation Evaluation) {
	from := planapi.OtherRole(to)
	evaluation.ToRole = to
	value := func(p mixSample, moved float64) float64 {
		n := map[string]float64{to: decision.ServingEngines[to] + decision.IncomingEngines[to] + moved, from: decision.ServingEngines[from] +
			decision.IncomingEngines[from] - moved}
		offered := p.mix.offeredValue()
		return offered - p.lossFactor*(offered-p.mix.servedValue(n[planapi.Prefill], n[planapi.Decode], throughputs[planapi.Prefill],
			throughputs[planapi.Decode]))
	}
	now := mixSample{mix, c.lossFactor(mix, decision, throughputs)}
	if len(mix) == 0 || throughputs[planapi.Prefill] == 0 || throughputs[planapi.Decode] == 0 {
		evaluation.Reason = "nothing is known yet of what arrives or of how fast engines are"
		if c.roleUnserved(from, to, decision) && len(mix) > 0 {
			evaluation.Gain = 1
		} else {
			return evaluation
		}
	} else {
		// What is reckoned may not be more than what edges lose by their counts: where nothing is lost,
		// nothing is to be gained, however full a role looks. Engines that are on their way, or have come
		// since, bring back a part of that already.
		evaluation.Gain = min(value(now, 1)-value(now, 0), maxGainPerLoss*mix.lostValue()-max(0, value(now, 0)-value(now,
			-c.recentlyAdded(to))))
	}
	evaluation.Reason = ""
	if evaluation.Gain <= 1e-9 {
		c.gainSince[to] = 0
		evaluation.Reason = "it would gain nothing"
		return evaluation
	}
	if c.gainSince[to] == 0 {
		c.gainSince[to] = c.now
	}
	evaluation.GainingSeconds = float64(c.now-c.gainSince[to]) / 1e9
	turned, away := 0, 0.0
	for _, h := range c.mixHistory {
		g := value(h, 1) - value(h, 0)
		evaluation.MeanGain += g / float64(len(c.mixHistory))
		if g < 0 {
			evaluation.ReversalLoss, turned = evaluation.ReversalLoss+g, turned+1
		}
	}
	evaluation.ReversalLoss /= float64(max(turned, 1))
	// How many engines have left the split that would have been best on average, this way: they all have to
	// come back.
	for ; away < decision.ServingEngines[to] && evaluation.MeanGain < 0; away++ {
		mean := 0.0
		for _, h := range c.mixHistory {
			mean += value(h, -away) - value(h, -away-1)
		}
		if mean >= 0 {
			break
		}
	}
	batch := max(1, c.config.MaxChangingShare*(decision.ServingEngines[to]+decision.ServingEngines[from]))
	candidate, reason := c.cheapestEngine(from)
	if candidate == nil {
		evaluation.Reason = reason
		return evaluation
	}
	evaluation.Engine, evaluation.LostTokens = candidate.Engine, c.lostCacheTokens(candidate)
	// While it changes, its old role lacks it and the new one does not have it yet; and its texts are read
	// again.
	took := c.changeSeconds()
	serving := func(less float64) float64 {
		n := map[string]float64{to: decision.ServingEngines[to], from: decision.ServingEngines[from] - less}
		return mix.servedValue(n[planapi.Prefill], n[planapi.Decode], throughputs[planapi.Prefill], throughputs[planapi.Decode])
	}
	evaluation.Cost = max(0, serving(0)-serving(1)) * took
	if offered, need := 0.0, decision.RequiredEngines[planapi.Prefill]; need > 0 && from == planapi.Prefill {
		offered = mix.offeredValue()
		// Reading again is work that others could have used: a second of one reader is worth its part of all
		// value, the more so the fuller readers are.
		full := min(1, need/max(usableCapacity*(decision.ServingEngines[from]-1), 0.1))
		evaluation.Cost += evaluation.LostTokens / max(throughputs[planapi.Prefill], 1) * offered / need * full
	}
	// What is left of the shift, less the time until the engine serves; and once the load has turned, what
	// its absence costs until it is seen and the engine is back.
	evaluation.RemainingSeconds = c.expectedRemaining(to, evaluation.GainingSeconds)
	gains := evaluation.Gain*max(0, evaluation.RemainingSeconds-took) + evaluation.ReversalLoss*(took*(1+away/batch)+shiftDetectionTime.Seconds())
	// What would have been better under all mixes of the last minutes needs no forecast.
	if len(c.mixHistory) >= minMixes {
		if evaluation.MeanGain > noiseShare*mix.offeredValue() {
			gains = max(gains, evaluation.MeanGain*maxShiftForecast.Seconds())
		}
	}
	switch {
	case c.roleUnserved(from, to, decision) && evaluation.GainingSeconds >= 1:
		// Nobody serves in that role: all value is lost until somebody does.
	case evaluation.GainingSeconds < minShiftDuration.Seconds():
		evaluation.Reason = fmt.Sprintf("it has lasted %.0f s only", evaluation.GainingSeconds)
	case gains <= gainCostMargin*evaluation.Cost || gains <= noiseShare*mix.offeredValue():
		evaluation.Reason = fmt.Sprintf("%.2f of value is expected, %.2f would be lost", gains, evaluation.Cost)
	}
	if evaluation.Reason == "" && c.meta.Stopped {
		evaluation.Reason = fmt.Sprintf("changes are stopped by %s: %s", c.meta.StoppedBy, c.meta.StopReason)
	}
	if evaluation.Reason == "" && c.config.ExplainOnly {
		evaluation.Reason = "the settings only let it be explained"
	}
	return evaluation
}

// trackSkew notes when the load tilts to the other side of what it was on average, and how long each side lasted.
func (c *Controller) trackSkew(required map[string]float64) {
	total := required[planapi.Prefill] + required[planapi.Decode]
	if total == 0 {
		return
	}
	share := required[planapi.Prefill] / total
	c.prefillShares = appendBounded(c.prefillShares, share, 240) // four minutes of seconds
	mean := 0.0
	for _, s := range c.prefillShares {
		mean += s / float64(len(c.prefillShares))
	}
	skewed := c.skewedRole
	// A twentieth: less is noise of counts.
	if share > mean+0.05 {
		skewed = planapi.Prefill
	} else if share < mean-0.05 {
		skewed = planapi.Decode
	}
	if skewed == c.skewedRole {
		return
	}
	if c.skewedRole != "" && c.skewedSince > 0 {
		c.skewDurations[c.skewedRole] = appendBounded(c.skewDurations[c.skewedRole], c.now-c.skewedSince, 6)
	}
	c.skewedRole, c.skewedSince = skewed, c.now
}

// expectedRemaining is how long a shift to a role is expected to go on: as long as earlier ones that had lasted as long by
// then, or as long again as it has lasted, if there was none.
func (c *Controller) expectedRemaining(to string, gainingSeconds float64) float64 {
	if c.skewedRole != to {
		return min(gainingSeconds, maxShiftForecast.Seconds())
	}
	since := c.now - c.skewedSince
	sum, n := 0.0, 0
	for _, duration := range c.skewDurations[to] {
		if duration > since {
			sum, n = sum+float64(duration-since)/1e9, n+1
		}
	}
	if n > 0 {
		return min(sum/float64(n), maxShiftForecast.Seconds())
	}
	return min(float64(since)/1e9, maxShiftForecast.Seconds())
}

// mixSample is a mix that was, and how many times more value was lost under it than is reckoned: routes do not
// lose in the order of their value alone, and one with a short target is late first.
type mixSample struct {
	mix        trafficMix
	lossFactor float64
}

// lossFactor is that for the present: by edges' counts, against what the engines that serve would lose. From a
// third to four times: beyond that the counts say more of other troubles than of roles.
func (c *Controller) lossFactor(mix trafficMix, decision Decision, throughputs map[string]float64) float64 {
	offered := mix.offeredValue()
	estimatedLoss := offered - mix.servedValue(decision.ServingEngines[planapi.Prefill], decision.ServingEngines[planapi.Decode], throughputs[planapi.Prefill],
		throughputs[planapi.Decode])
	if estimatedLoss < noiseShare*offered {
		return 1
	}
	return min(max(mix.lostValue()/estimatedLoss, 1./3), 4)
}

// roleUnserved is whether a role has nobody at all while the other has some.
func (c *Controller) roleUnserved(from, to string, decision Decision) bool {
	return decision.ServingEngines[to]+decision.IncomingEngines[to] == 0 && decision.ServingEngines[from] > 1
}

// changeSeconds is how long a change takes, by the last ones: from its drain until it is half warm.
func (c *Controller) changeSeconds() float64 {
	duration := float64(c.config.DrainTimeout)/4 + float64(c.config.LoadTimeout)/2
	if len(c.recentChanges) > 0 {
		var durations []int64
		for _, change := range c.recentChanges {
			durations = append(durations, change.duration)
		}
		slices.Sort(durations)
		duration = float64(durations[len(durations)/2])
	}
	return (duration + float64(c.config.WarmUp)/2) / 1e9
}

// changingCount is how many engines are between two roles.
func (c *Controller) changingCount() (n int) {
	for _, id := range c.engineIDs {
		switch c.engines[id].State {
		case Serving, WarmingUp, Quarantined:
		default:
			n++
		}
	}
	return n
}

// cheapestEngine is the engine that leaves a role at the least loss: of kept texts first, then of what is open.
func (c *Controller) cheapestEngine(from string) (best *engineRecord, reason string) {
	counts := map[string]int{}
	leastCost := math.Inf(1)
	for _, id := range c.engineIDs {
		engine := c.engines[id]
		if engine.Role != from || !engine.present {
			continue
		}
		if ineligible := c.ineligibleReason(engine); ineligible != "" {
			counts[ineligible]++
			continue
		}
		// A hundred tokens for each that is open: about what a half-done answer is worth.
		if cost := c.lostCacheTokens(engine) + 100*float64(engine.report.OpenRequests+engine.report.Reservations); cost < leastCost {
			best, leastCost = engine, cost
		}
	}
	if best == nil {
		reason = "there is no engine that could change"
		most := 0
		for ineligible, n := range counts {
			if n > most || n == most && ineligible < reason {
				reason, most = ineligible, n
			}
		}
	}
	return best, reason
}

// lostCacheTokens is how many tokens of kept texts go with an engine: those that no other serving reader keeps are read
// again by each edge's sessions, the rest costs a tenth, as its sessions must move.
func (c *Controller) lostCacheTokens(engine *engineRecord) float64 {
	if engine.Role != planapi.Prefill {
		return 0
	}
	lostTokens := 0.1 * engine.report.CachedTokens
	for prefix, tokens := range engine.report.HotPrefixes {
		copies := 0
		for _, id := range c.engineIDs {
			other := c.engines[id]
			if _, ok := other.report.HotPrefixes[prefix]; ok && other.Role == planapi.Prefill && (other.State == Serving ||
				other.State == WarmingUp) {
				copies++
			}
		}
		if copies == 1 {
			lostTokens += tokens * float64(max(1, len(c.edges)))
		}
	}
	return lostTokens
}

// maxReportDelay is how old reports may be: each of a change's five steps waits for one.
const maxReportDelay = int64(3 * time.Second)

// medianReportDelay is how old the middle one of the last reports was when it came.
func (c *Controller) medianReportDelay() int64 {
	if len(c.reportDelays) == 0 {
		return 0
	}
	delays := slices.Clone(c.reportDelays)
	slices.Sort(delays)
	return delays[len(delays)/2]
}

// ineligibleReason says why an engine may not change its role now, or nothing. It is the one gate of all changes,
// whoever asks.
func (c *Controller) ineligibleReason(engine *engineRecord) string {
	switch {
	case !engine.present:
		return "it is not listed"
	case !engine.listed.CanChange:
		return "its kind has no other role"
	case !engine.roleKnown:
		return "it has not said yet what its role is"
	case engine.State != Serving:
		return "it is " + string(engine.State)
	case !engine.listed.Ready:
		return "discovery drains it"
	case engine.Pinned:
		return "it is pinned"
	case c.unresponsive(engine):
		return "nothing was heard of it"
	case c.medianReportDelay() > maxReportDelay:
		return fmt.Sprintf("reports are %v old: a change could not be followed",
			time.Duration(c.medianReportDelay()).Round(100*time.Millisecond))
	case engine.lastChangeEndedAt > 0 && c.now-engine.lastChangeEndedAt < int64(c.config.Cooldown):
		return fmt.Sprintf("it changed within the last %v", c.config.Cooldown)
	}
	listed, recent := 0, 0
	for _, id := range c.engineIDs {
		if c.engines[id].present {
			listed++
		}
	}
	for _, at := range c.changeStarts {
		if c.now-at < int64(time.Minute) {
			recent++
		}
	}
	otherServing, otherIncoming := c.supply(planapi.OtherRole(engine.Role))
	if otherServing+otherIncoming > 0 { // where a role has nobody, the budgets of calm times would only keep it so
		if float64(c.changingCount()+1) > max(1, c.config.MaxChangingShare*float64(listed)) {
			return "as many engines are changing as may"
		}
		if float64(recent+1) > max(2, c.config.MaxSharePerMinute*float64(listed)) {
			return "as many changes were begun within a minute as may"
		}
	} else if 3*(c.changingCount()+1) > max(3, listed) {
		return "a third of all engines is changing"
	}
	return c.floorReason(engine)
}

// floorReason keep each role, and within each zone and cell that has it, from being emptied: some must go on
// serving, and two thirds of a cell's role are never away together.
func (c *Controller) floorReason(engine *engineRecord) string {
	count := func(in func(other *engineRecord) bool) (serve, away int) {
		for _, id := range c.engineIDs {
			other := c.engines[id]
			if !other.present || !in(other) || other.Role != engine.Role {
				continue
			}
			switch {
			// One that was never heard of may turn out to have the other role, and one that is silent may be dead.
			case (other.State == Serving || other.State == WarmingUp) && other.listed.Ready && other.roleKnown && !c.unresponsive(other):
				serve++
			case other.State != Serving && other.State != WarmingUp:
				away++
			}
		}
		return serve, away
	}
	if serve, _ := count(func(*engineRecord) bool { return true }); serve-1 < c.config.MinServing {
		return fmt.Sprintf("%d serve in its role, and %d must stay", serve, c.config.MinServing)
	}
	zones, cells := map[string]bool{}, map[string]bool{}
	for _, id := range c.engineIDs {
		zones[c.engines[id].listed.Zone], cells[c.engines[id].listed.Zone+"/"+c.engines[id].listed.Cell] = true,
			true
	}
	if serve, _ := count(func(other *engineRecord) bool { return other.listed.Zone == engine.listed.Zone }); len(zones) > 1 &&
		serve < 2 {
		return "it is the last of its role in its zone"
	}
	serve, away := count(func(other *engineRecord) bool {
		return other.listed.Zone == engine.listed.Zone &&
			other.listed.Cell == engine.listed.Cell
	})
	if len(cells) > 1 && serve < 2 {
		return "it is the last of its role in its cell"
	}
	if 3*(away+1) >= 2*(serve+away) && serve+away > 1 {
		return "two thirds of its role in its cell would be away"
	}
	return ""
}
