package assignment

import (
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// minSampleDuration is the minimum time that a sample covers. Engines that are changing roles report more often.
	minSampleDuration = time.Second
	maxWorkSamples    = 16
	// tokenRateWindow is the age up to which samples count for token rates. It is the window of the edges' counts.
	tokenRateWindow = maxDeltas * time.Second
	// minBusyShare is the utilization of an engine above which a sample is used for its throughput.
	minBusyShare = 0.05
	// minThroughputSamples is the number of samples needed for an engine's throughput, as the best one is left out.
	minThroughputSamples = 3
	// minForOutlierLimit is the minimum number of measurements for a limit on each of them by their median.
	minForOutlierLimit = 3
	// outlierFactor limits a measurement to a multiple of the median, as a load report may be wrong.
	outlierFactor = 4
)

// workSample is an engine's work between two load reports.
type workSample struct {
	takenAt     int64
	duration    time.Duration
	tokens      float64
	busySeconds float64 // sum over all slots of the engine
	prefill     bool
}

func (s *workSample) isOfRole(role string) bool { return s.prefill == (role == planapi.Prefill) }

// recordSample records the work of an engine since its last report. No work is recorded for a report of another
// incarnation or role, or with lower counts.
func (e *engineRecord) recordSample(report planapi.EngineReport, now int64) {
	previous := &e.report
	elapsed := time.Duration(now - e.reportedAt)
	first := e.reportedAt == 0 || previous.Incarnation != report.Incarnation || previous.Role != report.Role
	if first || elapsed <= 0 || report.PrefillTokens < previous.PrefillTokens ||
		report.DecodeTokens < previous.DecodeTokens || report.BusySeconds < previous.BusySeconds {
		return
	}
	sample := workSample{takenAt: now, duration: elapsed, tokens: report.DecodeTokens - previous.DecodeTokens,
		busySeconds: report.BusySeconds - previous.BusySeconds, prefill: report.Role == planapi.Prefill}
	if sample.prefill {
		sample.tokens = report.PrefillTokens - previous.PrefillTokens
	}
	if n := len(e.samples); n > 0 {
		latest := &e.samples[n-1]
		if latest.duration < minSampleDuration && latest.prefill == sample.prefill {
			latest.extend(sample)
			return
		}
	}
	e.samples = appendBounded(e.samples, sample, maxWorkSamples)
}

func (s *workSample) extend(next workSample) {
	s.takenAt = next.takenAt
	s.duration += next.duration
	s.tokens += next.tokens
	s.busySeconds += next.busySeconds
}

// tokenRate returns the tokens per second that all engines of a role process, and the number of measured engines.
func (c *Controller) tokenRate(role string) (total float64, measured int) {
	var rates []float64
	for _, engine := range c.engines.sorted {
		tokens, span := 0.0, time.Duration(0)
		for _, sample := range engine.samples {
			if sample.isOfRole(role) && c.since(sample.takenAt) < tokenRateWindow {
				tokens, span = tokens+sample.tokens, span+sample.duration
			}
		}
		if span > 0 {
			rates = append(rates, tokens/seconds(span))
		}
	}
	slices.Sort(rates)
	for _, rate := range rates {
		if medianRate := rates[len(rates)/2]; len(rates) >= minForOutlierLimit && medianRate > 0 {
			rate = min(rate, outlierFactor*medianRate)
		}
		total += rate
	}
	return total, len(rates)
}

// throughput returns the tokens per second that a busy engine of weight 1 processes: the median of all measured
// engines, else the latest measured value, else the configured one.
func (c *Controller) throughput(role string) float64 {
	var throughputs []float64
	for _, engine := range c.engines.sorted {
		if throughput, known := engine.throughput(role); known {
			throughputs = append(throughputs, throughput)
		}
	}
	if len(throughputs) > 0 {
		slices.Sort(throughputs)
		c.throughputs[role] = throughputs[len(throughputs)/2]
	}
	if c.throughputs[role] == 0 {
		c.throughputs[role] = c.config.DecodeThroughput
		if role == planapi.Prefill {
			c.throughputs[role] = c.config.PrefillThroughput
		}
	}
	return c.throughputs[role]
}

// throughput returns the second best of an engine's samples. A slowdown shorter than the time that the samples cover is
// thus not treated as higher demand, and a single wrong report has no effect.
func (e *engineRecord) throughput(role string) (value float64, known bool) {
	var throughputs []float64
	for _, sample := range e.samples {
		if sample.isOfRole(role) && sample.busySeconds > minBusyShare*seconds(sample.duration) && sample.tokens > 0 {
			throughputs = append(throughputs, sample.tokens/sample.busySeconds/e.weight())
		}
	}
	if len(throughputs) < minThroughputSamples {
		return 0, false
	}
	slices.Sort(throughputs)
	return throughputs[len(throughputs)-2], true
}
