package routing

import (
	"testing"
	"time"
)

func TestLatePrefillIsReleased(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine := n.arrive(1, 0, "s")
	n.step(5*ms, ClientDisconnected{1})
	n.expectActions(CancelAttempt{1, 0}, Release{1})
	n.completePrefill(5*ms, 1, prefillEngine)
	n.expectActions(Release{1})
}

// A non-retriable request with a prefill in flight counts as one that may have run, so it fails instead of being shed.
func TestNonRetriableIsNotShedWithAnAttemptInFlight(t *testing.T) {
	n := newTestNode(t, nil)
	n.arrive(1, 1, "s")
	n.step(3990*ms, TimerFired{1})
	n.expectActions(Fail{1, "deadline near"}, CancelAttempt{1, 0}, Release{1})
}

func TestDecodeThatMayHaveRunFailsANonRetriable(t *testing.T) {
	n := newTestNode(t, nil)
	decodeEngine := n.completePrefill(20*ms, 1, n.arrive(1, 1, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost})
	n.expectActions(Fail{1, "attempts exhausted"}, Release{1})
}

// The test guards against incident i368f41: single attempts were lost while their engine answered later ones.
func TestAttemptPassedByLaterResponsesIsCanceledAndRetriedElsewhere(t *testing.T) {
	n := newTestNode(t, nil)
	lost := n.arrive(1, 0, "s")
	for req := int64(2); req <= 8; req++ {
		n.completePrefill(60*ms, req, n.arrive(req, 0, "s")) // The session has the same preferred engine as the lost attempt.
		for _, action := range n.actions {
			if action == (CancelAttempt{1, 0}) {
				if next := n.step(1*ms, Outcome{RequestID: 1, Engine: lost, Verdict: Canceled}); next == "" || next == lost {
					t.Fatalf("request is sent again to %q", next)
				}
				return
			}
		}
	}
	t.Fatal("lost attempt is never canceled")
}

// The test guards against a decode engine that is gone and refuses all four attempts of a request within a millisecond: it was
// chosen again each time, as it had the fewest streams.
func TestEngineThatRefusedIsNotRetriedAtOnce(t *testing.T) {
	n := newTestNode(t, nil)
	n.updateEngines(Endpoint{}, "r0") // The list is not complete, so the others stay.
	for _, id := range []string{"w0", "w1"} {
		n.policy.engines[id].faultTimes, n.policy.engines[id].suspect = []time.Duration{n.now}, true
	}
	first := n.completePrefill(20*ms, 1, n.arrive(1, 0, "s"))
	second := n.step(1*ms, Outcome{RequestID: 1, Attempt: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("request is sent to %q after %q", second, first)
	}
	if again := n.step(1*ms, Outcome{RequestID: 1, Attempt: 2, Engine: second, Verdict: NotConnected}); again != "" {
		t.Fatalf("request is sent to %q at once after both engines refused", again)
	}
}

// The test guards against a reservation that is held for up to a second and a half: while decode engines were unresponsive,
// each failed dial of a quarter second restarted the reservation's time limit.
func TestFailedDialsDoNotExtendAReservation(t *testing.T) {
	n := newTestNode(t, nil)
	first := n.completePrefill(20*ms, 1, n.arrive(1, 0, "s"))
	second := n.step(240*ms, Outcome{RequestID: 1, Attempt: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("after %s the request is sent to %q", first, second)
	}
	n.step(240*ms, Outcome{RequestID: 1, Attempt: 2, Engine: second, Verdict: NotConnected})
	n.expectActions(Shed{1, 0, "attempts exhausted"}, Release{1})
}
