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
	return PriorAttempt{Decode: rapid.Bool().Draw(t, "decode"), InFlight: rapid.Bool().Draw(t, "in flight"),
		NeverRan: rapid.Bool().Draw(t, "never ran"), WrittenAt: rapid.Int64Range(0, now).Draw(t, "written")}
}

// The monitor reports no violation for an attempt that the gate allows, even if its write is late by the longest delay.
func TestGateAndMonitorAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = int64(time.Hour)
		now := base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "now")
		a := Attempt{Answered: rapid.Bool().Draw(t, "answered"), ClientGone: rapid.Bool().Draw(t, "gone"),
			Deadline:    base + rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "deadline"),
			Effect:      rapid.SampledFrom([]Effect{Retriable, Deduped, NonRetriable}).Draw(t, "effect"),
			DedupWindow: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "window"))}
		if rapid.Bool().Draw(t, "drains") {
			a.DrainNotifiedAt = base + rapid.Int64Range(-int64(time.Second), now-base).Draw(t, "drain notified")
		}
		for range rapid.IntRange(0, 3).Draw(t, "prior attempts") {
			a.PriorAttempts = append(a.PriorAttempts, drawPriorAttempt(t, now))
		}
		const grace = 250 * time.Millisecond
		if MaySend(a, now, grace) != Allowed {
			return
		}
		m := NewMonitor(LimitsFor(grace, time.Second))
		m.RequestAccepted(1, AcceptedRequest{Name: "a", Effect: a.Effect, DedupWindow: a.DedupWindow, Deadline: a.Deadline})
		for i, prior := range a.PriorAttempts {
			if prior.WrittenAt == 0 {
				continue
			}
			m.AttemptWritten(1, WrittenAttempt{Index: i, Decode: prior.Decode, WrittenAt: prior.WrittenAt})
			if !prior.InFlight {
				m.AttemptEnded(1, i, prior.NeverRan)
			}
			m.TakeViolations() // Prior attempts may have broken any rule.
		}
		late := now + int64(MaxDelay)
		m.AttemptWritten(1, WrittenAttempt{Index: len(a.PriorAttempts), Decode: true, WrittenAt: late,
			DrainNotifiedAt: a.DrainNotifiedAt, TimeBudget: time.Duration(a.Deadline - now)})
		if violations := m.TakeViolations(); len(violations) > 0 {
			t.Fatalf("gate allows an attempt that the monitor reports as %v", violations)
		}
	})
}

func TestMonitorReportsViolations(t *testing.T) {
	const second = int64(time.Second)
	cases := []struct {
		rule   Rule
		action func(m *Monitor)
	}{
		{AnsweredTwice, func(m *Monitor) { m.RequestAnswered(1, 0); m.RequestAnswered(1, 0) }},
		{AttemptAfterAnswer, func(m *Monitor) { m.RequestAnswered(1, 0); m.AttemptWritten(1, WrittenAttempt{}) }},
		{ConcurrentAttempts, func(m *Monitor) { m.AttemptWritten(1, WrittenAttempt{}); m.AttemptWritten(1, WrittenAttempt{Index: 1}) }},
		{ExecutedTwice, func(m *Monitor) {
			m.AttemptWritten(1, WrittenAttempt{Decode: true})
			m.AttemptEnded(1, 0, false)
			m.AttemptWritten(1, WrittenAttempt{Index: 1, Decode: true, WrittenAt: 1})
		}},
		{AttemptToDrainingEngine, func(m *Monitor) { m.AttemptWritten(1, WrittenAttempt{WrittenAt: second, DrainNotifiedAt: second / 2}) }},
		{ExcessiveTimeBudget, func(m *Monitor) {
			m.AttemptWritten(1, WrittenAttempt{WrittenAt: 2 * second, TimeBudget: 2 * time.Second})
		}},
		{LateAnswer, func(m *Monitor) { m.RequestAnswered(1, 4*second) }},
		{ClosedUnanswered, func(m *Monitor) { m.ConnectionClosing(Connection{Unanswered: 1}, "idle") }},
		{ReservedTooLong, func(m *Monitor) { m.ReservationUnclaimed("a", 2*time.Second) }},
	}
	for _, c := range cases {
		m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
		m.RequestAccepted(1, AcceptedRequest{Name: "a", Effect: NonRetriable, Deadline: 3 * second})
		c.action(m)
		if violations := m.TakeViolations(); len(violations) != 1 || violations[0].Rule != c.rule {
			t.Errorf("%s: got %v", c.rule, violations)
		}
		if len(m.TakeViolations()) > 0 {
			t.Errorf("%s is reported twice", c.rule)
		}
	}
}

// Allowed actions are no violations: a retry after an attempt that has not run, a stream that ends after the client's
// deadline, a close between two requests.
func TestMonitorAcceptsAllowedActions(t *testing.T) {
	const second = int64(time.Second)
	m := NewMonitor(LimitsFor(250*time.Millisecond, time.Second))
	m.RequestAccepted(1, AcceptedRequest{Name: "a", Effect: NonRetriable, Deadline: 3 * second})
	m.AttemptWritten(1, WrittenAttempt{Decode: true})
	m.AttemptEnded(1, 0, true)
	m.AttemptWritten(1, WrittenAttempt{Index: 2, Decode: true, WrittenAt: second / 10, DrainNotifiedAt: second/10 - 1,
		TimeBudget: 3 * time.Second})
	m.AnswerStarted(1)
	m.RequestAnswered(1, 20*second)
	m.AttemptEnded(1, 2, false)
	m.ConnectionClosing(Connection{}, "idle")
	m.ConnectionClosing(Connection{Unanswered: 2, ResponseBroken: true}, "response broke")
	m.ReservationUnclaimed("a", time.Second)
	m.Forget(1)
	if violations := m.TakeViolations(); len(violations) > 0 || len(m.OpenRequests()) > 0 {
		t.Errorf("got %v, open %v", violations, m.OpenRequests())
	}
}

func TestGatesForRequestsAndConnections(t *testing.T) {
	if MayAccept(Arrival{Accepting: true}) != Allowed || MayAccept(Arrival{}) != ShuttingDown ||
		MayAccept(Arrival{DuplicateID: true, Accepting: true}) != DuplicateRequestID {
		t.Error("MayAccept")
	}
	if MayClose(Connection{}) != Allowed || MayClose(Connection{UnreadRequest: true}) != RequestIncoming ||
		MayClose(Connection{Unanswered: 1, UnreadRequest: true}) != RequestUnanswered {
		t.Error("MayClose")
	}
	if ParseEffect("retriable") != Retriable || ParseEffect("deduped") != Deduped ||
		ParseEffect("non-retriable") != NonRetriable || ParseEffect("unknown") != NonRetriable {
		t.Error("ParseEffect")
	}
}

// For any grace period, an attempt that the gate allows arrives within it, even if the router is delayed. Without a drain
// notification no attempt is rejected.
func TestAllowedAttemptsArriveWithinDrainGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "grace"))
		notifiedAt := rapid.Int64Range(1, 1e15).Draw(t, "notified at")
		now := notifiedAt + rapid.Int64Range(0, 2e12).Draw(t, "later")
		a := Attempt{Deadline: now + 1, DrainNotifiedAt: notifiedAt}
		if MaySend(a, now, grace) == Allowed && time.Duration(now-notifiedAt)+MaxDelay > grace {
			t.Fatal("attempt is allowed but arrives after the grace period")
		}
		a.DrainNotifiedAt = 0
		if MaySend(a, now, grace) != Allowed {
			t.Fatal("attempt is rejected without a drain notification")
		}
	})
}

// The gate reserves the longest delay out of the grace period, and half of the rest for the network.
func TestDrainGateReservesDelayAndNetworkTime(t *testing.T) {
	const notifiedAt = int64(time.Hour)
	for _, c := range []struct {
		grace, sinceDrain time.Duration
		want              Reason
	}{
		{MaxDelay + 100*time.Millisecond, 0, Allowed},
		{MaxDelay + 100*time.Millisecond, 50 * time.Millisecond, Allowed},
		{MaxDelay + 100*time.Millisecond, 50*time.Millisecond + 1, EngineDraining},
		{MaxDelay, 0, Allowed},
		{MaxDelay, 1, EngineDraining},
		{MaxDelay - 1, 0, EngineDraining},
	} {
		now := notifiedAt + int64(c.sinceDrain)
		if got := MaySend(Attempt{Deadline: now + 1, DrainNotifiedAt: notifiedAt}, now, c.grace); got != c.want {
			t.Errorf("grace %v, %v after the notification: %q, want %q", c.grace, c.sinceDrain, got, c.want)
		}
	}
}
