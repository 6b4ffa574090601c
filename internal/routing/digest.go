package routing

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Digest writes all that a later step may hang on, in an order of its own and with times as they lie from
// now, so that two brains that will act alike write the same. It is for explorers and decides nothing.
func (b *Brain) Digest(w io.Writer) {
	ago := func(row []int64) (out []int64) {
		for _, at := range row {
			out = append(out, b.now-at)
		}
		return out
	}
	samples := func(row []sample) (out []int64) {
		for _, s := range row {
			out = append(out, b.now-s.at, s.lag)
		}
		return out
	}
	fmt.Fprintln(w, b.draws, b.turn, b.now-b.firstAt, b.prefixes, b.paces, b.found, samples(b.expects), samples(b.firsts))
	for _, id := range b.ids {
		e := b.engines[id]
		fmt.Fprintln(w, e.EngineEntry, ago(e.sent), ago(e.did), samples(e.samples), e.paces, ago(e.strikes), e.trial,
			b.now-e.coldFrom, max(0, e.fullUntil-b.now), e.memory, b.now-e.reportAt, e.waits, b.now-e.askedAt, min(e.goneAt, 1)*(b.now-e.goneAt),
			b.now-e.heardAt, b.now-e.silentAt, b.now-e.goodAt)
	}
	for _, id := range slices.Sorted(maps.Keys(b.infs)) {
		inf := b.infs[id]
		fmt.Fprintln(w, id, inf.state, b.now-inf.at, inf.reader, inf.writer, b.now-inf.freeAt, inf.wakeSet, inf.asked)
		for _, s := range inf.sends {
			at := s
			at.at = b.now - s.at
			fmt.Fprintln(w, at)
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(b.kept), func(x, y keptKey) int {
		return cmp.Or(cmp.Compare(x.key, y.key), cmp.Compare(x.reader, y.reader))
	}) {
		fmt.Fprintln(w, k, b.kept[k].tokens, b.now-b.kept[k].at)
	}
	for _, s := range slices.Sorted(maps.Keys(b.pairs)) {
		fmt.Fprintln(w, s, b.pairs[s].reader, b.pairs[s].writer, b.now-b.pairs[s].at)
	}
}

// TimerOf says what a token stands for: an inference and an input, or nothing any more.
func (b *Brain) TimerOf(token int64) string {
	t, ok := b.timers[token]
	if !ok || t.inf >= 0 && b.infs[t.inf] == nil {
		return ""
	}
	return fmt.Sprint(t.inf, "/", t.input)
}

// Took is which rows of the table were taken so far, a bit each.
func (b *Brain) Took() uint64 { return b.took }

// Rows names the rows of the table.
func Rows() []string {
	names := make([]string, len(table))
	for i, r := range table {
		names[i] = fmt.Sprintf("brain row %d: states %v, inputs %v, next %d", i+1, r.from, r.inputs, r.next)
	}
	return names
}
