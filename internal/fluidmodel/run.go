// Package fluidmodel simulates a fleet whose load is skewed to prefill and to decode in turn. Roles are assigned by
// package assignment or by a baseline. It is a fluid model: queues, engines and edges process amounts of work instead
// of single requests. It does no I/O.
package fluidmodel

import "time"

const (
	timeStep       = 100 * time.Millisecond
	windowDuration = 10 * time.Second
	recoveredShare = 0.9 // value share of a window at which the fleet counts as recovered
	// fixedSplits is the approximate number of splits that are compared to find the best one.
	fixedSplits = 12
)

// valueTotals holds sums of the value of requests.
type valueTotals struct{ offered, served float64 }

func (v *valueTotals) add(step valueTotals) {
	v.offered += step.offered
	v.served += step.served
}

// Run simulates a scenario. The same seed gives the same result.
func Run(scenario Scenario, strategy Strategy) Result {
	f := newFleet(scenario, strategy)
	result := Result{WorstWindow: 1, RecoverySeconds: -1}
	var total, window valueTotals
	for f.now = 0; f.now < scenario.Duration; f.now += timeStep {
		value := f.step()
		total.add(value)
		window.add(value)
		if f.now%time.Second == 0 {
			result.ServingPrefill = append(result.ServingPrefill, f.servingPrefill())
		}
		if (f.now+timeStep)%windowDuration == 0 {
			result.addWindow(window, f)
			window = valueTotals{}
		}
	}
	result.Value = total.served / total.offered
	result.Changes = f.changes
	result.LostEngineTime = f.lostEngineSeconds / (float64(scenario.Engines) * scenario.Duration.Seconds())
	return result
}

func (r *Result) addWindow(window valueTotals, f *fleet) {
	share := window.served / max(window.offered, 1e-9)
	r.Windows = append(r.Windows, share)
	r.WorstWindow = min(r.WorstWindow, share)
	if share >= recoveredShare && r.RecoverySeconds < 0 && f.now > f.firstSkewAt() {
		r.RecoverySeconds = f.now.Seconds()
	}
}

// BestFixedSplit runs a scenario with several fixed splits. It returns the result of the best one and its number of
// prefill engines.
func BestFixedSplit(scenario Scenario) (Result, int) {
	best, bestEngines := Result{Value: -1}, 0
	increment := max(1, scenario.Engines/fixedSplits)
	for engines := increment; engines < scenario.Engines; engines += increment {
		scenario.PrefillEngines = engines
		if result := Run(scenario, FixedSplit); result.Value > best.Value {
			best, bestEngines = result, engines
		}
	}
	return best, bestEngines
}
