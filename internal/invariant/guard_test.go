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

func drawPriorAttempt(t *rapid.T, now int64) PriorAttempt {
	return PriorAttempt{Decode: rapid.Bool().Draw(t, "decode"), InFlight: rapid.Bool().Draw(t, "out"),
		NeverRan: rapid.Bool().Draw(t, "never ran"), WrittenAt: rapid.Int64Range(0, now).Draw(t, "written")}
}

// What the gate lets pass the monitor does not complain of, also where the write comes later by what a node may be held up.
func TestGateAndMonitorAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = int64(time.Hour)
		now := base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "now")
		a := Attempt{Answered: rapid.Bool().Draw(t, "answered"), ClientGone: rapid.Bool().Draw(t, "gone"),
			Deadline:    base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "give up"),
			Effect:      rapid.SampledFrom([]Effect{Retriable, Deduplicated, NonRetriable}).Draw(t, "effect"),
			DedupWindow: rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "window")}
		if rapid.Bool().Draw(t, "drains") {
			a.DrainNotifiedAt = base + rapid.Int64Range(-int64(time.Second), now-base).Draw(t, "drained")
		}
		for range rapid.IntRange(0, 3).Draw(t, "earlier") {
			a.PriorAttempts = append(a.PriorAttempts, drawPriorAttempt(t, now))
		}
		const grace = int64(250 * time.Millisecond)
		if MaySend(a, now, grace) != Allowed {
			return
		}
		m := NewMonitor(LimitsFor(time.Duration(grace), time.Second))
		m.RequestAccepted(1, "a", a.Effect, a.DedupWindow, a.Deadline)
		for i, e := range a.PriorAttempts {
			if e.WrittenAt == 0 {
				continue
			}
			m.AttemptWritten(1, i, e.Decode, e.WrittenAt, 0, 0)
			if !e.InFlight {
				m.AttemptEnded(1, i, e.NeverRan)
			}
			m.TakeViolations() // attempts of the past may have broken any rule
		}
		late := now + int64(MaxDelay)
		m.AttemptWritten(1, len(a.PriorAttempts), true, late, a.DrainNotifiedAt, time.Duration(a.Deadline-now))
		if violations := m.TakeViolations(); len(violations) > 0 {
			t.Fatalf("the gate allows what the monitor calls %v", violations)
		}
	})
}

func TestMonitor(t *testing.T) {
	second := int64(time.Second)
	cases := []struct {
		rule Rule
		act  func(m *Monitor)
	}{
		{AnsweredTwice, func(m *Monitor) { m.RequestAnswered(1, 0); m.RequestAnswered(1, 0) }},
		{AttemptAfterAnswer, func(m *Monitor) { m.RequestAnswered(1, 0); m.AttemptWritten(1, 0, false, 0, 0, 0) }},
		{ConcurrentAttempts, func(m *Monitor) { m.AttemptWritten(1, 0, false, 0, 0, 0); m.AttemptWritten(1, 1, false, 0, 0, 0) }},
		{ExecutedTwice, func(m *Monitor) {
			m.AttemptWritten(1, 0, true, 0, 0, 0)
			m.AttemptEnded(1, 0, false)
			m.AttemptWritten(1, 1, true, 1, 0, 0)
		}},
		{AttemptToDrainingEngine, func(m *Monitor) { m.AttemptWritten(1, 0, false, second, second/2, 0) }},
		{ExcessiveTimeBudget, func(m *Monitor) { m.AttemptWritten(1, 0, false, 2*second, 0, 2*time.Second) }},
		{LateAnswer, func(m *Monitor) { m.RequestAnswered(1, 4*second) }},
		{ClosedUnanswered, func(m *Monitor) { m.ConnectionClosing(Connection{Unanswered: 1}, "idle") }},
		{ReservedTooLong, func(m *Monitor) { m.ReservationUnclaimed("a", 2*time.Second) }},
	}
	for _, c := range cases {
		m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
		m.RequestAccepted(1, "a", NonRetriable, 0, 3*second)
		c.act(m)
		if violations := m.TakeViolations(); len(violations) != 1 || violations[0].Rule != c.rule {
			t.Errorf("%s: got %v", c.rule, violations)
		}
		if len(m.TakeViolations()) > 0 {
			t.Errorf("%s is told twice", c.rule)
		}
	}
	// What is allowed is no violation: a retry after what never ran, a stream that ends after its client's time, a close
	// between two requests.
	m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
	m.RequestAccepted(1, "a", NonRetriable, 0, 3*second)
	m.AttemptWritten(1, 0, true, 0, 0, 0)
	m.AttemptEnded(1, 0, true)
	m.AttemptWritten(1, 2, true, second/10, second/10-1, 3*time.Second)
	m.AnswerStarted(1)
	m.RequestAnswered(1, 20*second)
	m.AttemptEnded(1, 2, false)
	m.ConnectionClosing(Connection{}, "idle")
	m.ConnectionClosing(Connection{Unanswered: 2, ResponseBroken: true}, "broke")
	m.ReservationUnclaimed("a", time.Second)
	m.Forget(1)
	if violations := m.TakeViolations(); len(violations) > 0 || len(m.OpenRequests()) > 0 {
		t.Errorf("got %v, open %v", violations, m.OpenRequests())
	}
}

func TestMayAcceptAndClose(t *testing.T) {
	if MayAccept(Arrival{Accepting: true}) != Allowed || MayAccept(Arrival{}) != ShuttingDown || MayAccept(Arrival{DuplicateID: true, Accepting: true}) != DuplicateRequestID {
		t.Error("starts")
	}
	if MayClose(Connection{}) != Allowed || MayClose(Connection{UnreadRequest: true}) != RequestIncoming || MayClose(Connection{Unanswered: 1, UnreadRequest: true}) != RequestUnanswered {
		t.Error("closes")
	}
	if ParseEffect("retriable") != Retriable || ParseEffect("deduped") != Deduplicated || ParseEffect("of no known kind") != NonRetriable {
		t.Error("effects")
	}
}

// Whatever the grace, what the gate lets pass arrives within it, also where the node is held up; without news of a drain
// nothing is held back.
func TestDrainGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Int64Range(1, 1e12).Draw(t, "grace")
		notifiedAt := rapid.Int64Range(1, 1e15).Draw(t, "told")
		now := notifiedAt + rapid.Int64Range(0, 2e12).Draw(t, "later")
		a := Attempt{Deadline: now + 1, DrainNotifiedAt: notifiedAt}
		if MaySend(a, now, grace) == Allowed && now+int64(MaxDelay)-notifiedAt > grace {
			t.Fatal("written past the grace")
		}
		a.DrainNotifiedAt = 0
		if MaySend(a, now, grace) != Allowed {
			t.Fatal("held back without news")
		}
	})
}
