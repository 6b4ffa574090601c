package router

import (
	"testing"
	"time"

	"sandcourse/internal/endpoint"
)

// Engines stamp their starts by wall clocks that may be stepped. A start that is heard of while the node runs is a cold
// start, whatever it is stamped with, and each change of it is another one.
func TestStartsOnSteppedClocks(t *testing.T) {
	const now = int64(1_000_000_000) * nanosPerMilli
	hour := int64(time.Hour) / nanosPerMilli
	cases := map[string]struct {
		told  int64
		first bool // in the node's first list
		age   time.Duration
	}{
		"as it is":                      {told: now/nanosPerMilli - 3000, age: 3 * time.Second},
		"this clock is an hour ahead":   {told: now/nanosPerMilli - hour, age: 0},
		"this clock is an hour behind":  {told: now/nanosPerMilli + hour, age: 0},
		"warm when the node came up":    {told: now/nanosPerMilli - hour, first: true, age: time.Hour},
		"behind, when the node came up": {told: now/nanosPerMilli + hour, first: true, age: 0},
	}
	for name, c := range cases {
		s := engineStarts{}
		if !c.first {
			s.normalize(nil, now-nanosPerMilli)
		}
		rows := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.told}}, now)
		if age := time.Duration(now - rows[0].StartedAtMs*nanosPerMilli); age != c.age {
			t.Errorf("%s: the engine is taken to be %v old, want %v", name, age, c.age)
		}
		// Time passes, and the same start is told again: it stays.
		again := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.told}}, now+int64(time.Minute))
		if again[0].StartedAtMs != rows[0].StartedAtMs {
			t.Errorf("%s: the same start moves by %d ms", name, again[0].StartedAtMs-rows[0].StartedAtMs)
		}
		// It starts anew, stamped by a clock that was set back meanwhile.
		anew := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.told - hour}}, now+2*int64(time.Minute))
		if anew[0].StartedAtMs <= rows[0].StartedAtMs {
			t.Errorf("%s: a start stamped by a clock that was set back is not seen", name)
		}
	}
	s := engineStarts{}
	if rows := s.normalize([]endpoint.Entry{{ID: "e"}}, now); rows[0].StartedAtMs != 0 {
		t.Error("an engine that came up long ago is given a start")
	}
	for i := range 100 {
		s.normalize([]endpoint.Entry{{ID: string(rune('a' + i)), StartedAtMs: 1}}, now+int64(i)*departedRetention/10)
	}
	if len(s.byEngine) > 12 {
		t.Errorf("%d engines are remembered, one is listed and ten left in the last minute", len(s.byEngine))
	}
}
