package emulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	bootstrapSamples = 2000
	bootstrapLow     = 25 // of 1000 samples
	bootstrapHigh    = 975
	recoveredShare   = 0.9 // of the value in time, for three windows
)

// neverRecovered is the recovery time of a run that did not recover.
const neverRecovered = time.Duration(-1)

// Comparison is the outcome of one arm, against the first.
type Comparison struct {
	Name         string
	Results      []Result
	Share        float64       // of the value in time, mean over seeds
	Difference   float64       // to the first arm, paired by seed
	Low, High    float64       // of the difference, 95 of 100 by bootstrap
	WorstWindow  float64       // share in time, mean over seeds
	RecoveryTime time.Duration // from the end of the last fault until three windows are good, median; -1 for never
	ByWindow     []float64     // share in time, mean over seeds
}

// Compare compares the arms with the first. Results are by arm and seed.
func (x *Experiment) Compare(results [][]Result) (comparisons []Comparison) {
	random := rand.New(rand.NewPCG(9, 9))
	for i, arm := range x.Arms {
		c := Comparison{Name: arm.Name, Results: results[i], ByWindow: meanByWindow(results[i])}
		var shares, differences, worst, recovery []float64
		for seed, r := range results[i] {
			shares = append(shares, r.Share)
			differences = append(differences, r.Share-results[0][seed].Share)
			worst = append(worst, slices.Min(r.Windows))
			recovery = append(recovery, float64(recoveryTime(arm.Scenario, r)))
		}
		c.Share, c.Difference, c.WorstWindow = stat.Mean(shares, nil), stat.Mean(differences, nil), stat.Mean(worst, nil)
		c.Low, c.High = bootstrapMean(differences, random)
		slices.Sort(recovery)
		c.RecoveryTime = time.Duration(recovery[len(recovery)/2])
		comparisons = append(comparisons, c)
	}
	return comparisons
}

func meanByWindow(results []Result) (means []float64) {
	for _, r := range results {
		for k, share := range r.Windows {
			if k >= len(means) {
				means = append(means, 0)
			}
			means[k] += share / float64(len(results))
		}
	}
	return means
}

// bootstrapMean is an interval of the mean of some values, by resampling.
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

// recoveryTime is how long after its last fault a run was good again.
func recoveryTime(s Scenario, r Result) time.Duration {
	end := time.Duration(0)
	for _, f := range s.Faults {
		end = max(end, f.At+f.Duration)
	}
	for k := int(end / windowLength); k+2 < len(r.Windows); k++ {
		if min(r.Windows[k], r.Windows[k+1], r.Windows[k+2]) >= recoveredShare {
			return max(0, time.Duration(k)*windowLength-end)
		}
	}
	return neverRecovered
}
