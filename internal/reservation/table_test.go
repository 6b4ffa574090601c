package reservation

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of random tests; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	limit  = time.Second
	second = int64(time.Second)
	start  = 1000 * second
)

func newTable(releasesWholeRequest bool) *Table {
	return New(LimitsFor(limit, releasesWholeRequest, 100))
}

// timesAt returns the times of an event that happens now, without an abandoned attempt.
func timesAt(now int64) EventTimes { return EventTimes{Now: now, Since: now} }

var firstID = ID{Request: "a", Attempt: 0}

// The state and the due time of a reservation follow from the events of its request.
func TestStateAndDueTimeFollowFromEvents(t *testing.T) {
	const horizon = start + 3*second
	for _, c := range []struct {
		name   string
		events []Event
		want   State
		due    int64 // due time since the start; ignored for None
	}{
		{"prefill", []Event{PrefillDone}, Reserved, second * 3 / 4},
		{"prefill, and consumed", []Event{PrefillDone, AttemptSent, Consumed}, None, 0},
		{"prefill, and unneeded", []Event{PrefillDone, Unneeded}, Releasing, 0},
		{"a lost prefill", []Event{PrefillLost}, Releasing, 0},
		{"the decode engine is full", []Event{PrefillDone, AttemptSent, AttemptRejected}, Reserved, second * 3 / 4},
		{"an attempt that never arrived", []Event{PrefillDone, AttemptSent, AttemptUnsent}, Reserved, second * 3 / 4},
		{"unneeded while an attempt is in flight", []Event{PrefillDone, AttemptSent, Unneeded}, Contested, 0},
		{"unneeded, then the attempt is abandoned", []Event{PrefillDone, AttemptSent, Unneeded, AttemptAbandoned}, Releasing, 0},
		{"unneeded, then the attempt is rejected", []Event{PrefillDone, AttemptSent, Unneeded, AttemptRejected}, Releasing, 0},
		{"unneeded, then the attempt consumes it nevertheless", []Event{PrefillDone, AttemptSent, Unneeded, Consumed}, None, 0},
		{"a second attempt", []Event{PrefillDone, AttemptSent, AttemptAbandoned, AttemptSent, Consumed}, None, 0},
		{"consumed, and a lost prefill may still leave another", []Event{PrefillLost, AttemptSent, Consumed}, Releasing, second / 2},
		{"consumed twice", []Event{PrefillDone, Consumed, Consumed, Unneeded}, None, 0},
	} {
		table := newTable(true)
		r := table.Add(firstID, "r", c.events[0], timesAt(start))
		for _, event := range c.events[1:] {
			attemptHorizon := int64(0)
			if event == AttemptAbandoned || c.events[0] == PrefillLost {
				attemptHorizon = horizon
			}
			table.HandleAttempt(firstID.Request, event, EventTimes{Now: start, Since: start, Horizon: attemptHorizon})
		}
		if r.State != c.want || r.State != None && r.DueAt-start != c.due {
			t.Errorf("%s: state %v, due after %v", c.name, r.State, time.Duration(r.DueAt-start))
		}
		if known := table.Find(firstID) != nil; known != (c.want != None) || table.Count() == 0 == known {
			t.Errorf("%s: in the table: %v, %d in all", c.name, known, table.Count())
		}
	}
}

// The test guards against reservations that a release does not free, found with random engines and on a fleet of real
// processes: the close of an abandoned attempt's connection and the release that follows it reach two engines in either order,
// and a release that arrives first frees nothing.
func TestReleasesAreRepeatedAfterAnAbandonedAttempt(t *testing.T) {
	table := newTable(true)
	r := table.Add(firstID, "r", PrefillDone, timesAt(start))
	table.HandleAttempt("a", AttemptSent, timesAt(start))
	table.HandleAttempt("a", AttemptAbandoned, EventTimes{Now: start, Since: start, Horizon: start + 3*second})
	table.HandleAttempt("a", Unneeded, EventTimes{Now: start, Since: start, Horizon: start + 3*second})
	releases, last := 0, start
	for now := start; r.State != None; now += second / 100 {
		if now > start+10*second {
			t.Fatal("reservation is never removed")
		}
		if action, _ := table.HandleDue(r, now); action == Release {
			if gap := now - last; gap > int64(limit)*3/4 {
				t.Errorf("no release for %v", time.Duration(gap))
			}
			releases, last = releases+1, now
			table.Acknowledge(r, r.Round, now)
			if unreleased := table.Unreleased(); (unreleased > 0) != (releases < 2) {
				t.Errorf("%d unreleased after %d releases", unreleased, releases)
			}
		}
	}
	if releases < 4 || last < start+2*second {
		t.Errorf("%d releases, the last after %v", releases, time.Duration(last-start))
	}
}

// An acknowledgement of a release that was sent before the attempt ended proves nothing about the reservation that the
// attempt left.
func TestAcknowledgementOfAnEarlierRoundIsIgnored(t *testing.T) {
	table := newTable(true)
	r := table.Add(firstID, "r", PrefillDone, timesAt(start))
	table.HandleAttempt("a", AttemptSent, timesAt(start))
	table.HandleAttempt("a", Unneeded, timesAt(start))
	table.HandleDue(r, start)
	round := r.Round
	table.HandleAttempt("a", AttemptRejected, timesAt(start))
	table.Acknowledge(r, round, start)
	if r.State != Releasing {
		t.Errorf("state %v after the acknowledgement of an earlier round", r.State)
	}
	table.HandleDue(r, start)
	table.Acknowledge(r, r.Round, start)
	if r.State != None {
		t.Errorf("state %v after the acknowledgement of the current round", r.State)
	}
}

// Where a release frees all reservations of a request, the release of an unneeded one must not free the one that is still
// to be used. Where a release names one reservation, it need not wait.
func TestUnneededReservationWaitsForTheOneInUse(t *testing.T) {
	for _, releasesWholeRequest := range []bool{true, false} {
		table := newTable(releasesWholeRequest)
		unneeded := table.Add(firstID, "r", PrefillLost, EventTimes{Now: start, Since: start, Horizon: start + 3*second})
		table.HandleDue(unneeded, start)
		table.Acknowledge(unneeded, unneeded.Round, start)
		inUse := table.Add(ID{"a", 1}, "r2", PrefillDone, timesAt(start+second/4))
		action, _ := table.HandleDue(unneeded, start+second/2)
		if releasesWholeRequest && (action != NoAction || unneeded.DueAt != inUse.DueAt) || !releasesWholeRequest && action != Release {
			t.Errorf("releases whole request %v: action %v, due after %v", releasesWholeRequest, action, time.Duration(unneeded.DueAt-start))
		}
	}
}

// The number of reservations is limited, and releases that no engine acknowledges are abandoned.
func TestReservationsAndReleasesAreLimited(t *testing.T) {
	limits := LimitsFor(limit, true, 2)
	table := New(limits)
	r := table.Add(firstID, "r", PrefillLost, timesAt(start))
	table.Add(ID{"b", 0}, "r", PrefillDone, timesAt(start))
	if table.Add(ID{"c", 0}, "r", PrefillDone, timesAt(start)) != nil {
		t.Error("a third reservation is added")
	}
	full := New(limits)
	acknowledged := full.Add(firstID, "r", PrefillLost, EventTimes{Now: start, Since: start, Horizon: start + 9*second})
	full.HandleDue(acknowledged, start)
	full.Acknowledge(acknowledged, acknowledged.Round, start)
	full.Add(ID{"b", 0}, "r", PrefillDone, timesAt(start))
	if full.Add(ID{"c", 0}, "r", PrefillDone, timesAt(start)) == nil || full.Find(firstID) != nil {
		t.Error("a reservation with an acknowledged release is not evicted")
	}
	releases, now := 0, start
	for ; r.State != None && now < start+60*second; now += second / 100 {
		if action, _ := table.HandleDue(r, now); action == Release {
			releases++
		}
	}
	if abandonedAfter := time.Duration(now - start); abandonedAfter > limits.AbandonAfter+time.Second || releases < 10 {
		t.Errorf("abandoned after %v and %d releases", abandonedAfter, releases)
	}
	if table.Unreleased() != 1 || table.Count() != 1 || table.OldestSince() != start {
		t.Errorf("%d unreleased, %d in all, the oldest since %d", table.Unreleased(), table.Count(), table.OldestSince())
	}
}

// The first unacknowledged releases follow each other at the retry interval; then the interval doubles up to half the repeat
// interval.
func TestReleaseIntervalDoublesUpToHalfTheRepeatInterval(t *testing.T) {
	limits := Limits{RetryInterval: 10 * time.Millisecond, RepeatInterval: 100 * time.Millisecond}
	table := New(limits)
	for i, want := range []time.Duration{10, 10, 10, 10, 20, 40, 50, 50} {
		if got := table.backoff(i + 1); got != want*time.Millisecond {
			t.Errorf("after release %d: %v, want %v", i+1, got, want*time.Millisecond)
		}
	}
	if got := table.backoff(1000); got != 50*time.Millisecond {
		t.Errorf("after release 1000: %v, want 50ms", got)
	}
}

// For any sequence of events, a waiting reservation is due within its limit, an unneeded one is released soon and again
// until an engine acknowledges, and the table is eventually empty.
func TestNoReservationIsLeftBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		releasesWholeRequest := rapid.Bool().Draw(t, "releases whole request")
		table := newTable(releasesWholeRequest)
		now, prefills := start, 0
		events := []Event{AttemptSent, AttemptUnsent, AttemptRejected, AttemptAbandoned, Consumed, Unneeded}
		horizon := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 400).Draw(t, "ms")) * int64(time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "prefill") == 0 {
				event := rapid.SampledFrom([]Event{PrefillDone, PrefillLost}).Draw(t, "prefill event")
				if event == PrefillLost {
					horizon = now + 3*second
				}
				since := now - int64(rapid.IntRange(0, 300).Draw(t, "late"))
				table.Add(ID{"a", prefills}, "r", event, EventTimes{Now: now, Since: since, Horizon: horizon})
				prefills++
			} else {
				event := rapid.SampledFrom(events).Draw(t, "event")
				if event == AttemptAbandoned {
					horizon = now + 3*second
				}
				table.HandleAttempt("a", event, EventTimes{Now: now, Since: now, Horizon: horizon})
			}
			acknowledged := rapid.Bool().Draw(t, "acknowledged")
			for _, r := range table.All() {
				if action, _ := table.HandleDue(r, now); action == Release && acknowledged {
					table.Acknowledge(r, r.Round, now)
				}
				if r.State != None && r.DueAt > now+int64(limit)*3/4 {
					t.Fatalf("reservation %v: no release is due for %v", r.ID, time.Duration(r.DueAt-now))
				}
			}
		}
		expectEventuallyEmpty(t, table, now)
	})
}

// expectEventuallyEmpty fails if the table is not empty after 20 seconds in which the request has no attempt and needs no
// reservation, and no engine acknowledges.
func expectEventuallyEmpty(t *rapid.T, table *Table, now int64) {
	for range 2000 {
		now += second / 100
		table.HandleAttempt("a", AttemptUnsent, timesAt(now))
		table.HandleAttempt("a", Unneeded, timesAt(now))
		for _, r := range table.All() {
			table.HandleDue(r, now)
		}
	}
	if table.Count() != 0 || table.Unreleased() != 0 {
		t.Fatalf("%d reservations are left", table.Count())
	}
}
