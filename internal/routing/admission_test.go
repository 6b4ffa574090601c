package routing

import (
	"fmt"
	"testing"
)

// Incident i103f8c: queues that never cleared.
func TestRequestIsShedOnceAllPrefillsAreSlow(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 4; req++ {
		prefillEngine := n.arrive(req, 0, fmt.Sprint("s", req))
		n.prefill(1500*ms, req, prefillEngine)
	}
	n.arrive(5, 0, "new")
	n.actions = n.actions[2:] // its two timers
	n.want(Shed{RequestID: 5, Cause: "cannot meet objective"}, Release{5})
}

// Incident i72c633: old latencies stood for a queue that was empty again.
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

// The same incident: in an overload, a prefill that is late already frees capacity.
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
			n.want(Shed{RequestID: 1, Cause: "cannot meet objective"}, CancelAttempt{1, 0}, Release{1})
		}
	}
}
