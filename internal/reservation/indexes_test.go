package reservation

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The indexes of a table find what a scan of all reservations finds, after any sequence of events.
func TestIndexesMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(LimitsFor(limit, true, 6)), start
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += rapid.Int64Range(0, second/2).Draw(t, "time")
			applyRandomEvent(t, table, now)
			checkIndexes(t, table, now)
		}
	})
}

func applyRandomEvent(t *rapid.T, table *Table, now int64) {
	request := fmt.Sprint("q", rapid.IntRange(0, 7).Draw(t, "request"))
	times := EventTimes{Now: now, Since: now, Horizon: now + rapid.Int64Range(0, 3*second).Draw(t, "horizon")}
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		addAtLimit(t, table, ID{request, rapid.IntRange(0, 2).Draw(t, "attempt")}, times)
	case 1:
		event := rapid.SampledFrom([]Event{AttemptSent, AttemptUnsent, AttemptRejected, AttemptAbandoned, Consumed, Unneeded}).Draw(t, "event")
		table.HandleAttempt(request, event, times)
	default:
		if r := table.FirstDue(now); r != nil {
			if action, _ := table.HandleDue(r, now); action == Release && rapid.Bool().Draw(t, "acknowledged") {
				table.Acknowledge(r, r.Round, now)
			}
		}
	}
}

// addAtLimit adds a reservation. In a full table the acknowledged one with the earliest horizon makes room.
func addAtLimit(t *rapid.T, table *Table, id ID, times EventTimes) {
	var evicted *Reservation
	for _, r := range table.All() {
		if r.State == Releasing && r.Acknowledged() && (evicted == nil || r.horizon < evicted.horizon) {
			evicted = r
		}
	}
	full, known := table.Count() >= table.limits.MaxReservations, table.Find(id) != nil
	added := table.Add(id, "r", rapid.SampledFrom([]Event{PrefillDone, PrefillLost}).Draw(t, "prefill"), times)
	switch {
	case known:
	case full && evicted == nil && added != nil, (!full || evicted != nil) && added == nil:
		t.Fatalf("full %v, one to evict %v, added %v", full, evicted != nil, added != nil)
	case full && evicted != nil && table.Find(evicted.ID) != nil && evicted.ID != id:
		t.Fatalf("%v is not evicted", evicted.ID)
	}
}

func checkIndexes(t *rapid.T, table *Table, now int64) {
	nextDue, oldest, unreleased := Never, int64(0), 0
	all := table.All()
	for _, r := range all {
		nextDue = min(nextDue, r.DueAt)
		if oldest == 0 || r.KnownSince < oldest {
			oldest = r.KnownSince
		}
		if r.State != Releasing || r.acknowledgements < enoughAcknowledgements {
			unreleased++
		}
	}
	if table.NextDue() != nextDue || table.OldestSince() != oldest || table.Unreleased() != unreleased || table.Count() != len(all) {
		t.Fatalf("next due %d, oldest %d, %d unreleased of %d; a scan finds %d, %d, %d of %d", table.NextDue(), table.OldestSince(),
			table.Unreleased(), table.Count(), nextDue, oldest, unreleased, len(all))
	}
	if due := table.FirstDue(now); (due != nil) != (nextDue <= now) || due != nil && due.DueAt != nextDue {
		t.Fatalf("first due: %v, a scan finds one due at %d, now %d", due, nextDue, now)
	}
}

// BenchmarkReleaseRound measures a round of releases of one reservation among others that are not due: due, acknowledged, due again.
func BenchmarkReleaseRound(b *testing.B) {
	for _, held := range []int{100, 1000, 7000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			table, now := New(LimitsFor(limit, true, 10*held)), start
			for i := range held {
				table.Add(ID{fmt.Sprint("q", i), 0}, "r", PrefillLost, EventTimes{Now: now, Since: now, Horizon: Never})
			}
			for b.Loop() {
				r := table.FirstDue(now)
				if r == nil {
					now = table.NextDue()
					continue
				}
				table.HandleDue(r, now)
				table.Acknowledge(r, r.Round, now)
				table.OldestSince()
			}
		})
	}
}
