package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const ms = int64(1_000_000)

// account is the test's own account of one inference: what is out and held, and how it was answered.
type account struct {
	Arrival
	out      []int // numbers of sends that are out
	engine   []string
	sentAt   []int64
	ran      []bool // may have run, so far as told
	writes   []bool
	held     bool
	heldFrom int64
	streams  bool
	ended    bool
	final    string
}

// world feeds random events to one brain and keeps its own account of the five rules.
type world struct {
	t       *rapid.T
	b       *Brain
	facts   map[string]any
	now     int64
	infs    map[int64]*account
	ids     []int64
	engines map[string]EngineEntry
	timers  map[int64][]int64 // due time to tokens
	toCold  map[string][]int64
	sent    map[string][]int64
}

func newWorld(t *rapid.T) *world {
	facts := map[string]any{
		"limits.sends": float64(rapid.IntRange(2, 6).Draw(t, "sends")), "limits.cancel": true,
		"limits.second_copies": false, "limits.retry_after": true, "limits.max_retry_after": 1e9, "tick": 4e6,
		"engine_facts.pin": 300e6, "engine_facts.role_of_kind.0": "read", "engine_facts.role_of_kind.1": "write",
		"engine_facts.resume": rapid.Bool().Draw(t, "resume"), "engine_facts.role_of_kind.2": "both",
		"rules.cold": 10e9, "rules.fall_window": 1e9, "rules.cold_share": 0.25, "rules.fall_multiple": 3.0,
		"rules.answer_slack": 16e6, "nodes": 3.0,
	}
	for i, effect := range []string{"retriable", "deduped", "non-retriable"} {
		facts[fmt.Sprintf("routes.%d.effect", i)] = effect
		facts[fmt.Sprintf("routes.%d.dedup_window", i)] = 2e9
		facts[fmt.Sprintf("routes.%d.dedup_group", i)] = rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "group")
		facts[fmt.Sprintf("routes.%d.first_token_target", i)] = 1e9
		facts[fmt.Sprintf("routes.%d.value", i)] = float64(i + 1)
	}
	w := &world{t: t, b: New(7, facts), facts: facts, now: 1e12, infs: map[int64]*account{},
		engines: map[string]EngineEntry{}, timers: map[int64][]int64{}, toCold: map[string][]int64{}, sent: map[string][]int64{}}
	w.list()
	return w
}

func (w *world) step(in Input) {
	for _, effect := range w.b.Step(w.now, in) {
		w.apply(effect)
	}
	w.checkHeld()
}

func (w *world) fail(rule, format string, args ...any) {
	w.t.Fatalf("rule %s: %s", rule, fmt.Sprintf(format, args...))
}

func (w *world) apply(effect Effect) {
	switch e := effect.(type) {
	case Send:
		w.send(e)
	case Shed:
		w.answer(e.Inf, "shed")
	case Fail:
		w.answer(e.Inf, "errored")
	case Discard:
		if a := w.infs[e.Inf]; a != nil && len(a.out) == 0 {
			a.held = false
		}
	case ArmTimer:
		at := w.now + max(e.In, 1)
		w.timers[at] = append(w.timers[at], e.Token)
	}
}

func (w *world) send(e Send) {
	a, eng := w.infs[e.Inf], w.engines[e.Engine]
	switch {
	case a == nil || a.ended:
		w.fail("1", "%d was sent after its end", e.Inf)
	case len(a.out) > 0:
		w.fail("2", "%d has two sends out", e.Inf)
	case !eng.Ready:
		w.fail("3", "%d was sent to %s, which is not ready", e.Inf, e.Engine)
	}
	for i, ran := range a.ran {
		first := w.engines[a.engine[i]]
		group := w.facts[fmt.Sprintf("routes.%d.dedup_group", a.Route)]
		inGroup := group == "all" || group == "zone" && first.Zone == eng.Zone || group == "cell" && first.Cell == eng.Cell
		if ran && (a.Route == 2 || a.Route == 1 && (w.now-a.sentAt[i] > 2e9 || eng.Kind != 0 && !inGroup)) {
			w.fail("2", "%d was sent again though it may have run", e.Inf)
		}
	}
	if eng.UpSince > 0 && w.now-eng.UpSince < 10e9 {
		// A window holds 0.25 x 3 x 1 s of what an engine can do, which is what one was sent on average at least.
		// One more is the lot of one of the three nodes.
		recent, sent, like := 0, 0.0, 0.0
		for _, at := range w.toCold[e.Engine] {
			if w.now-at < 1e9 {
				recent++
			}
		}
		for id, other := range w.engines {
			if other.Kind == eng.Kind {
				if other.Ready {
					like++
				}
				for _, at := range w.sent[id] {
					if w.now-at < 20e9 {
						sent++
					}
				}
			}
		}
		budget := 0.75 * sent / max(1, like) * 1e9 / float64(min(20e9, max(1e9, w.now-1e12)))
		if w.toCold[e.Engine] = append(w.toCold[e.Engine], w.now); recent > int(budget) {
			w.fail("4", "%s is cold and got %d sends within a window", e.Engine, recent+1)
		}
	}
	w.sent[e.Engine] = append(w.sent[e.Engine], w.now)
	a.out = append(a.out, len(a.engine))
	a.engine, a.sentAt = append(a.engine, e.Engine), append(a.sentAt, w.now)
	a.writes = append(a.writes, eng.Kind != 0)
	a.ran = append(a.ran, false)
}

func (w *world) answer(inf int64, how string) {
	a := w.infs[inf]
	switch {
	case a == nil || a.ended:
		w.fail("1", "%d was answered after its end", inf)
	case w.now > a.GiveUpAt+16*ms:
		w.fail("1", "%d was answered too late", inf)
	}
	if how == "shed" && a.Route > 0 && (a.Route == 2 || w.facts["routes.1.dedup_group"] != "all") {
		for _, ran := range a.ran {
			if ran || len(a.out) > 0 || a.Resumed {
				w.fail("2", "%d was shed though it may have run", inf)
			}
		}
	}
	a.ended, a.final = true, how
}

func (w *world) checkHeld() {
	for _, id := range w.ids {
		a := w.infs[id]
		if a.held && len(a.out) == 0 && w.now-a.heldFrom > 300*ms {
			w.fail("5", "%d has been held for %d ms", id, (w.now-a.heldFrom)/ms)
		}
		if !a.ended && !a.streams && w.now > a.GiveUpAt+16*ms {
			w.fail("1", "%d was never answered", id)
		}
	}
}

func (w *world) list() {
	whole := rapid.Bool().Draw(w.t, "whole") || len(w.engines) == 0
	news := EngineNews{Whole: whole, Failed: !whole && rapid.IntRange(0, 9).Draw(w.t, "failed") == 0}
	for i := range 8 {
		life := rapid.IntRange(0, 11).Draw(w.t, "life")
		e := EngineEntry{Engine: fmt.Sprintf("e%d", i), Weight: 1, Zone: i % 2, Cell: i % 3, Kind: min(i%3, 2),
			Ready: life > 1, Drains: life == 1, Out: life == 0, UpSince: w.engines[fmt.Sprintf("e%d", i)].UpSince}
		if rapid.IntRange(0, 7).Draw(w.t, "restart") == 0 {
			e.UpSince = w.now - rapid.Int64Range(0, 3000).Draw(w.t, "age")*ms
		}
		if !news.Failed && (whole || rapid.Bool().Draw(w.t, "in")) {
			news.Engines = append(news.Engines, e)
			w.engines[e.Engine] = e
		}
	}
	w.step(news)
}

func (w *world) arrive() {
	id := int64(len(w.ids) + 1)
	a := &account{Arrival: Arrival{Inf: id, Route: rapid.IntRange(0, 2).Draw(w.t, "route"),
		Session: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(w.t, "session")),
		Prefix:  rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(w.t, "prefix"), Prompt: 2000, PrefixTokens: 1500,
		GiveUpAt: w.now + rapid.Int64Range(5, 4000).Draw(w.t, "patience")*ms, MaxAnswer: 300,
		Resumed: rapid.IntRange(0, 9).Draw(w.t, "resumed") == 0}}
	w.infs[id], w.ids = a, append(w.ids, id)
	w.step(a.Arrival)
}

// outcome ends one send that is out, as an engine might.
func (w *world) outcome() {
	var open []int64
	for _, id := range w.ids {
		if len(w.infs[id].out) > 0 {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	a := w.infs[rapid.SampledFrom(open).Draw(w.t, "inf")]
	n := a.out[0]
	o := Outcome{Inf: a.Inf, Send: n, Engine: a.engine[n], Lag: w.now - a.sentAt[n]}
	verdicts := []Verdict{EngineError, Full, TimedOut, NotConnected, ConnectionLost, Withdrawn, NotSent}
	switch {
	case a.streams:
		verdicts, o.Ended = []Verdict{Completed, Completed, ConnectionLost}, true
	case a.writes[n] && !a.ended && rapid.Bool().Draw(w.t, "first"):
		a.streams, a.held = true, false
		w.step(FirstToken{Inf: a.Inf, Send: n, Engine: a.engine[n], Lag: o.Lag})
		return
	case !a.writes[n]:
		verdicts = append(verdicts, ReadDone, ReadDone, ReadDone, ReadDone, ReadDone)
	}
	o.Verdict = rapid.SampledFrom(verdicts).Draw(w.t, "verdict")
	a.out = nil
	switch o.Verdict {
	case Full:
		if a.writes[n] && rapid.Bool().Draw(w.t, "gone") {
			o.Note, a.held = 1, false
		}
	case ReadDone:
		a.held, o.Note = true, rapid.SampledFrom([]float64{0, 1500}).Draw(w.t, "kept")
	case EngineError, TimedOut, ConnectionLost, Withdrawn:
		a.ran[n] = a.writes[n]
	}
	a.heldFrom = w.now
	if o.Ended = o.Ended || a.ended; o.Ended {
		a.ended = true
	}
	w.step(o)
	if rapid.IntRange(0, 9).Draw(w.t, "twice") == 0 {
		w.step(o) // late and repeated news is harmless
	}
}

func (w *world) pass() {
	until := w.now + rapid.Int64Range(1, 60).Draw(w.t, "time")*4*ms
	for w.now < until {
		w.now += 4 * ms
		for at := w.now - 4*ms + 1; ; {
			due := int64(0)
			for t := range w.timers {
				if t <= w.now && t >= at-4*ms && (due == 0 || t < due) {
					due = t
				}
			}
			if due == 0 {
				break
			}
			tokens := w.timers[due]
			delete(w.timers, due)
			for _, token := range tokens {
				w.step(TimerDue{token})
			}
		}
		w.checkHeld()
	}
}

func (w *world) leave() {
	if len(w.ids) == 0 {
		return
	}
	a := w.infs[rapid.SampledFrom(w.ids).Draw(w.t, "leaves")]
	a.ended = true
	w.step(ClientGone{a.Inf})
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.arrive()
			case 3, 4, 5, 6:
				w.outcome()
			case 7, 8:
				w.pass()
			default:
				if rapid.Bool().Draw(t, "list") {
					w.list()
				} else {
					w.leave()
				}
			}
		}
		w.now += 4 * ms
		for range 30 {
			w.pass()
		}
	})
}

// All nodes together, from few to hundreds, by the test's own account of their sends.
func TestColdBudgetIsSharedByAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, readers := rapid.IntRange(1, 300).Draw(t, "nodes"), rapid.IntRange(3, 12).Draw(t, "readers")
		facts := newWorld(t).facts
		facts["nodes"], facts["limits.probes"] = float64(nodes), rapid.Bool().Draw(t, "probes")
		list := EngineNews{Whole: true, Engines: []EngineEntry{{Engine: "w", Weight: 1, Kind: 1, Ready: true}}}
		for i := range readers {
			list.Engines = append(list.Engines, EngineEntry{Engine: fmt.Sprint("r", i), Weight: 1, Ready: true})
		}
		type event struct {
			node int
			at   int64
			in   Input
		}
		var due []event
		brains, now := make([]*Brain, nodes), int64(1e12)
		for i := range brains {
			own := map[string]any{"me": float64(i)}
			for name, v := range facts {
				own[name] = v
			}
			brains[i] = New(uint64(i), own)
			brains[i].Step(now, list)
		}
		// A third of the readers restarts, or all of them, of which one is back before the others.
		cold, toCold := max(1, readers/3), map[string][]int64{}
		if rapid.Bool().Draw(t, "all") {
			cold = readers
		}
		for inf := int64(1); now < 1e12+24e9; inf++ {
			now += int64(1e9 / (6 * readers)) // six a second for each reader
			if back := int64(1e12 + 20e9); now >= back && now < back+int64(1e9/(6*readers)) {
				for i := range cold {
					list.Engines[1+i].UpSince = now
					list.Engines[1+i].Ready, list.Engines[1+i].Out = cold < readers || i == 0, cold == readers && i > 0
				}
				for _, b := range brains {
					b.Step(now, list)
				}
			}
			at := int(hash(fmt.Sprint(inf)) % uint64(nodes))
			due = append(due, event{at, now, Arrival{Inf: inf, Session: fmt.Sprint(inf), Prompt: 2000, GiveUpAt: now + 4000*ms}})
			for k := 0; k < len(due); k++ {
				if due[k].at > now {
					continue
				}
				happens := due[k]
				due, k = append(due[:k], due[k+1:]...), k-1
				for _, effect := range brains[happens.node].Step(now, happens.in) {
					switch e := effect.(type) {
					case ArmTimer:
						if e.In < 100*ms {
							due = append(due, event{happens.node, now + e.In, TimerDue{e.Token}})
						}
					case Send:
						toCold[e.Engine] = append(toCold[e.Engine], now)
						brains[happens.node].Step(now, Outcome{Inf: e.Inf, Engine: e.Engine, Verdict: ReadDone})
						brains[happens.node].Step(now, ClientGone{e.Inf})
					}
				}
			}
		}
		for i := range cold {
			row := toCold[fmt.Sprint("r", i)]
			for j, at := range row {
				n := 0
				for _, other := range row[j:] {
					if at > 1e12+20e9 && other-at < 1e9 {
						n++
					}
				}
				if n > 6 { // 0.25 x 3 x the 6 a second that one reader gets, and a third for chance
					t.Fatalf("rule 4: r%d is cold and got %d sends of %d nodes within a window", i, n, nodes)
				}
			}
		}
	})
}
