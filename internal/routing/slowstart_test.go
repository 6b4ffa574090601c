package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The test guards against incidents i384176 and i602403: decode engines stayed idle after a restart.
func TestWarmingUpEngineGetsMoreThanOneRequestPerWindow(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 100; req++ {
		n.serve(req, fmt.Sprint("s", req))
	}
	n.updateEngines(Endpoint{StartedAt: n.now}, "w2")
	warming := 0
	for req := int64(101); req <= 120; req++ {
		if _, decodeEngine := n.serve(req, fmt.Sprint("s", req)); decodeEngine == "w2" {
			warming++
		}
	}
	if warming < 2 || warming > 9 {
		t.Fatalf("%d attempts at the decode engine that is warming up in 0.8 s", warming)
	}
}

// The test checks the attempts of all nodes together, from one to hundreds of nodes, by the test's own record.
func TestSlowStartBudgetIsSharedByAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulatedFleet(t)
		// A third of the prefill engines restarts, or all of them, of which one is ready before the others.
		restarted := max(1, f.prefillEngines/3)
		if rapid.Bool().Draw(t, "all") {
			restarted = f.prefillEngines
		}
		restart, interval := simulationStart+20*time.Second, time.Second/time.Duration(6*f.prefillEngines)
		for req := int64(1); f.now < simulationStart+24*time.Second; req++ {
			f.now += interval // six requests a second for each engine
			if f.now >= restart && f.now < restart+interval {
				f.restart(restarted)
			}
			f.arrive(req)
		}
		for i := range restarted {
			f.checkBudget(t, fmt.Sprint("r", i), restart)
		}
	})
}

// simulatedFleet holds many nodes that share some prefill engines. All prefills succeed at once.
type simulatedFleet struct {
	policies       []*Policy
	prefillEngines int
	list           EndpointUpdate
	now            time.Duration
	timers         []fleetTimer
	sentTo         map[string][]time.Duration
}

// fleetTimer is a timer of one node.
type fleetTimer struct {
	node  int
	at    time.Duration
	token int64
}

func newSimulatedFleet(t *rapid.T) *simulatedFleet {
	f := &simulatedFleet{now: simulationStart, sentTo: map[string][]time.Duration{},
		policies:       make([]*Policy, rapid.IntRange(1, 300).Draw(t, "nodes")),
		prefillEngines: rapid.IntRange(3, 12).Draw(t, "engines"),
		list:           EndpointUpdate{Complete: true, Engines: []Endpoint{{Engine: "w", Weight: 1, Kind: 1, Ready: true}}}}
	config := newSimulation(t).config
	config.Nodes, config.HealthChecks = len(f.policies), rapid.Bool().Draw(t, "health checks")
	for i := range f.prefillEngines {
		f.list.Engines = append(f.list.Engines, Endpoint{Engine: fmt.Sprint("r", i), Weight: 1, Ready: true})
	}
	for i := range f.policies {
		config.Node = i
		f.policies[i] = New(uint64(i), config)
		f.policies[i].Step(f.now, f.list)
	}
	return f
}

// restart restarts the first n prefill engines. If these are all, only one of them is ready again.
func (f *simulatedFleet) restart(n int) {
	all := n == f.prefillEngines
	for i := range n {
		engine := &f.list.Engines[1+i]
		engine.StartedAt, engine.Ready, engine.Removed = f.now, !all || i == 0, all && i > 0
	}
	for _, policy := range f.policies {
		policy.Step(f.now, f.list)
	}
}

// arrive fires the timers that are due and then passes a request to one of the nodes.
func (f *simulatedFleet) arrive(req int64) {
	due := slices.Clone(f.timers)
	f.timers = slices.DeleteFunc(f.timers, func(t fleetTimer) bool { return t.at <= f.now })
	for _, t := range due {
		if t.at <= f.now {
			f.step(t.node, TimerFired{t.token})
		}
	}
	node := int(hash(fmt.Sprint(req)) % uint64(len(f.policies)))
	f.step(node, RequestArrived{RequestID: req, Session: fmt.Sprint(req), PromptTokens: 2000, Deadline: f.now + 4000*ms})
}

func (f *simulatedFleet) step(node int, event Event) {
	for _, action := range f.policies[node].Step(f.now, event) {
		switch a := action.(type) {
		case StartTimer:
			if a.After < 100*ms {
				f.timers = append(f.timers, fleetTimer{node, f.now + a.After, a.Token})
			}
		case Send:
			f.sentTo[a.Engine] = append(f.sentTo[a.Engine], f.now)
			f.policies[node].Step(f.now, Outcome{RequestID: a.RequestID, Engine: a.Engine, Verdict: PrefillDone})
			f.policies[node].Step(f.now, ClientDisconnected{a.RequestID})
		}
	}
}

// checkBudget fails if an engine was sent too many attempts within a window after its restart.
func (f *simulatedFleet) checkBudget(t *rapid.T, engine string, restart time.Duration) {
	const budget = 6 // 0.25 x 3 x the 6 attempts a second of one engine, plus a third for random variation
	times := f.sentTo[engine]
	for i, at := range times {
		attempts := 0
		for _, other := range times[i:] {
			if at > restart && other-at < time.Second {
				attempts++
			}
		}
		if attempts > budget {
			t.Fatalf("rule 4: %s is warming up and is sent %d attempts by %d nodes within a window", engine, attempts, len(f.policies))
		}
	}
}

func TestExhaustedFleetIsNotScannedAgainUntilTheNextDraw(t *testing.T) {
	n := newFleetNode(t, 3200, 1)
	p := n.policy
	window := p.config.SlowStart.Window
	for range 20 {
		n.now += time.Millisecond
		n.lastID++
		sent := n.step(RequestArrived{RequestID: n.lastID, Session: fmt.Sprint(n.lastID), Deadline: n.now + time.Hour, PromptTokens: 100})
		if sent == "" {
			break // No budget is left.
		}
	}
	if !p.isBudgetExhausted(&p.prefillEngines) {
		t.Fatal("a fleet that is warming up without budget does not count as exhausted")
	}
	if p.now = n.now.Truncate(window/4) + window/4; p.isBudgetExhausted(&p.prefillEngines) {
		t.Fatal("a fleet still counts as exhausted after the next draw")
	}
}
