package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const ms = time.Millisecond

// requestRecord is the test's own account of one inference: what is out and held, and how it was answered.
type requestRecord struct {
	RequestArrived
	inFlight      []int // numbers of sends that are out
	engines       []string
	sentAt        []time.Duration
	ran           []bool // may have run, so far as told
	decode        []bool
	reserved      bool
	reservedSince time.Duration
	streaming     bool
	ended         bool
	answer        string
}

// simulation feeds random events to one brain and keeps its own account of the five rules.
type simulation struct {
	t             *rapid.T
	policy        *Policy
	config        Config
	now           time.Duration
	requests      map[int64]*requestRecord
	ids           []int64
	engines       map[string]Endpoint
	timers        map[time.Duration][]int64 // due time to tokens
	sentWarmingUp map[string][]time.Duration
	sentTo        map[string][]time.Duration
}

func newSimulation(t *rapid.T) *simulation {
	config := DefaultConfig()
	config.MaxAttempts, config.Cancel, config.Tick, config.Nodes = rapid.IntRange(2, 6).Draw(t, "sends"), true, 4*time.Millisecond, 3
	config.SuggestRetryAfter, config.MaxRetryAfter = true, time.Second
	config.SetReservationLimit(300 * time.Millisecond)
	config.SlowStart = SlowStart{Duration: 10 * time.Second, Window: time.Second, Share: 0.25, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}, {Role: Mixed}}
	for i, effect := range []Effect{Retriable, Deduped, NonRetriable} {
		group := rapid.SampledFrom([]DedupGroup{DedupAll, DedupZone, DedupCell}).Draw(t, "group")
		config.Routes = append(config.Routes, Route{Effect: effect, DedupWindow: 2 * time.Second, DedupGroup: group,
			FirstTokenObjective: time.Second, PriorityWeight: float64(i + 1)})
	}
	w := &simulation{t: t, policy: New(7, config), config: config, now: 1e12, requests: map[int64]*requestRecord{},
		engines: map[string]Endpoint{}, timers: map[time.Duration][]int64{}, sentWarmingUp: map[string][]time.Duration{}, sentTo: map[string][]time.Duration{}}
	w.updateEndpoints()
	return w
}

func (w *simulation) step(in Event) {
	for _, effect := range w.policy.Step(w.now, in) {
		w.apply(effect)
	}
	w.checkReservations()
}

func (w *simulation) fail(rule, format string, args ...any) {
	w.t.Fatalf("rule %s: %s", rule, fmt.Sprintf(format, args...))
}

func (w *simulation) apply(effect Action) {
	switch e := effect.(type) {
	case Send:
		w.send(e)
	case Shed:
		w.answer(e.RequestID, "shed")
	case Fail:
		w.answer(e.RequestID, "errored")
	case Release:
		if a := w.requests[e.RequestID]; a != nil && len(a.inFlight) == 0 {
			a.reserved = false
		}
	case StartTimer:
		at := w.now + max(e.After, 1)
		w.timers[at] = append(w.timers[at], e.Token)
	}
}

func (w *simulation) send(e Send) {
	a, eng := w.requests[e.RequestID], w.engines[e.Engine]
	switch {
	case a == nil || a.ended:
		w.fail("1", "%d was sent after its end", e.RequestID)
	case len(a.inFlight) > 0:
		w.fail("2", "%d has two sends out", e.RequestID)
	case !eng.Ready:
		w.fail("3", "%d was sent to %s, which is not ready", e.RequestID, e.Engine)
	}
	for i, ran := range a.ran {
		first := w.engines[a.engines[i]]
		group := w.config.Routes[a.Route].DedupGroup
		inGroup := group == DedupAll || group == DedupZone && first.Zone == eng.Zone || group == DedupCell && first.Cell == eng.Cell
		if ran && (a.Route == 2 || a.Route == 1 && (w.now-a.sentAt[i] > 2e9 || eng.Kind != 0 && !inGroup)) {
			w.fail("2", "%d was sent again though it may have run", e.RequestID)
		}
	}
	if eng.StartedAt > 0 && w.now-eng.StartedAt < 10e9 {
		// A window holds 0.25 x 3 x 1 s of what an engine can do, which is what one was sent on average at
		// least. One more is the lot of one of the three nodes.
		recent, sent, like := 0, 0.0, 0.0
		for _, at := range w.sentWarmingUp[e.Engine] {
			if w.now-at < 1e9 {
				recent++
			}
		}
		for id, other := range w.engines {
			if other.Kind == eng.Kind {
				if other.Ready {
					like++
				}
				for _, at := range w.sentTo[id] {
					if w.now-at < 20e9 {
						sent++
					}
				}
			}
		}
		budget := 0.75 * sent / max(1, like) * 1e9 / float64(min(20e9, max(1e9, w.now-1e12)))
		if w.sentWarmingUp[e.Engine] = append(w.sentWarmingUp[e.Engine], w.now); recent > int(budget) {
			w.fail("4", "%s is cold and got %d sends within a window", e.Engine, recent+1)
		}
	}
	w.sentTo[e.Engine] = append(w.sentTo[e.Engine], w.now)
	a.inFlight = append(a.inFlight, len(a.engines))
	a.engines, a.sentAt = append(a.engines, e.Engine), append(a.sentAt, w.now)
	a.decode = append(a.decode, eng.Kind != 0)
	a.ran = append(a.ran, false)
}

func (w *simulation) answer(req int64, how string) {
	a := w.requests[req]
	switch {
	case a == nil || a.ended:
		w.fail("1", "%d was answered after its end", req)
	case w.now > a.Deadline+16*ms:
		w.fail("1", "%d was answered too late", req)
	}
	if how == "shed" && a.Route > 0 && (a.Route == 2 || w.config.Routes[1].DedupGroup != DedupAll) {
		for _, ran := range a.ran {
			if ran || len(a.inFlight) > 0 || a.Resumed {
				w.fail("2", "%d was shed though it may have run", req)
			}
		}
	}
	a.ended, a.answer = true, how
}

func (w *simulation) checkReservations() {
	for _, id := range w.ids {
		a := w.requests[id]
		if a.reserved && len(a.inFlight) == 0 && w.now-a.reservedSince > 300*ms {
			w.fail("5", "%d has been held for %d ms", id, (w.now-a.reservedSince)/ms)
		}
		if !a.ended && !a.streaming && w.now > a.Deadline+16*ms {
			w.fail("1", "%d was never answered", id)
		}
	}
}

func (w *simulation) updateEndpoints() {
	whole := rapid.Bool().Draw(w.t, "whole") || len(w.engines) == 0
	news := EndpointUpdate{Complete: whole, Failed: !whole && rapid.IntRange(0, 9).Draw(w.t, "failed") == 0}
	for i := range 8 {
		life := rapid.IntRange(0, 11).Draw(w.t, "life")
		e := Endpoint{Engine: fmt.Sprintf("e%d", i), Weight: 1, Zone: i % 2, Cell: i % 3, Kind: min(i%3, 2),
			Ready: life > 1, Draining: life == 1, Removed: life == 0, StartedAt: w.engines[fmt.Sprintf("e%d", i)].StartedAt}
		if rapid.IntRange(0, 7).Draw(w.t, "restart") == 0 {
			e.StartedAt = w.now - time.Duration(rapid.Int64Range(0, 3000).Draw(w.t, "age"))*ms
		}
		if !news.Failed && (whole || rapid.Bool().Draw(w.t, "in")) {
			news.Engines = append(news.Engines, e)
			w.engines[e.Engine] = e
		}
	}
	w.step(news)
}

func (w *simulation) arrive() {
	id := int64(len(w.ids) + 1)
	a := &requestRecord{RequestArrived: RequestArrived{RequestID: id, Route: rapid.IntRange(0, 2).Draw(w.t, "route"),
		Session: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(w.t, "session")),
		Prefix:  rapid.SampledFrom([]string{"", "p1", "p2"}).Draw(w.t, "prefix"), PromptTokens: 2000, PrefixTokens: 1500,
		Deadline: w.now + time.Duration(rapid.Int64Range(5, 4000).Draw(w.t, "patience"))*ms, MaxOutputTokens: 300,
		Resumed: rapid.IntRange(0, 9).Draw(w.t, "resumed") == 0}}
	w.requests[id], w.ids = a, append(w.ids, id)
	w.step(a.RequestArrived)
}

// outcome ends one send that is out, as an engine might.
func (w *simulation) outcome() {
	var open []int64
	for _, id := range w.ids {
		if len(w.requests[id].inFlight) > 0 {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	a := w.requests[rapid.SampledFrom(open).Draw(w.t, "inf")]
	n := a.inFlight[0]
	o := Outcome{RequestID: a.RequestID, Attempt: n, Engine: a.engines[n], Latency: w.now - a.sentAt[n]}
	verdicts := []Verdict{EngineError, Full, TimedOut, NotConnected, ConnectionLost, Canceled, NotSent}
	switch {
	case a.streaming:
		verdicts, o.RequestEnded = []Verdict{Completed, Completed, ConnectionLost}, true
	case a.decode[n] && !a.ended && rapid.Bool().Draw(w.t, "first"):
		a.streaming, a.reserved = true, false
		w.step(FirstToken{RequestID: a.RequestID, Attempt: n, Engine: a.engines[n], Latency: o.Latency})
		return
	case !a.decode[n]:
		verdicts = append(verdicts, PrefillDone, PrefillDone, PrefillDone, PrefillDone, PrefillDone)
	}
	o.Verdict = rapid.SampledFrom(verdicts).Draw(w.t, "verdict")
	a.inFlight = nil
	switch o.Verdict {
	case Full:
		if a.decode[n] && rapid.Bool().Draw(w.t, "gone") {
			o.ReservationLost, a.reserved = true, false
		}
	case PrefillDone:
		a.reserved, o.CachedTokens = true, rapid.SampledFrom([]float64{0, 1500}).Draw(w.t, "kept")
	case EngineError, TimedOut, ConnectionLost, Canceled:
		a.ran[n] = a.decode[n]
	}
	a.reservedSince = w.now
	if o.RequestEnded = o.RequestEnded || a.ended; o.RequestEnded {
		a.ended = true
	}
	w.step(o)
	if rapid.IntRange(0, 9).Draw(w.t, "twice") == 0 {
		w.step(o) // late and repeated news is harmless
	}
}

func (w *simulation) advance() {
	until := w.now + time.Duration(rapid.Int64Range(1, 60).Draw(w.t, "time"))*4*ms
	for w.now < until {
		w.now += 4 * ms
		for at := w.now - 4*ms + 1; ; {
			due := time.Duration(0)
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
				w.step(TimerFired{token})
			}
		}
		w.checkReservations()
	}
}

func (w *simulation) disconnect() {
	if len(w.ids) == 0 {
		return
	}
	a := w.requests[rapid.SampledFrom(w.ids).Draw(w.t, "leaves")]
	a.ended = true
	w.step(ClientDisconnected{a.RequestID})
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				w.arrive()
			case 3, 4, 5, 6:
				w.outcome()
			case 7, 8:
				w.advance()
			default:
				if rapid.Bool().Draw(t, "list") {
					w.updateEndpoints()
				} else {
					w.disconnect()
				}
			}
		}
		w.now += 4 * ms
		for range 30 {
			w.advance()
		}
	})
}

// All nodes together, from few to hundreds, by the test's own account of their sends.
func TestSlowStartBudgetIsSharedByAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes, readers := rapid.IntRange(1, 300).Draw(t, "nodes"), rapid.IntRange(3, 12).Draw(t, "readers")
		config := newSimulation(t).config
		config.Nodes, config.HealthChecks = nodes, rapid.Bool().Draw(t, "probes")
		list := EndpointUpdate{Complete: true, Engines: []Endpoint{{Engine: "w", Weight: 1, Kind: 1, Ready: true}}}
		for i := range readers {
			list.Engines = append(list.Engines, Endpoint{Engine: fmt.Sprint("r", i), Weight: 1, Ready: true})
		}
		type event struct {
			node int
			at   time.Duration
			in   Event
		}
		var due []event
		policies, now := make([]*Policy, nodes), time.Duration(1e12)
		for i := range policies {
			config.Node = i
			policies[i] = New(uint64(i), config)
			policies[i].Step(now, list)
		}
		// A third of the readers restarts, or all of them, of which one is back before the others.
		cold, toCold := max(1, readers/3), map[string][]time.Duration{}
		if rapid.Bool().Draw(t, "all") {
			cold = readers
		}
		for req := int64(1); now < 1e12+24e9; req++ {
			now += time.Second / time.Duration(6*readers) // six a second for each reader
			if back := time.Duration(1e12 + 20e9); now >= back && now < back+time.Second/time.Duration(6*readers) {
				for i := range cold {
					list.Engines[1+i].StartedAt = now
					list.Engines[1+i].Ready, list.Engines[1+i].Removed = cold < readers || i == 0, cold == readers && i > 0
				}
				for _, b := range policies {
					b.Step(now, list)
				}
			}
			at := int(hash(fmt.Sprint(req)) % uint64(nodes))
			due = append(due, event{at, now, RequestArrived{RequestID: req, Session: fmt.Sprint(req), PromptTokens: 2000, Deadline: now + 4000*ms}})
			for k := 0; k < len(due); k++ {
				if due[k].at > now {
					continue
				}
				happens := due[k]
				due, k = append(due[:k], due[k+1:]...), k-1
				for _, effect := range policies[happens.node].Step(now, happens.in) {
					switch e := effect.(type) {
					case StartTimer:
						if e.After < 100*ms {
							due = append(due, event{happens.node, now + e.After, TimerFired{e.Token}})
						}
					case Send:
						toCold[e.Engine] = append(toCold[e.Engine], now)
						policies[happens.node].Step(now, Outcome{RequestID: e.RequestID, Engine: e.Engine, Verdict: PrefillDone})
						policies[happens.node].Step(now, ClientDisconnected{e.RequestID})
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
