package routing

import (
	"fmt"
	"testing"
	"time"
)

// testNode drives a policy with two prefill engines r0, r1 and two decode engines w0, w1.
type testNode struct {
	t       *testing.T
	policy  *Policy
	now     time.Duration
	actions []Action
}

func newTestNode(t *testing.T, change func(*Config)) *testNode {
	config := DefaultConfig()
	config.MaxAttempts, config.CanCancel, config.Tick, config.Nodes = 4, true, 4*time.Millisecond, 2
	config.SetReservationLimit(500 * time.Millisecond)
	config.SlowStart = SlowStart{Duration: 10 * time.Second, Window: time.Second, Share: 0.25, Multiple: 3}
	config.Kinds = []EngineKind{{Role: PrefillOnly}, {Role: DecodeOnly}}
	config.Routes = []Route{{Effect: Retriable, PriorityWeight: 1, FirstTokenObjective: time.Second},
		{Effect: NonRetriable, PriorityWeight: 1, FirstTokenObjective: time.Second}}
	if change != nil {
		change(&config)
	}
	n := &testNode{t: t, policy: New(1, config), now: 1e12}
	n.updateEngines(Endpoint{}, "r0", "r1", "w0", "w1")
	return n
}

func (n *testNode) updateEngines(template Endpoint, ids ...string) {
	update := EndpointUpdate{}
	for _, id := range ids {
		template.Engine, template.Ready, template.Kind = id, true, 0
		if id[0] == 'w' {
			template.Kind = 1
		}
		update.Engines = append(update.Engines, template)
	}
	n.step(0, update)
}

// step advances the time, handles an event and returns the engine that the policy sends to, if any.
func (n *testNode) step(after time.Duration, event Event) string {
	n.now += after
	n.actions = n.policy.Step(n.now, event)
	for _, action := range n.actions {
		if send, ok := action.(Send); ok {
			return send.Engine
		}
	}
	return ""
}

func (n *testNode) arrive(req int64, route int, session string) string {
	return n.step(0, RequestArrived{RequestID: req, Route: route, Session: session, Prefix: "p", PromptTokens: 2000, PrefixTokens: 1500,
		Deadline: n.now + 4000*ms})
}

func (n *testNode) completePrefill(after time.Duration, req int64, prefillEngine string) string {
	return n.step(after, Outcome{RequestID: req, Engine: prefillEngine, Verdict: PrefillDone, Latency: after})
}

func (n *testNode) firstToken(after time.Duration, req int64, decodeEngine string) {
	n.step(after, FirstToken{RequestID: req, Attempt: 1, Engine: decodeEngine, Latency: after})
}

// serve runs a request up to its first token and returns its engines.
func (n *testNode) serve(req int64, session string) (prefillEngine, decodeEngine string) {
	prefillEngine = n.arrive(req, 0, session)
	decodeEngine = n.completePrefill(20*ms, req, prefillEngine)
	n.firstToken(20*ms, req, decodeEngine)
	return prefillEngine, decodeEngine
}

func (n *testNode) expectActions(actions ...Action) {
	n.t.Helper()
	if fmt.Sprintf("%T%v", n.actions, n.actions) != fmt.Sprintf("%T%v", actions, actions) {
		n.t.Fatalf("got %+v, want %+v", n.actions, actions)
	}
}
