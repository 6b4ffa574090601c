package reservation

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain makes random tests draw the same in every run; -rapid.seed on the command line draws others.
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

func newTable(shared bool) *Table { return New(LimitsFor(limit, shared, 100)) }

var first = ID{Request: "a", Attempt: 0}

// A state goes through the table as its request goes on.
func TestTransitions(t *testing.T) {
	const horizon = start + 3*second
	for _, c := range []struct {
		name   string
		inputs []Event
		want   State
		due    int64 // after the start; of no meaning for None
	}{
		{"read", []Event{PrefillDone}, Reserved, second * 3 / 4},
		{"read and taken", []Event{PrefillDone, AttemptSent, Consumed}, None, 0},
		{"read and unwanted", []Event{PrefillDone, Unneeded}, Releasing, 0},
		{"a lost read", []Event{PrefillLost}, Releasing, 0},
		{"a writer is full", []Event{PrefillDone, AttemptSent, AttemptRejected}, Reserved, second * 3 / 4},
		{"an attempt that never arrived", []Event{PrefillDone, AttemptSent, AttemptUnsent}, Reserved, second * 3 / 4},
		{"unwanted while an attempt is out", []Event{PrefillDone, AttemptSent, Unneeded}, Contested, 0},
		{"that attempt is given up", []Event{PrefillDone, AttemptSent, Unneeded, AttemptAbandoned}, Releasing, 0},
		{"or refused", []Event{PrefillDone, AttemptSent, Unneeded, AttemptRejected}, Releasing, 0},
		{"or takes it after all", []Event{PrefillDone, AttemptSent, Unneeded, Consumed}, None, 0},
		{"a second attempt", []Event{PrefillDone, AttemptSent, AttemptAbandoned, AttemptSent, Consumed}, None, 0},
		{"taken, and a lost read may still come", []Event{PrefillLost, AttemptSent, Consumed}, Releasing, second / 2},
		{"taken twice", []Event{PrefillDone, Consumed, Consumed, Unneeded}, None, 0},
	} {
		table := newTable(true)
		r := table.Add(first, "r", c.inputs[0], start, start, 0)
		for _, event := range c.inputs[1:] {
			until := int64(0)
			if event == AttemptAbandoned || c.inputs[0] == PrefillLost {
				until = horizon
			}
			table.HandleAttempt(first.Request, event, start, start, until)
		}
		if r.State != c.want || r.State != None && r.DueAt-start != c.due {
			t.Errorf("%s: state %d, due after %v", c.name, r.State, time.Duration(r.DueAt-start))
		}
		if known := table.Find(first) != nil; known != (c.want != None) || table.Count() == 0 == known {
			t.Errorf("%s: known: %v, %d in all", c.name, known, table.Count())
		}
	}
}

// Found with random engines, and on the operators' fleet of real processes: the connection of an attempt that is given
// up and the release behind it reach two engines in either order. Where the release is first, it lets go of nothing.
func TestReleasesAreRepeatedAfterAnAbandonedAttempt(t *testing.T) {
	table := newTable(true)
	r := table.Add(first, "r", PrefillDone, start, start, 0)
	table.HandleAttempt("a", AttemptSent, start, start, 0)
	table.HandleAttempt("a", AttemptAbandoned, start, start, start+3*second)
	table.HandleAttempt("a", Unneeded, start, start, start+3*second)
	releases, last := 0, start
	for now := start; r.State != None; now += second / 100 {
		if now > start+10*second {
			t.Fatal("it is never forgotten")
		}
		if do, _ := table.HandleDue(r, now); do == Release {
			if gap := now - last; gap > int64(limit)*3/4 {
				t.Errorf("%v without a release", time.Duration(gap))
			}
			releases, last = releases+1, now
			table.Acknowledge(r, r.Round, now)
			if owed := table.Unreleased(); (owed > 0) != (releases < 2) {
				t.Errorf("%d owed after %d releases", owed, releases)
			}
		}
	}
	if releases < 4 || last < start+2*second {
		t.Errorf("%d releases, the last after %v", releases, time.Duration(last-start))
	}
}

// An acknowledgement of a release that was sent before the attempt ended says nothing of the state it gave back.
func TestAcknowledgementOfAnEarlierRoundIsIgnored(t *testing.T) {
	table := newTable(true)
	r := table.Add(first, "r", PrefillDone, start, start, 0)
	table.HandleAttempt("a", AttemptSent, start, start, 0)
	table.HandleAttempt("a", Unneeded, start, start, 0)
	table.HandleDue(r, start)
	round := r.Round
	table.HandleAttempt("a", AttemptRejected, start, start, 0)
	table.Acknowledge(r, round, start)
	if r.State != Releasing {
		t.Errorf("state %d", r.State)
	}
	table.HandleDue(r, start)
	table.Acknowledge(r, r.Round, start)
	if r.State != None {
		t.Errorf("state %d after the release that counts", r.State)
	}
}

// Where a release lets go of all states of a request, a stray one must not cost the state that is still to be used; where
// it names one state, nothing stands against it.
func TestStrayReservationWaitsForTheOneInUse(t *testing.T) {
	for _, shared := range []bool{true, false} {
		table := newTable(shared)
		stray := table.Add(first, "r", PrefillLost, start, start, start+3*second)
		table.HandleDue(stray, start)
		table.Acknowledge(stray, stray.Round, start)
		used := table.Add(ID{"a", 1}, "r2", PrefillDone, start+second/4, start+second/4, 0)
		do, _ := table.HandleDue(stray, start+second/2)
		if shared && (do != NoAction || stray.DueAt != used.DueAt) || !shared && do != Release {
			t.Errorf("shared %v: action %d, due after %v", shared, do, time.Duration(stray.DueAt-start))
		}
	}
}

// The number of states is bounded, and what nobody acknowledges is given up.
func TestLimits(t *testing.T) {
	b := LimitsFor(limit, true, 2)
	table := New(b)
	r := table.Add(first, "r", PrefillLost, start, start, 0)
	table.Add(ID{"b", 0}, "r", PrefillDone, start, start, 0)
	if table.Add(ID{"c", 0}, "r", PrefillDone, start, start, 0) != nil {
		t.Error("a third state is taken up")
	}
	full := New(b)
	acknowledged := full.Add(first, "r", PrefillLost, start, start, start+9*second)
	full.HandleDue(acknowledged, start)
	full.Acknowledge(acknowledged, acknowledged.Round, start)
	full.Add(ID{"b", 0}, "r", PrefillDone, start, start, 0)
	if full.Add(ID{"c", 0}, "r", PrefillDone, start, start, 0) == nil || full.Find(first) != nil {
		t.Error("a state that was released once does not make room")
	}
	releases, now := 0, start
	for ; r.State != None && now < start+60*second; now += second / 100 {
		if do, _ := table.HandleDue(r, now); do == Release {
			releases++
		}
	}
	if gone := now - start; gone > b.AbandonAfter+second || releases < 10 {
		t.Errorf("given up after %v and %d releases", time.Duration(gone), releases)
	}
	if table.Unreleased() != 1 || table.Count() != 1 || table.OldestSince() != start {
		t.Errorf("%d owed, %d known, the oldest since %d", table.Unreleased(), table.Count(), table.OldestSince())
	}
}

// Whatever happens: a state that waits is looked at within its time, one that is of no use is released soon and again
// until somebody acknowledges, and the table forgets all in the end.
func TestNoReservationIsLeftBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.Bool().Draw(t, "shared")
		table := newTable(shared)
		now, reads := start, 0
		inputs := []Event{AttemptSent, AttemptUnsent, AttemptRejected, AttemptAbandoned, Consumed, Unneeded}
		horizon := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 400).Draw(t, "ms")) * int64(time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				event := rapid.SampledFrom([]Event{PrefillDone, PrefillLost}).Draw(t, "how")
				if event == PrefillLost {
					horizon = now + 3*second
				}
				table.Add(ID{"a", reads}, "r", event, now, now-int64(rapid.IntRange(0, 300).Draw(t, "late")), horizon)
				reads++
			} else {
				event := rapid.SampledFrom(inputs).Draw(t, "input")
				if event == AttemptAbandoned {
					horizon = now + 3*second
				}
				table.HandleAttempt("a", event, now, now, horizon)
			}
			acknowledged := rapid.Bool().Draw(t, "acknowledged")
			for _, r := range table.All() {
				if do, _ := table.HandleDue(r, now); do == Release && acknowledged {
					table.Acknowledge(r, r.Round, now)
				}
				if r.State != None && r.DueAt > now+int64(limit)*3/4 {
					t.Fatalf("%v: nothing is due for %v", r.ID, time.Duration(r.DueAt-now))
				}
			}
		}
		for range 2000 {
			now += second / 100
			table.HandleAttempt("a", AttemptUnsent, now, now, 0)
			table.HandleAttempt("a", Unneeded, now, now, 0)
			for _, r := range table.All() {
				table.HandleDue(r, now)
			}
		}
		if table.Count() != 0 || table.Unreleased() != 0 {
			t.Fatalf("%d holds are left", table.Count())
		}
	})
}
