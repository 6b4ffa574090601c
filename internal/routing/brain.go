package routing

// How to call it: New makes one node's brain from a seed and the deployment's facts; Step takes one input and
// the time and returns the effects in order. The interface stands in api.go, plain data in state.go; every
// decision is in this file. Read it from the table down: a state and an input give the next state and an
// effect; an effect may feed a further input, until none is left.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// table lists, for the states in the first column, what an input leads to: the next state and the effect.
var table = []rule{
	{is(taken), in(arrive), asking, (*Brain).askEngines},
	{is(asking), in(told), taken, (*Brain).chooseReader},
	{is(taken), in(wake), taken, (*Brain).chooseReader},
	{is(taken), in(chosen), taken, (*Brain).admit},
	{is(taken), in(admitted), reading, (*Brain).sendToReader},
	{is(taken, reading), in(noReader, noWriter), taken, (*Brain).wait},
	{is(reading), in(readLost, notWritten, mayHaveRun, stateGone), taken, (*Brain).chooseReader},
	{is(reading), in(readDone), held, (*Brain).askWriters},
	{is(held), in(told, wake), writing, (*Brain).sendToWriter},
	{is(writing), in(notWritten, mayHaveRun), writing, (*Brain).sendToWriter},
	{is(writing), in(noWriter), held, (*Brain).wait},
	{is(writing), in(stateGone), taken, (*Brain).chooseReader},
	{is(reading, writing), in(firstToken), streaming, nil}, // a mixed engine answers what it reads
	{is(reading), in(tooLate), reading, (*Brain).dropLate},
	{is(reading), in(unheard), reading, (*Brain).askSilent},
	{is(writing), in(unheard), writing, (*Brain).askSilent},
	{is(reading), in(overtaken, silent), reading, (*Brain).withdraw},
	{is(writing), in(overtaken, silent), writing, (*Brain).withdraw},
	{open, in(timeUp, spent, hopeless), ended, (*Brain).giveUp},
	{all, in(clientGone, over), ended, (*Brain).letGo},
	// What comes after the end still lets go of what is held.
	{is(ended), in(readDone, readLost, notWritten, stateGone, mayHaveRun), ended, (*Brain).letGo},
}

func (b *Brain) drive(inf *inference, happens input) {
	for happens != nothing {
		i := slices.IndexFunc(table, func(r rule) bool {
			return slices.Contains(r.from, inf.state) && slices.Contains(r.inputs, happens)
		})
		if i < 0 {
			return
		}
		inf.state, happens = table[i].next, nothing
		b.took |= 1 << i
		if table[i].effect != nil {
			happens = table[i].effect(b, inf)
		}
	}
}

// takeFirst notes who serves the session, how long the wait was, and how far over the target it came.
func (b *Brain) takeFirst(inf *inference, in FirstToken) {
	inf.sends[in.Send].began, b.counted = true, nil
	b.learnLag(b.engines[in.Engine], in.Lag, inf.sends[in.Send].at)
	b.pairs[inf.Session] = pair{inf.reader, in.Engine, b.now}
	b.tell(inf)
	b.firsts = last(b.firsts, sample{b.now, b.now - inf.at - int64(b.target(inf))}, 32)
	b.drive(inf, firstToken)
}

// takeOutcome sorts an outcome into the table's inputs.
func (b *Brain) takeOutcome(o Outcome) {
	inf := b.infs[o.Inf]
	if inf == nil || o.Send < 0 || o.Send >= len(inf.sends) || !inf.sends[o.Send].out {
		if o.Verdict == ReadDone {
			b.effects = append(b.effects, Discard{o.Inf}) // came after all was forgotten
		}
		return
	}
	s := &inf.sends[o.Send]
	s.out, b.counted = false, nil
	// What never reached a writer has not begun to fetch: the reader has held the state all the while.
	if !s.writes || !s.withdrawn && o.Verdict != NotConnected && o.Verdict != NotSent {
		inf.freeAt = b.now
	}
	b.learnReport(b.engines[o.Engine], o.Report)
	s.kept = o.Verdict == ReadDone
	s.neverRan = !s.writes || o.Verdict == Full || o.Verdict == NotConnected || o.Verdict == NotSent
	b.learnOutcome(inf, s, o)
	happens := over
	switch {
	case o.Ended:
	case o.Verdict == ReadDone:
		happens = readDone
	case !s.writes:
		happens = readLost
	case o.Verdict == Full && o.Note == 1:
		happens = stateGone
	case s.neverRan:
		happens = notWritten
	default:
		happens = mayHaveRun
	}
	b.drive(inf, happens)
	b.forget(inf)
}

// ---- gates: every send and every final answer passes one of these, which check the rules

// gate sends to an engine if the rules allow it, else says what stands against it.
func (b *Brain) gate(inf *inference, e *engine) input {
	switch {
	case len(inf.sends) >= int(b.num("limits.sends", 1)) || !b.mayRepeat(inf, e):
		return spent
	case b.now >= inf.GiveUpAt-b.margin():
		return spent
	case inf.isOut(), !e.Ready, !b.coldRoom(e):
		return noWriter
	}
	e.sent, b.counted = last(e.sent, b.now, 64), nil
	inf.sends = append(inf.sends, send{engine: e.Engine, at: b.now, writes: e.writer, out: true})
	if b.fresh(e) {
		inf.sends[len(inf.sends)-1].waits = 1 + e.waits
	}
	b.effects = append(b.effects, Send{Inf: inf.Inf, Engine: e.Engine})
	b.arm(inf, unheard, b.quietFor(inf))
	return nothing
}

// mayRepeat keeps an effect from happening twice: what may have run goes out again only as its route allows.
// Reads have no effect.
func (b *Brain) mayRepeat(inf *inference, e *engine) bool {
	effect := b.word(b.route(inf, "effect"))
	if effect == "retriable" {
		return true
	}
	for _, s := range inf.sends {
		if s.neverRan || !s.writes {
			continue
		}
		if effect != "deduped" || b.now-s.at >= int64(b.num(b.route(inf, "dedup_window"), 0)) {
			return false
		}
		first, group := b.engines[s.engine], b.word(b.route(inf, "dedup_group"))
		near := first != nil && (group == "zone" && first.Zone == e.Zone || group == "cell" && first.Cell == e.Cell)
		if e.writer && group != "all" && !near {
			return false
		}
	}
	return true
}

// giveUp is the gate of final answers: shed where that is true, else errored. What is held or out goes too.
func (b *Brain) giveUp(inf *inference) input {
	effect := b.word(b.route(inf, "effect"))
	mayShed := effect == "retriable" || effect == "deduped" && b.word(b.route(inf, "dedup_group")) == "all"
	// A stream that returned after a break has run before, under another id. A send that is out is not known
	// not to have run, at a reader neither.
	ran := inf.Resumed || slices.ContainsFunc(inf.sends, func(s send) bool { return s.out || !s.neverRan })
	if mayShed || !ran {
		var comeBack int64
		if b.flag("limits.retry_after") {
			// Half a second: longer than a jam of a few reads, shorter than most clients' patience.
			comeBack = min(int64(500*time.Millisecond), int64(b.num("limits.max_retry_after", 0)))
		}
		b.effects = append(b.effects, Shed{inf.Inf, comeBack})
	} else {
		b.effects = append(b.effects, Fail{inf.Inf})
	}
	return b.letGo(inf)
}

// letGo withdraws what is out and discards what is held. A read that still ends is discarded when it does.
func (b *Brain) letGo(inf *inference) input {
	for i, s := range inf.sends {
		if s.out && !s.began && b.flag("limits.cancel") {
			b.effects = append(b.effects, Withdraw{inf.Inf, i})
		}
	}
	b.effects = append(b.effects, Discard{inf.Inf})
	return nothing
}

// 30 ms: a few writer steps, so a freed slot is not left idle for long.
const waitStep = int64(30 * time.Millisecond)

// wait tries again a little later; a held state is sent on before its time is up.
func (b *Brain) wait(inf *inference) input {
	if !inf.wakeSet {
		inf.wakeSet = true
		b.arm(inf, wake, waitStep)
	}
	return nothing
}

// margin is how long before the client gives up the answer must go: timer and answer may each wait a tick.
func (b *Brain) margin() int64 { return 3 * int64(b.num("tick", float64(time.Millisecond))) }

// ---- shedding

const lately, few = 4 * time.Second, 32 // a jam lasts longer, and a few late ones make none

// admit sheds at once what would not be in time: queues that only grow leave everybody late and never clear,
// whatever filled them: too much traffic, engines lost, slow or forgetful. It harms where lags are high but
// harmless. Streams that return after a break are always taken.
func (b *Brain) admit(inf *inference) input {
	loads := b.loads()
	reader := b.engines[inf.reader]
	writers := b.usable(inf, loads, func(e *engine) bool { return e.writer })
	if len(writers) == 0 || inf.Resumed {
		return admitted
	}
	value, least := b.valueShare(inf), math.Inf(1)
	var lags []int64
	for _, e := range writers {
		lag, _ := b.lag(e, loads[e.Engine])
		lags = append(lags, lag)
		if b.fresh(e) {
			least = min(least, e.memory)
		}
	}
	// Where all writers heard of are out of memory, states queue: those of least value go first.
	if !math.IsInf(least, 1) && least > 0.9+0.1*value {
		return hopeless
	}
	lag, _ := b.lag(reader, loads[reader.Engine])
	// States that wait here for a writer tell more than any lag.
	expected := float64(b.now - inf.at + median(b.heldFor()) + lag + median(lags))
	// Lags are late news and swing, so the line lies under the target: at 0.8 of it for the route of highest
	// value, nearer to 0.4 the less a route is worth. What came late of late tells what lags do not, and in a
	// lasting jam, of first tokens or of lags, what must be read in full feeds the jam.
	unread := 1 - b.overlap(inf, reader)/max(inf.Prompt, 1)
	b.expects = last(b.expects, sample{b.now, int64(expected - 0.25*b.target(inf))}, 48)
	late, jam := b.over(b.firsts, lately, few), b.over(b.expects, lately, few)
	line := (0.4 + 0.4*value) * (1 - late*(0.4+0.6*unread)) * (1 - 0.6*jam*unread)
	if expected > line*b.target(inf) {
		return hopeless
	}
	return admitted
}

// dropLate sheds a read that has not ended by its target, where that may be said with a send out: in a jam it
// takes the place of one that could be in time.
func (b *Brain) dropLate(inf *inference) input {
	if b.word(b.route(inf, "effect")) == "retriable" && !inf.Resumed && b.over(b.firsts, lately, few) > 0.2 {
		return hopeless
	}
	return nothing
}

// lag is how long sends wait at an engine now, and whether that is known: the least seen of late, as heavy
// sends need long anywhere, or what its report makes of it, or what is out where that has waited longer.
func (b *Brain) lag(e *engine, l load) (int64, bool) {
	seen, least := false, int64(math.MaxInt64)
	for _, s := range e.samples[max(0, len(e.samples)-8):] {
		// 2 s: about the time that a queue takes to change; less where nothing waits there, so none is.
		if age := b.now - s.at; age < freshFor || len(l.waits) > 0 && age < int64(2*time.Second) {
			seen, least = true, min(least, s.lag)
		}
	}
	if !seen && e.reader && b.now-e.reportAt < freshFor {
		seen, least = true, int64(float64(quartile(b.paces))*(1+e.waits))
	}
	if !seen {
		least = 0
	}
	return max(least, median(l.waits)), seen || len(l.waits) > 0
}

// ---- readers

func (b *Brain) sendToReader(inf *inference) input { return b.gate(inf, b.engines[inf.reader]) }

func (b *Brain) chooseReader(inf *inference) input {
	e := b.pickReader(inf, b.loads())
	if e == nil || b.hasty(inf, e) {
		return noReader
	}
	inf.reader = e.Engine
	return chosen
}

// margin is the design's starting value; 1.5 and 3 did no better.
const margin = 0.75

// pickReader is the design's ladder: the session's pair, overlap under the cap, hash, least load.
func (b *Brain) pickReader(inf *inference, loads map[string]load) *engine {
	ready := b.usable(inf, loads, func(e *engine) bool { return e.reader })
	if len(ready) == 0 {
		return nil
	}
	pinned := b.pairOf(inf).reader
	if i := slices.IndexFunc(ready, func(e *engine) bool { return e.Engine == pinned }); i >= 0 {
		return ready[i]
	}
	capacity := func(e *engine) float64 { return b.capacity(inf, e, loads[e.Engine]) }
	total, weights := 1.0, 0.0
	for _, e := range ready {
		total += float64(loads[e.Engine].reads)
		weights += capacity(e)
	}
	load := func(e *engine) int { return loads[e.Engine].reads }
	away := func(e *engine) int { return differ(e.Zone, int(b.num("zone", 0))) } // crossing zones costs
	under := func(e *engine) bool {
		return float64(load(e)) < math.Ceil((1+margin)*total*capacity(e)/weights)
	}
	least := func(x, y *engine) int { return cmp.Or(load(x)-load(y), away(x)-away(y)) }
	overlap := func(e *engine) float64 { return b.overlap(inf, e) }
	// A node that no other tells does not know a session's earlier reader. Then a session unknown here goes to
	// its home, or its second one where the first is over the cap, also by its report, or silent.
	homes := b.homes(inf, ready)
	calm := func(e *engine) bool { return under(e) && b.calm(inf, e) }
	if e := best(homes, calm, func(x, y *engine) int { return b.nearer(inf, homes, x, y) }); e != nil {
		return e
	}
	// A cold reader that has a place is idle, which a crowded home is not.
	if i := slices.IndexFunc(ready, b.cold); i >= 0 && len(homes) > 0 {
		return ready[i]
	}
	if i := slices.IndexFunc(homes, under); i >= 0 {
		return homes[i]
	}
	some := func(e *engine) bool { return overlap(e) > 0 }
	most := func(x, y *engine) int { return cmp.Or(-cmp.Compare(overlap(x), overlap(y)), least(x, y)) }
	both := func(e *engine) bool { return under(e) && some(e) }
	if e := best(byHash(inf.Session, ready), both, most); e != nil {
		return e
	}
	if !slices.ContainsFunc(ready, some) {
		if e := byHash(cmp.Or(inf.Prefix, inf.Session), ready)[0]; under(e) {
			return e
		}
	}
	return cmp.Or(best(ready, under, least), best(ready, some, least), b.roundRobin(ready, least))
}

// homes are the two first readers, the same at all nodes, that a session hashes to among those that keep its
// shared beginning: two, as copies take memory that sessions need, or so many that none reads more than two
// thirds of a reader's fair share for it. There are none where the session is known here or others tell.
func (b *Brain) homes(inf *inference, ready []*engine) []*engine {
	known := func(e *engine) bool { return b.kept[keptKey{true, inf.Session, e.Engine}].tokens > 0 }
	if b.num("nodes", 1) < 2 || b.tells() || slices.ContainsFunc(ready, known) {
		return nil
	}
	homes := slices.Clone(ready)
	if inf.Prefix != "" {
		seen := -1 // this one tells nothing of how many there are
		for _, p := range b.prefixes {
			seen += 1 - differ(p, inf.Prefix)
		}
		n := max(2, int(math.Ceil(1.5*float64(seen*len(ready))/float64(len(b.prefixes)))))
		homes = byHash(inf.Prefix, homes)[:min(n, len(homes))]
	}
	homes = byHash(inf.Session, homes)
	return homes[:min(2, len(homes))]
}

// nearer compares two homes by how much must be read until the inference is, in thousands of tokens: what
// waits there by its report, and what of the prompt it is not thought to keep. A home keeps the shared
// beginning. Only the first may keep what follows, of which as much is counted as was found of late. Where
// a report is not fresh the first home stays first.
func (b *Brain) nearer(inf *inference, homes []*engine, x, y *engine) int {
	if !b.fresh(x) || !b.fresh(y) {
		return 0
	}
	work := func(e *engine) float64 {
		keeps := min(inf.PrefixTokens, inf.Prompt)
		if e == homes[0] {
			keeps += float64(mean(b.found)) / 1e6 * (inf.Prompt - keeps)
		}
		return e.waits + (inf.Prompt-keeps)/1000
	}
	return cmp.Compare(work(x), work(y))
}

// calm is whether an engine answers, and its reported load makes a wait shorter than a full read elsewhere,
// or is under the cap over the readers heard of in 10 s.
func (b *Brain) calm(inf *inference, e *engine) bool {
	if e.askedAt > e.heardAt || e.silentAt > max(e.reportAt, b.now-int64(5*time.Second)) {
		return false
	}
	lag, _ := b.lag(e, load{})
	return float64(lag) < b.target(inf)/2 || e.waits <= (1+margin)*b.meanWaits(10*time.Second)
}

// pairOf is where the session was served last, if that is not too long ago.
func (b *Brain) pairOf(inf *inference) pair {
	// 30 s: the design's starting value.
	if p, ok := b.pairs[inf.Session]; ok && inf.Session != "" && b.now-p.at < int64(30*time.Second) {
		return p
	}
	return pair{}
}

// capacity is the weight that the operator gives. What other nodes load, and what is slow, shows only as lag,
// so past a fifth of the target, which calm sends stay under, it falls as lag grows.
func (b *Brain) capacity(inf *inference, e *engine, l load) float64 {
	lag, _ := b.lag(e, l)
	return e.Weight / max(1, 5*float64(lag)/b.target(inf))
}

// overlap is how much of the prompt a reader is thought to keep; under a fifth counts as none.
func (b *Brain) overlap(inf *inference, e *engine) float64 {
	// Five minutes: engines keep texts until memory runs out, which no node sees; kept counts correct the rest.
	const age = int64(5 * time.Minute)
	most := 0.0
	for _, k := range []keptKey{{true, inf.Session, e.Engine}, {false, inf.Prefix, e.Engine}} {
		if v, ok := b.kept[k]; ok && k.key != "" && b.now-v.at < age {
			n := v.tokens
			if !k.session {
				n = min(n, inf.PrefixTokens)
			}
			most = max(most, min(n, inf.Prompt))
		}
	}
	if most < 0.2*inf.Prompt {
		return 0
	}
	return most
}

// learnKept notes after a read what the reader keeps now. A shared beginning that should have been kept and
// was not tells a reader that has forgotten: all else remembered of it is dropped too.
func (b *Brain) learnKept(inf *inference, reader string, keptTokens float64) {
	prefix := keptKey{false, inf.Prefix, reader}
	if v, ok := b.kept[prefix]; ok && inf.Prefix != "" && keptTokens < 0.5*min(v.tokens, inf.PrefixTokens) {
		b.dropKept(reader, inf.at)
	}
	if rest := inf.Prompt - inf.PrefixTokens; rest > 0 {
		b.found = last(b.found, int64(1e6*max(0, keptTokens-inf.PrefixTokens)/rest), 64)
	}
	b.kept[keptKey{true, inf.Session, reader}] = kept{inf.Prompt, b.now}
	if inf.Prefix != "" {
		b.kept[prefix] = kept{inf.PrefixTokens, b.now}
	}
	b.bound()
}

// bound keeps what is remembered to 20,000 entries of a kind, a few megabytes; then what is older than a
// minute goes.
func (b *Brain) bound() {
	if len(b.kept) > 20000 {
		maps.DeleteFunc(b.kept, func(_ keptKey, v kept) bool { return b.now-v.at > int64(time.Minute) })
	}
	if len(b.pairs) > 20000 {
		maps.DeleteFunc(b.pairs, func(_ string, p pair) bool { return b.now-p.at > int64(time.Minute) })
	}
}

// tells is whether other nodes are told where a session's text is kept: where that is allowed, and a word to
// all costs no more than 0.005 of the value, about what a text found again saves.
func (b *Brain) tells() bool {
	others := b.num("nodes", 1) - 1
	return b.flag("limits.peers") && others > 0 && b.num("prices.peer", 0)*others*100/256 < 0.005
}

// tell lets the other nodes know where a session was served: a front spreads its turns over all nodes. Lost
// messages cost one read in full.
func (b *Brain) tell(inf *inference) {
	if b.tells() {
		text := fmt.Sprintf("kept %q %q %q %.0f", inf.Session, inf.reader, inf.writer, inf.Prompt)
		b.effects = append(b.effects, Tell{-1, text})
	}
}

// freshFor is how long news of an engine stands: queues turn over, and reports are renewed, in that time.
const freshFor = int64(700 * time.Millisecond)

// fresh is whether an engine's load is known; a cold one that has a place has hardly any.
func (b *Brain) fresh(e *engine) bool { return b.now-e.reportAt < freshFor || b.cold(e) }

// askEngines asks homes and some writers for their load, which a node among many cannot know.
func (b *Brain) askEngines(inf *inference) input {
	b.prefixes = last(b.prefixes, inf.Prefix, 64)
	homes := b.homes(inf, b.usable(inf, b.loads(), func(e *engine) bool { return e.reader }))
	if len(homes) > 0 {
		inf.reader = homes[0].Engine
	}
	return b.ask(inf, append(homes, b.someWriters(inf)...))
}

func (b *Brain) askWriters(inf *inference) input { return b.ask(inf, b.someWriters(inf)) }

// someWriters are two of those that tie for fewest own streams and are nearest to the reader, and one from
// farther off in case these are full; none if news at hand will do.
func (b *Brain) someWriters(inf *inference) []*engine {
	tied, from, mix := b.fewestStreams(inf), b.engines[inf.reader], map[*engine]float64{}
	for _, e := range tied {
		mix[e] = float64(far(from, e)) + b.chance()
	}
	slices.SortFunc(tied, func(x, y *engine) int { return cmp.Compare(mix[x], mix[y]) })
	nearest := func(e *engine) bool { return far(from, e) == far(from, tied[0]) }
	will := func(e *engine) bool { return nearest(e) && b.fresh(e) && e.memory < roomy }
	if len(tied) < 2 || slices.ContainsFunc(tied, will) {
		return nil
	}
	other := slices.IndexFunc(tied, func(e *engine) bool { return !nearest(e) })
	return append(tied[:2:2], tied[max(1, other)])
}

// ask probes those of whom nothing was heard of late; a probe to a cold engine would count as work.
func (b *Brain) ask(inf *inference, engines []*engine) input {
	inf.asked = inf.asked[:0]
	for _, e := range engines {
		unknown := b.now-e.heardAt >= freshFor && !b.fresh(e)
		if b.flag("limits.probes") && unknown && !slices.Contains(inf.asked, e.Engine) {
			b.probe(e)
			inf.asked = append(inf.asked, e.Engine)
		}
	}
	if len(inf.asked) == 0 {
		return told
	}
	// 50 ms: several times what an engine needs that is not in trouble.
	b.arm(inf, told, int64(50*time.Millisecond))
	return nothing
}

// takeAnswer notes what an engine says of itself; one that says nothing is in trouble.
func (b *Brain) takeAnswer(p ProbeResult) {
	e := b.engines[p.Engine]
	if e == nil {
		return
	}
	e.heardAt = b.now
	switch p.Verdict {
	case Completed:
		b.learnReport(e, p.Report)
	case NotSent: // for a want of this machine: it says nothing of the engine
	default:
		e.silentAt = b.now
	}
	for _, inf := range b.those(func(inf *inference) bool { return inf.answered(p.Engine) }) {
		b.drive(inf, told)
		b.forget(inf)
	}
	// Busy engines say so; one that says nothing has not taken what was written to it before either.
	if p.Verdict != TimedOut && p.Verdict != NotConnected && p.Verdict != ConnectionLost {
		return
	}
	for _, inf := range b.those(func(inf *inference) bool {
		n := len(inf.sends) - 1
		return n >= 0 && inf.sends[n].engine == p.Engine && inf.sends[n].at < e.askedAt && b.unseen(inf)
	}) {
		b.strike(e)
		b.drive(inf, silent)
	}
}

// ---- writers

func (b *Brain) sendToWriter(inf *inference) input {
	// A non-retriable that may have run gets its error at once; so does what no engine may take again.
	if !slices.ContainsFunc(b.ids, func(id string) bool { return b.mayRepeat(inf, b.engines[id]) }) {
		return spent
	}
	if b.now-inf.freeAt > int64(b.num("engine_facts.pin", 0))-2*b.margin()-waitStep {
		return spent
	}
	e := b.pickWriter(inf)
	if e == nil || b.hasty(inf, e) {
		return noWriter
	}
	inf.writer = e.Engine
	return b.gate(inf, e)
}

// hasty is whether a send has just come back from there. Where nothing else is left, the next waits a step:
// an engine that is gone refuses at once, and would take all sends of an inference within a millisecond.
func (b *Brain) hasty(inf *inference, e *engine) bool {
	return slices.ContainsFunc(inf.sends, func(s send) bool {
		return s.engine == e.Engine && s.writes == e.writer && b.now-s.at < waitStep
	})
}

// roomy is the share of its memory up to which a writer counts as empty; 0.85 did far worse among many nodes.
const roomy = 0.7

// pickWriter takes the session's writer if it is valid, else one with fewest own streams. Among many nodes
// nearly all tie, so what is known of their memory comes next, weighed against the move, then turns.
func (b *Brain) pickWriter(inf *inference) *engine {
	tied := b.fewestStreams(inf)
	if len(tied) == 0 {
		return nil
	}
	from := b.engines[inf.reader]
	if slices.ContainsFunc(tied, b.fresh) {
		tied = slices.DeleteFunc(tied, func(e *engine) bool { return !b.fresh(e) })
	}
	// Leaving the cell is worth a tenth of a writer's memory, leaving the zone, where a state takes several
	// times as long and holds up others on the link, four; within a tenth, reports are noise.
	cost := func(e *engine) float64 {
		return [...]float64{0, 1, 4}[far(from, e)] + math.Round(10*max(roomy, e.memory))
	}
	return b.roundRobin(tied, func(x, y *engine) int { return cmp.Compare(cost(x), cost(y)) })
}

// fewestStreams are the writers that tie: the session's if it is valid, else those with fewest own streams.
func (b *Brain) fewestStreams(inf *inference) []*engine {
	loads := b.loads()
	ready := b.usable(inf, loads, func(e *engine) bool {
		return e.writer && e.fullUntil <= b.now && b.mayRepeat(inf, e) && b.hasRoom(inf, e, loads[e.Engine])
	})
	pinned := b.pairOf(inf).writer
	if i := slices.IndexFunc(ready, func(e *engine) bool { return e.Engine == pinned }); i >= 0 {
		if lag, _ := b.lag(ready[i], loads[pinned]); float64(lag) < b.target(inf)/3 {
			return ready[i : i+1]
		}
	}
	streams := func(e *engine) int { return loads[e.Engine].streams }
	all := func(*engine) bool { return true }
	fewest := best(ready, all, func(x, y *engine) int { return streams(x) - streams(y) })
	return slices.DeleteFunc(ready, func(e *engine) bool { return streams(e) > streams(fewest) })
}

// Reports travel and are refreshed for about half a second; what was sent since then is not in them.
const reportDelay = int64(500 * time.Millisecond)

// hasRoom keeps a writer from running out of memory, which throws its newest answers back to be read anew. It
// goes by a fresh report and what was sent since, else by this node's own part, as if all nodes sent alike. A
// wrong guess costs a wait of three quarters of the pin limit. 1.05: reports are noisy.
func (b *Brain) hasRoom(inf *inference, e *engine, l load) bool {
	memory := b.num(fmt.Sprintf("engine_facts.memory_of_kind.%d", e.Kind), 0)
	used := l.tokens * b.num("nodes", 1)
	if b.fresh(e) {
		used = e.memory*memory + l.unseen
	}
	waited := inf.freeAt > 0 && float64(b.now-inf.freeAt) > 0.75*b.num("engine_facts.pin", 0)
	return memory == 0 || waited || used == 0 || used+inf.Prompt < 1.05*memory
}

// ---- engines

// slow is whether a reader needs three times as long for its work as the median of readers; its work is what
// it reported to wait and what it had to read itself. Lags are high at busy engines too, and this is not. It
// does harm where an engine reports less work than it has: that one then counts as slow.
func (b *Brain) slow(e *engine) bool {
	var all []int64
	for _, id := range b.ids {
		if o := b.engines[id]; o.Ready && len(o.paces) > 2 {
			all = append(all, median(o.paces))
		}
	}
	return len(e.paces) > 2 && len(all) > 2 && median(e.paces) > 3*median(all)
}

// recently is for how long strikes count: a minute, several times the longest that they keep an engine out.
const recently = int64(time.Minute)

// departed is whether an engine has been out of the list for longer than what it did still counts, with
// nothing out there. A fleet that is always replaced would else be remembered whole.
func (b *Brain) departed(e *engine, l load) bool {
	return e.goneAt > 0 && b.now-e.goneAt > recently && l.reads+l.streams == 0
}

// usable lists the engines that fit and are healthy, by id. Where none is healthy, the best that fit are.
func (b *Brain) usable(inf *inference, loads map[string]load, fits func(*engine) bool) []*engine {
	fit, well, lags, strikes := []*engine{}, []*engine{}, []int64{}, []int64{}
	for _, id := range b.ids {
		if e := b.engines[id]; e.Ready && fits(e) && b.coldRoom(e) {
			fit, strikes = append(fit, e), append(strikes, int64(b.since(e.strikes, recently)))
			if lag, known := b.lag(e, loads[id]); known {
				lags = append(lags, lag)
			}
		}
	}
	// The usual is of the others: an engine far over it is the largest. Of two or four, half would else be
	// usual.
	usual, often := median(slices.Sorted(slices.Values(lags))[:max(0, len(lags)-1)]), float64(median(strikes))
	for _, e := range fit {
		if b.healthy(inf, e, loads[e.Engine], usual, often) {
			well = append(well, e)
		}
	}
	if len(well) > 0 {
		return well
	}
	// Of those in trouble, some have done well since, and any other is better than one that this has come back
	// from: an engine that is gone has the fewest streams. It harms where all fail alike, as turns are then less
	// even.
	for _, worse := range []func(*engine) bool{
		func(e *engine) bool { return e.trial || inf.backFrom(e) }, inf.backFrom,
	} {
		if row := slices.DeleteFunc(slices.Clone(fit), worse); len(row) > 0 {
			return row
		}
	}
	return fit
}

// healthy holds against failing, silent and slow engines alike: each sign of trouble is a strike, which keeps
// an engine out for 2 s, twice as long with each more, 16 s at most. Then one send at a time tries it, beside
// the streams that have begun there. A busy fleet's lags look like trouble too, so they are measured against
// other engines'; so are strikes: what breaks sends on the way strikes all alike, and to keep out whoever was
// met last leaves all to one or two. It does harm where most engines fail in part.
func (b *Brain) healthy(inf *inference, e *engine, l load, usual int64, often float64) bool {
	// Three times the usual lag and a third of the target: noise seldom makes that, slow and silent engines do.
	if lag, _ := b.lag(e, l); float64(lag) > b.target(inf)/3 && (lag > 3*usual || b.slow(e)) {
		return false
	}
	if len(e.strikes) > 0 {
		// Half a second: all that one blow breaks comes within it.
		out, more := int64(0), b.since(e.strikes, recently)-often
		if e.trial {
			out = int64(500 * time.Millisecond)
		}
		if more > 0 {
			out = int64(2*time.Second) << min(int(more)-1, 3)
		}
		if b.now-e.strikes[len(e.strikes)-1] < out {
			return false
		}
	}
	// What has come back from there once tries another first.
	return (!e.trial || len(l.waits) == 0) && !inf.backFrom(e)
}

// backFrom is whether a send has come back from an engine with nothing.
func (inf *inference) backFrom(e *engine) bool {
	return slices.ContainsFunc(inf.sends, func(s send) bool { return s.engine == e.Engine && !s.kept })
}

// strike notes trouble with an engine.
func (b *Brain) strike(e *engine) {
	if len(e.strikes) == 0 || b.now-e.strikes[len(e.strikes)-1] > int64(500*time.Millisecond) {
		e.strikes = last(e.strikes, b.now, 6)
	}
	e.trial = true
}

func (b *Brain) learnOutcome(inf *inference, s *send, o Outcome) {
	e := b.engines[s.engine]
	if e == nil {
		return
	}
	switch o.Verdict {
	case Completed:
		e.trial, e.goodAt = false, b.now // a stream to its end is a sign of health too
	case ReadDone:
		b.learnKept(inf, s.engine, o.Note)
		b.learnLag(e, o.Lag, s.at)
		// Half a thousand tokens: less work than that says more of the way than of the engine.
		if work := s.waits - 1 + (inf.Prompt-o.Note)/1000; s.waits > 0 && work > 0.5 {
			e.paces = last(e.paces, int64(float64(o.Lag)/work), 5)
		}
		if s.waits > 0 {
			b.paces = last(b.paces, int64(float64(o.Lag)/s.waits), 32)
		}
	case Full:
		// 150 ms: about the time in which a busy writer ends one answer.
		e.fullUntil = b.now + int64(150*time.Millisecond)
	case TimedOut, NotConnected, ConnectionLost:
		if !o.Stale && inf.state != ended && b.now < inf.GiveUpAt-b.margin() {
			b.strike(e)
		}
	case EngineError:
		b.strike(e)
	}
}

// learnLag takes an answer as a sign of health. Engines take sends in turn, so a send that two later ones
// have overtaken, though it has waited a sixth of its target, was lost on the way or in the engine.
func (b *Brain) learnLag(e *engine, lag, sentAt int64) {
	if e == nil {
		return
	}
	e.samples, e.did = last(e.samples, sample{b.now, lag}, 64), last(e.did, b.now, 64)
	// An engine that failed and said nothing good for 3 s, longer than any jam, may have started anew unseen.
	if e.trial && b.now-e.goodAt > int64(3*time.Second) {
		e.coldFrom = b.now
	}
	e.trial, e.goodAt = false, b.now
	for _, inf := range b.those(func(inf *inference) bool {
		n := len(inf.sends) - 1
		if n < 0 || !inf.sends[n].out || inf.sends[n].began || inf.sends[n].engine != e.Engine {
			return false
		}
		s := &inf.sends[n]
		if s.at < sentAt {
			s.overtaken++
		}
		return s.overtaken >= 2 && float64(b.now-s.at) > b.target(inf)/6
	}) {
		b.drive(inf, overtaken)
	}
}

// withdraw gives up the wait for the send that is out, where another may follow it. Else its state is let go
// of all the same: most likely it was not fetched, and if it is queued after all, its writer will say so.
func (b *Brain) withdraw(inf *inference) input {
	s := &inf.sends[len(inf.sends)-1]
	// A read has no effect, yet reads given up have counted as such that may have run: docs/incidents.
	again := b.word(b.route(inf, "effect")) == "retriable"
	switch {
	case s.withdrawn:
	case again && len(inf.sends) < int(b.num("limits.sends", 1)) && b.flag("limits.cancel"):
		s.withdrawn = true
		b.effects = append(b.effects, Withdraw{inf.Inf, len(inf.sends) - 1})
	case s.writes:
		b.effects = append(b.effects, Discard{inf.Inf})
	}
	return nothing
}

// quietFor is how long the last send may go without a sign of its engine. Nothing tells a machine that is cut
// off from a busy one, and what is written to a kept connection is lost without a word. A writer is asked
// after a third of the pin limit, so that the wait for its answer and another try fit in before it; a reader
// after half the target, as another read would be too late later.
func (b *Brain) quietFor(inf *inference) int64 {
	if inf.sends[len(inf.sends)-1].writes {
		return int64(b.num("engine_facts.pin", 1e9)) / 3
	}
	return int64(b.target(inf) / 2)
}

// unseen is whether the last send is out and nothing came from its engine since it was sent.
func (b *Brain) unseen(inf *inference) bool {
	s := &inf.sends[len(inf.sends)-1]
	e := b.engines[s.engine]
	return s.out && !s.began && e != nil && max(e.goodAt, e.reportAt) < s.at
}

// askSilent probes an engine that has been quiet for too long; a cold one would count that as work.
func (b *Brain) askSilent(inf *inference) input {
	s := &inf.sends[len(inf.sends)-1]
	e := b.engines[s.engine]
	if b.unseen(inf) && b.now-s.at >= b.quietFor(inf) && b.flag("limits.probes") && !b.cold(e) {
		b.probe(e)
	}
	return nothing
}

// probe asks an engine for its load, unless an answer is under way.
func (b *Brain) probe(e *engine) {
	if e.askedAt <= e.heardAt {
		e.askedAt = b.now
		b.effects = append(b.effects, Probe{e.Engine})
	}
}

func (b *Brain) cold(e *engine) bool {
	return e.coldFrom != 0 && b.now-e.coldFrom <= int64(b.num("rules.cold", 0))
}

// coldRoom keeps all nodes together from pushing a cold engine over. What the engines of that role did for
// this node of late, each on average, gone ones too, is what one can do at least; its cold share is this
// node's part of the budget. Whole places are its own; for the rest all nodes draw the same lots.
func (b *Brain) coldRoom(e *engine) bool {
	if !b.cold(e) {
		return true
	}
	const span = int64(20 * time.Second) // a node among many sends little; and all of a role may be cold at once
	window, done, like := max(4, int64(b.num("rules.fall_window", 1e9))), 0.0, 0.0
	for _, o := range b.engines {
		if did := b.since(o.did, span); o.reader == e.reader && o.writer == e.writer && (o.Ready || did > 0) {
			done, like = done+did, like+1
		}
	}
	// 1.2: engines seldom do all that they can. Lots get two thirds of it, as they fall unevenly.
	places := 1.2 * b.num("rules.cold_share", 0) * b.num("rules.fall_multiple", 0) * done / max(1, like) *
		float64(window) / float64(min(span, max(window, b.now-b.firstAt)))
	// Any window touches five quarters at most, so each quarter gives out a fifth.
	nodes := max(1, b.num("nodes", 1))
	whole, rest := math.Modf(places)
	first := float64(hash(fmt.Sprint(e.Engine, 4*b.now/window))%1e6) / 1e6 * nodes
	if math.Mod(b.num("me", 0)+first, nodes) < rest*nodes/7.5 && b.since(e.sent, window/4) == 0 {
		whole++
	}
	return b.since(e.sent, window) < whole
}

func (b *Brain) learnEngines(news EngineNews) {
	if news.Failed {
		b.token++
		b.timers[b.token] = timer{-1, wake}
		// 300 ms and up to as much again: all nodes fail at once, and discovery serves one call at a time.
		after := int64(300*time.Millisecond) + int64(b.chance()*float64(300*time.Millisecond))
		b.effects = append(b.effects, ArmTimer{b.token, after})
		return
	}
	b.keepList(news)
}

// watch asks discovery for news where it does not come by itself.
func (b *Brain) watch() {
	if b.word("discovery") == "watch" {
		b.effects = append(b.effects, Watch{})
	}
}
