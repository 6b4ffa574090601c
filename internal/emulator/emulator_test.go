package emulator

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// Two runs with the same seed have equal results, and a run with another seed differs.
func TestSameSeedGivesSameResult(t *testing.T) {
	scenario := Defaults()
	scenario.RequestRate, scenario.Length = 11, 20*time.Second
	scenario.Faults = []Fault{{Kind: FaultRestart, At: 8 * time.Second, Duration: 3 * time.Second, Magnitude: 0.4}}
	first, second := Run(scenario), Run(scenario)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("%+v\n%+v", first, second)
	}
	scenario.Seed = 2
	if other := Run(scenario); other.Events == first.Events {
		t.Error("another seed gives the same number of events")
	}
}

// Without faults, a fleet with enough capacity serves all requests. Under each kind of fault, no non-retriable request runs
// twice, each attempt has exactly one outcome, no warming engine is overloaded and no reservation is left.
func TestRequestsEndUnderEachFault(t *testing.T) {
	scenario := Defaults()
	scenario.RequestRate, scenario.Length = 8, 20*time.Second
	if r := Run(scenario); r.Share < 0.995 {
		t.Errorf("without faults: %+v", r)
	}
	for _, kind := range FaultKinds {
		scenario := Defaults()
		scenario.RequestRate, scenario.Length, scenario.RetryBudget = 11, 30*time.Second, 0.1
		scenario.Faults = []Fault{{Kind: kind, At: 8 * time.Second, Duration: 5 * time.Second, Magnitude: 0.5}}
		if kind == FaultBurst || kind == FaultSlow {
			scenario.Faults[0].Magnitude = 3
		}
		r := Run(scenario)
		ended := 0
		for _, n := range r.Outcomes {
			ended += n
		}
		if r.RanTwice > 0 || r.HeldAtEnd > 0 || r.Overloaded > 0 || ended != r.Attempts {
			t.Errorf("%s: %d requests ran twice, %d reservations held, %d engines overloaded, %d of %d attempts ended", kind, r.RanTwice,
				r.HeldAtEnd, r.Overloaded, ended, r.Attempts)
		}
	}
}

// Without a retry budget, a retry storm continues after the fault that caused it; a retry budget ends it.
func TestRetryBudgetEndsRetryStorm(t *testing.T) {
	scenario := Defaults()
	scenario.RequestRate, scenario.Length, scenario.Retries = 12, 70*time.Second, 4
	scenario.Faults = []Fault{{Kind: FaultRestart, At: 20 * time.Second, Duration: 10 * time.Second, Magnitude: 0.5}}
	withoutBudget := Run(scenario)
	scenario.RetryBudget = 0.1
	if withBudget := Run(scenario); withBudget.Share < withoutBudget.Share+0.1 {
		t.Errorf("share completed in time is %.3f with a budget, %.3f without", withBudget.Share, withoutBudget.Share)
	}
}

func TestParseExperimentAppliesArmsAndReportsErrors(t *testing.T) {
	experiment, err := ParseExperiment("e.star", []byte(`day(rate = 5, seeds = 2)
arm(name = "a")
arm(name = "b", retry_share = 0.2)
trouble(kind = "drain", at = "1s", length = "2s")
day(rate = 7)
`))
	if err != nil || len(experiment.Arms) != 2 || experiment.Arms[1].Scenario.RetryBudget != 0.2 || experiment.Arms[0].Scenario.RetryBudget != 0 ||
		experiment.Arms[1].Scenario.RequestRate != 7 ||
		len(experiment.Arms[0].Scenario.Faults) != 1 {
		t.Errorf("%+v %v", experiment, err)
	}
	for text, want := range map[string]string{`arm(name = "a")
arm(name = "a")`: "e.star:2: name: arm \"a\" is declared twice", `trouble(kind = "rain")`: "must be one of", `day(nodes = 0)`: "e.star:1: nodes",
		"day(length = \"5s\")\narm(name = \"a\")\ntrouble(kind = \"drain\", at = \"9s\")": "begins at 9s, after the end of the day at 5s"} {
		if _, err := ParseExperiment("e.star", []byte(text)); err == nil || !strings.Contains(err.Error(),
			want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
