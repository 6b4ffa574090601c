package invariant

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func drawEarlier(t *rapid.T, now int64) Earlier {
	return Earlier{Decode: rapid.Bool().Draw(t, "decode"), Out: rapid.Bool().Draw(t, "out"),
		NeverRan: rapid.Bool().Draw(t, "never ran"), WrittenAt: rapid.Int64Range(0, now).Draw(t, "written")}
}

// What the gate lets pass the monitor does not complain of, also where the write comes later by what a node may be held up.
func TestGateAndMonitorAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = int64(time.Hour)
		now := base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "now")
		a := Attempt{Answered: rapid.Bool().Draw(t, "answered"), ClientGone: rapid.Bool().Draw(t, "gone"),
			GiveUpAt: base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "give up"),
			Effect:   rapid.SampledFrom([]Effect{Retriable, Deduplicated, NonRetriable}).Draw(t, "effect"),
			Window:   rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "window")}
		if rapid.Bool().Draw(t, "drains") {
			a.Drained = base + rapid.Int64Range(-int64(time.Second), now-base).Draw(t, "drained")
		}
		for range rapid.IntRange(0, 3).Draw(t, "earlier") {
			a.Earlier = append(a.Earlier, drawEarlier(t, now))
		}
		const grace = int64(250 * time.Millisecond)
		if MaySend(a, now, grace) != Allowed {
			return
		}
		m := NewMonitor(LimitsFor(time.Duration(grace), time.Second))
		m.Taken(1, "a", a.Effect, a.Window, a.GiveUpAt)
		for i, e := range a.Earlier {
			if e.WrittenAt == 0 {
				continue
			}
			m.Written(1, i, e.Decode, e.WrittenAt, 0, 0)
			if !e.Out {
				m.Over(1, i, e.NeverRan)
			}
			m.Take() // attempts of the past may have broken any rule
		}
		late := now + int64(HoldUp)
		m.Written(1, len(a.Earlier), true, late, a.Drained, time.Duration(a.GiveUpAt-now))
		if row := m.Take(); len(row) > 0 {
			t.Fatalf("the gate allows what the monitor calls %v", row)
		}
	})
}

func TestMonitor(t *testing.T) {
	second := int64(time.Second)
	cases := []struct {
		rule Rule
		act  func(m *Monitor)
	}{
		{AnsweredTwice, func(m *Monitor) { m.Answered(1, 0); m.Answered(1, 0) }},
		{SentAfterFinal, func(m *Monitor) { m.Answered(1, 0); m.Written(1, 0, false, 0, 0, 0) }},
		{TwoOut, func(m *Monitor) { m.Written(1, 0, false, 0, 0, 0); m.Written(1, 1, false, 0, 0, 0) }},
		{RanTwice, func(m *Monitor) { m.Written(1, 0, true, 0, 0, 0); m.Over(1, 0, false); m.Written(1, 1, true, 1, 0, 0) }},
		{SentToDraining, func(m *Monitor) { m.Written(1, 0, false, second, second/2, 0) }},
		{TooMuchTimeTold, func(m *Monitor) { m.Written(1, 0, false, 2*second, 0, 2*time.Second) }},
		{AnswerLate, func(m *Monitor) { m.Answered(1, 4*second) }},
		{ClosedEarly, func(m *Monitor) { m.Closing(Connection{Waiting: 1}, "idle") }},
		{HeldTooLong, func(m *Monitor) { m.Held("a", 2*time.Second) }},
	}
	for _, c := range cases {
		m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
		m.Taken(1, "a", NonRetriable, 0, 3*second)
		c.act(m)
		if row := m.Take(); len(row) != 1 || row[0].Rule != c.rule {
			t.Errorf("%s: got %v", c.rule, row)
		}
		if len(m.Take()) > 0 {
			t.Errorf("%s is told twice", c.rule)
		}
	}
	// What is allowed is no violation: a retry after what never ran, a stream that ends after its client's time, a close
	// between two requests.
	m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
	m.Taken(1, "a", NonRetriable, 0, 3*second)
	m.Written(1, 0, true, 0, 0, 0)
	m.Over(1, 0, true)
	m.Written(1, 2, true, second/10, second/10-1, 3*time.Second)
	m.Began(1)
	m.Answered(1, 20*second)
	m.Over(1, 2, false)
	m.Closing(Connection{}, "idle")
	m.Closing(Connection{Waiting: 2, Broke: true}, "broke")
	m.Held("a", time.Second)
	m.Forget(1)
	if row := m.Take(); len(row) > 0 || len(m.Open()) > 0 {
		t.Errorf("got %v, open %v", row, m.Open())
	}
}

func TestMayStartAndClose(t *testing.T) {
	if MayStart(Arrival{Taking: true}) != Allowed || MayStart(Arrival{}) != Stopping || MayStart(Arrival{NameKnown: true, Taking: true}) != NameKnown {
		t.Error("starts")
	}
	if MayClose(Connection{}) != Allowed || MayClose(Connection{Unread: true}) != Unread || MayClose(Connection{Waiting: 1, Unread: true}) != Unanswered {
		t.Error("closes")
	}
	if EffectOf("retriable") != Retriable || EffectOf("deduped") != Deduplicated || EffectOf("of no known kind") != NonRetriable {
		t.Error("effects")
	}
}

// Whatever the grace, what the gate lets pass arrives within it, also where the node is held up; without news of a drain
// nothing is held back.
func TestDrainGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(1, 1e12).Draw(t, "grace")
		told := rapid.Int64Range(1, 1e15).Draw(t, "told")
		now := told + rapid.Int64Range(0, 2e12).Draw(t, "later")
		a := Attempt{GiveUpAt: now + 1, Drained: told}
		if MaySend(a, now, grace) == Allowed && now+int64(HoldUp)-told > grace {
			t.Fatal("written past the grace")
		}
		a.Drained = 0
		if MaySend(a, now, grace) != Allowed {
			t.Fatal("held back without news")
		}
	})
}
