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

func newTable(shared bool) *Table { return New(BoundsFor(limit, shared, 100)) }

var first = ID{Request: "a", Attempt: 0}

// A state goes through the table as its request goes on.
func TestTransitions(t *testing.T) {
	const horizon = start + 3*second
	for _, c := range []struct {
		name   string
		inputs []Input
		want   State
		due    int64 // after the start; of no meaning for None
	}{
		{"read", []Input{ReadDone}, Held, second * 3 / 4},
		{"read and taken", []Input{ReadDone, AttemptSent, Taken}, None, 0},
		{"read and unwanted", []Input{ReadDone, Unwanted}, Releasing, 0},
		{"a lost read", []Input{ReadLost}, Releasing, 0},
		{"a writer is full", []Input{ReadDone, AttemptSent, AttemptRefused}, Held, second * 3 / 4},
		{"an attempt that never arrived", []Input{ReadDone, AttemptSent, AttemptUnsent}, Held, second * 3 / 4},
		{"unwanted while an attempt is out", []Input{ReadDone, AttemptSent, Unwanted}, Contested, 0},
		{"that attempt is given up", []Input{ReadDone, AttemptSent, Unwanted, AttemptCut}, Releasing, 0},
		{"or refused", []Input{ReadDone, AttemptSent, Unwanted, AttemptRefused}, Releasing, 0},
		{"or takes it after all", []Input{ReadDone, AttemptSent, Unwanted, Taken}, None, 0},
		{"a second attempt", []Input{ReadDone, AttemptSent, AttemptCut, AttemptSent, Taken}, None, 0},
		{"taken, and a lost read may still come", []Input{ReadLost, AttemptSent, Taken}, Releasing, second / 2},
		{"taken twice", []Input{ReadDone, Taken, Taken, Unwanted}, None, 0},
	} {
		table := newTable(true)
		h := table.Add(first, "r", c.inputs[0], start, start, 0)
		for _, in := range c.inputs[1:] {
			until := int64(0)
			if in == AttemptCut || c.inputs[0] == ReadLost {
				until = horizon
			}
			table.Attempt(first.Request, in, start, start, until)
		}
		if h.State != c.want || h.State != None && h.Due-start != c.due {
			t.Errorf("%s: state %d, due after %v", c.name, h.State, time.Duration(h.Due-start))
		}
		if known := table.Find(first) != nil; known != (c.want != None) || table.Count() == 0 == known {
			t.Errorf("%s: known: %v, %d in all", c.name, known, table.Count())
		}
	}
}

// Found with random engines, and on the operators' fleet of real processes: the connection of an attempt that is given
// up and the release behind it reach two engines in either order. Where the release is first, it lets go of nothing.
func TestReleasesAreRepeatedBehindAnAttemptThatWasCut(t *testing.T) {
	table := newTable(true)
	h := table.Add(first, "r", ReadDone, start, start, 0)
	table.Attempt("a", AttemptSent, start, start, 0)
	table.Attempt("a", AttemptCut, start, start, start+3*second)
	table.Attempt("a", Unwanted, start, start, start+3*second)
	releases, last := 0, start
	for now := start; h.State != None; now += second / 100 {
		if now > start+10*second {
			t.Fatal("it is never forgotten")
		}
		if do, _ := table.Run(h, now); do == Release {
			if gap := now - last; gap > int64(limit)*3/4 {
				t.Errorf("%v without a release", time.Duration(gap))
			}
			releases, last = releases+1, now
			table.Acknowledge(h, h.Round, now)
			if owed := table.Owed(); (owed > 0) != (releases < 2) {
				t.Errorf("%d owed after %d releases", owed, releases)
			}
		}
	}
	if releases < 4 || last < start+2*second {
		t.Errorf("%d releases, the last after %v", releases, time.Duration(last-start))
	}
}

// An acknowledgement of a release that was sent before the attempt ended says nothing of the state it gave back.
func TestEarlierAcknowledgementsAreOfNoEffect(t *testing.T) {
	table := newTable(true)
	h := table.Add(first, "r", ReadDone, start, start, 0)
	table.Attempt("a", AttemptSent, start, start, 0)
	table.Attempt("a", Unwanted, start, start, 0)
	table.Run(h, start)
	round := h.Round
	table.Attempt("a", AttemptRefused, start, start, 0)
	table.Acknowledge(h, round, start)
	if h.State != Releasing {
		t.Errorf("state %d", h.State)
	}
	table.Run(h, start)
	table.Acknowledge(h, h.Round, start)
	if h.State != None {
		t.Errorf("state %d after the release that counts", h.State)
	}
}

// Where a release lets go of all states of a request, a stray one must not cost the state that is still to be used; where
// it names one state, nothing stands against it.
func TestStrayStateWaitsForTheOneInUse(t *testing.T) {
	for _, shared := range []bool{true, false} {
		table := newTable(shared)
		stray := table.Add(first, "r", ReadLost, start, start, start+3*second)
		table.Run(stray, start)
		table.Acknowledge(stray, stray.Round, start)
		used := table.Add(ID{"a", 1}, "r2", ReadDone, start+second/4, start+second/4, 0)
		do, _ := table.Run(stray, start+second/2)
		if shared && (do != Nothing || stray.Due != used.Due) || !shared && do != Release {
			t.Errorf("shared %v: action %d, due after %v", shared, do, time.Duration(stray.Due-start))
		}
	}
}

// The number of states is bounded, and what nobody acknowledges is given up.
func TestBounds(t *testing.T) {
	b := BoundsFor(limit, true, 2)
	table := New(b)
	h := table.Add(first, "r", ReadLost, start, start, 0)
	table.Add(ID{"b", 0}, "r", ReadDone, start, start, 0)
	if table.Add(ID{"c", 0}, "r", ReadDone, start, start, 0) != nil {
		t.Error("a third state is taken up")
	}
	full := New(b)
	acknowledged := full.Add(first, "r", ReadLost, start, start, start+9*second)
	full.Run(acknowledged, start)
	full.Acknowledge(acknowledged, acknowledged.Round, start)
	full.Add(ID{"b", 0}, "r", ReadDone, start, start, 0)
	if full.Add(ID{"c", 0}, "r", ReadDone, start, start, 0) == nil || full.Find(first) != nil {
		t.Error("a state that was released once does not make room")
	}
	releases, now := 0, start
	for ; h.State != None && now < start+60*second; now += second / 100 {
		if do, _ := table.Run(h, now); do == Release {
			releases++
		}
	}
	if gone := now - start; gone > b.GiveUp+second || releases < 10 {
		t.Errorf("given up after %v and %d releases", time.Duration(gone), releases)
	}
	if table.Owed() != 1 || table.Count() != 1 || table.Oldest() != start {
		t.Errorf("%d owed, %d known, the oldest since %d", table.Owed(), table.Count(), table.Oldest())
	}
}

// Whatever happens: a state that waits is looked at within its time, one that is of no use is released soon and again
// until somebody acknowledges, and the table forgets all in the end.
func TestNoHoldIsLeftBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.Bool().Draw(t, "shared")
		table := newTable(shared)
		now, reads := start, 0
		inputs := []Input{AttemptSent, AttemptUnsent, AttemptRefused, AttemptCut, Taken, Unwanted}
		horizon := int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now += int64(rapid.IntRange(0, 400).Draw(t, "ms")) * int64(time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "read") == 0 {
				in := rapid.SampledFrom([]Input{ReadDone, ReadLost}).Draw(t, "how")
				if in == ReadLost {
					horizon = now + 3*second
				}
				table.Add(ID{"a", reads}, "r", in, now, now-int64(rapid.IntRange(0, 300).Draw(t, "late")), horizon)
				reads++
			} else {
				in := rapid.SampledFrom(inputs).Draw(t, "input")
				if in == AttemptCut {
					horizon = now + 3*second
				}
				table.Attempt("a", in, now, now, horizon)
			}
			acknowledged := rapid.Bool().Draw(t, "acknowledged")
			for _, h := range table.All() {
				if do, _ := table.Run(h, now); do == Release && acknowledged {
					table.Acknowledge(h, h.Round, now)
				}
				if h.State != None && h.Due > now+int64(limit)*3/4 {
					t.Fatalf("%v: nothing is due for %v", h.ID, time.Duration(h.Due-now))
				}
			}
		}
		for range 2000 {
			now += second / 100
			table.Attempt("a", AttemptUnsent, now, now, 0)
			table.Attempt("a", Unwanted, now, now, 0)
			for _, h := range table.All() {
				table.Run(h, now)
			}
		}
		if table.Count() != 0 || table.Owed() != 0 {
			t.Fatalf("%d holds are left", table.Count())
		}
	})
}
