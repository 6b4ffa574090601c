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

// simulationStart is when simulated nodes start.
const simulationStart = 1000 * time.Second

// requestRecord is the test's own record of one request: what is in flight and reserved, and how it was
// answered.
type requestRecord struct {
	RequestArrived
	inFlight      []int // indices of attempts
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

// simulation feeds random events to one policy and checks the five rules by its own record.
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
	config.MaxAttempts = rapid.IntRange(2, 6).Draw(t, "attempts")
	config.Cancel, config.Tick, config.Nodes = true, 4*time.Millisecond, 3
	config.SuggestRetryAfter, config.MaxRetryAfter = true, time.Second
	config.SetReservationLimit(300 * time.Millisecond)
	config.SlowStart = SlowStart{Duration: 10 * time.Second, Window: time.Second, Share: 0.25, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}, {Role: Mixed}}
	for i, effect := range []Effect{Retriable, Deduped, NonRetriable} {
		group := rapid.SampledFrom([]DedupGroup{DedupAll, DedupZone, DedupCell}).Draw(t, "group")
		config.Routes = append(config.Routes, Route{Effect: effect, DedupWindow: 2 * time.Second, DedupGroup: group,
			FirstTokenObjective: time.Second, PriorityWeight: float64(i + 1)})
	}
	w := &simulation{t: t, policy: New(7, config), config: config, now: simulationStart, requests: map[int64]*requestRecord{},
		engines: map[string]Endpoint{}, timers: map[time.Duration][]int64{},
		sentWarmingUp: map[string][]time.Duration{}, sentTo: map[string][]time.Duration{}}
	w.updateEndpoints()
	return w
}

func (w *simulation) step(event Event) {
	for _, action := range w.policy.Step(w.now, event) {
		w.apply(action)
	}
	checkIndexes(w.t, w.policy)
	w.checkReservations()
}

func (w *simulation) fail(rule, format string, args ...any) {
	w.t.Fatalf("rule %s: %s", rule, fmt.Sprintf(format, args...))
}

func (w *simulation) apply(action Action) {
	switch e := action.(type) {
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
	req, engine := w.requests[e.RequestID], w.engines[e.Engine]
	switch {
	case req == nil || req.ended:
		w.fail("1", "%d was sent after its end", e.RequestID)
	case len(req.inFlight) > 0:
		w.fail("2", "%d has two attempts in flight", e.RequestID)
	case !engine.Ready:
		w.fail("3", "%d was sent to %s, which is not ready", e.RequestID, e.Engine)
	}
	w.checkRetry(req, engine)
	if engine.StartedAt > 0 && w.now-engine.StartedAt < w.config.SlowStart.Duration {
		w.checkSlowStart(engine)
	}
	w.sentTo[e.Engine] = append(w.sentTo[e.Engine], w.now)
	req.inFlight = append(req.inFlight, len(req.engines))
	req.engines, req.sentAt = append(req.engines, e.Engine), append(req.sentAt, w.now)
	req.decode = append(req.decode, engine.Kind != 0)
	req.ran = append(req.ran, false)
}

// checkRetry fails if a request that may have run is sent again where its route does not allow it.
func (w *simulation) checkRetry(req *requestRecord, engine Endpoint) {
	route := w.config.Routes[req.Route]
	for i, ran := range req.ran {
		if !ran || route.Effect == Retriable {
			continue
		}
		first, group := w.engines[req.engines[i]], route.DedupGroup
		inGroup := group == DedupAll || group == DedupZone && first.Zone == engine.Zone ||
			group == DedupCell && first.Cell == engine.Cell
		late := w.now-req.sentAt[i] > route.DedupWindow
		if route.Effect == NonRetriable || late || engine.Kind != 0 && !inGroup {
			w.fail("2", "%d was sent again though it may have run", req.RequestID)
		}
	}
}

// checkSlowStart fails if an engine that is warming up is sent too much. A window holds 0.25 x 3 x 1 s of
// what an engine can do, which is what one was sent on average at least. One more is the lot of one of the
// three nodes.
func (w *simulation) checkSlowStart(engine Endpoint) {
	recent, sent, alike := 0, 0.0, 0.0
	for _, at := range w.sentWarmingUp[engine.Engine] {
		if w.now-at < time.Second {
			recent++
		}
	}
	for id, other := range w.engines {
		if other.Kind != engine.Kind {
			continue
		}
		if other.Ready {
			alike++
		}
		for _, at := range w.sentTo[id] {
			if w.now-at < 20*time.Second {
				sent++
			}
		}
	}
	budget := 0.75 * sent / max(1, alike) * 1e9 / float64(min(20*time.Second, max(time.Second, w.now-simulationStart)))
	w.sentWarmingUp[engine.Engine] = append(w.sentWarmingUp[engine.Engine], w.now)
	if recent > int(budget) {
		w.fail("4", "%s is warming up and got %d attempts within a window", engine.Engine, recent+1)
	}
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
