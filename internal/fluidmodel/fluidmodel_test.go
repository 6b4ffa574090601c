package fluidmodel

import (
	"reflect"
	"testing"
	"time"
)

func baseScenario() Scenario {
	return Scenario{Engines: 40, PrefillEngines: 20, Cells: 4, Edges: 6, Duration: 400 * time.Second,
		Period: 800 * time.Second, SkewDepth: 0.8, SquareWave: true,
		Utilization: 0.9, ReloadTime: 5 * time.Second, WarmUp: 10 * time.Second, DrainTime: 4 * time.Second, Seed: 1}
}

// A skew that alternates every few seconds must not make engines change roles along with it.
func TestFastOscillationCausesFewChanges(t *testing.T) {
	for _, period := range []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second,
		20 * time.Second} {
		scenario := baseScenario()
		scenario.Period, scenario.Utilization = period, 0.75
		adaptive, fixed := Run(scenario, Adaptive), Run(scenario, FixedSplit)
		if adaptive.Changes > 6 || adaptive.Value < fixed.Value-0.02 {
			t.Errorf("period %v: %d changes, value %.3f, with fixed roles %.3f", period, adaptive.Changes,
				adaptive.Value, fixed.Value)
		}
	}
}

// If the period of the skew is about as long as a few changes take, engines may change, but the result must not be worse
// than with fixed roles.
func TestSlowOscillationIsNoWorseThanFixedRoles(t *testing.T) {
	for _, period := range []time.Duration{30 * time.Second, 60 * time.Second, 120 * time.Second} {
		scenario := baseScenario()
		scenario.Period, scenario.Utilization, scenario.Duration = period, 0.85, 600*time.Second
		adaptive, fixed := Run(scenario, Adaptive), Run(scenario, FixedSplit)
		if adaptive.Value < fixed.Value {
			t.Errorf("period %v: %d changes, value %.3f, with fixed roles %.3f", period, adaptive.Changes,
				adaptive.Value, fixed.Value)
		}
	}
}

// Roles must be changed to follow a lasting skew, even with faults.
func TestLastingSkewIsFollowed(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"no fault":                           func(*Scenario) {},
		"a third of the reports are missing": func(scenario *Scenario) { scenario.MissingReports = 0.33 },
		"delayed reports":                    func(scenario *Scenario) { scenario.ReportDelay = 2 * time.Second },
		"a tenth of the reports are false":   func(scenario *Scenario) { scenario.FalseReports = 0.1 },
		"half of the fleet cannot change":    func(scenario *Scenario) { scenario.FixedRoles = 0.5 },
		"small fleet":                        func(scenario *Scenario) { scenario.Engines, scenario.PrefillEngines, scenario.Cells = 8, 4, 1 },
	} {
		scenario := baseScenario()
		change(&scenario)
		adaptive, fixed := Run(scenario, Adaptive), Run(scenario, FixedSplit)
		if adaptive.Value < fixed.Value+0.05 || adaptive.Changes == 0 {
			t.Errorf("%s: value %.3f with %d changes, with fixed roles %.3f", name, adaptive.Value,
				adaptive.Changes, fixed.Value)
		}
	}
}

// A slowdown of decode engines looks like a skew to decode. If it is shorter than the window in which throughput is
// measured, hardly any engine may change.
func TestShortDecodeSlowdownIsNoSkew(t *testing.T) {
	scenario := baseScenario()
	scenario.SkewDepth, scenario.Utilization, scenario.SlowDecode = 0, 0.55, [2]float64{0.5, 0.53}
	if r := Run(scenario, Adaptive); r.Changes > 2 {
		t.Errorf("%d changes in a slowdown of 12 s", r.Changes)
	}
	scenario.SlowDecode = [2]float64{0.5, 0.5}
	if r := Run(scenario, Adaptive); r.Changes != 0 {
		t.Errorf("%d changes without skew", r.Changes)
	}
}

// When all prefill engines but one are lost permanently, decode engines must replace them within the limits on changes.
func TestDecodeEnginesReplaceLostPrefillEngines(t *testing.T) {
	scenario := baseScenario()
	scenario.SkewDepth, scenario.Utilization, scenario.PrefillLossAt = 0, 0.4, 0.25
	adaptive, fixed := Run(scenario, Adaptive), Run(scenario, FixedSplit)
	if adaptive.Value < fixed.Value+0.2 || adaptive.Windows[len(adaptive.Windows)-1] < 0.8 {
		t.Errorf("value %.3f, at the end %.2f, with fixed roles %.3f", adaptive.Value,
			adaptive.Windows[len(adaptive.Windows)-1], fixed.Value)
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	scenario := baseScenario()
	scenario.ReportDelay, scenario.MissingReports, scenario.FalseReports = time.Second, 0.2, 0.1
	if a, b := Run(scenario, Adaptive), Run(scenario, Adaptive); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\n%+v", a, b)
	}
}
