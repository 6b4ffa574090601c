package routing

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// median is 0 of no values.
func median[T ~int64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/2]
}

// lowerQuartile is 0 of no values.
func lowerQuartile[T ~int64](values []T) T {
	if len(values) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(values))[len(values)/4]
}

// mean is 0 of no values.
func mean(values []int64) (sum int64) {
	for _, v := range values {
		sum += v
	}
	return sum / int64(max(1, len(values)))
}

// shareAbove is the share of samples that came within a span before now and are above zero. Fewer samples
// than atLeast count as that many.
func shareAbove(samples []sample, now, span time.Duration, atLeast int) float64 {
	n := 0.0
	for _, s := range samples {
		if s.at > now-span && s.value > 0 {
			n++
		}
	}
	return n / float64(max(atLeast, len(samples)))
}

// countSince counts the times that are less than a span before now.
func (p *Policy) countSince(times []time.Duration, span time.Duration) (n float64) {
	for _, at := range times {
		if p.now-at < span {
			n++
		}
	}
	return n
}

// appendBounded keeps the newest n values of a list.
func appendBounded[T any](list []T, v T, n int) []T {
	list = append(list, v)
	if len(list) > n {
		list = append(list[:0], list[len(list)-n:]...)
	}
	return list
}

// differ is 0 for the same, else 1.
func differ[T comparable](x, y T) int {
	if x == y {
		return 0
	}
	return 1
}

// best is the first of the least engines by order among those that fit; nil if none fits.
func best(engines []*engine, fits func(*engine) bool, order func(x, y *engine) int) *engine {
	var found *engine
	for _, e := range engines {
		if fits(e) && (found == nil || order(e, found) < 0) {
			found = e
		}
	}
	return found
}

// find is the engine of an ID; nil if it is not among them.
func find(engines []*engine, id string) *engine {
	for _, e := range engines {
		if e.Engine == id {
			return e
		}
	}
	return nil
}

// roundRobin takes turns among the engines that tie for the least by order.
func (p *Policy) roundRobin(engines []*engine, order func(x, y *engine) int) *engine {
	least := slices.MinFunc(engines, order)
	var tied []*engine
	for _, e := range engines {
		if order(e, least) == 0 {
			tied = append(tied, e)
		}
	}
	if p.rotation == 0 {
		p.rotation = int(p.random.next() * 1e6) // nodes that start together must not rotate in step
	}
	p.rotation++
	return tied[p.rotation%len(tied)]
}

// randomSource is a sequence of random numbers that depends on nothing but its seed.
type randomSource struct{ seed, draws uint64 }

// next is the next number between 0 and 1.
func (r *randomSource) next() float64 {
	r.draws++
	return float64(hash(fmt.Sprint(r.seed, r.draws))>>11) / (1 << 53)
}

// hash mixes the sum once more: texts that differ only in their last letters share its upper bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// byHash sorts engines by a hash of ID and key, which is the same at all nodes.
func byHash(key string, engines []*engine) []*engine {
	sums := map[*engine]uint64{}
	for _, e := range engines {
		sums[e] = hash(key + e.Engine)
	}
	slices.SortFunc(engines, func(x, y *engine) int { return cmp.Compare(sums[x], sums[y]) })
	return engines
}
