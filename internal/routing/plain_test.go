package routing

import (
	"fmt"
	"testing"
	"time"
)

// testNode is one brain with two readers r0, r1 and two writers w0, w1.
type testNode struct {
	t       *testing.T
	policy  *Policy
	now     time.Duration
	actions []Action
}

func newTestNode(t *testing.T, change func(*Config)) *testNode {
	config := DefaultConfig()
	config.MaxAttempts, config.Cancel, config.Tick, config.Nodes = 4, true, 4*time.Millisecond, 2
	config.SetReservationLimit(500 * time.Millisecond)
	config.SlowStart = SlowStart{Duration: 10 * time.Second, Window: time.Second, Share: 0.25, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}}
	config.Routes = []Route{{Effect: Retriable, PriorityWeight: 1, FirstTokenObjective: time.Second},
		{Effect: NonRetriable, PriorityWeight: 1, FirstTokenObjective: time.Second}}
	if change != nil {
		change(&config)
	}
	n := &testNode{t: t, policy: New(1, config), now: 1e12}
	n.engines(Endpoint{}, "r0", "r1", "w0", "w1")
	return n
}

func (n *testNode) engines(like Endpoint, ids ...string) {
	news := EndpointUpdate{}
	for _, id := range ids {
		like.Engine, like.Ready, like.Kind = id, true, 0
		if id[0] == 'w' {
			like.Kind = 1
		}
		news.Engines = append(news.Engines, like)
	}
	n.step(0, news)
}

// step handles an event after a while and returns the engine that was sent to, if one was.
func (n *testNode) step(after time.Duration, in Event) string {
	n.now += after
	n.actions = n.policy.Step(n.now, in)
	for _, e := range n.actions {
		if s, ok := e.(Send); ok {
			return s.Engine
		}
	}
	return ""
}

func (n *testNode) arrive(req int64, route int, session string) string {
	return n.step(0, RequestArrived{RequestID: req, Route: route, Session: session, Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500,
		Deadline: n.now + 4000*ms})
}

func (n *testNode) prefill(after time.Duration, req int64, prefillEngine string) string {
	return n.step(after, Outcome{RequestID: req, Engine: prefillEngine, Verdict: PrefillDone, Latency: after})
}

func (n *testNode) firstToken(after time.Duration, req int64, decodeEngine string) {
	n.step(after, FirstToken{RequestID: req, Attempt: 1, Engine: decodeEngine, Latency: after})
}

// serve takes an inference through to its first token and returns its engines.
func (n *testNode) serve(req int64, session string) (prefillEngine, decodeEngine string) {
	prefillEngine = n.arrive(req, 0, session)
	decodeEngine = n.prefill(20*ms, req, prefillEngine)
	n.firstToken(20*ms, req, decodeEngine)
	return prefillEngine, decodeEngine
}

func (n *testNode) want(effects ...Action) {
	n.t.Helper()
	if fmt.Sprintf("%T%v", n.actions, n.actions) != fmt.Sprintf("%T%v", effects, effects) {
		n.t.Fatalf("got %+v, want %+v", n.actions, effects)
	}
}

func TestSessionAffinityIsKept(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine, decodeEngine := n.serve(1, "s")
	if r, w := n.serve(2, "s"); r != prefillEngine || w != decodeEngine {
		t.Fatalf("the session went from %s, %s to %s, %s", prefillEngine, decodeEngine, r, w)
	}
}

func TestLatePrefillIsReleased(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine := n.arrive(1, 0, "s")
	n.step(5*ms, ClientDisconnected{1})
	n.want(CancelAttempt{1, 0}, Release{1})
	n.prefill(5*ms, 1, prefillEngine)
	n.want(Release{1})
}

// Found on the first standard days: a shed with a read out counts as one that may have run.
func TestNonRetriableIsNotShedWithAnAttemptInFlight(t *testing.T) {
	n := newTestNode(t, nil)
	n.arrive(1, 1, "s")
	n.step(3990*ms, TimerFired{1})
	n.want(Fail{1}, CancelAttempt{1, 0}, Release{1})
}

func TestDecodeThatMayHaveRunFailsANonRetriable(t *testing.T) {
	n := newTestNode(t, nil)
	decodeEngine := n.prefill(20*ms, 1, n.arrive(1, 1, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost})
	n.want(Fail{1}, Release{1})
}

// Incident i368f41: single sends vanish while their engine answers later ones.
func TestAttemptPassedByLaterResponsesIsCanceledAndRetriedElsewhere(t *testing.T) {
	n := newTestNode(t, nil)
	lost := n.arrive(1, 0, "s")
	for req := int64(2); req <= 8; req++ {
		n.prefill(60*ms, req, n.arrive(req, 0, "s")) // its home is where the lost one was sent
		for _, e := range n.actions {
			if e == (CancelAttempt{1, 0}) {
				if to := n.step(1*ms, Outcome{RequestID: 1, Engine: lost, Verdict: Canceled}); to == "" || to == lost {
					t.Fatalf("sent again to %q", to)
				}
				return
			}
		}
	}
	t.Fatal("never withdrawn")
}

// Incidents i384176 and i602403: writers that came back were left idle.
func TestWarmingUpEngineGetsMoreThanOneRequestAWindow(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 100; req++ {
		n.serve(req, fmt.Sprint("s", req))
	}
	n.engines(Endpoint{StartedAt: n.now}, "w2")
	cold := 0
	for req := int64(101); req <= 120; req++ {
		if _, w := n.serve(req, fmt.Sprint("s", req)); w == "w2" {
			cold++
		}
	}
	if cold < 2 || cold > 9 {
		t.Fatalf("%d sends to the cold writer in 0.8 s", cold)
	}
}

// Incident i103f8c: queues that never clear.
func TestRequestIsShedOnceAllPrefillsAreSlow(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 4; req++ {
		prefillEngine := n.arrive(req, 0, fmt.Sprint("s", req))
		n.prefill(1500*ms, req, prefillEngine)
	}
	n.arrive(5, 0, "new")
	n.actions = n.actions[2:] // its two timers
	n.want(Shed{RequestID: 5}, Release{5})
}

// Incident i72c633: lags of before stood for a queue that had drained.
func TestRequestIsAdmittedOnceQueuesAreEmpty(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 4; req++ {
		prefillEngine := n.arrive(req, 0, fmt.Sprint("s", req))
		n.firstToken(20*ms, req, n.prefill(1500*ms, req, prefillEngine))
	}
	n.now += 800 * ms
	if n.arrive(5, 0, "new") == "" {
		t.Fatal("shed though nothing waits")
	}
}

// The same incident: in a jam, a read that is late already makes room.
func TestLatePrefillIsShedOnlyUnderOverload(t *testing.T) {
	for _, others := range []int64{0, 8} {
		n := newTestNode(t, nil)
		for req := int64(1); req <= 1+others; req++ {
			n.arrive(req, 0, fmt.Sprint("s", req))
		}
		n.now += 1100 * ms
		for req := int64(2); req <= 1+others; req++ {
			decodeEngine := n.prefill(0, req, n.policy.requests[req].prefillEngine)
			n.firstToken(0, req, decodeEngine)
		}
		n.step(0, TimerFired{2})
		if others == 0 {
			n.want()
		} else {
			n.want(Shed{RequestID: 1}, CancelAttempt{1, 0}, Release{1})
		}
	}
}

// Day hd6b175: a session's writer has become slow.
func TestSessionLeavesASlowDecodeEngine(t *testing.T) {
	n := newTestNode(t, nil)
	_, slow := n.serve(1, "s")
	n.now += 3000 * ms // the quick lag of before is old
	decodeEngine := n.prefill(20*ms, 2, n.arrive(2, 0, "s"))
	n.firstToken(600*ms, 2, decodeEngine)
	if w := n.prefill(20*ms, 3, n.arrive(3, 0, "s")); w == slow {
		t.Fatalf("still sent to %s", w)
	}
}

func TestDecodeEngineReportedFullIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	_, decodeEngine := n.serve(1, "s")
	n.serve(2, "s")
	n.step(5*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true,
		Report: &LoadReport{MemoryShare: 1.2}})
	if _, w := n.serve(3, "s"); w == decodeEngine {
		t.Fatalf("sent to %s, which is full", w)
	}
}

func TestFalseLoadReportsOnlyDelayADecode(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.Kinds[1].MemoryTokens = 100_000 })
	for req := int64(1); req <= 2; req++ {
		n.serve(req, fmt.Sprint("s", req))
	}
	prefillEngine := n.arrive(3, 0, "s3")
	for _, w := range []string{"w0", "w1"} {
		n.policy.engines[w].memoryShare, n.policy.engines[w].reportedAt = 9, n.now+1000*ms
	}
	if w := n.prefill(20*ms, 3, prefillEngine); w != "" {
		t.Fatalf("sent to %s, which is reported full", w)
	}
	token := n.policy.timers.lastToken
	for waited := 30; waited < 480; waited += 30 {
		if w := n.step(30*ms, TimerFired{token}); w != "" {
			return
		}
		token = n.policy.timers.lastToken
	}
	t.Fatal("never sent to a writer")
}

// Incident i103f8c: a front spreads the turns of a session over nodes.
func TestSessionAffinityIsSharedByGossip(t *testing.T) {
	peers := func(c *Config) { c.Gossip = true }
	a, b := newTestNode(t, peers), newTestNode(t, peers)
	usual, _ := newTestNode(t, peers).serve(1, "s")
	a.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: usual, Draining: true}}})
	prefillEngine, decodeEngine := a.serve(1, "s")
	for _, e := range a.actions {
		if tell, ok := e.(SendGossip); ok {
			b.step(0, GossipReceived{Text: tell.Text})
		}
	}
	b.step(0, GossipReceived{Text: "kept nonsense"})
	if r, w := b.serve(9, "s"); r != prefillEngine || w != decodeEngine {
		t.Fatalf("%s, %s at one node and %s, %s at the other", prefillEngine, decodeEngine, r, w)
	}
}

// Incident id5afd4: the same where nodes may not talk.
func TestSessionsUsePreferredEnginesWithoutGossip(t *testing.T) {
	a, b := newTestNode(t, nil), newTestNode(t, nil)
	used := map[string]bool{}
	for req := int64(1); req <= 20; req++ {
		session := fmt.Sprint("s", req)
		r1, _ := a.serve(req, session)
		used[r1] = true
		if r2, _ := b.serve(req, session); r1 != r2 {
			t.Fatalf("%s is read at %s and at %s", session, r1, r2)
		}
	}
	if len(used) != 2 {
		t.Fatalf("one reader bears the shared beginning alone: %v", used)
	}
}

// First scores at a hundred nodes: jams at one home while others idle.
func TestOverloadedPreferredEngineIsSkipped(t *testing.T) {
	n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
	home, _ := newTestNode(t, nil).serve(1, "s")
	n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
	var asked []string
	for _, e := range n.actions {
		if p, ok := e.(HealthCheck); ok {
			asked = append(asked, p.Engine)
		}
	}
	n.policy.recentLatencyPerWork = []time.Duration{100 * ms}
	to := ""
	for _, id := range asked {
		load := &LoadReport{QueuedWork: 1}
		if id == home {
			load.QueuedWork = 50
		}
		to = n.step(1*ms, HealthCheckResult{Engine: id, Verdict: Completed, Report: load})
	}
	if len(asked) < 3 || to == "" || to == home {
		t.Fatalf("asked %v and sent to %q, its home being %s", asked, to, home)
	}
}

// Incident i64730d: states that leave their cell crowd its link, and a full writer near is worse.
func TestDecodeEngineIsNearUnlessReportedFull(t *testing.T) {
	for _, share := range []float64{0.2, 0.95} {
		n := newTestNode(t, nil)
		n.step(0, EndpointUpdate{Engines: []Endpoint{{Engine: "w1", Weight: 1, Kind: 1, Cell: 1, Ready: true}}})
		prefillEngine := n.arrive(1, 0, "s")
		for id, memory := range map[string]float64{"w0": share, "w1": 0.1} {
			n.policy.recordReport(n.policy.engines[id], &LoadReport{MemoryShare: memory})
		}
		if w := n.prefill(20*ms, 1, prefillEngine); (w == "w0") != (share < 0.5) {
			t.Fatalf("sent to %s with the near writer's memory held to %.2f", w, share)
		}
	}
}

// Found on sockets, a day of resets: what breaks on the way was held against one engine after the other,
// until a single writer was left for all.
func TestNetworkFaultsEjectNoEngine(t *testing.T) {
	n := newTestNode(t, nil)
	e := n.policy.engines["w0"]
	well := func() bool {
		n.policy.now = n.now
		return n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1)
	}
	decodeEngine := n.prefill(20*ms, 1, n.arrive(1, 0, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost, StaleConnection: true})
	if n.policy.engines[decodeEngine].suspect || len(n.policy.engines[decodeEngine].faultTimes) > 0 {
		t.Fatal("a kept connection that broke as it was used again is a strike")
	}
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	if well() {
		t.Fatal("struck just now, and tried at once")
	}
	n.now += 600 * ms
	if !well() {
		t.Fatal("as often struck as others, and kept out past the blow")
	}
	if e.suspect = false; !n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 1) || n.policy.isHealthy(&request{}, e, engineLoad{}, 0, 0) {
		t.Fatal("who did well since is kept out, or not, whatever others' strikes are")
	}
}

// A struck writer is tried beside streams that go on there, and one that ends well ends the trial.
func TestSuspectEngineIsRetriedBesideOpenStreams(t *testing.T) {
	n := newTestNode(t, nil)
	_, decodeEngine := n.serve(1, "s")
	e := n.policy.engines[decodeEngine]
	e.faultTimes, e.suspect = []time.Duration{n.now}, true
	n.policy.now += 5000 * ms
	if !n.policy.isHealthy(&request{}, e, n.policy.openLoads()[decodeEngine], 0, 0) {
		t.Fatal("not tried while a stream goes on there")
	}
	n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true})
	if e.suspect {
		t.Fatal("still on trial after a stream to its end")
	}
}

// Found on sockets: a writer that was gone refused four sends within a millisecond, as it had the fewest
// streams.
func TestNoTwoAttemptsAtOnceToAnEngineThatRefused(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r0") // the list stays; only what was struck changes
	for _, id := range []string{"w0", "w1"} {
		n.policy.engines[id].faultTimes, n.policy.engines[id].suspect = []time.Duration{n.now}, true
	}
	first := n.prefill(20*ms, 1, n.arrive(1, 0, "s"))
	second := n.step(1*ms, Outcome{RequestID: 1, Attempt: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("%q after %q", second, first)
	}
	if again := n.step(1*ms, Outcome{RequestID: 1, Attempt: 2, Engine: second, Verdict: NotConnected}); again != "" {
		t.Fatalf("%q at once after both refused", again)
	}
}

// Found on sockets: of four readers one was several times slower than the others, and half of them was usual.
func TestUsualLatencyExcludesTheOutlier(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r2", "r3")
	for id, lag := range map[string]time.Duration{"r0": 20, "r1": 260, "r2": 380, "r3": 900} {
		n.policy.engines[id].latencySamples = []sample{{n.now, lag * ms}}
	}
	req := &request{RequestArrived: RequestArrived{PromptTokens: 2000}}
	for _, e := range n.policy.usableEngines(req, n.policy.openLoads(), func(e *engine) bool { return e.canPrefill }) {
		if e.Engine == "r3" {
			t.Error("the slow one is as good as the others")
		}
	}
}

// Found on sockets: sessions stuck to a reader that had become slow. A busy one has as high a lag for more
// work.
func TestBusyEngineIsNotSlow(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r2")
	req := &request{RequestArrived: RequestArrived{PromptTokens: 4000}}
	lagged := func(id string, lag time.Duration, waits float64) {
		e := n.policy.engines[id]
		for range 3 {
			n.policy.recordOutcome(req, &attempt{engine: id, queuedWork: 1 + waits}, Outcome{Verdict: PrefillDone, Latency: lag * ms})
		}
		e.faultTimes = nil
	}
	lagged("r0", 200, 0)
	lagged("r1", 900, 16) // busy
	lagged("r2", 900, 0)  // slow
	for id, want := range map[string]bool{"r0": false, "r1": false, "r2": true} {
		if e := n.policy.engines[id]; n.policy.isSlow(e) != want || n.policy.isHealthy(req, e, engineLoad{}, 800*ms, 0) == want {
			t.Errorf("%s: slow %v", id, n.policy.isSlow(e))
		}
	}
}

// Found on split+term+brink: writers fell silent, each failed dial of a quarter second counted as news of the
// state, and its reader held it for up to a second and a half.
func TestFailedDialsDoNotExtendAReservation(t *testing.T) {
	n := newTestNode(t, nil)
	first := n.prefill(20*ms, 1, n.arrive(1, 0, "s"))
	second := n.step(240*ms, Outcome{RequestID: 1, Attempt: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("after %s it went to %q", first, second)
	}
	n.step(240*ms, Outcome{RequestID: 1, Attempt: 2, Engine: second, Verdict: NotConnected})
	n.want(Shed{1, 0}, Release{1})
}

// prefillAfterChecks takes an inference of a route whose engines all answer when they are asked, and returns
// its reader.
func (n *testNode) prefillAfterChecks(route int) (prefillEngine string) {
	n.arrive(1, route, "s")
	for _, e := range n.actions {
		if p, ok := e.(HealthCheck); ok {
			if to := n.step(1*ms, HealthCheckResult{Engine: p.Engine, Verdict: Completed}); to != "" {
				prefillEngine = to
			}
		}
	}
	return prefillEngine
}

// letResponseBecomeOverdue lets so much time pass since a send that its engine is asked whether it is there.
func (n *testNode) letResponseBecomeOverdue(engine string) {
	n.t.Helper()
	for _, e := range n.actions {
		if a, ok := e.(StartTimer); ok {
			n.step(a.After+ms, TimerFired{a.Token})
			n.want(HealthCheck{engine})
		}
	}
}

// newTestNodeWithOverdueDecode is a node whose writer has had an inference of a route for so long that it is
// asked whether it is there.
func newTestNodeWithOverdueDecode(t *testing.T, route int) (n *testNode, decodeEngine string) {
	n = newTestNode(t, func(c *Config) { c.HealthChecks, c.Nodes = true, 1 })
	decodeEngine = n.prefill(20*ms, 1, n.prefillAfterChecks(route))
	n.letResponseBecomeOverdue(decodeEngine)
	return n, decodeEngine
}

// Found on split+term+brink: what is written to a kept connection of a machine that is cut off is never
// answered, and its state was held until the client gave up.
func TestUnresponsiveDecodeEngineIsAbandoned(t *testing.T) {
	n, decodeEngine := newTestNodeWithOverdueDecode(t, 0)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.want(CancelAttempt{1, 1})
	if to := n.step(0, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: Canceled}); to == "" || to == decodeEngine {
		t.Fatalf("after %s it went to %q", decodeEngine, to)
	}
	// A non-retriable may have run, so it waits on; only its state goes.
	n, decodeEngine = newTestNodeWithOverdueDecode(t, 1)
	n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: TimedOut})
	n.want(Release{1})
	// One that answers is there, be it with nothing but that it is busy.
	for _, v := range []Verdict{Completed, Full} {
		n, decodeEngine = newTestNodeWithOverdueDecode(t, 0)
		n.step(0, HealthCheckResult{Engine: decodeEngine, Verdict: v})
		n.want()
	}
}

// What a node remembers is bounded, however many engines, sessions and inferences come and go.
func TestMemoryIsBounded(t *testing.T) {
	n := newTestNode(t, nil)
	for i := range int64(30000) {
		if i%100 == 0 {
			list := EndpointUpdate{Complete: true}
			for k, id := range []string{"r0", "r1", fmt.Sprint("w", i), fmt.Sprint("w", i+1)} {
				list.Engines = append(list.Engines, Endpoint{Engine: id, Weight: 1, Kind: k / 2, Ready: true})
			}
			n.step(1000*ms, list)
		}
		prefillEngine := n.arrive(i, 0, fmt.Sprint("s", i))
		decodeEngine := n.prefill(20*ms, i, prefillEngine)
		n.firstToken(20*ms, i, decodeEngine)
		n.step(60*ms, Outcome{RequestID: i, Attempt: 1, Engine: decodeEngine, Verdict: Completed, RequestEnded: true})
		for token := range n.policy.timers.pending {
			if i%50 == 0 {
				n.step(0, TimerFired{token})
			}
		}
	}
	policy := n.policy
	if len(policy.engines) > 40 || len(policy.engineIDs) > 40 || len(policy.requests) > 0 || len(policy.timers.pending) > 300 || len(policy.cache.entries) > 20001 ||
		len(policy.affinities) > 20001 {
		t.Errorf("engines %d, listed %d, inferences %d, timers %d, kept %d, pairs %d", len(policy.engines), len(policy.engineIDs),
			len(policy.requests), len(policy.timers.pending), len(policy.cache.entries), len(policy.affinities))
	}
}

// A read that is given up at a silent reader is repeated only where the inference may run twice: see
// docs/incidents/read-given-up-at-a-silent-reader.md.
func TestPrefillOnAnUnresponsiveEngineIsRetriedOnlyIfIdempotent(t *testing.T) {
	for route, effects := range [][]Action{{CancelAttempt{1, 0}}, nil} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		prefillEngine := n.prefillAfterChecks(route)
		n.letResponseBecomeOverdue(prefillEngine)
		n.step(0, HealthCheckResult{Engine: prefillEngine, Verdict: TimedOut})
		n.want(effects...)
	}
}

// Found on the new engines' calm day: inferences stood behind tens of thousands of tokens at their first
// home, while the second, which keeps the shared beginning as well, had none to read.
func TestPreferredEngineWithLessQueuedWorkIsChosen(t *testing.T) {
	home, _ := newTestNode(t, nil).serve(1, "s")
	for _, at := range []struct {
		home, other, found float64
		moves              bool
	}{{6, 3, 0, true}, {3.2, 3, 1, false}, {3.2, 3, 0, true}, {3, 3, 0, false}} {
		n := newTestNode(t, func(c *Config) { c.HealthChecks = true })
		n.policy.recentLatencyPerWork, n.policy.cache.recentHits = []time.Duration{50 * ms}, []int64{int64(1e6 * at.found)}
		n.step(0, RequestArrived{RequestID: 1, Session: "s", Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500, Deadline: n.now + 4000*ms})
		to := ""
		for _, e := range n.actions {
			if p, ok := e.(HealthCheck); ok {
				load := &LoadReport{QueuedWork: at.other}
				if p.Engine == home {
					load.QueuedWork = at.home
				}
				if sent := n.step(1*ms, HealthCheckResult{Engine: p.Engine, Verdict: Completed, Report: load}); sent != "" {
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
