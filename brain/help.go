package brain

// Helpers without a decision: facts by name, chance, counting and sorting.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
)

// median is 0 of none; it sorts the row.
func median(row []int64) int64 {
	if len(row) == 0 {
		return 0
	}
	slices.Sort(row)
	return row[len(row)/2]
}

// best is the first of the least by order among those that fit.
func best(row []*engine, fits func(*engine) bool, order func(x, y *engine) int) *engine {
	var found *engine
	for _, e := range row {
		if fits(e) && (found == nil || order(e, found) < 0) {
			found = e
		}
	}
	return found
}

// roundRobin takes turns, in an order of this instance's own, among those that tie for the least.
func (b *Brain) roundRobin(row []*engine, order func(x, y *engine) int) *engine {
	least := slices.MinFunc(row, order)
	var tied []*engine
	for _, e := range row {
		if order(e, least) == 0 {
			tied = append(tied, e)
		}
	}
	return tied[int(b.chance()*float64(len(tied)))]
}

// hash mixes the sum once more: texts that differ only in their last letters share its upper bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// byHash orders engines by key and id, the same at all nodes.
func byHash(key string) func(x, y *engine) int {
	return func(x, y *engine) int { return cmp.Compare(hash(x.Engine+key), hash(y.Engine+key)) }
}

// chance is the next number of this instance between 0 and 1.
func (b *Brain) chance() float64 {
	b.draws++
	return float64(hash(fmt.Sprint(b.seed, b.draws))>>11) / (1 << 53)
}

func (b *Brain) route(inf *inference, name string) string {
	return fmt.Sprintf("routes.%d.%s", inf.Route, name)
}

func (b *Brain) num(name string, absent float64) float64 {
	if v, ok := b.facts[name].(float64); ok {
		return v
	}
	return absent
}

func (b *Brain) word(name string) string { v, _ := b.facts[name].(string); return v }

func (b *Brain) flag(name string) bool { v, _ := b.facts[name].(bool); return v }

func is(s ...state) []state { return s }

func in(i ...input) []input { return i }

func (b *Brain) arm(inf *inference, in input, after int64) {
	b.token++
	b.timers[b.token] = timer{inf.Inf, in}
	b.effects = append(b.effects, ArmTimer{b.token, after})
}

func (inf *inference) isOut() bool {
	return slices.ContainsFunc(inf.sends, func(s send) bool { return s.out })
}

// forget drops an inference that has ended and has nothing out.
func (b *Brain) forget(inf *inference) {
	if inf.state == ended && !inf.isOut() {
		delete(b.infs, inf.Inf)
	}
}

// loads counts what this node has open at each engine.
func (b *Brain) loads() map[string]load {
	loads := map[string]load{}
	for _, inf := range b.infs {
		for _, s := range inf.sends {
			if s.out {
				l := loads[s.engine]
				if s.writes {
					l.streams++
					l.tokens += inf.Prompt
					if s.at > b.engines[s.engine].reportAt-reportDelay {
						l.unseen += inf.Prompt
					}
				} else {
					l.reads++
				}
				if !s.began {
					l.waits = append(l.waits, b.now-s.at)
				}
				loads[s.engine] = l
			}
		}
	}
	return loads
}

// dropKept forgets what a reader was known to keep before a time.
func (b *Brain) dropKept(reader string, before int64) {
	for k, v := range b.kept {
		if k.reader == reader && v.at < before {
			delete(b.kept, k)
		}
	}
}

// differ is 0 for the same, else 1.
func differ(x, y int) int {
	if x == y {
		return 0
	}
	return 1
}
