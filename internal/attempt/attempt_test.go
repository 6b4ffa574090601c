package attempt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/routing"
)

// neverRanVerdicts lists what the module takes as proof.
var neverRanVerdicts = []routing.Verdict{routing.Full, routing.NotConnected, routing.NotSent}

// Whatever comes in whatever order: one outcome, and none that says "never ran" once the last byte was out and
// the engine has not said so itself.
func TestEventsInAnyOrderGiveOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Attempt
		outcomes, written, accepted, rejectedByEngine := 0, false, false, false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			event := Event(rapid.IntRange(int(Connected), int(Canceled)).Draw(t, "event"))
			before := a.State
			r := a.Handle(event)
			written = written || a.State == AwaitingResponse
			accepted = accepted || a.State == Responding
			rejectedByEngine = event == Rejected || event == ReservationNotFound
			if r.FirstToken && before == Streaming {
				t.Fatal("a first token twice")
			}
			if !r.Final {
				continue
			}
			outcomes++
			if outcomes > 1 {
				t.Fatalf("second outcome %v after %v", r.Verdict, event)
			}
			if slices.Contains(neverRanVerdicts, r.Verdict) && (written || accepted) && !rejectedByEngine {
				t.Fatalf("%v in state %v proves nothing, yet is taken as %v", event, before, r.Verdict)
			}
			if accepted && slices.Contains(neverRanVerdicts, r.Verdict) {
				t.Fatalf("after a good status line %v is taken as %v", event, r.Verdict)
			}
			if r.Connection == Reusable && slices.Contains([]Event{ConnectionReset, StreamStalled, MalformedResponse, Canceled}, event) {
				t.Fatalf("a line with an unread rest is kept after %v", event)
			}
			if r.Verdict == routing.PrefillDone && event != PrefillCompleted || r.Verdict == routing.Completed && event != DecodeCompleted {
				t.Fatalf("%v is taken as %v", event, r.Verdict)
			}
		}
	})
}

// Each state but Over has a line for each input that can end a wait, or the send would be stuck.
func TestEveryStateCanEnd(t *testing.T) {
	for state := Dialing; state < Ended; state++ {
		for _, event := range []Event{ConnectionReset, Canceled} {
			a := Attempt{State: state}
			if r := a.Handle(event); !r.Final {
				t.Errorf("state %d is not ended by %d", state, event)
			}
		}
	}
}

func TestUnavailableSince(t *testing.T) {
	unavailable := UnavailableSince{}
	unavailable.NoteAll(map[string]bool{"a": true}, []string{"a", "b"}, 5)
	unavailable.Note("b", false, 9)
	if unavailable["a"] != 0 || unavailable["b"] != 5 {
		t.Errorf("%v: the first word of a drain counts", unavailable)
	}
	unavailable.Note("b", true, 10)
	if unavailable["b"] != 0 {
		t.Errorf("%v: a newer word of ready lifts the bar", unavailable)
	}
}
