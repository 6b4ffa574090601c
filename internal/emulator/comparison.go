package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	bootstrapSamples = 2000
	bootstrapLow     = 25  // lower bound of the interval, per mille of the sorted samples
	bootstrapHigh    = 975 // upper bound of the interval, per mille of the sorted samples
	recoveredShare   = 0.9 // minimum share completed in time in each of three consecutive windows
)

// neverRecovered is the recovery time of a run that does not recover.
const neverRecovered = time.Duration(-1)

// Comparison is the result of one arm, compared with the first arm.
type Comparison struct {
	Name         string
	Results      []Result
	Share        float64       // share completed in time, mean over seeds
	Difference   float64       // Share minus that of the first arm, mean over paired seeds
	Low, High    float64       // 95% bootstrap interval of Difference
	WorstWindow  float64       // lowest share completed in time in a window, mean over seeds
	RecoveryTime time.Duration // time from the end of the last fault, median over seeds; neverRecovered if it does not recover
	ByWindow     []float64     // share completed in time by window, mean over seeds
}

// Compare compares each arm with the first one. Results are indexed by arm and seed.
func (x *Experiment) Compare(results [][]Result) (comparisons []Comparison) {
	random := rand.New(rand.NewPCG(9, 9))
	for i, arm := range x.Arms {
		c := Comparison{Name: arm.Name, Results: results[i], ByWindow: meanByWindow(results[i])}
		var shares, differences, worstWindows, recoveryTimes []float64
		for seed, r := range results[i] {
			shares = append(shares, r.Share)
			differences = append(differences, r.Share-results[0][seed].Share)
			worstWindows = append(worstWindows, slices.Min(r.Windows))
			recoveryTimes = append(recoveryTimes, float64(recoveryTime(arm.Scenario, r)))
		}
		c.Share, c.Difference, c.WorstWindow = stat.Mean(shares, nil), stat.Mean(differences, nil), stat.Mean(worstWindows, nil)
		c.Low, c.High = bootstrapMean(differences, random)
		slices.Sort(recoveryTimes)
		c.RecoveryTime = time.Duration(recoveryTimes[len(recoveryTimes)/2])
		comparisons = append(comparisons, c)
	}
	return comparisons
}

func meanByWindow(results []Result) (means []float64) {
	for _, r := range results {
		for window, share := range r.Windows {
			if window >= len(means) {
				means = append(means, 0)
			}
			means[window] += share / float64(len(results))
		}
	}
	return means
}

// bootstrapMean returns a 95% bootstrap interval of the mean of values.
func bootstrapMean(values []float64, random *rand.Rand) (low, high float64) {
	means := make([]float64, bootstrapSamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[random.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	return means[len(means)*bootstrapLow/1000], means[len(means)*bootstrapHigh/1000]
}

// recoveryTime returns the time from the end of the last fault to the first of three consecutive windows with at least
// recoveredShare.
func recoveryTime(scenario Scenario, r Result) time.Duration {
	end := time.Duration(0)
	for _, f := range scenario.Faults {
		end = max(end, f.At+f.Duration)
	}
	for window := int(end / windowLength); window+2 < len(r.Windows); window++ {
		if min(r.Windows[window], r.Windows[window+1], r.Windows[window+2]) >= recoveredShare {
			return max(0, time.Duration(window)*windowLength-end)
		}
	}
	return neverRecovered
}
