package routing

import (
	"cmp"
	"slices"
	"strconv"
)

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffset = uint64(14695981039346656037)
	fnvPrime  = uint64(1099511628211)
)

// fnvHash is the running FNV-1a hash of a text.
type fnvHash uint64

// add continues the hash with a text.
func (h fnvHash) add(text string) fnvHash {
	for i := range len(text) {
		h = (h ^ fnvHash(text[i])) * fnvHash(fnvPrime)
	}
	return h
}

// addNumber continues the hash with the digits of a number.
func (h fnvHash) addNumber(n uint64) fnvHash {
	var digits [20]byte
	for _, digit := range strconv.AppendUint(digits[:0], n, 10) {
		h = (h ^ fnvHash(digit)) * fnvHash(fnvPrime)
	}
	return h
}

// sum returns the hash after a final mixing step, without which texts that differ only in their last letters would share the
// upper bits.
func (h fnvHash) sum() uint64 {
	x := uint64(h)
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// hash returns the hash of a text, which is the same at all nodes.
func hash(text string) uint64 { return fnvHash(fnvOffset).add(text).sum() }

// randomSource is a sequence of pseudo-random numbers that depends on its seed alone.
type randomSource struct {
	seeded fnvHash
	draws  uint64
}

func newRandomSource(seed uint64) randomSource {
	return randomSource{seeded: fnvHash(fnvOffset).addNumber(seed).add(" ")}
}

// next returns the next number, at least 0 and less than 1.
func (r *randomSource) next() float64 {
	r.draws++
	return float64(r.seeded.addNumber(r.draws).sum()>>11) / (1 << 53)
}

// skip skips count numbers of the sequence.
func (r *randomSource) skip(count int) { r.draws += uint64(count) }

// hashedEngine is an engine with the hash of a key and the engine's ID.
type hashedEngine struct {
	*engine
	sum uint64
}

// byHash orders engines by their hashes.
func byHash(x, y hashedEngine) int { return cmp.Compare(x.sum, y.sum) }

// hashEngines returns engines with their hashes of key and ID, which are the same at all nodes.
func hashEngines(key string, engines []*engine) []hashedEngine {
	keyed := fnvHash(fnvOffset).add(key)
	hashed := make([]hashedEngine, len(engines))
	for i, e := range engines {
		hashed[i] = hashedEngine{e, keyed.add(e.Engine).sum()}
	}
	return hashed
}

// firstByHash returns the first count engines in the order of their hashes of key and ID (rendezvous hashing); all engines
// in that order if there are no more.
func firstByHash(key string, engines []*engine, count int) []*engine {
	hashed := hashEngines(key, engines)
	first := selectLeastHashes(hashed, min(count, len(hashed)))
	slices.SortFunc(first, byHash)
	sorted := make([]*engine, len(first))
	for i, e := range first {
		sorted[i] = e.engine
	}
	return sorted
}

// selectLeastHashes moves the count engines with the least hashes to the front, in any order, and returns them. It uses
// Hoare's selection algorithm, linear on average as hashes are evenly distributed.
func selectLeastHashes(engines []hashedEngine, count int) []hashedEngine {
	from, to := 0, len(engines) // engines before index from are among the least, those from index to on are not
	for count > from && count < to {
		pivot := engines[(from+to)/2].sum
		i, j := from, to-1
		for i <= j {
			for engines[i].sum < pivot {
				i++
			}
			for engines[j].sum > pivot {
				j--
			}
			if i <= j {
				engines[i], engines[j] = engines[j], engines[i]
				i++
				j--
			}
		}
		switch {
		case count <= j+1:
			to = j + 1
		case count >= i:
			from = i
		default:
			return engines[:count]
		}
	}
	return engines[:count]
}
