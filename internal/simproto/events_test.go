package simproto

import (
	"errors"
	"testing"
	"time"

	"sandcourse/internal/routing"
)

func TestDecodeConvertsUnits(t *testing.T) {
	now, events, err := Decode([]byte(`{"wall_us":7,"inbox":[{"t":"flowing","i":"n","call":3,"seq_no":1,"engine":"e","lag_us":2},
		{"t":"mystery","i":"n"},{"t":"down","i":"m"}]}`))
	if err != nil || now != 7*time.Microsecond || len(events) != 3 {
		t.Fatal(now, events, err)
	}
	want := routing.FirstToken{RequestID: 3, Attempt: 1, Engine: "e", Latency: 2 * time.Microsecond}
	if events[0].Payload != want || events[1].Unknown != "mystery" || !events[2].Down || events[2].Node != "m" {
		t.Errorf("%+v", events)
	}
}

func TestDecodeErrorsNameTheInvalidField(t *testing.T) {
	for line, want := range map[string]FieldError{
		`{"t":"req","i":"n","call":1}`:                                         {"req", "give_up_at_us", ErrMissing},
		`{"t":"expired","i":"n","call":"x"}`:                                   {"expired", "call", ErrWrongType},
		`{"t":"ping_result","i":"n","engine":"e","verdict":"Q"}`:               {"ping_result", "verdict", ErrUnknownValue},
		`{"t":"reserved","i":"n","call":1,"engine":"e"}`:                       {"reserved", "what", ErrMissing},
		`{"t":"peer_data","i":"n","content":["x"],"author":1,"extra":{"a":1}}`: {"peer_data", "content", ErrWrongType},
	} {
		_, _, err := Decode([]byte(`{"wall_us":1,"inbox":[` + line + `]}`))
		got, ok := errors.AsType[*FieldError](err)
		if !ok || got.Event != want.Event || got.Field != want.Field || !errors.Is(err, want.Err) {
			t.Errorf("%s: %v", line, err)
		}
	}
}

func TestDecodeRejectsInvalidBatches(t *testing.T) {
	for _, line := range []string{"", "[]", "{}", `{"wall_us":1}`, `{"inbox":[]}`} {
		if _, _, err := Decode([]byte(line)); !errors.Is(err, ErrNotABatch) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestTimersNeverFireEarly(t *testing.T) {
	action := Encode("n", routing.StartTimer{Token: 1, After: time.Microsecond + 1})
	if *action.AfterUs != 2 {
		t.Errorf("timer of 1.001 us is encoded as %d us", *action.AfterUs)
	}
}
