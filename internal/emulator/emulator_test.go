package emulator

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// The same seed gives the same result to the last count, and another seed another.
func TestSameSeedSameResult(t *testing.T) {
	d := Defaults()
	d.RequestRate, d.Length = 11, 20*time.Second
	d.Faults = []Fault{{Kind: FaultRestart, At: 8 * time.Second, Duration: 3 * time.Second, Fraction: 0.4}}
	first, second := Run(d), Run(d)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("%+v\n%+v", first, second)
	}
	d.Seed = 2
	if c := Run(d); c.Events == first.Events {
		t.Error("the seed changes nothing")
	}
}

// A fleet with capacity serves everything; whatever fails, nothing non-retriable runs twice, every attempt ends once
// and no reservation stays.
func TestFaultsLeaveNothingBehind(t *testing.T) {
	d := Defaults()
	d.RequestRate, d.Length = 8, 20*time.Second
	if r := Run(d); r.Share < 0.995 {
		t.Errorf("without faults: %+v", r)
	}
	for _, kind := range FaultKinds {
		d := Defaults()
		d.RequestRate, d.Length, d.RetryBudget = 11, 30*time.Second, 0.1
		d.Faults = []Fault{{Kind: kind, At: 8 * time.Second, Duration: 5 * time.Second, Fraction: 0.5}}
		if kind == FaultBurst || kind == FaultSlow {
			d.Faults[0].Fraction = 3
		}
		r := Run(d)
		ended := 0
		for _, n := range r.Outcomes {
			ended += n
		}
		if r.RanTwice > 0 || r.HeldAtEnd > 0 || r.Overloaded > 0 || ended != r.Attempts {
			t.Errorf("%s: ran twice %d, held %d, overloaded %d, %d of %d attempts ended", kind, r.RanTwice,
				r.HeldAtEnd, r.Overloaded, ended, r.Attempts)
		}
	}
}

// A retry storm outlasts its cause where retries have no budget, and ends with it where they have.
func TestRetryBudgetEndsTheStorm(t *testing.T) {
	d := Defaults()
	d.RequestRate, d.Length, d.Retries = 12, 70*time.Second, 4
	d.Faults = []Fault{{Kind: FaultRestart, At: 20 * time.Second, Duration: 10 * time.Second, Fraction: 0.5}}
	storm := Run(d)
	d.RetryBudget = 0.1
	if held := Run(d); held.Share < storm.Share+0.1 {
		t.Errorf("value in time %.3f with a budget, %.3f without", held.Share, storm.Share)
	}
}

func TestParseExperiment(t *testing.T) {
	x, err := ParseExperiment("e.star", []byte(`day(rate = 5, seeds = 2)
arm(name = "a")
arm(name = "b", retry_share = 0.2)
trouble(kind = "drain", at = "1s", length = "2s")
day(rate = 7)
`))
	if err != nil || len(x.Arms) != 2 || x.Arms[1].Scenario.RetryBudget != 0.2 || x.Arms[0].Scenario.RetryBudget != 0 ||
		x.Arms[1].Scenario.RequestRate != 7 ||
		len(x.Arms[0].Scenario.Faults) != 1 {
		t.Errorf("%+v %v", x, err)
	}
	for text, want := range map[string]string{`arm(name = "a")
arm(name = "a")`: "e.star:2: name: arm \"a\" stands twice", `trouble(kind = "rain")`: "must be one of", `day(nodes = 0)`: "e.star:1: nodes",
		"day(length = \"5s\")\narm(name = \"a\")\ntrouble(kind = \"drain\", at = \"9s\")": "begins 9s into a day of 5s"} {
		if _, err := ParseExperiment("e.star", []byte(text)); err == nil || !strings.Contains(err.Error(),
			want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
