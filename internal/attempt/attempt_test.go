package attempt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"sandcourse/internal/routing"
)

// neverRan lists what the module takes as proof.
var neverRan = []routing.Verdict{routing.Full, routing.NotConnected, routing.NotSent}

// Whatever comes in whatever order: one outcome, and none that says "never ran" once the last byte was out and
// the engine has not said so itself.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Send
		ends, written, accepted, word := 0, false, false, false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			in := Input(rapid.IntRange(int(Connected), int(WithdrawnBy)).Draw(t, "event"))
			before := s.State
			r := s.Happen(in)
			written = written || s.State == Waiting
			accepted = accepted || s.State == Answering
			word = in == Refused || in == NoState
			if r.First && before == Flowing {
				t.Fatal("a first token twice")
			}
			if !r.Ends {
				continue
			}
			ends++
			if ends > 1 {
				t.Fatalf("second outcome %v after %v", r.Verdict, in)
			}
			if slices.Contains(neverRan, r.Verdict) && (written || accepted) && !word {
				t.Fatalf("%v in state %v proves nothing, yet is taken as %v", in, before, r.Verdict)
			}
			if accepted && slices.Contains(neverRan, r.Verdict) {
				t.Fatalf("after a good status line %v is taken as %v", in, r.Verdict)
			}
			if r.Line == Keep && slices.Contains([]Input{Reset, Silent, Garbled, WithdrawnBy}, in) {
				t.Fatalf("a line with an unread rest is kept after %v", in)
			}
			if r.Verdict == routing.PrefillDone && in != Read || r.Verdict == routing.Completed && in != Finished {
				t.Fatalf("%v is taken as %v", in, r.Verdict)
			}
		}
	})
}

// Each state but Over has a line for each input that can end a wait, or the send would be stuck.
func TestNoStateIsStuck(t *testing.T) {
	for state := Dialling; state < Over; state++ {
		for _, in := range []Input{Reset, WithdrawnBy} {
			s := Send{State: state}
			if r := s.Happen(in); !r.Ends {
				t.Errorf("state %d is not ended by %d", state, in)
			}
		}
	}
}

func TestNewsOfDrains(t *testing.T) {
	d := Told{}
	d.HearAll(map[string]bool{"a": true}, []string{"a", "b"}, 5)
	d.Hear("b", false, 9)
	if d["a"] != 0 || d["b"] != 5 {
		t.Errorf("%v: the first word of a drain counts", d)
	}
	d.Hear("b", true, 10)
	if d["b"] != 0 {
		t.Errorf("%v: a newer word of ready lifts the bar", d)
	}
}
