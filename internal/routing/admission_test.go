package routing

import (
	"fmt"
	"testing"
)

// The test guards against incident i103f8c: queues only grew and never drained.
func TestRequestIsShedOnceAllPrefillsAreSlow(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 4; req++ {
		prefillEngine := n.arrive(req, 0, fmt.Sprint("s", req))
		n.completePrefill(1500*ms, req, prefillEngine)
	}
	n.arrive(5, 0, "new")
	n.actions = n.actions[2:] // The request's two timers are left out.
	n.expectActions(Shed{RequestID: 5, Cause: "cannot meet objective"}, Release{5})
}

// The test guards against incident i72c633: old latencies still counted although the queue was empty again.
func TestRequestIsAdmittedOnceQueuesAreEmpty(t *testing.T) {
	n := newTestNode(t, nil)
	for req := int64(1); req <= 4; req++ {
		prefillEngine := n.arrive(req, 0, fmt.Sprint("s", req))
		n.firstToken(20*ms, req, n.completePrefill(1500*ms, req, prefillEngine))
	}
	n.now += 800 * ms
	if n.arrive(5, 0, "new") == "" {
		t.Fatal("request is shed although no attempt waits")
	}
}

// The test guards against incident i72c633: in an overload, capacity was spent on prefills that were late already.
func TestLatePrefillIsShedOnlyUnderOverload(t *testing.T) {
	for _, others := range []int64{0, 8} {
		n := newTestNode(t, nil)
		for req := int64(1); req <= 1+others; req++ {
			n.arrive(req, 0, fmt.Sprint("s", req))
		}
		n.now += 1100 * ms
		for req := int64(2); req <= 1+others; req++ {
			decodeEngine := n.completePrefill(0, req, n.policy.requests[req].prefillEngine)
			n.firstToken(0, req, decodeEngine)
		}
		n.step(0, TimerFired{2})
		if others == 0 {
			n.expectActions()
		} else {
			n.expectActions(Shed{RequestID: 1, Cause: "cannot meet objective"}, CancelAttempt{1, 0}, Release{1})
		}
	}
}
