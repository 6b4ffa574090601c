package modelcheck

import "time"

// Path is a sequence of events, each by its index among those that were enabled.
type Path []uint8

// execution is a run between two events: of one router, of several, or of the planner.
type execution interface {
	enabledEvents() []Event // in an order that depends on the state alone
	apply(e Event)
	isTerminal() bool // nothing can happen any more
	checkTerminal()
	fingerprint() uint64
	violations() []string
	coverage() Coverage
	describe() []string
	clientOutcomes() []string
	elapsed() time.Duration
}

func newExecution(w World, tracing bool) execution {
	if w.RoleChanges {
		return newPlannerSimulation(w)
	}
	if w.Routers > 1 {
		return newFleet(w)
	}
	return newSimulation(w, tracing)
}

// replayPath runs a path from the start. It stops early, with ok false, where the path does not fit.
func replayPath(w World, path Path, tracing bool) (x execution, ok bool) {
	x = newExecution(w, tracing)
	for _, n := range path {
		enabled := x.enabledEvents()
		if int(n) >= len(enabled) {
			return x, false
		}
		x.apply(enabled[n])
		if len(x.violations()) > 0 {
			break
		}
	}
	return x, true
}
