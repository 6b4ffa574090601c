package routing

// Helpers without a decision: facts by name, chance, counting and sorting.

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// median is 0 of none.
func median(row []int64) int64 {
	if len(row) == 0 {
		return 0
	}
	row = slices.Sorted(slices.Values(row))
	return row[len(row)/2]
}

// mean is 0 of none.
func mean(row []int64) (sum int64) {
	for _, v := range row {
		sum += v
	}
	return sum / int64(max(1, len(row)))
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

// roundRobin takes turns, from a place of this node's own, among those that tie for the least.
func (b *Brain) roundRobin(row []*engine, order func(x, y *engine) int) *engine {
	least := slices.MinFunc(row, order)
	var tied []*engine
	for _, e := range row {
		if order(e, least) == 0 {
			tied = append(tied, e)
		}
	}
	if b.turn == 0 {
		b.turn = int(b.chance() * 1e6) // nodes that start together must not go the same round
	}
	b.turn++
	return tied[b.turn%len(tied)]
}

// hash mixes the sum once more: texts that differ only in their last letters share its upper bits.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}

// byHash sorts engines by a hash of id and key, the same at all nodes.
func byHash(key string, row []*engine) []*engine {
	sums := map[*engine]uint64{}
	for _, e := range row {
		sums[e] = hash(key + e.Engine)
	}
	slices.SortFunc(row, func(x, y *engine) int { return cmp.Compare(sums[x], sums[y]) })
	return row
}

// far is 0 within a cell, 1 within a zone, else 2.
func far(from, to *engine) int {
	if from == nil || to.Cell == from.Cell {
		return 0
	}
	return 1 + differ(to.Zone, from.Zone)
}

// since counts the times in a row that are less than a span ago.
func (b *Brain) since(row []int64, span int64) (n float64) {
	for _, at := range row {
		if b.now-at < span {
			n++
		}
	}
	return n
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
	if b.counted != nil {
		return b.counted
	}
	// One look-up for each send: with thousands open, these are most of a step's time.
	counts := map[string]*load{}
	for _, inf := range b.infs {
		for i := range inf.sends {
			s := &inf.sends[i]
			if !s.out {
				continue
			}
			l := counts[s.engine]
			if l == nil {
				l = &load{reportAt: b.engines[s.engine].reportAt}
				counts[s.engine] = l
			}
			if s.writes {
				l.streams++
				l.tokens += inf.Prompt
				if s.at > l.reportAt-reportDelay {
					l.unseen += inf.Prompt
				}
			} else {
				l.reads++
			}
			if !s.began {
				l.waits = append(l.waits, b.now-s.at)
			}
		}
	}
	loads := make(map[string]load, len(counts))
	for id, l := range counts {
		loads[id] = *l
	}
	b.counted = loads
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
func differ[T comparable](x, y T) int {
	if x == y {
		return 0
	}
	return 1
}

// keepList takes over what a list says. An engine that has started anew is cold, and all that it kept is
// gone.
func (b *Brain) keepList(news EngineNews) {
	seen := map[string]bool{}
	for _, n := range news.Engines {
		seen[n.Engine] = true
		e, known := b.engines[n.Engine]
		if !known {
			e = &engine{}
			b.engines[n.Engine] = e
		}
		if n.UpSince > e.UpSince {
			e.coldFrom, e.samples, e.paces, e.strikes, e.trial = n.UpSince, nil, nil, nil, false
			b.dropKept(n.Engine, b.now)
		}
		if n.Weight <= 0 {
			n.Weight = 1
		}
		e.EngineEntry, e.goneAt = n, 0
		role := b.word(fmt.Sprintf("engine_facts.role_of_kind.%d", n.Kind))
		e.reader, e.writer = role != "write", role != "read"
	}
	for id, e := range b.engines {
		if news.Whole && !seen[id] || e.Out {
			e.Ready = false
			b.dropKept(id, b.now)
			if e.goneAt == 0 {
				e.goneAt = b.now
			}
		}
	}
	loads := b.loads()
	maps.DeleteFunc(b.engines, func(id string, e *engine) bool { return b.departed(e, loads[id]) })
	b.ids = b.ids[:0]
	for id := range b.engines {
		b.ids = append(b.ids, id)
	}
	slices.Sort(b.ids)
}

// target is the time in which the first token is wanted.
func (b *Brain) target(inf *inference) float64 {
	per := b.num(fmt.Sprintf("engine_facts.target_per_1000_tokens.%d", inf.Route), 0)
	return b.num(b.route(inf, "first_token_target"), 1e9) + per*inf.Prompt/1000
}

func (b *Brain) hear(text string) {
	var session, reader, writer string
	var tokens float64
	_, err := fmt.Sscanf(text, "kept %q %q %q %f", &session, &reader, &writer, &tokens)
	if err != nil || b.engines[reader] == nil {
		return // of another version, or of an engine that this node does not know
	}
	b.pairs[session] = pair{reader, writer, b.now}
	b.kept[keptKey{true, session, reader}] = kept{tokens, b.now}
}

// learnReport keeps an engine's load as it counts all nodes' sends: thousands of tokens to read, else
// inferences.
func (b *Brain) learnReport(e *engine, report map[string]float64) {
	if e == nil || len(report) == 0 {
		return
	}
	e.memory, e.reportAt, b.counted = report["memory_share"], b.now, nil
	if lag, ok := report["recent_lag_ms"]; ok {
		e.samples = last(e.samples, sample{b.now, int64(lag * float64(time.Millisecond))}, 64)
	}
	e.waits = report["open"]
	if w, ok := report["waiting_thousand_tokens"]; ok {
		e.waits = w
	}
}

// those are the inferences that fit, in order of their ids.
func (b *Brain) those(fit func(*inference) bool) []*inference {
	var row []*inference
	for _, inf := range b.infs {
		if fit(inf) {
			row = append(row, inf)
		}
	}
	slices.SortFunc(row, func(x, y *inference) int { return cmp.Compare(x.Inf, y.Inf) })
	return row
}

// valueShare is a route's value over that of the highest.
func (b *Brain) valueShare(inf *inference) float64 {
	most := 1e-9
	for i := range int(b.num("routes.count", 0)) {
		most = max(most, b.num(fmt.Sprintf("routes.%d.value", i), 1))
	}
	return b.num(b.route(inf, "value"), 1) / most
}

// heldFor is how long the states that wait here for a writer have waited.
func (b *Brain) heldFor() (waits []int64) {
	for _, inf := range b.infs {
		if inf.state == held {
			waits = append(waits, b.now-inf.freeAt)
		}
	}
	return waits
}

// quartile is the lower one, 0 of none.
func quartile(row []int64) int64 {
	if len(row) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(row))[len(row)/4]
}

// over is the share of a row within a span that was over its line; a row of few counts as one of that many.
func (b *Brain) over(row []sample, span time.Duration, few int) float64 {
	n := 0.0
	for _, s := range row {
		if s.at > b.now-int64(span) && s.lag > 0 {
			n++
		}
	}
	return n / float64(max(few, len(row)))
}

// meanWaits is the mean reported load of the readers that reported within a span.
func (b *Brain) meanWaits(span time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, id := range b.ids {
		if e := b.engines[id]; e.reader && b.now-e.reportAt < int64(span) {
			sum, n = sum+e.waits, n+1
		}
	}
	return sum / max(1, n)
}

// answered takes an engine off those that were asked, and says whether it was the last.
func (inf *inference) answered(engine string) bool {
	i := slices.Index(inf.asked, engine)
	if i >= 0 {
		inf.asked = slices.Delete(inf.asked, i, i+1)
	}
	return i >= 0 && len(inf.asked) == 0
}
