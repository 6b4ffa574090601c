package routing

import (
	"cmp"
	"slices"
	"time"
)

// median returns the median of values; 0 for no values.
func median[T ~int64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

// lowerQuartile returns the lower quartile of values; 0 for no values.
func lowerQuartile[T ~int64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/4]
}

// mean returns the mean of values; 0 for no values.
func mean(values []int64) (sum int64) {
	for _, v := range values {
		sum += v
	}
	return sum / int64(max(1, len(values)))
}

// positiveShare returns the share of samples that are above zero and were taken within a span before now. Fewer samples than
// atLeast count as that many.
func positiveShare(samples []sample, now, span time.Duration, atLeast int) float64 {
	n := 0.0
	for _, s := range samples {
		if s.at > now-span && s.value > 0 {
			n++
		}
	}
	return n / float64(max(atLeast, len(samples)))
}

// medianWithZeros returns the median of the nonZero values and a number of zeros.
func medianWithZeros[T ~int64](nonZero []T, zeros int) T {
	middle := (len(nonZero) + zeros) / 2
	if middle < zeros || len(nonZero) == 0 {
		return 0
	}
	slices.Sort(nonZero)
	return nonZero[middle-zeros]
}

// countSince counts the times that are less than a span before now. The times must be in order.
func (p *Policy) countSince(times []time.Duration, span time.Duration) (n float64) {
	for _, at := range slices.Backward(times) {
		if p.now-at >= span {
			break
		}
		n++
	}
	return n
}

// appendBounded appends a value to a list and keeps the newest n values.
func appendBounded[T any](list []T, v T, n int) []T {
	list = append(list, v)
	if len(list) > n {
		list = append(list[:0], list[len(list)-n:]...)
	}
	return list
}

// oneIfDifferent returns 0 for equal values, else 1.
func oneIfDifferent[T comparable](x, y T) int {
	if x == y {
		return 0
	}
	return 1
}

// bestFitting returns the least engine by order among those that fit, the first of several equal ones; nil if none fits.
func bestFitting(engines []*engine, fits func(*engine) bool, order func(x, y *engine) int) *engine {
	var found *engine
	for _, e := range engines {
		if fits(e) && (found == nil || order(e, found) < 0) {
			found = e
		}
	}
	return found
}

// findEngine returns the engine with an ID among engines in the order of IDs; nil if no engine has the ID.
func findEngine(engines []*engine, id string) *engine {
	i, found := slices.BinarySearchFunc(engines, id, func(e *engine, id string) int { return cmp.Compare(e.Engine, id) })
	if !found {
		return nil
	}
	return engines[i]
}

// leastBy returns the engines with the least cost, in the given order.
func leastBy[T cmp.Ordered](engines []*engine, cost func(*engine) T) (tied []*engine) {
	var least T
	for i, e := range engines {
		c := cost(e)
		switch {
		case i == 0 || c < least:
			least, tied = c, append(tied[:0], e)
		case c == least:
			tied = append(tied, e)
		}
	}
	return tied
}

// nextRotation advances the round robin and returns its position.
func (p *Policy) nextRotation() int {
	if p.rotation == 0 {
		p.rotation = int(p.random.next() * 1e6) // nodes that start together must not rotate in step
	}
	p.rotation++
	return p.rotation
}
