package routing

import (
	"testing"
	"time"
)

func TestLatePrefillIsReleased(t *testing.T) {
	n := newTestNode(t, nil)
	prefillEngine := n.arrive(1, 0, "s")
	n.step(5*ms, ClientDisconnected{1})
	n.want(CancelAttempt{1, 0}, Release{1})
	n.prefill(5*ms, 1, prefillEngine)
	n.want(Release{1})
}

// A request that is shed with a prefill in flight counts as one that may have run.
func TestNonRetriableIsNotShedWithAnAttemptInFlight(t *testing.T) {
	n := newTestNode(t, nil)
	n.arrive(1, 1, "s")
	n.step(3990*ms, TimerFired{1})
	n.want(Fail{1, "deadline near"}, CancelAttempt{1, 0}, Release{1})
}

func TestDecodeThatMayHaveRunFailsANonRetriable(t *testing.T) {
	n := newTestNode(t, nil)
	decodeEngine := n.prefill(20*ms, 1, n.arrive(1, 1, "s"))
	n.step(20*ms, Outcome{RequestID: 1, Attempt: 1, Engine: decodeEngine, Verdict: ConnectionLost})
	n.want(Fail{1, "attempts exhausted"}, Release{1})
}

// Incident i368f41: single attempts vanish while their engine answers later ones.
func TestAttemptPassedByLaterResponsesIsCanceledAndRetriedElsewhere(t *testing.T) {
	n := newTestNode(t, nil)
	lost := n.arrive(1, 0, "s")
	for req := int64(2); req <= 8; req++ {
		n.prefill(60*ms, req, n.arrive(req, 0, "s")) // its preferred engine is where the lost one was sent
		for _, e := range n.actions {
			if e == (CancelAttempt{1, 0}) {
				if to := n.step(1*ms, Outcome{RequestID: 1, Engine: lost, Verdict: Canceled}); to == "" || to == lost {
					t.Fatalf("sent again to %q", to)
				}
				return
			}
		}
	}
	t.Fatal("never canceled")
}

// A decode engine that was gone refused four attempts within a millisecond, as it had the fewest streams.
func TestNoTwoAttemptsAtOnceToAnEngineThatRefused(t *testing.T) {
	n := newTestNode(t, nil)
	n.engines(Endpoint{}, "r0") // the list stays
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

// Decode engines were unresponsive, each failed dial of a quarter second counted as news of the reservation,
// and its engine held it for up to a second and a half.
func TestFailedDialsDoNotExtendAReservation(t *testing.T) {
	n := newTestNode(t, nil)
	first := n.prefill(20*ms, 1, n.arrive(1, 0, "s"))
	second := n.step(240*ms, Outcome{RequestID: 1, Attempt: 1, Engine: first, Verdict: NotConnected})
	if second == "" || second == first {
		t.Fatalf("after %s it went to %q", first, second)
	}
	n.step(240*ms, Outcome{RequestID: 1, Attempt: 2, Engine: second, Verdict: NotConnected})
	n.want(Shed{1, 0, "attempts exhausted"}, Release{1})
}
