package assignment

import (
	"slices"
	"time"

	"sandcourse/internal/planner/planapi"
)

const (
	// sampleDuration is the least that a sample spans; reports of engines come up to four times as often.
	sampleDuration = time.Second
	maxSamples     = 16
	// tokenRateWindow is how far back the samples of token rates go, as far as those of edges.
	tokenRateWindow = maxDeltas * time.Second
	// minBusyShare is how busy an engine has to be for a sample to show its throughput.
	minBusyShare = 0.05
	// minThroughputSamples of an engine are needed, as the best one is left out.
	minThroughputSamples = 3
	// minForOutlierLimit is how many measurements are needed for their median to limit the others.
	minForOutlierLimit = 3
	// outlierFactor is how many times the median a measurement may count: a load report may be wrong.
	outlierFactor = 4
)

// workSample is an engine's work between two load reports.
type workSample struct {
	takenAt     int64
	duration    time.Duration
	tokens      float64
	busySeconds float64 // of all its slots together
	prefill     bool
}

func (s *workSample) of(role string) bool { return s.prefill == (role == planapi.Prefill) }

// recordSample takes the work of an engine since its last report. A report of another incarnation or role, or
// with lower counts, starts afresh.
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
		if latest.duration < sampleDuration && latest.prefill == sample.prefill {
			latest.extend(sample)
			return
		}
	}
	e.samples = appendBounded(e.samples, sample, maxSamples)
}

func (s *workSample) extend(next workSample) {
	s.takenAt = next.takenAt
	s.duration += next.duration
	s.tokens += next.tokens
	s.busySeconds += next.busySeconds
}

// tokenRate is how many tokens per second all engines of a role process, and how many engines were measured.
func (c *Controller) tokenRate(role string) (total float64, measured int) {
	var rates []float64
	for _, engine := range c.engines.sorted {
		tokens, span := 0.0, time.Duration(0)
		for _, sample := range engine.samples {
			if sample.of(role) && c.since(sample.takenAt) < tokenRateWindow {
				tokens, span = tokens+sample.tokens, span+sample.duration
			}
		}
		if span > 0 {
			rates = append(rates, tokens/seconds(span))
		}
	}
	slices.Sort(rates)
	for _, rate := range rates {
		if middle := rates[len(rates)/2]; len(rates) >= minForOutlierLimit && middle > 0 {
			rate = min(rate, outlierFactor*middle)
		}
		total += rate
	}
	return total, len(rates)
}

// throughput is how many tokens per second an engine of weight 1 processes while it is busy: the median of all
// engines. It is the configured value until it is measured, and the latest known one while nothing is.
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

// throughput is the second best of an engine's samples: a slowdown that is shorter than they reach back does not
// count as more demand, and a single wrong report does not count at all.
func (e *engineRecord) throughput(role string) (value float64, known bool) {
	var throughputs []float64
	for _, sample := range e.samples {
		if sample.of(role) && sample.busySeconds > minBusyShare*seconds(sample.duration) && sample.tokens > 0 {
			throughputs = append(throughputs, sample.tokens/sample.busySeconds/e.weight())
		}
	}
	if len(throughputs) < minThroughputSamples {
		return 0, false
	}
	slices.Sort(throughputs)
	return throughputs[len(throughputs)-2], true
}
