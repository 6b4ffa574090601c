package routing

import (
	"fmt"
	"testing"
)

// node is one brain with two readers r0, r1 and two writers w0, w1.
type node struct {
	t   *testing.T
	b   *Brain
	now int64
	got []Effect
}

func newNode(t *testing.T, more map[string]any) *node {
	facts := map[string]any{
		"limits.sends": 4.0, "limits.cancel": true, "tick": 4e6, "nodes": 2.0, "routes.count": 2.0,
		"engine_facts.pin": 500e6, "engine_facts.role_of_kind.0": "read", "engine_facts.role_of_kind.1": "write",
		"rules.cold": 10e9, "rules.fall_window": 1e9, "rules.cold_share": 0.25, "rules.fall_multiple": 3.0,
		"routes.0.effect": "retriable", "routes.0.value": 1.0, "routes.0.first_token_target": 1e9,
		"routes.1.effect": "non-retriable", "routes.1.value": 1.0, "routes.1.first_token_target": 1e9,
	}
	for name, v := range more {
		facts[name] = v
	}
	n := &node{t: t, b: New(1, facts), now: 1e12}
	n.engines(EngineEntry{}, "r0", "r1", "w0", "w1")
	return n
}

func (n *node) engines(like EngineEntry, ids ...string) {
	news := EngineNews{}
	for _, id := range ids {
		like.Engine, like.Ready, like.Kind = id, true, 0
		if id[0] == 'w' {
			like.Kind = 1
		}
		news.Engines = append(news.Engines, like)
	}
	n.step(0, news)
}

// step feeds an input after some milliseconds and returns the engine that was sent to, if one was.
func (n *node) step(after int64, in Input) string {
	n.now += after * ms
	n.got = n.b.Step(n.now, in)
	for _, e := range n.got {
		if s, ok := e.(Send); ok {
			return s.Engine
		}
	}
	return ""
}

func (n *node) arrive(inf int64, route int, session string) string {
	return n.step(0, Arrival{Inf: inf, Route: route, Session: session, Prefix: "p", Prompt: 2000, PrefixTokens: 1500,
		GiveUpAt: n.now + 4000*ms})
}

func (n *node) read(after, inf int64, reader string) string {
	return n.step(after, Outcome{Inf: inf, Engine: reader, Verdict: ReadDone, Lag: after * ms})
}

func (n *node) first(after, inf int64, writer string) {
	n.step(after, FirstToken{Inf: inf, Send: 1, Engine: writer, Lag: after * ms})
}

// serve takes an inference through to its first token and returns its engines.
func (n *node) serve(inf int64, session string) (reader, writer string) {
	reader = n.arrive(inf, 0, session)
	writer = n.read(20, inf, reader)
	n.first(20, inf, writer)
	return reader, writer
}

func (n *node) want(effects ...Effect) {
	n.t.Helper()
	if fmt.Sprintf("%T%v", n.got, n.got) != fmt.Sprintf("%T%v", effects, effects) {
		n.t.Fatalf("got %+v, want %+v", n.got, effects)
	}
}

func TestSessionKeepsItsPair(t *testing.T) {
	n := newNode(t, nil)
	reader, writer := n.serve(1, "s")
	if r, w := n.serve(2, "s"); r != reader || w != writer {
		t.Fatalf("the session went from %s, %s to %s, %s", reader, writer, r, w)
	}
}

func TestLateReadIsDiscarded(t *testing.T) {
	n := newNode(t, nil)
	reader := n.arrive(1, 0, "s")
	n.step(5, ClientGone{1})
	n.want(Withdraw{1, 0}, Discard{1})
	n.read(5, 1, reader)
	n.want(Discard{1})
}

// Found on the first standard days: a shed with a read out counts as one that may have run.
func TestNonRetriableIsNotShedWhileASendIsOut(t *testing.T) {
	n := newNode(t, nil)
	n.arrive(1, 1, "s")
	n.step(3990, TimerDue{1})
	n.want(Fail{1}, Withdraw{1, 0}, Discard{1})
}

func TestWriterThatMayHaveRunEndsANonRetriable(t *testing.T) {
	n := newNode(t, nil)
	writer := n.read(20, 1, n.arrive(1, 1, "s"))
	n.step(20, Outcome{Inf: 1, Send: 1, Engine: writer, Verdict: ConnectionLost})
	n.want(Fail{1}, Discard{1})
}

// Incident i368f41: single sends vanish while their engine answers later ones.
func TestOvertakenSendIsWithdrawnAndSentElsewhere(t *testing.T) {
	n := newNode(t, nil)
	lost := n.arrive(1, 0, "s")
	for inf := int64(2); inf <= 8; inf++ {
		n.read(60, inf, n.arrive(inf, 0, "s")) // its home is where the lost one was sent
		for _, e := range n.got {
			if e == (Withdraw{1, 0}) {
				if to := n.step(1, Outcome{Inf: 1, Engine: lost, Verdict: Withdrawn}); to == "" || to == lost {
					t.Fatalf("sent again to %q", to)
				}
				return
			}
		}
	}
	t.Fatal("never withdrawn")
}

// Incidents i384176 and i602403: writers that came back were left idle.
func TestColdEngineGetsMoreThanOneSendAWindow(t *testing.T) {
	n := newNode(t, nil)
	for inf := int64(1); inf <= 100; inf++ {
		n.serve(inf, fmt.Sprint("s", inf))
	}
	n.engines(EngineEntry{UpSince: n.now}, "w2")
	cold := 0
	for inf := int64(101); inf <= 120; inf++ {
		if _, w := n.serve(inf, fmt.Sprint("s", inf)); w == "w2" {
			cold++
		}
	}
	if cold < 2 || cold > 9 {
		t.Fatalf("%d sends to the cold writer in 0.8 s", cold)
	}
}

// Incident i103f8c: queues that never clear.
func TestArrivalIsShedOnceAllReadsTakeLong(t *testing.T) {
	n := newNode(t, nil)
	for inf := int64(1); inf <= 4; inf++ {
		reader := n.arrive(inf, 0, fmt.Sprint("s", inf))
		n.read(1500, inf, reader)
	}
	n.arrive(5, 0, "new")
	n.got = n.got[2:] // its two timers
	n.want(Shed{Inf: 5}, Discard{5})
}

// Incident i72c633: lags of before stood for a queue that had drained.
func TestArrivalIsTakenOnceNothingWaits(t *testing.T) {
	n := newNode(t, nil)
	for inf := int64(1); inf <= 4; inf++ {
		reader := n.arrive(inf, 0, fmt.Sprint("s", inf))
		n.first(20, inf, n.read(1500, inf, reader))
	}
	n.now += 800 * ms
	if n.arrive(5, 0, "new") == "" {
		t.Fatal("shed though nothing waits")
	}
}

// The same incident: in a jam, a read that is late already makes room.
func TestLateReadIsShedOnlyInAJam(t *testing.T) {
	for _, others := range []int64{0, 8} {
		n := newNode(t, nil)
		for inf := int64(1); inf <= 1+others; inf++ {
			n.arrive(inf, 0, fmt.Sprint("s", inf))
		}
		n.now += 1100 * ms
		for inf := int64(2); inf <= 1+others; inf++ {
			writer := n.read(0, inf, n.b.infs[inf].reader)
			n.first(0, inf, writer)
		}
		n.step(0, TimerDue{2})
		if others == 0 {
			n.want()
		} else {
			n.want(Shed{Inf: 1}, Withdraw{1, 0}, Discard{1})
		}
	}
}

// Day hd6b175: a session's writer has become slow.
func TestSessionLeavesASlowWriter(t *testing.T) {
	n := newNode(t, nil)
	_, slow := n.serve(1, "s")
	n.now += 3000 * ms // the quick lag of before is old
	writer := n.read(20, 2, n.arrive(2, 0, "s"))
	n.first(600, 2, writer)
	if w := n.read(20, 3, n.arrive(3, 0, "s")); w == slow {
		t.Fatalf("still sent to %s", w)
	}
}

func TestWriterReportedFullIsPassedOver(t *testing.T) {
	n := newNode(t, map[string]any{"engine_facts.memory_of_kind.1": 100000.0})
	_, writer := n.serve(1, "s")
	n.serve(2, "s")
	n.step(5, Outcome{Inf: 1, Send: 1, Engine: writer, Verdict: Completed, Ended: true,
		Report: map[string]float64{"memory_share": 1.2}})
	if _, w := n.serve(3, "s"); w == writer {
		t.Fatalf("sent to %s, which is full", w)
	}
}

func TestReportsThatLieCostAWaitOnly(t *testing.T) {
	n := newNode(t, map[string]any{"engine_facts.memory_of_kind.1": 100000.0})
	for inf := int64(1); inf <= 2; inf++ {
		n.serve(inf, fmt.Sprint("s", inf))
	}
	reader := n.arrive(3, 0, "s3")
	for _, w := range []string{"w0", "w1"} {
		n.b.engines[w].memory, n.b.engines[w].reportAt = 9, n.now+1000*ms
	}
	if w := n.read(20, 3, reader); w != "" {
		t.Fatalf("sent to %s, which is reported full", w)
	}
	token := n.b.token
	for waited := 30; waited < 480; waited += 30 {
		if w := n.step(30, TimerDue{token}); w != "" {
			return
		}
		token = n.b.token
	}
	t.Fatal("never sent to a writer")
}

// Incident i103f8c: a front spreads the turns of a session over nodes.
func TestTurnsFindTheirReaderFromAnotherNode(t *testing.T) {
	peers := map[string]any{"limits.peers": true}
	a, b := newNode(t, peers), newNode(t, peers)
	usual, _ := newNode(t, peers).serve(1, "s")
	a.step(0, EngineNews{Engines: []EngineEntry{{Engine: usual, Drains: true}}})
	reader, writer := a.serve(1, "s")
	for _, e := range a.got {
		if tell, ok := e.(Tell); ok {
			b.step(0, PeerMessage{Text: tell.Text})
		}
	}
	b.step(0, PeerMessage{Text: "kept nonsense"})
	if r, w := b.serve(9, "s"); r != reader || w != writer {
		t.Fatalf("%s, %s at one node and %s, %s at the other", reader, writer, r, w)
	}
}

// Incident id5afd4: the same where nodes may not talk.
func TestTurnsGoHomeWhereMessagesAreForbidden(t *testing.T) {
	a, b := newNode(t, nil), newNode(t, nil)
	used := map[string]bool{}
	for inf := int64(1); inf <= 20; inf++ {
		session := fmt.Sprint("s", inf)
		r1, _ := a.serve(inf, session)
		used[r1] = true
		if r2, _ := b.serve(inf, session); r1 != r2 {
			t.Fatalf("%s is read at %s and at %s", session, r1, r2)
		}
	}
	if len(used) != 2 {
		t.Fatalf("one reader bears the shared beginning alone: %v", used)
	}
}

// First scores at a hundred nodes: jams at one home while others idle.
func TestCrowdedHomeIsPassedOver(t *testing.T) {
	n := newNode(t, map[string]any{"limits.probes": true})
	home, _ := newNode(t, nil).serve(1, "s")
	n.step(0, Arrival{Inf: 1, Session: "s", Prefix: "p", Prompt: 2000, PrefixTokens: 1500, GiveUpAt: n.now + 4000*ms})
	var asked []string
	for _, e := range n.got {
		if p, ok := e.(Probe); ok {
			asked = append(asked, p.Engine)
		}
	}
	n.b.paces = []int64{100 * ms}
	to := ""
	for _, id := range asked {
		load := map[string]float64{"waiting_thousand_tokens": 1}
		if id == home {
			load["waiting_thousand_tokens"] = 50
		}
		to = n.step(1, ProbeResult{Engine: id, Verdict: Completed, Report: load})
	}
	if len(asked) < 3 || to == "" || to == home {
		t.Fatalf("asked %v and sent to %q, its home being %s", asked, to, home)
	}
}

// Incident i64730d: states that leave their cell crowd its link, and a full writer near is worse.
func TestWriterIsNearUnlessKnownToBeFull(t *testing.T) {
	for _, share := range []float64{0.2, 0.95} {
		n := newNode(t, nil)
		n.step(0, EngineNews{Engines: []EngineEntry{{Engine: "w1", Weight: 1, Kind: 1, Cell: 1, Ready: true}}})
		reader := n.arrive(1, 0, "s")
		for id, memory := range map[string]float64{"w0": share, "w1": 0.1} {
			n.b.learnReport(n.b.engines[id], map[string]float64{"memory_share": memory})
		}
		if w := n.read(20, 1, reader); (w == "w0") != (share < 0.5) {
			t.Fatalf("sent to %s with the near writer's memory held to %.2f", w, share)
		}
	}
}

// Found on sockets, a day of resets: what breaks on the way was held against one engine after the other,
// until a single writer was left for all.
func TestWhatBreaksOnTheWayKeepsNobodyOut(t *testing.T) {
	n := newNode(t, nil)
	e := n.b.engines["w0"]
	well := func() bool {
		n.b.now = n.now
		return n.b.healthy(&inference{}, e, load{}, 0, 1)
	}
	writer := n.read(20, 1, n.arrive(1, 0, "s"))
	n.step(20, Outcome{Inf: 1, Send: 1, Engine: writer, Verdict: ConnectionLost, Stale: true})
	if n.b.engines[writer].trial || len(n.b.engines[writer].strikes) > 0 {
		t.Fatal("a kept connection that broke as it was used again is a strike")
	}
	e.strikes, e.trial = []int64{n.now}, true
	if well() {
		t.Fatal("struck just now, and tried at once")
	}
	n.now += 600 * ms
	if !well() {
		t.Fatal("as often struck as others, and kept out past the blow")
	}
	if e.trial = false; !n.b.healthy(&inference{}, e, load{}, 0, 1) || n.b.healthy(&inference{}, e, load{}, 0, 0) {
		t.Fatal("who did well since is kept out, or not, whatever others' strikes are")
	}
}

// A struck writer is tried beside streams that go on there, and one that ends well ends the trial.
func TestTrialBesideOpenStreams(t *testing.T) {
	n := newNode(t, nil)
	_, writer := n.serve(1, "s")
	e := n.b.engines[writer]
	e.strikes, e.trial = []int64{n.now}, true
	n.b.now += 5000 * ms
	if !n.b.healthy(&inference{}, e, n.b.loads()[writer], 0, 0) {
		t.Fatal("not tried while a stream goes on there")
	}
	n.step(0, Outcome{Inf: 1, Send: 1, Engine: writer, Verdict: Completed, Ended: true})
	if e.trial {
		t.Fatal("still on trial after a stream to its end")
	}
}

// Found on sockets: a writer that was gone refused four sends within a millisecond, as it had the fewest
// streams.
func TestNoTwoSendsAtOnceToWhatRefused(t *testing.T) {
	n := newNode(t, nil)
	n.engines(EngineEntry{}, "r0") // the list stays; only what was struck changes
	for _, id := range []string{"w0", "w1"} {
		n.b.engines[id].strikes, n.b.engines[id].trial = []int64{n.now}, true
	}
	first := n.read(20, 1, n.arrive(1, 0, "s"))
	second := n.step(1, Outcome{Inf: 1, Send: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("%q after %q", second, first)
	}
	if again := n.step(1, Outcome{Inf: 1, Send: 2, Engine: second, Verdict: NotConnected}); again != "" {
		t.Fatalf("%q at once after both refused", again)
	}
}

// Found on sockets: of four readers one was several times slower than the others, and half of them was usual.
func TestUsualLagIsOfTheOthers(t *testing.T) {
	n := newNode(t, nil)
	n.engines(EngineEntry{}, "r2", "r3")
	for id, lag := range map[string]int64{"r0": 20, "r1": 260, "r2": 380, "r3": 900} {
		n.b.engines[id].samples = []sample{{n.now, lag * ms}}
	}
	inf := &inference{Arrival: Arrival{Prompt: 2000}}
	for _, e := range n.b.usable(inf, n.b.loads(), func(e *engine) bool { return e.reader }) {
		if e.Engine == "r3" {
			t.Error("the slow one is as good as the others")
		}
	}
}

// Found on sockets: sessions stuck to a reader that had become slow. A busy one has as high a lag for more
// work.
func TestSlowIsNotBusy(t *testing.T) {
	n := newNode(t, nil)
	n.engines(EngineEntry{}, "r2")
	inf := &inference{Arrival: Arrival{Prompt: 4000}}
	lagged := func(id string, lag int64, waits float64) {
		e := n.b.engines[id]
		for range 3 {
			n.b.learnOutcome(inf, &send{engine: id, waits: 1 + waits}, Outcome{Verdict: ReadDone, Lag: lag * ms})
		}
		e.strikes = nil
	}
	lagged("r0", 200, 0)
	lagged("r1", 900, 16) // busy
	lagged("r2", 900, 0)  // slow
	for id, want := range map[string]bool{"r0": false, "r1": false, "r2": true} {
		if e := n.b.engines[id]; n.b.slow(e) != want || n.b.healthy(inf, e, load{}, 800*ms, 0) == want {
			t.Errorf("%s: slow %v", id, n.b.slow(e))
		}
	}
}

// Found on split+term+brink: writers fell silent, each failed dial of a quarter second counted as news of the
// state, and its reader held it for up to a second and a half.
func TestFailedDialsGiveAStateNoMoreTime(t *testing.T) {
	n := newNode(t, nil)
	first := n.read(20, 1, n.arrive(1, 0, "s"))
	second := n.step(240, Outcome{Inf: 1, Send: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("after %s it went to %q", first, second)
	}
	n.step(240, Outcome{Inf: 1, Send: 2, Engine: second, Verdict: NotConnected})
	n.want(Shed{1, 0}, Discard{1})
}

// asked takes an inference of a route whose engines all answer when they are asked, and returns its reader.
func (n *node) asked(route int) (reader string) {
	n.arrive(1, route, "s")
	for _, e := range n.got {
		if p, ok := e.(Probe); ok {
			if to := n.step(1, ProbeResult{Engine: p.Engine, Verdict: Completed}); to != "" {
				reader = to
			}
		}
	}
	return reader
}

// quiet lets so much time pass since a send that its engine is asked whether it is there.
func (n *node) quiet(engine string) {
	n.t.Helper()
	for _, e := range n.got {
		if a, ok := e.(ArmTimer); ok {
			n.step(a.In/ms+1, TimerDue{a.Token})
			n.want(Probe{engine})
		}
	}
}

// waiting is a node whose writer has had an inference of a route for so long that it is asked whether it is there.
func waiting(t *testing.T, route int) (n *node, writer string) {
	n = newNode(t, map[string]any{"limits.probes": true, "nodes": 1.0})
	writer = n.read(20, 1, n.asked(route))
	n.quiet(writer)
	return n, writer
}

// Found on split+term+brink: what is written to a kept connection of a machine that is cut off is never answered,
// and its state was held until the client gave up.
func TestSilentWriterIsLeft(t *testing.T) {
	n, writer := waiting(t, 0)
	n.step(0, ProbeResult{Engine: writer, Verdict: TimedOut})
	n.want(Withdraw{1, 1})
	if to := n.step(0, Outcome{Inf: 1, Send: 1, Engine: writer, Verdict: Withdrawn}); to == "" || to == writer {
		t.Fatalf("after %s it went to %q", writer, to)
	}
	// A non-retriable may have run, so it waits on; only its state goes.
	n, writer = waiting(t, 1)
	n.step(0, ProbeResult{Engine: writer, Verdict: TimedOut})
	n.want(Discard{1})
	// One that answers is there, be it with nothing but that it is busy.
	for _, v := range []Verdict{Completed, Full} {
		n, writer = waiting(t, 0)
		n.step(0, ProbeResult{Engine: writer, Verdict: v})
		n.want()
	}
}

// What a node remembers is bounded, however many engines, sessions and inferences come and go.
func TestMemoryOfADayWithoutEndIsBounded(t *testing.T) {
	n := newNode(t, nil)
	for i := range int64(30000) {
		if i%100 == 0 {
			list := EngineNews{Whole: true}
			for k, id := range []string{"r0", "r1", fmt.Sprint("w", i), fmt.Sprint("w", i+1)} {
				list.Engines = append(list.Engines, EngineEntry{Engine: id, Weight: 1, Kind: k / 2, Ready: true})
			}
			n.step(1000, list)
		}
		reader := n.arrive(i, 0, fmt.Sprint("s", i))
		writer := n.read(20, i, reader)
		n.first(20, i, writer)
		n.step(60, Outcome{Inf: i, Send: 1, Engine: writer, Verdict: Completed, Ended: true})
		for token := range n.b.timers {
			if i%50 == 0 {
				n.step(0, TimerDue{token})
			}
		}
	}
	b := n.b
	if len(b.engines) > 40 || len(b.ids) > 40 || len(b.infs) > 0 || len(b.timers) > 300 || len(b.kept) > 20001 ||
		len(b.pairs) > 20001 {
		t.Errorf("engines %d, listed %d, inferences %d, timers %d, kept %d, pairs %d", len(b.engines), len(b.ids),
			len(b.infs), len(b.timers), len(b.kept), len(b.pairs))
	}
}

// A read that is given up at a silent reader is repeated only where the inference may run twice: see
// docs/incidents/read-given-up-at-a-silent-reader.md.
func TestReadAtASilentReaderIsRepeatedOnlyWhereItMayRunTwice(t *testing.T) {
	for route, effects := range [][]Effect{{Withdraw{1, 0}}, nil} {
		n := newNode(t, map[string]any{"limits.probes": true})
		reader := n.asked(route)
		n.quiet(reader)
		n.step(0, ProbeResult{Engine: reader, Verdict: TimedOut})
		n.want(effects...)
	}
}

// Found on the new engines' calm day: inferences stood behind tens of thousands of tokens at their first home, while
// the second, which keeps the shared beginning as well, had none to read.
func TestOfTwoHomesTheOneWithLessToRead(t *testing.T) {
	home, _ := newNode(t, nil).serve(1, "s")
	for _, at := range []struct {
		home, other, found float64
		moves              bool
	}{{6, 3, 0, true}, {3.2, 3, 1, false}, {3.2, 3, 0, true}, {3, 3, 0, false}} {
		n := newNode(t, map[string]any{"limits.probes": true})
		n.b.paces, n.b.found = []int64{50 * ms}, []int64{int64(1e6 * at.found)}
		n.step(0, Arrival{Inf: 1, Session: "s", Prefix: "p", Prompt: 2000, PrefixTokens: 1500, GiveUpAt: n.now + 4000*ms})
		to := ""
		for _, e := range n.got {
			if p, ok := e.(Probe); ok {
				load := map[string]float64{"waiting_thousand_tokens": at.other}
				if p.Engine == home {
					load["waiting_thousand_tokens"] = at.home
				}
				if sent := n.step(1, ProbeResult{Engine: p.Engine, Verdict: Completed, Report: load}); sent != "" {
					to = sent
				}
			}
		}
		if to == "" || (to != home) != at.moves {
			t.Errorf("with %v thousand tokens at home and %v at the other, %v found: sent to %q, home is %s",
				at.home, at.other, at.found, to, home)
		}
	}
}
