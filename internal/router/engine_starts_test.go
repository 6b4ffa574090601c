package router

import (
	"testing"
	"time"

	"sandcourse/internal/endpoint"
)

// Engines report their starts by wall clocks that may be stepped. An engine whose start is first reported while the router
// runs counts as warming up, whatever the reported time, and each change of the reported time counts as a restart.
func TestRestartsAreDetectedDespiteSteppedClocks(t *testing.T) {
	const now = int64(1_000_000_000) * nanosPerMilli
	hour := int64(time.Hour) / nanosPerMilli
	cases := map[string]struct {
		reportedMs int64
		first      bool // the start is in the router's first list
		age        time.Duration
	}{
		"clocks agree":                           {reportedMs: now/nanosPerMilli - 3000, age: 3 * time.Second},
		"this clock is an hour ahead":            {reportedMs: now/nanosPerMilli - hour, age: 0},
		"this clock is an hour behind":           {reportedMs: now/nanosPerMilli + hour, age: 0},
		"engine is warm when the router starts":  {reportedMs: now/nanosPerMilli - hour, first: true, age: time.Hour},
		"clock is behind when the router starts": {reportedMs: now/nanosPerMilli + hour, first: true, age: 0},
	}
	for name, c := range cases {
		s := engineStarts{}
		if !c.first {
			s.normalize(nil, now-nanosPerMilli)
		}
		entries := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.reportedMs}}, now)
		if age := time.Duration(now - entries[0].StartedAtMs*nanosPerMilli); age != c.age {
			t.Errorf("%s: age of the engine is %v, want %v", name, age, c.age)
		}
		// The same start is reported again later and must not change.
		again := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.reportedMs}}, now+int64(time.Minute))
		if again[0].StartedAtMs != entries[0].StartedAtMs {
			t.Errorf("%s: the same start moves by %d ms", name, again[0].StartedAtMs-entries[0].StartedAtMs)
		}
		// The engine restarts, stamped by a clock that was set back in the meantime.
		restarted := s.normalize([]endpoint.Entry{{ID: "e", StartedAtMs: c.reportedMs - hour}}, now+2*int64(time.Minute))
		if restarted[0].StartedAtMs <= entries[0].StartedAtMs {
			t.Errorf("%s: a restart stamped by a clock that was set back is not detected", name)
		}
	}
	s := engineStarts{}
	if entries := s.normalize([]endpoint.Entry{{ID: "e"}}, now); entries[0].StartedAtMs != 0 {
		t.Error("an engine without a reported start gets a start time")
	}
	for i := range 100 {
		s.normalize([]endpoint.Entry{{ID: string(rune('a' + i)), StartedAtMs: 1}}, now+int64(i)*departedRetention/10)
	}
	if len(s.byEngine) > 12 {
		t.Errorf("%d engines are remembered, want at most 12: one is listed, and ten left in the last minute", len(s.byEngine))
	}
}
