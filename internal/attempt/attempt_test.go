package attempt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/routing"
)

// neverRanVerdicts lists the verdicts that the routing policy takes as proof that an attempt has not run.
var neverRanVerdicts = []routing.Verdict{routing.Full, routing.NotConnected, routing.NotSent}

// For any sequence of events, an attempt has one outcome. Once its last byte was written, no outcome proves that the attempt
// has not run, unless the engine has reported it.
func TestEventsInAnyOrderGiveOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Attempt
		outcomes, written, responding, rejectedByEngine := 0, false, false, false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			event := Event(rapid.IntRange(int(Connected), int(Canceled)).Draw(t, "event"))
			before := a.State
			result := a.Handle(event)
			written = written || a.State == AwaitingResponse
			responding = responding || a.State == Responding
			rejectedByEngine = event == Rejected || event == ReservationNotFound
			if result.FirstToken && before == Streaming {
				t.Fatal("two first tokens")
			}
			if !result.Final {
				continue
			}
			outcomes++
			if outcomes > 1 {
				t.Fatalf("second outcome %v after %v", result.Verdict, event)
			}
			if slices.Contains(neverRanVerdicts, result.Verdict) && (written || responding) && !rejectedByEngine {
				t.Fatalf("%v in state %v proves nothing, but gives the verdict %v", event, before, result.Verdict)
			}
			if responding && slices.Contains(neverRanVerdicts, result.Verdict) {
				t.Fatalf("after a success status %v gives the verdict %v", event, result.Verdict)
			}
			if result.Connection == Reusable && slices.Contains([]Event{ConnectionReset, StreamStalled, MalformedResponse, Canceled}, event) {
				t.Fatalf("a connection with unread bytes is reused after %v", event)
			}
			if result.Verdict == routing.PrefillDone && event != PrefillCompleted || result.Verdict == routing.Completed && event != DecodeCompleted {
				t.Fatalf("%v gives the verdict %v", event, result.Verdict)
			}
		}
	})
}

// Every state but Ended has a transition for a connection reset and a cancellation. Without them an attempt would never end.
func TestEveryStateEndsOnResetOrCancellation(t *testing.T) {
	for state := Dialing; state < Ended; state++ {
		for _, event := range []Event{ConnectionReset, Canceled} {
			a := Attempt{State: state}
			if result := a.Handle(event); !result.Final {
				t.Errorf("state %v is not ended by %v", state, event)
			}
		}
	}
}

func TestUnavailableSinceKeepsTheFirstNotification(t *testing.T) {
	unavailable := UnavailableSince{}
	unavailable.Record("a", true, 5)
	unavailable.Record("b", false, 5)
	unavailable.Record("b", false, 9)
	if unavailable["a"] != 0 || unavailable["b"] != 5 {
		t.Errorf("got %v, want the time of the first notification of a drain", unavailable)
	}
	unavailable.Record("b", true, 10)
	if unavailable["b"] != 0 {
		t.Errorf("got %v, want no entry after a later notification that the engine is ready", unavailable)
	}
}
